// Guards against a policy that can't be switched off, so that operators and the
// ablation would compare the same behaviour.
#include "dogwooddrum/service/Settings.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace dogwooddrum::tests {
namespace {

using coordination::workloads::Policies;
using Switch = bool Policies::*;

/** Keys in [control]. learned_run_times has no scenario below: progress lists
 * replace the estimate before a decision of the simulation depends on it. */
const std::map<std::string, Switch> kKeys = {
  { "urgent_headroom", &Policies::mUrgentHeadroom },
  { "locality_wait", &Policies::mLocalityWait },
  { "worker_suspicion", &Policies::mWorkerSuspicion },
  { "stall_stops", &Policies::mStallStops },
  { "await_soon_ends", &Policies::mAwaitSoonEnds },
  { "loss_limit", &Policies::mLossLimit },
  { "priority_weight", &Policies::mPriorityWeight },
  { "learned_run_times", &Policies::mLearnedRunTimes },
  { "long_running_first", &Policies::mLongRunningFirst },
  { "guaranteed_first", &Policies::mGuaranteedFirst },
  { "target_bindings", &Policies::mTargetBindings },
  { "reservations", &Policies::mReservations },
  { "fair_shares", &Policies::mFairShares },
};

/** Returns the result of aScenario with all policies but one. */
template<typename Scenario>
auto
Without(Switch aPolicy, const Scenario& aScenario)
{
  WorkloadSimulationOptions options;
  options.mPolicies.*aPolicy = false;
  return aScenario(options);
}

protocol::WorkloadSpec
WholeWorkers(std::uint32_t aCount)
{
  return OneStepSpec(aCount, 60000, 8, false);
}

TEST(WorkloadPolicies, EachKeySwitchesItsPolicyOnly)
{
  const std::string rest = "[common]\nrole = control\nname = c\nregion = r\n"
                           "zone = z\nlink_port = 7101\nkey_file = key\n"
                           "[control]\nmember_id = 1\n"
                           "peers = 1=127.0.0.1:7101, 2=127.0.0.1:7102\n"
                           "data_folder = data\n";
  for (const auto& [key, policy] : kKeys) {
    const auto settings =
      service::ParseSettings(rest + key + " = false\n", "file.ini");
    ASSERT_TRUE(settings) << settings.LastFailure().mMessage;
    for (const auto& [other, otherPolicy] : kKeys) {
      EXPECT_EQ(settings->mControl.mPolicies.*otherPolicy, other != key)
        << other << " with " << key << " = false";
    }
  }
}

// Off by default, so that a key has to switch it on.
TEST(WorkloadPolicies, KeySwitchesAccountSharesOn)
{
  const std::string rest = "[common]\nrole = control\nname = c\nregion = r\n"
                           "zone = z\nlink_port = 7101\nkey_file = key\n"
                           "[control]\nmember_id = 1\n"
                           "peers = 1=127.0.0.1:7101, 2=127.0.0.1:7102\n"
                           "data_folder = data\n";
  for (const bool isOn : { false, true }) {
    const auto settings = service::ParseSettings(
      rest + (isOn ? "account_shares = true\n" : ""), "file.ini");
    ASSERT_TRUE(settings) << settings.LastFailure().mMessage;
    EXPECT_EQ(settings->mControl.mPolicies.mAccountShares, isOn);
  }
}

/** Returns the starts of a task on a worker that stalls for 30 s. */
int
StartsOnAStallingWorker(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("a", 5000);
  sim.Submit("a", "p1", OneStepSpec(1, 8000, 1, false));
  sim.RunFor(500);
  sim.Stall(*sim.WorkersOf("a").begin(), 30000);
  sim.RunFor(10000);
  return sim.StartCount("a");
}

TEST(WorkloadPolicies, StallStops)
{
  EXPECT_EQ(StartsOnAStallingWorker({}), 2);
  EXPECT_EQ(Without(&Policies::mStallStops, StartsOnAStallingWorker), 1);
}

/** Returns whether a task has ended 4 s after its VM and the leader were
 * replaced. */
bool
EndsAfterPowerLoss(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 1;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.Submit("a", "p0", OneStepSpec(1, 8000, 1, false));
  sim.RunFor(500);
  sim.RestartVm(0);
  sim.ChangeLeader();
  sim.RunFor(4000);
  return sim.Phase("a") == protocol::WorkloadPhase::Complete;
}

TEST(WorkloadPolicies, TargetBindings)
{
  EXPECT_TRUE(EndsAfterPowerLoss({}));
  EXPECT_FALSE(Without(&Policies::mTargetBindings, EndsAfterPowerLoss));
}

/** Returns the longest wait, in ms, of urgent tasks in a pool that is full of
 * less urgent work. */
std::int64_t
LongestUrgentWaitMs(WorkloadSimulationOptions aOptions)
{
  aOptions.mGuaranteed = 0;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("b", 5000);
  sim.Submit("b", "p2", OneStepSpec(200, 8000, 1, false));
  std::int64_t longest = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "u" + std::to_string(i);
    sim.Submit(id, "p0", OneStepSpec(1, 1000, 4, false));
    sim.RunFor(2000);
    // The demand has to be observed before headroom is kept for it.
    longest = i < 5 ? 0 : std::max(longest, sim.FirstStartMs(id));
  }
  return longest;
}

