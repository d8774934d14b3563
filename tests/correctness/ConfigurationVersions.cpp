// Guards against two changes accepted on one base version, a resend that
// changes the outcome, versions that skip or go back, and agents that admit
// work under an old version for too long.
#include "tests/support/JobSimulation.h"

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
Version(JobSimulation& aSimulation)
{
  return aSimulation.Leader().Configuration().mVersion.Value();
}

} // namespace

TEST(ConfigurationVersions, EqualVersionsRacingHaveOneWinner)
{
  JobSimulation simulation;
  simulation.Boot();
  const std::uint64_t base = Version(simulation);
  const auto one = simulation.Send(MakeChange("one", base, "a"));
  const auto two = simulation.Send(MakeChange("two", base, "b"));
  simulation.Run(base::Milliseconds(50));
  const auto first = std::get<ChangeOutcome>(*simulation.ReplyTo(one));
  const auto second = std::get<ChangeOutcome>(*simulation.ReplyTo(two));
  EXPECT_TRUE(first.mAccepted);
  EXPECT_EQ(first.mVersion.Value(), base + 1);
  EXPECT_FALSE(second.mAccepted);
  EXPECT_EQ(second.mReason, Reason::VersionConflict);
  EXPECT_EQ(second.mWinningChange, base::ChangeId("one"));
  EXPECT_EQ(Version(simulation), base + 1);
}

TEST(ConfigurationVersions, ResendGetsTheFirstOutcomeAlsoFromTheNextLeader)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  JobSimulation simulation(options);
  simulation.Boot();
  const std::uint64_t base = Version(simulation);
  simulation.Send(MakeChange("one", base, "a")); // The reply is not read.
  simulation.Run(base::Milliseconds(50));
  simulation.SendAndWait(MakeChange("two", base + 1, "b"));
  simulation.ChangeLeader(1);
  const auto again = std::get<ChangeOutcome>(
    simulation.SendAndWait(MakeChange("one", base, "a")));
  EXPECT_TRUE(again.mAccepted);
  EXPECT_EQ(again.mVersion.Value(), base + 1);
  EXPECT_EQ(Version(simulation), base + 2);
}

TEST(ConfigurationVersions, ConflictIsRememberedAsWell)
{
  JobSimulation simulation;
  simulation.Boot();
  const std::uint64_t base = Version(simulation);
  simulation.SendAndWait(MakeChange("one", base, "a"));
  EXPECT_FALSE(std::get<ChangeOutcome>(
                 simulation.SendAndWait(MakeChange("late", base, "b")))
                 .mAccepted);
  EXPECT_FALSE(std::get<ChangeOutcome>(
                 simulation.SendAndWait(MakeChange("late", base + 1, "b")))
                 .mAccepted);
}

TEST(ConfigurationVersions, InvalidEditIsRefusedAndNamesTheValue)
{
  JobSimulation simulation;
  simulation.Boot();
  auto change = MakeChange("one", Version(simulation), "a");
  change.mEdit = protocol::RemoveAccount{ base::AccountId("ghost") };
  const auto outcome = std::get<ChangeOutcome>(simulation.SendAndWait(change));
  EXPECT_FALSE(outcome.mAccepted);
  EXPECT_EQ(outcome.mReason, Reason::InvalidRequest);
  EXPECT_NE(outcome.mMessage.find("ghost"), std::string::npos);
}

TEST(ConfigurationVersions, GuaranteesThatDoNotFitAreRefusedForGood)
{
  JobSimulation simulation;
  simulation.Boot();
  auto change = MakeChange("big", Version(simulation), "big");
  auto account = std::get<protocol::ClientAccount>(change.mEdit);
  account.mGuarantees.push_back({ 100, 8, protocol::Adjacency::Worker });
  change.mEdit = account;
  for (int i = 0; i < 2; ++i) {
    const auto outcome =
      std::get<ChangeOutcome>(simulation.SendAndWait(change));
    EXPECT_FALSE(outcome.mAccepted);
    EXPECT_EQ(outcome.mReason, Reason::GuaranteesDoNotFit);
  }
}

TEST(ConfigurationVersions, EveryAgentHasAChangeWithinFourSeconds)
{
  JobSimulationOptions options;
  options.mWorkers = 20;
  JobSimulation simulation(options);
  simulation.Boot();
  for (int i = 0; i < 20; ++i) {
    simulation.SendAndWait(
      MakeChange("c" + std::to_string(i), Version(simulation), "a"));
    const auto accepted = simulation.Leader().Configuration().mVersion;
    simulation.Run(base::Milliseconds(4000));
    for (std::uint32_t w = 0; w < 20; ++w) {
      EXPECT_GE(simulation.Host(w).mAgent->Version(), accepted);
    }
  }
}

TEST(ConfigurationVersions, IsolatedAgentStopsAdmittingWithinThreeSeconds)
{
  JobSimulation simulation;
  simulation.Boot();
  agent::Agent& agent = *simulation.Host(0).mAgent;
  EXPECT_TRUE(agent.HasFreshConfiguration(simulation.Now()));
  simulation.Host(0).mLinked = false;
  simulation.Run(base::Milliseconds(3000));
  EXPECT_FALSE(agent.HasFreshConfiguration(simulation.Now()));
}

TEST(ConfigurationVersions, AgentNeverGoesBackToAnOlderVersion)
{
  JobSimulation simulation;
  simulation.Boot();
  agent::Agent& agent = *simulation.Host(0).mAgent;
  const auto version = agent.Version();
  protocol::HeartbeatReply old;
  old.mIncarnation = simulation.Host(0).mIncarnation;
  old.mTerm = agent.HighestTerm();
  old.mVersion = base::ConfigurationVersion(1);
  old.mBody.emplace();
  old.mBody->mVersion = old.mVersion;
  agent.OnHeartbeatReply(old, simulation.Now());
  EXPECT_EQ(agent.Version(), version);
}

TEST(ConfigurationVersions, WorkStartsRightAfterAChange)
{
  // A start that names a version which the agent lacks would be refused.
  JobSimulation simulation;
  simulation.Boot();
  for (int i = 0; i < 10; ++i) {
    const std::string name = "c" + std::to_string(i);
    simulation.SendAndWait(MakeChange(name, Version(simulation), "a"));
    const base::JobId job = simulation.Submit(MakeSmallJob(name));
    const auto view = simulation.AwaitEnd(job);
    EXPECT_EQ(view.mAttempt, base::AttemptId(1));
  }
}

TEST(ConfigurationVersions, DrainedWorkerGetsNoNewWork)
{
  JobSimulation simulation;
  simulation.Boot();
  auto change = MakeChange("drain", Version(simulation), "");
  change.mEdit = protocol::DrainWorker{ base::WorkerId("w0"), true };
  EXPECT_TRUE(
    std::get<ChangeOutcome>(simulation.SendAndWait(change)).mAccepted);
  for (int i = 0; i < 20; ++i) {
    simulation.AwaitEnd(
      simulation.Submit(MakeSmallJob("s" + std::to_string(i))));
  }
  for (const Execution& execution : simulation.mExecutions) {
    EXPECT_EQ(execution.mWorker, "w1");
  }
}

} // namespace dogwooddrum::tests
