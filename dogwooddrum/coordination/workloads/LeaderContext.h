/** \file
 * Defines LeaderContext, the leader's volatile state, which the modules of
 * WorkloadScheduler share. Internal to this package. Each leader rebuilds it
 * from the replicated state and the agents' reports.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/AccountShares.h"
#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "dogwooddrum/coordination/workloads/QueueHeads.h"
#include "dogwooddrum/coordination/workloads/RunTimeEstimator.h"
#include "dogwooddrum/coordination/workloads/RunTimeModel.h"
#include "dogwooddrum/coordination/workloads/WorkerSpeeds.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"

#include <map>
#include <optional>
#include <set>

namespace dogwooddrum::coordination::workloads {

/** Time for delivering a stop order and reporting the end, in addition to the
 * time that a target takes to stop a run. */
constexpr base::Duration kOrderRoundTrip = base::Milliseconds(300);

/** Number of workloads whose runs have to fail on a worker for its quarantine;
 * the failures of one workload may be its own fault. */
constexpr std::size_t kFailedWorkloadsForQuarantine = 2;

/** A run that may use resources: proposed, or committed and not ended. */
struct OpenRun
{
  TargetIncarnation mTarget;
  ResourceVector mResources;
  std::uint32_t mPriority = 0;
  base::Time mStartedAt;      ///< proposed here, or start of this leadership
  base::Time mCheckpointedAt; ///< when the newest checkpoint was first reported
  std::string mCheckpoint;
  std::string mResumedFrom; ///< checkpoint at its start; empty: none
  RunProgress mProgress;
  bool mCommitted = false;
  bool mStopping = false;
  bool mEnding = false; ///< its end has been proposed
};

/** One incarnation of a target, and the agent that reports on it. */
struct Worker
{
  protocol::TargetInfo mTargetInfo;
  std::string mAgentName;
  base::Incarnation mAgentIncarnation;
  Session mSession;
  std::uint64_t mReportSequence = 0; ///< of the newest report, for the log
  bool mHasLease = false;            ///< granted by this leader and not expired
  bool mOrdersChanged = false;
  protocol::FencingToken mFencingToken;
  base::Time mFirstReportAt; ///< first report to this leader
  base::Time mListedAt;      ///< time of the newest list of its runs
  base::Time mLastGrant;
  /** Earliest time at which a leaving target is gone, if announced. */
  std::optional<base::Time> mLeavesAt;
  std::int64_t mLeaseUntilUs = 0;  ///< on the agent's clock
  std::int64_t mStartsUntilUs = 0; ///< on the agent's clock; 0: no limit
  std::map<RunId, protocol::RunningTask> mReportedRuns;
  std::uint64_t mLastProposedEnd = 0; ///< number of a listed end
  std::uint64_t mAcknowledged = 0;    ///< ends up to this number are applied
  std::set<RunId> mPendingEnds;       ///< proposed and not applied
  std::uint32_t mConsecutiveFailures = 0;
  base::Time mLastFailure;
  /** Workloads of the runs that have failed here since one ended as done; at
   * most kFailedWorkloadsForQuarantine. */
  std::set<WorkloadId> mFailedWorkloads;
  base::Time mLastFailedRun;
  base::Time mStalledAt; ///< when a run here was last found stalled
};

/** What the leader knows of the agent on one VM. */
struct AgentView
{
  /** The newest target of which the agent has proof, or the one that an earlier
   * leader has bound; empty: none. */
  TargetIncarnation mTarget;
  bool mIsReported = false; ///< mTarget comes from a report to this leader
  /** Its processes, in the order of their first reports to this leader. */
  std::vector<base::Incarnation> mProcesses;
  std::size_t mCurrent = 0; ///< index of the process that is heard
  std::uint64_t mReportSequence = 0;
};

/** A request that is answered after a commit. */
struct PendingRequest
{
  Session mSession;
  base::RequestId mRequest;
};

/** How the leader knows that a run has ended, and the report that carried it;
 * for the log. */
struct EndProof
{
  std::string mText;
  std::string mAgentName;   ///< empty: no report
  base::Incarnation mAgent; ///< of the report
  std::uint64_t mReportSequence = 0;
};

/** The state of one leadership. */
struct LeaderContext
{
  LeaderContext(const WorkloadSchedulerOptions& aOptions, const State& aState)
    : mOptions(aOptions)
    , mState(&aState)
  {
    mOptions.mPlacement.mLocalityWait = mOptions.mPolicies.mLocalityWait;
  }

