// Guards against a task that crashes target after target, and against other
// work that is given up because of it.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using protocol::WorkloadPhase;

/** The platform's contract allows three crashed targets a task. */
constexpr int kAllowedCrashes = 3;

WorkloadSimulationOptions
EightWorkers(bool aKeepsInstance)
{
  WorkloadSimulationOptions options;
  options.mWorkers = 8;
  options.mGuaranteed = 0;
  options.mCrashesKeepInstance = aKeepsInstance;
  return options;
}

class CrashingTasks : public testing::TestWithParam<bool>
{};

INSTANTIATE_TEST_SUITE_P(TargetsReturn,
                         CrashingTasks,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "UnderTheirId" : "AsOthers";
                         });

// A crash was not counted against the task, which crashed one target after the
// other until it was cancelled.
TEST_P(CrashingTasks, TaskIsGivenUpAfterThreeCrashes)
{
  WorkloadSimulation sim(EightWorkers(GetParam()));
  sim.RunFor(500);
  sim.MakeStartsCrash("deadly");
  sim.Submit("deadly", "p1", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(40000);
  EXPECT_LE(sim.CrashCount("deadly"), kAllowedCrashes);
  EXPECT_EQ(sim.Phase("deadly"), WorkloadPhase::Failed);
}

TEST_P(CrashingTasks, CrashesAreCountedAcrossLeaders)
{
  WorkloadSimulation sim(EightWorkers(GetParam()));
  sim.RunFor(500);
  sim.MakeStartsCrash("deadly");
  sim.Submit("deadly", "p0", OneStepSpec(1, 1000, 1, false));
  for (int i = 0; i < 40; ++i) {
    sim.RunFor(1000);
    sim.ChangeLeader();
  }
  EXPECT_LE(sim.CrashCount("deadly"), kAllowedCrashes);
  EXPECT_EQ(sim.Phase("deadly"), WorkloadPhase::Failed);
}

// All runs on a crashed target are suspects; only the cause is given up.
TEST_P(CrashingTasks, OtherWorkOnCrashedTargetsIsComplete)
{
  WorkloadSimulation sim(EightWorkers(GetParam()));
  sim.RunFor(500);
  sim.SetRunTime("others", 4000);
  sim.Submit("others", "p2", OneStepSpec(60, 4000, 1, false));
  sim.RunFor(1000);
  for (const char* id : { "deadly1", "deadly2", "deadly3" }) {
    sim.MakeStartsCrash(id);
    sim.Submit(id, "p1", OneStepSpec(1, 1000, 1, false));
    sim.RunFor(700);
  }
  sim.RunFor(120000);
  for (const char* id : { "deadly1", "deadly2", "deadly3" }) {
    EXPECT_LE(sim.CrashCount(id), kAllowedCrashes);
    EXPECT_EQ(sim.Phase(id), WorkloadPhase::Failed) << id;
  }
  EXPECT_EQ(sim.Phase("others"), WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST_P(CrashingTasks, GangIsGivenUpAfterThreeCrashesOfEachMember)
{
  constexpr int kMembers = 3;
  WorkloadSimulation sim(EightWorkers(GetParam()));
  sim.RunFor(500);
  sim.MakeStartsCrash("gang");
  sim.Submit("gang", "p1", OneStepSpec(kMembers, 1000, 8, true));
  sim.RunFor(60000);
  EXPECT_LE(sim.CrashCount("gang"), kMembers * kAllowedCrashes);
  EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Failed);
}

// An urgent task that has to run alone waits for a worker to drain, also if the
// pool never has an idle one.
TEST_P(CrashingTasks, IsolatedTaskInAFullPoolIsNotStarved)
{
  WorkloadSimulation sim(EightWorkers(GetParam()));
  sim.RunFor(500);
  for (int i = 0; i < 400; ++i) {
    const auto id = "small" + std::to_string(i);
    sim.SetRunTime(id, 2000 + 130 * (i % 16));
    sim.Submit(id, "p1", OneStepSpec(2, 4000, 1, false));
  }
  sim.MakeStartsCrash("deadly");
  sim.Submit("deadly", "p0", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(40000);
  EXPECT_EQ(sim.Phase("deadly"), WorkloadPhase::Failed);
}

/** Submits a workload of tasks that run for aRunMs, and crashes the target of
 * the first one once they run. */
void
CrashUnderWorkload(WorkloadSimulation& aSim,
                   const std::string& aId,
                   const protocol::WorkloadSpec& aSpec,
                   std::int64_t aRunMs)
{
  aSim.SetRunTime(aId, aRunMs);
  aSim.Submit(aId, "p1", aSpec);
  aSim.RunFor(500);
  ASSERT_FALSE(aSim.WorkersOf(aId).empty());
  aSim.CrashTarget(*aSim.WorkersOf(aId).begin(), 3000, false);
}

// A gang with more members than there are targets was never started again after
// one crash, as no two of its members were to share a target.
TEST(CrashingTasksRestart, GangLargerThanThePoolRestartsAfterACrash)
{
  for (const int crashes : { 1, 2 }) {
    WorkloadSimulation sim(EightWorkers(false));
    sim.RunFor(500);
    CrashUnderWorkload(sim, "gang", OneStepSpec(12, 5000, 0, true), 6000);
    sim.RunFor(4000);
    if (crashes == 2) {
      sim.CrashTarget(*sim.WorkersOf("gang").begin(), 3000, false);
    }
    sim.RunFor(12000);
    EXPECT_EQ(sim.Phase("gang"), WorkloadPhase::Complete)
      << crashes << " crashes";
    EXPECT_TRUE(sim.Violations().empty());
  }
}

// After one crash, tasks of other workloads that run for long held one target
// each, and the last one of them waited for ever.
TEST(CrashingTasksRestart, MoreSuspectsThanTargetsAllRun)
{
  auto options = EightWorkers(false);
  options.mWorkers = 3;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  const std::vector<std::string> ids{ "a", "b", "c", "d" };
  for (const auto& id : ids) {
    sim.SetRunTime(id, 100000);
    sim.Submit(id, "p1", OneStepSpec(1, 1000, 1, false));
  }
  sim.RunFor(500);
  ASSERT_EQ(sim.WorkersOf("a"), sim.WorkersOf("d"));
  for (int crash = 0; crash < 2; ++crash) {
    sim.CrashTarget(*sim.WorkersOf("a").begin(), 3000, false);
    sim.RunFor(6000);
    for (const auto& id : ids) {
      EXPECT_GE(sim.StartCount(id), 2) << id;
    }
  }
}

// Workers on which a task ran alone after two crashes took no other work.
TEST(CrashingTasksRestart, OtherWorkRunsBesideTasksThatRunAlone)
{
  auto options = EightWorkers(false);
  options.mWorkers = 1;
  WorkloadSimulation sim(options);
  sim.RunFor(500);
  sim.SetRunTime("long", 100000);
  sim.Submit("long", "p1", OneStepSpec(1, 1000, 1, false));
  for (int crash = 0; crash < 2; ++crash) {
    sim.RunFor(1000);
    sim.CrashTarget(0, 500, false);
  }
  sim.RunFor(3000);
  sim.Submit("other", "p2", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(4500);
  EXPECT_EQ(sim.Phase("other"), WorkloadPhase::Complete);
}

// A task that runs until its workload is cancelled was given up after three
// crashes of targets, though it has no limit of attempts.
TEST(CrashingTasksRestart, LongRunningTaskIsNeverGivenUp)
{
  WorkloadSimulation sim(EightWorkers(false));
  sim.RunFor(500);
  auto spec = OneStepSpec(1, 1000, 1, false);
  spec.mSteps[0].mLongRunning = true;
  sim.SetRunTime("service", 1000000);
  sim.Submit("service", "p1", spec);
  sim.RunFor(2000);
  for (int crash = 1; crash <= 4; ++crash) {
    for (const std::size_t worker : sim.WorkersOf("service")) {
      sim.CrashTarget(worker, 1000, false);
    }
    sim.RunFor(26000);
    EXPECT_EQ(sim.Phase("service"), WorkloadPhase::Running);
    EXPECT_GE(sim.StartCount("service"), crash + 1);
  }
}

// A crash of a VM, a planned end or a lost link is not the fault of a task.
TEST(CrashingTasksOfOtherCauses, PowerLossesAndPlannedEndsAreNotCounted)
{
  WorkloadSimulation sim(EightWorkers(false));
  sim.RunFor(500);
  sim.SetRunTime("long", 20000);
  sim.Submit("long", "p1", OneStepSpec(8, 1000, 8, false));
  for (int i = 0; i < 4; ++i) {
    sim.RunFor(3000);
    for (std::size_t worker = 0; worker < 8; ++worker) {
      sim.RestartVm(worker);
    }
  }
  for (int i = 0; i < 4; ++i) {
    sim.RunFor(3000);
    for (std::size_t worker = 0; worker < 8; ++worker) {
      sim.BeginPlannedEnd(worker);
    }
    sim.RunFor(9000);
  }
  sim.RunFor(60000);
  EXPECT_EQ(sim.Phase("long"), WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
