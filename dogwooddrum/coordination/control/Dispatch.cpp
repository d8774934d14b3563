#include "dogwooddrum/coordination/control/Dispatch.h"

#include "dogwooddrum/coordination/control/AgentRegistry.h"
#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/Requests.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using protocol::TaskAction;
using protocol::TaskCommand;

namespace {

/** Returns the command that the attempt's state requires. */
TaskAction
DesiredVerb(const LiveAttempt& aAttempt)
{
  if (aAttempt.mStopping) {
    return aAttempt.mMayRun ? TaskAction::Stop : TaskAction::Release;
  }
  return aAttempt.mMayRun ? TaskAction::Run : TaskAction::Prepare;
}

/** Returns whether the agent has answered the desired command. */
bool
HasAnswered(const LiveTask& aTask, TaskAction aVerb)
{
  switch (aVerb) {
    case TaskAction::Prepare:
      return aTask.mPhase >= jobs::LeasePhase::Prepared;
    case TaskAction::Run:
      return aTask.mPhase >= jobs::LeasePhase::Running;
    default:
      return jobs::IsVacant(aTask.mPhase);
  }
}

TaskCommand
MakeCommand(const CoordinatorCore& aCore,
            const LiveAttempt& aAttempt,
            std::size_t aTask,
            TaskAction aVerb)
{
  TaskCommand command;
  command.mTaskAction = aVerb;
  command.mKey = TaskKeyOf(aAttempt, aTask);
  command.mAccelerators = aAttempt.mTasks[aTask].mAssignment.mAccelerators;
  command.mGangTasks = static_cast<std::uint32_t>(aAttempt.mTasks.size());
  const jobs::JobRecord* job = aCore.mState.Find(aAttempt.mJob);
  if (job == nullptr ||
      (aVerb != TaskAction::Prepare && aVerb != TaskAction::Run)) {
    return command;
  }
  command.mRepeatable = job->mSpec.mRepeatable;
  command.mPayload = job->mSpec.mPayload;
  if (job->mCheckpoint.Value() > 0) {
    command.mResumeFrom = protocol::CheckpointName(
      { job->mJob, job->mCheckpoint, command.mKey.mTask });
  }
  return command;
}

/** Starts a job on the workers that the placer chose. Requeues the job if one
 * of them has no agent any more. */
void
StartJob(CoordinatorCore& aCore, const placement::Start& aStart)
{
  const jobs::JobRecord* job = aCore.mState.Find(aStart.mJob);
  jobs::AttemptStart start;
  start.mAttempt =
    base::AttemptId(job == nullptr ? 1 : job->mLastAttempt.Value() + 1);
  start.mTerm = aCore.mTerm;
  start.mBorrowed = aStart.mBorrowed;
  start.mTasks.resize(aStart.mTasks.size());
  for (const placement::TaskPlacement& task : aStart.mTasks) {
    const auto worker = aCore.mCurrentAgents.find(task.mWorker);
    if (worker == aCore.mCurrentAgents.end() ||
        task.mTask.Value() >= start.mTasks.size()) {
      aCore.mPlacer.Requeue(aStart.mJob, aCore.mNow);
      return;
    }
    start.mTasks[task.mTask.Value()] = { task.mWorker,
                                         worker->second,
                                         task.mAccelerators };
  }
  const auto unsent = aCore.mUnsentSubmits.find(aStart.mJob);
  if (unsent != aCore.mUnsentSubmits.end()) {
    std::get<jobs::SubmitJob>(aCore.mCommands[unsent->second]).mStart =
      std::move(start);
  } else {
    Propose(aCore, jobs::StartAttempt{ aStart.mJob, std::move(start) });
  }
}

void
RejectJob(CoordinatorCore& aCore, const placement::Reject& aReject)
{
  aCore.mPlacer.Remove(aReject.mJob, aCore.mNow);
  Propose(aCore,
          jobs::FailQueued{ aReject.mJob, aReject.mReason, aReject.mMessage });
}

struct DecisionHandler
{
  CoordinatorCore& mCore;

  void operator()(const placement::Start& aStart) const
  {
    StartJob(mCore, aStart);
  }
  void operator()(const placement::Preempt& aPreempt) const
  {
    PreemptJob(mCore, aPreempt.mJob, aPreempt.mStopBy, aPreempt.mReason);
  }
  void operator()(const placement::Move& aMove) const
  {
    PreemptJob(mCore, aMove.mJob, aMove.mStopBy, base::Reason::Preempted);
  }
  void operator()(const placement::Reject& aReject) const
  {
    RejectJob(mCore, aReject);
  }
  void operator()(const placement::Quarantine& aQuarantine) const
  {
    AddNotice(mCore,
              Notice::Kind::WorkerQuarantined,
              base::Reason::TargetFailed,
              aQuarantine.mWorker.Value());
  }
};

} // namespace

