// Guards against ends of runs that an agent reports late or not at all: an end
// must be reported at once, also after the target has left.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const protocol::TargetIncarnation kTargetIncarnation{ "i-1", 1000 };
const protocol::RunId kRun = FirstRunOfA();

WorkerAgent
MakeAgent()
{
  WorkerAgent agent({});
  protocol::TargetInfo info;
  info.mTargetIncarnation = kTargetIncarnation;
  agent.OnAnnounced(info, 1, At(0));
  protocol::WorkerOrders orders;
  orders.mTerm = base::Term(1);
  orders.mFencingToken = protocol::FencingToken(1);
  orders.mSequence = 1;
  orders.mTargetIncarnation = kTargetIncarnation;
  orders.mLeaseUntilUs = 6000000;
  orders.mStarts.push_back({ kRun, "payload", "" });
  agent.OnOrders(orders, At(0));
  return agent;
}

protocol::EndedTask
Done()
{
  protocol::EndedTask ended;
  ended.mNumber = 1;
  ended.mRun = kRun;
  ended.mEnd = protocol::RunEnd::Done;
  return ended;
}

// A run that moved from the running to the ended tasks did not count as a
// change, since both lists named the same run; its end was reported 400 ms
// later.
TEST(WorkerAgentReports, ReportsThatTheOnlyRunEnded)
{
  auto agent = MakeAgent();
  EXPECT_TRUE(agent.OnListing(kTargetIncarnation, 0, {}, {}, At(10), At(11)));
  EXPECT_TRUE(agent.OnListing(
    kTargetIncarnation, 100, { { kRun, "", 100 } }, {}, At(110), At(111)));
  EXPECT_FALSE(agent.OnListing(
    kTargetIncarnation, 200, { { kRun, "", 100 } }, {}, At(210), At(211)));
  EXPECT_TRUE(
    agent.OnListing(kTargetIncarnation, 300, {}, { Done() }, At(310), At(311)));
}

// The end of the last run was dropped when the target left, and the run was
// started again elsewhere.
TEST(WorkerAgentReports, KeepsTheLastEndsOfATargetThatLeft)
{
  auto agent = MakeAgent();
  agent.OnListing(kTargetIncarnation, 300, {}, { Done() }, At(310), At(311));
  agent.OnLeaveMessage(kTargetIncarnation.mInstance, At(312));
  EXPECT_FALSE(agent.OnConnectionRefused(kTargetIncarnation, At(313)));
  EXPECT_TRUE(agent.OnConnectionRefused(kTargetIncarnation, At(413)));
  const auto report = agent.MakeReport(At(320));
  EXPECT_FALSE(report.mTarget);
  ASSERT_EQ(report.mEndedIncarnations.size(), 1U);
  ASSERT_EQ(report.mEndedIncarnations[0].mEnded.size(), 1U);
  EXPECT_EQ(report.mEndedIncarnations[0].mEnded[0].mRun, kRun);
}

// One refused connection, which may have been reset while it was opened, ended
// a target that listed its runs before and after it.
TEST(WorkerAgentReports, RefusalsBetweenListsShowNoEnd)
{
  auto agent = MakeAgent();
  agent.OnLeaveMessage(kTargetIncarnation.mInstance, At(312));
  for (std::int64_t ms = 400; ms < 2000; ms += 400) {
    EXPECT_FALSE(agent.OnConnectionRefused(kTargetIncarnation, At(ms)));
    agent.OnListing(kTargetIncarnation, ms, {}, {}, At(ms + 1), At(ms + 2));
  }
  EXPECT_TRUE(agent.MakeReport(At(3000)).mTarget);
}

TEST(WorkerAgentReports, SchedulerTakesAnEndOfATargetThatLeft)
{
  State state;
  state.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  accept.mRequest.mSpec.mSteps.resize(1);
  state.Apply(Change{ accept });
  state.Apply(Change{ StartRuns{ { { kRun, kTargetIncarnation } } } });
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  auto agent = MakeAgent();
  agent.OnListing(kTargetIncarnation, 300, {}, { Done() }, At(310), At(311));
  agent.OnLeaveMessage(kTargetIncarnation.mInstance, At(312));
  EXPECT_FALSE(agent.OnConnectionRefused(kTargetIncarnation, At(313)));
  EXPECT_TRUE(agent.OnConnectionRefused(kTargetIncarnation, At(413)));
  scheduler.OnReport(Session(1), agent.MakeReport(At(320)), At(321));
  const auto output = scheduler.TakeOutput(At(321));
  for (const Change& change : output.mChanges) {
    state.Apply(change);
  }
  EXPECT_EQ(state.Find(protocol::WorkloadId("a"))->mPhase,
            protocol::WorkloadPhase::Complete);
}

} // namespace
} // namespace dogwooddrum::tests
