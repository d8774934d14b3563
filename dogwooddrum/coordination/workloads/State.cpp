#include "dogwooddrum/coordination/workloads/State.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

OccurrenceRecord
MakeOccurrence(const protocol::WorkloadSpec& aSpec, std::uint32_t aNumber)
{
  OccurrenceRecord occurrence;
  occurrence.mNumber = aNumber;
  for (const WorkloadStep& step : aSpec.mSteps) {
    occurrence.mSteps.emplace_back().mTasks.resize(step.mCount);
  }
  return occurrence;
}

bool
IsDone(const OccurrenceRecord& aOccurrence)
{
  return std::all_of(aOccurrence.mSteps.begin(),
                     aOccurrence.mSteps.end(),
                     [](const StepRecord& aStep) { return IsDone(aStep); });
}

bool
HasTaskInPhase(const OccurrenceRecord& aOccurrence, TaskPhase aPhase)
{
  for (const StepRecord& step : aOccurrence.mSteps) {
    for (const TaskRecord& task : step.mTasks) {
      if (task.mPhase == aPhase) {
        return true;
      }
    }
  }
  return false;
}

bool
HasOpenRun(const WorkloadRecord& aWorkload)
{
  return std::any_of(aWorkload.mOccurrences.begin(),
                     aWorkload.mOccurrences.end(),
                     [](const OccurrenceRecord& aOccurrence) {
                       return HasTaskInPhase(aOccurrence, TaskPhase::Running);
                     });
}

/** Returns whether the task is given up for the crashes during its runs. A task
 * that runs until its workload is cancelled never is. */
bool
HasTooManyCrashes(const WorkloadStep& aStep, const TaskRecord& aTask)
{
  return !aStep.mLongRunning && aTask.mCrashedTargets.size() >= kMaxCrashes;
}

/** Sets the phase of all members of a gang once none of them runs. */
void
ResolveGangRun(WorkloadRecord& aWorkload,
               const WorkloadStep& aSpec,
               StepRecord& aStep)
{
  const bool running = std::any_of(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const TaskRecord& aTask) {
      return aTask.mPhase == TaskPhase::Running;
    });
  if (running) {
    return;
  }
  for (TaskRecord& task : aStep.mTasks) {
    if (aStep.mRunDone) {
      task.mPhase = aSpec.mLongRunning ? TaskPhase::Waiting : TaskPhase::Done;
      continue;
    }
    task.mFailures += aStep.mRunFailed ? 1 : 0;
    const bool isOutOfAttempts =
      !aSpec.mLongRunning && task.mFailures >= aWorkload.mMaxAttempts;
    task.mPhase = isOutOfAttempts || HasTooManyCrashes(aSpec, task)
                    ? TaskPhase::Failed
                    : TaskPhase::Waiting;
  }
  aStep.mRunDone = false;
  aStep.mRunFailed = false;
}

void
ResolveTaskRun(const WorkloadRecord& aWorkload,
               const WorkloadStep& aSpec,
               TaskRecord& aTask,
               RunEnd aEnd)
{
  if (HasTooManyCrashes(aSpec, aTask) && aEnd != RunEnd::Done) {
    aTask.mPhase = TaskPhase::Failed;
    return;
  }
  if (aSpec.mLongRunning) {
    aTask.mPhase = TaskPhase::Waiting;
    return;
  }
  if (aEnd == RunEnd::Done) {
    aTask.mPhase = TaskPhase::Done;
    return;
  }
  aTask.mFailures += aEnd == RunEnd::Failed ? 1 : 0;
  aTask.mPhase = aTask.mFailures >= aWorkload.mMaxAttempts ? TaskPhase::Failed
                                                           : TaskPhase::Waiting;
}

