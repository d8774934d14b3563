// Guards against a gang of which only some tasks run, and against reuse of an
// aborted gang's accelerators before every agent has fenced it.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Ran;
using protocol::JobState;
using protocol::TaskAction;

namespace {

const protocol::TaskCommand*
FindCommand(const control::Outgoing& aOut, TaskAction aVerb)
{
  const auto* command = std::get_if<protocol::TaskCommand>(&aOut.mMessage);
  return command != nullptr && command->mTaskAction == aVerb ? command
                                                             : nullptr;
}

JobSimulationOptions
LongRunOptions()
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(20000);
  return options;
}

protocol::JobSpec
NonRepeatableGang()
{
  auto spec = MakeGang("g", 2, 8);
  spec.mRepeatable = false;
  return spec;
}

} // namespace

TEST(GangFaults, NothingRunsUntilAllMembersArePrepared)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  simulation.mCopiesToAgent = [](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskAction::Prepare);
    return prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0 : 1;
  };
  const base::JobId job = simulation.Submit(MakeGang("g", 2, 8));
  simulation.Run(base::Milliseconds(4000));
  EXPECT_EQ(simulation.StartCount(job), 0U);
  EXPECT_EQ(simulation.QueryJob(job).mState, JobState::Starting);
}

TEST(GangFaults, MemberThatDoesNotPrepareAbortsAndTheGangRunsLater)
{
  JobSimulation simulation;
  simulation.Boot();
  bool lose = true;
  simulation.mCopiesToAgent = [&](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskAction::Prepare);
    return lose && prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0
                                                                          : 1;
  };
  const base::JobId job = simulation.Submit(NonRepeatableGang());
  simulation.Run(base::Milliseconds(5200));
  lose = false;
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_GE(view.mAttempt.Value(), 2U);
  EXPECT_EQ(simulation.StartCount(job), 2U);
}

TEST(GangFaults, RefusalFencesTheOthersBeforeTheirAcceleratorsAreReused)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  bool hold = true;
  bool released = false;
  simulation.mCopiesToAgent = [&](const control::Outgoing& aOut) {
    if (FindCommand(aOut, TaskAction::Release) != nullptr) {
      released |= !hold;
      return hold ? 0 : 1;
    }
    return 1;
  };
  simulation.mCopiesToControl = [](const agent::MessageToControl& aMessage) {
    const auto* heartbeat = std::get_if<protocol::AgentHeartbeat>(&aMessage);
    return heartbeat != nullptr && heartbeat->mLeaving ? 0 : 1;
  };
  simulation.Host(1).mAgent->BeginDrain(simulation.Now());
  const base::JobId gang = simulation.Submit(MakeGang("g", 2, 8));
  simulation.Run(base::Milliseconds(300));
  EXPECT_EQ(simulation.StartCount(gang), 0U);
  EXPECT_EQ(simulation.Host(0).mAgent->HeldTasks(), 1U)
    << "reserved, not fenced";
  const base::JobId small = simulation.Submit(MakeGang("small", 1, 8));
  simulation.Run(base::Milliseconds(1000));
  EXPECT_NE(simulation.QueryJob(small).mAttempt, base::AttemptId(0))
    << "placed on w1, which is thought to be free";
  for (const Execution& execution : simulation.mExecutions) {
    EXPECT_NE(execution.mWorker, "w0");
  }
  hold = false;
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.StartCount(small) == 1; }));
  EXPECT_TRUE(released);
}

TEST(GangFaults, MemberLostBeforeCommitProvesNotRun)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  simulation.mCopiesToAgent = [](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskAction::Prepare);
    return prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0 : 1;
  };
  const base::JobId job = simulation.Submit(NonRepeatableGang());
  simulation.Run(base::Milliseconds(300));
  simulation.KillAgent(0);
  simulation.Run(base::Milliseconds(14000));
  const auto view = simulation.QueryJob(job);
  EXPECT_EQ(view.mRan, Ran::NotRun);
  EXPECT_EQ(view.mState, JobState::Queued);
  EXPECT_EQ(simulation.StartCount(job), 0U);
}

TEST(GangFaults, MemberLostAfterCommitStopsTheOthers)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableGang());
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 2; }));
  simulation.KillAgent(1);
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 0; }));
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(simulation.StartCount(job), 2U);
}

TEST(GangFaults, FailedMemberStopsTheOthersAtOnce)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  const base::JobId job = simulation.Submit(NonRepeatableGang());
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 2; }));
  SimulatedAgent& host = simulation.Host(0);
  const protocol::TaskKey key = host.mRunning.begin()->first;
  host.mRunning.clear();
  host.mAgent->OnTaskFailed(
    key, base::Reason::TargetFailed, true, "exit status 3", simulation.Now());
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 0; },
                        base::Milliseconds(100)));
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::Ran);
  EXPECT_NE(view.mMessage.find("exit status 3"), std::string::npos);
}

TEST(GangFaults, LeaderChangesAtEachMillisecondOfTheStart)
{
  for (int at = 0; at < 40; at += 1) {
    JobSimulationOptions options;
    options.mMembers = 3;
    JobSimulation simulation(options);
    simulation.Boot();
    simulation.Send(protocol::SubmitRequest{ NonRepeatableGang() });
    simulation.Run(base::Milliseconds(at));
    simulation.ChangeLeader(1, at % 2 == 0);
    const base::JobId job = simulation.Submit(NonRepeatableGang());
    EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished)
      << at << " ms";
    EXPECT_EQ(simulation.StartCount(job), 2U) << at << " ms";
  }
}

TEST(GangFaults, AgentRestartsAtEachMillisecondOfTheStart)
{
  for (int at = 0; at < 40; at += 1) {
    JobSimulation simulation;
    simulation.Boot();
    const base::JobId job = simulation.Submit(NonRepeatableGang());
    simulation.Run(base::Milliseconds(at));
    simulation.RestartAgent(1);
    const auto view = simulation.AwaitEnd(job);
    EXPECT_LE(simulation.StartCount(job), 2U) << at << " ms";
    if (view.mRan == Ran::NotRun) {
      EXPECT_EQ(simulation.StartCount(job), 0U) << at << " ms";
    }
  }
}

// Shows that Release keeps a late Prepare from reserving accelerators: for an
// attempt without a fence the agent reserves them.
TEST(GangFaults, LatePrepareAfterReleaseDoesNotReserve)
{
  JobSimulation simulation;
  simulation.Boot();
  agent::Agent& agent = *simulation.Host(0).mAgent;
  protocol::TaskCommand command;
  command.mTerm = agent.HighestTerm();
  command.mIncarnation = simulation.Host(0).mIncarnation;
  command.mVersion = agent.Version();
  command.mKey.mJob = base::JobId(900);
  command.mKey.mAttempt = base::AttemptId(1);
  command.mAccelerators = 8;
  command.mTaskAction = TaskAction::Release;
  agent.OnCommand(command, simulation.Now());
  command.mTaskAction = TaskAction::Prepare;
  agent.OnCommand(command, simulation.Now());
  EXPECT_EQ(agent.HeldTasks(), 0U);
  command.mKey.mAttempt = base::AttemptId(2); // Not fenced.
  agent.OnCommand(command, simulation.Now());
  EXPECT_EQ(agent.HeldTasks(), 1U);
}

} // namespace dogwooddrum::tests
