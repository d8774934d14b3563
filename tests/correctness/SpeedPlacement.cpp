// Guards against urgent work on slow workers while fast ones are free, gangs
// that mix speeds, and work that waits for a speed. Load: workers of two
// speeds, one of which takes 2.4 times as long.
#include "dogwooddrum/coordination/workloads/SpeedRanges.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

constexpr double kSlow = 2.4;

/** Each worker holds one task. */
std::vector<WorkerView>
Workers(const std::vector<double>& aSlowness)
{
  std::vector<WorkerView> workers(aSlowness.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mTargetIncarnation = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId("r");
    workers[i].mCapacity = { 64000, 64000, 8 };
    workers[i].mFree = workers[i].mCapacity;
    workers[i].mSlowness = aSlowness[i];
  }
  return workers;
}

struct Unit
{
  protocol::WorkloadStep mStep;
  PlacementUnit mUnit;
  Unit(std::uint32_t aCount, bool aPrefersFast)
  {
    mStep.mCount = aCount;
    mStep.mGang = aCount > 1;
    mStep.mTaskResources = { 1000, 1000, 8 };
    mUnit.mStep = &mStep;
    mUnit.mPool = protocol::PoolName("pool");
    mUnit.mPrefersFast = aPrefersFast;
    mUnit.mStepTasks.assign(8, 0);
    for (std::uint32_t i = 0; i < aCount; ++i) {
      mUnit.mTasks.push_back({ protocol::WorkloadId("w"), 0, 0, i });
    }
  }
  Unit(const Unit&) = delete;
  Unit& operator=(const Unit&) = delete;
  ~Unit() = default;
};

std::optional<Assignment>
Place(const Unit& aUnit, std::vector<WorkerView> aWorkers)
{
  return PlaceInFreeResources(aUnit.mUnit, aWorkers, PlacementOptions());
}

TEST(SpeedPlacement, UrgentGangStartsOnFastWorkers)
{
  const auto workers = Workers({ kSlow, 1, kSlow, 1 });
  EXPECT_EQ(Place(Unit(2, true), workers), (Assignment{ 1, 3 }));
  EXPECT_TRUE(Place(Unit(3, true), workers)) << "it does not wait";
}

TEST(SpeedPlacement, PatientGangStartsOnSlowWorkers)
{
  const auto workers = Workers({ 1, 1, 1, kSlow, kSlow });
  EXPECT_EQ(Place(Unit(2, false), workers), (Assignment{ 3, 4 }));
}

// The fast members would wait for the slow ones.
TEST(SpeedPlacement, PatientGangDoesNotMixSpeeds)
{
  const auto workers = Workers({ 1, kSlow, 1, kSlow, 1 });
  EXPECT_EQ(Place(Unit(3, false), workers), (Assignment{ 0, 2, 4 }));
  EXPECT_TRUE(Place(Unit(4, false), workers)) << "it does not wait";
}

TEST(SpeedPlacement, PatientTaskLeavesFastWorkersFree)
{
  EXPECT_EQ(Place(Unit(1, false), Workers({ 1, kSlow, 1 })), (Assignment{ 1 }));
  EXPECT_EQ(Place(Unit(1, true), Workers({ kSlow, 1 })), (Assignment{ 1 }));
  EXPECT_TRUE(Place(Unit(1, false), Workers({ 1 }))) << "it does not wait";
}

TEST(SpeedPlacement, SmallDifferencesDoNotMatter)
{
  auto workers = Workers({ 1, 1.1, 0.9 });
  workers[2].mFree.mMilliCores = 2000;
  EXPECT_EQ(Place(Unit(1, true), workers), (Assignment{ 2 })) << "best fit";
  EXPECT_TRUE(SpeedRangesFor(Unit(2, true).mUnit, workers).empty());
}

TEST(SpeedPlacement, WorkThatWouldBeLateOnSlowWorkersPrefersFastOnes)
{
  const auto workers = Workers({ 1, kSlow });
  Unit unit(1, false);
  unit.mUnit.mPriority = 1;
  unit.mUnit.mExpectedRunTime = base::Milliseconds(1000);
  unit.mUnit.mDueAtMs = 10000;
  EXPECT_FALSE(PrefersFast(unit.mUnit, workers, 7500));
  EXPECT_TRUE(PrefersFast(unit.mUnit, workers, 7700));
  unit.mUnit.mPriority = 0;
  EXPECT_TRUE(PrefersFast(unit.mUnit, workers, 0));
}

} // namespace
} // namespace dogwooddrum::tests
