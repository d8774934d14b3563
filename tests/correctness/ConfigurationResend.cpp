// Guards against an agent that never gets the configuration, and so refuses
// all work, because one reply that carried the configuration was lost.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

TEST(ConfigurationResend, LostBodyIsSentAgainOnTheSameLink)
{
  World world;
  bool dropped = false;
  world.mToAgent = [&](const control::Outgoing& aOut) {
    const auto* reply = std::get_if<protocol::HeartbeatReply>(&aOut.mMessage);
    if (reply != nullptr && reply->mBody && !dropped &&
        aOut.mSession == world.Host(0).mSession) {
      dropped = true;
      return 0;
    }
    return 1;
  };
  world.Boot();
  EXPECT_TRUE(dropped);
  world.Run(base::Milliseconds(3000));
  EXPECT_EQ(world.Host(0).mAgent->Version(),
            world.Leader().Configuration().mVersion);
  EXPECT_TRUE(world.Host(0).mAgent->Fresh(world.Now()));
}

} // namespace dogwooddrum::tests
