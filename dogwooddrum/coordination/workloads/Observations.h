/** \file
 * Defines Observations, what leaders have learned about workers, run times and
 * client accounts. A leader publishes them in the replicated state now and
 * then, so that the next leader does not start without them. Nothing that must
 * hold rests on them.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/coordination/workloads/QueueRegistry.h"
#include "dogwooddrum/protocol/Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** How much longer a VM takes for the same work than the median VM. */
struct ObservedSpeed
{
  std::string mAgentName;
  std::int32_t mSlownessPermille = 1000; ///< 2000: takes twice as long
  std::uint32_t mSamples = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAgentName, mSlownessPermille, mSamples);
  }
};

/** Run times of one class of tasks: how often each bucket occurred, with decay.
 * The buckets are those of RunTimeModel. */
struct ObservedRunTimes
{
  QueueKey mQueue;
  base::AccountId mAccount; ///< empty: all accounts
  std::uint32_t mWidthClass = 0;
  std::vector<std::uint32_t> mRatioCounts;   ///< of run time over estimate
  std::vector<std::uint32_t> mRunTimeCounts; ///< of the run time itself
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mQueue, mAccount, mWidthClass, mRatioCounts, mRunTimeCounts);
  }
};

/** Use of a pool by a client account beyond its share, in core-seconds;
 * negative: below its share. */
struct ObservedDebt
{
  protocol::PoolName mPool;
  base::AccountId mAccount;
  std::int64_t mCoreSeconds = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPool, mAccount, mCoreSeconds);
  }
};

struct Observations
{
  std::vector<ObservedSpeed> mSpeeds;
  std::vector<ObservedRunTimes> mRunTimes;
  std::vector<ObservedDebt> mDebts;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSpeeds, mRunTimes, mDebts);
  }
};

} // namespace dogwooddrum::coordination::workloads
