// Guards against an announcement of an earlier incarnation that arrives after
// the clock of its VM was set back: start times do not show the order then.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const TargetIncarnation kEarlier{ "i-earlier", 5000 };
const TargetIncarnation kPresent{ "i-present", 3000 };
const protocol::RunId kRun = FirstRunOfA();

// An agent that had restarted took a late announcement of an earlier target for
// its next one, and the leader gave up the runs of the present target, which
// was listed all the time.
TEST(DelayedAnnouncements, AnnouncementFromBeforeAClockStepEndsNoRun)
{
  State state;
  state.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  accept.mRequest.mSpec.mSteps.resize(1);
  state.Apply(Change{ accept });
  state.Apply(Change{ StartRuns{ { { kRun, kPresent } } } });
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  WorkerAgent restarted({});
  restarted.OnAnnounced(TargetInfoOf(kPresent), 8, At(10));
  const auto list = [&](std::int64_t aMs) {
    restarted.OnListing(
      kPresent, aMs, { { kRun, "", 50 } }, {}, At(aMs), At(aMs + 1));
    scheduler.OnReport(
      Session(1), restarted.MakeReport(At(aMs + 2)), At(aMs + 3));
  };
  list(100);
  restarted.OnAnnounced(TargetInfoOf(kEarlier), 7, At(200));
  list(300);
  for (const Change& change : scheduler.TakeOutput(At(310)).mChanges) {
    EXPECT_FALSE(std::holds_alternative<EndRun>(change.mBody));
  }
}

// An agent ignored a target whose VM had its clock set back before the start,
// for as long as the agent's process lasted.
TEST(DelayedAnnouncements, TargetThatStartsAfterAClockStepIsFound)
{
  WorkerAgent agent({});
  agent.OnAnnounced(TargetInfoOf(kEarlier), 1, At(0));
  agent.OnListing(kEarlier, 10, {}, {}, At(10), At(11));
  std::uint64_t sequence = 0;
  for (std::int64_t ms = 1000; ms < 60000; ms += 1500) {
    agent.OnAnnounced(TargetInfoOf(kPresent), ++sequence, At(ms));
  }
  EXPECT_EQ(agent.Target()->mTargetIncarnation, kPresent);
}

// An agent that restarted computed its token from a start time that was set
// back, and its target rejected each call.
TEST(DelayedAnnouncements, AgentRaisesATokenThatItsTargetRejects)
{
  constexpr std::uint64_t kSeenByTarget = 90000;
  WorkerAgent restarted({});
  restarted.OnAnnounced(TargetInfoOf(kPresent), 8, At(10));
  for (int i = 0; i < 10; ++i) {
    const auto renewal = restarted.NextRenewal(At(20));
    ASSERT_TRUE(renewal);
    if (renewal->mFencingToken.Value() < kSeenByTarget) {
      restarted.OnTokenRejected(renewal->mFencingToken);
    }
  }
  EXPECT_GE(restarted.NextRenewal(At(30))->mFencingToken.Value(),
            kSeenByTarget);
}

} // namespace
} // namespace dogwooddrum::tests
