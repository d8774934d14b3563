// Guards against removed members that disrupt the group, members that vote
// with their old id after losing their disk, and repairs that lose commands.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(MembershipChange, RestartedRemovedMemberIsIgnored)
{
  Cluster cluster(1, 4);
  cluster.Run({ "expect leader within 3s",
                "kill control-1",
                "expect leader within 3s",
                "remove control-1",
                "expect control-1 removed within 5s",
                "remember leader",
                "restart control-1",
                "submit 100 commands",
                "expect applied 100 within 3s",
                "at 60s expect remembered leader" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(MembershipChange, LeaderCanRemoveItself)
{
  Cluster cluster(2, 3);
  cluster.Run({ "at 3s remember leader",
                "remove leader",
                "expect another leader within 3s",
                "submit 50 commands",
                "expect applied 50 within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(MembershipChange, MemberWithLostDiskVotesOnlyOnceCaughtUp)
{
  Cluster cluster(3, 3);
  cluster.Run({ "expect leader within 3s",
                "submit 300 commands",
                "expect applied 300 within 5s",
                "cut * to control-2", // its log cannot catch up yet
                "lose-disk control-2",
                "expect control-2 learner within 5s",
                "at 20s expect control-2 learner",
                "heal",
                "expect control-2 voter within 5s",
                "expect applied all within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

// With a log below one batch, an empty learner could pass as caught up.
TEST(MembershipChange, LearnerThatNeverAnsweredIsNotPromotedInASmallLog)
{
  Cluster cluster(4, 3);
  cluster.Run({ "expect leader within 3s",
                "submit 3 commands",
                "expect applied 3 within 5s",
                "cut * to control-2",
                "lose-disk control-2",
                "expect control-2 learner within 5s",
                "at 20s expect control-2 learner",
                "heal",
                "expect control-2 voter within 5s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(MembershipChange, SecondVmLostRightAfterARepairLosesNothing)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, 3);
    cluster.Run({ "expect leader within 3s",
                  "submit 300 commands",
                  "expect applied 200 within 5s",
                  "lose-disk leader",
                  "expect leader within 5s",
                  "submit 100 commands",
                  "expect control-1 voter within 9s",
                  "expect control-2 voter within 9s",
                  "expect control-3 voter within 9s",
                  "lose-disk leader",
                  "expect leader within 5s",
                  "expect applied 400 within 9s",
                  "expect applied all within 5s" });
    EXPECT_EQ(cluster.Report(), "");
  }
}

} // namespace dogwooddrum::support
