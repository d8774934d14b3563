#include "dogwooddrum/coordination/control/AgentRegistry.h"

#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/Dispatch.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using protocol::TaskKey;
using protocol::TaskReport;
using protocol::TaskState;

namespace {

/** Largest number of replaced processes kept, newest last. */
constexpr std::size_t kMaxReplacedAgents = 1024;

/** Returns the time after a grant by which the agent's lease has certainly
 * ended, even if the agent's clock is slower by the allowed drift. */
base::Duration
LeaseBound(const CoordinatorOptions& aOptions)
{
  const auto lease = static_cast<double>(aOptions.mTaskLease.count());
  const double bound = lease * (1 + aOptions.mClockDrift);
  return base::Duration(static_cast<base::Duration::rep>(bound)) +
         aOptions.mLeaseMargin;
}

void
OfferWorker(CoordinatorCore& aCore, AgentRecord& aAgent)
{
  aAgent.mUp = true;
  aCore.mPlacer.AddOrUpdateWorker({ aAgent.mWorkerInfo.mWorker,
                                    aAgent.mWorkerInfo.mRack,
                                    aAgent.mWorkerInfo.mZone,
                                    aAgent.mWorkerInfo.mAccelerators },
                                  aCore.mNow);
  aCore.mNeedsPlacement = true;
  AddNotice(aCore,
            Notice::Kind::WorkerUp,
            base::Reason::None,
            aAgent.mWorkerInfo.mWorker.Value());
}

void
WithdrawWorker(CoordinatorCore& aCore,
               AgentRecord& aAgent,
               base::Reason aReason)
{
  if (!aAgent.mUp) {
    return;
  }
  aAgent.mUp = false;
  aCore.mPlacer.MarkWorkerDown(aAgent.mWorkerInfo.mWorker, aCore.mNow);
  aCore.mNeedsPlacement = true;
  AddNotice(aCore,
            Notice::Kind::WorkerLost,
            aReason,
            aAgent.mWorkerInfo.mWorker.Value());
}

void
ScheduleAgentCheck(CoordinatorCore& aCore,
                   const AgentRecord& aAgent,
                   base::Time aWhen)
{
  Timer timer;
  timer.mKind = Timer::Kind::CheckAgent;
  timer.mId = aAgent.mIncarnation.Value();
  AddTimer(aCore, aWhen, timer);
}

/** Makes aAgent the process that serves its worker. */
void
TakeOverWorker(CoordinatorCore& aCore, AgentRecord& aAgent)
{
  auto& current = aCore.mCurrentAgents[aAgent.mWorkerInfo.mWorker];
  if (current == aAgent.mIncarnation) {
    return;
  }
  if (AgentRecord* old = FindAgent(aCore, current)) {
    // Tasks of the old process hold accelerators until its last lease ends.
    WithdrawWorker(aCore, *old, base::Reason::WorkerLost);
    old->mIsReplaced = true;
    aCore.mReplacedAgents.push_back(current);
    if (aCore.mReplacedAgents.size() > kMaxReplacedAgents) {
      aCore.mReplacedAgents.pop_front();
    }
  }
  current = aAgent.mIncarnation;
}

/**
 * Clears the mark of a replaced process once its successor is silent. Messages
 * of two processes can arrive in any order, so a late heartbeat of an ended
 * process may have replaced the live one.
 */
void
ReinstateIfSuccessorIsSilent(CoordinatorCore& aCore, AgentRecord& aAgent)
{
  const AgentRecord* successor =
    FindAgent(aCore, aCore.mCurrentAgents[aAgent.mWorkerInfo.mWorker]);
  if (successor != nullptr &&
      aCore.mNow - successor->mLastHeartbeatAt < aCore.mOptions.mAgentTimeout) {
    return;
  }
  aAgent.mIsReplaced = false;
  auto& replaced = aCore.mReplacedAgents;
  replaced.erase(
    std::remove(replaced.begin(), replaced.end(), aAgent.mIncarnation),
    replaced.end());
}

/** Makes the agent stop or forget a task that belongs to no live attempt. */
void
HandleOrphanedTask(CoordinatorCore& aCore,
                   AgentRecord& aAgent,
                   const TaskReport& aReport)
{
  switch (aReport.mState) {
    case TaskState::Prepared:
    case TaskState::Running:
    case TaskState::Checkpointed: {
      protocol::TaskCommand command;
      command.mTaskAction = protocol::TaskAction::Stop;
      command.mKey = aReport.mKey;
      SendCommand(aCore, aAgent, std::move(command));
      break;
    }
    default:
      aAgent.mTasksToForget.insert(aReport.mKey);
      break;
  }
}

} // namespace

