#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A run whose newest list is older is not considered stalled: its target may
 * only be unreachable. */
constexpr base::Duration kMaxListAge = base::Milliseconds(1000);
/** Shortest stall: covers several lists, and is longer than a restore. */
constexpr base::Duration kMinStall = base::Milliseconds(1500);
/** Progress, in percent, that must have been due during a stall. Progress is
 * listed in whole percents, so that a stall shows only if more was due. */
constexpr double kMinDuePercent = 5;
/** Stalls are checked for in intervals, since each check visits all runs. */
constexpr base::Duration kStallCheckInterval = base::Milliseconds(250);

/** Returns how long the run has made no progress; zero if it makes progress or
 * if this cannot be determined. */
base::Duration
StalledFor(const LeaderContext& aLeader,
           const RunId& aRun,
           const OpenRun& aOpen)
{
  const RunProgress& progress = aOpen.mProgress;
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || progress.mListedAt == base::Time() ||
      aLeader.mNow - progress.mListedAt > kMaxListAge) {
    return base::Duration::zero();
  }
  const WorkloadStep& step = StepOf(*workload, aRun.mTask);
  // A gang without progress so far may be waiting for a member to start.
  if (step.mLongRunning || (step.mGang && progress.mPercentPerSecond == 0)) {
    return base::Duration::zero();
  }
  const auto stalled = progress.mListedAt - progress.mAdvancedAt;
  const auto whole = ProjectedRunTime(progress).value_or(
    ExpectedRunTime(aLeader, *workload, aRun.mTask));
  const double duePercent = 100 * static_cast<double>(stalled.count()) /
                            std::max(1.0, static_cast<double>(whole.count()));
  return stalled >= kMinStall && duePercent >= kMinDuePercent
           ? stalled
           : base::Duration::zero();
}

/** Returns the work time that a stop of the run loses, and the restore. */
base::Duration
LostTime(const LeaderContext& aLeader, const RunId& aRun, const OpenRun& aOpen)
{
  const auto restore = aLeader.mOptions.mRestoreTime;
  return IsCheckpointing(aLeader, aRun)
           ? restore
           : aOpen.mProgress.mAdvancedAt - aOpen.mStartedAt + restore;
}

} // namespace

void
StopStalledRuns(LeaderContext& aLeader)
{
  if (!aLeader.mOptions.mPolicies.mStallStops ||
      aLeader.mNow < aLeader.mNextStallCheck) {
    return;
  }
  aLeader.mNextStallCheck = aLeader.mNow + kStallCheckInterval;
  std::vector<RunId> stalledRuns;
  for (const auto& [run, open] : aLeader.mRuns) {
    if (!open.mCommitted || open.mStopping || open.mEnding) {
      continue;
    }
    const auto stalled = StalledFor(aLeader, run, open);
    if (stalled == base::Duration::zero()) {
      continue;
    }
    const auto worker = aLeader.mWorkers.find(open.mTarget);
    // In a gang, a member on another worker may be the cause.
    if (worker != aLeader.mWorkers.end() && GangOf(aLeader, run).size() == 1) {
      worker->second.mStalledAt = aLeader.mNow;
    }
    // How long the stall will last is unknown. Stopping the run once it has
    // stalled for as long as the stop costs takes at most twice the time of the
    // better choice.
    if (stalled >= LostTime(aLeader, run, open)) {
      stalledRuns.push_back(run);
    }
  }
  for (const RunId& run : stalledRuns) {
    for (const RunId& member : GangOf(aLeader, run)) {
      const auto& target = aLeader.mRuns.at(member).mTarget;
      aLeader.mFailedOn[member.mTask].insert(target);
      StopRun(aLeader, member, "stalled");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
