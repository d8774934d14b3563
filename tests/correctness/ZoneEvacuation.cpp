// Guards the evacuation of availability zones by operators: what is started,
// what waits and what the leader replies, without faults.
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "dogwooddrum/protocol/CodecTemplates.h"
#include "tests/support/TargetMessages.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;
using protocol::WorkloadPhase;
using protocol::WorkloadReply;
using protocol::WorkloadResult;

constexpr std::int64_t kEvacuationMs = 5000;
const base::ZoneId kZone{ "north" };

WorkloadSimulationOptions
TwoZones()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 4;
  options.mWorkersPerZone = 2;
  options.mEvacuationMs = kEvacuationMs;
  return options;
}

/** Scheduler whose changes are committed by the test. */
struct Leader
{
  explicit Leader(std::set<base::ZoneId> aZones = {})
  {
    WorkloadSchedulerOptions options;
    options.mZones = std::move(aZones);
    mScheduler = std::make_unique<WorkloadScheduler>(options, mState);
    mScheduler->BecomeLeader(base::Term(1), At(0));
  }

  void Request(std::uint64_t aId, protocol::WorkloadRequestBody aBody)
  {
    protocol::WorkloadRequest request;
    request.mId = base::RequestId(aId);
    request.mBody = std::move(aBody);
    mScheduler->OnRequest(Session(1), request, At(10));
    Take();
  }

  /** Commits the oldest aCount changes that are not committed yet. */
  void Commit(std::size_t aCount = 1)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const Change change = mProposed.front();
      mProposed.erase(mProposed.begin());
      mState.Apply(change);
      mScheduler->OnApplied(change, At(20));
      Take();
    }
  }

  void Take()
  {
    auto output = mScheduler->TakeOutput(At(20));
    mProposed.insert(
      mProposed.end(), output.mChanges.begin(), output.mChanges.end());
    for (const auto& message : output.mMessages) {
      if (const auto* reply = std::get_if<WorkloadReply>(&message.mBody)) {
        mReplies.push_back(*reply);
      }
    }
  }

  State mState;
  std::unique_ptr<WorkloadScheduler> mScheduler;
  std::vector<Change> mProposed;
  std::vector<WorkloadReply> mReplies;
};

TEST(ZoneEvacuation, IsAnsweredOnceItIsCommitted)
{
  Leader leader({ kZone });
  leader.Request(1, protocol::SetZoneEvacuation{ kZone, true });
  EXPECT_TRUE(leader.mReplies.empty());
  leader.Commit();
  ASSERT_EQ(leader.mReplies.size(), 1U);
  EXPECT_EQ(leader.mReplies[0].mResult, WorkloadResult::Accepted);
  leader.Request(2, protocol::ListEvacuations{});
  ASSERT_EQ(leader.mReplies.size(), 2U);
  ASSERT_EQ(leader.mReplies[1].mEvacuatedZones.size(), 1U);
  EXPECT_EQ(leader.mReplies[1].mEvacuatedZones[0], kZone);
}

TEST(ZoneEvacuation, ResendsAndCrossingWithdrawalsAreEachAnsweredByTheirCommit)
{
  Leader leader({ kZone });
  leader.Request(1, protocol::SetZoneEvacuation{ kZone, true });
  leader.Request(2, protocol::SetZoneEvacuation{ kZone, true });
  leader.Request(3, protocol::SetZoneEvacuation{ kZone, false });
  leader.Request(4, protocol::SetZoneEvacuation{ kZone, true });
  std::vector<std::uint64_t> answered;
  for (int i = 0; i < 4; ++i) {
    leader.Commit();
    ASSERT_EQ(leader.mReplies.size(), static_cast<std::size_t>(i + 1));
    answered.push_back(leader.mReplies.back().mId.Value());
    EXPECT_EQ(leader.mState.EvacuatedZones().count(kZone), i == 2 ? 0U : 1U);
  }
  EXPECT_EQ(answered, (std::vector<std::uint64_t>{ 1, 2, 3, 4 }));
}

TEST(ZoneEvacuation, RequestOfADeposedLeaderIsRedirected)
{
  Leader leader({ kZone });
  leader.Request(1, protocol::SetZoneEvacuation{ kZone, true });
  leader.mScheduler->StepDown();
  const auto output = leader.mScheduler->TakeOutput(At(30));
  EXPECT_EQ(output.mRedirects.size(), 1U);
}

TEST(ZoneEvacuation, UnknownZoneIsRefused)
{
  Leader leader({ kZone });
  leader.Request(1, protocol::SetZoneEvacuation{ base::ZoneId("moon"), true });
  ASSERT_EQ(leader.mReplies.size(), 1U);
  EXPECT_EQ(leader.mReplies[0].mResult, WorkloadResult::Unknown);
  EXPECT_FALSE(leader.mReplies[0].mMessage.empty());
  EXPECT_TRUE(leader.mProposed.empty());
}

// A new leader has heard no agent, and the zone may have no target just now.
TEST(ZoneEvacuation, ZoneWithoutWorkersIsKnownFromSettingsOrAnEvacuation)
{
  Leader leader({ kZone });
  leader.mState.Apply(
    Change{ RecordEvacuation{ base::ZoneId("earlier"), true } });
  leader.Request(1,
                 protocol::SetZoneEvacuation{ base::ZoneId("earlier"), false });
  leader.Request(2, protocol::SetZoneEvacuation{ kZone, false });
  leader.Commit(2);
  ASSERT_EQ(leader.mReplies.size(), 2U);
  EXPECT_EQ(leader.mReplies[0].mResult, WorkloadResult::Accepted);
  EXPECT_EQ(leader.mReplies[1].mResult, WorkloadResult::Accepted);
  Leader withoutSettings;
  withoutSettings.Request(1, protocol::SetZoneEvacuation{ kZone, true });
  EXPECT_EQ(withoutSettings.mProposed.size(), 1U);
}

