// Guards against members that never catch up after they missed hundreds of
// entries.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(CatchUp, MemberSlightlyBehindCatchesUpFromTheLog)
{
  Cluster cluster(1, 3);
  cluster.Run({ "expect leader within 3s",
                "kill control-3",
                "expect leader within 3s",
                "submit 8 commands",
                "expect applied 8 within 3s",
                "restart control-3",
                "expect applied all within 1s" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(CatchUp, MemberFarBehindCatchesUpFromASnapshotInChunks)
{
  Cluster cluster(2, 3);
  cluster.Run({ "expect leader within 3s",
                "kill control-3",
                "expect leader within 3s",
                "submit 800 commands",
                "expect applied 800 within 9s",
                "network 10 10 20ms",
                "restart control-3",
                "expect applied all within 20s",
                "expect history control-3 restores a snapshot" });
  EXPECT_EQ(cluster.Report(), "");
}

TEST(CatchUp, GroupRestartsFromItsDisks)
{
  Cluster cluster(3, 3);
  cluster.Run({ "expect leader within 3s",
                "submit 300 commands",
                "expect applied 300 within 9s",
                "kill *",
                "restart *",
                "expect leader within 3s",
                "expect applied all within 3s" });
  EXPECT_EQ(cluster.Report(), "");
}

} // namespace dogwooddrum::support
