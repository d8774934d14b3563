// Guards runs that stand still on a target that answers. Each test is named
// after the pattern of load that it answers.
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

void
SubmitTask(WorkloadWorld& aWorld, const char* aId, std::int64_t aRunMs)
{
  aWorld.SetRunTime(aId, aRunMs);
  auto spec = OneStep(1, 1000, 8, false);
  spec.mSteps[0].mEstimateMs = static_cast<std::uint64_t>(aRunMs);
  aWorld.Submit(aId, "p0", spec);
}

// Urgent work on a hanging worker stood still until the worker had recovered,
// 6 s on trouble-1 of precis-cluj-grown.
TEST(WorkloadStalls, UrgentTaskOnAHangingWorkerStartsElsewhere)
{
  WorkloadWorld world(TwoWorkers());
  world.Run(500);
  SubmitTask(world, "urgent", 2500);
  world.Run(1000);
  const auto first = world.WorkersOf("urgent");
  ASSERT_EQ(first.size(), 1U);
  world.Stall(*first.begin(), 20000);
  world.Run(6500);
  EXPECT_EQ(world.Phase("urgent"), WorkloadPhase::Complete);
  EXPECT_EQ(world.Starts("urgent"), 2);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(WorkloadStalls, NewTasksAvoidAHangingWorker)
{
  WorkloadWorld world(TwoWorkers());
  world.Run(500);
  SubmitTask(world, "first", 2500);
  world.Run(1000);
  const auto hanging = world.WorkersOf("first");
  ASSERT_EQ(hanging.size(), 1U);
  world.Stall(*hanging.begin(), 20000);
  world.Run(8000);
  SubmitTask(world, "later", 1000);
  world.Run(2000);
  EXPECT_EQ(world.WorkersOf("later").count(*hanging.begin()), 0U);
}

TEST(WorkloadStalls, RunWithMuchWorkOutlastsAShortStall)
{
  WorkloadWorld world(TwoWorkers());
  world.Run(500);
  SubmitTask(world, "long", 20000);
  world.Run(15000);
  const auto first = world.WorkersOf("long");
  ASSERT_EQ(first.size(), 1U);
  world.Stall(*first.begin(), 6000);
  world.Run(14000);
  EXPECT_EQ(world.Starts("long"), 1) << "15 s of work were thrown away";
  EXPECT_EQ(world.Phase("long"), WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
