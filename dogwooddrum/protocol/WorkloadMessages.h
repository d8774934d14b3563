/** \file
 * Defines the workload messages between entry and leader and between agent and
 * leader, and the request of a control process to join its group.
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
  QueueReference mQueue;
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
  QueueReference mQueue;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue);
  }
};

struct CancelWorkload
{
  WorkloadId mId;
  QueueReference mQueue;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue);
  }
};

/** Requests the number of accepted workloads of a queue that have not
 * started. */
struct CountWaitingWorkloads
{
  QueueReference mQueue;
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

/** Requests the newest catalog's version and the part that mContent selects.
 * Periodic polls request the version alone: a body whose transfer takes longer
 * than the poll interval would otherwise be sent repeatedly. */
struct ReadCatalog
{
  enum class Content : std::uint8_t
  {
    Version,
    Delta, ///< from mHeldVersion; from version 0 if too old
    Whole, ///< the whole catalog with its source
  };
  CatalogVersion mHeldVersion;
  Content mContent = Content::Version;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHeldVersion, mContent);
  }
};

/** Requests that nothing more is started in an availability zone, or withdraws
 * that request. Idempotent. */
struct SetZoneEvacuation
{
  base::ZoneId mZone;
  bool mEvacuated = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mEvacuated);
  }
};

/** Requests the evacuated availability zones. */
struct ListEvacuations
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/)
  {
  }
};

using WorkloadRequestBody = std::variant<SubmitWorkload,
                                         ReadWorkload,
                                         CancelWorkload,
                                         CountWaitingWorkloads,
                                         ReplaceCatalog,
                                         ReadCatalog,
                                         SetZoneEvacuation,
                                         ListEvacuations>;

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

/** Result of a request. */
enum class WorkloadResult : std::uint8_t
{
  Accepted,  ///< also if it was accepted before
  Found,     ///< the view is filled
  Unknown,   ///< no such workload or queue
  Invalid,   ///< the request can never be accepted
  Refused,   ///< nothing was proposed; a retry may succeed
  Uncertain, ///< the proposal may still be committed
};

/** State of a workload, as shown to callers. */
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
  std::uint64_t mWaitingCount = 0;              ///< for CountWaitingWorkloads
  CatalogVersion mVersion;                      ///< for catalog requests
  std::optional<CatalogDelta> mDelta;           ///< for ReadCatalog
  std::optional<Catalog> mCatalog;              ///< for ReadCatalog
  std::vector<std::string> mMembers; ///< link addresses, for ReadCatalog
  /** Of Refused: when a retry may succeed; 0: not known. */
  std::uint64_t mRetryAfterMs = 0;
  std::vector<base::ZoneId> mEvacuatedZones; ///< for ListEvacuations
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId,
             mResult,
             mMessage,
             mPhase,
             mWaitingCount,
             mVersion,
             mDelta,
             mCatalog,
             mMembers,
             mRetryAfterMs,
             mEvacuatedZones);
  }
};

// Agent to leader.

/** How a run ended. */
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,     ///< because of the task or the worker
  Stopped,    ///< by an order
  Lapsed,     ///< its lease ended
  Broken,     ///< another member of its gang ended
  Alone,      ///< the other members of its gang did not start in time
  NeverRan,   ///< the target refused it and always will
  TargetGone, ///< the target's incarnation has ended
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
  std::string mCheckpoint;    ///< the newest; empty: none
  std::uint32_t mPercent = 0; ///< of its work done; for a long-running task,
                              ///< of its full speed
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRun, mCheckpoint, mPercent);
  }
};

struct EndedTask
{
  /** Increases within an incarnation; 0: not numbered. */
  std::uint64_t mNumber = 0;
  RunId mRun;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;
  std::string mMessage; ///< reason for NeverRan
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRun, mEnd, mCheckpoint, mMessage);
  }
};

/** Description that a target reports of itself. */
struct TargetInfo
{
  TargetIncarnation mTargetIncarnation;
  PoolName mPool;
  base::ZoneId mZone;
  base::RackId mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  bool mLeaving = false;
  std::uint64_t mRemainingMs = 0; ///< minimum time left while leaving, at the
                                  ///< time of the report; 0: not reported
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTargetIncarnation,
             mPool,
             mZone,
             mRack,
             mLabels,
             mCapacity,
             mLeaving,
             mRemainingMs);
  }
};

/** An ended incarnation of a target, with the last ended runs it listed. */
struct EndedIncarnation
{
  TargetIncarnation mTargetIncarnation;
  std::vector<EndedTask> mEnded;
  /** Runs during which it crashed: all that it listed or may have started, if
   * it ended without announcing so while its agent ran on; else empty. */
  std::vector<RunId> mCrashedRuns;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTargetIncarnation, mEnded, mCrashedRuns);
  }
};

/** Complete state of an agent. Replaces its earlier reports. */
struct WorkerReport
{
  base::Incarnation mAgent;
  std::string mAgentName;
  std::uint64_t mSequence = 0; ///< increases within an agent incarnation
  std::int64_t mSentAtUs = 0;  ///< by the agent's clock; echoed in a lease
  /** Of the newest orders that the agent has received. In the term of a leader
   * it shows that the report was made after the leader's election. */
  base::Term mOrdersTerm;
  std::optional<TargetInfo> mTarget; ///< none: no target is known
  std::vector<EndedIncarnation>
    mEndedIncarnations;         ///< gone, or replaced by mTarget
  bool mHasRunLists = false;    ///< the task lists are those of mTarget
  std::uint64_t mListAgeMs = 0; ///< age of the task lists
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded; ///< not acknowledged yet
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAgent,
             mAgentName,
             mSequence,
             mSentAtUs,
             mOrdersTerm,
             mTarget,
             mEndedIncarnations,
             mHasRunLists,
             mListAgeMs,
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

/** Complete list of the orders for an agent. Replaces earlier orders. */
struct WorkerOrders
{
  base::Term mTerm;
  FencingToken mFencingToken;  ///< for calls to this target incarnation
  std::uint64_t mSequence = 0; ///< increases within a term
  TargetIncarnation mTargetIncarnation;
  std::int64_t mLeaseUntilUs = 0; ///< by the agent's clock; 0: no lease
  /** Time on the agent's clock after which it begins no start of these orders,
   * since the leader may have learned of an evacuation by then; 0: no limit. */
  std::int64_t mStartsUntilUs = 0;
  std::uint64_t mAcknowledged = 0; ///< ends up to here are committed
  std::vector<StartOrder> mStarts; ///< repeated until reported
  std::vector<RunId> mStops;
  std::vector<std::string> mMembers; ///< link addresses of the group
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm,
             mFencingToken,
             mSequence,
             mTargetIncarnation,
             mLeaseUntilUs,
             mStartsUntilUs,
             mAcknowledged,
             mStarts,
             mStops,
             mMembers);
  }
};

// Control process to a member of the group.

/** Requests that a process that is not a member becomes one. */
struct JoinRequest
{
  base::MemberId mMember;
  std::string mAddress; ///< address of its control link
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember, mAddress);
  }
};

/** Announces that a member's process is about to end. */
struct LeaveRequest
{
  base::MemberId mMember;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember);
  }
};

/** What the leader does about the vote of a member that is about to end. */
enum class LeaveAnswer : std::uint8_t
{
  Wait,    ///< a successor gets the vote; ask again
  Removed, ///< the member has no vote any more
  Kept,    ///< no successor waits; the member keeps its vote
};

struct LeaveReply
{
  LeaveAnswer mAnswer = LeaveAnswer::Wait;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAnswer);
  }
};

} // namespace dogwooddrum::protocol