/** Returns why the workload has failed, for its owner. */
std::string
DescribeFailure(const WorkloadRecord& aWorkload)
{
  for (const OccurrenceRecord& occurrence : aWorkload.mOccurrences) {
    for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].mPhase != TaskPhase::Failed) {
          continue;
        }
        const std::string task = "task " + std::to_string(occurrence.mNumber) +
                                 "." + std::to_string(s) + "." +
                                 std::to_string(i);
        return HasTooManyCrashes(aWorkload.mSpec.mSteps[s], tasks[i])
                 ? std::to_string(tasks[i].mCrashedTargets.size()) +
                     " targets crashed during runs of " + task
                 : task + " failed " + std::to_string(tasks[i].mFailures) +
                     " times";
      }
    }
  }
  return {};
}

} // namespace

struct State::Applier
{
  State& mState;

  WorkloadRecord* Workload(const WorkloadId& aWorkload)
  {
    const auto it = mState.mWorkloads.find(aWorkload);
    return it == mState.mWorkloads.end() ? nullptr : &it->second;
  }

  /** Returns the step of an open occurrence, or null. */
  StepRecord* Step(WorkloadRecord& aWorkload, const TaskId& aTask)
  {
    for (OccurrenceRecord& occurrence : aWorkload.mOccurrences) {
      if (occurrence.mNumber == aTask.mOccurrence &&
          aTask.mStep < occurrence.mSteps.size() &&
          aTask.mIndex < occurrence.mSteps[aTask.mStep].mTasks.size()) {
        return &occurrence.mSteps[aTask.mStep];
      }
    }
    return nullptr;
  }

  void EndWorkload(WorkloadRecord& aWorkload,
                   WorkloadPhase aPhase,
                   std::int64_t aNowMs)
  {
    aWorkload.mPhase = aPhase;
    aWorkload.mEndedMs = aNowMs;
  }

  /** Removes complete occurrences, and ends the workload if a task has failed
   * or nothing is left to run. */
  void ResolveWorkload(const WorkloadId& aId,
                       WorkloadRecord& aWorkload,
                       std::int64_t aNowMs)
  {
    auto& open = aWorkload.mOccurrences;
    if (!HasEnded(aWorkload)) {
      if (std::any_of(open.begin(), open.end(), [](const auto& aEach) {
            return HasTaskInPhase(aEach, TaskPhase::Failed);
          })) {
        aWorkload.mFailure = DescribeFailure(aWorkload);
        EndWorkload(aWorkload, WorkloadPhase::Failed, aNowMs);
      } else {
        open.erase(
          std::remove_if(open.begin(),
                         open.end(),
                         [](const auto& aEach) { return IsDone(aEach); }),
          open.end());
        const std::uint32_t total = std::max(1U, aWorkload.mSpec.mRepeatCount);
        if (open.empty() && aWorkload.mNextOccurrence >= total) {
          EndWorkload(aWorkload, WorkloadPhase::Complete, aNowMs);
        }
      }
    }
    if (HasEnded(aWorkload) && !HasOpenRun(aWorkload)) {
      aWorkload.mSpec.mPayload.clear();
      aWorkload.mOccurrences.clear();
      mState.mActive.erase(aId);
    }
  }

  /** Returns the queue of the catalog that an Accept names by its key or, in an
   * entry of a version without keys, by its name. A removed queue's key may be
   * the name of another one. */
  std::optional<QueueKey> AcceptingQueue(
    const protocol::QueueReference& aReference) const
  {
    const QueueKey key(aReference.mName.Value());
    if (mState.mQueues.IsInCatalog(key)) {
      return key;
    }
    return mState.mQueues.Retired().count(key) > 0
             ? std::nullopt
             : mState.ResolveQueue(aReference);
  }

  void operator()(const Accept& aChange)
  {
    const auto& request = aChange.mRequest;
    const auto key = AcceptingQueue(request.mQueue);
    if (!key) {
      return;
    }
    const auto [it, isNew] =
      mState.mWorkloads.try_emplace(request.mId, WorkloadRecord{});
    if (!isNew) {
      return;
    }
    WorkloadRecord& workload = it->second;
    workload.mQueue = *key;
    workload.mAccount = request.mAccount;
    workload.mSpec = request.mSpec;
    workload.mAcceptedMs = aChange.mAcceptedMs;
    workload.mMaxAttempts = std::max(1U, mState.FindQueue(*key)->mMaxAttempts);
    if (workload.mSpec.mRepeatCount == 0) {
      workload.mOccurrences.push_back(MakeOccurrence(workload.mSpec, 0));
      workload.mNextOccurrence = 1;
    }
    mState.mActive.insert(request.mId);
  }

