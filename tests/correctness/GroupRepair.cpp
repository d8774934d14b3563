// Guards against repairs that keep a lost disk, remove a member that is only
// isolated, or go through a group whose quorum needs more live members.
#include "dogwooddrum/coordination/consensus/GroupRepair.h"

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
      text += std::to_string(member.mId.Value()) + (member.mVoter ? " " : "? ");
    }
  }
  return text;
}

TEST(GroupRepair, DoesNotChangeACompleteGroup)
{
  auto view = MakeThreeVoterView();
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.9:1" });
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
  }
  // The unresponsive voter is removed before the new member votes: four voters
  // with one dead would need three live ones.
  EXPECT_EQ(steps, "1 2 3 9? | 1 2 9? | 1 2 9 | ");
  EXPECT_EQ(ToText(PlanNextRepair(view, {})), "");
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
