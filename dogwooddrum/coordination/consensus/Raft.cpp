#include "dogwooddrum/coordination/consensus/Raft.h"

#include "dogwooddrum/coordination/consensus/Codec.h"
#include "dogwooddrum/coordination/consensus/Election.h"
#include "dogwooddrum/coordination/consensus/Leadership.h"
#include "dogwooddrum/coordination/consensus/RaftState.h"
#include "dogwooddrum/coordination/consensus/Reads.h"
#include "dogwooddrum/coordination/consensus/Replication.h"
#include "dogwooddrum/coordination/consensus/SnapshotTransfer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dogwooddrum::coordination::consensus {

struct Raft::Impl : RaftState
{
  using RaftState::RaftState;
};

namespace {

bool
IsFromLeader(const Message& aMessage)
{
  return std::holds_alternative<AppendRequest>(aMessage.mBody) ||
         std::holds_alternative<SnapshotChunk>(aMessage.mBody);
}

bool
IsGrantedPreVote(const Message& aMessage)
{
  const auto* reply = std::get_if<VoteReply>(&aMessage.mBody);
  return reply != nullptr && reply->mPreVote && reply->mGranted;
}

/** Handles a message of the current term other than a vote request. */
struct MessageDispatcher
{
  RaftState& mState;
  const Message& mMessage;

  void operator()(const VoteRequest&) const {}
  void operator()(const VoteReply& aReply) const
  {
    OnVoteReply(mState, mMessage, aReply);
  }
  void operator()(const AppendRequest& aRequest) const
  {
    RecordLeaderContact(mState, mMessage.mFrom);
    OnAppendRequest(mState, mMessage.mFrom, aRequest);
  }
  void operator()(const AppendReply& aReply) const
  {
    OnAppendReply(mState, mMessage.mFrom, aReply);
  }
  void operator()(const SnapshotChunk& aChunk) const
  {
    RecordLeaderContact(mState, mMessage.mFrom);
    OnSnapshotChunk(mState, mMessage.mFrom, aChunk);
  }
  void operator()(const SnapshotReply& aReply) const
  {
    OnSnapshotReply(mState, mMessage.mFrom, aReply);
  }
  void operator()(const TimeoutNow&) const
  {
    if (mState.mRole == Role::Follower &&
        IsVoter(mState, mState.mOptions.mSelf)) {
      StartElection(mState, true);
    }
  }
};

/**
 * Tracks the leader and term, so that a member whose storage failed can still
 * redirect clients.
 */
void
ObserveLeader(RaftState& aState, const Message& aMessage)
{
  if (IsFromLeader(aMessage) && aMessage.mTerm >= aState.mHardState.mTerm) {
    aState.mHardState.mTerm = aMessage.mTerm;
    aState.mLeaderId = aMessage.mFrom;
  }
}

void
HandleMessage(RaftState& aState, const Message& aMessage)
{
  if (const auto* request = std::get_if<VoteRequest>(&aMessage.mBody)) {
    OnVoteRequest(aState, aMessage, *request);
    return;
  }
  if (aMessage.mTerm < aState.mHardState.mTerm) {
    if (IsFromLeader(aMessage)) {
      RejectOldTerm(aState, aMessage.mFrom);
    }
    return;
  }
  if (aMessage.mTerm > aState.mHardState.mTerm && !IsGrantedPreVote(aMessage)) {
    RecordNewerTerm(aState, aMessage);
    BecomeFollower(aState, aMessage.mTerm, base::MemberId());
  }
  std::visit(MessageDispatcher{ aState, aMessage }, aMessage.mBody);
}

void
DeliverCommitted(RaftState& aState, Ready& aReady)
{
  aReady.mRestore = std::move(aState.mRestore);
  aState.mRestore.reset();
  const base::LogIndex to = std::min(aState.mCommit, aState.mLog.LastIndex());
  if (to > aState.mDeliveredIndex) {
    aReady.mCommitted =
      aState.mLog.EntriesInRange(After(aState.mDeliveredIndex),
                                 to,
                                 std::numeric_limits<std::uint64_t>::max());
    aState.mDeliveredIndex = to;
  }
}

} // namespace

Raft::Raft(const RaftOptions& aOptions,
           const RecoveredState& aRecovered,
           base::Time aNow)
  : mImpl(std::make_unique<Impl>(aOptions, aRecovered, aNow))
{
  if (aRecovered.mSnapshot) {
    mImpl->mCommit = aRecovered.mSnapshot->mIndex;
    mImpl->mDeliveredIndex = aRecovered.mSnapshot->mIndex;
    mImpl->mRestore = aRecovered.mSnapshot;
  }
  ResetPreVoteTimer(*mImpl);
}

Raft::~Raft() = default;
Raft::Raft(Raft&&) noexcept = default;
Raft&
Raft::operator=(Raft&&) noexcept = default;

void
Raft::Tick(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mStorageFailed) {
    TickLeader(*mImpl);
    TickElection(*mImpl);
  }
}

void
Raft::Receive(const Message& aMessage, base::Time aNow)
{
  mImpl->mNow = aNow;
  const base::MemberId self = mImpl->mOptions.mSelf;
  if (aMessage.mTo != self || aMessage.mFrom == self) {
    return;
  }
  RecordMessage(*mImpl, aMessage);
  if (mImpl->mStorageFailed) {
    ObserveLeader(*mImpl, aMessage);
  } else {
    HandleMessage(*mImpl, aMessage);
  }
}

