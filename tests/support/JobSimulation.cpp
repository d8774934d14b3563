#include "tests/support/JobSimulation.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/protocol/Codec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::tests {

namespace {

constexpr base::Duration kTickInterval = base::Milliseconds(5);

} // namespace

protocol::JobSpec
MakeSmallJob(const std::string& aKey)
{
  protocol::JobSpec spec;
  spec.mAccount = base::AccountId("yard");
  spec.mProfile = base::ProfileId("batch");
  spec.mKey = base::IdempotencyKey(aKey);
  spec.mPayload = "payload of " + aKey;
  return spec;
}

protocol::JobSpec
MakeGang(const std::string& aKey,
         std::uint32_t aTasks,
         std::uint32_t aAccelerators)
{
  protocol::JobSpec spec = MakeSmallJob(aKey);
  spec.mShape.mTasks = aTasks;
  spec.mShape.mAcceleratorsPerTask = aAccelerators;
  return spec;
}

JobSimulation::JobSimulation(const JobSimulationOptions& aOptions)
  : mOptions(aOptions)
{
  mNow += base::Milliseconds(1000);
  for (std::uint32_t i = 0; i < mOptions.mMembers; ++i) {
    auto options = mOptions.mControl;
    options.mSelf = base::MemberId(i + 1);
    mMembers.push_back(std::make_unique<control::Coordinator>(options));
    mActsAsLeader.push_back(false);
  }
  for (std::uint32_t i = 0; i < mOptions.mWorkers; ++i) {
    auto host = std::make_unique<SimulatedAgent>();
    host->mWorker = "w" + std::to_string(i);
    host->mAgent = MakeAgent(*host);
    mHosts.push_back(std::move(host));
  }
  mActsAsLeader[0] = true;
  mMembers[0]->BecomeLeader(mTerm, mNow);
}

std::unique_ptr<agent::Agent>
JobSimulation::MakeAgent(SimulatedAgent& aHost)
{
  aHost.mIncarnation = base::Incarnation(++mLastId);
  aHost.mSession = control::SessionId(++mLastId);
  auto options = mOptions.mAgent;
  options.mIncarnation = aHost.mIncarnation;
  options.mWorkerInfo.mWorker = base::WorkerId(aHost.mWorker);
  options.mWorkerInfo.mRack = base::RackId("r0");
  options.mWorkerInfo.mZone = base::ZoneId("z0");
  options.mWorkerInfo.mAccelerators = mOptions.mAccelerators;
  options.mWorkerInfo.mSlots = 8;
  return std::make_unique<agent::Agent>(options);
}

void
JobSimulation::Boot()
{
  protocol::ClientAccount account;
  account.mName = base::AccountId("yard");
  account.mGuarantees.push_back(
    { mOptions.mWorkers, mOptions.mAccelerators, protocol::Adjacency::Worker });
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId("boot-account");
  change.mEdit = account;
  auto outcome = std::get<protocol::ChangeOutcome>(SendAndWait(change));
  ASSERT_TRUE(outcome.mAccepted) << outcome.mMessage;
  protocol::Profile profile;
  profile.mName = base::ProfileId("batch");
  change.mChangeId = base::ChangeId("boot-profile");
  change.mBaseVersion = outcome.mVersion;
  change.mEdit = profile;
  outcome = std::get<protocol::ChangeOutcome>(SendAndWait(change));
  ASSERT_TRUE(outcome.mAccepted) << outcome.mMessage;
  Run(mOptions.mControl.mWarmUp + base::Milliseconds(1100));
}

void
JobSimulation::At(base::Time aWhen, std::function<void()> aAction)
{
  mEvents.emplace(aWhen, std::move(aAction));
}

void
JobSimulation::Deliver(const std::function<void()>& aAction)
{
  At(mNow + mOptions.mNetworkDelay, aAction);
}

void
JobSimulation::ProcessAllOutput()
{
  for (std::uint32_t i = 0; i < mMembers.size(); ++i) {
    ProcessMemberOutput(i);
  }
  for (auto& host : mHosts) {
    ProcessAgentOutput(*host);
  }
}

