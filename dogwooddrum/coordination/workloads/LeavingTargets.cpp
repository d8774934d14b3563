#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A run without checkpoints is stopped early only if it is expected to need
 * more than this many times the time that its target stays, since the
 * expectation may be too long. */
constexpr int kMaxOverrun = 2;

/** Returns whether to stop a run before its target leaves after aRemaining. The
 * task of a stopped run can start elsewhere at once; that of a run which ends
 * with its target can only start once the lease has expired. Other runs
 * may still end in time, and are stopped only once a later stop would be too
 * late. */
bool
ShouldStopBeforeLeave(const LeaderContext& aLeader,
                      const RunId& aRun,
                      const OpenRun& aOpen,
                      base::Duration aRemaining)
{
  const auto left = ExpectedTimeLeft(aLeader, aRun, aOpen);
  if (left <= aRemaining) {
    return false;
  }
  const auto lead = aLeader.mOptions.mStopTime + kOrderRoundTrip;
  return IsCheckpointing(aLeader, aRun) || left / kMaxOverrun > aRemaining ||
         aRemaining <= lead;
}

} // namespace

void
StopRunsOnLeavingTargets(LeaderContext& aLeader)
{
  std::map<TargetIncarnation, base::Duration> leaving;
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    if (worker.mTargetInfo.mLeaving && worker.mLeavesAt) {
      leaving.emplace(incarnation, *worker.mLeavesAt - aLeader.mNow);
    }
  }
  if (leaving.empty()) {
    return;
  }
  std::vector<RunId> runsToStop;
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto it = leaving.find(open.mTarget);
    if (it != leaving.end() && open.mCommitted && !open.mStopping &&
        !open.mEnding &&
        ShouldStopBeforeLeave(aLeader, run, open, it->second)) {
      runsToStop.push_back(run);
    }
  }
  for (const RunId& run : runsToStop) {
    for (const RunId& member : GangOf(aLeader, run)) {
      StopRun(aLeader, member, "target_leaves");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
