// Guards against a job that is not repeatable but runs twice, and against a job
// that is reported as not run although it did run.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Ran;
using base::Reason;
using protocol::JobState;
using protocol::TaskAction;

namespace {

protocol::JobSpec
NonRepeatableJob(const std::string& aKey)
{
  auto spec = MakeSmallJob(aKey);
  spec.mRepeatable = false;
  return spec;
}

bool
IsVerb(const control::Outgoing& aOut, TaskAction aVerb)
{
  const auto* command = std::get_if<protocol::TaskCommand>(&aOut.mMessage);
  return command != nullptr && command->mTaskAction == aVerb;
}

} // namespace

TEST(AtMostOnce, StartIsCommittedBeforeItIsSent)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("warm"));
  simulation.AwaitEnd(job);
  simulation.mCommitsEnabled = false;
  simulation.Send(protocol::SubmitRequest{ MakeSmallJob("a") });
  const std::size_t before = simulation.mExecutions.size();
  simulation.Run(base::Milliseconds(2000));
  EXPECT_EQ(simulation.mExecutions.size(), before);
  simulation.mCommitsEnabled = true;
  EXPECT_TRUE(simulation.RunUntil(
    [&] { return simulation.mExecutions.size() == before + 1; }));
}

TEST(AtMostOnce, RepeatedRunsStartOnce)
{
  JobSimulation simulation;
  simulation.Boot();
  simulation.mCopiesToAgent = [](const auto&) { return 3; };
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(AtMostOnce, LostRunIsSentAgain)
{
  JobSimulation simulation;
  simulation.Boot();
  int lost = 0;
  simulation.mCopiesToAgent = [&](const control::Outgoing& aOut) {
    return IsVerb(aOut, TaskAction::Run) && lost++ < 2 ? 0 : 1;
  };
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(AtMostOnce, LostAgentFailsNonRepeatableJobAsMayHaveRun)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(job) == 1; }));
  simulation.RestartAgent(simulation.mExecutions.back().mWorker == "w0" ? 0
                                                                        : 1);
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(view.mReason, Reason::WorkerLost);
  simulation.Run(base::Milliseconds(30000));
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(AtMostOnce, AgentRestartBeforeRunArrivesDoesNotProveNotRun)
{
  JobSimulation simulation;
  simulation.Boot();
  // The command reaches the new incarnation, which refuses it.
  simulation.mCopiesToAgent = [](const control::Outgoing& aOut) {
    return IsVerb(aOut, TaskAction::Run) ? 0 : 1;
  };
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  simulation.Run(base::Milliseconds(100));
  simulation.RestartAgent(0);
  simulation.RestartAgent(1);
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(simulation.StartCount(job), 0U);
}

TEST(AtMostOnce, RefusalByAnotherIncarnationDoesNotProveNotRun)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(500);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  simulation.mCopiesToControl = [](const agent::MessageToControl& aMessage) {
    return std::holds_alternative<protocol::TaskReport>(aMessage) ? 0 : 1;
  };
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(job) == 1; }));
  const Execution& start = simulation.mExecutions.back();
  const SimulatedAgent& other = simulation.Host(start.mWorker == "w0" ? 1 : 0);
  protocol::TaskReport refusal;
  refusal.mKey = start.mKey;
  refusal.mReason = Reason::WrongIncarnation;
  simulation.Leader().OnTaskReport(
    other.mSession, other.mIncarnation, refusal, simulation.Now());
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(AtMostOnce, LostAgentRetriesRepeatableJobAsANewAttempt)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(job) == 1; }));
  const base::Time lostAt = simulation.Now();
  simulation.RestartAgent(simulation.mExecutions.back().mWorker == "w0" ? 0
                                                                        : 1);
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_EQ(view.mAttempt, base::AttemptId(2));
  ASSERT_EQ(simulation.StartCount(job), 2U);
  // The retry starts only after the old incarnation's lease has certainly
  // ended.
  EXPECT_GT(simulation.mExecutions.back().mAt - lostAt,
            base::Milliseconds(9000));
}

TEST(AtMostOnce, RefusalByTheAddressedIncarnationIsRetried)
{
  JobSimulation simulation;
  simulation.Boot();
  // The drain is hidden from the leader, which sees only the refusals.
  simulation.mCopiesToControl = [](const agent::MessageToControl& aMessage) {
    const auto* heartbeat = std::get_if<protocol::AgentHeartbeat>(&aMessage);
    return heartbeat != nullptr && heartbeat->mLeaving ? 0 : 1;
  };
  simulation.Host(0).mAgent->BeginDrain(simulation.Now());
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
  EXPECT_EQ(simulation.mExecutions.back().mWorker, "w1");
}

TEST(AtMostOnce, LeaderChangesBetweenDecisionAndSend)
{
  for (const bool lose : { false, true }) {
    JobSimulationOptions options;
    options.mMembers = 3;
    JobSimulation simulation(options);
    simulation.Boot();
    simulation.mCopiesToAgent = [](const control::Outgoing& aOut) {
      return IsVerb(aOut, TaskAction::Run) ? 0 : 1;
    };
    simulation.Send(protocol::SubmitRequest{ NonRepeatableJob("a") });
    simulation.Run(base::Milliseconds(lose ? 2 : 20));
    simulation.ChangeLeader(1, lose);
    simulation.mCopiesToAgent = nullptr;
    const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
    EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
    EXPECT_EQ(simulation.StartCount(job), 1U);
  }
}

TEST(AtMostOnce, LeaderChangesWhileTheTaskRuns)
{
  JobSimulationOptions options;
  options.mMembers = 3;
  options.mRunTime = base::Milliseconds(4000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(job) == 1; }));
  simulation.ChangeLeader(1);
  simulation.Run(base::Milliseconds(1500));
  simulation.ChangeLeader(2, true);
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

// Shows that at-most-once depends on the agent's fences: an agent that loses
// them but keeps its incarnation runs the same attempt again.
TEST(AtMostOnce, AgentWithoutItsFencesRunsTwice)
{
  JobSimulationOptions options;
  options.mMembers = 3;
  options.mRunTime = base::Milliseconds(4000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(job) == 1; }));
  SimulatedAgent& host =
    simulation.Host(simulation.mExecutions.back().mWorker == "w0" ? 0 : 1);
  auto faulty = options.mAgent;
  faulty.mIncarnation = host.mIncarnation;
  faulty.mWorkerInfo.mWorker = base::WorkerId(host.mWorker);
  faulty.mWorkerInfo.mAccelerators = 8;
  faulty.mWorkerInfo.mSlots = 8;
  host.mAgent = std::make_unique<agent::Agent>(faulty);
  simulation.ChangeLeader(1);
  simulation.Run(base::Milliseconds(6000));
  EXPECT_GT(simulation.StartCount(job), 1U);
}

} // namespace dogwooddrum::tests
