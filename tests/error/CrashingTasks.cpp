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
