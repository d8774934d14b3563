/** \file
 * Defines CoordinatorCore, the private state of Coordinator, and helpers that
 * all source files of this folder use. Each of the other headers declares a set
 * of free functions over CoordinatorCore.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/coordination/control/SlowTargetDetector.h"
#include "dogwooddrum/coordination/jobs/JobState.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace dogwooddrum::coordination::control {

/** The leader's view of one task of a live attempt. */
struct LiveTask
{
  jobs::Assignment mAssignment;
  jobs::LeasePhase mPhase = jobs::LeasePhase::Granted;
  bool mReleased = false; ///< the placer has its accelerators back
  bool mCheckpointed = false;
  protocol::TaskReport mFinalReport; ///< the report that fenced the task
};

/** An attempt that may still hold accelerators. */
struct LiveAttempt
{
  base::JobId mJob;
  base::AttemptId mAttempt;
  bool mGang = false;
  bool mMayRun = false;
  bool mStopping = false;
  /** A CommitGang, AbortAttempt or EndAttempt is proposed and not applied. */
  bool mHasPendingProposal = false;
  bool mPreempting = false;
  bool mHasStarted = false; ///< all tasks have reported that they run
  base::Time mCreatedAt;
  std::vector<LiveTask> mTasks;
};

/** The leader's record of one agent process. */
struct AgentRecord
{
  base::Incarnation mIncarnation;
  protocol::WorkerInfo mWorkerInfo;
  std::optional<SessionId> mSession;
  std::uint64_t mSequence = 0;        ///< of the newest heartbeat received
  std::uint64_t mRepliedSequence = 0; ///< of the newest heartbeat replied to
  base::Time mLastHeartbeatAt;
  /** Time of the newest heartbeat reply, or of the start of leadership. The
   * agent ends every lease of this incarnation within one task lease after it,
   * by its own clock. */
  base::Time mLastGrant;
  base::ConfigurationVersion mVersionSent;
  bool mLeaving = false;
  bool mUp = false;         ///< the placer may use the worker
  bool mIsReplaced = false; ///< another process serves the worker
  std::uint32_t mBusyAccelerators = 0;
  std::set<protocol::TaskKey> mTasks;         ///< live tasks of this process
  std::set<protocol::TaskKey> mTasksToForget; ///< for the next reply
};

/** What to do at a given time. The comments list the fields each kind uses. */
struct Timer
{
  enum class Kind : std::uint8_t
  {
    ResendCommands, ///< mJob, mAttempt
    PrepareTimeout, ///< mJob, mAttempt
    StopPreempted,  ///< mJob, mAttempt
    RequeueJob,     ///< mJob; mId: 1 if the placer has the job
    CheckAgent,     ///< mId: incarnation
    WaiterDeadline, ///< mId: waiter
    EndWarmUp,
    ExpireJobs,
    CheckMemberRequests,
  };
  Kind mKind = Kind::ExpireJobs;
  base::JobId mJob;
  base::AttemptId mAttempt;
  std::uint64_t mId = 0;
};

/** Session and id of the request that a reply answers. */
struct Caller
{
  SessionId mSession;
  base::RequestId mRequest;
};

/** A request that waits for a job's commit, end or deadline. */
struct Waiter
{
  Caller mCaller;
  protocol::ClientRequestBody mBody;
  base::JobId mJob;
};

// Requests that are answered after a confirmed read.

struct DeferredQuery
{
  Caller mCaller;
  protocol::ClientRequestBody mBody;
};
struct DeferredPoll
{
  SessionId mSession;
  protocol::FreshnessPoll mPoll;
};
struct DeferredHeartbeat
{
  SessionId mSession;
  base::Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  base::ConfigurationVersion mHeldVersion;
};
struct DeferredWorkloadRead
{
  SessionId mSession;
  protocol::WorkloadRequest mRequest;
};
struct DeferredWorkerReport
{
  SessionId mSession;
  protocol::WorkerReport mReport;
};
using DeferredRead = std::variant<DeferredQuery,
                                  DeferredPoll,
                                  DeferredHeartbeat,
                                  DeferredWorkloadRead,
                                  DeferredWorkerReport>;

/** An answer of which not all parts are in the replicated state yet. */
struct AnswerAssembly
{
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0;
  std::uint64_t mProposedBytes = 0; ///< bytes proposed to the log
  bool mAllProposed = false;
  std::uint64_t mReservedBytes = 0; ///< store space kept for the rest
  std::string mContiguous;          ///< bytes from offset mProposedBytes on
  /** Chunks after a gap, by offset. */
  std::map<std::uint64_t, std::string> mOutOfOrderChunks;
};

/** A change of configuration and the callers that await its outcome. */
struct PendingChange
{
  protocol::ChangeRequest mRequest;
  std::vector<Caller> mCallers;
};

struct PendingMemberRequest
{
  Caller mCaller;
  protocol::MemberRequest mRequest;
  base::Time mDeadline;
};

/** A cheap generator with reproducible output; neither placement nor safety
 * depends on its quality. */
using JitterEngine = std::minstd_rand;

/** State of a Coordinator: replicated, and volatile state of the leader. */
struct CoordinatorCore
{
  explicit CoordinatorCore(const CoordinatorOptions& aOptions);

