// Guards against accelerators that are assigned to new jobs while a silent or
// frozen agent may still use them, and against tasks that outlive their lease.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using protocol::JobState;

namespace {

WorldOptions
OneWorkerOptions()
{
  WorldOptions options;
  options.mWorkers = 1;
  options.mRunTime = base::Milliseconds(60000);
  return options;
}

} // namespace

TEST(LeaseExpiry, TaskOfASilentAgentStopsWhenItsLeaseEnds)
{
  World world(OneWorkerOptions());
  world.Boot();
  const base::JobId job = world.Submit(Gang("a", 1, 8));
  world.Run(base::Milliseconds(20000));
  EXPECT_EQ(world.RunningTasks(job), 1U) << "renewed by heartbeats";
  world.Host(0).mLinked = false;
  const base::Time disconnectedAt = world.Now();
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 0; }));
  EXPECT_LE(world.Now() - disconnectedAt, base::Milliseconds(10010));
  EXPECT_GE(world.Now() - disconnectedAt, base::Milliseconds(8900));
}

TEST(LeaseExpiry, AcceleratorsAreReusedOnlyAfterTheLeaseBound)
{
  World world(OneWorkerOptions());
  world.Boot();
  const base::JobId first = world.Submit(Gang("first", 1, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(first) == 1; }));
  world.Host(0).mLinked = false;
  const base::Time disconnectedAt = world.Now();
  const auto free = [&] { return world.Leader().Fragmentation().mFree; };
  const std::uint64_t logSize = world.mLog.size();
  ASSERT_TRUE(world.RunUntil([&] { return world.mLog.size() > logSize; }));
  // The last grant was at most one heartbeat interval before disconnectedAt.
  EXPECT_GE(world.Now() - disconnectedAt,
            base::Milliseconds(10 * 1050 + 500 - 1000 - 10));
  EXPECT_LE(world.Now() - disconnectedAt,
            base::Milliseconds(10 * 1050 + 500 + 20));
  EXPECT_EQ(free(), 0U) << "the worker itself is down";
  EXPECT_EQ(world.RunningTasks(first), 0U);
}

TEST(LeaseExpiry, NewLeaderCountsLeasesFromItsElection)
{
  auto options = OneWorkerOptions();
  options.mMembers = 2;
  World world(options);
  world.Boot();
  const base::JobId first = world.Submit(Gang("first", 1, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(first) == 1; }));
  world.Host(0).mLinked = false;
  world.Run(base::Milliseconds(5000));
  world.ChangeLeader(1);
  const std::size_t logSize = world.mLog.size();
  const base::Time elected = world.Now();
  ASSERT_TRUE(world.RunUntil([&] { return world.mLog.size() > logSize; }));
  EXPECT_GE(world.Now() - elected, base::Milliseconds(10 * 1050 + 500));
}

TEST(LeaseExpiry, FrozenAgentStopsItsTasksFirstWhenItResumes)
{
  World world(OneWorkerOptions());
  world.Boot();
  const base::JobId job = world.Submit(Gang("a", 1, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 1; }));
  world.Freeze(0);
  world.Run(base::Milliseconds(30000));
  EXPECT_EQ(world.RunningTasks(job), 1U);
  world.Resume(0);
  world.PumpAll();
  EXPECT_EQ(world.RunningTasks(job), 0U);
}

TEST(LeaseExpiry, ReplacedProcessStaysReplacedWhenItResumes)
{
  WorldOptions options;
  options.mWorkers = 1;
  World world(options);
  world.Boot();
  const base::Incarnation old = world.Host(0).mIncarnation;
  world.RestartAgent(0);
  world.Run(base::Milliseconds(20000));
  protocol::AgentHeartbeat late;
  late.mIncarnation = old;
  late.mSequence = 1000;
  late.mFacts.mWorker = base::WorkerId("w0");
  late.mFacts.mAccelerators = 8;
  world.Leader().OnAgentHeartbeat(control::SessionId(99), late, world.Now());
  const base::JobId job = world.Submit(SmallJob("a"));
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

// Shows that the lease bound prevents the overlap: an agent with a longer lease
// still runs its task when the accelerators are released.
TEST(LeaseExpiry, AgentWithALongerLeaseRunsPastTheBound)
{
  auto options = OneWorkerOptions();
  options.mAgent.mTaskLease = base::Milliseconds(40000);
  World world(options);
  world.Boot();
  const base::JobId first = world.Submit(Gang("first", 1, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(first) == 1; }));
  world.Host(0).mLinked = false;
  const std::size_t logSize = world.mLog.size();
  ASSERT_TRUE(world.RunUntil([&] { return world.mLog.size() > logSize; }));
  EXPECT_EQ(world.RunningTasks(first), 1U);
}

} // namespace dogwooddrum::tests
