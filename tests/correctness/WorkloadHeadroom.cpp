// Guards the room that is kept free for urgent work. Each test is named after
// the pattern of load that it answers.
#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "tests/support/WorkloadWorld.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const HeadroomOptions kOptions;

base::Time
At(std::int64_t aMs)
{
  return base::Time(base::Milliseconds(aMs));
}

std::vector<WorkerView>
Workers(std::size_t aCount, std::int64_t aFreeAccelerators)
{
  std::vector<WorkerView> workers(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    workers[i].mLife = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId(i < aCount / 2 ? "r1" : "r2");
    workers[i].mCapacity = { 8000, 8000, 8 };
    workers[i].mFree = { 1000 * aFreeAccelerators,
                         1000 * aFreeAccelerators,
                         aFreeAccelerators };
  }
  return workers;
}

// Urgent work waited for others to be stopped, each time for about as long as
// it runs itself.
TEST(WorkloadHeadroom, SteadyUrgentWorkInAFullPoolStartsAtOnce)
{
  WorkloadWorldOptions options;
  options.mGuaranteed = 0;
  WorkloadWorld world(options);
  world.Run(500);
  world.SetRunTime("background", 5000);
  world.Submit("background", "p2", OneStep(200, 8000, 1, false));
  for (int i = 0; i < 10; ++i) {
    world.Submit(
      "urgent" + std::to_string(i), "p0", OneStep(1, 1000, 4, false));
    world.Run(2000);
  }
  for (int i = 5; i < 10; ++i) {
    EXPECT_LE(world.FirstStartMs("urgent" + std::to_string(i)), 100) << i;
  }
}

TEST(WorkloadHeadroom, DemandOfABurstIsForgottenAfterTheWindow)
{
  UrgentDemand demand;
  demand.Add({ 8000, 800, 16 }, At(0));
  const Room during = demand.Headroom(At(1000), kOptions);
  EXPECT_EQ(during.mAccelerators,
            16 * kOptions.mReaction.count() / kOptions.mWindow.count());
  const auto later = At(base::ToMilliseconds(kOptions.mWindow) + 1);
  EXPECT_EQ(demand.Headroom(later, kOptions).mAccelerators, 0);
}

TEST(WorkloadHeadroom, AtMostItsShareOfThePoolIsKeptFree)
{
  auto workers = Workers(20, 4);
  HoldHeadroom(protocol::PoolName("pool"), { 0, 0, 1000 }, workers, kOptions);
  std::int64_t free = 0;
  for (const WorkerView& worker : workers) {
    free += worker.mFree.mAccelerators;
  }
  // 15% of 160 accelerators, in whole workers of 4 free ones.
  EXPECT_EQ(free, 20 * 4 - 24);
}

// The platform counts a job as forgotten that waits beside an idle half of the
// pool.
TEST(WorkloadHeadroom, NothingIsKeptFreeWhileHalfThePoolIsIdle)
{
  auto workers = Workers(4, 5);
  HoldHeadroom(protocol::PoolName("pool"), { 0, 0, 8 }, workers, kOptions);
  for (const WorkerView& worker : workers) {
    EXPECT_EQ(worker.mFree.mAccelerators, 5);
  }
}

TEST(WorkloadHeadroom, TheEmptiestRackIsKeptFreeForGangs)
{
  auto workers = Workers(4, 2);
  workers[3].mFree = { 3000, 3000, 3 };
  HoldHeadroom(protocol::PoolName("pool"), { 0, 0, 4 }, workers, kOptions);
  EXPECT_EQ(workers[0].mFree.mAccelerators, 2);
  EXPECT_EQ(workers[1].mFree.mAccelerators, 2);
  EXPECT_EQ(workers[2].mFree.mAccelerators, 0);
  EXPECT_EQ(workers[3].mFree.mAccelerators, 0);
}

// The platform wants lasting tasks back at work however full the pool is.
TEST(WorkloadHeadroom, LastingTaskInAFullPoolUsesTheHeadroom)
{
  WorkloadWorldOptions options;
  options.mGuaranteed = 0;
  WorkloadWorld world(options);
  world.Run(500);
  world.SetRunTime("background", 20000);
  world.Submit("background", "p1", OneStep(24, 8000, 1, false));
  world.Run(1000);
  for (int i = 0; i < 6; ++i) {
    world.Submit(
      "urgent" + std::to_string(i), "p0", OneStep(1, 1000, 4, false));
    world.Run(1500);
  }
  world.Submit("more", "p1", OneStep(25, 8000, 1, false));
  world.SetRunTime("lasting", 60000);
  auto lasting = OneStep(1, 8000, 1, false);
  lasting.mSteps[0].mLongRunning = true;
  world.Submit("lasting", "p2", lasting);
  world.Run(1000);
  EXPECT_GE(world.FirstStartMs("lasting"), 0);
}

} // namespace
} // namespace dogwooddrum::tests
