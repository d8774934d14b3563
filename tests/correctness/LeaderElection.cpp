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

// After a power loss of all members, callers were refused for an election
// timeout more than necessary, although no member could have a leader.
TEST(LeaderElection, GroupThatRestartsElectsALeaderSoon)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, 3);
    cluster.Run({ "expect leader within 3s",
                  "submit 20 commands",
                  "expect applied all within 3s",
                  "kill *",
                  "restart *",
                  "expect leader within 450ms" });
    EXPECT_EQ(cluster.Report(), "") << "seed " << seed;
  }
}

// The early pre-votes of a member that restarts and can't hear the leader must
// not depose a leader that the other members hear.
TEST(LeaderElection, RestartedFollowerKeepsTheLeader)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, 3);
    cluster.Run({ "expect leader within 3s", "remember leader" });
    const auto& nodes = cluster.Nodes();
    const bool firstLeads = nodes[0].get() == cluster.Leader();
    const std::string follower = nodes[firstLeads ? 1 : 0]->Name();
    std::string cutLeader = "cut " + cluster.Leader()->Name();
    cutLeader += " to " + follower;
    cluster.Run({ "kill " + follower,
                  cutLeader,
                  "restart " + follower,
                  "at 6s heal",
                  "expect remembered leader within 1s",
                  "submit 50 commands",
                  "expect applied all within 3s",
                  "expect remembered leader within 1s" });
    EXPECT_EQ(cluster.Report(), "") << "seed " << seed;
  }
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
