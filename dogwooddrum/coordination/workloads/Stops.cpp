#include "dogwooddrum/coordination/workloads/Stops.h"

#include <algorithm>
#include <limits>
#include <set>

namespace dogwooddrum::coordination::workloads {

void
StopRunsBeyondCapacity(LeaderContext& aLeader,
                       const std::vector<WorkerView>& aViews)
{
  std::set<TargetIncarnation> overbooked;
  for (const WorkerView& view : aViews) {
    const ResourceVector& free = view.mFree;
    if (std::min({ free.mMilliCores, free.mMemoryMb, free.mAccelerators }) <
        0) {
      overbooked.insert(view.mTargetIncarnation);
    }
  }
  if (overbooked.empty()) {
    return;
  }
  std::vector<RunId> beyond;
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto worker = aLeader.mWorkers.find(open.mTarget);
    if (overbooked.count(open.mTarget) > 0 && open.mCommitted &&
        !open.mEnding && worker != aLeader.mWorkers.end() &&
        worker->second.mReportedRuns.count(run) == 0) {
      beyond.push_back(run);
    }
  }
  for (const RunId& run : beyond) {
    for (const RunId& member : GangOf(aLeader, run)) {
      StopRun(aLeader, member, "beyond_capacity");
    }
  }
}

double
AllowedLoss(const LeaderContext& aLeader, const PlacementUnit& aUnit)
{
  if (aUnit.mGuaranteed || aUnit.mStep->mLongRunning ||
      !aLeader.mOptions.mPolicies.mLossLimit) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(aUnit.mTasks.size()) *
         CoreEquivalents(ResourcesOf(*aUnit.mStep)) *
         static_cast<double>(aUnit.mStep->mEstimateMs) / 1000;
}

bool
PreemptFor(LeaderContext& aLeader,
           const PlacementUnit& aUnit,
           std::vector<WorkerView>& aViews)
{
  const auto plan = PlanPreemption(aUnit,
                                   aUnit.mPriority,
                                   AllowedLoss(aLeader, aUnit),
                                   aViews,
                                   aLeader.mOptions.mPlacement);
  if (!plan) {
    return false;
  }
  for (const RunId& run : plan->mStops) {
    StopRun(aLeader, run, "preempted");
  }
  return true;
}

} // namespace dogwooddrum::coordination::workloads
