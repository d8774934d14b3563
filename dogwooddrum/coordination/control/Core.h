/** \file
 * Defines Core, the private state of Coordinator that its modules share, and
 * the helpers that every module needs. A module is a set of free functions
 * over Core; see the other headers of this folder.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/coordination/control/SlowTargets.h"
#include "dogwooddrum/coordination/jobs/JobState.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace dogwooddrum::coordination::control {

/** One task of a live attempt, as the leader knows it. */
struct LiveTask
{
  jobs::Assignment mAssignment;
  jobs::LeasePhase mPhase = jobs::LeasePhase::Granted;
  bool mReleased = false; ///< its accelerators are free in the placer
  bool mCheckpointed = false;
  protocol::TaskReport mFinal; ///< the report that fenced it
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
  bool mProposed = false;
  bool mPreempting = false;
  bool mRunningTold = false; ///< all tasks were seen running
  base::Time mDecided;
  std::vector<LiveTask> mTasks;
};

/** One agent process. */
struct AgentRecord
{
  base::Incarnation mIncarnation;
  protocol::WorkerFacts mFacts;
  std::optional<SessionId> mSession;
  std::uint64_t mSequence = 0;        ///< newest heartbeat seen
  std::uint64_t mRepliedSequence = 0; ///< newest heartbeat answered
  base::Time mLastHeard;
  /** Newest reply, or start of leadership. Every lease of this incarnation ends
   * at the agent within the task lease after it. */
  base::Time mLastGrant;
  base::ConfigurationVersion mVersionSent;
  bool mLeaving = false;
  bool mUp = false;         ///< offered to the placer
  bool mSuperseded = false; ///< another process has taken the worker over
  std::uint32_t mBusy = 0;
  std::set<protocol::TaskKey> mTasks;  ///< live tasks assigned to it
  std::set<protocol::TaskKey> mForget; ///< for the next heartbeat reply
};

struct Timer
{
  enum class Kind : std::uint8_t
  {
    ResendCommands, ///< mJob, mAttempt
    PrepareTimeout, ///< mJob, mAttempt
    StopPreempted,  ///< mJob, mAttempt
    QueueAgain,     ///< mJob; mId: 1 if the placer knows it
    CheckAgent,     ///< mId: incarnation
    WaiterDeadline, ///< mId: waiter
    WarmUpEnds,
    Expire,
    MemberRequests,
  };
  Kind mKind = Kind::Expire;
  base::JobId mJob;
  base::AttemptId mAttempt;
  std::uint64_t mId = 0;
};

/** Who asked. */
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

/** A request that is answered after a confirmed read. */
struct ConfirmedQuery
{
  Caller mCaller;
  protocol::ClientRequestBody mBody;
};
struct ConfirmedPoll
{
  SessionId mSession;
  protocol::FreshnessPoll mPoll;
};
struct ConfirmedHeartbeat
{
  SessionId mSession;
  base::Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  base::ConfigurationVersion mHave;
};
struct ConfirmedWorkloadRead
{
  SessionId mSession;
  protocol::WorkloadRequest mRequest;
};
struct ConfirmedReport
{
  SessionId mSession;
  protocol::WorkerReport mReport;
};
using Confirmed = std::variant<ConfirmedQuery,
                               ConfirmedPoll,
                               ConfirmedHeartbeat,
                               ConfirmedWorkloadRead,
                               ConfirmedReport>;

/** An answer on its way from an agent into the replicated state. */
struct Assembly
{
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0;
  std::uint64_t mProposedTo = 0; ///< bytes handed to the log
  bool mAllProposed = false;
  std::uint64_t mReserved = 0; ///< room kept in the store for the rest
  std::string mReady;          ///< follows mProposedTo
  std::map<std::uint64_t, std::string> mPieces; ///< beyond a gap, by offset
};

/** A change of configuration and everyone who waits for its outcome. */
struct PendingChange
{
  protocol::ChangeRequest mRequest;
  std::vector<Caller> mCallers;
};

struct PendingMember
{
  Caller mCaller;
  protocol::MemberRequest mRequest;
  base::Time mGiveUp;
};

/** Cheap and reproducible; placement and safety do not depend on it. */
using JitterEngine = std::minstd_rand;

struct Core
{
  explicit Core(const CoordinatorOptions& aOptions);

  CoordinatorOptions mOptions;
  jobs::JobState mState;
  Output mOutput;
  base::Time mNow;

  // Bools stand together to save padding.
  bool mLeads = false;
  bool mWarm = false;           ///< the warm-up for agents is over
  bool mDecide = false;         ///< something changed for the placer
  bool mChangeProposed = false; ///< the first of mChanges is in the log

