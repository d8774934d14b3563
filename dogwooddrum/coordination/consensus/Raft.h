/** \file
 * Defines Raft, the consensus protocol of a control group, as a pure state
 * machine. It uses no socket, clock, thread or file: the host passes in events
 * and the current time, and TakeReady returns the actions to take.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/**
 * Largest command in bytes: an AppendRequest with one such entry, or a
 * snapshot chunk, fits into a frame of 1 MiB.
 */
constexpr std::size_t kMaxCommandBytes = (1U << 20) - (16U << 10);

/** Correlates a ConfirmRead call with its confirmation. */
using ReadId = base::StrongType<struct ReadIdTag, std::uint64_t>;
/** Correlates persistence work with its completion; increases by one. */
using PersistId = base::StrongType<struct PersistIdTag, std::uint64_t>;

/** Role of a voter while one voter is swapped for a learner, see
 * MembershipSwap.h. */
enum class SwapRole : std::uint8_t
{
  None,
  Entering, ///< votes among the voters after the swap only
  Leaving,  ///< votes among the voters before the swap only
};

struct Member
{
  base::MemberId mId;
  std::string mAddress; ///< ip:port of its control link
  bool mVoter = true;   ///< false: learner
  SwapRole mSwap = SwapRole::None;

  // The role shares the byte of the flag, so that logs without swaps are
  // written and read as by versions that had none.
  template<class Archive>
  void save(Archive& aArchive) const
  {
    aArchive(mId,
             mAddress,
             static_cast<std::uint8_t>(
               mVoter ? 1 + static_cast<std::uint8_t>(mSwap) : 0));
  }
  template<class Archive>
  void load(Archive& aArchive)
  {
    std::uint8_t vote = 0;
    aArchive(mId, mAddress, vote);
    constexpr auto kLastRole = static_cast<std::uint8_t>(SwapRole::Leaving);
    mVoter = vote != 0;
    mSwap = mVoter && vote - 1 <= kLastRole ? static_cast<SwapRole>(vote - 1)
                                            : SwapRole::None;
  }
};

/** Members of the group, sorted by id. */
struct Membership
{
  std::vector<Member> mMembers;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMembers);
  }
};

/** Durable term and vote. */
struct HardState
{
  base::Term mTerm;
  base::MemberId mVote; ///< 0: none
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mVote);
  }
};

enum class EntryKind : std::uint8_t
{
  Command,    ///< payload belongs to the replicated state machine
  Membership, ///< payload is an encoded Membership
  Noop,       ///< first entry of a leader's term
};

struct LogEntry
{
  base::Term mTerm;
  base::LogIndex mIndex;
  EntryKind mKind = EntryKind::Command;
  std::string mPayload;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mIndex, mKind, mPayload);
  }
};

/** State of the replicated state machine up to mIndex. */
struct Snapshot
{
  base::LogIndex mIndex;
  base::Term mTerm;
  Membership mMembership;
  std::string mState;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm, mMembership, mState);
  }
};

struct VoteRequest
{
  bool mPreVote = false;
  bool mTransfer = false; ///< leadership transfer; skips the leader check
  base::LogIndex mLastIndex;
  base::Term mLastTerm;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPreVote, mTransfer, mLastIndex, mLastTerm);
  }
};

struct VoteReply
{
  bool mPreVote = false;
  bool mGranted = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPreVote, mGranted);
  }
};

/** Replicates entries; empty as heartbeat. */
struct AppendRequest
{
  base::LogIndex mPreviousIndex;
  base::Term mPreviousTerm;
  base::LogIndex mCommit;
  std::uint64_t mRound = 0; ///< heartbeat round, echoed for read-index
  std::vector<LogEntry> mEntries;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPreviousIndex, mPreviousTerm, mCommit, mRound, mEntries);
  }
};

struct AppendReply
{
  bool mSuccess = false;
  base::LogIndex mMatch; ///< on success: last synced; else: hint
  std::uint64_t mRound = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSuccess, mMatch, mRound);
  }
};

struct SnapshotChunk
{
  base::LogIndex mIndex;
  base::Term mTerm;
  Membership mMembership;
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0; ///< of the whole state
  std::string mBytes;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mIndex, mTerm, mMembership, mOffset, mTotalBytes, mChecksum, mBytes);
  }
};

