#include "dogwooddrum/coordination/consensus/Replication.h"

#include "dogwooddrum/coordination/consensus/Leadership.h"
#include "dogwooddrum/coordination/consensus/SnapshotTransfer.h"

namespace dogwooddrum::coordination::consensus {

namespace {

AppendRequest
MakeAppendRequest(const RaftState& aState, base::LogIndex aPrevious)
{
  AppendRequest request;
  request.mPreviousIndex = aPrevious;
  request.mPreviousTerm = aState.mLog.TermAt(aPrevious).value_or(base::Term());
  request.mCommit = aState.mCommit;
  request.mRound = aState.mLeader.mRound;
  return request;
}

/** Sends the next batch and returns its last index. */
base::LogIndex
SendBatch(RaftState& aState, base::MemberId aTo, const Progress& aProgress)
{
  AppendRequest request = MakeAppendRequest(aState, Before(aProgress.mNext));
  request.mEntries = aState.mLog.EntriesInRange(
    aProgress.mNext, aState.mLog.LastIndex(), aState.mOptions.mMaxBatchBytes);
  const base::LogIndex last(request.mPreviousIndex.Value() +
                            request.mEntries.size());
  aState.mOutbox.Send(MakeMessage(aState, aTo, std::move(request)));
  return last;
}

void
FlushAppendsTo(RaftState& aState, base::MemberId aTo, Progress& aProgress)
{
  if (aProgress.mMode == ReplicationMode::Snapshot) {
    return;
  }
  if (!aState.mLog.CanSendAfter(Before(aProgress.mNext))) {
    StartSnapshotTransfer(aState, aTo, aProgress);
    return;
  }
  if (aProgress.mMode == ReplicationMode::Probe) {
    if (!aProgress.mProbeSent) {
      aProgress.mProbeSent = true;
      SendBatch(aState, aTo, aProgress);
    }
    return;
  }
  while (aProgress.mNext <= aState.mLog.LastIndex() &&
         aProgress.mInflight.size() < aState.mOptions.mMaxInflight) {
    const base::LogIndex last = SendBatch(aState, aTo, aProgress);
    aProgress.mInflight.push_back(last);
    aProgress.mNext = After(last);
  }
}

void
SendHeartbeat(RaftState& aState, base::MemberId aTo, Progress& aProgress)
{
  if (aProgress.mMode == ReplicationMode::Replicate &&
      aState.mNow - aProgress.mLastContact > aState.mOptions.mElectionMax) {
    // The follower may have missed the appends in flight: probe again.
    aProgress.mMode = ReplicationMode::Probe;
    aProgress.mInflight.clear();
    aProgress.mNext = After(aProgress.mMatch);
  }
  // During a snapshot transfer, only the start of the log surely matches.
  const bool knowsPrevious = aProgress.mMode != ReplicationMode::Snapshot &&
                             aState.mLog.CanSendAfter(Before(aProgress.mNext));
  AppendRequest request = MakeAppendRequest(
    aState, knowsPrevious ? Before(aProgress.mNext) : base::LogIndex());
  if (!knowsPrevious) {
    request.mPreviousTerm = base::Term();
  }
  aState.mOutbox.Send(MakeMessage(aState, aTo, std::move(request)));
  if (aProgress.mMode == ReplicationMode::Snapshot) {
    ResendChunkIfLate(aState, aTo, aProgress);
  }
}

void
OnMatch(RaftState& aState, Progress& aProgress, base::LogIndex aMatch)
{
  if (aMatch > aState.mLog.LastIndex()) {
    return; // a correct follower cannot match entries its leader lacks
  }
  aProgress.mMatch = std::max(aProgress.mMatch, aMatch);
  aProgress.mNext = std::max(aProgress.mNext, After(aProgress.mMatch));
  auto& inflight = aProgress.mInflight;
  while (!inflight.empty() && inflight.front() <= aProgress.mMatch) {
    inflight.pop_front();
  }
  if (aProgress.mMode == ReplicationMode::Snapshot) {
    if (aState.mLog.CanSendAfter(aProgress.mMatch)) {
      EndSnapshotTransfer(aProgress);
    }
  } else {
    aProgress.mMode = ReplicationMode::Replicate;
    aProgress.mProbeSent = false;
  }
}

void
OnMismatch(RaftState& aState, Progress& aProgress, base::LogIndex aMatchHint)
{
  if (aProgress.mMode == ReplicationMode::Snapshot) {
    return;
  }
  const base::LogIndex end = After(aState.mLog.LastIndex());
  const base::LogIndex next =
    std::max(After(aProgress.mMatch), std::min(After(aMatchHint), end));
  // Without progress, the next heartbeat repeats the probe; probing on each
  // reply would send probes as fast as the network returns replies.
  const bool progress =
    aProgress.mMode == ReplicationMode::Replicate || next != aProgress.mNext;
  aProgress.mMode = ReplicationMode::Probe;
  aProgress.mProbeSent = !progress;
  aProgress.mNext = next;
  aProgress.mInflight.clear();
}

void
SendAppendReply(RaftState& aState,
                base::MemberId aTo,
                const AppendReply& aReply,
                bool aWhenDurable)
{
  Message message = MakeMessage(aState, aTo, aReply);
  if (aWhenDurable || !aState.mOutbox.IsHardStateDurable()) {
    aState.mOutbox.SendWhenDurable(std::move(message));
  } else {
    aState.mOutbox.Send(std::move(message));
  }
}

/**
 * Returns the last index before the term that conflicts at aPrevious, so that
 * the leader skips a whole conflicting term with each reply.
 */
base::LogIndex
FindBacktrackIndex(const RaftState& aState, base::LogIndex aPrevious)
{
  if (aPrevious > aState.mLog.LastIndex()) {
    return aState.mLog.LastIndex();
  }
  const auto conflict = aState.mLog.TermAt(aPrevious);
  base::LogIndex index = aPrevious;
  while (index > aState.mCommit && aState.mLog.TermAt(index) == conflict) {
    index = Before(index);
  }
  return index;
}

/** Appends new entries after truncating those that conflict with them. */
void
MergeEntries(RaftState& aState, const std::vector<LogEntry>& aEntries)
{
  for (const LogEntry& entry : aEntries) {
    if (entry.mIndex <= aState.mCommit ||
        aState.mLog.TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= aState.mLog.LastIndex()) {
      aState.mLog.TruncateFrom(entry.mIndex);
      aState.mOutbox.TruncateFrom(entry.mIndex);
    }
    aState.mOutbox.Append(entry);
    aState.mLog.Append(entry);
  }
}

bool
MatchesLog(const RaftState& aState, const AppendRequest& aRequest)
{
  return aRequest.mPreviousIndex < aState.mCommit ||
         aState.mLog.TermAt(aRequest.mPreviousIndex) == aRequest.mPreviousTerm;
}

} // namespace

void
UpdateProgressTable(RaftState& aState)
{
  auto& table = aState.mLeader.mProgress;
  const Membership& membership = aState.mLog.CurrentMembership();
  for (auto it = table.begin(); it != table.end();) {
    it = FindMember(membership, it->first) == nullptr ? table.erase(it)
                                                      : std::next(it);
  }
  for (const Member& member : membership.mMembers) {
    if (member.mId == aState.mOptions.mSelf) {
      continue;
    }
    Progress progress;
    progress.mNext = After(aState.mLog.LastIndex());
    progress.mLastContact = aState.mNow;
    table.emplace(member.mId, std::move(progress));
  }
}

void
BroadcastHeartbeat(RaftState& aState)
{
  aState.mLeader.mHeartbeatDue = aState.mNow + aState.mOptions.mHeartbeat;
  for (auto& [id, progress] : aState.mLeader.mProgress) {
    SendHeartbeat(aState, id, progress);
  }
}

void
FlushAppends(RaftState& aState)
{
  if (aState.mRole != Role::Leader) {
    return;
  }
  for (auto& [id, progress] : aState.mLeader.mProgress) {
    FlushAppendsTo(aState, id, progress);
  }
}

void
AdvanceCommit(RaftState& aState)
{
  if (aState.mRole != Role::Leader) {
    return;
  }
  const base::LogIndex reached =
    QuorumValue(aState,
                aState.mOutbox.SyncedIndex(),
                [](const Progress& aProgress) { return aProgress.mMatch; });
  // Only entries of the current term are committed by counting members: an
  // older entry on a quorum can still be replaced by a later leader.
  if (reached > aState.mCommit &&
      aState.mLog.TermAt(reached) == aState.mHardState.mTerm) {
    aState.mCommit = reached;
    StepDownIfRemoved(aState);
  }
}

void
OnAppendReply(RaftState& aState,
              base::MemberId aFrom,
              const AppendReply& aReply)
{
  const auto it = aState.mLeader.mProgress.find(aFrom);
  if (aState.mRole != Role::Leader || it == aState.mLeader.mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.mLastContact = aState.mNow;
  progress.mHasAnswered = true;
  progress.mAckedRound = std::max(progress.mAckedRound, aReply.mRound);
  if (!aReply.mSuccess) {
    if (!IsVoter(aState, aFrom)) {
      // A learner may restart with an empty disk; it must not be promoted for
      // entries that it acknowledged before.
      progress.mMatch = std::min(progress.mMatch, aReply.mMatch);
    }
    OnMismatch(aState, progress, aReply.mMatch);
    return;
  }
  OnMatch(aState, progress, aReply.mMatch);
  if (aState.mLeader.mTransferTo == aFrom) {
    ContinueTransfer(aState);
  }
  AdvanceCommit(aState);
}

void
OnAppendRequest(RaftState& aState,
                base::MemberId aFrom,
                const AppendRequest& aRequest)
{
  AppendReply reply;
  reply.mRound = aRequest.mRound;
  if (!MatchesLog(aState, aRequest)) {
    reply.mMatch = FindBacktrackIndex(aState, aRequest.mPreviousIndex);
    SendAppendReply(aState, aFrom, reply, false);
    return;
  }
  MergeEntries(aState, aRequest.mEntries);
  const base::LogIndex last(aRequest.mPreviousIndex.Value() +
                            aRequest.mEntries.size());
  aState.mCommit = std::max(aState.mCommit, std::min(aRequest.mCommit, last));
  reply.mSuccess = true;
  const base::LogIndex match = std::max(last, aState.mCommit);
  const base::LogIndex synced = aState.mOutbox.SyncedIndex();
  // Reply to a heartbeat without waiting for the disk; otherwise a slow disk
  // would look like a lost member to the leader.
  const bool wait = match > synced && !aRequest.mEntries.empty();
  reply.mMatch = wait ? match : std::min(match, synced);
  SendAppendReply(aState, aFrom, reply, wait);
}

void
RejectOldTerm(RaftState& aState, base::MemberId aTo)
{
  SendAppendReply(aState, aTo, AppendReply{}, false);
}

} // namespace dogwooddrum::coordination::consensus
