// Guards against a member that ends before a successor has its vote, one that
// waits although there is none, and a request that acts on a later process.
#include "dogwooddrum/coordination/consensus/Departure.h"
#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::consensus;
using protocol::LeaveAnswer;

const base::MemberId kLeader(1);
const base::MemberId kLeaving(2);
const base::MemberId kLearner(9);

base::Time
At(int aMs)
{
  return base::Time(base::Milliseconds(1000 + aMs));
}

GroupView
MakeView(bool aHasLearner)
{
  GroupView view;
  view.mSelf = kLeader;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    view.mMembership.mMembers.push_back(
      { base::MemberId(id), "10.0.0." + std::to_string(id) + ":1", true });
  }
  if (aHasLearner) {
    view.mMembership.mMembers.push_back({ kLearner, "10.0.0.9:1", false });
  }
  return view;
}

/** The leader's side, with the membership committed unless stated. */
class MemberDeparture : public testing::Test
{
protected:
  LeaveAnswer Ask(int aMs)
  {
    return mLeaving.OnRequest(
      mView, {}, mCommitted.value_or(mView.mMembership), kLeaving, At(aMs));
  }
  bool IsRecorded(int aMs) const
  {
    return mLeaving.Recent(At(aMs)).count(kLeaving) > 0;
  }

  GroupView mView = MakeView(true);
  std::optional<Membership> mCommitted;
  LeavingMembers mLeaving;
};

TEST_F(MemberDeparture, MemberWaitsUntilItsRemovalIsCommitted)
{
  EXPECT_EQ(Ask(0), LeaveAnswer::Wait);
  const Membership before = mView.mMembership;
  while (const auto next = [this] {
    mView.mLeaving = mLeaving.Recent(At(0));
    return PlanNextRepair(mView, {});
  }()) {
    mCommitted = mView.mMembership;
    mView.mMembership = *next;
    EXPECT_EQ(Ask(0), LeaveAnswer::Wait) << "the change is not committed";
    mCommitted.reset();
    if (mView.mMembership.mMembers.size() == before.mMembers.size()) {
      EXPECT_EQ(Ask(0), LeaveAnswer::Wait) << "the swap has only begun";
    }
  }
  EXPECT_EQ(Ask(0), LeaveAnswer::Removed);
  EXPECT_FALSE(IsRecorded(0));
}

TEST_F(MemberDeparture, MemberKeepsItsVoteIfNobodyCanTakeIt)
{
  mView = MakeView(false);
  EXPECT_EQ(Ask(0), LeaveAnswer::Kept);
  EXPECT_FALSE(IsRecorded(0)) << "it may come back";
  mView.mJoinCandidates.push_back({ kLearner, "10.0.0.9:1" });
  EXPECT_EQ(Ask(0), LeaveAnswer::Wait);
  mView = MakeView(true);
  mView.mTimeSinceContact[kLearner] = base::Milliseconds(2000);
  EXPECT_EQ(Ask(0), LeaveAnswer::Kept);
  EXPECT_FALSE(IsRecorded(0));
}

// A process that started again must not lose its vote to an old request.
TEST_F(MemberDeparture, RequestIsForgottenUnlessItIsRepeated)
{
  Ask(0);
  EXPECT_TRUE(IsRecorded(1000));
  EXPECT_FALSE(IsRecorded(1001));
  Ask(900);
  EXPECT_TRUE(IsRecorded(1900));
}

// A member that ended without an answer counted until it had been missed.
TEST_F(MemberDeparture, MemberThatEndsWithoutAnAnswerIsReplacedAtOnce)
{
  Ask(0);
  mView.mTimeSinceContact[kLeaving] = base::Milliseconds(350);
  mView.mLeaving = mLeaving.Recent(At(350));
  mView.mMembership = *PlanNextRepair(mView, {});
  EXPECT_NE(FindSwapRole(mView.mMembership, SwapRole::Leaving), nullptr);
  EXPECT_EQ(PlanNextRepair(mView, {})->mMembers.size(), 3U);
}

TEST_F(MemberDeparture, TwoThatLeaveShareOneSuccessor)
{
  mView.mLeaving = { kLeaving, base::MemberId(3) };
  mView.mMembership = *PlanNextRepair(mView, {});
  mView.mMembership = *PlanNextRepair(mView, {});
  EXPECT_EQ(Ask(0), LeaveAnswer::Removed);
  EXPECT_EQ(
    mLeaving.OnRequest(mView, {}, mView.mMembership, base::MemberId(3), At(0)),
    LeaveAnswer::Kept);
}

TEST(Departure, AsksUntilItIsAnswered)
{
  Departure departure(base::Milliseconds(3000));
  EXPECT_FALSE(departure.TakeRequest(At(0)));
  EXPECT_FALSE(departure.IsDone(At(0)));
  departure.Begin(At(0));
  EXPECT_TRUE(departure.TakeRequest(At(0)));
  EXPECT_FALSE(departure.TakeRequest(At(49)));
  departure.OnAnswer(LeaveAnswer::Wait, true);
  EXPECT_FALSE(departure.IsDone(At(50)));
  EXPECT_TRUE(departure.TakeRequest(At(50)));
  departure.OnAnswer(LeaveAnswer::Removed, true);
  EXPECT_TRUE(departure.IsDone(At(60)));
  EXPECT_FALSE(departure.TakeRequest(At(200)));
  departure.OnAnswer(LeaveAnswer::Wait, true); // of an earlier request
  EXPECT_TRUE(departure.IsDone(At(210)));
}

// A deposed leader does not know the learners of the next one.
TEST(Departure, BelievesOnlyItsLeaderThatNoSuccessorWaits)
{
  Departure departure(base::Milliseconds(3000));
  departure.Begin(At(0));
  departure.OnAnswer(LeaveAnswer::Kept, false);
  EXPECT_FALSE(departure.IsDone(At(10)));
  departure.OnAnswer(LeaveAnswer::Removed, false); // is committed
  EXPECT_TRUE(departure.IsDone(At(20)));
}

// Without a leader nobody answers; the operator's limit must hold.
TEST(Departure, EndsAtItsLimitWithoutAnAnswer)
{
  Departure departure(base::Milliseconds(3000));
  departure.Begin(At(0));
  departure.Begin(At(2000)); // a second signal
  departure.OnAnswer(LeaveAnswer::Wait, true);
  EXPECT_FALSE(departure.IsDone(At(2999)));
  EXPECT_TRUE(departure.IsDone(At(3000)));
  EXPECT_EQ(departure.Waited(At(3000)), base::Milliseconds(3000));
}

} // namespace
} // namespace dogwooddrum::tests
