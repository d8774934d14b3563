#include "dogwooddrum/coordination/consensus/Election.h"

#include "dogwooddrum/coordination/consensus/Leadership.h"
#include "dogwooddrum/coordination/consensus/Reads.h"

namespace dogwooddrum::coordination::consensus {

namespace {

constexpr std::size_t kMaxVoteRefusals = 64;

bool
IsInContactWithLeader(const RaftState& aState)
{
  if (aState.mRole == Role::Leader) {
    return true; // TickLeader steps down when the quorum is lost.
  }
  return aState.mLeaderId != base::MemberId() &&
         aState.mNow - aState.mLeaderContact < aState.mOptions.mElectionMin;
}

void
SetElectionDeadline(RaftState& aState, base::Duration aMin, base::Duration aMax)
{
  const auto range = static_cast<std::uint64_t>((aMax - aMin).count());
  const std::uint64_t jitter = aState.mRandom() % (range + 1);
  aState.mElectionDeadline = aState.mNow + aMin + base::Duration(jitter);
}

bool
IsUpToDate(const RaftState& aState, const VoteRequest& aRequest)
{
  const base::Term ownTerm = aState.mLog.LastTerm();
  if (aRequest.mLastTerm != ownTerm) {
    return aRequest.mLastTerm > ownTerm;
  }
  return aRequest.mLastIndex >= aState.mLog.LastIndex();
}

void
RequestVotes(RaftState& aState, const VoteRequest& aRequest)
{
  aState.mVoteRequestTerm = aRequest.mPreVote
                              ? base::Term(aState.mHardState.mTerm.Value() + 1)
                              : aState.mHardState.mTerm;
  aState.mVoteRequestIsPreVote = aRequest.mPreVote;
  for (auto& [id, record] : aState.mPeerRecords) {
    record.mVoteAnswer = VoteAnswer::None;
  }
  for (const Member& member : aState.mLog.CurrentMembership().mMembers) {
    if (!member.mVoter || member.mId == aState.mOptions.mSelf) {
      continue;
    }
    Message message = MakeMessage(aState, member.mId, aRequest);
    if (aRequest.mPreVote) {
      message.mTerm = base::Term(aState.mHardState.mTerm.Value() + 1);
      aState.mOutbox.Send(std::move(message));
    } else {
      aState.mOutbox.SendWhenDurable(std::move(message));
    }
  }
}

VoteRequest
MakeVoteRequest(const RaftState& aState, bool aPreVote, bool aTransfer)
{
  return {
    aPreVote, aTransfer, aState.mLog.LastIndex(), aState.mLog.LastTerm()
  };
}

void
StartPreVote(RaftState& aState)
{
  aState.mRole = Role::PreCandidate;
  aState.mLeaderId = base::MemberId();
  aState.mVotes = { aState.mOptions.mSelf };
  ResetPreVoteTimer(aState);
  if (IsQuorum(aState, aState.mVotes)) {
    StartElection(aState, false);
    return;
  }
  RequestVotes(aState, MakeVoteRequest(aState, true, false));
}

void
RecordRefusal(RaftState& aState,
              const Message& aMessage,
              const VoteRequest& aRequest,
              VoteRefusalReason aReason)
{
  // A host that does not take the list must not make it grow.
  if (aState.mVoteRefusals.size() < kMaxVoteRefusals) {
    aState.mVoteRefusals.push_back({ aMessage.mFrom,
                                     aMessage.mTerm,
                                     aRequest.mPreVote,
                                     aReason,
                                     aRequest.mLastIndex,
                                     aRequest.mLastTerm });
  }
}

void
OnPreVoteRequest(RaftState& aState,
                 const Message& aMessage,
                 const VoteRequest& aRequest)
{
  if (IsInContactWithLeader(aState)) {
    RecordRefusal(aState, aMessage, aRequest, VoteRefusalReason::HearsLeader);
    return;
  }
  VoteReply reply;
  reply.mPreVote = true;
  reply.mGranted =
    aMessage.mTerm > aState.mHardState.mTerm && IsUpToDate(aState, aRequest);
  Message message = MakeMessage(aState, aMessage.mFrom, reply);
  if (reply.mGranted) {
    message.mTerm = aMessage.mTerm;
  } else {
    RecordRefusal(aState,
                  aMessage,
                  aRequest,
                  aMessage.mTerm > aState.mHardState.mTerm
                    ? VoteRefusalReason::OwnLogIsNewer
                    : VoteRefusalReason::OldTerm);
  }
  aState.mOutbox.Send(std::move(message));
}

/** Returns why a vote that was not granted is refused. */
VoteRefusalReason
ReasonOfRefusedVote(const RaftState& aState,
                    const Message& aMessage,
                    const VoteRequest& aRequest)
{
  if (aMessage.mTerm != aState.mHardState.mTerm) {
    return VoteRefusalReason::OldTerm;
  }
  if (!IsUpToDate(aState, aRequest)) {
    return VoteRefusalReason::OwnLogIsNewer;
  }
  return aState.mRole == Role::Follower && aState.mLeaderId == base::MemberId()
           ? VoteRefusalReason::VotedForOther
           : VoteRefusalReason::KnowsLeader;
}

} // namespace

void
ResetElectionTimer(RaftState& aState)
{
  SetElectionDeadline(
    aState, aState.mOptions.mElectionMin, aState.mOptions.mElectionMax);
}

void
ResetPreVoteTimer(RaftState& aState)
{
  if (!aState.mHasHeardLeader &&
      aState.mNow - aState.mStartedAt < aState.mOptions.mStartPeriod) {
    SetElectionDeadline(aState,
                        aState.mOptions.mStartElectionMin,
                        aState.mOptions.mStartElectionMax);
  } else {
    ResetElectionTimer(aState);
  }
}

void
RecordNewerTerm(RaftState& aState, const Message& aMessage)
{
  if (aState.mRole == Role::Leader) {
    aState.mStepDownReason =
      "member " + std::to_string(aMessage.mFrom.Value()) +
      " has the newer term " + std::to_string(aMessage.mTerm.Value());
  }
}

void
RecordMessage(RaftState& aState, const Message& aMessage)
{
  if (FindMember(aState.mLog.CurrentMembership(), aMessage.mFrom) == nullptr) {
    aState.mPeerRecords.erase(aMessage.mFrom);
    return;
  }
  PeerRecord& record = aState.mPeerRecords[aMessage.mFrom];
  record.mLastMessageAt = aState.mNow;
  const auto* reply = std::get_if<VoteReply>(&aMessage.mBody);
  if (reply == nullptr || reply->mPreVote != aState.mVoteRequestIsPreVote) {
    return;
  }
  // A refusal holds the other member's own term, so that one of an earlier
  // request cannot be told apart.
  if (!reply->mGranted) {
    record.mVoteAnswer = VoteAnswer::Refused;
  } else if (aMessage.mTerm == aState.mVoteRequestTerm) {
    record.mVoteAnswer = VoteAnswer::Granted;
  }
}

void
BecomeFollower(RaftState& aState, base::Term aTerm, base::MemberId aLeader)
{
  if (aState.mRole == Role::Leader) {
    FailReads(aState);
    aState.mLeader = LeaderState{};
  }
  aState.mRole = Role::Follower;
  aState.mLeaderId = aLeader;
  aState.mVotes.clear();
  if (aTerm > aState.mHardState.mTerm) {
    aState.mHardState = { aTerm, base::MemberId() };
    aState.mOutbox.SetHardState(aState.mHardState);
    aState.mIncomingSnapshot.reset();
  }
  ResetElectionTimer(aState);
}

void
RecordLeaderContact(RaftState& aState, base::MemberId aLeader)
{
  if (aState.mRole != Role::Follower || aState.mLeaderId != aLeader) {
    BecomeFollower(aState, aState.mHardState.mTerm, aLeader);
  }
  aState.mLeaderContact = aState.mNow;
  aState.mHasHeardLeader = true;
  ResetElectionTimer(aState);
}

void
TickElection(RaftState& aState)
{
  if (aState.mRole == Role::Leader || aState.mNow < aState.mElectionDeadline) {
    return;
  }
  if (IsVoter(aState, aState.mOptions.mSelf)) {
    StartPreVote(aState);
  } else {
    aState.mLeaderId = base::MemberId();
    ResetElectionTimer(aState);
  }
}

void
StartElection(RaftState& aState, bool aTransfer)
{
  aState.mRole = Role::Candidate;
  aState.mLeaderId = base::MemberId();
  aState.mVotes.clear();
  aState.mHardState = { base::Term(aState.mHardState.mTerm.Value() + 1),
                        aState.mOptions.mSelf };
  aState.mOutbox.SetHardState(aState.mHardState);
  aState.mIncomingSnapshot.reset();
  ResetElectionTimer(aState);
  RequestVotes(aState, MakeVoteRequest(aState, false, aTransfer));
}

void
OnVoteRequest(RaftState& aState,
              const Message& aMessage,
              const VoteRequest& aRequest)
{
  if (aRequest.mPreVote) {
    OnPreVoteRequest(aState, aMessage, aRequest);
    return;
  }
  if (!aRequest.mTransfer && IsInContactWithLeader(aState)) {
    RecordRefusal(aState, aMessage, aRequest, VoteRefusalReason::HearsLeader);
    return; // A member cut off from the leader must not depose it.
  }
  if (aMessage.mTerm > aState.mHardState.mTerm) {
    RecordNewerTerm(aState, aMessage);
    BecomeFollower(aState, aMessage.mTerm, base::MemberId());
  }
  VoteReply reply;
  const base::MemberId vote = aState.mHardState.mVote;
  reply.mGranted = aMessage.mTerm == aState.mHardState.mTerm &&
                   aState.mRole == Role::Follower &&
                   aState.mLeaderId == base::MemberId() &&
                   (vote == base::MemberId() || vote == aMessage.mFrom) &&
                   IsUpToDate(aState, aRequest);
  if (reply.mGranted && vote != aMessage.mFrom) {
    aState.mHardState.mVote = aMessage.mFrom;
    aState.mOutbox.SetHardState(aState.mHardState);
    ResetElectionTimer(aState);
  }
  if (!reply.mGranted) {
    RecordRefusal(aState,
                  aMessage,
                  aRequest,
                  ReasonOfRefusedVote(aState, aMessage, aRequest));
  }
  aState.mOutbox.SendWhenDurable(MakeMessage(aState, aMessage.mFrom, reply));
}

void
OnVoteReply(RaftState& aState, const Message& aMessage, const VoteReply& aReply)
{
  if (!aReply.mGranted) {
    return;
  }
  const base::Term next(aState.mHardState.mTerm.Value() + 1);
  if (aReply.mPreVote) {
    if (aState.mRole != Role::PreCandidate || aMessage.mTerm != next) {
      return;
    }
    aState.mVotes.insert(aMessage.mFrom);
    if (IsQuorum(aState, aState.mVotes)) {
      StartElection(aState, false);
    }
    return;
  }
  if (aState.mRole != Role::Candidate ||
      aMessage.mTerm != aState.mHardState.mTerm) {
    return;
  }
  aState.mVotes.insert(aMessage.mFrom);
  if (IsQuorum(aState, aState.mVotes)) {
    BecomeLeader(aState);
  }
}

void
CountOwnVote(RaftState& aState)
{
  if (aState.mRole != Role::Candidate || !aState.mOutbox.IsHardStateDurable()) {
    return;
  }
  aState.mVotes.insert(aState.mOptions.mSelf);
  if (IsQuorum(aState, aState.mVotes)) {
    BecomeLeader(aState);
  }
}

} // namespace dogwooddrum::coordination::consensus
