// Guards against a worker that fails all that it starts: it is always the one
// with free resources, so that in a full pool it drew task after task and used
// up the attempts of whole workloads.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

WorkloadSimulationOptions
EightWorkers()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 8;
  return options;
}

/** Submits workloads of small tasks, which need the whole pool for longer than
 * a failing run lasts, and returns their ids. */
std::vector<std::string>
SubmitSmallTasks(WorkloadSimulation& aSim, std::size_t aWorkloads)
{
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < aWorkloads; ++i) {
    const std::string id = "small-" + std::to_string(i);
    auto spec = OneStepSpec(30, 1000, 1, false);
    spec.mSteps[0].mEstimateMs = 3000;
    aSim.SetRunTime(id, 3000);
    aSim.Submit(id, "p2", spec);
    aSim.RunFor(100);
    ids.push_back(id);
  }
  return ids;
}

TEST(FailingWorkers, SmallTasksInAFullPoolKeepTheirAttempts)
{
  WorkloadSimulation sim(EightWorkers());
  sim.MakeWorkerFail(3, 50);
  sim.RunFor(500);
  const auto ids = SubmitSmallTasks(sim, 6);
  sim.RunFor(30000);
  for (const auto& id : ids) {
    EXPECT_EQ(sim.Phase(id), WorkloadPhase::Complete) << id;
    EXPECT_LT(sim.StartCount(id), 40) << id;
  }
}

// The platform counts work that waits beside an idle pool as lost, whatever the
// state of its workers.
TEST(FailingWorkers, WorkInAnIdlePoolIsNotKeptFromThem)
{
  WorkloadSimulation sim(EightWorkers());
  sim.MakeWorkerFail(0, 50);
  sim.MakeWorkerFail(1, 50);
  sim.RunFor(500);
  for (const char* id : { "a", "b" }) {
    sim.SetRunTime(id, 200);
    sim.Submit(id, "p2", OneStepSpec(64, 1000, 1, false));
    sim.RunFor(1000);
  }
  auto gang = OneStepSpec(7, 1000, 1, true);
  gang.mSteps[0].mMaxPerWorker = 1;
  sim.Submit("gang", "p1", gang);
  sim.RunFor(1000);
  EXPECT_EQ(sim.StartCount("gang"), 0) << "needs a quarantined worker";
  sim.RunFor(1500);
  EXPECT_GT(sim.StartCount("gang"), 0);
}

// A failed probe uses up an attempt, and delays the task.
TEST(FailingWorkers, UrgentWorkIsNoProbe)
{
  WorkloadSimulation sim(EightWorkers());
  sim.MakeWorkerFail(0, 50);
  sim.RunFor(500);
  for (const char* id : { "a", "b" }) {
    sim.SetRunTime(id, 200);
    sim.Submit(id, "p2", OneStepSpec(64, 1000, 1, false));
    sim.RunFor(1000);
  }
  sim.SetRunTime("full", 20000);
  sim.Submit("full", "p0", OneStepSpec(7, 1000, 8, false));
  sim.RunFor(2500);
  sim.Submit("urgent", "p0", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(1000);
  EXPECT_EQ(sim.StartCount("urgent"), 0) << "only a quarantined worker is free";
  sim.RunFor(1500);
  EXPECT_GT(sim.StartCount("urgent"), 0);
}

// A workload that fails everywhere is no evidence against the workers.
TEST(FailingWorkers, FailingWorkloadDoesNotQuarantineThePool)
{
  WorkloadSimulation sim(EightWorkers());
  sim.RunFor(500);
  sim.MakeRunsFail("bad");
  sim.SetRunTime("bad", 50);
  sim.Submit("bad", "p2", OneStepSpec(64, 1000, 1, false));
  sim.RunFor(300);
  sim.Submit("good", "p2", OneStepSpec(64, 1000, 1, false));
  sim.RunFor(500);
  EXPECT_EQ(sim.StartCount("good"), 64);
}

} // namespace
} // namespace dogwooddrum::tests
