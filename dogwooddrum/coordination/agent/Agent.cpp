#include "dogwooddrum/coordination/agent/Agent.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/agent/AgentState.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::agent {

using protocol::TaskKey;
using protocol::TaskState;

namespace {

/** Number of newest heartbeats whose replies are still used. */
constexpr std::size_t kRememberedHeartbeats = 16;
/** Maximum reports in one heartbeat, so that it fits into a frame. */
constexpr std::size_t kMaxReportsPerHeartbeat = 2000;

} // namespace

Agent::Agent(const AgentOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}
Agent::~Agent() = default;
Agent::Agent(Agent&&) noexcept = default;
Agent&
Agent::operator=(Agent&&) noexcept = default;

void
Agent::Impl::SendHeartbeat(base::Time aNow)
{
  protocol::AgentHeartbeat heartbeat;
  heartbeat.mIncarnation = mOptions.mIncarnation;
  heartbeat.mSequence = ++mHeartbeatSequence;
  heartbeat.mHeldVersion = mVersion;
  heartbeat.mWorkerInfo = mOptions.mWorkerInfo;
  heartbeat.mLeaving = mLeaving;
  heartbeat.mBusyAccelerators = mBusyAccelerators;
  for (const auto& [key, task] : mTasks) {
    if (heartbeat.mTasks.size() < kMaxReportsPerHeartbeat) {
      heartbeat.mTasks.push_back(task.mReport);
    }
  }
  mHeartbeatSentAt[mHeartbeatSequence] = aNow;
  if (mHeartbeatSentAt.size() > kRememberedHeartbeats) {
    mHeartbeatSentAt.erase(mHeartbeatSentAt.begin());
  }
  mNextHeartbeat = aNow + mOptions.mHeartbeatInterval;
  mOutput.mMessages.emplace_back(std::move(heartbeat));
}

void
Agent::OnLinkUp(base::Time aNow)
{
  mImpl->ExpireLeases(aNow);
  mImpl->SendHeartbeat(aNow);
  for (const TaskKey& key : mImpl->mUnackedAnswers) {
    // Chunks sent on the old link may be lost, and the leader may be new.
    mImpl->FindTask(key)->mLastSent = aNow - mImpl->mOptions.mResendInterval;
  }
  mImpl->ResendAnswers(aNow);
}

void
Agent::OnCommand(const protocol::TaskCommand& aCommand, base::Time aNow)
{
  mImpl->ExpireLeases(aNow);
  mImpl->HandleCommand(aCommand, aNow);
}

void
Agent::OnHeartbeatReply(const protocol::HeartbeatReply& aReply, base::Time aNow)
{
  Impl& impl = *mImpl;
  impl.ExpireLeases(aNow);
  if (aReply.mIncarnation != impl.mOptions.mIncarnation ||
      aReply.mTerm < impl.mHighestTerm) {
    return;
  }
  impl.mHighestTerm = aReply.mTerm;
  if (aReply.mBody && aReply.mBody->mVersion > impl.mVersion) {
    impl.mVersion = aReply.mBody->mVersion;
  }
  const auto sent = impl.mHeartbeatSentAt.find(aReply.mSequence);
  if (sent != impl.mHeartbeatSentAt.end()) {
    if (impl.mVersion >= aReply.mVersion) {
      impl.mFreshUntil = std::max(
        impl.mFreshUntil, sent->second + impl.mOptions.mFreshnessPeriod);
    }
    const base::Time end = sent->second + impl.mOptions.mTaskLease;
    impl.mNewLeaseEnd = std::max(impl.mNewLeaseEnd, end);
    for (const TaskKey& key : aReply.mRenewedLeases) {
      AgentTask* task = impl.FindTask(key);
      if (task != nullptr && !task->mStopCalled) {
        task->mLeaseEnd = std::max(task->mLeaseEnd, end);
      }
    }
  }
  for (const TaskKey& key : aReply.mAcknowledgedReports) {
    impl.Forget(key, aNow);
  }
  impl.SendAnswerChunks(aNow);
}

