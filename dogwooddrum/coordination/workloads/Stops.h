/** \file
 * Defines what a decision stops for work that waits, and what a worker has too
 * much of. Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Stops runs that their targets have not listed yet on workers that are
 * overbooked, since the target has less capacity than when they were decided
 * on, or runs something else. Their starts may still be on their way. */
void
StopRunsBeyondCapacity(LeaderContext& aLeader,
                       const std::vector<WorkerView>& aViews);

/** Returns the core-seconds of other work that preemption for the unit may
 * lose: without limit within a guarantee, and for long-running tasks, whose
 * work has no end that it could be compared with; else no more than the unit's
 * own estimated work. */
double
AllowedLoss(const LeaderContext& aLeader, const PlacementUnit& aUnit);

/** Stops less urgent runs so that the unit fits, and holds what they free.
 * Returns whether the resources are being freed. */
bool
PreemptFor(LeaderContext& aLeader,
           const PlacementUnit& aUnit,
           std::vector<WorkerView>& aViews);

} // namespace dogwooddrum::coordination::workloads
