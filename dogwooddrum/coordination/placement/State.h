/** \file
 * Defines State, the data that all modules of the placer read and change.
 */
#pragma once

#include "dogwooddrum/coordination/placement/GuaranteeCells.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace dogwooddrum::coordination::placement {

enum class JobPhase : std::uint8_t
{
  Queued,
  Claimed,  ///< placement decided; waits until the victims have stopped
  Held,     ///< started; holds accelerators
  Stopping, ///< ordered to stop; still holds accelerators
};

enum class HoldKind : std::uint8_t
{
  Covered,  ///< inside the guarantee cells of its account
  Borrowed, ///< outside the cells; can be reclaimed by stopping the job
  Pinned,   ///< outside the cells and must not be stopped; only after adoption
            ///< or a change of guarantees
};

/** Rules of a profile that placement uses. */
struct ProfileRules
{
  std::int32_t mPriority = 0;
  bool mPreemptible = true;
  bool mInteractive = false;
  base::Duration mReservationAge{};
};

/** Accelerators that one task holds on a worker. */
struct HeldTask
{
  base::TaskIndex mTask;
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
};

/** A queued, claimed or held job. */
struct JobEntry
{
  JobRequest mRequest;
  ProfileRules mRules;
  AccountIndex mAccount = kNoIndex;
  ClassIndex mClass = kNoIndex; ///< while queued
  JobPhase mPhase = JobPhase::Queued;
  HoldKind mKind = HoldKind::Borrowed;
  bool mLive = false;            ///< false: the slot is unused
  bool mFailsEverywhere = false; ///< failed on mWorkersToFailJob workers
  std::vector<HeldTask> mTasks;
  std::vector<CellShare> mShares;
  std::vector<WorkerIndex> mFailedOn;
  ClaimHandle mClaim = kNoIndex;
  base::Time mQueuedSince;
  base::Time mStarted;
  base::Time
    mCheckpointedAt; ///< last checkpoint or start; a stop loses later work
  base::Time mProtectedUntil; ///< a reservation cannot stop the job earlier
  base::Duration mEarlierRunTime{}; ///< total of all earlier runs
};

/** Order within a class: earliest deadline first, then earliest submission. */
struct QueueKey
{
  base::Time mDeadline;
  base::Time mSubmitted;
  base::JobId mJob;
  JobHandle mHandle = kNoIndex;

  friend bool operator<(const QueueKey& aLeft, const QueueKey& aRight)
  {
    return std::tie(aLeft.mDeadline, aLeft.mSubmitted, aLeft.mJob) <
           std::tie(aRight.mDeadline, aRight.mSubmitted, aRight.mJob);
  }
};

/** (account, profile, tasks, accelerators a task, adjacency, repeatable). */
using ClassKey = std::tuple<AccountIndex,
                            std::string,
                            std::uint32_t,
                            std::uint32_t,
                            protocol::Adjacency,
                            bool>;
using ShapeKey = std::tuple<std::uint32_t, std::uint32_t, protocol::Adjacency>;

/** Queued jobs with the same ClassKey; if the first cannot start, none can. */
struct JobClass
{
  ClassKey mKey;
  AccountIndex mAccount = kNoIndex;
  protocol::GangShape mShape;
  bool mRepeatable = true;
  ProfileRules mRules;
  std::set<QueueKey> mQueue;
  base::Time mReserveRetryAt; ///< earliest next attempt to reserve
  std::optional<base::Time>
    mReservationTimer; ///< entry in State::mReservationTimers
  bool mLive = false;
};

/** Maximum of a demand, decaying with time since mAt. */
struct DecayedPeak
{
  double mValue = 0;
  base::Time mAt;
};

struct AccountState
{
  base::AccountId mName;
  std::uint64_t mBorrowed = 0;        ///< accelerators
  std::uint64_t mProtectedDemand = 0; ///< accelerators that protected jobs need
  DecayedPeak mProtectedDemandPeak;
  std::set<ClassIndex> mClasses;
  std::set<std::pair<base::Time, JobHandle>>
    mUncoveredJobs; ///< held jobs that are not covered, by start time
};

/** The part of a claim on one worker, in accelerators. */
struct ClaimPart
{
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
  std::uint32_t mEarmarked = 0; ///< earmarked so far
};

