// Guards against a lease or new work for a target that left before its agent
// restarted, and against start orders of an agent that was paused until after
// the end of its lease.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const TargetIncarnation kTargetIncarnation{ "i-1", 1000 };
const protocol::RunId kRun = FirstRunOfA();

protocol::TargetInfo
MakeTargetInfo()
{
  protocol::TargetInfo info;
  info.mTargetIncarnation = kTargetIncarnation;
  info.mPool = protocol::PoolName("pool");
  info.mCapacity = { 4000, 4000, 8 };
  return info;
}

/** State with one queue and one waiting workload. */
State
StateWithWaitingWork()
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
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  accept.mRequest.mQueue.mName = protocol::QueueName("queue");
  protocol::WorkloadStep step;
  step.mTaskResources = { 1000, 100, 1 };
  accept.mRequest.mSpec.mSteps.push_back(step);
  state.Apply(Change{ accept });
  return state;
}

struct Decision
{
  std::size_t mStarts = 0;
  std::int64_t mLeaseUntilUs = 0;
};

Decision
Decide(WorkloadScheduler& aScheduler, std::int64_t aMs)
{
  Decision decision;
  const auto output = aScheduler.TakeOutput(At(aMs));
  for (const Change& change : output.mChanges) {
    decision.mStarts += std::holds_alternative<StartRuns>(change.mBody) ? 1 : 0;
  }
  for (const auto& message : output.mMessages) {
    if (const auto* orders =
          std::get_if<protocol::WorkerOrders>(&message.mBody)) {
      decision.mLeaseUntilUs = orders->mLeaseUntilUs;
    }
  }
  return decision;
}

// A late announcement of a target that had left reached an agent that had
// restarted since. The leader placed work there, and the agent's reports
// renewed the lease forever.
TEST(ExpiredLeases, TargetThatHasLeftGetsNoWorkAfterItsAgentRestarted)
{
  const State state = StateWithWaitingWork();
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  WorkerAgent restarted({});
  restarted.OnAnnounced(MakeTargetInfo(), 7, At(0));
  for (std::int64_t ms = 100; ms < 20000; ms += 500) {
    scheduler.OnReport(Session(1), restarted.MakeReport(At(ms)), At(ms));
    const Decision decision = Decide(scheduler, ms);
    ASSERT_EQ(decision.mStarts, 0U) << "at " << ms << " ms";
    ASSERT_EQ(decision.mLeaseUntilUs, 0) << "at " << ms << " ms";
  }
}

TEST(ExpiredLeases, TargetGetsWorkOnceItsAgentHasListedIt)
{
  const State state = StateWithWaitingWork();
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  WorkerAgent restarted({});
  restarted.OnAnnounced(MakeTargetInfo(), 7, At(0));
  restarted.OnListing(kTargetIncarnation, 500, {}, {}, At(50), At(60));
  scheduler.OnReport(Session(1), restarted.MakeReport(At(100)), At(100));
  EXPECT_EQ(Decide(scheduler, 100).mStarts, 1U);
}

TEST(ExpiredLeases, AgentThatWasPausedBeyondItsLeaseSendsNoStart)
{
  WorkerAgent agent({});
  agent.OnAnnounced(MakeTargetInfo(), 1, At(0));
  agent.OnListing(kTargetIncarnation, 0, {}, {}, At(0), At(1));
  protocol::WorkerOrders orders;
  orders.mTerm = base::Term(1);
  orders.mFencingToken = protocol::FencingToken(1);
  orders.mSequence = 1;
  orders.mTargetIncarnation = kTargetIncarnation;
  orders.mLeaseUntilUs = 6000000;
  orders.mStarts.push_back({ kRun, "payload", "" });
  agent.OnOrders(orders, At(10));
  // Paused from here to 8 s.
  EXPECT_FALSE(agent.NextOrder(At(8000)));
  const auto renewal = agent.NextRenewal(At(8000));
  ASSERT_TRUE(renewal);
  EXPECT_FALSE(renewal->mLeaseUntilMs) << "the lease has run out";
}

} // namespace
} // namespace dogwooddrum::tests
