// Guards against lost or reordered commands, two leaders in a term and stale
// reads under random combinations of faults.
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(ConsensusRandomFaults, AcknowledgedCommandsAreNeverLost)
{
  constexpr std::uint64_t kSeeds = 60; // a few seconds
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::size_t nodes = 3 + seed % 3;
    Cluster cluster(seed, nodes);
    cluster.Run(RandomScript(seed, nodes));
    cluster.Run({ "expect applied all within 15s" });
    ASSERT_EQ(cluster.Report(), "");
  }
}

} // namespace dogwooddrum::support