void
RunPlacement(CoordinatorCore& aCore)
{
  if (!aCore.mIsLeader || !aCore.mWarmedUp) {
    return;
  }
  const auto next = aCore.mPlacer.NextDecisionTime();
  if (!aCore.mNeedsPlacement && !(next && *next <= aCore.mNow)) {
    return;
  }
  aCore.mNeedsPlacement = false;
  for (const placement::Decision& decision : aCore.mPlacer.Decide(aCore.mNow)) {
    std::visit(DecisionHandler{ aCore }, decision);
  }
}

placement::JobRequest
MakePlacementRequest(const CoordinatorCore& aCore,
                     base::JobId aJob,
                     const protocol::JobSpec& aSpec,
                     base::Time aSubmitted)
{
  placement::JobRequest request;
  request.mJob = aJob;
  request.mAccount = aSpec.mAccount;
  request.mProfile = aSpec.mProfile;
  request.mShape = aSpec.mShape;
  request.mRepeatable = aSpec.mRepeatable;
  request.mSubmitted = aSubmitted;
  request.mDeclaredRun =
    base::Milliseconds(static_cast<std::int64_t>(aSpec.mDeclaredRunMs));
  std::uint64_t deadline = aSpec.mDeadlineMs;
  const protocol::Profile* profile =
    jobs::FindProfile(aCore.mState.Configuration(), aSpec.mProfile);
  if (deadline == 0 && profile != nullptr) {
    deadline = profile->mDeadlineMs;
  }
  if (deadline > 0) {
    request.mDeadline =
      aSubmitted + base::Milliseconds(static_cast<std::int64_t>(deadline));
  }
  return request;
}

void
QueueJob(CoordinatorCore& aCore,
         const jobs::JobRecord& aJob,
         bool aKnownToPlacer)
{
  if (aJob.mNotBeforeMs > ReplicatedClockMs(aCore, aCore.mNow)) {
    Timer timer;
    timer.mKind = Timer::Kind::RequeueJob;
    timer.mJob = aJob.mJob;
    timer.mId = aKnownToPlacer ? 1 : 0;
    AddTimer(aCore, ToLocalTime(aCore, aJob.mNotBeforeMs), timer);
    return;
  }
  if (aKnownToPlacer) {
    aCore.mPlacer.Requeue(aJob.mJob, aCore.mNow);
  } else {
    aCore.mPlacer.Submit(
      MakePlacementRequest(
        aCore, aJob.mJob, aJob.mSpec, ToLocalTime(aCore, aJob.mSubmittedMs)),
      aCore.mNow);
  }
  aCore.mNeedsPlacement = true;
}

void
SendCommand(CoordinatorCore& aCore, AgentRecord& aAgent, TaskCommand aCommand)
{
  if (!aAgent.mSession) {
    return;
  }
  SendMissingConfiguration(aCore, aAgent);
  aCommand.mTerm = aCore.mTerm;
  aCommand.mIncarnation = aAgent.mIncarnation;
  aCommand.mVersion = aCore.mState.Configuration().mVersion;
  Send(aCore, *aAgent.mSession, std::move(aCommand));
}

void
SendCommands(CoordinatorCore& aCore, LiveAttempt& aAttempt)
{
  const TaskAction verb = DesiredVerb(aAttempt);
  if (verb == TaskAction::Run && std::any_of(aAttempt.mTasks.begin(),
                                             aAttempt.mTasks.end(),
                                             [](const LiveTask& aTask) {
                                               return aTask.mPhase >=
                                                      jobs::LeasePhase::Fenced;
                                             })) {
    return; // A gang that has lost a member must not start further tasks.
  }
  bool awaitsReply = false;
  for (std::size_t i = 0; i < aAttempt.mTasks.size(); ++i) {
    const LiveTask& task = aAttempt.mTasks[i];
    AgentRecord* agent = FindAgent(aCore, task.mAssignment.mIncarnation);
    if (!HasAnswered(task, verb)) {
      awaitsReply = true;
      if (agent != nullptr) {
        SendCommand(aCore, *agent, MakeCommand(aCore, aAttempt, i, verb));
      }
    } else if (aAttempt.mPreempting && verb == TaskAction::Run &&
               !jobs::IsVacant(task.mPhase) && !task.mCheckpointed) {
      awaitsReply = true;
      if (agent != nullptr) {
        SendCommand(aCore,
                    *agent,
                    MakeCommand(aCore, aAttempt, i, TaskAction::Checkpoint));
        SendCommand(
          aCore, *agent, MakeCommand(aCore, aAttempt, i, TaskAction::Throttle));
      }
    }
  }
  if (awaitsReply) {
    Timer timer;
    timer.mKind = Timer::Kind::ResendCommands;
    timer.mJob = aAttempt.mJob;
    timer.mAttempt = aAttempt.mAttempt;
    AddTimer(aCore, aCore.mNow + aCore.mOptions.mCommandResend, timer);
  }
}

} // namespace dogwooddrum::coordination::control
