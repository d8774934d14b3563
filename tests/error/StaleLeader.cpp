// Guards against a deposed leader that answers polls, heartbeats or reads from
// old state, and against effects of its commands and acknowledgements.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

namespace {

WorldOptions
TwoMemberOptions()
{
  WorldOptions options;
  options.mMembers = 2;
  return options;
}

/** Elects member 1 while member 0 still acts as leader. Returns whether member
 * 0 then answers a freshness poll. */
bool
DeposedLeaderAnswers(bool aConfirmWithoutQuorum)
{
  World world(TwoMemberOptions());
  world.Boot();
  world.ChangeLeader(1, false, true);
  world.mConfirmBlindly = aConfirmWithoutQuorum;
  control::Coordinator& old = world.Member(0);
  old.OnFreshnessPoll(
    World::EntrySession(0), protocol::FreshnessPoll{ 7, {} }, world.Now());
  const auto reads = old.TakeOutput().mReads;
  EXPECT_EQ(reads.size(), 1U);
  if (aConfirmWithoutQuorum) {
    old.OnReadConfirmed(reads.at(0), world.Now());
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
  World world;
  world.Boot();
  for (std::uint64_t i = 0; i < 50; ++i) {
    world.Leader().OnFreshnessPoll(
      World::EntrySession(0), protocol::FreshnessPoll{ i, {} }, world.Now());
  }
  const auto reads = world.Leader().TakeOutput().mReads;
  ASSERT_EQ(reads.size(), 1U);
  world.Leader().OnReadConfirmed(reads[0], world.Now());
  EXPECT_EQ(world.Leader().TakeOutput().mMessages.size(), 50U);
}

TEST(StaleLeader, FailedReadRedirects)
{
  World world;
  world.Boot();
  protocol::ClientRequest request;
  request.mId = base::RequestId(9000);
  request.mBody = protocol::ListRequest{};
  world.Leader().OnClientRequest(World::EntrySession(0), request, world.Now());
  const auto reads = world.Leader().TakeOutput().mReads;
  ASSERT_EQ(reads.size(), 1U);
  world.Leader().OnReadFailed(reads[0], world.Now());
  const auto out = world.Leader().TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::ClientReply>(out.mMessages[0].mMessage);
  EXPECT_TRUE(std::holds_alternative<protocol::NotLeader>(reply.mBody));
}

TEST(StaleLeader, FollowerRedirectsToTheLeader)
{
  World world(TwoMemberOptions());
  world.Boot();
  world.Member(1).SetLeader(base::MemberId(1), "10.0.0.1:7000");
  protocol::ClientRequest request;
  request.mBody = protocol::StatusRequest{};
  world.Member(1).OnClientRequest(World::EntrySession(1), request, world.Now());
  const auto out = world.Member(1).TakeOutput();
  ASSERT_EQ(out.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::ClientReply>(out.mMessages[0].mMessage);
  EXPECT_EQ(std::get<protocol::NotLeader>(reply.mBody).mLeaderAddress,
            "10.0.0.1:7000");
}

TEST(StaleLeader, StepDownRedirectsWaitingRequests)
{
  WorldOptions options = TwoMemberOptions();
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto poll = world.Send(protocol::PollRequest{ job, 10000 });
  world.Run(base::Milliseconds(20));
  world.ChangeLeader(1);
  world.Run(base::Milliseconds(20));
  ASSERT_NE(world.ReplyTo(poll), nullptr);
  EXPECT_TRUE(
    std::holds_alternative<protocol::NotLeader>(*world.ReplyTo(poll)));
}

TEST(StaleLeader, AgentKeepsItsAnswerWhenADeposedLeaderAcknowledges)
{
  World world(TwoMemberOptions());
  world.Boot();
  // Chunks of the answer are lost until hold is cleared.
  bool hold = true;
  world.mToControl = [&](const agent::ToControl& aMessage) {
    const bool chunk = std::holds_alternative<protocol::AnswerChunk>(aMessage);
    return hold && chunk ? 0 : 1;
  };
  world.ChangeLeader(1);
  world.Run(base::Milliseconds(5000));
  const base::JobId job = world.Submit(SmallJob("a"));
  world.Run(base::Milliseconds(200));
  protocol::AnswerAck late;
  late.mTerm = base::Term(1);
  late.mKey.mJob = job;
  late.mKey.mAttempt = base::AttemptId(1);
  for (std::uint32_t i = 0; i < 2; ++i) {
    world.Host(i).mAgent->OnAnswerAck(late, world.Now());
  }
  hold = false;
  EXPECT_EQ(world.AwaitEnd(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

} // namespace dogwooddrum::tests
