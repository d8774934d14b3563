#include "dogwooddrum/coordination/workloads/Leading.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A run is not taken to stand still while its target is only silent. */
constexpr base::Duration kListAge = base::Milliseconds(1000);
/** Several lists, and longer than a restore. */
constexpr base::Duration kLeastStall = base::Milliseconds(1500);
/** Shares are whole percents: standing still shows only if more were due. */
constexpr double kLeastDue = 5;
/** Stalls are looked for in intervals, since each look visits all runs. */
constexpr base::Duration kStallInterval = base::Milliseconds(250);

/** Returns how long the run has stood still; zero if it moves, or if that
 * cannot be told. */
base::Duration
StalledFor(const Leading& aLeading, const RunId& aRun, const OpenRun& aOpen)
{
  const RunProgress& progress = aOpen.mProgress;
  const auto* workload = aLeading.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || progress.mListedAt == base::Time() ||
      aLeading.mNow - progress.mListedAt > kListAge) {
    return base::Duration::zero();
  }
  const WorkloadStep& step = StepOf(*workload, aRun.mTask);
  // A gang that has not begun waits for its members.
  if (step.mLongRunning || (step.mGang && progress.mPercentPerSecond == 0)) {
    return base::Duration::zero();
  }
  const auto stalled = progress.mListedAt - progress.mMovedAt;
  const auto whole = WholeTime(progress).value_or(aLeading.mRunTimes.Expect(
    aRun.mTask, workload->mQueueName, step.mEstimateMs));
  const double due = 100 * static_cast<double>(stalled.count()) /
                     std::max(1.0, static_cast<double>(whole.count()));
  return stalled >= kLeastStall && due >= kLeastDue ? stalled
                                                    : base::Duration::zero();
}

/** Returns the time that a stop of the run throws away. */
base::Duration
LostTime(const Leading& aLeading, const RunId& aRun, const OpenRun& aOpen)
{
  const auto restore = aLeading.mOptions.mRestoreTime;
  return IsSaving(aLeading, aRun)
           ? restore
           : aOpen.mProgress.mMovedAt - aOpen.mStartedAt + restore;
}

} // namespace

void
StopStalledRuns(Leading& aLeading)
{
  if (aLeading.mNow < aLeading.mNextStallCheck) {
    return;
  }
  aLeading.mNextStallCheck = aLeading.mNow + kStallInterval;
  std::vector<RunId> hopeless;
  for (const auto& [run, open] : aLeading.mRuns) {
    if (!open.mCommitted || open.mStopping || open.mEnding) {
      continue;
    }
    const auto stalled = StalledFor(aLeading, run, open);
    if (stalled == base::Duration::zero()) {
      continue;
    }
    const auto worker = aLeading.mWorkers.find(open.mTarget);
    // Any member may hold up a gang.
    if (worker != aLeading.mWorkers.end() &&
        GangOf(aLeading, run).size() == 1) {
      worker->second.mStalledAt = aLeading.mNow;
    }
    // Nobody knows how long it will last. Stopping the run once it has stood
    // still for as long as the stop costs takes at most twice the time of the
    // better choice.
    if (stalled >= LostTime(aLeading, run, open)) {
      hopeless.push_back(run);
    }
  }
  for (const RunId& run : hopeless) {
    for (const RunId& member : GangOf(aLeading, run)) {
      const auto& target = aLeading.mRuns.at(member).mTarget;
      aLeading.mFailedOn[member.mTask].insert(target);
      StopRun(aLeading, member, "stalled");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
