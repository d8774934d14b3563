// Guards against swaps of voters that let two majorities decide differently,
// that a leader ends in another way than begun, or that other versions misread.
#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

#include "dogwooddrum/coordination/consensus/Codec.h"
#include "dogwooddrum/protocol/Codec.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::consensus;
using Ids = std::set<base::MemberId>;

Ids
MakeIds(std::initializer_list<std::uint64_t> aIds)
{
  Ids ids;
  for (const auto id : aIds) {
    ids.insert(base::MemberId(id));
  }
  return ids;
}

Membership
MakeMembership()
{
  Membership membership;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    membership.mMembers.push_back({ base::MemberId(id), "a", true });
  }
  membership.mMembers.push_back({ base::MemberId(4), "b", false });
  return membership;
}

Membership
MakeSwap()
{
  return BeginSwap(MakeMembership(), base::MemberId(3), base::MemberId(4));
}

TEST(MembershipSwap, TwoMajoritiesAlwaysShareAMember)
{
  const Membership steps[] = {
    MakeMembership(), MakeSwap(), FinishSwap(MakeSwap()), RevertSwap(MakeSwap())
  };
  const auto subset = [](unsigned aMask) {
    Ids ids;
    for (std::uint64_t id = 1; id <= 4; ++id) {
      if ((aMask >> (id - 1) & 1U) != 0) {
        ids.insert(base::MemberId(id));
      }
    }
    return ids;
  };
  for (const std::size_t step : { 0, 2, 3 }) {
    for (unsigned one = 0; one < 16; ++one) {
      const unsigned other = 15 & ~one;
      EXPECT_FALSE(HasMajority(steps[1], subset(one)) &&
                   HasMajority(steps[step], subset(other)))
        << "step " << step << ", members " << one << " and " << other;
    }
  }
}

TEST(MembershipSwap, BearsTheLossOfAnyMember)
{
  for (std::uint64_t lost = 1; lost <= 4; ++lost) {
    Ids live = MakeIds({ 1, 2, 3, 4 });
    live.erase(base::MemberId(lost));
    EXPECT_TRUE(HasMajority(MakeSwap(), live)) << lost;
  }
}

TEST(MembershipSwap, EndsAsBegunOrAsBefore)
{
  EXPECT_TRUE(IsSwapping(MakeSwap()));
  EXPECT_FALSE(IsSwapping(MakeMembership()));
  EXPECT_TRUE(IsSameMembership(RevertSwap(MakeSwap()), MakeMembership()));
  const Membership after = FinishSwap(MakeSwap());
  EXPECT_EQ(after.mMembers.size(), 3U);
  EXPECT_EQ(VotersWithout(after, SwapRole::Leaving),
            (std::vector<base::MemberId>{
              base::MemberId(1), base::MemberId(2), base::MemberId(4) }));
}

TEST(MembershipSwap, RefusesASwapOfOtherRoles)
{
  const auto before = MakeMembership();
  EXPECT_TRUE(IsSameMembership(
    before, BeginSwap(before, base::MemberId(4), base::MemberId(3))));
  EXPECT_TRUE(IsSameMembership(
    before, BeginSwap(before, base::MemberId(3), base::MemberId(9))));
  EXPECT_TRUE(IsSameMembership(
    MakeSwap(), BeginSwap(MakeSwap(), base::MemberId(2), base::MemberId(4))));
}

// Logs and snapshots of versions without swaps hold one byte, 0 or 1.
TEST(MembershipSwap, ReadsAndWritesTheBytesOfEarlierVersions)
{
  const auto swap = MakeSwap();
  const auto read = protocol::Decode<Membership>(protocol::Encode(swap));
  ASSERT_TRUE(read);
  EXPECT_TRUE(IsSameMembership(*read, swap));
  auto bytes = protocol::Encode(MakeMembership());
  EXPECT_EQ(bytes.back(), '\0') << "the learner";
  bytes.back() = '\1';
  ASSERT_TRUE(protocol::Decode<Membership>(bytes));
  EXPECT_TRUE(protocol::Decode<Membership>(bytes)->mMembers.back().mVoter);
  bytes.back() = '\x7f';
  const auto odd = protocol::Decode<Membership>(bytes);
  ASSERT_TRUE(odd);
  EXPECT_EQ(odd->mMembers.back().mSwap, SwapRole::None);
}

} // namespace
} // namespace dogwooddrum::tests