TEST(ZoneEvacuation, SnapshotKeepsIt)
{
  State state;
  state.Apply(Change{ RecordEvacuation{ kZone, true } });
  const auto copy = protocol::Decode<State>(protocol::Encode(state));
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->EvacuatedZones().count(kZone), 1U);
}

TEST(ZoneEvacuation, WorkStartsInOtherZonesOnlyUntilTheWithdrawal)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetEvacuation("z0", true);
  sim.SetRunTime("first", 4000);
  sim.Submit("first", "p1", OneStepSpec(4, 1000, 8, false));
  sim.RunFor(2000);
  EXPECT_EQ(sim.StartCount("first"), 2);
  EXPECT_EQ(sim.WorkersOf("first"), (std::set<std::size_t>{ 2, 3 }));
  sim.SetEvacuation("z0", false);
  sim.RunFor(1000);
  EXPECT_EQ(sim.StartCount("first"), 4);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(ZoneEvacuation, RunsAtWorkEndWhereTheyAre)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetRunTime("a", 8000);
  sim.Submit("a", "p1", OneStepSpec(4, 1000, 8, true));
  sim.RunFor(1000);
  ASSERT_EQ(sim.StartCount("a"), 4);
  sim.SetEvacuation("z0", true);
  sim.RunFor(9000);
  EXPECT_EQ(sim.StartCount("a"), 4);
  EXPECT_EQ(sim.Phase("a"), WorkloadPhase::Complete);
}

TEST(ZoneEvacuation, GangThatNeedsTheZoneWaitsForItAsAWhole)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetEvacuation("z1", true);
  sim.Submit("wide", "p1", OneStepSpec(4, 1000, 8, true));
  sim.Submit("narrow", "p1", OneStepSpec(2, 1000, 8, true));
  sim.RunFor(5000);
  EXPECT_EQ(sim.StartCount("wide"), 0);
  EXPECT_EQ(sim.WaitingCount("p1"), 1U);
  EXPECT_EQ(sim.Phase("narrow"), WorkloadPhase::Complete);
  sim.SetEvacuation("z1", false);
  sim.RunFor(3000);
  EXPECT_EQ(sim.Phase("wide"), WorkloadPhase::Complete);
}

TEST(ZoneEvacuation, AllZonesCountAllWorkAsWaiting)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetEvacuation("z0", true);
  sim.SetEvacuation("z1", true);
  for (const char* id : { "a", "b", "c" }) {
    sim.Submit(id, "p2", OneStepSpec(1, 1000, 1, false));
  }
  sim.RunFor(3000);
  EXPECT_EQ(sim.WaitingCount("p2"), 3U);
  sim.SetEvacuation("z0", false);
  sim.RunFor(3000);
  EXPECT_EQ(sim.WaitingCount("p2"), 0U);
  EXPECT_EQ(sim.EvacuatedZones().size(), 1U);
}

// Runs in the zone use nothing of the capacity that is left to be shared.
TEST(ZoneEvacuation, RunsInTheZoneDoNotCountAgainstTheSharesOfTheOthers)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetEvacuation("z1", true);
  sim.SetRunTime("old", 20000);
  sim.Submit("old", "p2", OneStepSpec(2, 1000, 8, false));
  sim.RunFor(1000);
  ASSERT_EQ(sim.StartCount("old"), 2);
  sim.SetEvacuation("z0", true);
  sim.SetRunTime("urgent", 5000);
  sim.SetRunTime("other", 5000);
  sim.Submit("urgent", "p1", OneStepSpec(16, 1000, 1, false));
  sim.Submit("other", "p2", OneStepSpec(16, 1000, 1, false));
  sim.RunFor(100);
  sim.SetEvacuation("z1", false);
  sim.RunFor(500);
  EXPECT_GT(sim.StartCount("urgent"), 0);
  EXPECT_GT(sim.StartCount("other"), 0);
}

// Urgent work within its guarantee takes the zones that are left by preemption;
// runs in the evacuated zone are no victims, as they free nothing usable.
TEST(ZoneEvacuation, UrgentWorkPreemptsInUsableZonesOnly)
{
  WorkloadSimulation sim(TwoZones());
  sim.RunFor(500);
  sim.SetRunTime("low", 20000);
  sim.Submit("low", "p2", OneStepSpec(4, 1000, 8, false));
  sim.RunFor(1000);
  ASSERT_EQ(sim.StartCount("low"), 4);
  sim.SetEvacuation("z0", true);
  sim.RunFor(100);
  sim.SetRunTime("urgent", 5000);
  sim.Submit("urgent", "p0", OneStepSpec(2, 1000, 8, true));
  sim.RunFor(2000);
  EXPECT_EQ(sim.WorkersOf("urgent"), (std::set<std::size_t>{ 2, 3 }));
  EXPECT_EQ(sim.StartCount("low"), 4) << "nothing else was stopped";
  EXPECT_TRUE(sim.Violations().empty());
}

} // namespace
} // namespace dogwooddrum::tests