/** Accelerators reserved for a job until its victims have stopped. */
struct Claim
{
  JobHandle mJob = kNoIndex;
  bool mCovered = false;
  bool mLive = false;
  Plan mPlan;
  std::vector<ClaimPart> mParts;
  std::uint32_t mOutstanding = 0; ///< accelerators that are not earmarked yet
  base::Time mExpires;
};

/** A shape and its weight in the recent demand. */
struct DemandShape
{
  protocol::GangShape mShape;
  double mWeight = 0;
  base::Time mAt;
};

/** Failures and quarantine of a worker. */
struct WorkerHealth
{
  std::vector<base::JobId>
    mFailedJobs; ///< distinct jobs since the last success
  bool mQuarantined = false;
  bool mProbing = false; ///< a probe job is running
  base::Time mProbeAt;   ///< earliest start of a probe job
  base::Time mReadmitAt; ///< readmission without a probe
  std::uint32_t mConsecutiveQuarantines = 0;
};

/** All state of a Placer. */
struct State
{
  explicit State(const PlacerOptions& aOptions)
    : mOptions(aOptions)
  {
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  PlacerOptions mOptions;
  protocol::Configuration mConfiguration;
  Topology mTopology;
  CapacityIndex mFree{ mTopology }; ///< free for new jobs now
  CapacityIndex mReclaimable{
    mTopology
  };                                 ///< free if all borrowed work stopped
  CapacityIndex mKnown{ mTopology }; ///< all accelerators, usable or not
  CellRegistry mCells{ mTopology };
  std::uint64_t mUsableTotal = 0;
  std::uint64_t mInteractiveBorrowed = 0;
  std::uint32_t mBatchClassCount = 0; ///< queued classes that may borrow and
                                      ///< are not interactive

  std::deque<JobEntry> mJobs;
  std::vector<JobHandle> mFreeJobs;
  std::unordered_map<std::uint64_t, JobHandle> mJobById;
  std::vector<JobHandle> mNewJobs; ///< not yet checked by CheckCanRun

  std::deque<JobClass> mClasses;
  std::vector<ClassIndex> mFreeClasses;
  std::map<ClassKey, ClassIndex> mClassByKey;
  std::map<ShapeKey, std::set<ClassIndex>>
    mClassesByShape;                         ///< classes with jobs
  std::set<ClassIndex> mGuaranteeCandidates; ///< may fit unused cells since the
                                             ///< last attempt
  std::set<std::pair<base::Time, ClassIndex>> mReservationTimers;
  std::set<std::pair<base::Time, JobHandle>> mDeadlines;

  std::vector<AccountState> mAccounts;
  std::unordered_map<std::string, AccountIndex> mAccountByName;
  std::unordered_map<std::string, ProfileRules> mProfiles;

  std::vector<Claim> mClaims;
  std::vector<ClaimHandle> mFreeClaims;
  std::set<ClaimHandle> mReadyClaims;
  std::set<std::pair<base::Time, ClaimHandle>> mClaimTimers;

  std::vector<DemandShape> mDemand;
  std::map<WorkerIndex, WorkerHealth> mHealth;
  std::set<std::pair<base::Time, WorkerIndex>> mDownWorkers;
  std::vector<base::Time>
    mRecentMoves;           ///< times of compaction moves in the last minute
  base::Time mCompactionAt; ///< next attempt to compact
  base::Time mRepackAt;     ///< next attempt to repack cells
  base::Duration mRepackInterval{}; ///< doubles while cells remain unbound
  bool mCapacityChanged = false;    ///< cells may need to be rebound
  bool mHasMoreWork = false;        ///< the last Decide call reached a limit
  base::Time mLastDecide;
  std::set<ClassIndex>
    mDeferredGuarantees; ///< classes that could not start inside their cells
  base::Time mGuaranteeRetryAt; ///< when to retry mDeferredGuarantees
  std::set<JobHandle> mAdopted; ///< adopted jobs that still need cells
  std::set<AccountIndex>
    mAccountsToPromote;             ///< accounts whose cells were released
  std::vector<Decision> mDecisions; ///< returned by the current Decide call
};

} // namespace dogwooddrum::coordination::placement
