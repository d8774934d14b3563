// Guards against faults that spread beyond their cause: workers that fail every
// job, jobs that can never run or fail everywhere, workers lost during a claim,
// bursts and mass cancellation.
#include "tests/support/PlacementScenario.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::Adjacency;

const protocol::GangShape kOne{ 1, 1, Adjacency::None };

/** Returns how many jobs start in one minute on a worker that fails every job.
 */
std::size_t
CountStartsOnFailingWorker(bool aQuarantine)
{
  pl::PlacerOptions options;
  options.mQuarantine = aQuarantine;
  options.mQuarantineTime = base::Milliseconds(600000);
  PlacementScenario scenario(options, 6, 1, 3);
  EXPECT_EQ(scenario.ApplyConfiguration(), "");
  std::size_t starts = 0;
  std::vector<std::uint64_t> jobs;
  for (int k = 0; k < 60; ++k) {
    jobs.push_back(scenario.Submit("shop", "batch", kOne));
    scenario.AdvanceTime(1000);
    for (const auto job : jobs) {
      if (scenario.IsHeld(job) && scenario.WorkerOf(job) == "w0") {
        ++starts;
        scenario.FailTask(job);
      } else if (scenario.IsHeld(job)) {
        scenario.mPlacer.RecordTaskSuccess(
          base::JobId(job), base::WorkerId(scenario.WorkerOf(job)));
        scenario.Finish(job);
      }
    }
  }
  return starts;
}

TEST(PlacementFaults, WorkerThatFailsEverythingIsQuarantinedInThreeStarts)
{
  EXPECT_EQ(CountStartsOnFailingWorker(true), 3U);
  EXPECT_GT(CountStartsOnFailingWorker(false), 20U);
}

TEST(PlacementFaults, QuarantinedWorkerIsReadmittedAfterAProbe)
{
  pl::PlacerOptions options;
  options.mQuarantineTime = base::Milliseconds(5000);
  PlacementScenario scenario(options, 6, 1, 3);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  for (int k = 0; k < 3; ++k) {
    const auto job = scenario.Submit("shop", "batch", kOne);
    scenario.AdvanceTime(100);
    ASSERT_EQ(scenario.WorkerOf(job), "w0");
    scenario.FailTask(job);
    scenario.Finish(job);
  }
  scenario.AdvanceTime(100);
  ASSERT_EQ(scenario.mQuarantined, std::vector<std::string>{ "w0" });
  EXPECT_EQ(scenario.mPlacer.FreeOn(base::WorkerId("w0")), 0U);
  scenario.AdvanceTime(6000);
  const auto probe = scenario.Submit("shop", "batch", kOne);
  scenario.AdvanceTime(100);
  ASSERT_EQ(scenario.WorkerOf(probe), "w0");
  scenario.mPlacer.RecordTaskSuccess(base::JobId(probe), base::WorkerId("w0"));
  scenario.Finish(probe);
  EXPECT_EQ(scenario.mPlacer.FreeOn(base::WorkerId("w0")), 1U);
}

TEST(PlacementFaults, JobThatFailsEverywhereDoesNotQuarantineTheFleet)
{
  PlacementScenario scenario({}, 6, 1, 3);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  for (int k = 0; k < 20; ++k) {
    const auto failing = scenario.Submit("shop", "batch", kOne);
    for (int start = 0; start < 5 && !scenario.IsRejected(failing); ++start) {
      scenario.AdvanceTime(100);
      if (scenario.IsHeld(failing)) {
        scenario.FailTask(failing);
      }
    }
    ASSERT_TRUE(scenario.IsRejected(failing));
    EXPECT_EQ(scenario.mRejects[failing].mReason, base::Reason::TargetFailed);
  }
  EXPECT_TRUE(scenario.mQuarantined.empty());
}

TEST(PlacementFaults, JobThatCanNeverRunIsRejectedAtOnceWithTheLargestShape)
{
  PlacementScenario scenario({}, 4, 8, 2);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  const auto rackGang =
    scenario.Submit("shop", "batch", { 3, 8, Adjacency::Rack });
  const auto wideTask =
    scenario.Submit("shop", "batch", { 1, 9, Adjacency::Worker });
  const auto huge = scenario.Submit(
    "shop", "batch", { 4000000000U, 4000000000U, Adjacency::None });
  const auto unguaranteed = scenario.Submit("shop", "must-finish", kOne);
  scenario.AdvanceTime(0);
  ASSERT_TRUE(scenario.IsRejected(rackGang) && scenario.IsRejected(wideTask) &&
              scenario.IsRejected(huge) && scenario.IsRejected(unguaranteed));
  EXPECT_EQ(scenario.mRejects[rackGang].mLargest.mTasks, 2U);
  EXPECT_EQ(scenario.mRejects[wideTask].mLargest.mAcceleratorsPerTask, 8U);
  EXPECT_NE(scenario.mRejects[unguaranteed].mMessage.find("guarantee"),
            std::string::npos);
}

