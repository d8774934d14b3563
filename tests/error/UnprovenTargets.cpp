// Guards against an announcement that is taken for a proof: it may come from
// another writer, from another VM, or from a target that is gone, and ends no
// run of the target that the agent lists.
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const TargetIncarnation kPresent{ "i-present", 3000 };
const TargetIncarnation kOther{ "i-other", 5000 };
const TargetIncarnation kRestarted{ "i-present", 5000 };
const char* const kPresentAddress = "10.0.0.1:8080";
const char* const kOtherAddress = "10.0.0.2:8080";
const protocol::RunId kRun = FirstRunOfA();

/** A leader whose state holds one run on kPresent, and its agent. */
class UnprovenTargets : public testing::Test
{
protected:
  UnprovenTargets()
    : mScheduler({}, mState)
    , mAgent(MakeOptions())
  {
    mState.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
    Accept accept;
    accept.mRequest.mId = protocol::WorkloadId("a");
    accept.mRequest.mSpec.mSteps.resize(1);
    mState.Apply(Change{ accept });
    mState.Apply(Change{ BindTarget{ "agent", kPresent } });
    mState.Apply(Change{ StartRuns{ { { kRun, kPresent } } } });
    mScheduler.BecomeLeader(base::Term(1), At(0));
  }

  static WorkerAgentOptions MakeOptions()
  {
    WorkerAgentOptions options;
    options.mName = "agent";
    options.mIncarnation = base::Incarnation(7);
    return options;
  }

  void Announce(const TargetIncarnation& aTarget,
                const char* aAddress,
                std::int64_t aMs)
  {
    mAgent.OnAnnounced(TargetInfoOf(aTarget), ++mSequence, At(aMs), aAddress);
  }

  /** Makes kPresent known to the agent and the leader, which grants a lease of
   * 6 s from 110 ms on. */
  void StartPresent()
  {
    Announce(kPresent, kPresentAddress, 0);
    List(kPresent, 100);
    EXPECT_EQ(EndsAfterReport(110), 0U);
  }

  void List(const TargetIncarnation& aTarget, std::int64_t aMs)
  {
    mAgent.OnListing(
      aTarget, aMs, { { kRun, "", 50 } }, {}, At(aMs), At(aMs + 1));
  }

  /** Reports to the leader; returns the number of ends that it proposes, and
   * hands its orders to the agent. */
  std::size_t EndsAfterReport(std::int64_t aMs)
  {
    mScheduler.OnReport(Session(1), mAgent.MakeReport(At(aMs)), At(aMs));
    mScheduler.Tick(At(aMs));
    std::size_t ends = 0;
    const auto output = mScheduler.TakeOutput(At(aMs));
    for (const Change& change : output.mChanges) {
      ends += std::holds_alternative<EndRun>(change.mBody) ? 1 : 0;
    }
    for (const auto& message : output.mMessages) {
      if (const auto* orders =
            std::get_if<protocol::WorkerOrders>(&message.mBody)) {
        mAgent.OnOrders(*orders, At(aMs));
      }
    }
    return ends;
  }

  /** Answers the probe that is due, as only aAnswering would. Returns whether
   * the present target was replaced. */
  bool Probe(const TargetIncarnation& aAnswering, std::int64_t aMs)
  {
    const auto probe = mAgent.NextProbe(At(aMs));
    EXPECT_TRUE(probe);
    return probe && mAgent.OnProbed(probe->mTargetIncarnation,
                                    probe->mTargetIncarnation == aAnswering,
                                    At(aMs));
  }

  State mState;
  WorkloadScheduler mScheduler;
  WorkerAgent mAgent;
  std::uint64_t mSequence = 0;
};

// One heartbeat of another writer replaced the target that the agent listed,
// and the leader started its runs elsewhere while they worked on.
TEST_F(UnprovenTargets, TargetThatDoesNotAnswerReplacesNone)
{
  StartPresent();
  Announce(kOther, kOtherAddress, 200);
  for (std::int64_t ms = 300; ms < 20000; ms += 400) {
    List(kPresent, ms);
    if (const auto probe = mAgent.NextProbe(At(ms))) {
      EXPECT_FALSE(mAgent.OnProbed(probe->mTargetIncarnation, false, At(ms)));
    }
    ASSERT_EQ(EndsAfterReport(ms + 10), 0U) << "at " << ms << " ms";
  }
  EXPECT_EQ(mAgent.Target()->mTargetIncarnation, kPresent);
}

