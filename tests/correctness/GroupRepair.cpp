// Guards against repairs that keep a lost disk, remove a member that is only
// isolated, or go through a group whose quorum needs more live members.
#include "dogwooddrum/coordination/consensus/GroupRepair.h"

#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::consensus;

Member
MakeVoter(std::uint64_t aId)
{
  return { base::MemberId(aId), "10.0.0." + std::to_string(aId) + ":1", true };
}

GroupView
MakeThreeVoterView()
{
  GroupView view;
  view.mSelf = base::MemberId(1);
  view.mMembership.mMembers = { MakeVoter(1), MakeVoter(2), MakeVoter(3) };
  return view;
}

std::string
ToText(const std::optional<Membership>& aMembership)
{
  std::string text;
  if (aMembership) {
    for (const Member& member : aMembership->mMembers) {
      text += std::to_string(member.mId.Value()) +
              (member.mSwap == SwapRole::Entering  ? "+ "
               : member.mSwap == SwapRole::Leaving ? "- "
               : member.mVoter                     ? " "
                                                   : "? ");
    }
  }
  return text;
}

// A spare that was taken in only after a voter was missed had to copy the state
// while one more loss would have taken the quorum.
TEST(GroupRepair, ACompleteGroupKeepsItsVotersAndBringsASpareUpToDate)
{
  auto view = MakeThreeVoterView();
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.9:1" });
  view.mMembership = *PlanNextRepair(view, {});
  EXPECT_EQ(ToText(view.mMembership), "1 2 3 9? ");
  view.mJoinCandidates.push_back({ base::MemberId(8), "10.0.0.8:1" });
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
}

TEST(GroupRepair, RemovesTheMemberWhoseDiskWasLost)
{
  auto view = MakeThreeVoterView();
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.3:1" });
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 ");
}

TEST(GroupRepair, AddsThenPromotesTheJoinCandidate)
{
  auto view = MakeThreeVoterView();
  view.mMembership.mMembers.pop_back();
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.3:1" });
  view.mMembership = *PlanNextRepair(view, {});
  EXPECT_EQ(ToText(view.mMembership), "1 2 9? ");
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 9 ");
}

TEST(GroupRepair, KeepsAnUnresponsiveVoterWithoutAJoinCandidate)
{
  auto view = MakeThreeVoterView();
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(60000);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
}

TEST(GroupRepair, ReplacesAnUnresponsiveVoterByAJoinCandidate)
{
  auto view = MakeThreeVoterView();
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(60000);
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.9:1" });
  std::string steps;
  for (int i = 0; i < 3; ++i) {
    view.mMembership = *PlanNextRepair(view, {});
    steps += ToText(view.mMembership) + "| ";
    // No step needs the new member, nor a third live one.
    EXPECT_TRUE(
      HasMajority(view.mMembership, { base::MemberId(1), base::MemberId(2) }));
  }
  EXPECT_EQ(steps, "1 2 3 9? | 1 2 3- 9+ | 1 2 9 | ");
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
}

GroupView
MakeViewWithLearner()
{
  auto view = MakeThreeVoterView();
  view.mMembership.mMembers.push_back(
    { base::MemberId(9), "10.0.0.9:1", false });
  return view;
}

// A voter that leaves counted for two seconds after its end.
TEST(GroupRepair, SwapsAVoterThatAnnouncesItsEnd)
{
  auto view = MakeViewWithLearner();
  view.mLeaving = { base::MemberId(2) };
  view.mMembership = *PlanNextRepair(view, {});
  EXPECT_EQ(ToText(view.mMembership), "1 2- 3 9+ ");
  for (const std::uint64_t lost : { 1, 2, 3, 9 }) {
    std::set<base::MemberId> live;
    for (const std::uint64_t id : { 1, 2, 3, 9 }) {
      live.insert(base::MemberId(id));
    }
    live.erase(base::MemberId(lost));
    EXPECT_TRUE(HasMajority(view.mMembership, live)) << lost << " is lost";
  }
  EXPECT_FALSE(
    HasMajority(view.mMembership, { base::MemberId(1), base::MemberId(2) }))
    << "1, 3 and 9 could decide otherwise";
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 3 9 ");
}

TEST(GroupRepair, PrefersTheVoterThatLeavesToOneThatMayReturn)
{
  auto view = MakeViewWithLearner();
  view.mLeaving = { base::MemberId(2) };
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(60000);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2- 3 9+ ");
}

TEST(GroupRepair, SwapsNobodyForALearnerThatIsBehindOrSilent)
{
  auto view = MakeViewWithLearner();
  view.mLeaving = { base::MemberId(2) };
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(60000);
  view.mLearnersBehind = { base::MemberId(9) };
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
  view.mLearnersBehind.clear();
  view.mTimeSinceContact[base::MemberId(9)] = base::Milliseconds(400);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
}

// A voter that was only paused lost its place, and could not return in time
// when another one was removed.
TEST(GroupRepair, RevertsTheSwapOfAVoterThatAnswersAgain)
{
  auto view = MakeViewWithLearner();
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(2100);
  view.mMembership = *PlanNextRepair(view, {});
  EXPECT_EQ(ToText(view.mMembership), "1 2 3- 9+ ");
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 9 ");
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(20);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 3 9? ");
}

// A new leader assumes contact with all members before it has heard them.
TEST(GroupRepair, NewLeaderWaitsUntilItKnowsWhoAnswers)
{
  auto view = MakeViewWithLearner();
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(2100);
  view.mMembership = *PlanNextRepair(view, {});
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(20);
  view.mUnanswered = { base::MemberId(3) };
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(300);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 9 ");
}

TEST(GroupRepair, RevertsTheSwapIfOnlyTheLeavingVoterAnswers)
{
  auto view = MakeViewWithLearner();
  view.mLeaving = { base::MemberId(2) };
  view.mMembership = *PlanNextRepair(view, {});
  view.mJoinCandidates.push_back({ base::MemberId(10), "10.0.0.9:1" });
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 3 9? ") << "9 lost its disk";
}

TEST(GroupRepair, GivesThePlaceOfALostDiskToALearner)
{
  auto view = MakeViewWithLearner();
  view.mJoinCandidates.push_back({ base::MemberId(8), "10.0.0.3:1" });
  view.mMembership = *PlanNextRepair(view, {});
  EXPECT_EQ(ToText(view.mMembership), "1 2 3- 9+ ");
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 9 ");
}

TEST(GroupRepair, RemovesAnUnresponsiveLearner)
{
  auto view = MakeThreeVoterView();
  view.mMembership.mMembers.push_back(
    { base::MemberId(9), "10.0.0.9:1", false });
  view.mTimeSinceContact[base::MemberId(9)] = base::Milliseconds(6000);
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "1 2 3 ");
}

TEST(GroupRepair, GrowsToTheIntendedSize)
{
  auto view = MakeThreeVoterView();
  GroupRepairOptions options;
  options.mIntendedVoters = 5;
  view.mJoinCandidates = { { base::MemberId(8), "10.0.0.8:1" },
                           { base::MemberId(9), "10.0.0.9:1" } };
  for (int i = 0; i < 4; ++i) {
    view.mMembership = *PlanNextRepair(view, options);
  }
  EXPECT_EQ(ToText(view.mMembership), "1 2 3 8 9 ");
  EXPECT_EQ(ToText(PlanNextRepair(view, options)), "");
}

} // namespace
} // namespace dogwooddrum::tests
