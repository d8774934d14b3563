// Guards against a start that reaches the next incarnation of its target before
// that has announced itself: the lease there is longer than the leader granted,
// since the deadline is a time on the clock of the earlier incarnation.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

// An agent that was cut off from the leader retried a start until the next
// incarnation of its target carried it out. The leader let the lease of the
// earlier incarnation expire and started the task elsewhere while it ran.
TEST(RestartedTargets, StartIsNotRetriedWhileTheTargetIsNotListed)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 2;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("a", 5000);
  sim.Submit("a", "p1", OneStepSpec(1, 1000, 1, false));
  // Both targets crash before the start arrives; the task is placed on one.
  sim.RestartTargetSlowly(0, 4000, 5000);
  sim.RestartTargetSlowly(1, 4000, 20);
  sim.RunFor(20);
  sim.DisconnectAgent(0, 12000);
  sim.RunFor(20000);
  EXPECT_EQ(sim.Phase("a"), protocol::WorkloadPhase::Complete);
  for (const std::string& violation : sim.Violations()) {
    ADD_FAILURE() << violation;
  }
}

} // namespace
} // namespace dogwooddrum::tests
