#include "dogwooddrum/coordination/consensus/Leadership.h"

#include "dogwooddrum/coordination/consensus/Election.h"
#include "dogwooddrum/coordination/consensus/Replication.h"

namespace dogwooddrum::coordination::consensus {

namespace {

bool
IsRecentlyActive(const RaftState& aState, const Progress& aProgress)
{
  return aState.mNow - aProgress.mLastContact <= aState.mOptions.mElectionMax;
}

bool
HasQuorumContact(const RaftState& aState)
{
  std::set<base::MemberId> active{ aState.mOptions.mSelf };
  for (const auto& [id, progress] : aState.mLeader.mProgress) {
    if (IsRecentlyActive(aState, progress)) {
      active.insert(id);
    }
  }
  return IsQuorum(aState, active);
}

/**
 * Returns the voter with the longest matching log among those with recent
 * contact, or 0.
 */
base::MemberId
FindMostCurrentVoter(const RaftState& aState)
{
  base::MemberId best;
  base::LogIndex bestMatch;
  for (const auto& [id, progress] : aState.mLeader.mProgress) {
    if (IsVoter(aState, id) && IsRecentlyActive(aState, progress) &&
        (best == base::MemberId() || progress.mMatch > bestMatch)) {
      best = id;
      bestMatch = progress.mMatch;
    }
  }
  return best;
}

bool
IsSameMember(const Member& aLeft, const Member& aRight)
{
  return aLeft.mId == aRight.mId && aLeft.mAddress == aRight.mAddress &&
         aLeft.mVoter == aRight.mVoter && aLeft.mSwap == aRight.mSwap;
}

/** Returns whether the change of one member is allowed. */
bool
MayChangeMember(const RaftState& aState, const Member* aOld, const Member& aNew)
{
  if (aNew.mId == base::MemberId()) {
    return false;
  }
  if (aNew.mVoter && (aOld == nullptr || !aOld->mVoter)) {
    return aOld != nullptr && IsCaughtUp(aState, aNew.mId);
  }
  return true;
}

bool
MayBeginSwap(const RaftState& aState, const Membership& aMembership)
{
  const Member* leaving = FindSwapRole(aMembership, SwapRole::Leaving);
  const Member* entering = FindSwapRole(aMembership, SwapRole::Entering);
  return leaving != nullptr && entering != nullptr &&
         IsSameMembership(aMembership,
                          BeginSwap(aState.mLog.CurrentMembership(),
                                    leaving->mId,
                                    entering->mId)) &&
         IsCaughtUp(aState, entering->mId);
}

} // namespace

bool
IsCaughtUp(const RaftState& aState, base::MemberId aMember)
{
  const auto it = aState.mLeader.mProgress.find(aMember);
  if (it == aState.mLeader.mProgress.end() ||
      !IsRecentlyActive(aState, it->second) ||
      it->second.mMatch < aState.mLog.MembershipIndex() ||
      !aState.mLog.CanSendAfter(it->second.mMatch)) {
    return false;
  }
  const std::uint64_t limit = aState.mOptions.mMaxBatchBytes;
  return aState.mLog.BytesAfter(it->second.mMatch, limit) < limit;
}

void
BecomeLeader(RaftState& aState)
{
  aState.mRole = Role::Leader;
  aState.mLeaderId = aState.mOptions.mSelf;
  aState.mHasHeardLeader = true;
  aState.mLeader = LeaderState{};
  aState.mLeader.mTermStartIndex = After(aState.mLog.LastIndex());
  aState.mLeader.mHeartbeatDue = aState.mNow;
  UpdateProgressTable(aState);
  AppendAsLeader(aState, EntryKind::Noop, {});
}

void
TickLeader(RaftState& aState)
{
  if (aState.mRole != Role::Leader) {
    return;
  }
  if (!HasQuorumContact(aState)) {
    aState.mStepDownReason = "no contact with a quorum";
    BecomeFollower(aState, aState.mHardState.mTerm, base::MemberId());
    return;
  }
  LeaderState& leader = aState.mLeader;
  if (leader.mTransferTo != base::MemberId() &&
      aState.mNow >= leader.mTransferDeadline) {
    // Commands were refused since the transfer began; the host must see that
    // its leadership ended before it proposes again.
    aState.mStepDownReason = "leadership transfer timed out";
    BecomeFollower(aState, aState.mHardState.mTerm, base::MemberId());
    return;
  }
  if (aState.mNow >= leader.mHeartbeatDue) {
    BroadcastHeartbeat(aState);
  }
}

bool
AcceptsProposals(const RaftState& aState)
{
  return aState.mRole == Role::Leader &&
         aState.mLeader.mTransferTo == base::MemberId();
}

base::LogIndex
AppendAsLeader(RaftState& aState, EntryKind aKind, std::string aPayload)
{
  LogEntry entry;
  entry.mTerm = aState.mHardState.mTerm;
  entry.mIndex = After(aState.mLog.LastIndex());
  entry.mKind = aKind;
  entry.mPayload = std::move(aPayload);
  aState.mOutbox.Append(entry);
  aState.mLog.Append(std::move(entry));
  if (aKind == EntryKind::Membership) {
    UpdateProgressTable(aState);
  }
  return aState.mLog.LastIndex();
}

bool
MayChangeMembership(const RaftState& aState, const Membership& aMembership)
{
  // Without a committed entry of the current term, two leaders could build on
  // different uncommitted memberships whose quorums do not overlap.
  if (!AcceptsProposals(aState) || !HasCommittedOwnTerm(aState) ||
      aState.mLog.MembershipIndex() > aState.mCommit) {
    return false;
  }
  const Membership& current = aState.mLog.CurrentMembership();
  if (IsSwapping(current)) {
    return IsSameMembership(aMembership, FinishSwap(current)) ||
           IsSameMembership(aMembership, RevertSwap(current));
  }
  if (IsSwapping(aMembership)) {
    return MayBeginSwap(aState, aMembership);
  }
  std::size_t differences = 0;
  bool hasVoter = false;
  base::MemberId previous;
  for (const Member& member : aMembership.mMembers) {
    if (member.mId <= previous) {
      return false; // id 0 or a duplicate id
    }
    previous = member.mId;
    hasVoter = hasVoter || member.mVoter;
    const Member* old = FindMember(current, member.mId);
    if (old == nullptr || !IsSameMember(*old, member)) {
      ++differences;
      if (!MayChangeMember(aState, old, member)) {
        return false;
      }
    }
  }
  for (const Member& member : current.mMembers) {
    differences += FindMember(aMembership, member.mId) == nullptr ? 1 : 0;
  }
  return differences == 1 && hasVoter;
}

void
StartTransfer(RaftState& aState)
{
  if (!AcceptsProposals(aState)) {
    return;
  }
  aState.mLeader.mTransferTo = FindMostCurrentVoter(aState);
  aState.mLeader.mTransferDeadline = aState.mNow + aState.mOptions.mElectionMax;
  ContinueTransfer(aState);
}

void
ContinueTransfer(RaftState& aState)
{
  const auto it = aState.mLeader.mProgress.find(aState.mLeader.mTransferTo);
  if (it != aState.mLeader.mProgress.end() &&
      it->second.mMatch == aState.mLog.LastIndex()) {
    aState.mOutbox.Send(MakeMessage(aState, it->first, TimeoutNow{}));
  }
}

void
ResignToMostCurrentVoter(RaftState& aState)
{
  const base::MemberId best = FindMostCurrentVoter(aState);
  if (best != base::MemberId()) {
    aState.mOutbox.Send(MakeMessage(aState, best, TimeoutNow{}));
  }
  BecomeFollower(aState, aState.mHardState.mTerm, base::MemberId());
}

void
StepDownIfRemoved(RaftState& aState)
{
  if (aState.mLog.MembershipIndex() > aState.mCommit ||
      IsVoter(aState, aState.mOptions.mSelf)) {
    return;
  }
  BroadcastHeartbeat(aState); // sends the commit index
  aState.mStepDownReason = "removed from the voters";
  ResignToMostCurrentVoter(aState);
}

bool
HasCommittedOwnTerm(const RaftState& aState)
{
  return aState.mRole == Role::Leader &&
         aState.mCommit >= aState.mLeader.mTermStartIndex;
}

} // namespace dogwooddrum::coordination::consensus
