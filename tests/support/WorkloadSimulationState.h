/** \file
 * Defines the state of the simulated processes and the times that the parts of
 * WorkloadSimulation share. Internal to it.
 */
#pragma once

#include "tests/support/WorkloadSimulation.h"

#include <algorithm>
#include <limits>

namespace dogwooddrum::tests {

using namespace coordination::workloads;
using protocol::EndedTask;
using protocol::RunEnd;

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kDefaultRunMs = 1000;
constexpr std::int64_t kRenewalMs = 500;
constexpr std::int64_t kAnnounceMs = 1500;
constexpr std::int64_t kMaxOrderDelayMs = 12000;
constexpr std::uint32_t kMaxAttempts = 3;
/** Longest lease that a target grants. */
constexpr std::int64_t kMaxLeaseMs = 6000;

struct WorkloadSimulation::RunningTask
{
  RunId mRun;
  std::int64_t mBeganAt = 0; ///< simulation time
  std::int64_t mEndsAt = 0;  ///< simulation time
  RunEnd mEnd = RunEnd::Done;
};

/** A simulated target that follows the platform's specification. */
struct WorkloadSimulation::Target
{
  protocol::TargetInfo mTargetInfo;
  std::optional<std::int64_t> mShrunkAt; ///< its capacity is reduced since
  std::int64_t mClockZero = 0; ///< simulation time at which its clock is 0
  std::map<TaskId, RunningTask> mRuns;
  std::map<TaskId, RunNumber> mClosed; ///< highest run stopped or ended
  std::vector<EndedTask> mEnded;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntil = 0;           ///< on its clock
  std::map<RunId, std::int64_t> mEndedAt; ///< ends since the lease last lapsed

  /** Returns the target's time; its clock runs 2% slow. */
  std::int64_t Clock(std::int64_t aNowMs) const
  {
    return (aNowMs - mClockZero) * 98 / 100;
  }
  void End(const TaskId& aTask, RunEnd aEnd, std::int64_t aNowMs)
  {
    const auto it = mRuns.find(aTask);
    EndedTask ended;
    ended.mNumber = ++mLastEnd;
    ended.mRun = it->second.mRun;
    ended.mEnd = aEnd;
    mEnded.push_back(ended);
    mEndedAt[ended.mRun] = aNowMs;
    auto& closed = mClosed[aTask];
    closed = std::max(closed, ended.mRun.mRun);
    mRuns.erase(it);
  }
};

struct WorkloadSimulation::Worker
{
  std::unique_ptr<WorkerAgent> mAgent;
  std::unique_ptr<Target> mTarget;
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSequence = 0;
  std::int64_t mNextAnnounce = 0;
  std::int64_t mNextRenewal = 0;
  std::int64_t mDisconnectedUntil = 0;
  std::int64_t mBusyUntil = 0; ///< waits for the answer to an order
  bool mFailing = false;
  std::int64_t mFailsAfterMs = 0; ///< if failing, at the latest
  std::int64_t mVmGoneAt = std::numeric_limits<std::int64_t>::max();
  std::int64_t mStalledUntil = 0;
  double mSlowness = 1;
  std::int64_t mTargetDownUntil = 0;
  bool mIsTargetDead = false;
  std::int64_t mPausedUntil = 0; ///< of the agent
  std::int64_t mOrderDelayMs = 0;
  bool mIsEnding = false; ///< a planned end is in progress
};

/** A leader that does not know yet that another one was elected. It has the
 * state of that moment and commits nothing. */
struct WorkloadSimulation::DeposedLeader
{
  std::unique_ptr<State> mState;
  std::unique_ptr<WorkloadScheduler> mScheduler;
  std::int64_t mDeposedAt = 0;
  std::int64_t mUntil = 0;
  std::vector<std::uint64_t> mAgents; ///< incarnations that have a link to it
};

} // namespace dogwooddrum::tests
