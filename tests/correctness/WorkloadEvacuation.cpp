// Guards against runs that are lost with a target which leaves at short notice,
// although they could have been stopped before and started elsewhere at once.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

protocol::WorkloadSpec
LongTasks(std::uint32_t aCount, bool aGang)
{
  auto spec = OneStepSpec(aCount, 1000, 8, aGang);
  spec.mSteps[0].mEstimateMs = 8000;
  return spec;
}

WorkloadSimulationOptions
FourWorkers()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 4;
  return options;
}

// A run that ended with its target kept its task from starting elsewhere until
// its lease expired, 6.4 s after the last report.
TEST(WorkloadEvacuation, RunThatOutlastsItsTargetStartsElsewhereAtOnce)
{
  WorkloadSimulation sim(FourWorkers());
  sim.RunFor(500);
  sim.SetRunTime("long", 8000);
  sim.Submit("long", "p1", LongTasks(1, false));
  sim.RunFor(1000);
  const auto first = sim.WorkersOf("long");
  ASSERT_EQ(first.size(), 1U);
  sim.ReclaimVm(*first.begin(), 2000);
  sim.RunFor(2000);
  EXPECT_EQ(sim.StartCount("long"), 2);
  EXPECT_EQ(sim.WorkersOf("long").size(), 2U);
  sim.RunFor(10000);
  EXPECT_EQ(sim.Phase("long"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(WorkloadEvacuation, GangWithOneMemberOnALeavingTargetMovesAsAWhole)
{
  WorkloadSimulation sim(FourWorkers());
  sim.RunFor(500);
  sim.SetRunTime("gang", 8000);
  sim.Submit("gang", "p1", LongTasks(2, true));
  sim.RunFor(1000);
  const auto first = sim.WorkersOf("gang");
  ASSERT_EQ(first.size(), 2U);
  sim.ReclaimVm(*first.begin(), 2000);
  sim.RunFor(2000);
  EXPECT_EQ(sim.StartCount("gang"), 4);
  sim.RunFor(10000);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(WorkloadEvacuation, RunThatEndsInTimeIsNotStopped)
{
  WorkloadSimulation sim(FourWorkers());
  sim.RunFor(500);
  sim.SetRunTime("short", 3000);
  auto spec = LongTasks(1, false);
  // The estimate is far too long; the listed progress is right.
  sim.Submit("short", "p1", spec);
  sim.RunFor(2000);
  const auto first = sim.WorkersOf("short");
  ASSERT_EQ(first.size(), 1U);
  sim.ReclaimVm(*first.begin(), 2000);
  sim.RunFor(3000);
  EXPECT_EQ(sim.StartCount("short"), 1);
  EXPECT_EQ(sim.Phase("short"), WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
