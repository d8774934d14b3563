// Guards the choice between waiting for a rack with better locality and
// starting elsewhere now.
#include "dogwooddrum/coordination/workloads/Placement.h"

#include <gtest/gtest.h>

#include <limits>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

constexpr double kNoLimit = std::numeric_limits<double>::infinity();
constexpr std::int64_t kEstimateMs = 8000;
const PlacementOptions kOptions;

/** Two racks of two workers with 8 accelerators each. */
std::vector<WorkerView>
TwoRacks()
{
  std::vector<WorkerView> workers(4);
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mTargetIncarnation = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId(i < 2 ? "r1" : "r2");
    workers[i].mCapacity = { 64000, 64000, 8 };
    workers[i].mFree = workers[i].mCapacity;
  }
  return workers;
}

void
Fill(WorkerView& aWorker, double aLoss)
{
  Victim victim;
  victim.mRun.mTask.mWorkload =
    protocol::WorkloadId("on " + aWorker.mTargetIncarnation.mInstance);
  victim.mGang = { victim.mRun };
  victim.mPriority = 2;
  victim.mResources = aWorker.mCapacity;
  victim.mLoss = aLoss;
  victim.mCost = aLoss;
  aWorker.mFree = {};
  aWorker.mVictims.push_back(victim);
}

struct Gang
{
  protocol::WorkloadStep mStep;
  PlacementUnit mUnit;
  explicit Gang(std::uint32_t aCount, std::int64_t aWaitedMs)
  {
    mStep.mCount = aCount;
    mStep.mGang = true;
    mStep.mSameRack = true;
    mStep.mTaskResources = { 1000, 1000, 8 };
    mStep.mEstimateMs = kEstimateMs;
    mUnit.mStep = &mStep;
    mUnit.mPool = protocol::PoolName("pool");
    mUnit.mWaitedMs = aWaitedMs;
    mUnit.mStepTasks.assign(4, 0);
    for (std::uint32_t i = 0; i < aCount; ++i) {
      mUnit.mTasks.push_back({ protocol::WorkloadId("gang"), 0, 0, i });
    }
  }
  Gang(const Gang&) = delete;
  Gang& operator=(const Gang&) = delete;
  ~Gang() = default;
};

// The cheapest stops were spread over both racks, so that the gang waited for
// one rack in vain and then ran at a third of its speed.
TEST(WorkloadLocality, UrgentGangPreemptsOnASingleRack)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[1], 50);
  Fill(workers[2], 1);
  Fill(workers[3], 60);
  const Gang gang(2, 0);
  const auto plan = PlanPreemption(gang.mUnit, 0, kNoLimit, workers, kOptions);
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->mWorkers, (Assignment{ 0, 1 }));
  EXPECT_EQ(plan->mStops.size(), 2U);
}

TEST(WorkloadLocality, GangWaitsForOneRackWhileARemoteRunCostsMore)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[2], 1);
  const std::int64_t extraMs = (kOptions.mRemotePenalty - 1) * kEstimateMs;
  EXPECT_FALSE(
    PlaceInFreeResources(Gang(2, extraMs - 1).mUnit, workers, kOptions));
  EXPECT_TRUE(PlaceInFreeResources(Gang(2, extraMs).mUnit, workers, kOptions));
}

TEST(WorkloadLocality, GuaranteedGangStopsWaitingForOneRackInTime)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[2], 1);
  Gang gang(2, kOptions.mGuaranteedLocalityWaitMs);
  gang.mUnit.mGuaranteed = true;
  EXPECT_TRUE(PlaceInFreeResources(gang.mUnit, workers, kOptions));
}

TEST(WorkloadLocality, GangTooLargeForARackStartsAtOnce)
{
  auto workers = TwoRacks();
  EXPECT_TRUE(PlaceInFreeResources(Gang(3, 0).mUnit, workers, kOptions));
}

// The platform counts a job as starved if it has waited 3 s while half of its
// pool was idle.
TEST(WorkloadLocality, GangInAnIdlePoolSpreadsOverRacksSoon)
{
  auto workers = TwoRacks();
  for (int i = 0; i < 2; ++i) {
    auto more = TwoRacks();
    workers.insert(workers.end(), more.begin(), more.end());
  }
  // One of the three workers of each rack is in use.
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mRack = base::RackId("r" + std::to_string(i / 3));
    if (i % 3 == 0) {
      Fill(workers[i], 1);
    }
  }
  Gang gang(3, kOptions.mIdleLocalityWaitMs - 1);
  gang.mUnit.mStepTasks.assign(workers.size(), 0);
  EXPECT_FALSE(PlaceInFreeResources(gang.mUnit, workers, kOptions));
  gang.mUnit.mWaitedMs = kOptions.mIdleLocalityWaitMs;
  EXPECT_TRUE(PlaceInFreeResources(gang.mUnit, workers, kOptions));
}

TEST(WorkloadLocality, TaskWaitsForTheRackOfItsData)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[1], 1);
  Gang task(1, 0);
  task.mStep.mGang = false;
  task.mStep.mSameRack = false;
  task.mStep.mDataRack = base::RackId("r1");
  EXPECT_FALSE(PlaceInFreeResources(task.mUnit, workers, kOptions));
  task.mUnit.mWaitedMs = (kOptions.mRemotePenalty - 1) * kEstimateMs;
  EXPECT_TRUE(PlaceInFreeResources(task.mUnit, workers, kOptions));
}

} // namespace
} // namespace dogwooddrum::tests
