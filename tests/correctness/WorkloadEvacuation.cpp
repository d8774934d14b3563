// Guards the runs on targets that leave at short notice. Each test is named
// after the pattern of load that it answers.
#include "tests/support/WorkloadWorld.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

protocol::WorkloadSpec
LongTasks(std::uint32_t aCount, bool aGang)
{
  auto spec = OneStep(aCount, 1000, 8, aGang);
  spec.mSteps[0].mEstimateMs = 8000;
  return spec;
}

WorkloadWorldOptions
FourWorkers()
{
  WorkloadWorldOptions options;
  options.mWorkers = 4;
  return options;
}

// A run that went down with its target kept its task from starting elsewhere
// until its lease was over, 6.4 s after the last report.
TEST(WorkloadEvacuation, RunThatCannotEndInTimeStartsElsewhereAtOnce)
{
  WorkloadWorld world(FourWorkers());
  world.Run(500);
  world.SetRunTime("long", 8000);
  world.Submit("long", "p1", LongTasks(1, false));
  world.Run(1000);
  const auto first = world.WorkersOf("long");
  ASSERT_EQ(first.size(), 1U);
  world.TakeAway(*first.begin(), 2000);
  world.Run(2000);
  EXPECT_EQ(world.Starts("long"), 2);
  EXPECT_EQ(world.WorkersOf("long").size(), 2U);
  world.Run(10000);
  EXPECT_EQ(world.Phase("long"), WorkloadPhase::Complete);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(WorkloadEvacuation, GangWithOneDoomedMemberMovesAsAWhole)
{
  WorkloadWorld world(FourWorkers());
  world.Run(500);
  world.SetRunTime("gang", 8000);
  world.Submit("gang", "p1", LongTasks(2, true));
  world.Run(1000);
  const auto first = world.WorkersOf("gang");
  ASSERT_EQ(first.size(), 2U);
  world.TakeAway(*first.begin(), 2000);
  world.Run(2000);
  EXPECT_EQ(world.Starts("gang"), 4);
  world.Run(10000);
  EXPECT_EQ(world.Phase("gang"), WorkloadPhase::Complete);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(WorkloadEvacuation, RunThatEndsInTimeIsLeftAlone)
{
  WorkloadWorld world(FourWorkers());
  world.Run(500);
  world.SetRunTime("short", 3000);
  auto spec = LongTasks(1, false);
  // The estimate is far too long; the progress tells the truth.
  world.Submit("short", "p1", spec);
  world.Run(2000);
  const auto first = world.WorkersOf("short");
  ASSERT_EQ(first.size(), 1U);
  world.TakeAway(*first.begin(), 2000);
  world.Run(3000);
  EXPECT_EQ(world.Starts("short"), 1);
  EXPECT_EQ(world.Phase("short"), WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