void
Agent::OnTaskStarted(const TaskKey&, base::Time aNow)
{
  mImpl->ExpireLeases(aNow);
}

void
Agent::OnTaskFinished(const TaskKey& aKey, std::string aAnswer, base::Time aNow)
{
  if (aAnswer.size() > protocol::kMaxAnswerBytes) {
    OnTaskFailed(aKey,
                 base::Reason::AnswerTooLarge,
                 true,
                 "answer of " + std::to_string(aAnswer.size()) +
                   " bytes, at most " +
                   std::to_string(protocol::kMaxAnswerBytes) + " are allowed",
                 aNow);
    return;
  }
  AgentTask* task = mImpl->FindTask(aKey);
  if (task == nullptr || !HoldsResources(*task)) {
    return;
  }
  task->mAnswer = std::move(aAnswer);
  task->mReport.mAnswerBytes = task->mAnswer.size();
  task->mReport.mAnswerChecksum = base::Checksum(task->mAnswer);
  mImpl->SetFinalState(*task, TaskState::Finished, base::Reason::None);
  mImpl->QueueAnswer(*task);
  mImpl->SendAnswerChunks(aNow);
}

void
Agent::OnTaskFailed(const TaskKey& aKey,
                    base::Reason aReason,
                    bool aDispatched,
                    std::string aMessage,
                    base::Time)
{
  AgentTask* task = mImpl->FindTask(aKey);
  if (task == nullptr || !HoldsResources(*task)) {
    return;
  }
  task->mReport.mDispatched = aDispatched;
  task->mReport.mMessage = std::move(aMessage);
  mImpl->SetFinalState(*task, TaskState::Failed, aReason);
}

void
Agent::OnTaskCheckpointed(const TaskKey& aKey, base::Time)
{
  AgentTask* task = mImpl->FindTask(aKey);
  if (task != nullptr && task->mReport.mState == TaskState::Running) {
    task->mReport.mState = TaskState::Checkpointed;
    mImpl->SendReport(*task);
  }
}

void
Agent::OnTaskStopped(const TaskKey& aKey, base::Time)
{
  AgentTask* task = mImpl->FindTask(aKey);
  if (task != nullptr && HoldsResources(*task)) {
    mImpl->SetFinalState(*task, TaskState::Stopped, task->mStopReason);
  }
}

void
Agent::OnUsage(std::uint32_t aBusyAccelerators)
{
  mImpl->mBusyAccelerators = aBusyAccelerators;
}

void
Agent::BeginDrain(base::Time aNow)
{
  mImpl->mLeaving = true;
  mImpl->SendHeartbeat(aNow);
}

bool
Agent::IsDrained() const
{
  return mImpl->mHeldTasks.empty() && mImpl->mUnackedAnswers.empty();
}

void
Agent::Tick(base::Time aNow)
{
  Impl& impl = *mImpl;
  impl.ExpireLeases(aNow);
  while (!impl.mFencesByTime.empty() &&
         impl.mFencesByTime.begin()->first <= aNow) {
    impl.mFences.erase(impl.mFencesByTime.begin()->second);
    impl.mFencesByTime.erase(impl.mFencesByTime.begin());
  }
  if (impl.mNextHeartbeat <= aNow) {
    impl.SendHeartbeat(aNow);
  }
  impl.ResendAnswers(aNow);
}

Output
Agent::TakeOutput()
{
  return std::exchange(mImpl->mOutput, Output{});
}

bool
Agent::HasFreshConfiguration(base::Time aNow) const
{
  return mImpl->IsFresh(aNow);
}

base::ConfigurationVersion
Agent::Version() const
{
  return mImpl->mVersion;
}

base::Term
Agent::HighestTerm() const
{
  return mImpl->mHighestTerm;
}

std::uint32_t
Agent::HeldTasks() const
{
  return static_cast<std::uint32_t>(mImpl->mHeldTasks.size());
}

} // namespace dogwooddrum::coordination::agent