TEST(WorkloadPolicies, UrgentHeadroom)
{
  EXPECT_LT(LongestUrgentWaitMs({}),
            Without(&Policies::mUrgentHeadroom, LongestUrgentWaitMs));
}

/** Returns the starts of less urgent work that a large urgent workload without
 * a guarantee would stop for less work of its own. */
int
StartsOfLargeVictims(WorkloadSimulationOptions aOptions)
{
  aOptions.mGuaranteed = 0;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("v", 20000);
  sim.Submit("v", "p2", WholeWorkers(4));
  sim.RunFor(8000);
  sim.Submit("u", "p0", OneStepSpec(1, 1000, 1, false));
  sim.RunFor(30000);
  return sim.StartCount("v");
}

TEST(WorkloadPolicies, LossLimit)
{
  EXPECT_EQ(StartsOfLargeVictims({}), 4);
  EXPECT_EQ(Without(&Policies::mLossLimit, StartsOfLargeVictims), 5);
}

/** Returns the wait, in ms, of a task whose data is on a full rack. */
std::int64_t
WaitForDataMs(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  auto near = WholeWorkers(2);
  near.mSteps[0].mDataRack = base::RackId("r0");
  sim.SetRunTime("full", 10000);
  sim.Submit("full", "p1", near);
  sim.RunFor(500);
  near.mSteps[0].mCount = 1;
  sim.Submit("a", "p1", near);
  sim.RunFor(5000);
  return sim.FirstStartMs("a");
}

TEST(WorkloadPolicies, LocalityWait)
{
  EXPECT_GE(WaitForDataMs({}), 1000);
  EXPECT_LE(Without(&Policies::mLocalityWait, WaitForDataMs), 300);
}

/** Returns the starts of tasks, one at a time, beside a failing worker. */
int
StartsBesideAFailingWorker(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.MakeWorkerFail(0);
  sim.RunFor(500);
  int starts = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "t" + std::to_string(i);
    sim.SetRunTime(id, 100);
    sim.Submit(id, "p1", OneStepSpec(1, 8000, 1, false));
    sim.RunFor(700);
    starts += sim.StartCount(id);
  }
  return starts;
}

TEST(WorkloadPolicies, WorkerSuspicion)
{
  EXPECT_LT(StartsBesideAFailingWorker({}),
            Without(&Policies::mWorkerSuspicion, StartsBesideAFailingWorker));
}

/** Returns the starts of a run that is about to end when urgent work comes. */
int
StartsOfARunThatEndsSoon(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 1;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("v", 5000);
  sim.Submit("v", "p2", WholeWorkers(1));
  sim.RunFor(4300);
  sim.Submit("u", "p0", WholeWorkers(1));
  sim.RunFor(4000);
  return sim.StartCount("v");
}

TEST(WorkloadPolicies, AwaitSoonEnds)
{
  EXPECT_EQ(StartsOfARunThatEndsSoon({}), 1);
  EXPECT_EQ(Without(&Policies::mAwaitSoonEnds, StartsOfARunThatEndsSoon), 2);
}

