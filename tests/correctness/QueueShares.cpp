// Guards the two parts that bound the wait of a queue: the shares of a pool, of
// which a wrong one starves a queue, and the plan of a reservation, of which a
// wrong one holds workers that drain late or lets them be taken.
#include "dogwooddrum/coordination/workloads/Reservations.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

constexpr base::Duration kSecond = std::chrono::seconds(1);

TEST(QueueShares, ShareOfAPriorityIsThreeTimesThatOfTheNext)
{
  PoolShares shares({ 0, 0, 100 });
  shares.Add(1, { 0, 0, 74 });
  shares.Add(2, { 0, 0, 24 });
  EXPECT_TRUE(shares.IsBelowShare(1));
  EXPECT_TRUE(shares.IsBelowShare(2));
  EXPECT_TRUE(shares.IsWithinShare(1, { 0, 0, 1 }));
  EXPECT_FALSE(shares.IsWithinShare(1, { 0, 0, 2 }));
  shares.Add(2, { 0, 0, 1 });
  EXPECT_FALSE(shares.IsBelowShare(2));
  EXPECT_FALSE(shares.IsWithinShare(2, { 0, 0, 1 }));
}

TEST(QueueShares, ShareWithoutWorkIsDividedAmongTheOthers)
{
  PoolShares shares({ 0, 0, 100 });
  shares.Add(2, { 0, 0, 90 });
  EXPECT_TRUE(shares.IsBelowShare(2));
  EXPECT_FALSE(shares.IsBelowShare(1)) << "has neither runs nor waiting work";
}

TEST(QueueShares, UrgentWorkReducesAllShares)
{
  PoolShares shares({ 0, 0, 100 });
  shares.Add(1, { 0, 0, 40 });
  shares.Add(2, { 0, 0, 10 });
  EXPECT_TRUE(shares.IsBelowShare(1));
  shares.AddPrivileged({ 0, 0, 60 });
  EXPECT_FALSE(shares.IsBelowShare(1));
  EXPECT_FALSE(shares.IsBelowShare(2));
}

// A level that uses most of the memory and few accelerators would otherwise
// look as if it left the pool to the others.
TEST(QueueShares, ShareIsThatOfTheMostUsedKindOfResource)
{
  PoolShares shares({ 1000, 1000, 100 });
  shares.Add(1, { 100, 800, 10 });
  shares.Add(2, {});
  EXPECT_FALSE(shares.IsBelowShare(1));
}

TEST(QueueShares, StopsLeaveALevelItsShare)
{
  PoolShares shares({ 0, 0, 100 });
  shares.Add(1, { 0, 0, 10 });
  shares.Add(2, { 0, 0, 60 });
  EXPECT_TRUE(shares.IsAboveShareWithout(2, { 0, 0, 35 }));
  EXPECT_FALSE(shares.IsAboveShareWithout(2, { 0, 0, 36 }));
}

/** Two racks of two workers; all are full, and each frees all of its
 * accelerators after the given time. */
std::vector<WorkerView>
FullWorkers(const std::vector<base::Duration>& aFreeIn)
{
  std::vector<WorkerView> workers(aFreeIn.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mTargetIncarnation = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId(i < 2 ? "r1" : "r2");
    workers[i].mCapacity = { 8000, 8000, 8 };
    workers[i].mFree = { 8000, 8000, 0 };
    workers[i].mReleases = { { aFreeIn[i], { 0, 0, 8 } } };
  }
  return workers;
}

struct Gang
{
  explicit Gang(bool aSameRack)
  {
    mStep.mCount = 2;
    mStep.mGang = true;
    mStep.mSameRack = aSameRack;
    mStep.mEstimateMs = 10000;
    mStep.mTaskResources = { 1000, 1000, 8 };
    mUnit.mStep = &mStep;
    mUnit.mPool = protocol::PoolName("pool");
    mUnit.mPriority = 1;
    mUnit.mStepTasks.assign(4, 0);
    mUnit.mTasks = { { WorkloadId("gang"), 0, 0, 0 },
                     { WorkloadId("gang"), 0, 0, 1 } };
  }

  protocol::WorkloadStep mStep;
  PlacementUnit mUnit;
};

TEST(QueueShares, ReservationTakesTheWorkersThatDrainFirst)
{
  const Gang gang(false);
  const auto plan = PlanReservation(
    gang.mUnit,
    FullWorkers({ 4 * kSecond, 1 * kSecond, 2 * kSecond, 5 * kSecond }),
    PlacementOptions());
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->mWorkers, (Assignment{ 1, 2 }));
  EXPECT_EQ(plan->mStartsIn, 2 * kSecond);
}

TEST(QueueShares, ReservationOfAGangForOneRackTakesTheRackThatDrainsFirst)
{
  const Gang gang(true);
  const auto plan = PlanReservation(
    gang.mUnit,
    FullWorkers({ 4 * kSecond, 1 * kSecond, 3 * kSecond, 3 * kSecond }),
    PlacementOptions());
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->mWorkers, (Assignment{ 2, 3 }));
  EXPECT_EQ(plan->mStartsIn, 3 * kSecond);
}

TEST(QueueShares, WorkerThatNeverDrainsIsNotReserved)
{
  const Gang gang(false);
  const auto never = base::Duration::max();
  EXPECT_FALSE(PlanReservation(gang.mUnit,
                               FullWorkers({ never, never, never, kSecond }),
                               PlacementOptions()));
}

TEST(QueueShares, OnlyTasksThatEndBeforeAReservedStartUseHeldWorkers)
{
  const Gang gang(false);
  auto workers =
    FullWorkers({ 4 * kSecond, 1 * kSecond, 2 * kSecond, 5 * kSecond });
  const auto plan = PlanReservation(gang.mUnit, workers, PlacementOptions());
  ASSERT_TRUE(plan);
  HoldReservation(gang.mUnit, *plan, workers);
  workers[1].mFree = workers[1].mCapacity; // drained, 1 s before the start
  protocol::WorkloadStep step;
  step.mTaskResources = { 1000, 1000, 1 };
  PlacementUnit small = gang.mUnit;
  small.mStep = &step;
  small.mTasks = { { WorkloadId("small"), 0, 0, 0 } };
  small.mExpectedRunTime = 3 * kSecond;
  EXPECT_FALSE(PlaceInFreeResources(small, workers, PlacementOptions()));
  small.mExpectedRunTime = kSecond;
  EXPECT_TRUE(PlaceInFreeResources(small, workers, PlacementOptions()));
}

} // namespace
} // namespace dogwooddrum::tests
