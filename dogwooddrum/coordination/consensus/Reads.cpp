#include "dogwooddrum/coordination/consensus/Reads.h"

#include "dogwooddrum/coordination/consensus/Leadership.h"
#include "dogwooddrum/coordination/consensus/Replication.h"

namespace dogwooddrum::coordination::consensus {

void
AddRead(RaftState& aState, ReadId aRead)
{
  if (aState.mRole != Role::Leader) {
    aState.mFailedReads.push_back(aRead);
    return;
  }
  LeaderState& leader = aState.mLeader;
  leader.mPendingReads.push_back({ aRead, leader.mRound + 1 });
  leader.mRoundDue = true;
}

void
StartRoundIfDue(RaftState& aState)
{
  if (aState.mRole == Role::Leader && aState.mLeader.mRoundDue) {
    ++aState.mLeader.mRound;
    aState.mLeader.mRoundDue = false;
    BroadcastHeartbeat(aState);
  }
}

void
CollectReads(RaftState& aState, Ready& aReady)
{
  aReady.mFailedReads = std::move(aState.mFailedReads);
  aState.mFailedReads.clear();
  // Until an entry of its own term is committed, the commit index of a new
  // leader may be behind what earlier terms committed.
  if (!HasCommittedOwnTerm(aState)) {
    return;
  }
  LeaderState& leader = aState.mLeader;
  const std::uint64_t acked =
    QuorumValue(aState, leader.mRound, [](const Progress& aProgress) {
      return aProgress.mAckedRound;
    });
  while (!leader.mPendingReads.empty() &&
         leader.mPendingReads.front().mRound <= acked) {
    aReady.mConfirmedReads.push_back(leader.mPendingReads.front().mId);
    leader.mPendingReads.pop_front();
  }
}

void
FailReads(RaftState& aState)
{
  for (const PendingRead& read : aState.mLeader.mPendingReads) {
    aState.mFailedReads.push_back(read.mId);
  }
  aState.mLeader.mPendingReads.clear();
}

} // namespace dogwooddrum::coordination::consensus
