// Guards against each mechanism of the placer doing nothing: every scenario
// also runs with the mechanism off and must then show the fault.
#include "tests/support/PlacementScenario.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::Adjacency;

const protocol::GangShape kOne{ 1, 1, Adjacency::None };
const protocol::GangShape kTwo{ 1, 2, Adjacency::None };
const protocol::GangShape kFour{ 1, 4, Adjacency::Worker };
const protocol::GangShape kEight{ 1, 8, Adjacency::Worker };
const protocol::GangShape kRack{ 3, 8, Adjacency::Rack };

pl::PlacerOptions
Without(bool pl::PlacerOptions::*aMechanism)
{
  pl::PlacerOptions options;
  options.*aMechanism = false;
  return options;
}

/** Urgent work inside a guarantee against a cluster full of borrowed work. */
std::int64_t
UrgentStartMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 3, 8, 3);
  world.AddGuarantee("yard", 1, 8, Adjacency::Worker);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  for (int k = 0; k < 24; ++k) {
    world.Submit("shop", "batch", kOne);
  }
  world.AdvanceTime(5000);
  const auto urgent = world.Submit("yard", "interactive", kEight);
  world.AdvanceTime(30000);
  return world.IsHeld(urgent) ? world.mStartedMs[urgent] - 5000 : 30000;
}

TEST(PlacementMechanisms, UrgentWorkStartsWithinTheGrace)
{
  EXPECT_LE(UrgentStartMs({}), 1900);
  EXPECT_GT(UrgentStartMs(Without(&pl::PlacerOptions::mPreemption)), 1900);
}

/** A rack-wide gang against a stream of small jobs that never lets up. */
std::int64_t
GangStartMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 6, 8, 3);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  std::vector<std::uint64_t> small;
  for (int k = 0; k < 60; ++k) {
    small.push_back(world.Submit("shop", "batch", kOne));
  }
  world.AdvanceTime(1000);
  const auto gang = world.Submit("yard", "batch", kRack);
  for (int k = 0; k < 120 && !world.IsHeld(gang); ++k) {
    world.Finish(small[static_cast<std::size_t>(k)]);
    small.push_back(world.Submit("shop", "batch", kOne));
    world.AdvanceTime(1000);
  }
  return world.IsHeld(gang) ? world.mStartedMs[gang] - 1000 : 120000;
}

TEST(PlacementMechanisms, LargeGangStartsWithinItsReservationAge)
{
  auto compacting = Without(&pl::PlacerOptions::mReservations);
  compacting.mCompaction = false;
  EXPECT_LE(GangStartMs({}), 62000);
  EXPECT_GE(GangStartMs(compacting), 120000);
}

/** Work that cannot be reclaimed on six accelerators of each of two workers.
 */
bool
GuaranteeCanBeFormed(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 2, 8, 2);
  world.AddGuarantee("shop", 4, 2, Adjacency::Worker);
  world.AddGuarantee("yard", 1, 8, Adjacency::Worker);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  // Two free accelerators on each worker, so that work spreads over both.
  std::vector<std::uint64_t> filler;
  for (int k = 0; k < 2; ++k) {
    filler.push_back(
      world.Submit("rest", "batch", { 1, 6, Adjacency::Worker }));
  }
  world.AdvanceTime(100);
  for (int k = 0; k < 4; ++k) {
    world.Submit("shop", "must-finish", kTwo);
    world.AdvanceTime(100);
  }
  return static_cast<bool>(world.mPlacer.CheckReclaimable());
}

TEST(PlacementMechanisms, GuaranteedShapeIsNotMerelyACount)
{
  EXPECT_TRUE(GuaranteeCanBeFormed({}));
  EXPECT_FALSE(
    GuaranteeCanBeFormed(Without(&pl::PlacerOptions::mGuaranteeCells)));
}

