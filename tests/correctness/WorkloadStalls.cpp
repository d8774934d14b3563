// Guards against waiting for runs that make no progress although their target
// answers, and against stopping runs that lose more work than a stall costs.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

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

void
SubmitGang(WorkloadSimulation& aSim, const char* aId, std::int64_t aRunMs)
{
  aSim.SetRunTime(aId, aRunMs);
  auto spec = OneStepSpec(2, 1000, 8, true);
  spec.mSteps[0].mEstimateMs = static_cast<std::uint64_t>(aRunMs);
  aSim.Submit(aId, "p0", spec);
}

// A gang of one fast and one slow worker was stopped while the fast member,
// which had done its share, waited for the slow one.
TEST(WorkloadStalls, GangThatWaitsForASlowMemberIsNotStopped)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.SetSlowness(1, 3);
  sim.RunFor(500);
  SubmitGang(sim, "gang", 2500);
  sim.RunFor(8500);
  EXPECT_EQ(sim.StartCount("gang"), 2);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete);
}

// The end of a gang is listed by one member first; the others, which had waited
// for long, were stopped as stalled.
TEST(WorkloadStalls, GangWithAnEndIsNotStopped)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.SetSlowness(1, 3);
  sim.RunFor(500);
  SubmitGang(sim, "gang", 2500);
  sim.RunFor(7400);
  sim.PauseAgent(0, 600);
  sim.RunFor(1000);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StopCount("stalled"), 0);
}

// Load: a gang of two, one worker of which stands still while the other member
// works, or waits after its share.
class StalledGangs : public testing::TestWithParam<std::int64_t>
{};

TEST_P(StalledGangs, StartAgainWithoutTheStalledWorker)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 3;
  WorkloadSimulation sim(options);
  sim.SetSlowness(0, 2);
  sim.SetSlowness(1, 2);
  sim.SetSlowness(2, 2);
  sim.RunFor(500);
  SubmitGang(sim, "gang", 2500);
  sim.RunFor(GetParam());
  const auto first = sim.WorkersOf("gang");
  ASSERT_EQ(first.size(), 2U);
  sim.Stall(*first.begin(), 20000);
  // The stall shows after as long as the gang has worked, and the gang works
  // for another 5 s.
  sim.RunFor(std::max<std::int64_t>(GetParam(), 1500) + 1500 + 5000);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StartCount("gang"), 4);
  EXPECT_TRUE(sim.Violations().empty());
}

INSTANTIATE_TEST_SUITE_P(WorkloadStalls,
                         StalledGangs,
                         testing::Values(1500, 2500, 4500));

} // namespace
} // namespace dogwooddrum::tests
