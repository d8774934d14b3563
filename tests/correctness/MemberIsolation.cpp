// Guards against a member that was isolated or frozen for a long time and then
// stalls the group, deposes its leader or serves stale state.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(MemberIsolation, IsolatedLeaderIsReplacedAndTheGroupContinues)
{
  Cluster cluster(1, 3);
  cluster.Run({ "at 3s remember leader",
                "cut leader from *",
                "expect another leader within 3s",
                "submit 100 commands",
                "expect applied 100 within 3s",
                "remember leader",
                "at 300s heal",
                "at 303s expect remembered leader",
                "expect applied all within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(MemberIsolation, IsolatedFollowerDoesNotDeposeTheLeader)
{
  for (const char* cut :
       { "cut control-1 from *", "cut control-1 to *", "cut * to control-1" }) {
    Cluster cluster(2, 3);
    cluster.Run({ "expect leader within 3s",
                  "at 2s transfer",
                  "at 3s transfer",
                  "at 4s expect control-1 not-leader within 5s",
                  "remember leader",
                  cut,
                  "submit 100 commands",
                  "expect applied 100 within 3s",
                  "at 200s expect remembered leader",
                  "heal",
                  "at 203s expect remembered leader",
                  "expect applied all within 3s" });
    EXPECT_EQ(cluster.Report(), "") << cut;
  }
}

TEST(MemberIsolation, ThawedLeaderNeitherServesStaleStateNorDeposes)
{
  Cluster cluster(3, 5);
  cluster.Run({ "at 3s remember leader",
                "submit 20 commands",
                "expect applied all within 3s",
                "freeze leader",
                "expect another leader within 3s",
                "submit 100 commands",
                "expect applied 120 within 3s",
                "remember leader",
                "at 30s thaw *",
                "at 33s expect remembered leader",
                "expect applied all within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

} // namespace dogwooddrum::support