AgentRecord&
FindOrAddAgent(CoordinatorCore& aCore,
               const jobs::Assignment& aAssignment,
               base::Time aGrantedAt)
{
  const auto [it, added] =
    aCore.mAgents.try_emplace(aAssignment.mIncarnation, AgentRecord{});
  AgentRecord& agent = it->second;
  if (added) {
    agent.mIncarnation = aAssignment.mIncarnation;
    agent.mWorkerInfo.mWorker = aAssignment.mWorker;
    agent.mLastHeartbeatAt = aGrantedAt;
    agent.mLastGrant = aGrantedAt;
    ScheduleAgentCheck(aCore, agent, aGrantedAt + LeaseBound(aCore.mOptions));
  }
  return agent;
}

void
OnHeartbeat(CoordinatorCore& aCore,
            SessionId aSession,
            const protocol::AgentHeartbeat& aHeartbeat)
{
  auto [it, added] =
    aCore.mAgents.try_emplace(aHeartbeat.mIncarnation, AgentRecord{});
  AgentRecord& agent = it->second;
  if (added) {
    agent.mIncarnation = aHeartbeat.mIncarnation;
    agent.mLastGrant = aCore.mNow;
    agent.mIsReplaced =
      std::find(aCore.mReplacedAgents.begin(),
                aCore.mReplacedAgents.end(),
                aHeartbeat.mIncarnation) != aCore.mReplacedAgents.end();
    ScheduleAgentCheck(aCore, agent, aCore.mNow + aCore.mOptions.mAgentTimeout);
  }
  if (aHeartbeat.mSequence < agent.mSequence) {
    return; // A newer heartbeat has arrived already.
  }
  agent.mSequence = aHeartbeat.mSequence;
  agent.mLastHeartbeatAt = aCore.mNow;
  agent.mWorkerInfo = aHeartbeat.mWorkerInfo;
  agent.mBusyAccelerators = aHeartbeat.mBusyAccelerators;
  agent.mLeaving = aHeartbeat.mLeaving;
  if (agent.mSession != aSession) {
    if (agent.mSession) {
      aCore.mAgentSessions.erase(*agent.mSession);
    }
    agent.mSession = aSession;
    aCore.mAgentSessions[aSession] = agent.mIncarnation;
  }
  // A configuration that was sent but lost must be resent.
  agent.mVersionSent = aHeartbeat.mHeldVersion;
  if (agent.mIsReplaced) {
    ReinstateIfSuccessorIsSilent(aCore, agent);
  }
  if (!agent.mIsReplaced) {
    TakeOverWorker(aCore, agent);
  }
  if (agent.mLeaving) {
    WithdrawWorker(aCore, agent, base::Reason::Draining);
  }
  for (const TaskReport& report : aHeartbeat.mTasks) {
    RouteTaskReport(aCore, agent, report);
  }
  if (!agent.mIsReplaced) {
    aCore.mNextReadBatch.emplace_back(
      DeferredHeartbeat{ aSession,
                         aHeartbeat.mIncarnation,
                         aHeartbeat.mSequence,
                         aHeartbeat.mHeldVersion });
  }
}

void
ReplyToHeartbeat(CoordinatorCore& aCore, const DeferredHeartbeat& aQuery)
{
  AgentRecord* agent = FindAgent(aCore, aQuery.mIncarnation);
  if (agent == nullptr || agent->mIsReplaced) {
    return;
  }
  const protocol::Configuration& configuration = aCore.mState.Configuration();
  protocol::HeartbeatReply reply;
  reply.mSequence = aQuery.mSequence;
  reply.mIncarnation = aQuery.mIncarnation;
  reply.mTerm = aCore.mTerm;
  reply.mVersion = configuration.mVersion;
  if (aQuery.mHeldVersion < configuration.mVersion) {
    reply.mBody = configuration;
    agent->mVersionSent = configuration.mVersion;
  }
  for (const TaskKey& key : agent->mTasks) {
    const LiveAttempt* attempt = FindAttempt(aCore, key.mJob, key.mAttempt);
    if (attempt != nullptr && !attempt->mStopping &&
        !jobs::IsVacant(attempt->mTasks[key.mTask.Value()].mPhase)) {
      reply.mRenewedLeases.push_back(key);
    }
  }
  reply.mAcknowledgedReports.assign(agent->mTasksToForget.begin(),
                                    agent->mTasksToForget.end());
  // The agent reports these tasks again if this reply is lost.
  agent->mTasksToForget.clear();
  agent->mLastGrant = aCore.mNow;
  agent->mRepliedSequence = std::max(agent->mRepliedSequence, aQuery.mSequence);
  Send(aCore, aQuery.mSession, std::move(reply));
  aCore.mSlowTargetDetector.Readmit(aCore.mNow);
  if (!agent->mUp && !agent->mLeaving &&
      !aCore.mSlowTargetDetector.IsEjected(agent->mWorkerInfo.mWorker)) {
    OfferWorker(aCore, *agent);
  }
}

