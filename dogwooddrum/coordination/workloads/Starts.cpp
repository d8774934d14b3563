#include "dogwooddrum/coordination/workloads/Starts.h"

#include <string>

namespace dogwooddrum::coordination::workloads {

void
ProposeStarts(LeaderContext& aLeader,
              const PlacementUnit& aUnit,
              const Assignment& aAssignment,
              const std::vector<WorkerView>& aViews)
{
  StartRuns change;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    const TaskId& task = aUnit.mTasks[i];
    const TaskRecord* record = aLeader.mState->Find(task);
    const RunId run{ task, RunNumber(record->mRun.Value() + 1) };
    OpenRun open;
    open.mTarget = aViews[aAssignment[i]].mTargetIncarnation;
    open.mResources = ResourcesOf(*aUnit.mStep);
    open.mPriority = aUnit.mPriority;
    open.mStartedAt = aLeader.mNow;
    open.mCheckpoint = record->mCheckpoint;
    open.mResumedFrom = record->mCheckpoint;
    AddEvent(aLeader,
             WorkloadEvent::Kind::RunStarted,
             { { "task", ToString(task) },
               { "run", std::to_string(run.mRun.Value()) },
               { "target", open.mTarget.mInstance },
               { "waited_ms", std::to_string(aUnit.mWaitedMs) },
               { "gang", std::to_string(aUnit.mTasks.size()) } });
    change.mStarts.push_back({ run, open.mTarget });
    aLeader.mRuns.emplace(run, std::move(open));
  }
  aLeader.mReadySince.erase(aUnit.mTasks.front());
  Propose(aLeader, std::move(change));
}

StepPlacements::Key
StepPlacements::KeyOf(const PlacementUnit& aUnit)
{
  return { aUnit.mStep, aUnit.mTasks.front().mOccurrence };
}

void
StepPlacements::ApplyTo(PlacementUnit& aUnit) const
{
  const auto it = mPlaced.find(KeyOf(aUnit));
  if (it == mPlaced.end()) {
    return;
  }
  for (const auto& [worker, rack] : it->second) {
    ++aUnit.mStepTasks[worker];
    aUnit.mStepRacks.insert(rack);
  }
}

void
StepPlacements::Record(const PlacementUnit& aUnit,
                       const Assignment& aAssignment,
                       const std::vector<WorkerView>& aViews)
{
  auto& places = mPlaced[KeyOf(aUnit)];
  for (const std::size_t worker : aAssignment) {
    places.emplace_back(worker, aViews[worker].mRack);
  }
}

} // namespace dogwooddrum::coordination::workloads
