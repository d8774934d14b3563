// Guards against a queue that starves: its work waits without a bound while
// other work keeps starting in the same pool.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

constexpr std::int64_t kGangRunMs = 6000;

/** A pool of two racks with four workers of 8 accelerators each. The objective
 * of all queues is three times the estimate and a second. */
WorkloadSimulationOptions
TwoRacks()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 8;
  options.mWorkersPerRack = 4;
  options.mGuaranteed = 0;
  options.mSlackPermille = 3000;
  options.mTargetRunTimeMs = 1000;
  return options;
}

/** Submits a workload of tasks that run for aRunMs each. */
void
Submit(WorkloadSimulation& aSim,
       const std::string& aId,
       const std::string& aQueue,
       protocol::WorkloadSpec aSpec,
       std::int64_t aRunMs)
{
  aSpec.mSteps[0].mEstimateMs = static_cast<std::uint64_t>(aRunMs);
  aSim.SetRunTime(aId, aRunMs);
  aSim.Submit(aId, aQueue, std::move(aSpec));
}

std::int64_t
ObjectiveMs(std::int64_t aRunMs)
{
  return 3 * aRunMs + 1000;
}

/** Keeps more small tasks of a queue waiting than the pool can run. Their run
 * times differ, so that resources come free one task at a time. */
class SmallTaskStream
{
public:
  SmallTaskStream(WorkloadSimulation& aSim, std::string aQueue)
    : mSim(aSim)
    , mQueue(std::move(aQueue))
  {
  }

  /** Runs the simulation for aSeconds and adds 14 tasks in each of them; the
   * pool completes 14 to 15 in a second. */
  void RunFor(int aSeconds)
  {
    for (int i = 0; i < aSeconds * 2; ++i) {
      const auto id = mQueue + "-small-" + std::to_string(++mCount);
      const auto runMs = 3000 + 370 * (mCount % 8);
      ::dogwooddrum::tests::Submit(
        mSim,
        id,
        mQueue,
        OneStepSpec(mCount == 1 ? 120 : 7, 4000, 1, false),
        runMs);
      mSim.RunFor(500);
    }
  }

private:
  WorkloadSimulation& mSim;
  const std::string mQueue;
  int mCount = 0;
};

// Each worker that came free got a small task of the least urgent queue, so
// that a wide gang never saw enough of them at once.
TEST(QueueStarvation, WideGangBesideAStreamOfSmallTasksMeetsItsObjective)
{
  WorkloadSimulation sim(TwoRacks());
  sim.RunFor(500);
  SmallTaskStream stream(sim, "p2");
  stream.RunFor(5);
  Submit(sim, "gang", "p1", OneStepSpec(4, 30000, 8, true), kGangRunMs);
  stream.RunFor(30);
  EXPECT_GE(sim.CompleteMs("gang"), 0);
  EXPECT_LE(sim.CompleteMs("gang"), ObjectiveMs(kGangRunMs));
  EXPECT_TRUE(sim.Violations().empty());
}

// A gang that prefers a single rack needs all of it at the same time.
TEST(QueueStarvation, GangOfAWholeRackBesideSmallTasksMeetsItsObjective)
{
  WorkloadSimulation sim(TwoRacks());
  sim.RunFor(500);
  SmallTaskStream stream(sim, "p2");
  stream.RunFor(5);
  auto gang = OneStepSpec(4, 30000, 8, true);
  gang.mSteps[0].mSameRack = true;
  Submit(sim, "gang", "p1", gang, kGangRunMs);
  stream.RunFor(30);
  EXPECT_GE(sim.CompleteMs("gang"), 0);
  EXPECT_LE(sim.CompleteMs("gang"), ObjectiveMs(kGangRunMs));
  EXPECT_EQ(sim.StartCount("gang"), 4);
}

// The mirror: work of a more urgent queue that never ends kept all resources
// from small tasks of the least urgent one. Late work still has value up to
// three times its objective.
TEST(QueueStarvation, SmallTasksBesideAStreamOfWideGangsStartInTime)
{
  WorkloadSimulation sim(TwoRacks());
  sim.RunFor(500);
  for (int i = 0; i < 40; ++i) {
    Submit(sim,
           "gang" + std::to_string(i),
           "p1",
           OneStepSpec(4, 30000, 8, true),
           kGangRunMs);
  }
  sim.RunFor(2000);
  Submit(sim, "small", "p2", OneStepSpec(16, 4000, 1, false), 3000);
  sim.RunFor(3 * ObjectiveMs(3000));
  EXPECT_GE(sim.CompleteMs("small"), 0);
  EXPECT_LE(sim.CompleteMs("small"), 3 * ObjectiveMs(3000));
}

// A stream of more urgent small tasks that filled the pool kept all resources
// from the least urgent queue.
TEST(QueueStarvation, TasksBesideAStreamOfMoreUrgentOnesStartInTime)
{
  WorkloadSimulation sim(TwoRacks());
  sim.RunFor(500);
  SmallTaskStream stream(sim, "p1");
  stream.RunFor(5);
  Submit(sim, "least", "p2", OneStepSpec(16, 4000, 1, false), 3000);
  stream.RunFor(30);
  EXPECT_GE(sim.CompleteMs("least"), 0);
  EXPECT_LE(sim.CompleteMs("least"), 3 * ObjectiveMs(3000));
}

TEST(QueueStarvation, WideGangBesideAStreamOfMoreUrgentTasksStartsInTime)
{
  WorkloadSimulation sim(TwoRacks());
  sim.RunFor(500);
  SmallTaskStream stream(sim, "p1");
  stream.RunFor(5);
  Submit(sim, "gang", "p2", OneStepSpec(2, 30000, 8, true), kGangRunMs);
  stream.RunFor(60);
  EXPECT_GE(sim.CompleteMs("gang"), 0);
  EXPECT_LE(sim.CompleteMs("gang"), 3 * ObjectiveMs(kGangRunMs));
}

} // namespace
} // namespace dogwooddrum::tests
