/** \file
 * Defines the reservation of workers for the first waiting unit of a queue
 * level, and the shares of a pool to which its levels are entitled. Together
 * they bound the wait of each level: the first unit of a level below its share
 * has workers held until they have drained, so that other work cannot take its
 * resources piece by piece.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Placement.h"

#include <map>
#include <optional>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Where a unit starts once the runs there have ended. */
struct Reservation
{
  Assignment mWorkers;
  base::Duration mStartsIn{}; ///< until the last of them has enough free
  /** Core-seconds that are free for the unit but unused until it starts. */
  double mIdleLoss = 0;
};

/**
 * Returns the workers on which the unit can start first, by the expected ends
 * of their runs; on a preferred rack while the unit waits for one. None if too
 * few workers will have enough free. Thread safe.
 */
std::optional<Reservation>
PlanReservation(const PlacementUnit& aUnit,
                const std::vector<WorkerView>& aWorkers,
                const PlacementOptions& aOptions);

/** Holds the unit's resources on the reserved workers. Other units may use them
 * only for tasks that are expected to end before the unit starts. */
void
HoldReservation(const PlacementUnit& aUnit,
                const Reservation& aReservation,
                std::vector<WorkerView>& aWorkers);

/**
 * Shares of one pool by weighted dominant-resource fairness: urgent and
 * long-running work takes what it needs, and the rest is divided between the
 * other levels that have work. A level's share is its largest share of any kind
 * of resource. Thread safety: none.
 */
class PoolShares
{
public:
  explicit PoolShares(const ResourceVector& aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** Adds resources that are used by urgent or long-running work, or kept free
   * for it. */
  void AddPrivileged(const ResourceVector& aResources)
  {
    mPrivileged = mPrivileged + aResources;
  }
  /** Adds a level with waiting work, or resources that a level uses. */
  void Add(std::uint32_t aPriority, const ResourceVector& aResources);
  /** Returns whether the level uses less than the share to which it is
   * entitled. */
  bool IsBelowShare(std::uint32_t aPriority) const;
  /** Returns whether the level uses no more than that share if it uses aMore in
   * addition. */
  bool IsWithinShare(std::uint32_t aPriority,
                     const ResourceVector& aMore) const;
  /** Returns whether the level still uses at least that share if it uses aLess
   * less. */
  bool IsAboveShareWithout(std::uint32_t aPriority,
                           const ResourceVector& aLess) const;

private:
  double EntitledShare(std::uint32_t aPriority) const;
  double DominantShare(const ResourceVector& aResources) const;

  ResourceVector mCapacity;
  ResourceVector mPrivileged;
  std::map<std::uint32_t, ResourceVector> mUsed; ///< by priority
};

} // namespace dogwooddrum::coordination::workloads
