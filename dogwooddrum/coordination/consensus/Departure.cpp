#include "dogwooddrum/coordination/consensus/Departure.h"

#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

namespace dogwooddrum::coordination::consensus {

using protocol::LeaveAnswer;

namespace {

constexpr base::Duration kRequestInterval = base::Milliseconds(50);
/** Older requests are ignored: their sender may have started again. Longer
 * than GroupRepairOptions::mSilentAfter, so that a member that ended without
 * an answer is replaced at once. */
constexpr base::Duration kMaxRequestAge = base::Milliseconds(1000);

bool
HasVote(const Membership& aMembership, base::MemberId aMember)
{
  const Member* member = FindMember(aMembership, aMember);
  return member != nullptr && member->mVoter;
}

} // namespace

LeaveAnswer
LeavingMembers::OnRequest(const GroupView& aView,
                          const GroupRepairOptions& aOptions,
                          const Membership& aCommitted,
                          base::MemberId aMember,
                          base::Time aNow)
{
  const bool hasVote = HasVote(aView.mMembership, aMember);
  const bool isCommitted = HasVote(aCommitted, aMember) == hasVote;
  if (isCommitted && !hasVote) {
    mAskedAt.erase(aMember);
    return LeaveAnswer::Removed;
  }
  if (isCommitted && !IsSwapping(aView.mMembership) &&
      !HasSuccessor(aView, aOptions)) {
    mAskedAt.erase(aMember);
    return LeaveAnswer::Kept;
  }
  mAskedAt[aMember] = aNow;
  return LeaveAnswer::Wait;
}

std::set<base::MemberId>
LeavingMembers::Recent(base::Time aNow) const
{
  std::set<base::MemberId> members;
  for (const auto& [member, askedAt] : mAskedAt) {
    if (aNow - askedAt <= kMaxRequestAge) {
      members.insert(member);
    }
  }
  return members;
}

Departure::Departure(base::Duration aLimit)
  : mLimit(aLimit)
{
}

void
Departure::Begin(base::Time aNow)
{
  if (!mBegunAt) {
    mBegunAt = aNow;
    mNextRequest = aNow;
  }
}

bool
Departure::TakeRequest(base::Time aNow)
{
  if (!mBegunAt || IsDone(aNow) || aNow < mNextRequest) {
    return false;
  }
  mNextRequest = aNow + kRequestInterval;
  return true;
}

void
Departure::OnAnswer(LeaveAnswer aAnswer, bool aIsFromLeader)
{
  // A late answer must not change that the process may end.
  const bool isOpen = !mAnswer || *mAnswer == LeaveAnswer::Wait;
  if (isOpen && (aIsFromLeader || aAnswer == LeaveAnswer::Removed)) {
    mAnswer = aAnswer;
  }
}

bool
Departure::IsDone(base::Time aNow) const
{
  return mBegunAt && ((mAnswer && *mAnswer != LeaveAnswer::Wait) ||
                      aNow - *mBegunAt >= mLimit);
}

base::Duration
Departure::Waited(base::Time aNow) const
{
  return mBegunAt ? aNow - *mBegunAt : base::Duration::zero();
}

const char*
ToString(LeaveAnswer aAnswer)
{
  switch (aAnswer) {
    case LeaveAnswer::Wait:
      return "wait";
    case LeaveAnswer::Removed:
      return "removed";
    case LeaveAnswer::Kept:
      break;
  }
  return "kept";
}

} // namespace dogwooddrum::coordination::consensus
