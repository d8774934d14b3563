/** \file
 * Defines what waits for a pool that is not urgent: the units by level, and the
 * share of the pool that each level uses. Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "dogwooddrum/coordination/workloads/Reservations.h"

#include <map>
#include <set>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Returns whether the unit is placed before all others that are not urgent,
 * and may use the headroom. */
bool
IsPrivileged(const PlacementUnit& aUnit);

/** Returns the resources of all tasks of the unit. */
ResourceVector
TotalResources(const PlacementUnit& aUnit);

/** The waiting units of one level. */
struct LevelUnits
{
  std::vector<PlacementUnit*> mUnits; ///< in the order of their due times
  std::size_t mNext = 0;
  std::set<const WorkloadStep*> mFullSteps; ///< no further task of them fits
};

/** The levels of one decision. Levels within their share of the pool come
 * before the others, the more urgent first. Thread safety: none. */
class Levels
{
public:
  /** aLeader must outlive this. */
  explicit Levels(const LeaderContext& aLeader)
    : mLeader(aLeader)
  {
  }

  /** Adds a unit behind the others of its level; it must outlive this. */
  void Add(PlacementUnit& aUnit)
  {
    mLevels[{ aUnit.mPool, aUnit.mPriority }].mUnits.push_back(&aUnit);
  }
  /** Computes what each level uses of its pool now. Precondition: all units are
   * added. */
  void ComputeShares(const std::vector<WorkerView>& aViews);
  /** Counts resources of the pool as used by privileged work. */
  void AddPrivileged(const protocol::PoolName& aPool,
                     const ResourceVector& aResources);
  /** Counts the resources of a unit that was placed. */
  void OnPlaced(const PlacementUnit& aUnit);
  /** Returns the units of the level, or null. */
  LevelUnits* Find(const QueueLevel& aLevel);
  /** Returns the level whose next unit is to be placed, or null. */
  LevelUnits* Next();
  /** Returns whether the level uses less than its share. */
  bool IsBelowShare(const QueueLevel& aLevel) const;
  /** Returns whether the levels of the runs keep their shares without them. */
  bool MayStop(const protocol::PoolName& aPool,
               const std::vector<RunId>& aRuns) const;

private:
  bool IsWithinShare(const QueueLevel& aLevel, const LevelUnits& aUnits) const;
  void AddOpenRuns();

  const LeaderContext& mLeader;
  std::map<QueueLevel, LevelUnits> mLevels;
  std::map<protocol::PoolName, PoolShares> mShares;
};

} // namespace dogwooddrum::coordination::workloads
