// Guards against accelerators that are assigned to new jobs while a silent or
// frozen agent may still use them, and against tasks that outlive their lease.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using protocol::JobState;

namespace {

JobSimulationOptions
OneWorkerOptions()
{
  JobSimulationOptions options;
  options.mWorkers = 1;
  options.mRunTime = base::Milliseconds(60000);
  return options;
}

} // namespace

TEST(LeaseExpiry, TaskOfASilentAgentStopsWhenItsLeaseEnds)
{
  JobSimulation simulation(OneWorkerOptions());
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeGang("a", 1, 8));
  simulation.Run(base::Milliseconds(20000));
  EXPECT_EQ(simulation.RunningTasks(job), 1U) << "renewed by heartbeats";
  simulation.Host(0).mLinked = false;
  const base::Time disconnectedAt = simulation.Now();
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 0; }));
  EXPECT_LE(simulation.Now() - disconnectedAt, base::Milliseconds(10010));
  EXPECT_GE(simulation.Now() - disconnectedAt, base::Milliseconds(8900));
}

TEST(LeaseExpiry, AcceleratorsAreReusedOnlyAfterTheLeaseBound)
{
  JobSimulation simulation(OneWorkerOptions());
  simulation.Boot();
  const base::JobId first = simulation.Submit(MakeGang("first", 1, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(first) == 1; }));
  simulation.Host(0).mLinked = false;
  const base::Time disconnectedAt = simulation.Now();
  const auto free = [&] { return simulation.Leader().Fragmentation().mFree; };
  const std::uint64_t logSize = simulation.mLog.size();
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.mLog.size() > logSize; }));
  // The last grant was at most one heartbeat interval before disconnectedAt.
  EXPECT_GE(simulation.Now() - disconnectedAt,
            base::Milliseconds(10 * 1050 + 500 - 1000 - 10));
  EXPECT_LE(simulation.Now() - disconnectedAt,
            base::Milliseconds(10 * 1050 + 500 + 20));
  EXPECT_EQ(free(), 0U) << "the worker itself is down";
  EXPECT_EQ(simulation.RunningTasks(first), 0U);
}

TEST(LeaseExpiry, NewLeaderCountsLeasesFromItsElection)
{
  auto options = OneWorkerOptions();
  options.mMembers = 2;
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId first = simulation.Submit(MakeGang("first", 1, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(first) == 1; }));
  simulation.Host(0).mLinked = false;
  simulation.Run(base::Milliseconds(5000));
  simulation.ChangeLeader(1);
  const std::size_t logSize = simulation.mLog.size();
  const base::Time elected = simulation.Now();
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.mLog.size() > logSize; }));
  EXPECT_GE(simulation.Now() - elected, base::Milliseconds(10 * 1050 + 500));
}

TEST(LeaseExpiry, FrozenAgentStopsItsTasksFirstWhenItResumes)
{
  JobSimulation simulation(OneWorkerOptions());
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeGang("a", 1, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 1; }));
  simulation.Freeze(0);
  simulation.Run(base::Milliseconds(30000));
  EXPECT_EQ(simulation.RunningTasks(job), 1U);
  simulation.Resume(0);
  simulation.ProcessAllOutput();
  EXPECT_EQ(simulation.RunningTasks(job), 0U);
}

TEST(LeaseExpiry, ReplacedProcessStaysReplacedWhenItResumes)
{
  JobSimulationOptions options;
  options.mWorkers = 1;
  JobSimulation simulation(options);
  simulation.Boot();
  const base::Incarnation old = simulation.Host(0).mIncarnation;
  simulation.RestartAgent(0);
  simulation.Run(base::Milliseconds(20000));
  protocol::AgentHeartbeat late;
  late.mIncarnation = old;
  late.mSequence = 1000;
  late.mWorkerInfo.mWorker = base::WorkerId("w0");
  late.mWorkerInfo.mAccelerators = 8;
  simulation.Leader().OnAgentHeartbeat(
    control::SessionId(99), late, simulation.Now());
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

// Shows that the lease bound prevents the overlap: an agent with a longer lease
// still runs its task when the accelerators are released.
TEST(LeaseExpiry, AgentWithALongerLeaseRunsPastTheBound)
{
  auto options = OneWorkerOptions();
  options.mAgent.mTaskLease = base::Milliseconds(40000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId first = simulation.Submit(MakeGang("first", 1, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(first) == 1; }));
  simulation.Host(0).mLinked = false;
  const std::size_t logSize = simulation.mLog.size();
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.mLog.size() > logSize; }));
  EXPECT_EQ(simulation.RunningTasks(first), 1U);
}

} // namespace dogwooddrum::tests
