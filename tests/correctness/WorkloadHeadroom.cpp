// Guards the headroom for urgent work: with too little, urgent work waits for
// preemption; with too much, other work waits next to idle workers.
#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "tests/support/WorkloadSimulation.h"

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
    workers[i].mTargetIncarnation = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId(i < aCount / 2 ? "r1" : "r2");
    workers[i].mCapacity = { 8000, 8000, 8 };
    workers[i].mFree = { 1000 * aFreeAccelerators,
                         1000 * aFreeAccelerators,
                         aFreeAccelerators };
  }
  return workers;
}

// Each urgent task waited for a preemption, for about as long as its own run
// time.
TEST(WorkloadHeadroom, SteadyUrgentWorkInAFullPoolStartsAtOnce)
{
  WorkloadSimulationOptions options;
  options.mGuaranteed = 0;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("background", 5000);
  sim.Submit("background", "p2", OneStepSpec(200, 8000, 1, false));
  for (int i = 0; i < 10; ++i) {
    sim.Submit(
      "urgent" + std::to_string(i), "p0", OneStepSpec(1, 1000, 4, false));
    sim.RunFor(2000);
  }
  for (int i = 5; i < 10; ++i) {
    EXPECT_LE(sim.FirstStartMs("urgent" + std::to_string(i)), 100) << i;
  }
}

TEST(WorkloadHeadroom, BurstDemandExpiresAfterTheWindow)
{
  UrgentDemand demand;
  demand.Add({ 8000, 800, 16 }, At(0));
  const ResourceVector during = demand.Headroom(At(1000), kOptions);
  EXPECT_EQ(during.mAccelerators,
            16 * kOptions.mReactionTime.count() / kOptions.mWindow.count());
  const auto later = At(base::ToMilliseconds(kOptions.mWindow) + 1);
  EXPECT_EQ(demand.Headroom(later, kOptions).mAccelerators, 0);
}

TEST(WorkloadHeadroom, HeadroomIsLimitedToAShareOfThePool)
{
  auto workers = Workers(20, 4);
  ReserveHeadroom(
    protocol::PoolName("pool"), { 0, 0, 1000 }, workers, kOptions);
  std::int64_t free = 0;
  for (const WorkerView& worker : workers) {
    free += worker.mFree.mAccelerators;
  }
  // 15% of 160 accelerators, in whole workers of 4 free ones.
  EXPECT_EQ(free, 20 * 4 - 24);
}

// The platform counts a job as starved if it waits while half of the pool is
// idle.
TEST(WorkloadHeadroom, NoHeadroomWhileHalfThePoolIsIdle)
{
  auto workers = Workers(4, 5);
  ReserveHeadroom(protocol::PoolName("pool"), { 0, 0, 8 }, workers, kOptions);
  for (const WorkerView& worker : workers) {
    EXPECT_EQ(worker.mFree.mAccelerators, 5);
  }
}

TEST(WorkloadHeadroom, HeadroomIsReservedOnTheEmptiestRack)
{
  auto workers = Workers(4, 2);
  workers[3].mFree = { 3000, 3000, 3 };
  ReserveHeadroom(protocol::PoolName("pool"), { 0, 0, 4 }, workers, kOptions);
  EXPECT_EQ(workers[0].mFree.mAccelerators, 2);
  EXPECT_EQ(workers[1].mFree.mAccelerators, 2);
  EXPECT_EQ(workers[2].mFree.mAccelerators, 0);
  EXPECT_EQ(workers[3].mFree.mAccelerators, 0);
}

// The platform requires long-running tasks to run again soon, however full the
// pool is.
TEST(WorkloadHeadroom, LongRunningTaskInAFullPoolUsesTheHeadroom)
{
  WorkloadSimulationOptions options;
  options.mGuaranteed = 0;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("background", 20000);
  sim.Submit("background", "p1", OneStepSpec(24, 8000, 1, false));
  sim.RunFor(1000);
  for (int i = 0; i < 6; ++i) {
    sim.Submit(
      "urgent" + std::to_string(i), "p0", OneStepSpec(1, 1000, 4, false));
    sim.RunFor(1500);
  }
  sim.Submit("more", "p1", OneStepSpec(25, 8000, 1, false));
  sim.SetRunTime("long-running", 60000);
  auto longRunning = OneStepSpec(1, 8000, 1, false);
  longRunning.mSteps[0].mLongRunning = true;
  sim.Submit("long-running", "p2", longRunning);
  sim.RunFor(1000);
  EXPECT_GE(sim.FirstStartMs("long-running"), 0);
}

} // namespace
} // namespace dogwooddrum::tests
