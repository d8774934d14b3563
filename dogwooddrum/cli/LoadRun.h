/** \file
 * Defines RunLoad, which generates load on the callers' interface and checks
 * every answer.
 */
#pragma once

#include "dogwooddrum/cli/LoadPlan.h"
#include "dogwooddrum/cli/LoadReport.h"
#include "dogwooddrum/service/Settings.h"

#include <string>
#include <vector>

namespace dogwooddrum::cli {

struct LoadOptions
{
  LoadPlanOptions mPlan;
  std::vector<service::Address> mEntries; ///< with mDirect: stand-in targets
  /** Stand-in targets whose runs are checked for duplicates at the end. */
  std::vector<service::Address> mTargets;
  bool mDirect = false; ///< call the stand-in targets without the service
  bool mAcknowledge = true;
  std::uint64_t mConcurrency = 16; ///< maximum number of requests in progress
  base::Duration mMaxTime = base::Milliseconds(60000);   ///< no arrivals later
  base::Duration mDrainTime = base::Milliseconds(60000); ///< for open requests
  std::string mRunId; ///< part of every idempotency key; unique per load run
};

/** Returns the payload of a request. A stand-in target answers each task with
 * the payload. */
std::string
LoadPayload(const LoadClass& aClass, const LoadRequest& aRequest);

/** Runs the load in mConcurrency threads and returns the merged results. */
LoadResults
RunLoad(const LoadOptions& aOptions);

} // namespace dogwooddrum::cli