TEST(PlacementFaults, GuaranteesThatDoNotFitAreRefusedWithTheSum)
{
  PlacementScenario scenario({}, 4, 8, 2);
  scenario.AddGuarantee("yard", 1, 16, Adjacency::Rack);
  scenario.AddGuarantee("shop", 3, 6, Adjacency::Worker);
  const std::string refusal = scenario.ApplyConfiguration();
  EXPECT_NE(refusal.find("yard 1 x 16 at rack + shop 3 x 6 at worker = 34"),
            std::string::npos)
    << refusal;
}

TEST(PlacementFaults, RackLostDuringAClaimLeavesNoPartialGang)
{
  PlacementScenario scenario({}, 6, 8, 3);
  scenario.AddGuarantee("yard", 1, 24, Adjacency::Rack);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  for (int k = 0; k < 48; ++k) {
    scenario.Submit("shop", "batch", kOne);
  }
  scenario.AdvanceTime(100);
  const auto gang = scenario.Submit("yard", "batch", { 3, 8, Adjacency::Rack });
  scenario.AdvanceTime(300);
  ASSERT_FALSE(scenario.mStopped.empty());
  ASSERT_FALSE(scenario.IsHeld(gang));
  const auto victim = scenario.WorkerOf(scenario.mStopped.front());
  const int first = victim < "w3" ? 0 : 3;
  for (int k = first; k < first + 3; ++k) {
    scenario.mPlacer.MarkWorkerDown(base::WorkerId("w" + std::to_string(k)),
                                    scenario.mNow);
  }
  scenario.AdvanceTime(3000);
  ASSERT_TRUE(scenario.IsHeld(gang));
  ASSERT_EQ(scenario.mHeld[gang].mTasks.size(), 3U);
  for (const auto& task : scenario.mHeld[gang].mTasks) {
    EXPECT_EQ(task.mWorker.Value() < "w3", first == 3);
  }
}

TEST(PlacementFaults, LateJobIsRejectedAndJobNearItsDeadlineStarts)
{
  PlacementScenario scenario({}, 1, 8, 1);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  scenario.Submit("shop", "batch", { 1, 8, Adjacency::Worker });
  scenario.AdvanceTime(700000);
  const auto nearDeadline = scenario.Submit("yard", "batch", kOne, 60000);
  scenario.AdvanceTime(40000);
  EXPECT_TRUE(scenario.IsHeld(nearDeadline));
  const auto late =
    scenario.Submit("yard", "must-finish", { 1, 0, Adjacency::None }, 10);
  scenario.AdvanceTime(100);
  EXPECT_TRUE(scenario.IsRejected(late));
}

TEST(PlacementFaults, BurstAndMassCancellationLeaveExactCounts)
{
  PlacementScenario scenario({}, 10, 8, 3);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  std::vector<std::uint64_t> jobs;
  for (std::uint32_t k = 0; k < 10000; ++k) {
    jobs.push_back(scenario.Submit(
      "shop", "batch", { 1 + k % 3, 1 + k % 8, Adjacency::Rack }));
  }
  scenario.AdvanceTime(1000);
  for (const auto job : jobs) {
    scenario.Finish(job);
  }
  scenario.AdvanceTime(100);
  const auto report = scenario.mPlacer.Fragmentation();
  EXPECT_EQ(report.mFree, 80U);
  EXPECT_EQ(report.mLargestInRack, 24U);
  EXPECT_TRUE(scenario.mHeld.empty());
}

TEST(PlacementFaults, EqualGangsDoNotPreemptEachOther)
{
  PlacementScenario scenario({}, 3, 8, 3);
  ASSERT_EQ(scenario.ApplyConfiguration(), "");
  scenario.Submit("shop", "batch", { 3, 8, Adjacency::Rack });
  scenario.Submit("yard", "batch", { 3, 8, Adjacency::Rack });
  scenario.AdvanceTime(500000);
  EXPECT_TRUE(scenario.mStopped.empty());
  EXPECT_EQ(scenario.mStarts, 1U);
}

} // namespace
} // namespace dogwooddrum::tests