  CoordinatorOptions mOptions;
  jobs::JobState mState;
  Output mOutput;
  base::Time mNow;

  // Flags are grouped to save padding.
  bool mIsLeader = false;
  bool mWarmedUp = false;       ///< agents had mWarmUp to connect
  bool mNeedsPlacement = false; ///< the placer's input changed
  bool mChangeProposed = false; ///< the first change is in the log

  // Leadership.
  base::Term mTerm;
  base::Time mLeadingSince;               ///< when this member became leader
  std::uint64_t mLeadingSinceClockMs = 0; ///< replicated clock then
  base::MemberId mLeader;
  std::string mLeaderAddress;
  consensus::Membership mMembership; ///< newest, committed or not
  consensus::Membership mCommittedMembership;

  // Work for the log.
  std::vector<jobs::Command> mCommands;
  /** Index in mCommands of each submission, so that the start of the job can be
   * committed in the same command. */
  std::unordered_map<base::JobId, std::size_t> mUnsentSubmits;
  std::deque<base::JobId> mQueuedCancels; ///< proposed in bounded numbers
  base::Time mNextCancelsAt;              ///< when more may be proposed
  std::set<base::JobId> mPendingCancels;  ///< queued or proposed

  // Placement.
  placement::Placer mPlacer;

  // Live attempts and agents.
  std::unordered_map<base::JobId, LiveAttempt> mAttempts;
  std::unordered_map<base::Incarnation, AgentRecord> mAgents;
  /** The agent process that serves each worker. */
  std::map<base::WorkerId, base::Incarnation> mCurrentAgents;
  std::unordered_map<SessionId, base::Incarnation> mAgentSessions;
  /** Replaced processes, kept so that one which resumes from a freeze is still
   * treated as replaced. */
  std::deque<base::Incarnation> mReplacedAgents;
  SlowTargetDetector mSlowTargetDetector{ SlowTargetDetectorOptions{} };
  std::map<protocol::TaskKey, AnswerAssembly> mAssemblies;
  std::uint64_t mAssemblyBytes = 0;
  std::uint64_t mReservedAnswerBytes = 0; ///< for answers not yet complete

  // Requests.
  base::JobId mLastJob; ///< highest id assigned
  std::map<jobs::KeyName, base::JobId> mPendingKeys;
  std::unordered_map<base::JobId, protocol::JobSpec> mPendingSubmits;
  std::unordered_map<std::uint64_t, Waiter> mWaiters;
  std::unordered_map<base::JobId, std::set<std::uint64_t>> mWaitersOfJob;
  std::unordered_map<SessionId, std::set<std::uint64_t>> mWaitersOfSession;
  std::uint64_t mLastWaiter = 0;
  std::deque<PendingChange> mPendingChanges;
  std::vector<PendingMemberRequest> mMemberRequests;
  std::vector<DeferredRead> mNextReadBatch;
  std::unordered_map<consensus::ReadId, std::vector<DeferredRead>>
    mUnconfirmedReads;
  std::uint64_t mLastReadId = 0;

  // Retries.
  JitterEngine mJitter;
  double mRetryTokens = 0;
  base::Time mRetryTokensAt;

  std::multimap<base::Time, Timer> mTimers;
};

/** Returns the replicated clock, in ms, for a batch proposed at aNow. */
std::uint64_t
ReplicatedClockMs(const CoordinatorCore& aCore, base::Time aNow);
/** Returns the local time at which the replicated clock shows aClockMs. */
base::Time
ToLocalTime(const CoordinatorCore& aCore, std::uint64_t aClockMs);
void
AddTimer(CoordinatorCore& aCore, base::Time aWhen, const Timer& aTimer);
/** Queues a command for the next batch. */
void
Propose(CoordinatorCore& aCore, jobs::Command aCommand);
/** Queues a message. Constructs it in place, because GCC 12 warns of
 * uninitialized members when a temporary of this variant is moved. */
template<typename Message>
void
Send(CoordinatorCore& aCore, SessionId aSession, Message aMessage)
{
  Outgoing& out = aCore.mOutput.mMessages.emplace_back();
  out.mSession = aSession;
  out.mMessage.template emplace<Message>(std::move(aMessage));
}
void
Reply(CoordinatorCore& aCore,
      const Caller& aCaller,
      protocol::ClientReplyBody aBody);
/** Refuses a request with the reason's defaults for ran and retry. */
void
Refuse(CoordinatorCore& aCore,
       const Caller& aCaller,
       base::Reason aReason,
       const std::string& aMessage);
void
Refuse(CoordinatorCore& aCore,
       const Caller& aCaller,
       protocol::Refusal aRefusal);
/** Adds a notice to the output. */
void
AddNotice(CoordinatorCore& aCore,
          Notice::Kind aKind,
          base::Reason aReason,
          const std::string& aText);
/** Returns the attempt if it is the job's live one, or null. */
LiveAttempt*
FindAttempt(CoordinatorCore& aCore, base::JobId aJob, base::AttemptId aAttempt);
AgentRecord*
FindAgent(CoordinatorCore& aCore, base::Incarnation aIncarnation);
protocol::TaskKey
TaskKeyOf(const LiveAttempt& aAttempt, std::size_t aTask);

} // namespace dogwooddrum::coordination::control
