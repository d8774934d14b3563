// Guards against a policy that can't be switched off, so that operators and the
// ablation would compare the same behaviour.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::tests {
namespace {

using coordination::workloads::Policies;

/** Returns the starts of a task on a worker that stalls for 30 s. */
int
StartsOnAStallingWorker(const Policies& aPolicies)
{
  WorkloadSimulationOptions options;
  options.mPolicies = aPolicies;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("a", 5000);
  sim.Submit("a", "p1", OneStepSpec(1, 8000, 1, false));
  sim.RunFor(500);
  sim.Stall(*sim.WorkersOf("a").begin(), 30000);
  sim.RunFor(10000);
  return sim.StartCount("a");
}

TEST(WorkloadPolicies, StallStops)
{
  EXPECT_EQ(StartsOnAStallingWorker({}), 2);
  Policies policies;
  policies.mStallStops = false;
  EXPECT_EQ(StartsOnAStallingWorker(policies), 1);
}

/** Returns whether a task has ended 4 s after its VM and the leader were
 * replaced. */
bool
EndsAfterPowerLoss(const Policies& aPolicies)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  options.mPolicies = aPolicies;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.Submit("a", "p0", OneStepSpec(1, 8000, 1, false));
  sim.RunFor(500);
  sim.RestartVm(0);
  sim.ChangeLeader();
  sim.RunFor(4000);
  return sim.Phase("a") == protocol::WorkloadPhase::Complete;
}

TEST(WorkloadPolicies, TargetBindings)
{
  EXPECT_TRUE(EndsAfterPowerLoss({}));
  Policies policies;
  policies.mTargetBindings = false;
  EXPECT_FALSE(EndsAfterPowerLoss(policies));
}

/** Returns the longest wait, in ms, of urgent tasks in a pool that is full of
 * less urgent work. */
std::int64_t
LongestUrgentWaitMs(const Policies& aPolicies)
{
  WorkloadSimulationOptions options;
  options.mGuaranteed = 0;
  options.mPolicies = aPolicies;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("b", 5000);
  sim.Submit("b", "p2", OneStepSpec(200, 8000, 1, false));
  std::int64_t longest = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "u" + std::to_string(i);
    sim.Submit(id, "p0", OneStepSpec(1, 1000, 4, false));
    sim.RunFor(2000);
    // The demand has to be observed before headroom is kept for it.
    longest = i < 5 ? 0 : std::max(longest, sim.FirstStartMs(id));
  }
  return longest;
}

TEST(WorkloadPolicies, UrgentHeadroom)
{
  Policies policies;
  policies.mUrgentHeadroom = false;
  EXPECT_LT(LongestUrgentWaitMs({}), LongestUrgentWaitMs(policies));
}

/** Returns the starts of less urgent work that a large urgent workload without
 * a guarantee would stop for less work of its own. */
int
StartsOfVictims(const Policies& aPolicies)
{
  WorkloadSimulationOptions options;
  options.mGuaranteed = 0;
  options.mPolicies = aPolicies;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("v", 20000);
  sim.Submit("v", "p2", OneStepSpec(4, 60000, 8, false));
  sim.RunFor(8000);
  sim.Submit("u", "p0", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(30000);
  return sim.StartCount("v");
}

TEST(WorkloadPolicies, LossLimit)
{
  EXPECT_EQ(StartsOfVictims({}), 4);
  Policies policies;
  policies.mLossLimit = false;
  EXPECT_EQ(StartsOfVictims(policies), 5);
}

} // namespace
} // namespace dogwooddrum::tests
