/** \file
 * Defines the check of stand-in targets' runs for duplicate executions.
 */
#pragma once

#include "dogwooddrum/cli/LoadReport.h"
#include "dogwooddrum/service/Settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwooddrum::cli {

/** Maps job numbers to whether the job is repeatable. */
using JobRepeatability = std::map<std::uint64_t, bool>;

/** One start of a task that a stand-in target recorded. */
struct TargetRun
{
  std::uint64_t mJob = 0;
  std::uint64_t mAttempt = 0;
  std::uint64_t mTask = 0;
};

/**
 * Returns descriptions of the duplicate runs in aRuns. A task may start once in
 * each attempt of a repeatable job, and once over all attempts of any other
 * job. Jobs that are not in aJobs are skipped.
 */
std::vector<std::string>
FindDuplicateRuns(const std::vector<TargetRun>& aRuns,
                  const JobRepeatability& aJobs);

/** Fetches the runs of all aTargets and adds duplicate runs to aResults. Adds
 * an example for each target whose runs cannot be read. */
void
CheckTargetRuns(const std::vector<service::Address>& aTargets,
                const JobRepeatability& aJobs,
                LoadResults& aResults);

} // namespace dogwooddrum::cli
