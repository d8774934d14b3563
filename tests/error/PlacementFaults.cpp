// Guards against faults of jobs, workers and callers that spread: workers that
// fail everything, jobs that can never run or fail everywhere, lost workers,
// waves of cancellations and bursts.
#include "tests/support/PlacementScenario.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::Adjacency;

const protocol::GangShape kOne{ 1, 1, Adjacency::None };

/** Starts that a worker which fails everything takes in one minute. */
std::size_t
StartsOnBadWorker(bool aQuarantine)
{
  pl::PlacerOptions options;
  options.mQuarantine = aQuarantine;
  options.mQuarantineTime = base::Milliseconds(600000);
  PlacementScenario world(options, 6, 1, 3);
  EXPECT_EQ(world.ApplyConfiguration(), "");
  std::size_t starts = 0;
  std::vector<std::uint64_t> jobs;
  for (int k = 0; k < 60; ++k) {
    jobs.push_back(world.Submit("shop", "batch", kOne));
    world.AdvanceTime(1000);
    for (const auto job : jobs) {
      if (world.IsHeld(job) && world.WorkerOf(job) == "w0") {
        ++starts;
        world.FailTask(job);
      } else if (world.IsHeld(job)) {
        world.mPlacer.TaskSucceeded(base::JobId(job),
                                    base::WorkerId(world.WorkerOf(job)));
        world.Finish(job);
      }
    }
  }
  return starts;
}

TEST(PlacementFaults, WorkerThatFailsEverythingIsQuarantinedInThreeStarts)
{
  EXPECT_EQ(StartsOnBadWorker(true), 3U);
  EXPECT_GT(StartsOnBadWorker(false), 20U);
}

TEST(PlacementFaults, QuarantinedWorkerComesBackByAProbe)
{
  pl::PlacerOptions options;
  options.mQuarantineTime = base::Milliseconds(5000);
  PlacementScenario world(options, 6, 1, 3);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  for (int k = 0; k < 3; ++k) {
    const auto job = world.Submit("shop", "batch", kOne);
    world.AdvanceTime(100);
    ASSERT_EQ(world.WorkerOf(job), "w0");
    world.FailTask(job);
    world.Finish(job);
  }
  world.AdvanceTime(100);
  ASSERT_EQ(world.mQuarantined, std::vector<std::string>{ "w0" });
  EXPECT_EQ(world.mPlacer.FreeOn(base::WorkerId("w0")), 0U);
  world.AdvanceTime(6000);
  const auto probe = world.Submit("shop", "batch", kOne);
  world.AdvanceTime(100);
  ASSERT_EQ(world.WorkerOf(probe), "w0");
  world.mPlacer.TaskSucceeded(base::JobId(probe), base::WorkerId("w0"));
  world.Finish(probe);
  EXPECT_EQ(world.mPlacer.FreeOn(base::WorkerId("w0")), 1U);
}

TEST(PlacementFaults, JobThatFailsEverywhereDoesNotQuarantineTheFleet)
{
  PlacementScenario world({}, 6, 1, 3);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  for (int k = 0; k < 20; ++k) {
    const auto bad = world.Submit("shop", "batch", kOne);
    for (int start = 0; start < 5 && !world.IsRejected(bad); ++start) {
      world.AdvanceTime(100);
      if (world.IsHeld(bad)) {
        world.FailTask(bad);
      }
    }
    ASSERT_TRUE(world.IsRejected(bad));
    EXPECT_EQ(world.mRejects[bad].mReason, base::Reason::TargetFailed);
  }
  EXPECT_TRUE(world.mQuarantined.empty());
}

TEST(PlacementFaults, JobThatCanNeverRunIsToldAtOnceWithTheLargest)
{
  PlacementScenario world({}, 4, 8, 2);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  const auto rack = world.Submit("shop", "batch", { 3, 8, Adjacency::Rack });
  const auto wide = world.Submit("shop", "batch", { 1, 9, Adjacency::Worker });
  const auto huge = world.Submit(
    "shop", "batch", { 4000000000U, 4000000000U, Adjacency::None });
  const auto inside = world.Submit("shop", "must-finish", kOne);
  world.AdvanceTime(0);
  ASSERT_TRUE(world.IsRejected(rack) && world.IsRejected(wide) &&
              world.IsRejected(huge) && world.IsRejected(inside));
  EXPECT_EQ(world.mRejects[rack].mLargest.mTasks, 2U);
  EXPECT_EQ(world.mRejects[wide].mLargest.mAcceleratorsPerTask, 8U);
  EXPECT_NE(world.mRejects[inside].mMessage.find("guarantee"),
            std::string::npos);
}

