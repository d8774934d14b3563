// Guards against starts beyond the capacity of a target that has less of it
// than before, and against work that waits although the capacity is back.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

TEST(ShrinkingTargets, ReducedCapacityIsNotOverbooked)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.Shrink(0, 0.25, 30000);
  sim.RunFor(2000);
  sim.SetRunTime("wide", 2000);
  sim.Submit("wide", "p1", OneStepSpec(8, 1000, 1, false));
  sim.RunFor(1500);
  EXPECT_EQ(sim.StartCount("wide"), 2);
  sim.RunFor(25000);
  EXPECT_EQ(sim.Phase("wide"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(ShrinkingTargets, WorkUsesCapacityThatIsBack)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.Shrink(0, 0.25, 5000);
  sim.RunFor(2000);
  sim.Submit("large", "p1", OneStepSpec(1, 1000, 8, false));
  sim.RunFor(2000);
  EXPECT_EQ(sim.StartCount("large"), 0);
  sim.RunFor(3500);
  EXPECT_EQ(sim.Phase("large"), WorkloadPhase::Complete);
}

class ShrinkingTargetSeeds : public testing::TestWithParam<std::uint64_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ShrinkingTargetSeeds,
                         testing::Range<std::uint64_t>(1, 121));

TEST_P(ShrinkingTargetSeeds, KeepsCapacitiesAndEnds)
{
  WorkloadSimulationOptions options;
  options.mSeed = GetParam();
  auto& faults = options.mFaults;
  faults.mCapacityChange = 0.002;
  faults.mLostMessages = 0.1;
  faults.mUnansweredOrders = 0.1;
  faults.mRefusedStarts = 0.05;
  faults.mLeaderChange = 0.001;
  faults.mAgentRestart = 0.0005;
  faults.mAgentDisconnect = 0.0005;
  faults.mAgentPause = 0.0005;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  for (int i = 0; i < 6; ++i) {
    const auto id = std::to_string(i);
    sim.SetRunTime("gang" + id, 3000);
    sim.Submit("gang" + id, "p1", OneStepSpec(3, 10000, 2, true));
    sim.Submit("many" + id, "p2", OneStepSpec(20, 5600, 1, false));
    sim.Submit("fast" + id, "p0", OneStepSpec(3, 7500, 4, false));
    sim.RunFor(5000);
  }
  sim.ClearFaults();
  sim.RunFor(120000);
  for (const std::string& violation : sim.Violations()) {
    ADD_FAILURE() << violation;
  }
  for (int i = 0; i < 6; ++i) {
    for (const char* kind : { "gang", "many", "fast" }) {
      EXPECT_EQ(sim.Phase(kind + std::to_string(i)), WorkloadPhase::Complete)
        << kind << i;
    }
  }
}

} // namespace
} // namespace dogwooddrum::tests
