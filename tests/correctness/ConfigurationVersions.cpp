// Guards against two changes accepted on one base version, a resend that
// changes the outcome, versions that skip or go back, and agents that admit
// work under an old version for too long.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Reason;
using protocol::ChangeOutcome;

namespace {

protocol::ChangeRequest
MakeChange(const std::string& aId,
           std::uint64_t aBase,
           const std::string& aAccount)
{
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId(aId);
  change.mBaseVersion = base::ConfigurationVersion(aBase);
  protocol::ClientAccount account;
  account.mName = base::AccountId(aAccount);
  change.mEdit = account;
  return change;
}

std::uint64_t
Version(World& aWorld)
{
  return aWorld.Leader().Configuration().mVersion.Value();
}

} // namespace

TEST(ConfigurationVersions, EqualVersionsRacingHaveOneWinner)
{
  World world;
  world.Boot();
  const std::uint64_t base = Version(world);
  const auto one = world.Send(MakeChange("one", base, "a"));
  const auto two = world.Send(MakeChange("two", base, "b"));
  world.Run(base::Milliseconds(50));
  const auto first = std::get<ChangeOutcome>(*world.ReplyTo(one));
  const auto second = std::get<ChangeOutcome>(*world.ReplyTo(two));
  EXPECT_TRUE(first.mAccepted);
  EXPECT_EQ(first.mVersion.Value(), base + 1);
  EXPECT_FALSE(second.mAccepted);
  EXPECT_EQ(second.mReason, Reason::VersionConflict);
  EXPECT_EQ(second.mWinner, base::ChangeId("one"));
  EXPECT_EQ(Version(world), base + 1);
}

TEST(ConfigurationVersions, ResendGetsTheFirstOutcomeAlsoFromTheNextLeader)
{
  WorldOptions options;
  options.mMembers = 2;
  World world(options);
  world.Boot();
  const std::uint64_t base = Version(world);
  world.Send(MakeChange("one", base, "a")); // The reply is not read.
  world.Run(base::Milliseconds(50));
  world.Ask(MakeChange("two", base + 1, "b"));
  world.ChangeLeader(1);
  const auto again =
    std::get<ChangeOutcome>(world.Ask(MakeChange("one", base, "a")));
  EXPECT_TRUE(again.mAccepted);
  EXPECT_EQ(again.mVersion.Value(), base + 1);
  EXPECT_EQ(Version(world), base + 2);
}

TEST(ConfigurationVersions, ConflictIsRememberedAsWell)
{
  World world;
  world.Boot();
  const std::uint64_t base = Version(world);
  world.Ask(MakeChange("one", base, "a"));
  EXPECT_FALSE(std::get<ChangeOutcome>(world.Ask(MakeChange("late", base, "b")))
                 .mAccepted);
  EXPECT_FALSE(
    std::get<ChangeOutcome>(world.Ask(MakeChange("late", base + 1, "b")))
      .mAccepted);
}

TEST(ConfigurationVersions, InvalidEditIsRefusedAndNamesTheValue)
{
  World world;
  world.Boot();
  auto change = MakeChange("one", Version(world), "a");
  change.mEdit = protocol::RemoveAccount{ base::AccountId("ghost") };
  const auto outcome = std::get<ChangeOutcome>(world.Ask(change));
  EXPECT_FALSE(outcome.mAccepted);
  EXPECT_EQ(outcome.mReason, Reason::InvalidRequest);
  EXPECT_NE(outcome.mMessage.find("ghost"), std::string::npos);
}

TEST(ConfigurationVersions, GuaranteesThatDoNotFitAreRefusedForGood)
{
  World world;
  world.Boot();
  auto change = MakeChange("big", Version(world), "big");
  auto account = std::get<protocol::ClientAccount>(change.mEdit);
  account.mGuarantees.push_back({ 100, 8, protocol::Adjacency::Worker });
  change.mEdit = account;
  for (int i = 0; i < 2; ++i) {
    const auto outcome = std::get<ChangeOutcome>(world.Ask(change));
    EXPECT_FALSE(outcome.mAccepted);
    EXPECT_EQ(outcome.mReason, Reason::GuaranteesDoNotFit);
  }
}

TEST(ConfigurationVersions, EveryAgentHasAChangeWithinFourSeconds)
{
  WorldOptions options;
  options.mWorkers = 20;
  World world(options);
  world.Boot();
  for (int i = 0; i < 20; ++i) {
    world.Ask(MakeChange("c" + std::to_string(i), Version(world), "a"));
    const auto accepted = world.Leader().Configuration().mVersion;
    world.Run(base::Milliseconds(4000));
    for (std::uint32_t w = 0; w < 20; ++w) {
      EXPECT_GE(world.Host(w).mAgent->Version(), accepted);
    }
  }
}

TEST(ConfigurationVersions, IsolatedAgentStopsAdmittingWithinThreeSeconds)
{
  World world;
  world.Boot();
  agent::Agent& agent = *world.Host(0).mAgent;
  EXPECT_TRUE(agent.Fresh(world.Now()));
  world.Host(0).mLinked = false;
  world.Run(base::Milliseconds(3000));
  EXPECT_FALSE(agent.Fresh(world.Now()));
}

TEST(ConfigurationVersions, AgentNeverGoesBackToAnOlderVersion)
{
  World world;
  world.Boot();
  agent::Agent& agent = *world.Host(0).mAgent;
  const auto version = agent.Version();
  protocol::HeartbeatReply old;
  old.mIncarnation = world.Host(0).mIncarnation;
  old.mTerm = agent.HighestTerm();
  old.mVersion = base::ConfigurationVersion(1);
  old.mBody.emplace();
  old.mBody->mVersion = old.mVersion;
  agent.OnHeartbeatReply(old, world.Now());
  EXPECT_EQ(agent.Version(), version);
}

TEST(ConfigurationVersions, WorkStartsRightAfterAChange)
{
  // A start that names a version which the agent lacks would be refused.
  World world;
  world.Boot();
  for (int i = 0; i < 10; ++i) {
    const std::string name = "c" + std::to_string(i);
    world.Ask(MakeChange(name, Version(world), "a"));
    const base::JobId job = world.Submit(SmallJob(name));
    const auto view = world.AwaitEnd(job);
    EXPECT_EQ(view.mAttempt, base::AttemptId(1));
  }
}

TEST(ConfigurationVersions, DrainedWorkerGetsNoNewWork)
{
  World world;
  world.Boot();
  auto change = MakeChange("drain", Version(world), "");
  change.mEdit = protocol::DrainWorker{ base::WorkerId("w0"), true };
  EXPECT_TRUE(std::get<ChangeOutcome>(world.Ask(change)).mAccepted);
  for (int i = 0; i < 20; ++i) {
    world.AwaitEnd(world.Submit(SmallJob("s" + std::to_string(i))));
  }
  for (const Execution& execution : world.mExecutions) {
    EXPECT_EQ(execution.mWorker, "w1");
  }
}

} // namespace dogwooddrum::tests
