// Guards against mechanisms of the placer that have no effect: each scenario
// also runs with the mechanism off and must then fail.
#include "tests/support/PlacementScenario.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::Adjacency;

const protocol::GangShape kOne{ 1, 1, Adjacency::None };
const protocol::GangShape kTwo{ 1, 2, Adjacency::None };
const protocol::GangShape kFour{ 1, 4, Adjacency::Worker };
const protocol::GangShape kEight{ 1, 8, Adjacency::Worker };
const protocol::GangShape kRackGang{ 3, 8, Adjacency::Rack };

pl::PlacerOptions
Without(bool pl::PlacerOptions::*aMechanism)
{
  pl::PlacerOptions options;
  options.*aMechanism = false;
  return options;
}

/** Returns how long an interactive job inside a guarantee waits on a cluster
 * full of borrowed work, 30,000 ms at most. */
std::int64_t
InteractiveStartDelayMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 3, 8, 3);
  scenario.AddGuarantee("yard", 1, 8, Adjacency::Worker);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  for (int k = 0; k < 24; ++k) {
    scenario.Submit("shop", "batch", kOne);
  }
  scenario.AdvanceTime(5000);
  const auto interactive = scenario.Submit("yard", "interactive", kEight);
  scenario.AdvanceTime(30000);
  return scenario.IsHeld(interactive) ? scenario.mStartedMs[interactive] - 5000
                                      : 30000;
}

TEST(PlacementMechanisms, InteractiveJobStartsWithinThePreemptionGrace)
{
  EXPECT_LE(InteractiveStartDelayMs({}), 1900);
  EXPECT_GT(InteractiveStartDelayMs(Without(&pl::PlacerOptions::mPreemption)),
            1900);
}

/** Returns how long a rack-wide gang waits while a stream of small jobs keeps
 * the cluster full, 120,000 ms at most. */
std::int64_t
GangStartDelayMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 6, 8, 3);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  std::vector<std::uint64_t> small;
  for (int k = 0; k < 60; ++k) {
    small.push_back(scenario.Submit("shop", "batch", kOne));
  }
  scenario.AdvanceTime(1000);
  const auto gang = scenario.Submit("yard", "batch", kRackGang);
  for (int k = 0; k < 120 && !scenario.IsHeld(gang); ++k) {
    scenario.Finish(small[static_cast<std::size_t>(k)]);
    small.push_back(scenario.Submit("shop", "batch", kOne));
    scenario.AdvanceTime(1000);
  }
  return scenario.IsHeld(gang) ? scenario.mStartedMs[gang] - 1000 : 120000;
}

TEST(PlacementMechanisms, LargeGangStartsWithinItsReservationAge)
{
  auto withoutReservations = Without(&pl::PlacerOptions::mReservations);
  withoutReservations.mCompaction = false;
  EXPECT_LE(GangStartDelayMs({}), 62000);
  EXPECT_GE(GangStartDelayMs(withoutReservations), 120000);
}

/** Returns whether a guarantee of a whole worker can be formed while four jobs
 * that cannot be reclaimed run on a cluster of two workers. */
bool
GuaranteeCanBeFormed(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 2, 8, 2);
  scenario.AddGuarantee("shop", 4, 2, Adjacency::Worker);
  scenario.AddGuarantee("yard", 1, 8, Adjacency::Worker);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  // Leaves two free accelerators on each worker, so that the jobs of account
  // shop spread over both workers.
  std::vector<std::uint64_t> filler;
  for (int k = 0; k < 2; ++k) {
    filler.push_back(
      scenario.Submit("rest", "batch", { 1, 6, Adjacency::Worker }));
  }
  scenario.AdvanceTime(100);
  for (int k = 0; k < 4; ++k) {
    scenario.Submit("shop", "must-finish", kTwo);
    scenario.AdvanceTime(100);
  }
  return static_cast<bool>(scenario.mPlacer.CheckReclaimable());
}

TEST(PlacementMechanisms, GuaranteedShapeStaysReclaimable)
{
  EXPECT_TRUE(GuaranteeCanBeFormed({}));
  EXPECT_FALSE(
    GuaranteeCanBeFormed(Without(&pl::PlacerOptions::mGuaranteeCells)));
}

/** Returns how many jobs of a second account run after an earlier account
 * queued more jobs than the cluster holds. */
