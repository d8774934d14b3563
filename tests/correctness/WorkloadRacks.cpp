// Guards the choice between a near place later and a remote one now. Each test
// is named after the pattern of load that it answers.
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
    workers[i].mLife = { "i-" + std::to_string(i), 1 };
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
    protocol::WorkloadId("on " + aWorker.mLife.mInstance);
  victim.mGang = { victim.mRun };
  victim.mPriority = 2;
  victim.mRoom = aWorker.mCapacity;
  victim.mLoss = aLoss;
  victim.mCost = aLoss;
  aWorker.mFree = {};
  aWorker.mVictims.push_back(victim);
}

struct Gang
{
  protocol::WorkloadStep mStep;
  Unit mUnit;
  explicit Gang(std::uint32_t aCount, std::int64_t aWaitedMs)
  {
    mStep.mCount = aCount;
    mStep.mGang = true;
    mStep.mSameRack = true;
    mStep.mEach = { 1000, 1000, 8 };
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

// The cheapest stops were spread over both racks; the gang waited for one rack
// in vain and then ran at a third of its speed.
TEST(WorkloadRacks, UrgentGangInAFullPoolMakesRoomOnOneRack)
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

TEST(WorkloadRacks, GangWaitsForItsRackWhileARemoteRunWouldCostMore)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[2], 1);
  const std::int64_t extraMs = (kOptions.mRemotePenalty - 1) * kEstimateMs;
  EXPECT_FALSE(PlaceInFreeRoom(Gang(2, extraMs - 1).mUnit, workers, kOptions));
  EXPECT_TRUE(PlaceInFreeRoom(Gang(2, extraMs).mUnit, workers, kOptions));
}

TEST(WorkloadRacks, GuaranteedGangTakesARemotePlaceInTime)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[2], 1);
  Gang gang(2, kOptions.mGuaranteedPatienceMs);
  gang.mUnit.mGuaranteed = true;
  EXPECT_TRUE(PlaceInFreeRoom(gang.mUnit, workers, kOptions));
}

TEST(WorkloadRacks, GangThatNoRackHoldsStartsAtOnce)
{
  auto workers = TwoRacks();
  EXPECT_TRUE(PlaceInFreeRoom(Gang(3, 0).mUnit, workers, kOptions));
}

// The platform counts a job as forgotten that has waited 3 s beside an idle
// half of its pool.
TEST(WorkloadRacks, GangInAnIdlePoolTakesARemotePlaceSoon)
{
  auto workers = TwoRacks();
  for (int i = 0; i < 2; ++i) {
    auto more = TwoRacks();
    workers.insert(workers.end(), more.begin(), more.end());
  }
  // One worker of each rack of three is taken.
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mRack = base::RackId("r" + std::to_string(i / 3));
    if (i % 3 == 0) {
      Fill(workers[i], 1);
    }
  }
  Gang gang(3, kOptions.mIdlePatienceMs - 1);
  gang.mUnit.mStepTasks.assign(workers.size(), 0);
  EXPECT_FALSE(PlaceInFreeRoom(gang.mUnit, workers, kOptions));
  gang.mUnit.mWaitedMs = kOptions.mIdlePatienceMs;
  EXPECT_TRUE(PlaceInFreeRoom(gang.mUnit, workers, kOptions));
}

TEST(WorkloadRacks, TaskWaitsForTheRackOfItsData)
{
  auto workers = TwoRacks();
  Fill(workers[0], 1);
  Fill(workers[1], 1);
  Gang task(1, 0);
  task.mStep.mGang = false;
  task.mStep.mSameRack = false;
  task.mStep.mDataRack = base::RackId("r1");
  EXPECT_FALSE(PlaceInFreeRoom(task.mUnit, workers, kOptions));
  task.mUnit.mWaitedMs = (kOptions.mRemotePenalty - 1) * kEstimateMs;
  EXPECT_TRUE(PlaceInFreeRoom(task.mUnit, workers, kOptions));
}

} // namespace
} // namespace dogwooddrum::tests
