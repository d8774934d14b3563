/** \file
 * Defines the choice of workers for tasks, over a scratch copy of the free
 * room: where tasks fit, and what has to be stopped to make them fit.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/State.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Room of a worker; negative if more is used than there is. */
struct Room
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
};

/** Returns aEach as room; a filler takes no cores of its own. */
Room
RoomFor(const WorkloadStep& aStep);
Room
operator+(const Room& aLeft, const Room& aRight);
Room
operator-(const Room& aLeft, const Room& aRight);
/** Returns the cores that a room counts for in the platform's prices. */
double
CoresOf(const Room& aRoom);
/** Returns whether aNeed fits into aFree. */
bool
Fits(const Room& aNeed, const Room& aFree);

/** A run that may be stopped for more urgent work. */
struct Victim
{
  RunId mRun;
  std::vector<RunId> mGang; ///< all runs that end with it, itself included
  std::uint32_t mPriority = 0;
  Room mRoom;
  double mLoss = 0; ///< core-seconds that are thrown away
  double mCost = 0; ///< the loss, weighted by how urgent the work is
};

/** What placement knows of one worker. */
struct WorkerView
{
  TargetLife mLife;
  protocol::PoolName mPool;
  base::RackId mRack;
  std::set<std::string> mLabels;
  Room mCapacity;
  Room mFree;
  Room mReleasing; ///< of runs that are being stopped, or end soon
  bool mUsable = true;
  bool mSuspect = false; ///< its last tasks failed
  std::vector<Victim> mVictims;
};

/** Tasks that start together: one task, or all members of a gang. */
struct Unit
{
  std::vector<TaskId> mTasks;
  const WorkloadStep* mStep = nullptr;
  protocol::PoolName mPool;
  std::uint32_t mPriority = 0;
  bool mGuaranteed = false;    ///< inside its client account's guarantee
  std::int64_t mUrgencyMs = 0; ///< time of the objective; smaller is first
  std::int64_t mWaitedMs = 0;
  /** Targets on which the task failed before. */
  std::set<TargetLife> mAvoid;
  /** Racks on which tasks of the same step run. */
  std::set<base::RackId> mStepRacks;
  /** Tasks of the same step on each worker, by worker index. */
  std::vector<std::uint32_t> mStepTasks;
};

struct PlacementOptions
{
  /** How many times as long a task takes away from its data or its gang; the
   * users' deployments all say 3. */
  std::int64_t mRemotePenalty = 3;
  /** Longest wait of guaranteed work for a near place; the platform wants it
   * started within 2900 ms, and a stop takes 900 ms of that. */
  std::int64_t mGuaranteedPatienceMs = 1500;
  /** Longest wait for a near place while much of the pool is idle; the
   * platform allows 3000 ms. */
  std::int64_t mIdlePatienceMs = 2000;
  /** Longest wait for a near place. */
  std::int64_t mMostPatienceMs = 20000;
};

/** Index of a worker for each task of the unit. */
using Assignment = std::vector<std::size_t>;

/**
 * Returns workers with free room for the whole unit, and takes the room out
 * of aWorkers; or an empty optional, without a change.
 */
std::optional<Assignment>
PlaceInFreeRoom(const Unit& aUnit,
                std::vector<WorkerView>& aWorkers,
                const PlacementOptions& aOptions);

/** What has to end before the unit can start. */
struct PreemptionPlan
{
  Assignment mWorkers;
  std::vector<RunId> mStops; ///< empty: enough is being stopped already
};

/**
 * Returns the cheapest stops of runs of a higher priority number than aBelow
 * that make room for the unit, near its data or gang while it still waits for
 * that, and takes the unit's room out of aWorkers so that nothing else gets
 * it; or an empty optional, without a change, if there are none or they throw
 * more than aAllowedLoss core-seconds away.
 */
std::optional<PreemptionPlan>
PlanPreemption(const Unit& aUnit,
               std::uint32_t aBelow,
               double aAllowedLoss,
               std::vector<WorkerView>& aWorkers,
               const PlacementOptions& aOptions);

/** Returns the smallest share in use over the kinds of room of the pool. */
double
LeastShareInUse(const protocol::PoolName& aPool,
                const std::vector<WorkerView>& aWorkers);

/** Returns whether the unit would fit if its pool's workers were empty. */
bool
IsFeasible(const Unit& aUnit, std::vector<WorkerView> aWorkers);

} // namespace dogwooddrum::coordination::workloads
