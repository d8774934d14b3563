// Guards against groups that elect no leader, or more than one, when leaders
// fail or transfer leadership or the network loses messages.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(LeaderElection, GroupContinuesAfterTheLossOfTwoLeaders)
{
  Cluster cluster(1, 5);
  cluster.Run({ "expect leader within 3s",
                "submit 50 commands",
                "expect applied 50 within 3s",
                "remember leader",
                "kill leader",
                "expect another leader within 3s",
                "remember leader",
                "kill leader",
                "expect another leader within 3s",
                "submit 50 commands",
                "expect applied 100 within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(LeaderElection, LossyNetworkOnlyDelaysCommands)
{
  Cluster cluster(2, 3);
  cluster.Run({ "network 10 20 40ms",
                "expect leader within 10s",
                "submit 200 commands",
                "expect applied all within 20s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(LeaderElection, TransferIsFasterThanAnElectionTimeout)
{
  Cluster cluster(3, 3);
  cluster.Run({ "expect leader within 3s",
                "submit 20 commands",
                "expect applied all within 3s",
                "remember leader",
                "transfer",
                "expect another leader within 100ms",
                "submit 20 commands",
                "expect applied all within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

} // namespace dogwooddrum::support
