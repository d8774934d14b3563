// Guards against checks that never fail: each injected fault must be reported,
// and the same script must pass without the fault.
#include "tests/support/WholeSystem.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

namespace {

/** Returns whether any seed has a violation whose text contains aText. */
bool
FindsViolation(std::vector<std::string> aLines,
               const std::string& aFault,
               const std::string& aText,
               std::size_t aNodes)
{
  constexpr std::uint64_t kSeeds = 50;
  if (!aFault.empty()) {
    aLines.insert(aLines.begin(), "plant " + aFault);
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster(seed, aNodes);
    cluster.Run(aLines);
    for (const auto& violation : cluster.Violations()) {
      if (violation.find(aText) != std::string::npos) {
        return true;
      }
    }
  }
  return false;
}

void
ExpectCaught(const std::vector<std::string>& aLines,
             const std::string& aFault,
             const std::string& aViolation,
             std::size_t aNodes = 3)
{
  EXPECT_FALSE(FindsViolation(aLines, "", "", aNodes)) << "without " << aFault;
  EXPECT_TRUE(FindsViolation(aLines, aFault, aViolation, aNodes)) << aFault;
}

} // namespace

TEST(PlantedFaults, SkippedSyncIsCaught)
{
  ExpectCaught({ "expect leader within 3s",
                 "submit 30 commands",
                 "expect applied 30 within 3s",
                 "kill *",
                 "restart *",
                 "expect leader within 5s" },
               "skip-sync",
               "acknowledged command lost");
}

TEST(PlantedFaults, AcceptedOldTermIsCaught)
{
  // Late copies of granted votes arrive at candidates of later terms.
  std::vector<std::string> lines{ "network 0 60 200ms" };
  for (int second = 3; second < 60; second += 2) {
    lines.push_back("at " + std::to_string(second) + "s freeze leader");
    lines.push_back("at " + std::to_string(second + 1) + ".5s thaw *");
  }
  lines.emplace_back("network 0 0 1ms");
  lines.emplace_back("expect leader within 5s");
  ExpectCaught(lines, "old-term", "two leaders in term", 5);
}

TEST(PlantedFaults, CountedLearnerVoteIsCaught)
{
  ExpectCaught({ "expect leader within 3s",
                 "lose-disk control-1 as-learner",
                 "expect control-1 learner within 5s",
                 "kill *",
                 "cut control-2 from control-3",
                 "restart *",
                 "at 30s heal",
                 "expect leader within 5s" },
               "learner-vote",
               "two leaders in term");
}

TEST(PlantedFaults, StaleReadIsCaught)
{
  ExpectCaught({ "at 3s remember leader",
                 "cut leader from *",
                 "expect another leader within 3s",
                 "submit 50 commands",
                 "expect applied 50 within 3s",
                 "heal",
                 "at 10s remember leader",
                 "freeze leader",
                 "expect another leader within 3s",
                 "submit 50 commands",
                 "expect applied 50 within 3s",
                 "thaw *",
                 "expect applied all within 5s" },
               "stale-read",
               "stale read");
}

TEST(PlantedFaults, ReusedIndexIsCaught)
{
  ExpectCaught({ "expect leader within 3s",
                 "submit 30 commands",
                 "expect applied 30 within 3s",
                 "kill *",
                 "restart *",
                 "expect leader within 5s",
                 "submit 30 commands",
                 "expect applied all within 5s" },
               "reuse-index",
               "applies another entry");
}

TEST(PlantedFaults, LostEntriesAreCaughtInTheWholeSystem)
{
  SystemCounts total;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    WholeSystem system(seed);
    system.InjectFault("reuse-index");
    const SystemCounts counts = system.Run();
    total.mDoubled += counts.mDoubled;
    total.mFalseNotRun += counts.mFalseNotRun;
    total.mViolations += counts.mViolations;
  }
  EXPECT_GT(total.mDoubled, 0U);
  EXPECT_GT(total.mFalseNotRun, 0U);
  EXPECT_GT(total.mViolations, total.mDoubled + total.mFalseNotRun);
}

} // namespace dogwooddrum::support
