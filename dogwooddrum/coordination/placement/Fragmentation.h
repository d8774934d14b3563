/** \file
 * Defines the measure of fragmentation: the expected share of the free
 * accelerators that a shape drawn from the recent demand cannot use.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Adds a submitted shape to the demand mix. */
void
RecordDemand(State& aState, const protocol::GangShape& aShape, base::Time aNow);
/**
 * Returns by how much the expected usable accelerators of aIndex decrease if
 * the plan is placed; lower is better. Considers only the racks of the plan.
 */
double
ExpectedUsableLoss(const State& aState,
                   const CapacityIndex& aIndex,
                   const Plan& aPlan,
                   std::uint32_t aPerTask);
/** Returns the expected usable accelerators of one rack, weighted by the
 * demand mix and not normalized. */
double
ExpectedUsableInRack(const State& aState, RackIndex aRack);
/**
 * Returns the index of the plan with the least loss, the first among equals.
 * A plan inside a guarantee is rated mainly by the loss of reclaimable
 * accelerators, since it cannot itself be stopped to form a gang.
 */
std::size_t
ChooseBestPlan(const State& aState,
               const std::vector<Plan>& aPlans,
               std::uint32_t aPerTask,
               bool aCovered);
/** Returns the fragmentation of the whole cluster. Scans all racks. */
FragmentationReport
MeasureFragmentation(const State& aState);

} // namespace dogwooddrum::coordination::placement
