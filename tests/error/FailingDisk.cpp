// Guards against a member that continues to vote or acknowledge after its disk
// has failed, and against treating a member with a slow disk as lost.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

namespace {

void
ExpectLeaderIsReplaced(const std::string& aState)
{
  Cluster cluster(1, 3);
  cluster.Run({ "at 3s remember leader",
                "disk leader " + aState,
                "submit 100 commands",
                "expect another leader within 2s",
                "expect applied 100 within 5s",
                "disk * normal",
                "kill *",
                "restart *",
                "expect leader within 5s",
                "expect applied all within 5s" });
  EXPECT_EQ(cluster.Report(), "");
}

} // namespace

TEST(FailingDisk, LeaderWithAFullDiskIsReplaced)
{
  ExpectLeaderIsReplaced("full");
}

TEST(FailingDisk, LeaderWithAReadOnlyDiskIsReplaced)
{
  ExpectLeaderIsReplaced("read-only");
}

TEST(FailingDisk, LeaderWithASlowDiskKeepsLeading)
{
  Cluster cluster(2, 3);
  cluster.Run({ "at 3s remember leader",
                "disk leader 3s",
                "submit 100 commands",
                "expect applied 100 within 1s",
                "at 30s expect remembered leader",
                "expect applied all within 1s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(FailingDisk, NothingIsAcknowledgedWithoutAQuorumOfDisks)
{
  Cluster cluster(3, 3);
  cluster.Run({ "expect leader within 3s",
                "disk control-1 full",
                "disk control-2 read-only",
                "submit 100 commands",
                "at 30s disk * normal" });
  EXPECT_EQ(cluster.Report(), "");
  cluster.Run({ "expect applied 1 within 1s" });
  EXPECT_EQ(cluster.Violations().size(), 1U) << "acknowledged by one disk";
}

} // namespace dogwooddrum::support
