#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

RunTimeClass
ClassOf(const WorkloadRecord& aWorkload, const WorkloadStep& aStep)
{
  return { aWorkload.mQueue, aWorkload.mAccount, aStep.mCount };
}

/** Returns whether the run was away from its data or from members of its gang,
 * which makes it slower. */
bool
IsRemote(const LeaderContext& aLeader,
         const WorkloadStep& aStep,
         const RunId& aRun,
         const OpenRun& aOpen)
{
  const auto rackOf = [&](const TargetIncarnation& aTarget) {
    const auto it = aLeader.mWorkers.find(aTarget);
    return it == aLeader.mWorkers.end() ? base::RackId()
                                        : it->second.mTargetInfo.mRack;
  };
  const base::RackId rack = rackOf(aOpen.mTarget);
  if (!aStep.mDataRack.Value().empty() && aStep.mDataRack != rack) {
    return true;
  }
  if (!aStep.mSameRack) {
    return false;
  }
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  for (const auto& step : workload->mOccurrences) {
    if (step.mNumber != aRun.mTask.mOccurrence) {
      continue;
    }
    for (const TaskRecord& task : step.mSteps[aRun.mTask.mStep].mTasks) {
      if (rackOf(task.mTarget) != rack) {
        return true;
      }
    }
  }
  return false;
}

/** Returns the slowness of the slowest VM of the run's gang, or of its own. */
double
SlownessOf(const LeaderContext& aLeader,
           const RunId& aRun,
           const OpenRun& aOpen)
{
  const auto slownessOn = [&](const TargetIncarnation& aTarget) {
    const auto it = aLeader.mWorkers.find(aTarget);
    return it == aLeader.mWorkers.end()
             ? 1
             : aLeader.mWorkerSpeeds.SlownessOf(it->second.mAgentName);
  };
  double slowest = slownessOn(aOpen.mTarget);
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (!StepOf(*workload, aRun.mTask).mGang) {
    return slowest;
  }
  for (const OccurrenceRecord& occurrence : workload->mOccurrences) {
    if (occurrence.mNumber == aRun.mTask.mOccurrence) {
      for (const TaskRecord& task :
           occurrence.mSteps[aRun.mTask.mStep].mTasks) {
        slowest = std::max(slowest, slownessOn(task.mTarget));
      }
    }
  }
  return slowest;
}

bool
UsesDistributions(const LeaderContext& aLeader)
{
  const Policies& policies = aLeader.mOptions.mPolicies;
  return policies.mLearnedRunTimes && policies.mRunTimeDistributions;
}

/** Reports, for the metrics, by which factor an expectation was wrong. */
void
ReportError(LeaderContext& aLeader,
            const RunTimeExpectation& aExpectation,
            base::Duration aRunTime)
{
  const double ratio = static_cast<double>(aRunTime.count()) /
                       static_cast<double>(aExpectation.mMedian.count());
  WorkloadEvent event;
  event.mKind = WorkloadEvent::Kind::RunTimeLearned;
  event.mRunTimeErrorFactor = std::max(ratio, 1 / ratio);
  aLeader.mOutput.mWorkloadEvents.push_back(std::move(event));
}

} // namespace

void
ImportRunTimes(LeaderContext& aLeader)
{
  if (UsesDistributions(aLeader)) {
    aLeader.mRunTimeModel.Import(
      aLeader.mState->LatestObservations().mRunTimes);
  }
}

void
LearnRunTime(LeaderContext& aLeader,
             const EndRun& aChange,
             const OpenRun& aOpen)
{
  const TaskId& task = aChange.mRun.mTask;
  const auto* workload = aLeader.mState->Find(task.mWorkload);
  // A resumed run did only part of the work.
  if (!aLeader.mOptions.mPolicies.mLearnedRunTimes ||
      aChange.mEnd != RunEnd::Done || workload == nullptr ||
      !aOpen.mResumedFrom.empty()) {
    return;
  }
  const WorkloadStep& step = StepOf(*workload, task);
  const auto runTime = aLeader.mNow - aOpen.mStartedAt;
  aLeader.mRunTimeEstimator.AddQueueSample(
    workload->mQueue, step.mEstimateMs, runTime);
  // A gang takes as long as its slowest member, which ends last.
  const bool isLastMember =
    !step.mGang || GangOf(aLeader, aChange.mRun).size() == 1;
  const bool hasRunTime = runTime > base::Duration::zero() &&
                          aOpen.mStartedAt > aLeader.mLeadingSince;
  if (!isLastMember || !hasRunTime || !UsesDistributions(aLeader) ||
      IsRemote(aLeader, step, aChange.mRun, aOpen)) {
    return;
  }
  const RunTimeClass runTimeClass = ClassOf(*workload, step);
  const auto expectation =
    aLeader.mRunTimeModel.Expect(runTimeClass, step.mEstimateMs);
  if (expectation.mMedian > base::Duration::zero()) {
    ReportError(aLeader, expectation, runTime);
  }
  // The run times of a step's tasks depend on each other, so that a step counts
  // once.
  const double weight = step.mGang ? 1 : 1.0 / std::max(1U, step.mCount);
  aLeader.mRunTimeModel.Add(runTimeClass,
                            step.mEstimateMs,
                            runTime,
                            SlownessOf(aLeader, aChange.mRun, aOpen),
                            weight);
}

base::Duration
ExpectedRunTime(const LeaderContext& aLeader,
                const WorkloadRecord& aWorkload,
                const TaskId& aTask)
{
  const WorkloadStep& step = StepOf(aWorkload, aTask);
  if (const auto known = aLeader.mRunTimeEstimator.StepRunTime(aTask);
      known || !UsesDistributions(aLeader)) {
    return known ? *known
                 : aLeader.mRunTimeEstimator.ExpectedRunTime(
                     aTask, aWorkload.mQueue, step.mEstimateMs);
  }
  return aLeader.mRunTimeModel
    .Expect(ClassOf(aWorkload, step), step.mEstimateMs)
    .mMedian;
}

base::Duration
ExpectedTimeLeftAfter(const LeaderContext& aLeader,
                      const WorkloadRecord& aWorkload,
                      const TaskId& aTask,
                      base::Duration aElapsed)
{
  if (!UsesDistributions(aLeader) ||
      aLeader.mRunTimeEstimator.StepRunTime(aTask)) {
    return std::max(ExpectedRunTime(aLeader, aWorkload, aTask) - aElapsed,
                    base::Duration::zero());
  }
  const WorkloadStep& step = StepOf(aWorkload, aTask);
  return ExpectedRemaining(
    aLeader.mRunTimeModel.Expect(ClassOf(aWorkload, step), step.mEstimateMs),
    aElapsed);
}

} // namespace dogwooddrum::coordination::workloads