  WorkloadSchedulerOptions mOptions;
  const State* mState;
  WorkloadSchedulerOutput mOutput;
  bool mIsLeader = false;
  bool mDecisionDue = false; ///< an input of placement has changed
  base::Term mTerm;
  base::Time mNow;
  base::Time mLeadingSince;
  base::Time mNextPurge;
  base::Time mNextDecision; ///< due without a change, see Decide
  base::Time mNextStallCheck;
  std::int64_t mUnixOffsetMs = 0;
  std::vector<std::string> mMembers; ///< link addresses of the group
  std::uint64_t mOrderSequence = 0;
  std::uint64_t mFencingTokenCounter = 0; ///< see NextFencingToken
  std::map<RunId, OpenRun> mRuns;
  std::map<TargetIncarnation, Worker> mWorkers;
  std::map<std::string, AgentView> mAgents; ///< by name
  std::map<TaskId, base::Time> mReadySince;
  RunTimeEstimator mRunTimeEstimator;
  WorkerSpeeds mWorkerSpeeds;
  base::Time mNextPublication; ///< see PublishObservations
  RunTimeModel mRunTimeModel;
  QueueHeads mQueueHeads;
  AccountShares mAccountShares;
  /** First task of the unit of each level for which workers are reserved. */
  std::map<QueueLevel, TaskId> mReservations;
  std::map<protocol::PoolName, UrgentDemand> mUrgentDemand;
  std::map<TaskId, std::set<TargetIncarnation>> mFailedOn;
  std::set<TargetIncarnation> mCountedCrashes; ///< proposed by this leader
  std::map<WorkloadId, std::vector<PendingRequest>> mPendingSubmits;
  std::map<WorkloadId, std::vector<PendingRequest>> mPendingCancels;
  std::set<WorkloadId> mOccurrenceProposed;
  std::vector<std::pair<protocol::CatalogVersion, PendingRequest>>
    mCatalogWaiters;
  /** Requests that wait for the commit of their changes, the oldest first. */
  std::vector<std::pair<RecordEvacuation, PendingRequest>> mEvacuationWaiters;
  protocol::CatalogVersion mProposedVersion;
  /** Recent catalogs without mSource, as bases for deltas. */
  std::map<protocol::CatalogVersion, Catalog> mCatalogs;
};

inline std::int64_t
UnixMs(const LeaderContext& aLeader)
{
  return base::ToMilliseconds(aLeader.mNow) + aLeader.mUnixOffsetMs;
}

inline void
Propose(LeaderContext& aLeader, ChangeBody aChange)
{
  aLeader.mOutput.mChanges.push_back(Change{ std::move(aChange) });
}

/** Adds an event for the log. */
void
AddEvent(LeaderContext& aLeader,
         WorkloadEvent::Kind aKind,
         std::vector<std::pair<std::string_view, std::string>> aFields);

// Requests.

/** Returns whether the request is answered from the state as it is. */
bool
NeedsConfirmedRead(const LeaderContext& aLeader,
                   const protocol::WorkloadRequest& aRequest);
void
HandleRequest(LeaderContext& aLeader,
              Session aSession,
              const protocol::WorkloadRequest& aRequest);
void
AnswerCommitted(LeaderContext& aLeader, const Change& aChange);

// Workers.

void
HandleReport(LeaderContext& aLeader,
             Session aSession,
             const protocol::WorkerReport& aReport);
/** Ends runs whose lease has expired. */
void
CheckLeases(LeaderContext& aLeader);
/** Sends orders to the workers whose orders have changed. */
void
SendOrders(LeaderContext& aLeader);
/** Proposes the end of a run, unless it is proposed already. */
void
ProposeEnd(LeaderContext& aLeader,
           const RunId& aRun,
           RunEnd aEnd,
           const std::string& aCheckpoint,
           const EndProof& aProof);
/** Marks a run to be stopped, which puts a stop into its worker's orders.
 * aReason: for the log. */
void
StopRun(LeaderContext& aLeader, const RunId& aRun, const char* aReason);

// Runs.

/** Returns all open runs of the gang of aRun, or aRun alone. */
std::vector<RunId>
GangOf(const LeaderContext& aLeader, const RunId& aRun);
/** Returns whether the run writes a checkpoint when it is stopped. */
bool
IsCheckpointing(const LeaderContext& aLeader, const RunId& aRun);
/** Takes over the run times that earlier leaders have learned. */
void
ImportRunTimes(LeaderContext& aLeader);
/** Learns from the end of a run, which is still in mRuns. */
void
LearnRunTime(LeaderContext& aLeader,
             const EndRun& aChange,
             const OpenRun& aOpen);
/** Returns the expected run time of a whole task. */
base::Duration
ExpectedRunTime(const LeaderContext& aLeader,
                const WorkloadRecord& aWorkload,
                const TaskId& aTask);
/** Returns the time left to a task of which only is known that it has run for
 * aElapsed. */
base::Duration
ExpectedTimeLeftAfter(const LeaderContext& aLeader,
                      const WorkloadRecord& aWorkload,
                      const TaskId& aTask,
                      base::Duration aElapsed);
/** Returns the expected time to the end of the run. */
base::Duration
ExpectedTimeLeft(const LeaderContext& aLeader,
                 const RunId& aRun,
                 const OpenRun& aOpen);
/** Learns the speed of aWorker from the listed progress of a run there. */
void
LearnSpeed(LeaderContext& aLeader,
           const Worker& aWorker,
           const protocol::RunningTask& aRunning);
/** Stops runs that are not expected to end before their target has left. */
void
StopRunsOnLeavingTargets(LeaderContext& aLeader);
/** Stops runs that have made no progress for longer than a restart costs, and
 * marks their workers as stalling. */
void
StopStalledRuns(LeaderContext& aLeader);

// Decisions.

/** Adds the resources of a workload's first step to the demand for headroom,
 * if the workload is urgent (priority 0). */
void
RecordUrgentDemand(LeaderContext& aLeader, const WorkloadId& aId);
/** Starts the tasks that fit now, and orders the stops that preemption,
 * leaving targets and stalled runs require. */
void
Decide(LeaderContext& aLeader);
/** Adds a committed run to mRuns. */
void
AddOpenRun(LeaderContext& aLeader, const RunId& aRun, const TaskRecord& aTask);

} // namespace dogwooddrum::coordination::workloads
