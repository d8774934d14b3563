// Guards against an agent that never gets the configuration, and so refuses
// all work, because one reply that carried the configuration was lost.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

TEST(ConfigurationResend, LostBodyIsSentAgainOnTheSameLink)
{
  JobSimulation simulation;
  bool dropped = false;
  simulation.mCopiesToAgent = [&](const control::Outgoing& aOut) {
    const auto* reply = std::get_if<protocol::HeartbeatReply>(&aOut.mMessage);
    if (reply != nullptr && reply->mBody && !dropped &&
        aOut.mSession == simulation.Host(0).mSession) {
      dropped = true;
      return 0;
    }
    return 1;
  };
  simulation.Boot();
  EXPECT_TRUE(dropped);
  simulation.Run(base::Milliseconds(3000));
  EXPECT_EQ(simulation.Host(0).mAgent->Version(),
            simulation.Leader().Configuration().mVersion);
  EXPECT_TRUE(
    simulation.Host(0).mAgent->HasFreshConfiguration(simulation.Now()));
}

} // namespace dogwooddrum::tests
