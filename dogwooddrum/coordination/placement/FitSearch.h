/** \file
 * Defines the search for workers that hold a whole gang. A domain is the part
 * of the cluster within which the adjacency of a shape keeps its tasks: one
 * worker, a rack, an availability zone or the region.
 */
#pragma once

#include "dogwooddrum/coordination/placement/CapacityIndex.h"

#include <string>
#include <vector>

namespace dogwooddrum::coordination::placement {

/** Some tasks of a gang on one worker. */
struct PlanPart
{
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mTasks = 0;
};

/** Workers for a whole gang; empty if the gang does not fit. */
using Plan = std::vector<PlanPart>;

/** A gang to place. */
struct GangNeed
{
  protocol::GangShape mShape;
  /** Workers that must not be used because the job failed there; may be
   * null. */
  const std::vector<WorkerIndex>* mExcluded = nullptr;
};

/** Returns the number of accelerators of the whole gang. */
std::uint32_t
TotalAccelerators(const protocol::GangShape& aShape);
/** Returns whether all tasks must run on one worker. */
bool
RequiresOneWorker(const protocol::GangShape& aShape);
/** Returns "3 x 8 accelerators at rack". */
std::string
ShapeText(const protocol::GangShape& aShape);

/** Returns whether some domain holds the gang, excluded workers included.
 * O(log n) once the table for the task size is built. */
bool
Fits(CapacityIndex& aIndex, const protocol::GangShape& aShape);
/**
 * Returns up to aLimit plans in different domains, tightest domain first. The
 * result is empty only if no domain holds the gang, or if the first aLimit
 * domains hold it only with excluded workers.
 */
std::vector<Plan>
FindPlans(CapacityIndex& aIndex, const GangNeed& aNeed, std::size_t aLimit);
/** Returns the tightest plan, or an empty one. */
Plan
FindPlan(CapacityIndex& aIndex, const GangNeed& aNeed);
/**
 * Returns up to aLimit domains that hold the gang, each as the list of its
 * candidate workers; in a zone or region at most aMaxWorkers for each zone.
 */
std::vector<std::vector<WorkerIndex>>
FindDomains(CapacityIndex& aIndex,
            const GangNeed& aNeed,
            std::size_t aLimit,
            std::size_t aMaxWorkers);

} // namespace dogwooddrum::coordination::placement