struct SnapshotReply
{
  base::LogIndex mIndex;
  std::uint64_t mNextOffset = 0;
  bool mInstalled = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mNextOffset, mInstalled);
  }
};

/** Sent by the leader to its successor: start an election at once. */
struct TimeoutNow
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

using MessageBody = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotChunk,
                                 SnapshotReply,
                                 TimeoutNow>;

/** One message between members. */
struct Message
{
  base::MemberId mFrom;
  base::MemberId mTo;
  base::Term mTerm;
  MessageBody mBody;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mTo, mTerm, mBody);
  }
};

enum class Role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

struct RaftOptions
{
  base::MemberId mSelf;
  base::Duration mHeartbeat = base::Milliseconds(100);
  base::Duration mElectionMin = base::Milliseconds(500);
  base::Duration mElectionMax = base::Milliseconds(1000);
  /** Bounds of the pre-vote timeout during mStartPeriod after a start, until
   * this member hears a leader. A leader that other members still hear is safe:
   * they refuse the pre-vote. */
  base::Duration mStartElectionMin = base::Milliseconds(100);
  base::Duration mStartElectionMax = base::Milliseconds(270);
  base::Duration mStartPeriod = base::Milliseconds(5000);
  std::uint32_t mMaxBatchBytes = 256U << 10; ///< entries per AppendRequest
  std::uint32_t mMaxInflight = 8;            ///< AppendRequests per follower
  std::uint32_t mSnapshotChunkBytes = 256U << 10;
  /** Bytes of entries covered by the snapshot that stay in memory, so that
   * followers slightly behind need no snapshot. */
  std::uint64_t mCompactionTailBytes = 4ULL << 20;
  std::uint64_t mSeed = 1; ///< for election jitter
};

/** State that a member recovers from its disk before it starts. */
struct RecoveredState
{
  HardState mHardState;
  std::optional<Snapshot> mSnapshot;
  std::vector<LogEntry> mEntries; ///< contiguous, after the snapshot
  Membership mInitialMembership;  ///< used if there is no snapshot
};

/**
 * Work for the log thread, in this order: truncate, snapshot, entries, hard
 * state; then one sync; then Raft::OnPersisted(mId).
 */
struct PersistWork
{
  PersistId mId;
  std::optional<base::LogIndex> mTruncateFrom; ///< drop this index and later
  std::optional<Snapshot> mSnapshot; ///< replaces the log up to its index
  std::vector<LogEntry> mEntries;
  std::optional<HardState> mHardState;
};

enum class VoteRefusalReason : std::uint8_t
{
  HearsLeader,   ///< no reply is sent; the candidate sees no answer
  OldTerm,       ///< the request's term is too low
  OwnLogIsNewer, ///< the candidate lacks entries that this member has
  VotedForOther, ///< in the same term
  KnowsLeader,   ///< of the same term, or is itself a candidate of it
};

/** A vote or pre-vote that this member refused; for the log. */
struct VoteRefusal
{
  base::MemberId mCandidate;
  base::Term mTerm; ///< of the request
  bool mPreVote = false;
  VoteRefusalReason mReason = VoteRefusalReason::HearsLeader;
  base::LogIndex mCandidateLastIndex;
  base::Term mCandidateLastTerm;
};

/** Actions that the host must take after an event. */
struct Ready
{
  std::optional<PersistWork> mPersist;
  std::vector<Message> mMessages; ///< may be sent at once
  /** Load into the state machine first; also set after a start from a
   * snapshot. */
  std::optional<Snapshot> mRestore;
  std::vector<LogEntry> mCommitted;    ///< apply in order; all kinds
  std::vector<ReadId> mConfirmedReads; ///< applied state is current for these
  std::vector<ReadId> mFailedReads;    ///< leadership was lost
  std::vector<VoteRefusal> mVoteRefusals; ///< need no action
};

/** Answer of a voter to this member's newest vote or pre-vote request. */
enum class VoteAnswer : std::uint8_t
{
  None,
  Granted,
  Refused,
};

/** Another voter, as this member sees it. */
struct PeerStatus
{
  base::MemberId mId;
  std::optional<base::Time> mLastMessageAt; ///< newest message received
  VoteAnswer mVoteAnswer = VoteAnswer::None;
};