std::optional<base::LogIndex>
Raft::Propose(std::string aPayload, base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!AcceptsProposals(*mImpl) || aPayload.size() > kMaxCommandBytes) {
    return std::nullopt;
  }
  return AppendAsLeader(*mImpl, EntryKind::Command, std::move(aPayload));
}

std::optional<base::LogIndex>
Raft::ProposeMembership(const Membership& aMembership, base::Time aNow)
{
  mImpl->mNow = aNow;
  Membership sorted = aMembership;
  std::sort(sorted.mMembers.begin(),
            sorted.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mId < aRight.mId;
            });
  if (!MayChangeMembership(*mImpl, sorted)) {
    return std::nullopt;
  }
  return AppendAsLeader(
    *mImpl, EntryKind::Membership, protocol::Encode(sorted));
}

void
Raft::ConfirmRead(ReadId aRead, base::Time aNow)
{
  mImpl->mNow = aNow;
  AddRead(*mImpl, aRead);
}

void
Raft::OnPersisted(PersistId aId, base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mStorageFailed) {
    return;
  }
  mImpl->mOutbox.OnPersisted(aId);
  CountOwnVote(*mImpl);
  AdvanceCommit(*mImpl);
}

void
Raft::OnStorageFailed(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mStorageFailed) {
    return;
  }
  mImpl->mStorageFailed = true;
  mImpl->mOutbox.Abandon();
  if (mImpl->mRole == Role::Leader) {
    mImpl->mStepDownReason = "storage failed";
    ResignToMostCurrentVoter(*mImpl);
  } else {
    BecomeFollower(*mImpl, mImpl->mHardState.mTerm, mImpl->mLeaderId);
  }
}

void
Raft::Compact(const Snapshot& aSnapshot)
{
  mImpl->mLog.Compact(std::make_shared<const Snapshot>(aSnapshot),
                      mImpl->mOptions.mCompactionTailBytes);
}

void
Raft::TransferLeadership(base::Time aNow)
{
  mImpl->mNow = aNow;
  StartTransfer(*mImpl);
}

Ready
Raft::TakeReady()
{
  Ready ready;
  StartRoundIfDue(*mImpl);
  FlushAppends(*mImpl);
  DeliverCommitted(*mImpl, ready);
  CollectReads(*mImpl, ready);
  mImpl->mOutbox.MoveInto(ready);
  ready.mVoteRefusals = std::exchange(mImpl->mVoteRefusals, {});
  return ready;
}

Role
Raft::CurrentRole() const
{
  return mImpl->mRole;
}

base::Term
Raft::CurrentTerm() const
{
  return mImpl->mHardState.mTerm;
}

base::MemberId
Raft::Leader() const
{
  return mImpl->mLeaderId;
}

base::LogIndex
Raft::CommitIndex() const
{
  return mImpl->mCommit;
}

base::LogIndex
Raft::LastIndex() const
{
  return mImpl->mLog.LastIndex();
}

const Membership&
Raft::CurrentMembership() const
{
  return mImpl->mLog.CurrentMembership();
}

const Membership&
Raft::MembershipAt(base::LogIndex aIndex) const
{
  return mImpl->mLog.MembershipAt(aIndex);
}

bool
Raft::IsLeaderReady() const
{
  return HasCommittedOwnTerm(*mImpl) && AcceptsProposals(*mImpl);
}

std::optional<base::Time>
Raft::LastContact(base::MemberId aMember) const
{
  const auto it = mImpl->mLeader.mProgress.find(aMember);
  if (aMember == mImpl->mOptions.mSelf ||
      it == mImpl->mLeader.mProgress.end()) {
    return std::nullopt;
  }
  return it->second.mLastContact;
}

bool
Raft::HasAnswered(base::MemberId aMember) const
{
  const auto it = mImpl->mLeader.mProgress.find(aMember);
  return it != mImpl->mLeader.mProgress.end() && it->second.mHasAnswered;
}

ElectionStatus
Raft::CurrentElectionStatus() const
{
  ElectionStatus status;
  status.mRole = mImpl->mRole;
  status.mTerm = mImpl->mHardState.mTerm;
  status.mLastIndex = mImpl->mLog.LastIndex();
  status.mLastTerm = mImpl->mLog.LastTerm();
  status.mIsVoter = IsVoter(*mImpl, mImpl->mOptions.mSelf);
  status.mStepDownReason = mImpl->mStepDownReason;
  for (const Member& member : mImpl->mLog.CurrentMembership().mMembers) {
    if (!member.mVoter || member.mId == mImpl->mOptions.mSelf) {
      continue;
    }
    PeerStatus peer;
    peer.mId = member.mId;
    const auto it = mImpl->mPeerRecords.find(member.mId);
    if (it != mImpl->mPeerRecords.end()) {
      peer.mLastMessageAt = it->second.mLastMessageAt;
      peer.mVoteAnswer = it->second.mVoteAnswer;
    }
    status.mOtherVoters.push_back(peer);
  }
  return status;
}

bool
Raft::IsCaughtUp(base::MemberId aLearner) const
{
  return mImpl->mRole == Role::Leader &&
         consensus::IsCaughtUp(*mImpl, aLearner);
}

base::LogIndex
Raft::MatchIndex(base::MemberId aMember) const
{
  if (aMember == mImpl->mOptions.mSelf) {
    return mImpl->mOutbox.SyncedIndex();
  }
  const auto it = mImpl->mLeader.mProgress.find(aMember);
  return it == mImpl->mLeader.mProgress.end() ? base::LogIndex()
                                              : it->second.mMatch;
}

} // namespace dogwooddrum::coordination::consensus
