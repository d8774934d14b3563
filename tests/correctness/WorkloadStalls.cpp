// Guards against waiting for runs that make no progress although their target
// answers, and against stopping runs that lose more work than a stall costs.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

WorkloadSimulationOptions
TwoWorkers()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 2;
  return options;
}

void
SubmitTask(WorkloadSimulation& aSim, const char* aId, std::int64_t aRunMs)
{
  aSim.SetRunTime(aId, aRunMs);
  auto spec = OneStepSpec(1, 1000, 8, false);
  spec.mSteps[0].mEstimateMs = static_cast<std::uint64_t>(aRunMs);
  aSim.Submit(aId, "p0", spec);
}

// Urgent work on a stalling worker made no progress until the worker had
// recovered, 6 s later.
TEST(WorkloadStalls, StalledUrgentTaskStartsElsewhere)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.RunFor(500);
  SubmitTask(sim, "urgent", 2500);
  sim.RunFor(1000);
  const auto first = sim.WorkersOf("urgent");
  ASSERT_EQ(first.size(), 1U);
  sim.Stall(*first.begin(), 20000);
  sim.RunFor(6500);
  EXPECT_EQ(sim.Phase("urgent"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StartCount("urgent"), 2);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(WorkloadStalls, NewTasksAvoidAStallingWorker)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.RunFor(500);
  SubmitTask(sim, "first", 2500);
  sim.RunFor(1000);
  const auto stalling = sim.WorkersOf("first");
  ASSERT_EQ(stalling.size(), 1U);
  sim.Stall(*stalling.begin(), 20000);
  sim.RunFor(8000);
  SubmitTask(sim, "later", 1000);
  sim.RunFor(2000);
  EXPECT_EQ(sim.WorkersOf("later").count(*stalling.begin()), 0U);
}

TEST(WorkloadStalls, ShortStallDoesNotStopARunWithMuchWorkDone)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.RunFor(500);
  SubmitTask(sim, "long", 20000);
  sim.RunFor(15000);
  const auto first = sim.WorkersOf("long");
  ASSERT_EQ(first.size(), 1U);
  sim.Stall(*first.begin(), 6000);
  sim.RunFor(14000);
  EXPECT_EQ(sim.StartCount("long"), 1) << "15 s of work were lost";
  EXPECT_EQ(sim.Phase("long"), WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
