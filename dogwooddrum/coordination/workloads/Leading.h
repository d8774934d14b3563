/** \file
 * Defines Leading, the leader's memory that the modules of Scheduler share.
 * Internal to this package. It is rebuilt from the replicated state and the
 * agents' reports at the start of each leadership.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "dogwooddrum/coordination/workloads/RunTimes.h"
#include "dogwooddrum/coordination/workloads/Scheduler.h"

#include <map>
#include <optional>
#include <set>

namespace dogwooddrum::coordination::workloads {

/** Time that an order to stop and the report of the end need, beside the time
 * that a target takes to stop a run. */
constexpr base::Duration kOrderTime = base::Milliseconds(300);

/** A run that may hold room: proposed, or committed and not ended. */
struct OpenRun
{
  TargetLife mTarget;
  Room mRoom;
  std::uint32_t mPriority = 0;
  base::Time mStartedAt; ///< decided, or taken over with the leadership
  base::Time mSavedAt;   ///< when the newest checkpoint was first seen
  std::string mCheckpoint;
  std::string mResumedFrom; ///< checkpoint at the start; empty: none
  RunProgress mProgress;
  bool mCommitted = false;
  bool mStopping = false;
  bool mEnding = false; ///< its end is proposed
  bool mGuaranteed = false;
};

/** One life of a target with the agent that speaks for it. */
struct Worker
{
  protocol::TargetFacts mFacts;
  std::string mAgentName;
  base::Incarnation mAgent;
  Session mSession;
  std::uint64_t mReportSequence = 0;
  bool mUp = false; ///< its lease has not ended
  bool mDirty = false;
  protocol::FencingToken mFence;
  base::Time mHeardSince; ///< first report to this leader
  base::Time mListedAt;   ///< newest list that its agent got of it
  base::Time mLastGrant;
  /** Earliest time at which it is gone, if it leaves and has said so. */
  std::optional<base::Time> mLeavesAt;
  std::int64_t mLeaseUntilUs = 0; ///< on the agent's clock
  std::map<RunId, protocol::RunningTask> mReported;
  std::uint64_t mProposedEnds = 0;
  std::uint64_t mAcknowledged = 0;
  std::set<RunId> mPendingEnds; ///< proposed and not applied
  std::uint32_t mFailuresInARow = 0;
  base::Time mLastFailure;
  base::Time mStalledAt; ///< when a run here was last seen standing still
};

/** A caller that waits for a commit. */
struct Waiter
{
  Session mSession;
  base::RequestId mRequest;
};

struct Leading
{
  Leading(const SchedulerOptions& aOptions, const State& aState)
    : mOptions(aOptions)
    , mState(&aState)
  {
  }

  SchedulerOptions mOptions;
  const State* mState;
  SchedulerOutput mOutput;
  bool mLeads = false;
  bool mDecide = false; ///< something changed for placement
  base::Term mTerm;
  base::Time mNow;
  base::Time mLeadingSince;
  base::Time mNextForget;
  base::Time mNextDecision; ///< placement also depends on time
  base::Time mNextStallCheck;
  std::int64_t mUnixOffsetMs = 0;
  std::vector<std::string> mMembers; ///< link addresses of the group
  std::uint64_t mOrderSequence = 0;
  std::uint64_t mLives = 0; ///< rises with each life that is reported
  std::map<RunId, OpenRun> mRuns;
  std::map<TargetLife, Worker> mWorkers;
  std::map<std::string, TargetLife> mByAgent;
  std::map<TaskId, base::Time> mReadySince;
  RunTimes mRunTimes;
  std::map<protocol::PoolName, UrgentDemand> mUrgentDemand;
  std::map<TaskId, std::set<TargetLife>> mFailedOn;
  std::map<WorkloadId, std::vector<Waiter>> mSubmits;
  std::map<WorkloadId, std::vector<Waiter>> mCancels;
  std::set<WorkloadId> mOccurrenceProposed;
  std::vector<std::pair<protocol::CatalogVersion, Waiter>> mCatalogWaiters;
  protocol::CatalogVersion mProposedVersion;
  /** Catalogs of this leadership, for deltas, without their sources. */
  std::map<protocol::CatalogVersion, Catalog> mCatalogs;
};

inline std::int64_t
UnixMs(const Leading& aLeading)
{
  return base::ToMilliseconds(aLeading.mNow) + aLeading.mUnixOffsetMs;
}

inline void
Propose(Leading& aLeading, ChangeBody aChange)
{
  aLeading.mOutput.mChanges.push_back(Change{ std::move(aChange) });
}

/** Adds a note for the log. */
void
Tell(Leading& aLeading,
     Note::Kind aKind,
     std::vector<std::pair<std::string_view, std::string>> aFields);

// Requests.

void
HandleRequest(Leading& aLeading,
              Session aSession,
              const protocol::WorkloadRequest& aRequest);
void
AnswerCommitted(Leading& aLeading, const Change& aChange);

// Workers.

void
HandleReport(Leading& aLeading,
             Session aSession,
             const protocol::WorkerReport& aReport);
/** Ends runs whose lease is over. */
void
CheckLeases(Leading& aLeading);
/** Sends orders to workers for which they changed. */
void
SendOrders(Leading& aLeading);
/** Proposes the end of a run once. */
void
ProposeEnd(Leading& aLeading,
           const RunId& aRun,
           RunEnd aEnd,
           const std::string& aCheckpoint);
/** Orders a run to be stopped. */
void
StopRun(Leading& aLeading, const RunId& aRun, const char* aWhy);

// Runs.

/** Returns all open runs of the gang of aRun, or aRun alone. */
std::vector<RunId>
GangOf(const Leading& aLeading, const RunId& aRun);
/** Returns whether a stop saves the work of the run. */
bool
IsSaving(const Leading& aLeading, const RunId& aRun);
/** Returns the expected time to the end of the run. */
base::Duration
TimeLeftOf(const Leading& aLeading, const RunId& aRun, const OpenRun& aOpen);
/** Stops runs that cannot end before their target has left. */
void
StopDoomedRuns(Leading& aLeading);
/** Stops runs that stand still for longer than a new start costs, and marks
 * their workers. */
void
StopStalledRuns(Leading& aLeading);

// Decisions.

/** Counts a workload as demand if it is urgent. */
void
CountDemand(Leading& aLeading, const WorkloadId& aId);
/** Proposes starts and stops for what can run now. */
void
Decide(Leading& aLeading);
/** Takes a committed run into the leader's books. */
void
AddOpenRun(Leading& aLeading, const RunId& aRun, const TaskRecord& aTask);

} // namespace dogwooddrum::coordination::workloads
