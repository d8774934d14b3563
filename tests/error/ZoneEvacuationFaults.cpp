// Guards evacuations of availability zones against orders that are late, agents
// that were paused or cut off, and leaders that have changed.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "tests/support/TargetMessages.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

constexpr std::int64_t kEvacuationMs = 5000;
const protocol::TargetIncarnation kTarget{ "i-1", 1000 };

WorkloadSimulationOptions
TwoZones()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 4;
  options.mWorkersPerZone = 2;
  options.mEvacuationMs = kEvacuationMs;
  return options;
}

/** Agent with a target and a start order that it may send until aUntilMs. */
WorkerAgent
AgentWithStart(std::int64_t aUntilMs)
{
  WorkerAgentOptions options;
  options.mIncarnation = base::Incarnation(1);
  WorkerAgent agent(options);
  agent.OnAnnounced(TargetInfoOf(kTarget), 1, At(1000));
  protocol::WorkerOrders orders;
  orders.mTerm = base::Term(1);
  orders.mSequence = 1;
  orders.mFencingToken = protocol::FencingToken(2000);
  orders.mTargetIncarnation = kTarget;
  orders.mLeaseUntilUs = 20'000'000;
  orders.mStartsUntilUs = aUntilMs * 1000;
  orders.mStarts.push_back({ FirstRunOfA(), "", "" });
  agent.OnOrders(orders, At(1000));
  return agent;
}

// The agent's process stood still while the zone was evacuated; the lease of
// its target was still valid when it went on.
TEST(ZoneEvacuationFaults, AgentSendsNoStartAfterTheLimitOfItsOrders)
{
  auto agent = AgentWithStart(3500);
  agent.OnListing(kTarget, 500, {}, {}, At(4000), At(4000));
  EXPECT_FALSE(agent.NextOrder(At(4000)));
  EXPECT_EQ(agent.NextOrderAt(), At(0)) << "the start is still due";
}

TEST(ZoneEvacuationFaults, AgentSendsStartsWithinTheLimitOrWithoutOne)
{
  for (const std::int64_t untilMs : { 3500, 0 }) {
    auto agent = AgentWithStart(untilMs);
    agent.OnListing(kTarget, 500, {}, {}, At(3000), At(3000));
    const auto call = agent.NextOrder(At(3500));
    ASSERT_TRUE(call);
    EXPECT_TRUE(call->mIsStart);
  }
}

// Orders that arrive in a burst after a pause of the leader or of the agent
// carry the limits of the reports that they answered.
TEST(ZoneEvacuationFaults, LateOrdersOfAnEarlierReportDoNotExtendTheLimit)
{
  auto agent = AgentWithStart(3500);
  protocol::WorkerOrders orders;
  orders.mTerm = base::Term(1);
  orders.mSequence = 2;
  orders.mFencingToken = protocol::FencingToken(2000);
  orders.mTargetIncarnation = kTarget;
  orders.mLeaseUntilUs = 20'000'000;
  orders.mStartsUntilUs = 3'600'000;
  orders.mStarts.push_back({ FirstRunOfA(), "", "" });
  agent.OnOrders(orders, At(4000));
  agent.OnListing(kTarget, 500, {}, {}, At(4000), At(4000));
  EXPECT_FALSE(agent.NextOrder(At(4000)));
}

// The limit comes from the report alone: orders that the leader sends later,
// also after a pause, must not extend it.
TEST(ZoneEvacuationFaults, LeaderLimitsStartsByReportsAndRepeatsNoneInTheZone)
{
  State state;
  Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(1);
  catalog.mPools.push_back({ protocol::PoolName("pool"), false, false });
  protocol::Queue queue;
  queue.mName = protocol::QueueName("queue");
  queue.mPool = protocol::PoolName("pool");
  catalog.mQueues.push_back(queue);
  state.Apply(Change{ AdoptCatalog{ catalog } });
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  accept.mRequest.mQueue.mName = queue.mName;
  accept.mRequest.mSpec = OneStepSpec(1, 1000, 0, false);
  state.Apply(Change{ accept });
  state.Apply(Change{ StartRuns{ { { FirstRunOfA(), kTarget } } } });
  WorkloadSchedulerOptions options;
  options.mEvacuationTime = base::Milliseconds(kEvacuationMs);
  WorkloadScheduler scheduler(options, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  const auto ordersAt = [&scheduler](std::int64_t aMs) {
    protocol::WorkerOrders orders;
    for (const auto& message : scheduler.TakeOutput(At(aMs)).mMessages) {
      orders = std::get<protocol::WorkerOrders>(message.mBody);
    }
    return orders;
  };
  protocol::WorkerReport report;
  report.mAgent = base::Incarnation(1);
  report.mAgentName = "agent";
  report.mSequence = 1;
  report.mSentAtUs = 900'000'000;
  report.mTarget = TargetInfoOf(kTarget, { 4000, 4000, 0 });
  report.mTarget->mZone = base::ZoneId("north");
  report.mHasRunLists = true;
  scheduler.OnReport(Session(1), report, At(10));
  const auto first = ordersAt(10);
  EXPECT_EQ(first.mStarts.size(), 1U);
  EXPECT_EQ(first.mStartsUntilUs, 902'500'000);
  const Change evacuate{ RecordEvacuation{ base::ZoneId("north"), true } };
  state.Apply(evacuate);
  scheduler.OnApplied(evacuate, At(4000));
  const auto second = ordersAt(4000);
  EXPECT_GT(second.mSequence, first.mSequence);
  EXPECT_TRUE(second.mStarts.empty());
  EXPECT_EQ(second.mStartsUntilUs, 902'500'000);
  EXPECT_EQ(second.mStops.size(), 1U) << "the start may be on its way";
  // A start that was proposed before the evacuation and is committed after it.
  accept.mRequest.mId = protocol::WorkloadId("b");
  state.Apply(Change{ accept });
  const Change late{ StartRuns{
    { { { { accept.mRequest.mId, 0, 0, 0 }, protocol::RunNumber(1) },
        kTarget } } } };
  state.Apply(late);
  scheduler.OnApplied(late, At(4010));
  const auto third = ordersAt(4010);
  EXPECT_GT(third.mSequence, second.mSequence);
  EXPECT_TRUE(third.mStarts.empty());
}

TEST(ZoneEvacuationFaults, StartOnItsWayToAPausedAgentIsNotBegun)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.Submit("a", "p1", OneStepSpec(4, 1000, 8, false));
  sim.PauseAgent(0, 5600);
  sim.PauseAgent(1, 5600);
  sim.RunFor(100);
  sim.SetEvacuation("z0", true);
  sim.RunFor(20000);
  EXPECT_TRUE(sim.Violations().empty()) << sim.Violations().front();
  EXPECT_EQ(sim.WorkersOf("a"), (std::set<std::size_t>{ 2, 3 }));
  EXPECT_EQ(sim.Phase("a"), protocol::WorkloadPhase::Complete)
    << "the starts were withdrawn and made elsewhere";
}