// A heartbeat that reaches the agent of another VM names a target that answers.
TEST_F(UnprovenTargets, TargetElsewhereReplacesNoneThatIsListed)
{
  Announce(kPresent, kPresentAddress, 0);
  for (std::int64_t ms = 100; ms < 20000; ms += 400) {
    List(kPresent, ms);
    Announce(kOther, kOtherAddress, ms + 5);
    if (const auto probe = mAgent.NextProbe(At(ms + 6))) {
      EXPECT_FALSE(mAgent.OnProbed(kOther, true, At(ms + 6)));
    }
    ASSERT_EQ(EndsAfterReport(ms + 10), 0U) << "at " << ms << " ms";
  }
}

// A heartbeat that came while the agent's list was late ended the runs.
TEST_F(UnprovenTargets, SilentTargetKeepsItsRunsUntilItsLeaseEnds)
{
  StartPresent();
  for (std::int64_t ms = 1600; ms < 6000; ms += 1500) {
    Announce(kOther, kOtherAddress, ms);
    if (mAgent.NextProbe(At(ms))) {
      EXPECT_FALSE(mAgent.OnProbed(kOther, true, At(ms)));
    }
    ASSERT_EQ(EndsAfterReport(ms + 10), 0U) << "at " << ms << " ms";
  }
}

TEST_F(UnprovenTargets, TargetThatAnswersAtTheSameAddressReplacesThePresentOne)
{
  StartPresent();
  Announce(kOther, kPresentAddress, 200);
  EXPECT_TRUE(Probe(kOther, 201));
  EXPECT_EQ(mAgent.Target()->mTargetIncarnation, kOther);
  EXPECT_EQ(EndsAfterReport(210), 1U);
}

TEST_F(UnprovenTargets, TargetElsewhereReplacesOneThatRefusesConnections)
{
  StartPresent();
  Announce(kOther, kOtherAddress, 200);
  EXPECT_FALSE(Probe(kOther, 201));
  EXPECT_FALSE(mAgent.OnConnectionRefused(kPresent, At(300)));
  EXPECT_TRUE(mAgent.OnConnectionRefused(kPresent, At(400)));
  EXPECT_EQ(EndsAfterReport(410), 1U);
}

// The runs may have been started again under the id, so that they are stopped.
TEST_F(UnprovenTargets, TargetThatRestartedUnderItsIdStopsTheRuns)
{
  StartPresent();
  mSequence = 0;
  Announce(kRestarted, kPresentAddress, 200);
  EXPECT_TRUE(Probe(kRestarted, 201));
  EXPECT_EQ(EndsAfterReport(210), 0U);
  const auto stop = mAgent.NextOrder(At(220));
  ASSERT_TRUE(stop);
  EXPECT_FALSE(stop->mIsStart);
  EXPECT_TRUE(stop->mStart.mRun == kRun);
}

// An agent that had restarted heard of the other target first.
TEST_F(UnprovenTargets, RestartedAgentEndsNoRunsForATargetThatDoesNotAnswer)
{
  Announce(kOther, kOtherAddress, 0);
  EXPECT_EQ(EndsAfterReport(10), 0U);
  Announce(kPresent, kPresentAddress, 1000);
  Probe(kPresent, 1001);
  EXPECT_EQ(EndsAfterReport(1010), 0U);
  Announce(kPresent, kPresentAddress, 2500);
  List(kPresent, 2600);
  EXPECT_EQ(EndsAfterReport(2610), 0U);
  EXPECT_EQ(mAgent.Target()->mTargetIncarnation, kPresent);
}

// Two targets that take turns at one address replace each other at once.
TEST_F(UnprovenTargets, TargetsThatTakeTurnsAreFound)
{
  Announce(kPresent, kPresentAddress, 0);
  List(kPresent, 100);
  for (std::int64_t turn = 1; turn < 10; ++turn) {
    const TargetIncarnation next{ "i-turn-" + std::to_string(turn),
                                  3000 + (turn % 2 == 0 ? turn : -turn) };
    const auto ms = turn * 1000;
    Announce(next, kPresentAddress, ms);
    EXPECT_TRUE(Probe(next, ms + 1));
    EXPECT_EQ(mAgent.Target()->mTargetIncarnation, next);
  }
}

} // namespace
} // namespace dogwooddrum::tests
