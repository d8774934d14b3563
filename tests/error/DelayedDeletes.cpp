// Guards against taking the message of a target's planned end (DELETE) for a
// proof that its runs are over: it names no incarnation, so that it may be
// late, and a target without an acknowledgement runs on for seconds.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

WorkloadSimulationOptions
ThreeWorkers()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 3;
  return options;
}

/** Starts two workloads of one task each on one worker, which is returned. */
std::size_t
StartTwoRunsOnOneWorker(WorkloadSimulation& aSim)
{
  for (const char* id : { "a", "b" }) {
    aSim.SetRunTime(id, 4000);
    auto spec = OneStepSpec(1, 1000, 4, false);
    spec.mSteps[0].mEstimateMs = 4000;
    aSim.Submit(id, "p1", spec);
    aSim.RunFor(500);
  }
  EXPECT_EQ(aSim.WorkersOf("a"), aSim.WorkersOf("b"));
  return *aSim.WorkersOf("a").begin();
}

void
ExpectBothRunOnce(WorkloadSimulation& aSim)
{
  aSim.RunFor(10000);
  for (const char* id : { "a", "b" }) {
    EXPECT_EQ(aSim.StartCount(id), 1) << id;
    EXPECT_EQ(aSim.Phase(id), WorkloadPhase::Complete) << id;
  }
  for (const std::string& violation : aSim.Violations()) {
    ADD_FAILURE() << violation;
  }
}

// A target whose DELETE was handled but not acknowledged, as the agent ended in
// between, ran on for seconds; both of its tasks were started on other targets
// at once.
TEST(DelayedDeletes, RunsOfATargetThatWaitsForTheAnswerAreNotStartedElsewhere)
{
  WorkloadSimulation sim(ThreeWorkers());
  sim.RunFor(500);
  const auto worker = StartTwoRunsOnOneWorker(sim);
  sim.AnnounceLeave(worker);
  sim.RunFor(100);
  sim.DeliverDelete(worker);
  ExpectBothRunOnce(sim);
}

// A DELETE of the earlier incarnation of an id ended the present one.
TEST(DelayedDeletes, DeleteOfAnEarlierIncarnationEndsNoRun)
{
  WorkloadSimulation sim(ThreeWorkers());
  for (std::size_t worker = 0; worker < 3; ++worker) {
    sim.RestartTarget(worker);
  }
  sim.RunFor(500);
  const auto worker = StartTwoRunsOnOneWorker(sim);
  sim.DeliverDelete(worker);
  ExpectBothRunOnce(sim);
}

// The agent ignored the announcements of the present incarnation after such a
// DELETE, so that its target got no work any more.
TEST(DelayedDeletes, TargetGetsWorkAfterADeleteOfAnEarlierIncarnation)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.DeliverDelete(0);
  sim.RunFor(2000); // longer than the interval of announcements
  sim.Submit("a", "p1", OneStepSpec(1, 1000, 4, false));
  sim.RunFor(3000);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
}

// Without a proof by DELETE, tasks of a target that has left must still not
// wait for its lease.
TEST(DelayedDeletes, TasksOfATargetThatHasEndedRestartBeforeItsLeaseEnds)
{
  WorkloadSimulation sim(ThreeWorkers());
  sim.RunFor(500);
  const auto worker = StartTwoRunsOnOneWorker(sim);
  sim.AnnounceLeave(worker);
  sim.RunFor(100);
  sim.DeliverDelete(worker);
  sim.KillTarget(worker);
  sim.RunFor(1000);
  EXPECT_EQ(sim.StartCount("a"), 2);
  EXPECT_EQ(sim.StartCount("b"), 2);
  EXPECT_TRUE(sim.Violations().empty());
}

} // namespace
} // namespace dogwooddrum::tests
