// Guards against a worker that stays lost because a late heartbeat of its ended
// agent process arrived after the first heartbeat of the live process.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

TEST(LateAgentHeartbeat, LiveProcessServesItsWorkerAgain)
{
  JobSimulationOptions options;
  options.mWorkers = 1;
  JobSimulation simulation(options);
  simulation.Boot();
  protocol::AgentHeartbeat late;
  late.mIncarnation = base::Incarnation(77);
  late.mWorkerInfo.mWorker = base::WorkerId(simulation.Host(0).mWorker);
  late.mWorkerInfo.mAccelerators = options.mAccelerators;
  simulation.Leader().OnAgentHeartbeat(
    control::SessionId(777), late, simulation.Now());
  const base::JobId job = simulation.Submit(MakeSmallJob("after"));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

} // namespace dogwooddrum::tests