void
RecordRunTime(CoordinatorCore& aCore,
              const jobs::Assignment& aAssignment,
              const base::ProfileId& aProfile,
              base::Duration aRun)
{
  AgentRecord* agent = FindAgent(aCore, aAssignment.mIncarnation);
  const auto until = aCore.mSlowTargetDetector.RecordRun(
    aAssignment.mWorker, aProfile, aRun, aCore.mNow);
  if (agent == nullptr || !until) {
    return;
  }
  WithdrawWorker(aCore, *agent, base::Reason::TargetSlow);
  if (!aCore.mPlacer.CheckConfiguration(aCore.mState.Configuration())) {
    // Guarantees must stay reclaimable, even if that takes a slow worker.
    aCore.mSlowTargetDetector.Forget(aAssignment.mWorker);
    OfferWorker(aCore, *agent);
  }
}

void
SendMissingConfiguration(CoordinatorCore& aCore, AgentRecord& aAgent)
{
  const protocol::Configuration& configuration = aCore.mState.Configuration();
  if (aAgent.mVersionSent >= configuration.mVersion || !aAgent.mSession) {
    return;
  }
  // Repeats an answered heartbeat's sequence number, so that no lease is
  // renewed.
  protocol::HeartbeatReply reply;
  reply.mSequence = aAgent.mRepliedSequence;
  reply.mIncarnation = aAgent.mIncarnation;
  reply.mTerm = aCore.mTerm;
  reply.mVersion = configuration.mVersion;
  reply.mBody = configuration;
  aAgent.mVersionSent = configuration.mVersion;
  Send(aCore, *aAgent.mSession, std::move(reply));
}

void
RouteTaskReport(CoordinatorCore& aCore,
                AgentRecord& aAgent,
                const TaskReport& aReport)
{
  LiveAttempt* attempt =
    FindAttempt(aCore, aReport.mKey.mJob, aReport.mKey.mAttempt);
  const std::size_t index = aReport.mKey.mTask.Value();
  if (attempt == nullptr || index >= attempt->mTasks.size() ||
      attempt->mTasks[index].mAssignment.mIncarnation != aAgent.mIncarnation) {
    // This includes the refusal of a command for another incarnation, which
    // proves nothing about that incarnation's task.
    HandleOrphanedTask(aCore, aAgent, aReport);
    return;
  }
  OnTaskReport(aCore, *attempt, index, aReport);
}

void
CheckAgent(CoordinatorCore& aCore, base::Incarnation aIncarnation)
{
  AgentRecord* agent = FindAgent(aCore, aIncarnation);
  if (agent == nullptr) {
    return;
  }
  const base::Time silentAt =
    agent->mLastHeartbeatAt + aCore.mOptions.mAgentTimeout;
  const base::Time expiresAt = agent->mLastGrant + LeaseBound(aCore.mOptions);
  if (silentAt <= aCore.mNow) {
    WithdrawWorker(aCore, *agent, base::Reason::LinkSilent);
  }
  if (expiresAt > aCore.mNow) {
    ScheduleAgentCheck(aCore,
                       *agent,
                       silentAt > aCore.mNow ? std::min(silentAt, expiresAt)
                                             : expiresAt);
    return;
  }
  const std::set<TaskKey> tasks = agent->mTasks;
  for (const TaskKey& key : tasks) {
    if (LiveAttempt* attempt = FindAttempt(aCore, key.mJob, key.mAttempt)) {
      ExpireTask(aCore, *attempt, key.mTask.Value());
    }
  }
  if (silentAt > aCore.mNow) {
    // Heartbeats arrive but none was replied to: the process was replaced, or
    // no read was confirmed.
    ScheduleAgentCheck(aCore, *agent, silentAt);
    return;
  }
  const auto current = aCore.mCurrentAgents.find(agent->mWorkerInfo.mWorker);
  if (current != aCore.mCurrentAgents.end() &&
      current->second == aIncarnation) {
    aCore.mCurrentAgents.erase(current);
  }
  if (agent->mSession) {
    aCore.mAgentSessions.erase(*agent->mSession);
  }
  aCore.mAgents.erase(aIncarnation);
}

void
CloseAgentSession(CoordinatorCore& aCore, SessionId aSession)
{
  const auto it = aCore.mAgentSessions.find(aSession);
  if (it == aCore.mAgentSessions.end()) {
    return;
  }
  AgentRecord* agent = FindAgent(aCore, it->second);
  if (agent != nullptr && agent->mSession == aSession) {
    agent->mSession.reset();
  }
  aCore.mAgentSessions.erase(it);
}

} // namespace dogwooddrum::coordination::control
