// Guards against a start order that a target executes seconds after the order
// was withdrawn: its task must not run twice, and must not exceed the worker's
// resources.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;
using protocol::TargetIncarnation;

const TargetIncarnation kEarlier{ "i-1", 1000 };
const TargetIncarnation kPresent{ "i-1", 2000 };
const TargetIncarnation kOther{ "i-2", 1000 };
const protocol::Resources kCapacity{ 4000, 4000, 0 };
const protocol::TaskId kTask{ protocol::WorkloadId("a"), 0, 0, 0 };

protocol::WorkerReport
ReportOf(const TargetIncarnation& aTargetIncarnation,
         const std::vector<protocol::RunId>& aRunning)
{
  protocol::WorkerReport report;
  report.mAgent = base::Incarnation(aTargetIncarnation.mInstance.back());
  report.mAgentName = "agent of " + aTargetIncarnation.mInstance;
  report.mSequence = 1;
  report.mTarget = TargetInfoOf(aTargetIncarnation, kCapacity);
  report.mHasRunLists = true;
  for (const auto& run : aRunning) {
    report.mRunning.push_back({ run, "", 50 });
  }
  return report;
}

void
AcceptWorkload(State& aState, const char* aId, std::uint64_t aMilliCores)
{
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId(aId);
  accept.mRequest.mQueue.mName = protocol::QueueName("queue");
  protocol::WorkloadStep step;
  step.mCount = 1;
  step.mTaskResources = { aMilliCores, 100, 0 };
  accept.mRequest.mSpec.mSteps.push_back(step);
  aState.Apply(Change{ accept });
}

/** State of one queue and one workload "a" whose first run has ended. */
State
StateWithStoppedRun()
{
  State state;
  Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(1);
  catalog.mPools.push_back({ protocol::PoolName("pool"), false, false });
  protocol::Queue queue;
  queue.mName = protocol::QueueName("queue");
  queue.mPool = protocol::PoolName("pool");
  queue.mMaxAttempts = 3;
  catalog.mQueues.push_back(queue);
  state.Apply(Change{ AdoptCatalog{ catalog } });
  AcceptWorkload(state, "a", 3000);
  const protocol::RunId run{ kTask, protocol::RunNumber(1) };
  state.Apply(Change{ StartRuns{ { { run, kEarlier } } } });
  state.Apply(Change{ EndRun{ run, RunEnd::Stopped, "", 0 } });
  return state;
}

std::vector<StartRuns::Start>
StartsOf(WorkloadScheduler& aScheduler, std::int64_t aMs)
{
  std::vector<StartRuns::Start> starts;
  for (const Change& change : aScheduler.TakeOutput(At(aMs)).mChanges) {
    if (const auto* start = std::get_if<StartRuns>(&change.mBody)) {
      starts.insert(starts.end(), start->mStarts.begin(), start->mStarts.end());
    }
  }
  return starts;
}

TEST(DelayedStarts, ListedRunKeepsItsTaskFromStartingElsewhere)
{
  const State state = StateWithStoppedRun();
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  const protocol::RunId run{ kTask, protocol::RunNumber(1) };
  scheduler.OnReport(Session(1), ReportOf(kPresent, { run }), At(10));
  scheduler.OnReport(Session(2), ReportOf(kOther, {}), At(10));
  EXPECT_TRUE(StartsOf(scheduler, 20).empty());
  // The task starts once the target no longer lists the run.
  auto next = ReportOf(kPresent, {});
  next.mSequence = 2;
  scheduler.OnReport(Session(1), next, At(30));
  EXPECT_EQ(StartsOf(scheduler, 300).size(), 1U);
}

TEST(DelayedStarts, ListedRunOccupiesItsResources)
{
  State state = StateWithStoppedRun();
  AcceptWorkload(state, "b", 3000);
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  const protocol::RunId run{ kTask, protocol::RunNumber(1) };
  scheduler.OnReport(Session(1), ReportOf(kPresent, { run }), At(10));
  EXPECT_TRUE(StartsOf(scheduler, 20).empty())
    << "3000 of 4000 millicores are in use";
}

// The resources of a listed run were read from the spec of the listed step,
// without a check that the workload has that step.
TEST(DelayedStarts, ListedRunOfAnUnknownStepIsStopped)
{
  const State state = StateWithStoppedRun();
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  const protocol::RunId unknown{ { protocol::WorkloadId("a"), 0, 1000000, 0 },
                                 protocol::RunNumber(1) };
  scheduler.OnReport(Session(1), ReportOf(kPresent, { unknown }), At(10));
  const auto output = scheduler.TakeOutput(At(20));
  ASSERT_EQ(output.mChanges.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<BindTarget>(output.mChanges[0].mBody));
  EXPECT_TRUE(std::holds_alternative<StartRuns>(output.mChanges[1].mBody))
    << "the workload's own task starts";
  ASSERT_EQ(output.mMessages.size(), 1U);
  const auto& orders =
    std::get<protocol::WorkerOrders>(output.mMessages[0].mBody);
  ASSERT_EQ(orders.mStops.size(), 1U);
  EXPECT_TRUE(orders.mStops[0] == unknown);
}

// A new leader has earlier incarnations of a target only in the replicated
// runs. It let the leases of these runs expire while the present incarnation
// could still execute their starts.
TEST(DelayedStarts, NewLeaderStopsRunsOfAnEarlierIncarnation)
{
  State state = StateWithStoppedRun();
  const protocol::RunId run{ kTask, protocol::RunNumber(2) };
  state.Apply(Change{ StartRuns{ { { run, kEarlier } } } });
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(2), At(0));
  scheduler.OnReport(Session(1), ReportOf(kPresent, {}), At(10));
  const auto output = scheduler.TakeOutput(At(20));
  ASSERT_EQ(output.mMessages.size(), 1U);
  const auto& orders =
    std::get<protocol::WorkerOrders>(output.mMessages[0].mBody);
  ASSERT_EQ(orders.mStops.size(), 1U);
  EXPECT_TRUE(orders.mStops[0] == run);
}

// The first call to a new incarnation waited for the leader's token, while a
// delayed order to the earlier incarnation was still accepted.
TEST(DelayedStarts, AgentFencesANewIncarnationBeforeTheFirstOrder)
{
  WorkerAgent agent({});
  agent.OnAnnounced(TargetInfoOf(kPresent, kCapacity), 1, base::Time());
  const auto renewal = agent.NextRenewal(At(10));
  ASSERT_TRUE(renewal);
  EXPECT_GT(renewal->mFencingToken.Value(),
            protocol::FencingTokenOf(kEarlier).Value());
}

} // namespace
} // namespace dogwooddrum::tests
