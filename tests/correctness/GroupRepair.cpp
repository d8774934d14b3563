// Guards the repair of a group: a lost disk is replaced, a member that is only
// cut off stays, and no step leaves a group that needs more live members.
#include "dogwooddrum/coordination/consensus/GroupRepair.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::consensus;

Member
Voter(std::uint64_t aId)
{
  return { base::MemberId(aId), "10.0.0." + std::to_string(aId) + ":1", true };
}

GroupView
ThreeVoters()
{
  GroupView view;
  view.mSelf = base::MemberId(1);
  view.mMembership.mMembers = { Voter(1), Voter(2), Voter(3) };
  return view;
}

std::string
Text(const std::optional<Membership>& aMembership)
{
  std::string text;
  if (aMembership) {
    for (const Member& member : aMembership->mMembers) {
      text += std::to_string(member.mId.Value()) + (member.mVoter ? " " : "? ");
    }
  }
  return text;
}

TEST(GroupRepair, LeavesAWholeGroupAlone)
{
  auto view = ThreeVoters();
  view.mCandidates.push_back({ base::MemberId(9), "10.0.0.9:1" });
  EXPECT_EQ(Text(NextRepair(view, {})), "");
}

TEST(GroupRepair, RemovesTheMemberWhoseAddressHasAnEmptyDisk)
{
  auto view = ThreeVoters();
  view.mCandidates.push_back({ base::MemberId(9), "10.0.0.3:1" });
  EXPECT_EQ(Text(NextRepair(view, {})), "1 2 ");
}

TEST(GroupRepair, AddsThenPromotesTheNewcomer)
{
  auto view = ThreeVoters();
  view.mMembership.mMembers.pop_back();
  view.mCandidates.push_back({ base::MemberId(9), "10.0.0.3:1" });
  view.mMembership = *NextRepair(view, {});
  EXPECT_EQ(Text(view.mMembership), "1 2 9? ");
  EXPECT_EQ(Text(NextRepair(view, {})), "1 2 9 ");
}

TEST(GroupRepair, KeepsAVoterThatIsCutOffWithoutANewcomer)
{
  auto view = ThreeVoters();
  view.mSilence[base::MemberId(3)] = base::Milliseconds(60000);
  EXPECT_EQ(Text(NextRepair(view, {})), "");
}

TEST(GroupRepair, ReplacesASilentVoterByANewcomerElsewhere)
{
  auto view = ThreeVoters();
  view.mSilence[base::MemberId(3)] = base::Milliseconds(60000);
  view.mCandidates.push_back({ base::MemberId(9), "10.0.0.9:1" });
  std::string steps;
  for (int i = 0; i < 3; ++i) {
    view.mMembership = *NextRepair(view, {});
    steps += Text(view.mMembership) + "| ";
  }
  // The silent voter goes before the newcomer votes: four voters with one
  // dead would need three live ones.
  EXPECT_EQ(steps, "1 2 3 9? | 1 2 9? | 1 2 9 | ");
  EXPECT_EQ(Text(NextRepair(view, {})), "");
}

TEST(GroupRepair, GivesUpASilentLearner)
{
  auto view = ThreeVoters();
  view.mMembership.mMembers.push_back(
    { base::MemberId(9), "10.0.0.9:1", false });
  view.mSilence[base::MemberId(9)] = base::Milliseconds(6000);
  EXPECT_EQ(Text(NextRepair(view, {})), "1 2 3 ");
}

TEST(GroupRepair, GrowsToTheWantedSize)
{
  auto view = ThreeVoters();
  GroupRepairOptions options;
  options.mVoters = 5;
  view.mCandidates = { { base::MemberId(8), "10.0.0.8:1" },
                       { base::MemberId(9), "10.0.0.9:1" } };
  for (int i = 0; i < 4; ++i) {
    view.mMembership = *NextRepair(view, options);
  }
  EXPECT_EQ(Text(view.mMembership), "1 2 3 8 9 ");
  EXPECT_EQ(Text(NextRepair(view, options)), "");
}

} // namespace
} // namespace dogwooddrum::tests
