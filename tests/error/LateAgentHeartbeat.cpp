// Guards against a worker that stays lost because a late heartbeat of its ended
// agent process arrived after the first heartbeat of the live process.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

TEST(LateAgentHeartbeat, LiveProcessServesItsWorkerAgain)
{
  WorldOptions options;
  options.mWorkers = 1;
  World world(options);
  world.Boot();
  protocol::AgentHeartbeat late;
  late.mIncarnation = base::Incarnation(77);
  late.mFacts.mWorker = base::WorkerId(world.Host(0).mWorker);
  late.mFacts.mAccelerators = options.mAccelerators;
  world.Leader().OnAgentHeartbeat(control::SessionId(777), late, world.Now());
  const base::JobId job = world.Submit(SmallJob("after"));
  EXPECT_EQ(world.AwaitEnd(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(world.Starts(job), 1U);
}

} // namespace dogwooddrum::tests