  // Leadership.
  base::Term mTerm;
  base::Time mLeadingSince;               ///< when this member became leader
  std::uint64_t mLeadingSinceClockMs = 0; ///< replicated clock at that time
  base::MemberId mLeader;
  std::string mLeaderAddress;
  consensus::Membership mMembership; ///< newest, committed or not
  consensus::Membership mCommittedMembership;

  // Work for the log.
  std::vector<jobs::Command> mCommands;
  /** Submissions in mCommands, so that a start can join their commit. */
  std::unordered_map<base::JobId, std::size_t> mUnsentSubmits;
  std::deque<base::JobId> mCancels;      ///< bounded number proposed at a time
  base::Time mNextCancels;               ///< earliest time of the next ones
  std::set<base::JobId> mCancelsPending; ///< queued or proposed

  // Placement.
  placement::Placer mPlacer;

  // Live attempts and agents.
  std::unordered_map<base::JobId, LiveAttempt> mAttempts;
  std::unordered_map<base::Incarnation, AgentRecord> mAgents;
  std::map<base::WorkerId, base::Incarnation> mWorkers; ///< who serves it now
  std::unordered_map<SessionId, base::Incarnation> mAgentSessions;
  /** Replaced processes; one that resumes from a freeze stays replaced. */
  std::deque<base::Incarnation> mReplaced;
  SlowTargets mSlowTargets{ SlowTargetOptions{} };
  std::map<protocol::TaskKey, Assembly> mAssemblies;
  std::uint64_t mAssemblyBytes = 0;
  std::uint64_t mReservedAnswerBytes = 0; ///< of answers not stored in full

  // Requests.
  base::JobId mLastJob; ///< highest id given out
  std::map<jobs::KeyName, base::JobId> mPendingKeys;
  std::unordered_map<base::JobId, protocol::JobSpec> mPendingSubmits;
  std::unordered_map<std::uint64_t, Waiter> mWaiters;
  std::unordered_map<base::JobId, std::set<std::uint64_t>> mWaitersOfJob;
  std::unordered_map<SessionId, std::set<std::uint64_t>> mWaitersOfSession;
  std::uint64_t mLastWaiter = 0;
  std::deque<PendingChange> mChanges;
  std::vector<PendingMember> mMemberRequests;
  std::vector<Confirmed> mForNextRead;
  std::unordered_map<consensus::ReadId, std::vector<Confirmed>> mReads;
  std::uint64_t mLastRead = 0;

  // Retries.
  JitterEngine mJitter;
  double mRetryTokens = 0;
  base::Time mRetryTokensAt;

  std::multimap<base::Time, Timer> mTimers;
};

/** Returns the replicated clock that a batch proposed at aNow carries. */
std::uint64_t
ClockMs(const Core& aCore, base::Time aNow);
/** Returns the local time at which the replicated clock shows aClockMs. */
base::Time
LocalTime(const Core& aCore, std::uint64_t aClockMs);
void
AddTimer(Core& aCore, base::Time aWhen, const Timer& aTimer);
/** Queues a command for the next batch. */
void
Propose(Core& aCore, jobs::Command aCommand);
/** Queues a message. Emplaces it: GCC 12 warns of uninitialized members when a
 * temporary of this variant is moved. */
template<typename Message>
void
Send(Core& aCore, SessionId aSession, Message aMessage)
{
  Outgoing& out = aCore.mOutput.mMessages.emplace_back();
  out.mSession = aSession;
  out.mMessage.template emplace<Message>(std::move(aMessage));
}
void
Reply(Core& aCore, const Caller& aCaller, protocol::ClientReplyBody aBody);
/** Refuses with the reason's defaults for ran and retry. */
void
Refuse(Core& aCore,
       const Caller& aCaller,
       base::Reason aReason,
       const std::string& aMessage);
void
Refuse(Core& aCore, const Caller& aCaller, protocol::Refusal aRefusal);
void
Tell(Core& aCore,
     Notice::Kind aKind,
     base::Reason aReason,
     const std::string& aText);
/** Returns the attempt if it is the job's live one, or null. */
LiveAttempt*
FindAttempt(Core& aCore, base::JobId aJob, base::AttemptId aAttempt);
AgentRecord*
FindAgent(Core& aCore, base::Incarnation aIncarnation);
protocol::TaskKey
KeyOf(const LiveAttempt& aAttempt, std::size_t aTask);

} // namespace dogwooddrum::coordination::control
