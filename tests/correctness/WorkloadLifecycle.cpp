// Guards the life cycle of workloads with at most one fault: each task runs
// once and completes, and the constraints of steps hold.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

TEST(WorkloadLifecycle, RunsEachTaskOnce)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  sim.Submit("a", "p1", OneStepSpec(5, 1000, 1, false));
  sim.RunFor(3000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StartCount("a"), 5);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(WorkloadLifecycle, StartsDependentStepAfterTheFirst)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  auto spec = OneStepSpec(2, 1000, 0, false);
  spec.mSteps.push_back(spec.mSteps.front());
  spec.mSteps.back().mDependsOn = { 0 };
  sim.Submit("a", "p1", spec);
  sim.RunFor(5000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StartCount("a"), 4);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(WorkloadLifecycle, FailsAfterTheLastAttempt)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  sim.MakeRunsFail("a");
  sim.Submit("a", "p1", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(8000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Failed);
  EXPECT_EQ(sim.StartCount("a"), 3);
  EXPECT_GE(sim.WorkersOf("a").size(), 3U)
    << "a failed task is tried elsewhere first";
}

TEST(WorkloadLifecycle, CancelStopsRuns)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  sim.SetRunTime("a", 60000);
  sim.Submit("a", "p1", OneStepSpec(2, 1000, 8, false));
  sim.RunFor(1000);
  sim.Cancel("a");
  sim.RunFor(1500);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Cancelled);
  // The resources of the cancelled workload are free again.
  sim.Submit("b", "p1", OneStepSpec(4, 1000, 8, false));
  sim.RunFor(3000);
  EXPECT_EQ(sim.Phase("b"), WorkloadPhase::Complete);
}

// A gang that runs until it is cancelled was shown as complete and never
// started again once it had ended as done.
TEST(WorkloadLifecycle, LongRunningWorkRestartsAfterItEndedDone)
{
  for (const bool isGang : { false, true }) {
    WorkloadSimulation sim({});
    sim.RunFor(500);
    auto spec = OneStepSpec(2, 1000, 1, isGang);
    spec.mSteps[0].mLongRunning = true;
    sim.SetRunTime("a", 2000);
    sim.Submit("a", "p1", spec);
    sim.RunFor(10000);
    EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Running) << isGang;
    EXPECT_GE(sim.StartCount("a"), 6) << isGang;
    sim.Cancel("a");
    sim.RunFor(1500);
    EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Cancelled) << isGang;
  }
}

TEST(WorkloadLifecycle, HonoursTheLimitPerWorker)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  auto spec = OneStepSpec(4, 1000, 0, false);
  spec.mSteps[0].mMaxPerWorker = 1;
  sim.SetRunTime("a", 2000);
  sim.Submit("a", "p1", spec);
  sim.RunFor(6000);
  EXPECT_EQ(sim.WorkersOf("a").size(), 4U);
}

TEST(WorkloadLifecycle, KeepsASameRackGangOnOneRack)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  auto spec = OneStepSpec(4, 1000, 4, true);
  spec.mSteps[0].mSameRack = true;
  sim.Submit("a", "p1", spec);
  sim.RunFor(3000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.WorkersOf("a").size(), 2U);
}

TEST(WorkloadLifecycle, GivesALeavingTargetNoWork)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 2;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.AnnounceLeave(0);
  sim.RunFor(500);
  sim.Submit("a", "p1", OneStepSpec(2, 1000, 4, false));
  sim.RunFor(3000);
  EXPECT_EQ(sim.WorkersOf("a"), std::set<std::size_t>{ 1 });
}

TEST(WorkloadLifecycle, LostLeaseMovesTheRunWithoutRunningItTwice)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 2;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("a", 3000);
  sim.Submit("a", "p1", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(500);
  const auto first = *sim.WorkersOf("a").begin();
  sim.DisconnectAgent(first, 12000);
  sim.RunFor(11000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.WorkersOf("a").size(), 2U);
  EXPECT_TRUE(sim.Violations().empty());
}

} // namespace
} // namespace dogwooddrum::tests
