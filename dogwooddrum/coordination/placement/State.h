/** \file
 * Defines State, the plain data that all modules of the placer work on.
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
  Claimed,  ///< decided, waits for victims to leave
  Held,     ///< started
  Stopping, ///< told to stop, still held
};

enum class HoldKind : std::uint8_t
{
  Covered,  ///< inside its account's cells
  Borrowed, ///< reclaimable
  Pinned,   ///< neither; only after adoption or a change of guarantees
};

/** Rules of a profile as the placer uses them. */
struct ProfileRules
{
  std::int32_t mPriority = 0;
  bool mPreemptible = true;
  bool mInteractive = false;
  base::Duration mReservationAge{};
};

struct HeldTask
{
  base::TaskIndex mTask;
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
};

struct JobEntry
{
  JobRequest mRequest;
  ProfileRules mRules;
  AccountIndex mAccount = kNoIndex;
  ClassIndex mClass = kNoIndex; ///< while queued
  JobPhase mPhase = JobPhase::Queued;
  HoldKind mKind = HoldKind::Borrowed;
  bool mLive = false;
  bool mFailsEverywhere = false;
  std::vector<HeldTask> mTasks;
  std::vector<CellShare> mShares;
  std::vector<WorkerIndex> mFailedOn;
  ClaimHandle mClaim = kNoIndex;
  base::Time mQueuedSince;
  base::Time mStarted;
  base::Time mSaved;          ///< work up to here survives a stop
  base::Time mProtectedUntil; ///< no victim of a reservation before
  base::Duration mServed{};   ///< over all earlier starts
};

/** Order within a class: earliest deadline, then submission. */
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

/** Queued jobs that are alike; if the first cannot start, none can. */
struct JobClass
{
  ClassKey mKey;
  AccountIndex mAccount = kNoIndex;
  protocol::GangShape mShape;
  bool mRepeatable = true;
  ProfileRules mRules;
  std::set<QueueKey> mQueue;
  base::Time mRetryAt;              ///< next attempt to reserve
  std::optional<base::Time> mTimer; ///< entry in State::mTimers
  bool mLive = false;
};

/** Maximum of a demand over recent time. */
struct DecayedPeak
{
  double mValue = 0;
  base::Time mAt;
};

struct AccountState
{
  base::AccountId mName;
  std::uint64_t mBorrowed = 0;  ///< accelerators
  std::uint64_t mProtected = 0; ///< demand of work that must be inside
  DecayedPeak mProtectedPeak;
  std::set<ClassIndex> mClasses;
  std::set<std::pair<base::Time, JobHandle>> mOutside; ///< held, not covered
};

struct ClaimPart
{
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
  std::uint32_t mGot = 0; ///< earmarked so far
};

/** Accelerators set aside for a job whose victims are leaving. */
struct Claim
{
  JobHandle mJob = kNoIndex;
  bool mCovered = false;
  bool mLive = false;
  Plan mPlan;
  std::vector<ClaimPart> mParts;
  std::uint32_t mDue = 0; ///< accelerators that are not earmarked yet
  base::Time mExpires;
};

/** Weight of a shape in the recent demand. */
struct DemandShape
{
  protocol::GangShape mShape;
  double mWeight = 0;
  base::Time mAt;
};

struct WorkerHealth
{
  std::vector<base::JobId> mFailures; ///< different jobs, consecutive
  bool mQuarantined = false;
  bool mProbing = false;     ///< a probe runs
  base::Time mUntil;         ///< when a probe is allowed
  base::Time mReadmitAt;     ///< when work is allowed without a probe
  std::uint32_t mRounds = 0; ///< quarantines in a row
};

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
  CapacityIndex mFree{ mTopology };    ///< free for new work now
  CapacityIndex mReclaim{ mTopology }; ///< free after all borrowed work left
  CapacityIndex mKnown{ mTopology };   ///< all accelerators, usable or not
  CellRegistry mCells{ mTopology };
  std::uint64_t mUsableTotal = 0;
  std::uint64_t mInteractiveBorrowed = 0;
  std::uint32_t mBatchClasses = 0; ///< waiting classes that may borrow and
                                   ///< are not interactive

  std::deque<JobEntry> mJobs;
  std::vector<JobHandle> mFreeJobs;
  std::unordered_map<std::uint64_t, JobHandle> mJobById;
  std::vector<JobHandle> mNew; ///< submitted, feasibility not checked

  std::deque<JobClass> mClasses;
  std::vector<ClassIndex> mFreeClasses;
  std::map<ClassKey, ClassIndex> mClassByKey;
  std::map<ShapeKey, std::set<ClassIndex>> mShapes; ///< classes with jobs
  std::set<ClassIndex> mGuaranteeDirty; ///< may have come to fit its cells
  std::set<std::pair<base::Time, ClassIndex>> mTimers;
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
  std::set<std::pair<base::Time, WorkerIndex>> mDown;
  std::vector<base::Time> mMoves; ///< compaction moves of the last minute
  base::Time mCompactionAt;       ///< next attempt to compact
  base::Time mRepackAt;           ///< next attempt to repack cells
  base::Duration mRepackWait{};   ///< grows while repacking does not help
  bool mCapacityChanged = false;  ///< cells may need repair or may now bind
  bool mMoreWork = false;         ///< the last decision ended at its limit
  base::Time mLastDecide;
  std::set<ClassIndex> mGuaranteeLater; ///< did not form inside their cells
  base::Time mGuaranteeLaterAt;         ///< when to try them again
  std::set<JobHandle> mAdopted;    ///< held inside cells under the last leader
  std::set<AccountIndex> mPromote; ///< accounts with cells given back
  std::vector<Decision> mOut;
};

} // namespace dogwooddrum::coordination::placement
