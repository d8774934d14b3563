// Guards against wrong conclusions from the ends that a target lists: the list
// is limited, and an end is acknowledged only after it is committed.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const TargetIncarnation kTarget{ "i-1", 1000 };
const protocol::RunId kRun = FirstRunOfA();

protocol::EndedTask
EndOf(const protocol::RunId& aRun, std::uint64_t aNumber)
{
  protocol::EndedTask ended;
  ended.mNumber = aNumber;
  ended.mRun = aRun;
  ended.mEnd = RunEnd::Done;
  return ended;
}

std::size_t
NeverRanCount(WorkerAgent& aAgent)
{
  const auto report = aAgent.MakeReport(At(100));
  return static_cast<std::size_t>(std::count_if(
    report.mEnded.begin(), report.mEnded.end(), [](const auto& aEnded) {
      return aEnded.mEnd == RunEnd::NeverRan;
    }));
}

// A target lists at most 500 ends at a time. A run whose end was not among them
// was reported as never started, and its task was started again.
TEST(ListedEnds, RunIsNotReportedAsNeverRanWhileMoreEndsMayFollow)
{
  WorkerAgent agent({});
  protocol::TargetInfo info;
  info.mTargetIncarnation = kTarget;
  agent.OnAnnounced(info, 1, At(0));
  protocol::WorkerOrders orders;
  orders.mTerm = base::Term(1);
  orders.mFencingToken = protocol::FencingToken(1);
  orders.mSequence = 1;
  orders.mTargetIncarnation = kTarget;
  orders.mStops.push_back(kRun);
  agent.OnOrders(orders, At(0));
  const auto stop = agent.NextOrder(At(10));
  ASSERT_TRUE(stop);
  agent.OnAnswered(*stop, OrderOutcome::Done, "", At(20));
  std::vector<protocol::EndedTask> ends;
  for (std::uint32_t i = 1; i <= 500; ++i) {
    ends.push_back(EndOf(
      { { protocol::WorkloadId("b"), 0, 0, i }, protocol::RunNumber(1) }, i));
  }
  agent.OnListing(kTarget, 0, {}, ends, At(30), At(31));
  EXPECT_EQ(NeverRanCount(agent), 0U);
  ends.pop_back();
  agent.OnListing(kTarget, 0, {}, ends, At(40), At(41));
  EXPECT_EQ(NeverRanCount(agent), 1U);
}

// The listed end of a run that the leader had given up was acknowledged before
// any end of it was committed, so that the next leader knew of none.
TEST(ListedEnds, EndIsNotAcknowledgedBeforeAnyEndOfTheRunIsCommitted)
{
  State state;
  state.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  accept.mRequest.mSpec.mSteps.resize(1);
  state.Apply(Change{ accept });
  state.Apply(Change{ StartRuns{ { { kRun, kTarget } } } });
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  // No report for longer than a lease: the end is proposed, but not committed.
  scheduler.Tick(At(10000));
  const auto changes = scheduler.TakeOutput(At(10000)).mChanges;
  ASSERT_EQ(changes.size(), 1U);
  protocol::WorkerReport report;
  report.mAgent = base::Incarnation(1);
  report.mAgentName = "agent";
  report.mSequence = 1;
  report.mTarget = protocol::TargetInfo();
  report.mTarget->mTargetIncarnation = kTarget;
  report.mHasRunLists = true;
  report.mEnded.push_back(EndOf(kRun, 1));
  scheduler.OnReport(Session(1), report, At(10010));
  const auto acknowledged = [&](std::int64_t aMs) {
    std::uint64_t highest = 0;
    for (const auto& message : scheduler.TakeOutput(At(aMs)).mMessages) {
      if (const auto* orders =
            std::get_if<protocol::WorkerOrders>(&message.mBody)) {
        highest = std::max(highest, orders->mAcknowledged);
      }
    }
    return highest;
  };
  EXPECT_EQ(acknowledged(10010), 0U);
  state.Apply(changes[0]);
  scheduler.OnApplied(changes[0], At(10020));
  EXPECT_EQ(acknowledged(10020), 1U);
}

} // namespace
} // namespace dogwooddrum::tests
