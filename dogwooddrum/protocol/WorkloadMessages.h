/** \file
 * Defines the messages about workloads: entry and leader, agent and leader,
 * and a control process that asks to join its group.
 */
#pragma once

#include "dogwooddrum/protocol/Workload.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::protocol {

// Entry to leader.

struct SubmitWorkload
{
  WorkloadId mId;
  QueueName mQueue;
  base::AccountId mAccount; ///< empty on a public queue
  WorkloadSpec mSpec;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue, mAccount, mSpec);
  }
};

struct ReadWorkload
{
  WorkloadId mId;
  QueueName mQueue;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue);
  }
};

struct CancelWorkload
{
  WorkloadId mId;
  QueueName mQueue;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue);
  }
};

/** Asks how many accepted workloads of a queue have not started. */
struct CountWaiting
{
  QueueName mQueue;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mQueue);
  }
};

struct ReplaceCatalog
{
  Catalog mCatalog;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCatalog);
  }
};

/** Asks for the newest catalog's version, and for as much of it as mContent
 * says. Polls ask for the version alone: a body that takes longer than the
 * time between two polls would otherwise be sent again and again. */
struct ReadCatalog
{
  enum class Content : std::uint8_t
  {
    Version,
    Delta, ///< from mHave, or from nothing if that is too old
    Whole, ///< with its source
  };
  CatalogVersion mHave;
  Content mContent = Content::Version;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHave, mContent);
  }
};

using WorkloadRequestBody = std::variant<SubmitWorkload,
                                         ReadWorkload,
                                         CancelWorkload,
                                         CountWaiting,
                                         ReplaceCatalog,
                                         ReadCatalog>;

struct WorkloadRequest
{
  base::RequestId mId;
  WorkloadRequestBody mBody;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mBody);
  }
};

// Leader to entry.

/** How a request ended. */
enum class WorkloadResult : std::uint8_t
{
  Accepted,  ///< also for what was accepted before
  Found,     ///< the view is filled
  Unknown,   ///< no such workload or queue
  Invalid,   ///< it can never be accepted
  Refused,   ///< nothing of it was proposed; it may come again
  Uncertain, ///< it may still be committed
};

/** State of a workload, as callers see it. */
enum class WorkloadPhase : std::uint8_t
{
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled,
};

struct WorkloadReply
{
  base::RequestId mId;
  WorkloadResult mResult = WorkloadResult::Refused;
  std::string mMessage;
  WorkloadPhase mPhase = WorkloadPhase::Queued; ///< for ReadWorkload
  std::uint64_t mWaiting = 0;                   ///< for CountWaiting
  CatalogVersion mVersion;                      ///< for catalog requests
  std::optional<CatalogDelta> mDelta;           ///< for ReadCatalog
  std::optional<Catalog> mCatalog;              ///< for ReadCatalog
  std::vector<std::string> mMembers; ///< link addresses, for ReadCatalog
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId,
             mResult,
             mMessage,
             mPhase,
             mWaiting,
             mVersion,
             mDelta,
             mCatalog,
             mMembers);
  }
};

// Agent to leader.

/** How a run ended. */
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,     ///< through its own fault or the worker's
  Stopped,    ///< on an order
  Lapsed,     ///< its lease ended
  Broken,     ///< another member of its gang ended
  Alone,      ///< the other members of its gang did not start in time
  NeverRan,   ///< the target refused it and refuses it for good
  TargetGone, ///< its target's life is over
};

/** Returns the snake_case name for logs. Thread safe. */
const char*
ToString(RunEnd aEnd);
/** Returns the lower-case name for logs. Thread safe. */
const char*
ToString(WorkloadPhase aPhase);

struct RunningTask
{
  RunId mRun;
  std::string mCheckpoint;    ///< newest saved; empty: none
  std::uint32_t mPercent = 0; ///< share of its work that is done; of full
                              ///< speed for a long-running task
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRun, mCheckpoint, mPercent);
  }
};

struct EndedTask
{
  std::uint64_t mNumber = 0; ///< rises within a life of the target; 0: none
  RunId mRun;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;
  std::string mMessage; ///< why a run never ran
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRun, mEnd, mCheckpoint, mMessage);
  }
};

/** What a target says about itself. */
struct TargetFacts
{
  TargetLife mLife;
  PoolName mPool;
  base::ZoneId mZone;
  base::RackId mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  bool mLeaving = false;
  std::uint64_t mRemainingMs = 0; ///< least time left while leaving, when the
                                  ///< facts were sent; 0: untold
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mLife, mPool, mZone, mRack, mLabels, mCapacity, mLeaving, mRemainingMs);
  }
};

/** A life of a target that is over, with the ends that it listed last. */
struct PastLife
{
  TargetLife mLife;
  std::vector<EndedTask> mEnded;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLife, mEnded);
  }
};

/** Everything an agent knows. Replaces what it reported before. */
struct WorkerReport
{
  base::Incarnation mAgent;
  std::string mAgentName;
  std::uint64_t mSequence = 0; ///< rises within an incarnation
  std::int64_t mSentAtUs = 0;  ///< on the agent's clock; echoed in a grant
  std::optional<TargetFacts> mTarget; ///< none: no target is known
  std::vector<PastLife> mPastLives;   ///< left, or replaced by mTarget
  bool mListed = false;           ///< the two lists were read from this life
  std::uint64_t mListedAgoMs = 0; ///< age of the lists
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded; ///< beyond the acknowledged ones
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAgent,
             mAgentName,
             mSequence,
             mSentAtUs,
             mTarget,
             mPastLives,
             mListed,
             mListedAgoMs,
             mRunning,
             mEnded);
  }
};

// Leader to agent.

struct StartOrder
{
  RunId mRun;
  std::string mPayload;
  std::string mCheckpoint;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRun, mPayload, mCheckpoint);
  }
};

/** All that the agent has to carry out. Replaces earlier orders. */
struct WorkerOrders
{
  base::Term mTerm;
  FencingToken mFence;         ///< for the calls to this life
  std::uint64_t mSequence = 0; ///< rises within a term
  TargetLife mLife;
  std::int64_t mLeaseUntilUs = 0;  ///< on the agent's clock; 0: no lease
  std::uint64_t mAcknowledged = 0; ///< ends up to this number are committed
  std::vector<StartOrder> mStarts; ///< repeated until they are reported
  std::vector<RunId> mStops;
  std::vector<std::string> mMembers; ///< link addresses of the group
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm,
             mFence,
             mSequence,
             mLife,
             mLeaseUntilUs,
             mAcknowledged,
             mStarts,
             mStops,
             mMembers);
  }
};

// Control process to a member of the group.

/** A process that is not a member asks to become one. */
struct JoinRequest
{
  base::MemberId mMember;
  std::string mAddress; ///< of its links
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember, mAddress);
  }
};

} // namespace dogwooddrum::protocol
