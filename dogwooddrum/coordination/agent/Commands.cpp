#include "dogwooddrum/coordination/agent/AgentState.h"

#include <algorithm>

namespace dogwooddrum::coordination::agent {

using protocol::TaskAction;
using protocol::TaskCommand;
using protocol::TaskKey;
using protocol::TaskReport;
using protocol::TaskState;

namespace {

TaskReport
MakeReport(const TaskKey& aKey, TaskState aState, const base::Failure& aFailure)
{
  TaskReport report;
  report.mKey = aKey;
  report.mState = aState;
  report.mReason = aFailure.mReason;
  report.mMessage = aFailure.mMessage;
  return report;
}

bool
IsStartVerb(TaskAction aVerb)
{
  return aVerb == TaskAction::Prepare || aVerb == TaskAction::Run;
}

} // namespace

bool
HoldsResources(const AgentTask& aTask)
{
  const TaskState state = aTask.mReport.mState;
  return state == TaskState::Prepared || state == TaskState::Running ||
         state == TaskState::Checkpointed;
}

AgentTask*
Agent::Impl::FindTask(const TaskKey& aKey)
{
  const auto it = mTasks.find(aKey);
  return it == mTasks.end() ? nullptr : &it->second;
}

void
Agent::Impl::SendReport(const AgentTask& aTask)
{
  mOutput.mMessages.emplace_back(aTask.mReport);
}

void
Agent::Impl::HandleCommand(const TaskCommand& aCommand, base::Time aNow)
{
  const TaskKey& key = aCommand.mKey;
  if (aCommand.mIncarnation != mOptions.mIncarnation) {
    // This report proves nothing about the addressed incarnation; control
    // compares the incarnation before it uses the report as proof.
    mOutput.mMessages.emplace_back(MakeReport(
      key,
      TaskState::Refused,
      { base::Reason::WrongIncarnation,
        "command for incarnation " +
          std::to_string(aCommand.mIncarnation.Value()) + ", this is " +
          std::to_string(mOptions.mIncarnation.Value()) }));
    return;
  }
  const bool old = aCommand.mTerm < mHighestTerm;
  mHighestTerm = std::max(mHighestTerm, aCommand.mTerm);
  const auto fence = mFences.find(key);
  AgentTask* task = FindTask(key);
  if (fence != mFences.end()) {
    mOutput.mMessages.emplace_back(fence->second.mReport);
    return;
  }
  if (task == nullptr) {
    if (IsStartVerb(aCommand.mTaskAction) || old) {
      Reserve(aCommand, aNow);
    } else if (aCommand.mTaskAction == TaskAction::Release ||
               aCommand.mTaskAction == TaskAction::Stop) {
      AgentTask& fenced = mTasks[key];
      fenced.mReport = MakeReport(key, TaskState::Released, {});
      SendReport(fenced);
    }
    return;
  }
  if (old) {
    SendReport(*task);
    return;
  }
  switch (aCommand.mTaskAction) {
    case TaskAction::Prepare:
      SendReport(*task);
      break;
    case TaskAction::Run:
      if (task->mReport.mState == TaskState::Prepared) {
        Start(*task);
      }
      SendReport(*task);
      break;
    case TaskAction::Release:
    case TaskAction::Stop:
      StopOrRelease(*task, base::Reason::None);
      break;
    case TaskAction::Checkpoint:
      if (task->mReport.mState == TaskState::Running) {
        mOutput.mCalls.emplace_back(
          CheckpointTask{ key, protocol::CheckpointName(key) });
      }
      break;
    case TaskAction::Throttle:
      if (HoldsResources(*task) &&
          task->mReport.mState != TaskState::Prepared) {
        mOutput.mCalls.emplace_back(ThrottleTask{ key });
      }
      break;
  }
}

base::Failure
Agent::Impl::CheckNewTask(const TaskCommand& aCommand, base::Time aNow) const
{
  using base::Reason;
  if (aCommand.mTerm < mHighestTerm) {
    return { Reason::OldTerm,
             "command of term " + std::to_string(aCommand.mTerm.Value()) +
               ", the highest seen is " +
               std::to_string(mHighestTerm.Value()) };
  }
  if (mLeaving) {
    return { Reason::Draining,
             "worker \"" + mOptions.mWorkerInfo.mWorker.Value() +
               "\" is leaving" };
  }
  if (!IsFresh(aNow) || mNewLeaseEnd <= aNow) {
    return { Reason::ConfigurationStale,
             "no confirmed configuration for " +
               std::to_string(base::ToMilliseconds(mOptions.mFreshnessPeriod)) +
               " ms" };
  }
  if (mVersion < aCommand.mVersion) {
    return { Reason::ConfigurationStale,
             "configuration version " + std::to_string(mVersion.Value()) +
               " is older than the command's " +
               std::to_string(aCommand.mVersion.Value()) };
  }
  if (mHeldTasks.size() >= mOptions.mWorkerInfo.mSlots) {
    return { Reason::SlotsFull,
             "all " + std::to_string(mOptions.mWorkerInfo.mSlots) +
               " slots are in use" };
  }
  if (mHeldAnswerBytes >= mOptions.mMaxHeldAnswerBytes) {
    return { Reason::SlotsFull,
             std::to_string(mHeldAnswerBytes) +
               " bytes of answers wait for delivery" };
  }
  const std::uint32_t free =
    mOptions.mWorkerInfo.mAccelerators -
    std::min(mHeldAccelerators, mOptions.mWorkerInfo.mAccelerators);
  if (aCommand.mAccelerators > free) {
    return { Reason::SlotsFull,
             std::to_string(aCommand.mAccelerators) + " accelerators wanted, " +
               std::to_string(free) + " are free" };
  }
  if (mHeldTasks.size() >= mOptions.mConnections) {
    return { Reason::ConnectionsFull,
             "all " + std::to_string(mOptions.mConnections) +
               " connections are in use" };
  }
  return {};
}

void
Agent::Impl::Reserve(const TaskCommand& aCommand, base::Time aNow)
{
  const base::Failure failure = CheckNewTask(aCommand, aNow);
  AgentTask& task = mTasks[aCommand.mKey];
  if (failure.mReason != base::Reason::None) {
    task.mReport = MakeReport(aCommand.mKey, TaskState::Refused, failure);
    SendReport(task);
    return;
  }
  task.mReport = MakeReport(aCommand.mKey, TaskState::Prepared, {});
  task.mAccelerators = aCommand.mAccelerators;
  task.mLeaseEnd = mNewLeaseEnd;
  task.mResumeFrom = aCommand.mResumeFrom;
  task.mPayload = aCommand.mPayload;
  mHeldTasks.insert(aCommand.mKey);
  mHeldAccelerators += task.mAccelerators;
  if (aCommand.mTaskAction == TaskAction::Run) {
    Start(task);
  }
  SendReport(task);
}

void
Agent::Impl::Start(AgentTask& aTask)
{
  aTask.mReport.mState = TaskState::Running;
  aTask.mReport.mDispatched = true;
  StartTask call;
  call.mKey = aTask.mReport.mKey;
  call.mAccelerators = aTask.mAccelerators;
  call.mResumeFrom = std::move(aTask.mResumeFrom);
  call.mPayload = std::move(aTask.mPayload);
  mOutput.mCalls.emplace_back(std::move(call));
}

void
Agent::Impl::StopOrRelease(AgentTask& aTask, base::Reason aReason)
{
  if (aTask.mReport.mState == TaskState::Prepared) {
    SetFinalState(aTask, TaskState::Released, aReason);
    return;
  }
  if (HoldsResources(aTask)) {
    if (!aTask.mStopCalled) {
      aTask.mStopCalled = true;
      aTask.mStopReason = aReason;
      mOutput.mCalls.emplace_back(StopTask{ aTask.mReport.mKey });
    }
    return; // Reported once the platform has stopped the task.
  }
  SendReport(aTask);
}

void
Agent::Impl::SetFinalState(AgentTask& aTask,
                           TaskState aState,
                           base::Reason aReason)
{
  if (HoldsResources(aTask)) {
    mHeldTasks.erase(aTask.mReport.mKey);
    mHeldAccelerators -= aTask.mAccelerators;
  }
  aTask.mReport.mState = aState;
  aTask.mReport.mReason = aReason;
  aTask.mPayload.clear();
  SendReport(aTask);
}

void
Agent::Impl::ExpireLeases(base::Time aNow)
{
  for (auto it = mHeldTasks.begin(); it != mHeldTasks.end();) {
    AgentTask& task = *FindTask(*it);
    ++it; // StopOrRelease removes a reserved task from the set.
    if (task.mLeaseEnd <= aNow) {
      StopOrRelease(task, base::Reason::LeaseExpired);
    }
  }
}

void
Agent::Impl::Forget(const TaskKey& aKey, base::Time aNow)
{
  AgentTask* task = FindTask(aKey);
  if (task == nullptr || HoldsResources(*task)) {
    return;
  }
  DropAnswer(*task);
  const base::Time until = aNow + mOptions.mFenceRetention;
  mFences[aKey] = FencedAttempt{ std::move(task->mReport), until };
  mFencesByTime.emplace(until, aKey);
  mTasks.erase(aKey);
}

} // namespace dogwooddrum::coordination::agent
