/** \file
 * Defines RaftState, the plain state that the parts of the protocol
 * (election, replication, reads, snapshot transfer) share.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/LogView.h"
#include "dogwooddrum/coordination/consensus/MembershipSwap.h"
#include "dogwooddrum/coordination/consensus/Outbox.h"
#include "dogwooddrum/coordination/consensus/Raft.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/** How the leader sends entries to one follower. */
enum class ReplicationMode : std::uint8_t
{
  Probe,     ///< one append at a time until a match
  Replicate, ///< pipelined
  Snapshot,  ///< needed entries are compacted
};

/** Replication state of one follower, kept by the leader. */
struct Progress
{
  base::LogIndex mMatch; ///< durable at the follower up to here
  base::LogIndex mNext;  ///< next entry to send
  ReplicationMode mMode = ReplicationMode::Probe;
  bool mProbeSent = false;
  std::deque<base::LogIndex> mInflight; ///< last index of each append
  base::Time mLastContact;
  bool mHasAnswered = false;
  std::uint64_t mAckedRound = 0;
  std::shared_ptr<const Snapshot> mSnapshotInTransfer; ///< Snapshot mode only
  std::uint64_t mSnapshotChecksum = 0;
  std::uint64_t mSnapshotOffset = 0;
  base::Time mChunkSentAt;
};

struct PendingRead
{
  ReadId mId;
  std::uint64_t mRound = 0; ///< first round that started after the call
};

/** State that only a leader uses; reset when it becomes leader. */
struct LeaderState
{
  std::map<base::MemberId, Progress> mProgress; ///< all members but itself
  base::LogIndex mTermStartIndex; ///< index of the no-op of its term
  base::Time mHeartbeatDue;
  std::uint64_t mRound = 0;
  bool mRoundDue = false;
  std::deque<PendingRead> mPendingReads;
  base::MemberId mTransferTo; ///< successor; 0: no transfer
  base::Time mTransferDeadline;
};

/** What was last received from another member. */
struct PeerRecord
{
  std::optional<base::Time> mLastMessageAt;
  VoteAnswer mVoteAnswer = VoteAnswer::None;
};

/** A snapshot that arrives in chunks. */
struct IncomingSnapshot
{
  SnapshotChunk mHeader; ///< of the first chunk, without its bytes
  std::string mBytes;
};

struct RaftState
{
  RaftState(const RaftOptions& aOptions,
            const RecoveredState& aRecovered,
            base::Time aNow)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mLog(aRecovered)
    , mOutbox(mLog.LastIndex())
    , mHardState(aRecovered.mHardState)
    , mNow(aNow)
    , mStartedAt(aNow)
  {
  }

  RaftOptions mOptions;
  std::mt19937_64 mRandom;
  LogView mLog;
  Outbox mOutbox;
  HardState mHardState;
  Role mRole = Role::Follower;
  base::MemberId mLeaderId; ///< 0: unknown
  bool mStorageFailed = false;
  base::Time mNow;
  base::Time mStartedAt;
  bool mHasHeardLeader = false; ///< since the start; true if it has led
  base::Time mElectionDeadline;
  base::Time mLeaderContact; ///< meaningful if mLeaderId is set
  std::set<base::MemberId> mVotes;
  base::LogIndex mCommit;
  base::LogIndex mDeliveredIndex;   ///< last entry passed to the host
  std::optional<Snapshot> mRestore; ///< for the next Ready
  std::optional<IncomingSnapshot> mIncomingSnapshot;
  LeaderState mLeader;
  std::vector<ReadId> mFailedReads;
  // Read by CurrentElectionStatus and Ready only; no decision uses them.
  std::map<base::MemberId, PeerRecord> mPeerRecords; ///< of current members
  base::Term mVoteRequestTerm; ///< of the newest own (pre-)vote request
  bool mVoteRequestIsPreVote = false;
  std::vector<VoteRefusal> mVoteRefusals;
  std::string mStepDownReason;
};

/** Returns whether aMember is a voter of the newest membership. */
bool
IsVoter(const RaftState& aState, base::MemberId aMember);

/** Returns whether aMembers has the majorities that a decision needs. */
bool
IsQuorum(const RaftState& aState, const std::set<base::MemberId>& aMembers);

/**
 * Returns the largest value that a majority of voters has reached, and during
 * a swap a majority of those before and of those after it. aOwn is this
 * member's value; aOther returns the value of a follower.
 */
template<typename Value, typename Other>
Value
QuorumValue(const RaftState& aState, Value aOwn, Other aOther);

/** Returns a message of the current term. */
Message
MakeMessage(const RaftState& aState, base::MemberId aTo, MessageBody aBody);

} // namespace dogwooddrum::coordination::consensus

template<typename Value, typename Other>
Value
dogwooddrum::coordination::consensus::QuorumValue(const RaftState& aState,
                                                  Value aOwn,
                                                  Other aOther)
{
  const auto valueOf = [&](base::MemberId aVoter) {
    if (aVoter == aState.mOptions.mSelf) {
      return aOwn;
    }
    const auto it = aState.mLeader.mProgress.find(aVoter);
    return it == aState.mLeader.mProgress.end() ? Value{} : aOther(it->second);
  };
  const auto majorityValue = [&](SwapRole aExcluded) {
    std::vector<Value> values;
    for (const base::MemberId voter :
         VotersWithout(aState.mLog.CurrentMembership(), aExcluded)) {
      values.push_back(valueOf(voter));
    }
    if (values.empty()) {
      return Value{};
    }
    // In ascending order, a majority is at or above the element before the
    // middle of an even count and the middle of an odd one.
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) / 2];
  };
  return std::min(majorityValue(SwapRole::Entering),
                  majorityValue(SwapRole::Leaving));
}
