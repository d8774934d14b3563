#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"

namespace dogwooddrum::coordination::workloads {

std::vector<RunId>
GangOf(const LeaderContext& aLeader, const RunId& aRun)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || !StepOf(*workload, aRun.mTask).mGang) {
    return { aRun };
  }
  std::vector<RunId> gang;
  TaskId first = aRun.mTask;
  first.mIndex = 0;
  for (auto it = aLeader.mRuns.lower_bound(RunId{ first, RunNumber(0) });
       it != aLeader.mRuns.end() &&
       it->first.mTask.mWorkload == aRun.mTask.mWorkload &&
       it->first.mTask.mOccurrence == aRun.mTask.mOccurrence &&
       it->first.mTask.mStep == aRun.mTask.mStep;
       ++it) {
    gang.push_back(it->first);
  }
  return gang;
}

bool
IsCheckpointing(const LeaderContext& aLeader, const RunId& aRun)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  return workload != nullptr && StepOf(*workload, aRun.mTask).mCheckpointing;
}

base::Duration
ExpectedTimeLeft(const LeaderContext& aLeader,
                 const RunId& aRun,
                 const OpenRun& aOpen)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || StepOf(*workload, aRun.mTask).mLongRunning) {
    return base::Duration::max();
  }
  if (const auto left = ProjectedTimeLeft(aOpen.mProgress, aLeader.mNow)) {
    return *left;
  }
  return ExpectedTimeLeftAfter(
    aLeader, *workload, aRun.mTask, aLeader.mNow - aOpen.mStartedAt);
}

void
LearnSpeed(LeaderContext& aLeader,
           const Worker& aWorker,
           const protocol::RunningTask& aRunning)
{
  const TaskId& task = aRunning.mRun.mTask;
  const auto* workload = aLeader.mState->Find(task.mWorkload);
  if (!aLeader.mOptions.mPolicies.mWorkerSpeeds || workload == nullptr ||
      StepOf(*workload, task).mLongRunning) {
    return;
  }
  const base::RackId& data = StepOf(*workload, task).mDataRack;
  const bool isRemote =
    !data.Value().empty() && data != aWorker.mTargetInfo.mRack;
  aLeader.mWorkerSpeeds.Add(aWorker.mAgentName,
                            aRunning.mRun,
                            aRunning.mPercent,
                            isRemote,
                            aLeader.mNow);
}

void
AddOpenRun(LeaderContext& aLeader, const RunId& aRun, const TaskRecord& aTask)
{
  const auto [it, isNew] = aLeader.mRuns.try_emplace(aRun);
  OpenRun& open = it->second;
  open.mCommitted = true;
  if (isNew) {
    const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
    open.mTarget = aTask.mTarget;
    open.mResources = ResourcesOf(StepOf(*workload, aRun.mTask));
    open.mPriority = PriorityOf(aLeader, workload->mQueue);
    open.mStartedAt = aLeader.mNow;
    open.mCheckpoint = aTask.mCheckpoint;
    open.mResumedFrom = aTask.mCheckpoint;
  }
  const auto worker = aLeader.mWorkers.find(open.mTarget);
  if (worker != aLeader.mWorkers.end()) {
    worker->second.mOrdersChanged = true;
  }
}

} // namespace dogwooddrum::coordination::workloads