TEST(PlacementFaults, GuaranteesThatDoNotFitAreRefusedWithTheSum)
{
  PlacementScenario world({}, 4, 8, 2);
  world.AddGuarantee("yard", 1, 16, Adjacency::Rack);
  world.AddGuarantee("shop", 3, 6, Adjacency::Worker);
  const std::string refusal = world.ApplyConfiguration();
  EXPECT_NE(refusal.find("yard 1 x 16 at rack + shop 3 x 6 at worker = 34"),
            std::string::npos)
    << refusal;
}

TEST(PlacementFaults, RackThatVanishesDuringAClaimLeavesNoHalfGang)
{
  PlacementScenario world({}, 6, 8, 3);
  world.AddGuarantee("yard", 1, 24, Adjacency::Rack);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  for (int k = 0; k < 48; ++k) {
    world.Submit("shop", "batch", kOne);
  }
  world.AdvanceTime(100);
  const auto gang = world.Submit("yard", "batch", { 3, 8, Adjacency::Rack });
  world.AdvanceTime(300);
  ASSERT_FALSE(world.mStopped.empty());
  ASSERT_FALSE(world.IsHeld(gang));
  const auto victim = world.WorkerOf(world.mStopped.front());
  const int first = victim < "w3" ? 0 : 3;
  for (int k = first; k < first + 3; ++k) {
    world.mPlacer.WorkerDown(base::WorkerId("w" + std::to_string(k)),
                             world.mNow);
  }
  world.AdvanceTime(3000);
  ASSERT_TRUE(world.IsHeld(gang));
  ASSERT_EQ(world.mHeld[gang].mTasks.size(), 3U);
  for (const auto& task : world.mHeld[gang].mTasks) {
    EXPECT_EQ(task.mWorker.Value() < "w3", first == 3);
  }
}

TEST(PlacementFaults, LateJobIsRejectedAndUrgentJobIsNotLate)
{
  PlacementScenario world({}, 1, 8, 1);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  world.Submit("shop", "batch", { 1, 8, Adjacency::Worker });
  world.AdvanceTime(700000);
  const auto label = world.Submit("yard", "batch", kOne, 60000);
  world.AdvanceTime(40000);
  EXPECT_TRUE(world.IsHeld(label));
  const auto late =
    world.Submit("yard", "must-finish", { 1, 0, Adjacency::None }, 10);
  world.AdvanceTime(100);
  EXPECT_TRUE(world.IsRejected(late));
}

TEST(PlacementFaults, WaveOfCancellationsAndBurstLeaveExactBooks)
{
  PlacementScenario world({}, 10, 8, 3);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  std::vector<std::uint64_t> jobs;
  for (std::uint32_t k = 0; k < 10000; ++k) {
    jobs.push_back(
      world.Submit("shop", "batch", { 1 + k % 3, 1 + k % 8, Adjacency::Rack }));
  }
  world.AdvanceTime(1000);
  for (const auto job : jobs) {
    world.Finish(job);
  }
  world.AdvanceTime(100);
  const auto report = world.mPlacer.Fragmentation();
  EXPECT_EQ(report.mFree, 80U);
  EXPECT_EQ(report.mLargestInRack, 24U);
  EXPECT_TRUE(world.mHeld.empty());
}

TEST(PlacementFaults, EqualGangsDoNotStopEachOtherInTurns)
{
  PlacementScenario world({}, 3, 8, 3);
  ASSERT_EQ(world.ApplyConfiguration(), "");
  world.Submit("shop", "batch", { 3, 8, Adjacency::Rack });
  world.Submit("yard", "batch", { 3, 8, Adjacency::Rack });
  world.AdvanceTime(500000);
  EXPECT_TRUE(world.mStopped.empty());
  EXPECT_EQ(world.mStarts, 1U);
}

} // namespace
} // namespace dogwooddrum::tests