/** Returns the starts of a run of priority 1 that has done less work than one
 * of priority 2 when one of them has to be stopped. */
int
StartsOfTheMoreUrgentVictim(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 2;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("p2", 60000);
  sim.SetRunTime("p1", 60000);
  sim.Submit("p2", "p2", WholeWorkers(1));
  sim.RunFor(2000);
  sim.Submit("p1", "p1", WholeWorkers(1));
  sim.RunFor(2000);
  sim.Submit("u", "p0", WholeWorkers(1));
  sim.RunFor(4000);
  return sim.StartCount("p1");
}

TEST(WorkloadPolicies, PriorityWeight)
{
  EXPECT_EQ(StartsOfTheMoreUrgentVictim({}), 1);
  EXPECT_EQ(Without(&Policies::mPriorityWeight, StartsOfTheMoreUrgentVictim),
            2);
}

/** Returns whether a long-running task starts before one of a more urgent
 * queue. */
bool
LongRunningStartsFirst(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 1;
  WorkloadSimulation sim(aOptions);
  auto spec = WholeWorkers(1);
  sim.Submit("other", "p1", spec);
  spec.mSteps[0].mLongRunning = true;
  sim.Submit("long", "p2", spec);
  sim.RunFor(500);
  return sim.StartCount("long") > 0 && sim.StartCount("other") == 0;
}

TEST(WorkloadPolicies, LongRunningFirst)
{
  EXPECT_TRUE(LongRunningStartsFirst({}));
  EXPECT_FALSE(Without(&Policies::mLongRunningFirst, LongRunningStartsFirst));
}

/** Returns whether guaranteed work starts before older urgent work that exceeds
 * the guarantee. */
bool
GuaranteedStartsFirst(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 1;
  aOptions.mGuaranteed = 8;
  WorkloadSimulation sim(aOptions);
  sim.Submit("large", "p0", WholeWorkers(2));
  sim.RunFor(10);
  sim.Submit("small", "p0", WholeWorkers(1));
  sim.RunFor(500);
  return sim.StartCount("small") > 0 && sim.StartCount("large") == 0;
}

TEST(WorkloadPolicies, GuaranteedFirst)
{
  EXPECT_TRUE(GuaranteedStartsFirst({}));
  EXPECT_FALSE(Without(&Policies::mGuaranteedFirst, GuaranteedStartsFirst));
}

/** Returns the starts of a gang that needs both workers, beside small tasks
 * whose ends are spread over time. */
int
StartsOfAWideGang(WorkloadSimulationOptions aOptions)
{
  aOptions.mWorkers = 2;
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  for (int i = 0; i < 60; ++i) {
    const auto id = "small" + std::to_string(i);
    sim.SetRunTime(id, 2000 + 130 * (i % 16));
    sim.Submit(id, "p2", OneStepSpec(1, 1000, 1, false));
  }
  sim.Submit("gang", "p1", OneStepSpec(2, 1000, 8, true));
  sim.RunFor(6000);
  return sim.StartCount("gang");
}

TEST(WorkloadPolicies, Reservations)
{
  EXPECT_EQ(StartsOfAWideGang({}), 2);
  EXPECT_EQ(Without(&Policies::mReservations, StartsOfAWideGang), 0);
}

/** Returns the starts of small tasks beside more urgent ones that fill the
 * pool.
 */
int
StartsBesideMoreUrgentTasks(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  sim.SetRunTime("urgent", 1000);
  sim.SetRunTime("least", 1000);
  sim.Submit("urgent", "p1", OneStepSpec(400, 1000, 1, false));
  sim.Submit("least", "p2", OneStepSpec(100, 1000, 1, false));
  sim.RunFor(5000);
  return sim.StartCount("least");
}

// The pool of 32 accelerators has room for 128 to 160 tasks in this time, of
// which a quarter is the share of the least urgent queue.
TEST(WorkloadPolicies, FairShares)
{
  EXPECT_GE(StartsBesideMoreUrgentTasks({}), 32);
  EXPECT_LT(Without(&Policies::mFairShares, StartsBesideMoreUrgentTasks), 32);
}

} // namespace
} // namespace dogwooddrum::tests
