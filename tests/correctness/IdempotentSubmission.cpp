// Guards against a resent submission that creates a second job, and against a
// key that silently stands for two different requests.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Reason;

namespace {

const protocol::Refusal*
RefusalIn(const protocol::ClientReplyBody& aReply)
{
  return std::get_if<protocol::Refusal>(&aReply);
}

} // namespace

TEST(IdempotentSubmission, SameKeyJoinsTheFirstJob)
{
  JobSimulation simulation;
  simulation.Boot();
  const auto first =
    simulation.Send(protocol::SubmitRequest{ MakeSmallJob("a") });
  const auto second =
    simulation.Send(protocol::SubmitRequest{ MakeSmallJob("a") });
  simulation.Run(base::Milliseconds(20));
  ASSERT_NE(simulation.ReplyTo(first), nullptr);
  ASSERT_NE(simulation.ReplyTo(second), nullptr);
  const auto job = std::get<protocol::JobView>(*simulation.ReplyTo(first)).mJob;
  EXPECT_EQ(std::get<protocol::JobView>(*simulation.ReplyTo(second)).mJob, job);
  simulation.AwaitEnd(job);
  EXPECT_EQ(simulation.Submit(MakeSmallJob("a")), job);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(IdempotentSubmission, SameKeyOfAnotherAccountIsAnotherJob)
{
  JobSimulation simulation;
  simulation.Boot();
  protocol::ClientAccount other;
  other.mName = base::AccountId("host");
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId("other");
  change.mBaseVersion = simulation.Leader().Configuration().mVersion;
  change.mEdit = other;
  simulation.SendAndWait(change);
  auto spec = MakeSmallJob("a");
  const base::JobId first = simulation.Submit(spec);
  spec.mAccount = other.mName;
  EXPECT_NE(simulation.Submit(spec), first);
}

TEST(IdempotentSubmission, SameKeyWithAnotherRequestIsRefused)
{
  JobSimulation simulation;
  simulation.Boot();
  auto other = MakeSmallJob("a");
  other.mPayload = "something else";
  simulation.Send(protocol::SubmitRequest{ MakeSmallJob("a") });
  for (int i = 0; i < 2; ++i) { // While the first is pending, and after.
    const auto reply = simulation.SendAndWait(protocol::SubmitRequest{ other });
    ASSERT_NE(RefusalIn(reply), nullptr);
    EXPECT_EQ(RefusalIn(reply)->mReason, Reason::KeyReused);
    EXPECT_EQ(RefusalIn(reply)->mRan, base::Ran::NotRun);
    EXPECT_FALSE(RefusalIn(reply)->mRetryable);
    EXPECT_NE(RefusalIn(reply)->mMessage.find("\"a\""), std::string::npos);
  }
}

TEST(IdempotentSubmission, ResendAfterALeaderChangeFindsTheFirstJob)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.ChangeLeader(1);
  EXPECT_EQ(simulation.Submit(MakeSmallJob("a")), job);
  simulation.AwaitEnd(job);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(IdempotentSubmission, KeyOutlivesItsJobForTheStatedTime)
{
  JobSimulationOptions options;
  options.mControl.mKeyRetention = base::Milliseconds(60000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.AwaitEnd(job);
  simulation.SendAndWait(protocol::AcknowledgeRequest{ job });
  simulation.Run(base::Milliseconds(5000));
  const auto dropped = simulation.SendAndWait(protocol::PollRequest{ job, 0 });
  ASSERT_NE(RefusalIn(dropped), nullptr) << "dropped after its acknowledgement";
  EXPECT_EQ(RefusalIn(dropped)->mRan, base::Ran::MayHaveRun);
  const auto resent =
    simulation.SendAndWait(protocol::SubmitRequest{ MakeSmallJob("a") });
  ASSERT_NE(RefusalIn(resent), nullptr);
  EXPECT_EQ(RefusalIn(resent)->mReason, Reason::UnknownJob);
  EXPECT_EQ(simulation.StartCount(job), 1U);
  simulation.Run(base::Milliseconds(62000));
  EXPECT_NE(simulation.Submit(MakeSmallJob("a")), job);
}

TEST(IdempotentSubmission, RefusalsNameTheOffendingValue)
{
  JobSimulation simulation;
  simulation.Boot();
  auto spec = MakeSmallJob("a");
  spec.mAccount = base::AccountId("nobody");
  auto reply = simulation.SendAndWait(protocol::SubmitRequest{ spec });
  ASSERT_NE(RefusalIn(reply), nullptr);
  EXPECT_EQ(RefusalIn(reply)->mReason, Reason::UnknownAccount);
  EXPECT_NE(RefusalIn(reply)->mMessage.find("nobody"), std::string::npos);
  spec = MakeSmallJob("a");
  spec.mProfile = base::ProfileId("none");
  reply = simulation.SendAndWait(protocol::SubmitRequest{ spec });
  ASSERT_NE(RefusalIn(reply), nullptr);
  EXPECT_EQ(RefusalIn(reply)->mReason, Reason::UnknownProfile);
  reply =
    simulation.SendAndWait(protocol::SubmitRequest{ MakeGang("a", 129, 1) });
  ASSERT_NE(RefusalIn(reply), nullptr);
  EXPECT_NE(RefusalIn(reply)->mMessage.find("129"), std::string::npos);
  spec = MakeSmallJob("a");
  spec.mPayload.assign(protocol::kMaxJobPayloadBytes + 1, 'x');
  reply = simulation.SendAndWait(protocol::SubmitRequest{ spec });
  ASSERT_NE(RefusalIn(reply), nullptr);
  EXPECT_EQ(RefusalIn(reply)->mReason, Reason::PayloadTooLarge);
}

} // namespace dogwooddrum::tests
