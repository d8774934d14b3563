// Guards the line between a target that is silent for a while and one that is
// dead: the work of the first goes on, the work of the second starts elsewhere,
// also if its agent lives.
#include "tests/support/WorkloadWorld.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

WorkloadWorldOptions
TwoWorkers()
{
  WorkloadWorldOptions options;
  options.mWorkers = 2;
  return options;
}

std::size_t
StartLongRun(WorkloadWorld& aWorld)
{
  aWorld.Run(500);
  aWorld.SetRunTime("long", 9000);
  auto spec = OneStep(1, 1000, 8, false);
  spec.mSteps[0].mEstimateMs = 9000;
  aWorld.Submit("long", "p1", spec);
  aWorld.Run(1000);
  return *aWorld.WorkersOf("long").begin();
}

TEST(SilentTargets, RunOfAVmThatIsSilentForAWhileGoesOn)
{
  WorkloadWorld world(TwoWorkers());
  world.CutAgent(StartLongRun(world), 4500);
  world.Run(10000);
  EXPECT_EQ(world.Starts("long"), 1);
  EXPECT_EQ(world.Phase("long"), WorkloadPhase::Complete);
}

TEST(SilentTargets, RunOfASilentVmIsNotTakenForStandingStill)
{
  WorkloadWorld world(TwoWorkers());
  const auto worker = StartLongRun(world);
  // Its progress is known, and does not change for longer than the run has
  // worked.
  world.CutAgent(worker, 4500);
  world.Run(4400);
  EXPECT_EQ(world.Starts("long"), 1);
}

// The agent's reports renewed the lease of a target that had been dead for
// long; its runs were never started elsewhere.
TEST(SilentTargets, RunsOfADeadTargetBehindALivingAgentStartElsewhere)
{
  WorkloadWorld world(TwoWorkers());
  world.KillTarget(StartLongRun(world));
  // 2 s without a list, then the longest lease with its margins.
  world.Run(2000 + 6180 + 250 + 500);
  EXPECT_EQ(world.Starts("long"), 2);
  world.Run(10000);
  EXPECT_EQ(world.Phase("long"), WorkloadPhase::Complete);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(SilentTargets, NewLeaderEndsRunsOfADeadTargetBehindALivingAgent)
{
  WorkloadWorld world(TwoWorkers());
  world.KillTarget(StartLongRun(world));
  world.Run(3000);
  world.ChangeLeader();
  world.Run(6180 + 250 + 1000);
  EXPECT_EQ(world.Starts("long"), 2);
}

} // namespace
} // namespace dogwooddrum::tests