// The orders of the last report before the evacuation reach the agent so late
// that the zone has been evacuated for longer than runs may still begin.
TEST(ZoneEvacuationFaults, StartOrdersDelayedOnALinkAreNotCarriedOut)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.DelayOrders(0, 5500);
  sim.DelayOrders(1, 5500);
  sim.Submit("a", "p1", OneStepSpec(4, 1000, 8, false));
  sim.RunFor(50);
  sim.SetEvacuation("z0", true);
  sim.RunFor(20000);
  EXPECT_TRUE(sim.Violations().empty()) << sim.Violations().front();
  EXPECT_EQ(sim.Phase("a"), protocol::WorkloadPhase::Complete);
}

TEST(ZoneEvacuationFaults, GangWithAMemberThatWasNotStartedMovesAsAWhole)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetRunTime("gang", 6000);
  sim.DelayOrders(0, 400);
  sim.SetEvacuation("z1", true);
  sim.Submit("gang", "p1", OneStepSpec(2, 1000, 8, true));
  sim.RunFor(200);
  sim.SetEvacuation("z1", false);
  sim.SetEvacuation("z0", true);
  sim.RunFor(12000);
  EXPECT_TRUE(sim.Violations().empty()) << sim.Violations().front();
  EXPECT_EQ(sim.Phase("gang"), protocol::WorkloadPhase::Complete);
  EXPECT_EQ(sim.WorkersOf("gang").count(2), 1U);
  EXPECT_EQ(sim.WorkersOf("gang").count(3), 1U);
}

TEST(ZoneEvacuationFaults, NewLeaderKeepsItAndStopsNoRunAtWork)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetRunTime("long", 9000);
  sim.Submit("long", "p1", OneStepSpec(4, 1000, 4, false));
  sim.RunFor(1000);
  sim.SetEvacuation("z0", true);
  sim.ChangeLeader();
  sim.Submit("next", "p1", OneStepSpec(4, 1000, 4, false));
  sim.RunFor(3000);
  EXPECT_EQ(sim.StartCount("long"), 4);
  EXPECT_EQ(sim.WorkersOf("next"), (std::set<std::size_t>{ 2, 3 }));
  sim.SetEvacuation("z0", false);
  sim.ChangeLeader();
  sim.RunFor(1000);
  EXPECT_TRUE(sim.EvacuatedZones().empty());
  EXPECT_TRUE(sim.Violations().empty());
}

// Evacuations and withdrawals at any time, beside leaders that change and go on
// without knowing it, agents that are paused or cut off, and late orders.
TEST(ZoneEvacuationFaults, RandomFaultsStartNothingInAnEvacuatedZone)
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    auto options = TwoZones();
    options.mSeed = seed;
    options.mFaults.mLostMessages = 0.05;
    options.mFaults.mUnansweredOrders = 0.1;
    options.mFaults.mLeaderChange = 0.002;
    options.mFaults.mDeposedLeaders = 1;
    options.mFaults.mAgentPause = 0.002;
    options.mFaults.mAgentDisconnect = 0.0005;
    options.mFaults.mLateReports = 0.1;
    WorkloadSimulation sim(options);
    sim.RunFor(500);
    std::mt19937_64 random(seed);
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i) {
      ids.push_back("w" + std::to_string(i));
      sim.Submit(ids.back(),
                 "p" + std::to_string(random() % 3),
                 OneStepSpec(1 + random() % 3, 1000, 4, random() % 2 == 0));
      sim.SetEvacuation(random() % 2 == 0 ? "z0" : "z1", random() % 3 > 0);
      sim.RunFor(static_cast<std::int64_t>(random() % 3000));
    }
    sim.ClearFaults();
    sim.SetEvacuation("z0", false);
    sim.SetEvacuation("z1", false);
    sim.RunFor(60000);
    for (const std::string& violation : sim.Violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    for (const std::string& id : ids) {
      EXPECT_EQ(sim.Phase(id), protocol::WorkloadPhase::Complete)
        << "seed " << seed << ": " << id;
    }
  }
}

} // namespace
} // namespace dogwooddrum::tests
