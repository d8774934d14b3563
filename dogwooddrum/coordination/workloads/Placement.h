/** \file
 * Defines the placement of a workload's tasks on workers: which workers have
 * the resources, and which runs to preempt if none has. It works on a scratch
 * copy of the workers' free resources.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/State.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Resources of a worker or a task; free resources are negative where more is
 * in use than the worker has. */
struct ResourceVector
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
};

/** Returns the resources of one task of aStep. A task with mFillsIdleCores
 * counts no cores. */
ResourceVector
ResourcesOf(const WorkloadStep& aStep);
ResourceVector
operator+(const ResourceVector& aLeft, const ResourceVector& aRight);
ResourceVector
operator-(const ResourceVector& aLeft, const ResourceVector& aRight);
/** Returns the resources as a number of cores; an accelerator counts as 8
 * cores, as in the platform's prices. */
double
CoreEquivalents(const ResourceVector& aResources);
/** Returns whether aNeed fits into aFree. A kind of resource that is not needed
 * does not matter, also where aFree is negative. */
bool
Fits(const ResourceVector& aNeed, const ResourceVector& aFree);

/** A run that may be preempted by more urgent work; a run of priority 0, which
 * then exceeds its account's guarantee, only by work that reclaims one. */
struct Victim
{
  RunId mRun;
  std::vector<RunId> mGang; ///< all runs that a stop ends, itself included
  std::uint32_t mPriority = 0;
  ResourceVector mResources;
  double mLoss = 0; ///< core-seconds of work that a stop loses
  double mCost = 0; ///< mLoss, weighted by priority
};

/** Ratio of the weights of one priority and of the next less urgent one; users
 * value work of priority 1 three times as high as work of priority 2. */
constexpr double kPriorityWeight = 3;

/** Resources that a run is expected to free. */
struct ExpectedRelease
{
  base::Duration mIn{}; ///< maximum: its end is not known
  ResourceVector mResources;
};

/** A run of a task during which a target has crashed before. */
struct CrashSuspect
{
  WorkloadId mWorkload;
  std::size_t mCrashes = 0;
};

/** State of one worker as placement needs it. */
struct WorkerView
{
  TargetIncarnation mTargetIncarnation;
  protocol::PoolName mPool;
  base::ZoneId mZone;
  base::RackId mRack;
  std::set<std::string> mLabels;
  /** How much longer it takes for the same work than the median worker. */
  double mSlowness = 1;
  ResourceVector mCapacity;
  ResourceVector mFree;
  ResourceVector
    mReleasing; ///< used by runs that are being stopped or end soon
  bool mUsable = true;
  bool mSuspect = false; ///< its newest runs failed or stalled
  /** Whether runs of several workloads have failed there and none has ended as
   * done since, so that it takes no work but a probe. */
  bool mIsQuarantined = false;
  bool mIsProbeDue = false;  ///< if quarantined: may take one task
  std::size_t mRunCount = 0; ///< open or unexpected runs
  std::vector<CrashSuspect> mCrashSuspects;
  std::vector<Victim> mVictims;
  std::vector<ExpectedRelease> mReleases; ///< of all runs, the earliest first
  bool mIsHeld = false;      ///< part of it is reserved for a waiting unit
  ResourceVector mHeld;      ///< reserved; free or still in use
  base::Duration mHeldFor{}; ///< until the unit is expected to start
};

/** Tasks that are placed together: one task, or all members of a gang. */
struct PlacementUnit
{
  std::vector<TaskId> mTasks;
  const WorkloadStep* mStep = nullptr;
  protocol::PoolName mPool;
  base::AccountId mAccount;
  std::uint32_t mPriority = 0;
  bool mGuaranteed = false;  ///< within its client account's guarantee
  bool mMayReclaim = false;  ///< all urgent work of its account is guaranteed
  std::int64_t mDueAtMs = 0; ///< Unix time; the earliest is placed first
  std::int64_t mWaitedMs = 0;
  base::Duration mExpectedRunTime = base::Duration::max(); ///< of each task
  /** For each task, the crashes of targets during its runs; empty: none. */
  std::vector<std::size_t> mCrashes;
  /** Whether it has waited too long to be kept apart from suspects of crashes,
   * see MayIgnoreCrashes. */
  bool mIgnoresCrashes = false;
  /** Whether it has waited too long to be kept from quarantined workers, see
   * MayIgnoreQuarantine. */
  bool mIgnoresQuarantine = false;
  /** Whether it is placed on fast workers first; otherwise on slow ones, so
   * that the fast ones are free for work that needs them. See PrefersFast. */
  bool mPrefersFast = false;
  /** Targets on which a task of the unit failed before. */
  std::set<TargetIncarnation> mAvoid;
  /** Racks on which tasks of the same step run already. */
  std::set<base::RackId> mStepRacks;
  /** Number of running tasks of the same step, by worker index. */
  std::vector<std::uint32_t> mStepTasks;
};

