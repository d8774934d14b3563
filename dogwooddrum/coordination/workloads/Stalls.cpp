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

constexpr std::uint32_t kWholePercent = 100;

/** Returns whether a member of a gang has done its share and waits for another
 * member, on a slower worker, or for its end, which may be listed for another
 * member first. */
bool
WaitsForGang(const LeaderContext& aLeader,
             const RunId& aRun,
             const OpenRun& aOpen)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (!StepOf(*workload, aRun.mTask).mGang ||
      aOpen.mProgress.mPercent < kWholePercent) {
    return false;
  }
  const auto gang = GangOf(aLeader, aRun);
  return gang.size() < StepOf(*workload, aRun.mTask).mCount ||
         std::any_of(gang.begin(), gang.end(), [&](const RunId& aMember) {
           const OpenRun& member = aLeader.mRuns.at(aMember);
           return member.mEnding || member.mProgress.mPercent < kWholePercent;
         });
}

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
  if (step.mLongRunning || (step.mGang && progress.mPercentPerSecond == 0) ||
      WaitsForGang(aLeader, aRun, aOpen)) {
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
  std::map<RunId, base::Duration> stalledRuns;
  for (const auto& [run, open] : aLeader.mRuns) {
    if (!open.mCommitted || open.mStopping || open.mEnding) {
      continue;
    }
    const auto stalled = StalledFor(aLeader, run, open);
    if (stalled > base::Duration::zero()) {
      stalledRuns.emplace(run, stalled);
    }
  }
  for (const auto& [run, stalled] : stalledRuns) {
    const auto gang = GangOf(aLeader, run);
    const auto isStalled = [&all = stalledRuns](const RunId& aMember) {
      return all.count(aMember) > 0;
    };
    // If a whole gang stands still, each member may be the cause.
    const bool isCause =
      gang.size() == 1 || !std::all_of(gang.begin(), gang.end(), isStalled);
    const OpenRun& open = aLeader.mRuns.at(run);
    const auto worker = aLeader.mWorkers.find(open.mTarget);
    if (worker != aLeader.mWorkers.end() && isCause) {
      worker->second.mStalledAt = aLeader.mNow;
    }
    // How long the stall will last is unknown. Stopping the run once it has
    // stalled for as long as the stop costs takes at most twice the time of the
    // better choice.
    if (stalled < LostTime(aLeader, run, open)) {
      continue;
    }
    for (const RunId& member : gang) {
      if (!isCause || isStalled(member)) {
        aLeader.mFailedOn[member.mTask].insert(
          aLeader.mRuns.at(member).mTarget);
      }
      StopRun(aLeader, member, "stalled");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