/** Two accounts that both want the whole cluster, one of them earlier. */
std::size_t
HeldByLatecomer(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 2, 8, 2);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  std::vector<std::uint64_t> early;
  for (int k = 0; k < 64; ++k) {
    early.push_back(world.Submit("early", "batch", kOne));
  }
  world.AdvanceTime(100);
  std::vector<std::uint64_t> late;
  for (int k = 0; k < 32; ++k) {
    late.push_back(world.Submit("late", "batch", kOne));
  }
  for (std::size_t k = 0; k < 12; ++k) {
    world.Finish(early[k]);
    world.AdvanceTime(100);
  }
  std::size_t held = 0;
  for (const auto job : late) {
    held += world.IsHeld(job) ? 1U : 0U;
  }
  return held;
}

TEST(PlacementMechanisms, BorrowedCapacityIsShared)
{
  EXPECT_GE(HeldByLatecomer({}), 8U);
  EXPECT_EQ(HeldByLatecomer(Without(&pl::PlacerOptions::mFairness)), 0U);
}

/** Interactive work floods a cluster on which batch work waits. */
std::size_t
BatchHeldInFlood(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 2, 8, 2);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  std::vector<std::uint64_t> batch;
  for (int k = 0; k < 40; ++k) {
    world.Submit("shop", "interactive", kOne);
    batch.push_back(world.Submit("shop", "batch", kOne));
  }
  world.AdvanceTime(100);
  std::size_t held = 0;
  for (const auto job : batch) {
    held += world.IsHeld(job) ? 1U : 0U;
  }
  return held;
}

TEST(PlacementMechanisms, InteractiveShareOfBorrowedCapacityIsBounded)
{
  EXPECT_EQ(BatchHeldInFlood({}), 8U);
  EXPECT_EQ(BatchHeldInFlood(Without(&pl::PlacerOptions::mFairness)), 0U);
}

/** A gang whose rack is held by one small job, with room elsewhere. */
std::int64_t
CompactedStartMs(const pl::PlacerOptions& aOptions)
{
  PlacementScenario world(aOptions, 6, 8, 3);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  std::vector<std::uint64_t> jobs;
  for (int k = 0; k < 12; ++k) {
    jobs.push_back(world.Submit("shop", "batch", kFour));
  }
  world.AdvanceTime(100);
  std::map<std::string, int> kept; // one job on each rack stays
  for (const auto job : jobs) {
    const bool first = world.WorkerOf(job) < "w3";
    if (kept[first ? "r0" : "r1"]++ > 0) {
      world.Finish(job);
    }
  }
  const auto gang = world.Submit("yard", "batch", kRack);
  world.AdvanceTime(30000);
  return world.IsHeld(gang) ? world.mStartedMs[gang] - 100 : 30000;
}

TEST(PlacementMechanisms, CompactionFormsARackForAWaitingGang)
{
  EXPECT_LE(CompactedStartMs({}), 3000);
  EXPECT_GE(CompactedStartMs(Without(&pl::PlacerOptions::mCompaction)), 30000);
}

/** Singles against racks that are best kept whole. */
std::uint32_t
LargestRackLeft(const pl::PlacerOptions& aOptions)
{
  pl::PlacerOptions options = aOptions;
  options.mCompaction = false;
  PlacementScenario world(options, 6, 8, 3);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  const auto gang = world.Submit("yard", "batch", kRack);
  world.AdvanceTime(100);
  const auto six = world.Submit("shop", "batch", { 1, 6, Adjacency::Worker });
  world.AdvanceTime(100);
  world.Finish(gang);
  world.Submit("shop", "batch", kFour);
  world.AdvanceTime(100);
  EXPECT_TRUE(world.IsHeld(six));
  return world.mPlacer.Fragmentation().mLargestInRack;
}

TEST(PlacementMechanisms, ScoreKeepsARackWhole)
{
  EXPECT_EQ(LargestRackLeft({}), 24U);
  EXPECT_LT(LargestRackLeft(Without(&pl::PlacerOptions::mFragmentationScore)),
            24U);
}

} // namespace
} // namespace dogwooddrum::tests
