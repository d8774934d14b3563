// Guards against a job that is not repeatable but runs twice, and against a job
// that is reported as not run although it did run.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Ran;
using base::Reason;
using protocol::JobState;
using protocol::TaskVerb;

namespace {

protocol::JobSpec
NonRepeatableJob(const std::string& aKey)
{
  auto spec = SmallJob(aKey);
  spec.mRepeatable = false;
  return spec;
}

bool
IsVerb(const control::Outgoing& aOut, TaskVerb aVerb)
{
  const auto* command = std::get_if<protocol::TaskCommand>(&aOut.mMessage);
  return command != nullptr && command->mVerb == aVerb;
}

} // namespace

TEST(AtMostOnce, StartIsCommittedBeforeItIsSent)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("warm"));
  world.AwaitEnd(job);
  world.mCommits = false;
  world.Send(protocol::SubmitRequest{ SmallJob("a") });
  const std::size_t before = world.mExecutions.size();
  world.Run(base::Milliseconds(2000));
  EXPECT_EQ(world.mExecutions.size(), before);
  world.mCommits = true;
  EXPECT_TRUE(
    world.RunUntil([&] { return world.mExecutions.size() == before + 1; }));
}

TEST(AtMostOnce, RepeatedRunsStartOnce)
{
  World world;
  world.Boot();
  world.mToAgent = [](const auto&) { return 3; };
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(AtMostOnce, LostRunIsSentAgain)
{
  World world;
  world.Boot();
  int lost = 0;
  world.mToAgent = [&](const control::Outgoing& aOut) {
    return IsVerb(aOut, TaskVerb::Run) && lost++ < 2 ? 0 : 1;
  };
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(AtMostOnce, LostAgentFailsNonRepeatableJobAsMayHaveRun)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.Starts(job) == 1; }));
  world.RestartAgent(world.mExecutions.back().mWorker == "w0" ? 0 : 1);
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(view.mReason, Reason::WorkerLost);
  world.Run(base::Milliseconds(30000));
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(AtMostOnce, AgentRestartBeforeRunArrivesDoesNotProveNotRun)
{
  World world;
  world.Boot();
  // The command reaches the new incarnation, which refuses it.
  world.mToAgent = [](const control::Outgoing& aOut) {
    return IsVerb(aOut, TaskVerb::Run) ? 0 : 1;
  };
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  world.Run(base::Milliseconds(100));
  world.RestartAgent(0);
  world.RestartAgent(1);
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(world.Starts(job), 0U);
}

TEST(AtMostOnce, RefusalByAnotherIncarnationDoesNotProveNotRun)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(500);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  world.mToControl = [](const agent::ToControl& aMessage) {
    return std::holds_alternative<protocol::TaskReport>(aMessage) ? 0 : 1;
  };
  ASSERT_TRUE(world.RunUntil([&] { return world.Starts(job) == 1; }));
  const Execution& start = world.mExecutions.back();
  const AgentHost& other = world.Host(start.mWorker == "w0" ? 1 : 0);
  protocol::TaskReport refusal;
  refusal.mKey = start.mKey;
  refusal.mReason = Reason::WrongIncarnation;
  world.Leader().OnTaskReport(
    other.mSession, other.mIncarnation, refusal, world.Now());
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(AtMostOnce, LostAgentRetriesRepeatableJobAsANewAttempt)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.Starts(job) == 1; }));
  const base::Time lostAt = world.Now();
  world.RestartAgent(world.mExecutions.back().mWorker == "w0" ? 0 : 1);
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_EQ(view.mAttempt, base::AttemptId(2));
  ASSERT_EQ(world.Starts(job), 2U);
  // The retry starts only after the old incarnation's lease has certainly
  // ended.
  EXPECT_GT(world.mExecutions.back().mAt - lostAt, base::Milliseconds(9000));
}

TEST(AtMostOnce, RefusalByTheAddressedIncarnationIsRetried)
{
  World world;
  world.Boot();
  // The drain is hidden from the leader, which sees only the refusals.
  world.mToControl = [](const agent::ToControl& aMessage) {
    const auto* heartbeat = std::get_if<protocol::AgentHeartbeat>(&aMessage);
    return heartbeat != nullptr && heartbeat->mLeaving ? 0 : 1;
  };
  world.Host(0).mAgent->BeginDrain(world.Now());
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
  EXPECT_EQ(world.mExecutions.back().mWorker, "w1");
}

TEST(AtMostOnce, LeaderChangesBetweenDecisionAndSend)
{
  for (const bool lose : { false, true }) {
    WorldOptions options;
    options.mMembers = 3;
    World world(options);
    world.Boot();
    world.mToAgent = [](const control::Outgoing& aOut) {
      return IsVerb(aOut, TaskVerb::Run) ? 0 : 1;
    };
    world.Send(protocol::SubmitRequest{ NonRepeatableJob("a") });
    world.Run(base::Milliseconds(lose ? 2 : 20));
    world.ChangeLeader(1, lose);
    world.mToAgent = nullptr;
    const base::JobId job = world.Submit(NonRepeatableJob("a"));
    EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
    EXPECT_EQ(world.Starts(job), 1U);
  }
}

TEST(AtMostOnce, LeaderChangesWhileTheTaskRuns)
{
  WorldOptions options;
  options.mMembers = 3;
  options.mRunTime = base::Milliseconds(4000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.Starts(job) == 1; }));
  world.ChangeLeader(1);
  world.Run(base::Milliseconds(1500));
  world.ChangeLeader(2, true);
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

// Shows that at-most-once depends on the agent's fences: an agent that loses
// them but keeps its incarnation runs the same attempt again.
TEST(AtMostOnce, AgentWithoutItsFencesRunsTwice)
{
  WorldOptions options;
  options.mMembers = 3;
  options.mRunTime = base::Milliseconds(4000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.Starts(job) == 1; }));
  AgentHost& host =
    world.Host(world.mExecutions.back().mWorker == "w0" ? 0 : 1);
  auto faulty = options.mAgent;
  faulty.mIncarnation = host.mIncarnation;
  faulty.mFacts.mWorker = base::WorkerId(host.mWorker);
  faulty.mFacts.mAccelerators = 8;
  faulty.mFacts.mSlots = 8;
  host.mAgent = std::make_unique<agent::Agent>(faulty);
  world.ChangeLeader(1);
  world.Run(base::Milliseconds(6000));
  EXPECT_GT(world.Starts(job), 1U);
}

} // namespace dogwooddrum::tests
