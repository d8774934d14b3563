#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

bool
IsVoter(const RaftState& aState, base::MemberId aMember)
{
  const Member* member = FindMember(aState.mLog.CurrentMembership(), aMember);
  return member != nullptr && member->mVoter;
}

bool
IsQuorum(const RaftState& aState, const std::set<base::MemberId>& aMembers)
{
  return HasMajority(aState.mLog.CurrentMembership(), aMembers);
}

Message
MakeMessage(const RaftState& aState, base::MemberId aTo, MessageBody aBody)
{
  return {
    aState.mOptions.mSelf, aTo, aState.mHardState.mTerm, std::move(aBody)
  };
}

} // namespace dogwooddrum::coordination::consensus
