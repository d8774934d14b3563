// Guards the distinction between a target that is unreachable for a while,
// whose runs continue, and a dead one, whose tasks start elsewhere, even if its
// agent is still up.
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

std::size_t
StartLongRun(WorkloadSimulation& aSim)
{
  aSim.RunFor(500);
  aSim.SetRunTime("long", 9000);
  auto spec = OneStepSpec(1, 1000, 8, false);
  spec.mSteps[0].mEstimateMs = 9000;
  aSim.Submit("long", "p1", spec);
  aSim.RunFor(1000);
  return *aSim.WorkersOf("long").begin();
}

TEST(UnresponsiveTargets, RunOfABrieflyUnresponsiveVmContinues)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.DisconnectAgent(StartLongRun(sim), 4500);
  sim.RunFor(10000);
  EXPECT_EQ(sim.StartCount("long"), 1);
  EXPECT_EQ(sim.Phase("long"), WorkloadPhase::Complete);
}

TEST(UnresponsiveTargets, RunOfAnUnresponsiveVmIsNotStopped)
{
  WorkloadSimulation sim(TwoWorkers());
  const auto worker = StartLongRun(sim);
  // The run's progress was listed before, and then does not change for longer
  // than the run has worked.
  sim.DisconnectAgent(worker, 4500);
  sim.RunFor(4400);
  EXPECT_EQ(sim.StartCount("long"), 1);
}

// The agent's reports kept renewing the lease of a dead target; its tasks never
// started elsewhere.
TEST(UnresponsiveTargets, RunsOfADeadTargetWithALiveAgentStartElsewhere)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.KillTarget(StartLongRun(sim));
  // 2 s without a list, then the longest lease with its margins.
  sim.RunFor(2000 + 6180 + 250 + 500);
  EXPECT_EQ(sim.StartCount("long"), 2);
  sim.RunFor(10000);
  EXPECT_EQ(sim.Phase("long"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(UnresponsiveTargets, NewLeaderEndsRunsOfADeadTargetWithALiveAgent)
{
  WorkloadSimulation sim(TwoWorkers());
  sim.KillTarget(StartLongRun(sim));
  sim.RunFor(3000);
  sim.ChangeLeader();
  sim.RunFor(6180 + 250 + 1000);
  EXPECT_EQ(sim.StartCount("long"), 2);
}

} // namespace
} // namespace dogwooddrum::tests