void
JobSimulation::Run(base::Duration aDuration)
{
  const base::Time end = mNow + aDuration;
  while (mNow < end) {
    const base::Time next = std::min(end, mNow + kTickInterval);
    while (!mEvents.empty() && mEvents.begin()->first <= next) {
      mNow = std::max(mNow, mEvents.begin()->first);
      const auto action = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      action();
      ProcessAllOutput();
    }
    mNow = next;
    for (auto& member : mMembers) {
      member->Tick(mNow);
    }
    for (auto& host : mHosts) {
      if (host->mAgent && !host->mFrozen) {
        host->mAgent->Tick(mNow);
      }
    }
    ProcessAllOutput();
  }
}

bool
JobSimulation::RunUntil(const std::function<bool()>& aDone,
                        base::Duration aLimit)
{
  const base::Time end = mNow + aLimit;
  while (!aDone()) {
    if (mNow >= end) {
      return false;
    }
    Run(kTickInterval);
  }
  return true;
}

void
JobSimulation::ScheduleCommit(std::uint32_t aMember,
                              const std::string& aPayload)
{
  const std::uint64_t epoch = mProposalEpoch;
  const base::Term term = mTerm;
  At(mNow + mOptions.mCommitDelay, [this, aMember, aPayload, epoch, term] {
    if (epoch != mProposalEpoch || aMember != mLeader) {
      return; // The proposal was lost with its leader.
    }
    if (!mCommitsEnabled) {
      ScheduleCommit(aMember, aPayload);
      return;
    }
    mLog.push_back(aPayload);
    consensus::LogEntry entry;
    entry.mTerm = term;
    entry.mIndex = base::LogIndex(mLog.size());
    entry.mPayload = aPayload;
    for (std::uint32_t i = 0; i < mMembers.size(); ++i) {
      if (!mActsAsLeader[i] || i == mLeader) {
        mMembers[i]->Apply(entry, mNow);
      }
    }
  });
}

void
JobSimulation::ProcessMemberOutput(std::uint32_t aMember)
{
  control::Output out = mMembers[aMember]->TakeOutput();
  mMaxProposalsPerOutput =
    std::max(mMaxProposalsPerOutput, out.mProposals.size());
  for (const std::string& payload : out.mProposals) {
    ScheduleCommit(aMember, payload);
  }
  for (const consensus::ReadId read : out.mReads) {
    At(mNow + mOptions.mCommitDelay, [this, aMember, read] {
      if (aMember == mLeader || mConfirmReadsUnchecked) {
        mMembers[aMember]->OnReadConfirmed(read, mNow);
      }
    });
  }
  for (control::Outgoing& message : out.mMessages) {
    if (message.mSession.Value() <= mMembers.size()) {
      if (auto* reply = std::get_if<protocol::ClientReply>(&message.mMessage)) {
        mReplies[reply->mId.Value()] = std::move(reply->mBody);
      }
    } else {
      SendToAgent(message);
    }
  }
  for (control::Notice& notice : out.mNotices) {
    mNotices.push_back(std::move(notice));
  }
}

void
JobSimulation::SendToAgent(const control::Outgoing& aOut)
{
  const int copies = mCopiesToAgent ? mCopiesToAgent(aOut) : 1;
  for (int i = 0; i < copies; ++i) {
    Deliver([this, aOut] {
      for (auto& host : mHosts) {
        if (!host->mAgent || !host->mLinked ||
            host->mSession != aOut.mSession) {
          continue;
        }
        agent::Agent& agent = *host->mAgent;
        const auto arrive = [this, &agent, aOut] {
          if (const auto* a =
                std::get_if<protocol::TaskCommand>(&aOut.mMessage)) {
            agent.OnCommand(*a, mNow);
          } else if (const auto* b =
                       std::get_if<protocol::HeartbeatReply>(&aOut.mMessage)) {
            agent.OnHeartbeatReply(*b, mNow);
          } else if (const auto* c =
                       std::get_if<protocol::AnswerAck>(&aOut.mMessage)) {
            agent.OnAnswerAck(*c, mNow);
          }
        };
        if (host->mFrozen) {
          host->mDeferredEvents.emplace_back(arrive);
        } else {
          arrive();
        }
      }
    });
  }
}

