// Guards the calm path of workloads: everything runs once and completes, and
// the constraints of steps hold.
#include "tests/support/WorkloadWorld.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

TEST(WorkloadCalmDay, RunsEachTaskOnce)
{
  WorkloadWorld world({});
  world.Run(500);
  world.Submit("a", "p1", OneStep(5, 1000, 1, false));
  world.Run(3000);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(world.Starts("a"), 5);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(WorkloadCalmDay, StartsDependentStepAfterTheFirst)
{
  WorkloadWorld world({});
  world.Run(500);
  auto spec = OneStep(2, 1000, 0, false);
  spec.mSteps.push_back(spec.mSteps.front());
  spec.mSteps.back().mDependsOn = { 0 };
  world.Submit("a", "p1", spec);
  world.Run(5000);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(world.Starts("a"), 4);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(WorkloadCalmDay, FailsAfterTheLastAttempt)
{
  WorkloadWorld world({});
  world.Run(500);
  world.SetFailing("a");
  world.Submit("a", "p1", OneStep(1, 1000, 1, false));
  world.Run(8000);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Failed);
  EXPECT_EQ(world.Starts("a"), 3);
  EXPECT_GE(world.WorkersOf("a").size(), 3U)
    << "a failed task is tried elsewhere first";
}

TEST(WorkloadCalmDay, CancelStopsRuns)
{
  WorkloadWorld world({});
  world.Run(500);
  world.SetRunTime("a", 60000);
  world.Submit("a", "p1", OneStep(2, 1000, 8, false));
  world.Run(1000);
  world.Cancel("a");
  world.Run(1500);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Cancelled);
  // Its room is free again.
  world.Submit("b", "p1", OneStep(4, 1000, 8, false));
  world.Run(3000);
  EXPECT_EQ(world.Phase("b"), WorkloadPhase::Complete);
}

TEST(WorkloadCalmDay, HonoursTheLimitPerWorker)
{
  WorkloadWorld world({});
  world.Run(500);
  auto spec = OneStep(4, 1000, 0, false);
  spec.mSteps[0].mMaxPerWorker = 1;
  world.SetRunTime("a", 2000);
  world.Submit("a", "p1", spec);
  world.Run(6000);
  EXPECT_EQ(world.WorkersOf("a").size(), 4U);
}

TEST(WorkloadCalmDay, KeepsASameRackGangOnOneRack)
{
  WorkloadWorld world({});
  world.Run(500);
  auto spec = OneStep(4, 1000, 4, true);
  spec.mSteps[0].mSameRack = true;
  world.Submit("a", "p1", spec);
  world.Run(3000);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(world.WorkersOf("a").size(), 2U);
}

TEST(WorkloadCalmDay, GivesALeavingTargetNoWork)
{
  WorkloadWorldOptions options;
  options.mWorkers = 2;
  WorkloadWorld world(options);
  world.Run(500);
  world.Leave(0);
  world.Run(500);
  world.Submit("a", "p1", OneStep(2, 1000, 4, false));
  world.Run(3000);
  EXPECT_EQ(world.WorkersOf("a"), std::set<std::size_t>{ 1 });
}

TEST(WorkloadCalmDay, LostLeaseMovesTheRunAndNeverDoublesIt)
{
  WorkloadWorldOptions options;
  options.mWorkers = 2;
  WorkloadWorld world(options);
  world.Run(500);
  world.SetRunTime("a", 3000);
  world.Submit("a", "p1", OneStep(1, 1000, 8, false));
  world.Run(500);
  const auto first = *world.WorkersOf("a").begin();
  world.CutAgent(first, 12000);
  world.Run(11000);
  EXPECT_EQ(world.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(world.WorkersOf("a").size(), 2U);
  EXPECT_TRUE(world.Violations().empty());
}

} // namespace
} // namespace dogwooddrum::tests