std::size_t
CountHeldByLaterAccount(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 2, 8, 2);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  std::vector<std::uint64_t> early;
  for (int k = 0; k < 64; ++k) {
    early.push_back(scenario.Submit("early", "batch", kOne));
  }
  scenario.AdvanceTime(100);
  std::vector<std::uint64_t> late;
  for (int k = 0; k < 32; ++k) {
    late.push_back(scenario.Submit("late", "batch", kOne));
  }
  for (std::size_t k = 0; k < 12; ++k) {
    scenario.Finish(early[k]);
    scenario.AdvanceTime(100);
  }
  std::size_t held = 0;
  for (const auto job : late) {
    held += scenario.IsHeld(job) ? 1U : 0U;
  }
  return held;
}

TEST(PlacementMechanisms, BorrowedCapacityIsShared)
{
  EXPECT_GE(CountHeldByLaterAccount({}), 8U);
  EXPECT_EQ(CountHeldByLaterAccount(Without(&pl::PlacerOptions::mFairness)),
            0U);
}

/** Returns how many batch jobs run if interactive and batch jobs arrive in
 * equal numbers and either alone would fill the cluster. */
std::size_t
CountBatchHeldDuringInteractiveBurst(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 2, 8, 2);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  std::vector<std::uint64_t> batch;
  for (int k = 0; k < 40; ++k) {
    scenario.Submit("shop", "interactive", kOne);
    batch.push_back(scenario.Submit("shop", "batch", kOne));
  }
  scenario.AdvanceTime(100);
  std::size_t held = 0;
  for (const auto job : batch) {
    held += scenario.IsHeld(job) ? 1U : 0U;
  }
  return held;
}

TEST(PlacementMechanisms, InteractiveShareOfBorrowedCapacityIsBounded)
{
  EXPECT_EQ(CountBatchHeldDuringInteractiveBurst({}), 8U);
  EXPECT_EQ(CountBatchHeldDuringInteractiveBurst(
              Without(&pl::PlacerOptions::mFairness)),
            0U);
}

/** Returns how long a rack-wide gang waits, 30,000 ms at most, if each rack
 * holds one small job that fits elsewhere. */
std::int64_t
GangStartDelayWithCompactionMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario scenario(aOptions, 6, 8, 3);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  std::vector<std::uint64_t> jobs;
  for (int k = 0; k < 12; ++k) {
    jobs.push_back(scenario.Submit("shop", "batch", kFour));
  }
  scenario.AdvanceTime(100);
  std::map<std::string, int> kept; // one job on each rack is kept
  for (const auto job : jobs) {
    const bool first = scenario.WorkerOf(job) < "w3";
    if (kept[first ? "r0" : "r1"]++ > 0) {
      scenario.Finish(job);
    }
  }
  const auto gang = scenario.Submit("yard", "batch", kRackGang);
  scenario.AdvanceTime(30000);
  return scenario.IsHeld(gang) ? scenario.mStartedMs[gang] - 100 : 30000;
}

TEST(PlacementMechanisms, CompactionFreesARackForAWaitingGang)
{
  EXPECT_LE(GangStartDelayWithCompactionMs({}), 3000);
  EXPECT_GE(
    GangStartDelayWithCompactionMs(Without(&pl::PlacerOptions::mCompaction)),
    30000);
}

/** Returns the largest free block in a rack after a small job started while one
 * rack was partly used and the other free. */
std::uint32_t
LargestFreeRackBlock(const pl::PlacerOptions& aOptions)
{
  pl::PlacerOptions options = aOptions;
  options.mCompaction = false;
  PlacementScenario scenario(options, 6, 8, 3);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  const auto gang = scenario.Submit("yard", "batch", kRackGang);
  scenario.AdvanceTime(100);
  const auto six =
    scenario.Submit("shop", "batch", { 1, 6, Adjacency::Worker });
  scenario.AdvanceTime(100);
  scenario.Finish(gang);
  scenario.Submit("shop", "batch", kFour);
  scenario.AdvanceTime(100);
  EXPECT_TRUE(scenario.IsHeld(six));
  return scenario.mPlacer.Fragmentation().mLargestInRack;
}

TEST(PlacementMechanisms, FragmentationScoreKeepsARackFree)
{
  EXPECT_EQ(LargestFreeRackBlock({}), 24U);
  EXPECT_LT(
    LargestFreeRackBlock(Without(&pl::PlacerOptions::mFragmentationScore)),
    24U);
}

} // namespace
} // namespace dogwooddrum::tests