void
JobSimulation::ProcessAgentOutput(SimulatedAgent& aHost)
{
  if (!aHost.mAgent || aHost.mFrozen) {
    return;
  }
  agent::Output out = aHost.mAgent->TakeOutput();
  for (const agent::PlatformCall& call : out.mCalls) {
    PerformPlatformCall(aHost, call);
  }
  for (const agent::MessageToControl& message : out.mMessages) {
    const int copies =
      !aHost.mLinked ? 0 : (mCopiesToControl ? mCopiesToControl(message) : 1);
    for (int i = 0; i < copies; ++i) {
      Deliver([this,
               message,
               session = aHost.mSession,
               incarnation = aHost.mIncarnation] {
        control::Coordinator& leader = Leader();
        if (const auto* a = std::get_if<protocol::AgentHeartbeat>(&message)) {
          leader.OnAgentHeartbeat(session, *a, mNow);
        } else if (const auto* b =
                     std::get_if<protocol::TaskReport>(&message)) {
          leader.OnTaskReport(session, incarnation, *b, mNow);
        } else {
          leader.OnAnswerChunk(
            session, std::get<protocol::AnswerChunk>(message), mNow);
        }
      });
    }
  }
}

void
JobSimulation::FinishTask(SimulatedAgent& aHost,
                          const protocol::TaskKey& aKey,
                          const std::string& aAnswer)
{
  if (aHost.mRunning.erase(aKey) > 0 && aHost.mAgent) {
    aHost.mAgent->OnTaskFinished(aKey, aAnswer, mNow);
  }
}

void
JobSimulation::PerformPlatformCall(SimulatedAgent& aHost,
                                   const agent::PlatformCall& aCall)
{
  if (const auto* start = std::get_if<agent::StartTask>(&aCall)) {
    mExecutions.push_back(
      { start->mKey, aHost.mWorker, mNow, start->mResumeFrom });
    if (mOnStart && mOnStart(aHost, *start)) {
      return;
    }
    aHost.mRunning[start->mKey] = *start;
    aHost.mAgent->OnTaskStarted(start->mKey, mNow);
    const base::Incarnation incarnation = aHost.mIncarnation;
    At(
      mNow + mOptions.mRunTime, [this, &aHost, incarnation, key = start->mKey] {
        const auto finish = [this, &aHost, incarnation, key] {
          if (aHost.mIncarnation == incarnation) {
            FinishTask(
              aHost, key, mOptions.mAnswer + std::to_string(key.mTask.Value()));
          }
        };
        if (aHost.mFrozen) {
          aHost.mDeferredEvents.emplace_back(finish);
        } else {
          finish();
        }
      });
  } else if (const auto* check = std::get_if<agent::CheckpointTask>(&aCall)) {
    if (mOnCheckpoint) {
      mOnCheckpoint(aHost, check->mKey);
    } else {
      aHost.mAgent->OnTaskCheckpointed(check->mKey, mNow);
    }
  } else if (const auto* stop = std::get_if<agent::StopTask>(&aCall)) {
    if (aHost.mRunning.erase(stop->mKey) > 0) {
      aHost.mAgent->OnTaskStopped(stop->mKey, mNow);
    }
  }
}

std::uint64_t
JobSimulation::Send(const protocol::ClientRequestBody& aBody)
{
  protocol::ClientRequest request;
  request.mId = base::RequestId(++mLastRequest);
  request.mBody = aBody;
  Deliver([this, request] {
    Leader().OnClientRequest(EntrySession(mLeader), request, mNow);
  });
  return mLastRequest;
}

const protocol::ClientReplyBody*
JobSimulation::ReplyTo(std::uint64_t aRequest) const
{
  const auto it = mReplies.find(aRequest);
  return it == mReplies.end() ? nullptr : &it->second;
}

protocol::ClientReplyBody
JobSimulation::SendAndWait(const protocol::ClientRequestBody& aBody)
{
  const std::uint64_t id = Send(aBody);
  EXPECT_TRUE(RunUntil([&] { return ReplyTo(id) != nullptr; }));
  return ReplyTo(id) != nullptr ? *ReplyTo(id) : protocol::ClientReplyBody{};
}

base::JobId
JobSimulation::Submit(const protocol::JobSpec& aSpec)
{
  const auto reply = SendAndWait(protocol::SubmitRequest{ aSpec });
  const auto* view = std::get_if<protocol::JobView>(&reply);
  if (view == nullptr) {
    const auto* refusal = std::get_if<protocol::Refusal>(&reply);
    ADD_FAILURE() << "not accepted: "
                  << (refusal != nullptr ? refusal->mMessage : "no refusal");
    return {};
  }
  return view->mJob;
}