struct PlacementOptions
{
  bool mLocalityWait = true; ///< whether units wait for a preferred rack
  /** Factor by which a task takes longer away from its data or its gang; 3 in
   * all of the users' deployments. */
  std::int64_t mRemotePenalty = 3;
  /** Longest wait of guaranteed work for a preferred rack; the platform
   * requires its start within 2900 ms, of which a stop takes 900 ms. */
  std::int64_t mGuaranteedLocalityWaitMs = 1500;
  /** Wait of a unit that may reclaim before it stops urgent work of other
   * accounts, which often ends by itself by then. The platform requires the
   * start within the same time as above. */
  std::int64_t mReclaimWaitMs = 1500;
  /** Longest wait for a preferred rack while much of the pool is idle; the
   * platform allows 3000 ms. */
  std::int64_t mIdleLocalityWaitMs = 2000;
  /** Longest wait for a preferred rack. */
  std::int64_t mMaxLocalityWaitMs = 20000;
  /** Longest wait to be kept apart from suspects of crashes while much of the
   * pool is idle; the platform allows 3000 ms. */
  std::int64_t mIdleCrashWaitMs = 2000;
  /** Longest wait to be kept apart from suspects of crashes. */
  std::int64_t mMaxCrashWaitMs = 20000;
  /** Longest wait to be kept from quarantined workers, inside a guarantee and
   * while much of the pool is idle; the platform allows 2900 ms and 3000 ms. */
  std::int64_t mGuaranteedQuarantineWaitMs = 1500;
  std::int64_t mIdleQuarantineWaitMs = 2000;
};

/** A task that has seen this many crashes is run alone, so that it takes no
 * other work down if it is their cause, and is cleared if it is not. */
constexpr std::size_t kCrashesBeforeIsolation = 2;

/** Returns the number of crashes of targets during runs of a task of aUnit. */
std::size_t
CrashesOf(const PlacementUnit& aUnit, std::size_t aTask);
/** Returns whether the worker may run a task of aUnit beside its present runs:
 * a task at which a target has crashed runs beside no such task of another
 * workload, so that the next crash tells them apart, and after
 * kCrashesBeforeIsolation crashes beside no run of another workload. Tasks of
 * one workload are not kept apart, since it fails as a whole. */
bool
MayShareWorker(const PlacementUnit& aUnit,
               std::size_t aTask,
               const WorkerView& aWorker);
/** Returns whether the unit, which has not been placed, may be placed without
 * regard to MayShareWorker: crashes delay a task, but do not keep it from
 * running while there is room. */
bool
MayIgnoreCrashes(const PlacementUnit& aUnit,
                 const std::vector<WorkerView>& aWorkers,
                 const PlacementOptions& aOptions);

/** Returns whether the unit, which has not been placed, may be placed on
 * quarantined workers: guaranteed work before its start would be late, and any
 * work while much of the pool is idle, unless other tasks of its step run. The
 * platform counts a workload of which nothing runs then as lost. */
bool
MayIgnoreQuarantine(const PlacementUnit& aUnit,
                    const std::vector<WorkerView>& aWorkers,
                    const PlacementOptions& aOptions);

/** Returns whether the worker may run tasks of the unit at all. */
bool
IsEligible(const PlacementUnit& aUnit, const WorkerView& aWorker);
/** Returns the racks that satisfy the unit's locality preference: the one with
 * its data, or each single rack for a gang that prefers one rack. */
std::vector<base::RackId>
PreferredRacks(const PlacementUnit& aUnit,
               const std::vector<WorkerView>& aWorkers);
/** Returns whether the unit waits for workers on a preferred rack rather than
 * start elsewhere (delay scheduling): running elsewhere would take longer by
 * more than the unit has waited, no limit of aOptions is reached, and the unit
 * would fit on a preferred rack if that were idle. */
bool
WaitsForLocality(const PlacementUnit& aUnit,
                 const std::vector<WorkerView>& aWorkers,
                 const PlacementOptions& aOptions);

/** Index of a worker for each task of the unit. */
using Assignment = std::vector<std::size_t>;

/**
 * Returns workers with enough free resources for the whole unit, and subtracts
 * these from aWorkers. Returns an empty optional and changes nothing if the
 * unit does not fit now or waits for a preferred rack.
 */
std::optional<Assignment>
PlaceInFreeResources(const PlacementUnit& aUnit,
                     std::vector<WorkerView>& aWorkers,
                     const PlacementOptions& aOptions);

/** Runs that have to be stopped before the unit can start, and where it starts
 * then. */
struct PreemptionPlan
{
  Assignment mWorkers;
  std::vector<RunId> mStops; ///< empty: enough is being released already
};

/**
 * Returns the cheapest plan that makes the unit fit by stopping runs of a
 * higher priority number than aBelow, or also of aBelow if the unit reclaims
 * its account's guarantee; on a preferred rack while the unit waits for one.
 * Subtracts the unit's resources from aWorkers, so that no other unit gets
 * them. Returns an empty optional and changes nothing if there is no such plan
 * or if its stops lose more than aAllowedLoss core-seconds.
 */
std::optional<PreemptionPlan>
PlanPreemption(const PlacementUnit& aUnit,
               std::uint32_t aBelow,
               double aAllowedLoss,
               std::vector<WorkerView>& aWorkers,
               const PlacementOptions& aOptions);

/** Returns the share in use of the pool's least used kind of resource. */
double
LowestUtilization(const protocol::PoolName& aPool,
                  const std::vector<WorkerView>& aWorkers);

/** Returns whether more than half of the pool's usable resources are free, in
 * core equivalents. The platform counts work that waits meanwhile as starved,
 * so that nothing is kept free for other work then. */
bool
IsHalfIdle(const protocol::PoolName& aPool,
           const std::vector<WorkerView>& aWorkers);

/** Returns whether the unit fits into the free resources, on any racks. */
bool
FitsOnAnyRack(const PlacementUnit& aUnit, std::vector<WorkerView> aWorkers);

/** Returns whether the sum of the free resources of all eligible workers is
 * enough for the unit. */
bool
FitsInTotal(const PlacementUnit& aUnit,
            const std::vector<WorkerView>& aWorkers);

/** Returns whether the unit would fit if its pool's workers were idle. */
bool
IsFeasible(const PlacementUnit& aUnit, std::vector<WorkerView> aWorkers);

} // namespace dogwooddrum::coordination::workloads
