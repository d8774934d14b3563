/** \file
 * Defines the choice of borrowed jobs to stop so that a gang can start.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** The job that needs accelerators, and the rules for choosing victims. */
struct VictimRequest
{
  JobHandle mJob = kNoIndex; ///< the requesting job
  bool mGuaranteed = false;  ///< every borrowed job is eligible
  bool mForCompaction =
    false; ///< for compaction: smaller jobs are eligible even
           ///< while protected, and priority is ignored
  base::Time mNow;
};

/** A placement for a gang and the jobs that must stop to make room for it. */
struct VictimPlan
{
  Plan mPlan;
  std::vector<JobHandle> mVictims;
  double mCost = 0; ///< lost accelerator seconds, weighted by ComputeStopCost
};

/**
 * Returns the accelerators of a worker that are free or held by jobs that are
 * stopping, less the amounts that claims need. If aGuaranteed, only claims for
 * jobs inside their guarantee are subtracted.
 */
std::uint32_t
AvailableOn(const State& aState, WorkerIndex aWorker, bool aGuaranteed);
/** Returns the cost of stopping aJob: accelerator seconds lost, increased for
 * jobs of higher priority and reduced for accounts that borrow much. */
double
ComputeStopCost(const State& aState,
                const JobEntry& aJob,
                const VictimRequest& aRequest);
/**
 * Returns the cheapest plan that fits the job's gang on the given workers, or
 * nullopt if the gang does not fit. Precondition: aWorkers belong to one
 * domain, that is, one worker, rack, zone or region.
 */
std::optional<VictimPlan>
ChooseVictims(const State& aState,
              const std::vector<WorkerIndex>& aWorkers,
              const VictimRequest& aRequest);

} // namespace dogwooddrum::coordination::placement
