// Guards against lost jobs and changes, duplicate executions, false "not run"
// answers, wrong answers and partial gangs when nodes, agents, links and
// targets of the whole system fail.
#include "tests/support/WholeSystem.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(WholeSystemFaults, FixedSeedsShowNoViolation)
{
  constexpr std::uint64_t kSeeds = 100; // a few seconds
  SystemCounts total;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    WholeSystem system(seed);
    const SystemCounts counts = system.Run();
    ASSERT_EQ(system.Report(), "");
    total.mFinished += counts.mFinished;
    total.mChanges += counts.mChanges;
  }
  // Scenarios in which no job finishes or no change is accepted must not pass.
  EXPECT_GT(total.mFinished, 20 * kSeeds);
  EXPECT_GT(total.mChanges, 3 * kSeeds);
}

} // namespace dogwooddrum::support
