// Guards against a deposed leader that answers polls, heartbeats or reads from
// old state, and against effects of its commands and acknowledgements.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

namespace {

JobSimulationOptions
TwoMemberOptions()
{
  JobSimulationOptions options;
  options.mMembers = 2;
  return options;
}

/** Elects member 1 while member 0 still acts as leader. Returns whether member
 * 0 then answers a freshness poll. */
bool
DeposedLeaderAnswers(bool aConfirmWithoutQuorum)
{
  JobSimulation simulation(TwoMemberOptions());
  simulation.Boot();
  simulation.ChangeLeader(1, false, true);
  simulation.mConfirmReadsUnchecked = aConfirmWithoutQuorum;
  control::Coordinator& old = simulation.Member(0);
  old.OnFreshnessPoll(JobSimulation::EntrySession(0),
                      protocol::FreshnessPoll{ 7, {} },
                      simulation.Now());
  const auto reads = old.TakeOutput().mReads;
  EXPECT_EQ(reads.size(), 1U);
  if (aConfirmWithoutQuorum) {
    old.OnReadConfirmed(reads.at(0), simulation.Now());
  }
  for (const auto& message : old.TakeOutput().mMessages) {
    if (std::holds_alternative<protocol::FreshnessReply>(message.mMessage)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST(StaleLeader, PollWithoutAConfirmedReadIsNotAnswered)
{
  EXPECT_FALSE(DeposedLeaderAnswers(false));
}

// Shows that the confirmed read is what prevents the stale answer.
TEST(StaleLeader, ReadConfirmedWithoutQuorumLetsADeposedLeaderAnswer)
{
  EXPECT_TRUE(DeposedLeaderAnswers(true));
}

TEST(StaleLeader, PollsOfOneOutputShareARead)
{
  JobSimulation simulation;
  simulation.Boot();
  for (std::uint64_t i = 0; i < 50; ++i) {
    simulation.Leader().OnFreshnessPoll(JobSimulation::EntrySession(0),
                                        protocol::FreshnessPoll{ i, {} },
                                        simulation.Now());
  }
  const auto reads = simulation.Leader().TakeOutput().mReads;
  ASSERT_EQ(reads.size(), 1U);
  simulation.Leader().OnReadConfirmed(reads[0], simulation.Now());
  EXPECT_EQ(simulation.Leader().TakeOutput().mMessages.size(), 50U);
}

TEST(StaleLeader, FailedReadRedirects)
{
  JobSimulation simulation;
  simulation.Boot();
  protocol::ClientRequest request;
  request.mId = base::RequestId(9000);
  request.mBody = protocol::ListRequest{};
  simulation.Leader().OnClientRequest(
    JobSimulation::EntrySession(0), request, simulation.Now());
  const auto reads = simulation.Leader().TakeOutput().mReads;
  ASSERT_EQ(reads.size(), 1U);
  simulation.Leader().OnReadFailed(reads[0], simulation.Now());
  const auto out = simulation.Leader().TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::ClientReply>(out.mMessages[0].mMessage);
  EXPECT_TRUE(std::holds_alternative<protocol::NotLeader>(reply.mBody));
}

protocol::WorkloadRequest
MakeWorkloadRequest(protocol::WorkloadRequestBody aBody)
{
  protocol::WorkloadRequest request;
  request.mId = base::RequestId(9001);
  request.mBody = std::move(aBody);
  return request;
}

/** Sends the leader a request and returns the read that it waits for. */
coordination::consensus::ReadId
ExpectConfirmedRead(JobSimulation& aSimulation,
                    const protocol::WorkloadRequest& aRequest)
{
  aSimulation.Leader().OnWorkloadRequest(
    JobSimulation::EntrySession(0), aRequest, aSimulation.Now());
  const auto out = aSimulation.Leader().TakeOutput();
  EXPECT_TRUE(out.mMessages.empty()) << "answered without a quorum";
  EXPECT_EQ(out.mReads.size(), 1U);
  return out.mReads.empty() ? coordination::consensus::ReadId()
                            : out.mReads.front();
}

// A leader that was cut off told a client that its job did not exist, which the
// next leader had accepted and ran on.
TEST(StaleLeader, CancellingOfAnUnknownWorkloadNeedsAQuorum)
{
  JobSimulation simulation;
  simulation.Boot();
  const auto request = MakeWorkloadRequest(
    protocol::CancelWorkload{ protocol::WorkloadId("5c0e7a21d94b36f8"),
                              { protocol::QueueName("q"), {} } });
  const auto failed = ExpectConfirmedRead(simulation, request);
  simulation.Leader().OnReadFailed(failed, simulation.Now());
  auto out = simulation.Leader().TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  EXPECT_TRUE(
    std::holds_alternative<protocol::NotLeader>(out.mMessages[0].mMessage));
  const auto confirmed = ExpectConfirmedRead(simulation, request);
  simulation.Leader().OnReadConfirmed(confirmed, simulation.Now());
  out = simulation.Leader().TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::WorkloadReply>(out.mMessages[0].mMessage);
  EXPECT_EQ(reply.mResult, protocol::WorkloadResult::Unknown);
}

// The same leader does not know the queues of a newer catalog.
TEST(StaleLeader, SubmissionToAnUnknownQueueNeedsAQuorum)
{
  JobSimulation simulation;
  simulation.Boot();
  protocol::SubmitWorkload submit;
  submit.mId = protocol::WorkloadId("5c0e7a21d94b36f8");
  submit.mQueue.mName = protocol::QueueName("q");
  submit.mSpec.mSteps.emplace_back();
  const auto read =
    ExpectConfirmedRead(simulation, MakeWorkloadRequest(submit));
  simulation.Leader().OnReadConfirmed(read, simulation.Now());
  EXPECT_EQ(simulation.Leader().TakeOutput().mMessages.size(), 1U);
}

TEST(StaleLeader, FollowerRedirectsToTheLeader)
{
  JobSimulation simulation(TwoMemberOptions());
  simulation.Boot();
  simulation.Member(1).SetLeader(base::MemberId(1), "10.0.0.1:7000");
  protocol::ClientRequest request;
  request.mBody = protocol::StatusRequest{};
  simulation.Member(1).OnClientRequest(
    JobSimulation::EntrySession(1), request, simulation.Now());
  const auto out = simulation.Member(1).TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::ClientReply>(out.mMessages[0].mMessage);
  EXPECT_EQ(std::get<protocol::NotLeader>(reply.mBody).mLeaderAddress,
            "10.0.0.1:7000");
}

TEST(StaleLeader, StepDownRedirectsWaitingRequests)
{
  JobSimulationOptions options = TwoMemberOptions();
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto poll = simulation.Send(protocol::PollRequest{ job, 10000 });
  simulation.Run(base::Milliseconds(20));
  simulation.ChangeLeader(1);
  simulation.Run(base::Milliseconds(20));
  ASSERT_NE(simulation.ReplyTo(poll), nullptr);
  EXPECT_TRUE(
    std::holds_alternative<protocol::NotLeader>(*simulation.ReplyTo(poll)));
}

TEST(StaleLeader, AgentKeepsItsAnswerWhenADeposedLeaderAcknowledges)
{
  JobSimulation simulation(TwoMemberOptions());
  simulation.Boot();
  // Chunks of the answer are lost until hold is cleared.
  bool hold = true;
  simulation.mCopiesToControl = [&](const agent::MessageToControl& aMessage) {
    const bool chunk = std::holds_alternative<protocol::AnswerChunk>(aMessage);
    return hold && chunk ? 0 : 1;
  };
  simulation.ChangeLeader(1);
  simulation.Run(base::Milliseconds(5000));
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.Run(base::Milliseconds(200));
  protocol::AnswerAck late;
  late.mTerm = base::Term(1);
  late.mKey.mJob = job;
  late.mKey.mAttempt = base::AttemptId(1);
  for (std::uint32_t i = 0; i < 2; ++i) {
    simulation.Host(i).mAgent->OnAnswerAck(late, simulation.Now());
  }
  hold = false;
  EXPECT_EQ(simulation.AwaitEnd(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

} // namespace dogwooddrum::tests