  void operator()(const Cancel& aChange)
  {
    WorkloadRecord* workload = Workload(aChange.mWorkload);
    if (workload != nullptr && !HasEnded(*workload)) {
      EndWorkload(*workload, WorkloadPhase::Cancelled, aChange.mNowMs);
      ResolveWorkload(aChange.mWorkload, *workload, aChange.mNowMs);
    }
  }

  void operator()(const BeginOccurrence& aChange)
  {
    WorkloadRecord* workload = Workload(aChange.mWorkload);
    if (workload == nullptr || HasEnded(*workload) ||
        workload->mNextOccurrence != aChange.mOccurrence) {
      return;
    }
    workload->mOccurrences.push_back(
      MakeOccurrence(workload->mSpec, aChange.mOccurrence));
    ++workload->mNextOccurrence;
  }

  void operator()(const StartRuns& aChange)
  {
    for (const auto& start : aChange.mStarts) {
      WorkloadRecord* workload = Workload(start.mRun.mTask.mWorkload);
      StepRecord* step = workload == nullptr || HasEnded(*workload)
                           ? nullptr
                           : Step(*workload, start.mRun.mTask);
      if (step == nullptr) {
        continue;
      }
      TaskRecord& task = step->mTasks[start.mRun.mTask.mIndex];
      if (task.mPhase != TaskPhase::Waiting || start.mRun.mRun <= task.mRun) {
        continue;
      }
      task.mPhase = TaskPhase::Running;
      task.mRun = start.mRun.mRun;
      task.mTarget = start.mTarget;
      workload->mStarted = true;
      workload->mPhase = WorkloadPhase::Running;
    }
  }

  void operator()(const EndRun& aChange)
  {
    WorkloadRecord* workload = Workload(aChange.mRun.mTask.mWorkload);
    StepRecord* step =
      workload == nullptr ? nullptr : Step(*workload, aChange.mRun.mTask);
    if (step == nullptr) {
      return;
    }
    TaskRecord& task = step->mTasks[aChange.mRun.mTask.mIndex];
    if (task.mPhase != TaskPhase::Running || task.mRun != aChange.mRun.mRun) {
      return;
    }
    const WorkloadStep& spec = StepOf(*workload, aChange.mRun.mTask);
    if (!aChange.mCheckpoint.empty()) {
      task.mCheckpoint = aChange.mCheckpoint;
    }
    if (spec.mGang) {
      // All members resume from the same checkpoint; any member's is valid.
      for (TaskRecord& member : step->mTasks) {
        member.mCheckpoint = task.mCheckpoint;
      }
      task.mPhase = TaskPhase::AwaitingGang;
      step->mRunDone = step->mRunDone || aChange.mEnd == RunEnd::Done;
      step->mRunFailed = step->mRunFailed || aChange.mEnd == RunEnd::Failed;
      ResolveGangRun(*workload, spec, *step);
    } else {
      ResolveTaskRun(*workload, spec, task, aChange.mEnd);
    }
    ResolveWorkload(aChange.mRun.mTask.mWorkload, *workload, aChange.mNowMs);
  }

