#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

#include <algorithm>

namespace dogwooddrum::coordination::consensus {

const Member*
FindMember(const Membership& aMembership, base::MemberId aMember)
{
  for (const Member& member : aMembership.mMembers) {
    if (member.mId == aMember) {
      return &member;
    }
  }
  return nullptr;
}

const Member*
FindSwapRole(const Membership& aMembership, SwapRole aRole)
{
  for (const Member& member : aMembership.mMembers) {
    if (member.mVoter && member.mSwap == aRole) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsSwapping(const Membership& aMembership)
{
  return FindSwapRole(aMembership, SwapRole::Entering) != nullptr ||
         FindSwapRole(aMembership, SwapRole::Leaving) != nullptr;
}

Membership
BeginSwap(const Membership& aMembership,
          base::MemberId aLeaving,
          base::MemberId aEntering)
{
  const Member* leaving = FindMember(aMembership, aLeaving);
  const Member* entering = FindMember(aMembership, aEntering);
  Membership next = aMembership;
  if (IsSwapping(aMembership) || leaving == nullptr || !leaving->mVoter ||
      entering == nullptr || entering->mVoter) {
    return next;
  }
  for (Member& member : next.mMembers) {
    if (member.mId == aLeaving) {
      member.mSwap = SwapRole::Leaving;
    } else if (member.mId == aEntering) {
      member.mVoter = true;
      member.mSwap = SwapRole::Entering;
    }
  }
  return next;
}

Membership
FinishSwap(const Membership& aMembership)
{
  Membership next;
  for (Member member : aMembership.mMembers) {
    if (member.mVoter && member.mSwap == SwapRole::Leaving) {
      continue;
    }
    member.mSwap = SwapRole::None;
    next.mMembers.push_back(member);
  }
  return next;
}

Membership
RevertSwap(const Membership& aMembership)
{
  Membership next = aMembership;
  for (Member& member : next.mMembers) {
    member.mVoter = member.mVoter && member.mSwap != SwapRole::Entering;
    member.mSwap = SwapRole::None;
  }
  return next;
}

bool
IsSameMembership(const Membership& aLeft, const Membership& aRight)
{
  return std::equal(aLeft.mMembers.begin(),
                    aLeft.mMembers.end(),
                    aRight.mMembers.begin(),
                    aRight.mMembers.end(),
                    [](const Member& aOne, const Member& aOther) {
                      return aOne.mId == aOther.mId &&
                             aOne.mAddress == aOther.mAddress &&
                             aOne.mVoter == aOther.mVoter &&
                             aOne.mSwap == aOther.mSwap;
                    });
}

bool
HasMajority(const Membership& aMembership,
            const std::set<base::MemberId>& aMembers)
{
  const auto hasMajorityOf = [&](const std::vector<base::MemberId>& aVoters) {
    const auto present = static_cast<std::size_t>(
      std::count_if(aVoters.begin(), aVoters.end(), [&](base::MemberId aVoter) {
        return aMembers.count(aVoter) > 0;
      }));
    return present * 2 > aVoters.size();
  };
  return hasMajorityOf(VotersWithout(aMembership, SwapRole::Entering)) &&
         hasMajorityOf(VotersWithout(aMembership, SwapRole::Leaving));
}

std::vector<base::MemberId>
VotersWithout(const Membership& aMembership, SwapRole aExcluded)
{
  std::vector<base::MemberId> voters;
  for (const Member& member : aMembership.mMembers) {
    if (member.mVoter && member.mSwap != aExcluded) {
      voters.push_back(member.mId);
    }
  }
  return voters;
}

} // namespace dogwooddrum::coordination::consensus