/** Why this member leads or does not lead; for the log. */
struct ElectionStatus
{
  Role mRole = Role::Follower;
  base::Term mTerm;
  base::LogIndex mLastIndex;
  base::Term mLastTerm;
  bool mIsVoter = false;
  std::vector<PeerStatus> mOtherVoters; ///< of the newest membership
  /** Why this member last ceased to lead; empty if it never led. */
  std::string mStepDownReason;
};

/**
 * One member's protocol state.
 *
 * Messages that depend on persistence are held back until OnPersisted is called
 * for it. Thread safety: none; one thread owns the object.
 */
class Raft
{
public:
  Raft(const RaftOptions& aOptions,
       const RecoveredState& aRecovered,
       base::Time aNow);
  ~Raft();
  Raft(Raft&&) noexcept;
  Raft& operator=(Raft&&) noexcept;

  /** Advances timers. Call at least every 20 ms. */
  void Tick(base::Time aNow);
  /** Handles a message from another member. */
  void Receive(const Message& aMessage, base::Time aNow);
  /**
   * Appends a command. Returns its index, or an empty optional if this member
   * does not lead, is transferring leadership, or the payload has more than
   * kMaxCommandBytes bytes.
   */
  std::optional<base::LogIndex> Propose(std::string aPayload, base::Time aNow);
  /**
   * Proposes a membership that differs in one member from the current one, or
   * that begins, finishes or reverts a swap (MembershipSwap.h). A new member
   * must enter as a learner; a learner can become a voter once its log matches
   * to within one batch. Returns an empty optional if this member does not
   * lead, has not committed an entry of its term, a change is still
   * uncommitted, no voter would be left, or aMembership differs in another way.
   * During a swap, only its end can be proposed.
   */
  std::optional<base::LogIndex> ProposeMembership(const Membership& aMembership,
                                                  base::Time aNow);
  /**
   * Starts a linearizable read: a quorum must confirm this leader after
   * aNow. The id is returned in mConfirmedReads or mFailedReads.
   */
  void ConfirmRead(ReadId aRead, base::Time aNow);
  /** Records that this work and all earlier work are synced. */
  void OnPersisted(PersistId aId, base::Time aNow);
  /**
   * Records that storage failed: the member stops voting, acknowledging and
   * leading permanently.
   */
  void OnStorageFailed(base::Time aNow);
  /**
   * Removes entries that aSnapshot covers. Preconditions:
   * Storage::SaveSnapshot has written it, and the entries were returned in
   * mCommitted.
   */
  void Compact(const Snapshot& aSnapshot);
  /**
   * Transfers leadership to the most current voter. From now on IsLeaderReady
   * is false and proposals are refused; if no other member takes over within
   * an election timeout, this member steps down.
   */
  void TransferLeadership(base::Time aNow);

  /** Returns and clears the actions collected since the last call. */
  Ready TakeReady();

  Role CurrentRole() const;
  base::Term CurrentTerm() const;
  /** Returns the leader of the current term; 0 if unknown. */
  base::MemberId Leader() const;
  base::LogIndex CommitIndex() const;
  base::LogIndex LastIndex() const;
  /** Returns the newest membership in the log, committed or not. */
  const Membership& CurrentMembership() const;
  /**
   * Returns the membership in force after the entry at aIndex, for a snapshot
   * at that index. Precondition: aIndex is not before the newest snapshot.
   */
  const Membership& MembershipAt(base::LogIndex aIndex) const;
  /**
   * Returns whether this member leads, has committed an entry of its own term
   * and takes proposals. Once false, it stays false for the rest of the term.
   */
  bool IsLeaderReady() const;
  /** Returns when the last message from a member arrived. Empty if this
   * member does not lead, for itself and for unknown members. */
  std::optional<base::Time> LastContact(base::MemberId aMember) const;
  /** Returns whether a member has answered this leader. False if this member
   * does not lead. */
  bool HasAnswered(base::MemberId aMember) const;
  /** Returns the role, the log's end and what the other voters have answered.
   */
  ElectionStatus CurrentElectionStatus() const;
  /** Returns whether a learner's log is current enough for its promotion, and
   * the learner in contact. False if this member does not lead. */
  bool IsCaughtUp(base::MemberId aLearner) const;
  /** Returns how far a member's log is known to match; leader only. */
  base::LogIndex MatchIndex(base::MemberId aMember) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::coordination::consensus
