// Guards against orders that exceed a frame. The link dropped them whole, with
// the lease and the stops, and no later orders were smaller.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

protocol::WorkloadSpec
ManyLargeTasks(std::uint32_t aCount)
{
  auto spec = OneStepSpec(aCount, 100, 0, false);
  spec.mSteps[0].mTaskResources.mMemoryMb = 10;
  spec.mPayload.assign(4000, 'x');
  return spec;
}

TEST(LargeOrders, ManyStartsWithLargePayloadsReachTheirTarget)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.Submit("wide", "p1", ManyLargeTasks(600));
  sim.RunFor(20000);
  EXPECT_EQ(sim.Phase("wide"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

} // namespace
} // namespace dogwooddrum::tests
