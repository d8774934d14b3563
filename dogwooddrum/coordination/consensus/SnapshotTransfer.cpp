#include "dogwooddrum/coordination/consensus/SnapshotTransfer.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/consensus/Replication.h"

namespace dogwooddrum::coordination::consensus {

namespace {

void
SendChunk(RaftState& aState, base::MemberId aTo, Progress& aProgress)
{
  const Snapshot& snapshot = *aProgress.mSnapshotInTransfer;
  SnapshotChunk chunk;
  chunk.mIndex = snapshot.mIndex;
  chunk.mTerm = snapshot.mTerm;
  chunk.mMembership = snapshot.mMembership;
  chunk.mOffset = aProgress.mSnapshotOffset;
  chunk.mTotalBytes = snapshot.mState.size();
  chunk.mChecksum = aProgress.mSnapshotChecksum;
  chunk.mBytes = snapshot.mState.substr(aProgress.mSnapshotOffset,
                                        aState.mOptions.mSnapshotChunkBytes);
  aProgress.mChunkSentAt = aState.mNow;
  aState.mOutbox.Send(MakeMessage(aState, aTo, std::move(chunk)));
}

bool
IsSameSnapshot(const SnapshotChunk& aLeft, const SnapshotChunk& aRight)
{
  return aLeft.mIndex == aRight.mIndex && aLeft.mTerm == aRight.mTerm &&
         aLeft.mTotalBytes == aRight.mTotalBytes &&
         aLeft.mChecksum == aRight.mChecksum;
}

/** Appends a chunk. Returns the number of bytes received so far. */
std::uint64_t
AppendChunk(RaftState& aState, const SnapshotChunk& aChunk)
{
  auto& incoming = aState.mIncomingSnapshot;
  if (!incoming || !IsSameSnapshot(incoming->mHeader, aChunk)) {
    incoming.emplace();
    incoming->mHeader = aChunk;
    incoming->mHeader.mBytes.clear();
  }
  std::string& bytes = incoming->mBytes;
  if (aChunk.mOffset == bytes.size() &&
      aChunk.mBytes.size() <= aChunk.mTotalBytes - bytes.size()) {
    bytes += aChunk.mBytes;
  }
  return bytes.size();
}

void
InstallIncoming(RaftState& aState)
{
  Snapshot snapshot;
  snapshot.mIndex = aState.mIncomingSnapshot->mHeader.mIndex;
  snapshot.mTerm = aState.mIncomingSnapshot->mHeader.mTerm;
  snapshot.mMembership = aState.mIncomingSnapshot->mHeader.mMembership;
  snapshot.mState = std::move(aState.mIncomingSnapshot->mBytes);
  aState.mIncomingSnapshot.reset();
  const bool kept =
    aState.mLog.Install(std::make_shared<const Snapshot>(snapshot));
  aState.mOutbox.Install(snapshot, kept);
  aState.mCommit = snapshot.mIndex;
  aState.mDeliveredIndex = snapshot.mIndex;
  aState.mRestore = std::move(snapshot);
}

} // namespace

void
StartSnapshotTransfer(RaftState& aState,
                      base::MemberId aTo,
                      Progress& aProgress)
{
  DOGWOODDRUM_INVARIANT(aState.mLog.LatestSnapshot() != nullptr,
                        "log is compacted without a snapshot");
  aProgress.mMode = ReplicationMode::Snapshot;
  aProgress.mInflight.clear();
  aProgress.mSnapshotInTransfer = aState.mLog.LatestSnapshot();
  aProgress.mSnapshotChecksum =
    base::Checksum(aProgress.mSnapshotInTransfer->mState);
  aProgress.mSnapshotOffset = 0;
  SendChunk(aState, aTo, aProgress);
}

void
ResendChunkIfLate(RaftState& aState, base::MemberId aTo, Progress& aProgress)
{
  // Two heartbeat intervals far exceed the round trip of a chunk.
  if (aState.mNow - aProgress.mChunkSentAt >= 2 * aState.mOptions.mHeartbeat) {
    SendChunk(aState, aTo, aProgress);
  }
}

void
EndSnapshotTransfer(Progress& aProgress)
{
  aProgress.mMode = ReplicationMode::Probe;
  aProgress.mProbeSent = false;
  aProgress.mNext = After(aProgress.mMatch);
  aProgress.mSnapshotInTransfer.reset();
}

void
OnSnapshotReply(RaftState& aState,
                base::MemberId aFrom,
                const SnapshotReply& aReply)
{
  const auto it = aState.mLeader.mProgress.find(aFrom);
  if (aState.mRole != Role::Leader || it == aState.mLeader.mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.mLastContact = aState.mNow;
  if (progress.mMode != ReplicationMode::Snapshot ||
      aReply.mIndex != progress.mSnapshotInTransfer->mIndex) {
    return;
  }
  if (aReply.mInstalled) {
    progress.mMatch = std::max(progress.mMatch, aReply.mIndex);
    EndSnapshotTransfer(progress);
    AdvanceCommit(aState);
    return;
  }
  // A reply without progress is a duplicate; the resend timer covers a loss.
  if (aReply.mNextOffset != progress.mSnapshotOffset &&
      aReply.mNextOffset <= progress.mSnapshotInTransfer->mState.size()) {
    progress.mSnapshotOffset = aReply.mNextOffset;
    SendChunk(aState, aFrom, progress);
  }
}

void
OnSnapshotChunk(RaftState& aState,
                base::MemberId aFrom,
                const SnapshotChunk& aChunk)
{
  SnapshotReply reply;
  reply.mIndex = aChunk.mIndex;
  if (aChunk.mIndex <= aState.mCommit) {
    reply.mInstalled = true;
    aState.mOutbox.SendWhenDurable(MakeMessage(aState, aFrom, reply));
    return;
  }
  reply.mNextOffset = AppendChunk(aState, aChunk);
  if (reply.mNextOffset == aChunk.mTotalBytes) {
    if (base::Checksum(aState.mIncomingSnapshot->mBytes) == aChunk.mChecksum) {
      InstallIncoming(aState);
      reply.mInstalled = true;
    } else {
      aState.mIncomingSnapshot.reset();
      reply.mNextOffset = 0;
    }
  }
  aState.mOutbox.SendWhenDurable(MakeMessage(aState, aFrom, reply));
}

} // namespace dogwooddrum::coordination::consensus