protocol::JobView
JobSimulation::QueryJob(base::JobId aJob)
{
  const auto reply = SendAndWait(protocol::PollRequest{ aJob, 0 });
  const auto* view = std::get_if<protocol::JobView>(&reply);
  EXPECT_NE(view, nullptr);
  return view != nullptr ? *view : protocol::JobView{};
}

protocol::JobView
JobSimulation::AwaitEnd(base::JobId aJob, base::Duration aLimit)
{
  const base::Time end = mNow + aLimit;
  while (mNow < end) {
    protocol::JobView view = QueryJob(aJob);
    if (view.mState >= protocol::JobState::Finished) {
      return view;
    }
    Run(base::Milliseconds(50));
  }
  const auto explain = SendAndWait(protocol::ExplainRequest{ aJob });
  const auto* report = std::get_if<protocol::Report>(&explain);
  ADD_FAILURE() << "job " << aJob << " has not ended: "
                << (report != nullptr ? report->mJson : "");
  return QueryJob(aJob);
}

std::string
JobSimulation::FetchAnswer(base::JobId aJob)
{
  std::string answer;
  while (true) {
    const auto reply =
      SendAndWait(protocol::AnswerRequest{ aJob, answer.size() });
    const auto* part = std::get_if<protocol::AnswerPart>(&reply);
    if (part == nullptr) {
      ADD_FAILURE() << "no answer for job " << aJob;
      return answer;
    }
    answer += part->mBytes;
    if (answer.size() >= part->mTotalBytes) {
      EXPECT_EQ(base::Checksum(answer), part->mChecksum);
      return answer;
    }
  }
}

void
JobSimulation::KillAgent(std::uint32_t aWorker)
{
  SimulatedAgent& host = Host(aWorker);
  host.mAgent.reset();
  host.mRunning.clear();
  host.mDeferredEvents.clear();
  host.mFrozen = false;
  host.mIncarnation = base::Incarnation(++mLastId);
  for (auto& member : mMembers) {
    member->OnSessionClosed(host.mSession, mNow);
  }
}

void
JobSimulation::RestartAgent(std::uint32_t aWorker)
{
  KillAgent(aWorker);
  Host(aWorker).mAgent = MakeAgent(Host(aWorker));
}

void
JobSimulation::Resume(std::uint32_t aWorker)
{
  SimulatedAgent& host = Host(aWorker);
  host.mFrozen = false;
  host.mAgent->Tick(mNow); // First after a suspension, as in the daemon.
  const auto missed = std::exchange(host.mDeferredEvents, {});
  for (const auto& event : missed) {
    event();
  }
}

void
JobSimulation::ChangeLeader(std::uint32_t aMember,
                            bool aLoseProposals,
                            bool aSilently)
{
  mProposalEpoch += aLoseProposals ? 1 : 0;
  mTerm = base::Term(mTerm.Value() + 1);
  if (!aSilently) {
    mMembers[mLeader]->StepDown(mNow);
    mActsAsLeader[mLeader] = false;
  }
  mLeader = aMember;
  mActsAsLeader[aMember] = true;
  mMembers[aMember]->BecomeLeader(mTerm, mNow);
  for (auto& host : mHosts) {
    if (host->mAgent && !host->mFrozen) {
      host->mAgent->OnLinkUp(mNow);
    }
  }
}

void
JobSimulation::RestartMember(std::uint32_t aMember)
{
  const std::string state = mMembers[aMember]->SaveState();
  auto options = mOptions.mControl;
  options.mSelf = base::MemberId(aMember + 1);
  mMembers[aMember] = std::make_unique<control::Coordinator>(options);
  EXPECT_TRUE(mMembers[aMember]->Restore(state));
}

std::size_t
JobSimulation::StartCount(base::JobId aJob) const
{
  return static_cast<std::size_t>(std::count_if(
    mExecutions.begin(), mExecutions.end(), [&](const Execution& aEach) {
      return aEach.mKey.mJob == aJob;
    }));
}

std::size_t
JobSimulation::RunningTasks(base::JobId aJob) const
{
  std::size_t running = 0;
  for (const auto& host : mHosts) {
    for (const auto& [key, start] : host->mRunning) {
      running += key.mJob == aJob ? 1 : 0;
    }
  }
  return running;
}

} // namespace dogwooddrum::tests
