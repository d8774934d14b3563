#include "dogwooddrum/coordination/workloads/Leading.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A run that needs this many times as long as its target stays is not given
 * the benefit of the doubt. */
constexpr int kHopeless = 2;

/** Returns whether a run had better be stopped than be lost with its target.
 * A lost run keeps its task from starting elsewhere until its lease is over;
 * one that was stopped can start again at once. */
bool
IsDoomed(const Leading& aLeading,
         const RunId& aRun,
         const OpenRun& aOpen,
         base::Duration aStays)
{
  const auto left = TimeLeftOf(aLeading, aRun, aOpen);
  if (left <= aStays) {
    return false;
  }
  const auto lead = aLeading.mOptions.mStopTime + kOrderTime;
  return IsSaving(aLeading, aRun) || left / kHopeless > aStays ||
         aStays <= lead;
}

} // namespace

void
StopDoomedRuns(Leading& aLeading)
{
  std::map<TargetLife, base::Duration> leaving;
  for (const auto& [life, worker] : aLeading.mWorkers) {
    if (worker.mFacts.mLeaving && worker.mLeavesAt) {
      leaving.emplace(life, *worker.mLeavesAt - aLeading.mNow);
    }
  }
  if (leaving.empty()) {
    return;
  }
  std::vector<RunId> doomed;
  for (const auto& [run, open] : aLeading.mRuns) {
    const auto it = leaving.find(open.mTarget);
    if (it != leaving.end() && open.mCommitted && !open.mStopping &&
        !open.mEnding && IsDoomed(aLeading, run, open, it->second)) {
      doomed.push_back(run);
    }
  }
  for (const RunId& run : doomed) {
    for (const RunId& member : GangOf(aLeading, run)) {
      StopRun(aLeading, member, "target_leaves");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