  void operator()(const RecordCrash& aChange)
  {
    for (const RunId& run : aChange.mRuns) {
      WorkloadRecord* workload = Workload(run.mTask.mWorkload);
      StepRecord* step =
        workload == nullptr ? nullptr : Step(*workload, run.mTask);
      if (step == nullptr) {
        continue;
      }
      TaskRecord& task = step->mTasks[run.mTask.mIndex];
      auto& crashed = task.mCrashedTargets;
      if (run.mRun > task.mRun || crashed.size() >= kMaxCrashes ||
          std::find(crashed.begin(), crashed.end(), aChange.mTarget) !=
            crashed.end()) {
        continue;
      }
      crashed.push_back(aChange.mTarget);
      if (task.mPhase == TaskPhase::Waiting &&
          HasTooManyCrashes(StepOf(*workload, run.mTask), task)) {
        task.mPhase = TaskPhase::Failed;
        ResolveWorkload(run.mTask.mWorkload, *workload, aChange.mNowMs);
      }
    }
  }

  void operator()(const PurgeEnded& aChange)
  {
    auto& all = mState.mWorkloads;
    for (auto it = all.begin(); it != all.end();) {
      const bool isExpired = HasEnded(it->second) &&
                             it->second.mEndedMs < aChange.mBeforeMs &&
                             mState.mActive.count(it->first) == 0;
      it = isExpired ? all.erase(it) : std::next(it);
    }
  }

  void operator()(const AdoptCatalog& aChange)
  {
    if (aChange.mCatalog.mVersion <= mState.mCatalog.mVersion) {
      return;
    }
    std::set<QueueKey> used;
    for (const auto& [id, workload] : mState.mWorkloads) {
      used.insert(workload.mQueue);
    }
    mState.mQueues.Adopt(mState.mCatalog, aChange.mCatalog, used);
    mState.mCatalog = aChange.mCatalog;
  }

  void operator()(const BindTarget& aChange)
  {
    if (aChange.mTarget.mInstance.empty()) {
      mState.mBoundTargets.erase(aChange.mAgentName);
    } else {
      mState.mBoundTargets[aChange.mAgentName] = aChange.mTarget;
    }
  }

  void operator()(const RecordEvacuation& aChange)
  {
    if (aChange.mEvacuated) {
      mState.mEvacuatedZones.insert(aChange.mZone);
    } else {
      mState.mEvacuatedZones.erase(aChange.mZone);
    }
  }

  void operator()(const RecordObservations& aChange)
  {
    mState.mObservations = aChange.mObservations;
  }
};

bool
HasEnded(const WorkloadRecord& aWorkload)
{
  return aWorkload.mPhase == WorkloadPhase::Complete ||
         aWorkload.mPhase == WorkloadPhase::Failed ||
         aWorkload.mPhase == WorkloadPhase::Cancelled;
}

void
State::Apply(const Change& aChange)
{
  std::visit(Applier{ *this }, aChange.mBody);
}

const WorkloadRecord*
State::Find(const WorkloadId& aWorkload) const
{
  const auto it = mWorkloads.find(aWorkload);
  return it == mWorkloads.end() ? nullptr : &it->second;
}

const TaskRecord*
State::Find(const TaskId& aTask) const
{
  const WorkloadRecord* workload = Find(aTask.mWorkload);
  if (workload == nullptr) {
    return nullptr;
  }
  for (const OccurrenceRecord& occurrence : workload->mOccurrences) {
    if (occurrence.mNumber == aTask.mOccurrence &&
        aTask.mStep < occurrence.mSteps.size() &&
        aTask.mIndex < occurrence.mSteps[aTask.mStep].mTasks.size()) {
      return &occurrence.mSteps[aTask.mStep].mTasks[aTask.mIndex];
    }
  }
  return nullptr;
}

bool
IsDone(const StepRecord& aStep)
{
  return std::all_of(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const TaskRecord& aTask) {
      return aTask.mPhase == TaskPhase::Done;
    });
}

bool
DependenciesDone(const WorkloadRecord& aWorkload,
                 const OccurrenceRecord& aOccurrence,
                 std::size_t aStep)
{
  const auto& earlier = aWorkload.mSpec.mSteps[aStep].mDependsOn;
  return std::all_of(
    earlier.begin(), earlier.end(), [&](std::uint32_t aEarlier) {
      return IsDone(aOccurrence.mSteps[aEarlier]);
    });
}

} // namespace dogwooddrum::coordination::workloads
