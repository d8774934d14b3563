// Guards the choice of the runs that are stopped when urgent work arrives at a
// full pool.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

WorkloadSimulationOptions
FullPool(std::uint64_t aGuaranteed)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 2;
  options.mGuaranteed = aGuaranteed;
  return options;
}

TEST(WorkloadPreemption, UrgentWorkInsideItsGuaranteeStopsBorrowers)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("borrower", 60000);
  sim.Submit("borrower", "p2", OneStepSpec(2, 1000, 8, false));
  sim.RunFor(2000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(3400);
  EXPECT_GE(sim.FirstStartMs("urgent"), 0);
  EXPECT_LE(sim.FirstStartMs("urgent"), 3400);
}

// Urgent work of another account used every worker beyond that account's
// guarantee, and could not be stopped: guaranteed work waited for it to end.
TEST(WorkloadPreemption, GuaranteedWorkStopsUrgentWorkBeyondAGuarantee)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("borrower", 60000);
  sim.Submit("borrower", "p0", OneStepSpec(2, 1000, 8, false), "other");
  sim.RunFor(2000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(3400);
  EXPECT_GE(sim.FirstStartMs("urgent"), 0);
  EXPECT_LE(sim.FirstStartMs("urgent"), 2700);
}

// The runs have 2 s left, too long to count as about to end without the wait.
TEST(WorkloadPreemption, UrgentWorkThatEndsSoonIsNotStoppedForAGuarantee)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("borrower", 4000);
  sim.Submit("borrower", "p0", OneStepSpec(2, 1000, 8, false), "other");
  sim.RunFor(2000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(6000);
  EXPECT_EQ(sim.StartCount("borrower"), 2);
  EXPECT_EQ(sim.Phase("borrower"), WorkloadPhase::Complete);
}

TEST(WorkloadPreemption, AccountBeyondItsGuaranteeStopsNoUrgentWork)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("borrower", 60000);
  sim.SetRunTime("large", 60000);
  sim.Submit("borrower", "p0", OneStepSpec(1, 1000, 8, false), "other");
  sim.Submit("large", "p0", OneStepSpec(2, 1000, 8, false));
  sim.RunFor(2000);
  sim.Submit("small", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(6000);
  EXPECT_EQ(sim.StartCount("borrower"), 1);
  EXPECT_EQ(sim.StartCount("large"), 1);
}

// A long-running task was stopped for urgent work, since its stop loses least,
// and got no room again while less urgent work ran on.
TEST(WorkloadPreemption, LongRunningTaskStoppedForUrgentWorkGetsRoomAgain)
{
  WorkloadSimulationOptions options = FullPool(8);
  options.mWorkers = 3;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("batch", 100000);
  sim.Submit("batch", "p2", OneStepSpec(2, 1000, 8, false), "other");
  sim.RunFor(12000);
  sim.SetRunTime("service", 100000);
  auto service = OneStepSpec(1, 1000, 8, false);
  service.mSteps[0].mLongRunning = true;
  sim.Submit("service", "p1", service, "other");
  sim.RunFor(2000);
  sim.SetRunTime("urgent", 30000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(6000);
  EXPECT_EQ(sim.StartCount("urgent"), 1);
  EXPECT_EQ(sim.StartCount("service"), 2);
  EXPECT_EQ(sim.StartCount("batch"), 2) << "one of two waits";
}

TEST(WorkloadPreemption, SmallUrgentTasksDoNotStopANearlyDoneGang)
{
  WorkloadSimulation sim(FullPool(0));
  sim.RunFor(500);
  sim.SetRunTime("gang", 12000);
  auto gang = OneStepSpec(2, 1000, 8, true);
  gang.mSteps[0].mEstimateMs = 12000;
  sim.Submit("gang", "p1", gang);
  sim.RunFor(10000);
  for (int i = 0; i < 5; ++i) {
    sim.Submit(
      "small" + std::to_string(i), "p0", OneStepSpec(1, 1000, 2, false));
    sim.RunFor(200);
  }
  sim.RunFor(6000);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete);
  EXPECT_EQ(sim.StartCount("gang"), 2) << "the gang was stopped and run again";
}

TEST(WorkloadPreemption, UrgentBurstStopsCheckpointingWorkFirst)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("saved", 60000);
  sim.SetRunTime("unsaved", 60000);
  auto saved = OneStepSpec(1, 1000, 8, false);
  saved.mSteps[0].mCheckpointing = true;
  sim.Submit("saved", "p2", saved);
  sim.Submit("unsaved", "p2", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(8000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(3000);
  EXPECT_GE(sim.FirstStartMs("urgent"), 0);
  EXPECT_EQ(sim.WorkersOf("urgent"), sim.WorkersOf("saved"));
  EXPECT_EQ(sim.StartCount("unsaved"), 1);
}

// Work of the middle priority was stopped repeatedly, since it had started last
// and so lost the least work.
TEST(WorkloadPreemption, UrgentBurstStopsTheLeastUrgentWorkFirst)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("least", 60000);
  sim.SetRunTime("middle", 60000);
  sim.Submit("least", "p2", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(4000);
  sim.Submit("middle", "p1", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(2500);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(3000);
  EXPECT_GE(sim.FirstStartMs("urgent"), 0);
  EXPECT_EQ(sim.StartCount("middle"), 1);
  EXPECT_EQ(sim.WorkersOf("urgent"), sim.WorkersOf("least"));
}

TEST(WorkloadPreemption, UrgentBurstWaitsForARunAboutToEnd)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("ending", 1200);
  sim.SetRunTime("long", 60000);
  sim.Submit("ending", "p2", OneStepSpec(1, 1000, 8, false));
  sim.Submit("long", "p2", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(1000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(1000);
  EXPECT_EQ(sim.WorkersOf("urgent"), sim.WorkersOf("ending"));
  EXPECT_EQ(sim.StartCount("ending"), 1) << "a run about to end was stopped";
}

// Urgent work waited 500 ms for free resources before a run was stopped for it,
// even if no run was about to end.
TEST(WorkloadPreemption, UrgentWorkInAFullPoolOfLongRunsStopsOneAtOnce)
{
  WorkloadSimulation sim(FullPool(8));
  sim.RunFor(500);
  sim.SetRunTime("long", 60000);
  sim.Submit("long", "p2", OneStepSpec(2, 1000, 8, false));
  sim.RunFor(2000);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(1000);
  // A simulated target stops a run in 300 ms; orders and reports take at most
  // three times 100 ms.
  EXPECT_GE(sim.FirstStartMs("urgent"), 0);
  EXPECT_LE(sim.FirstStartMs("urgent"), 600);
}

} // namespace
} // namespace dogwooddrum::tests
