/** \file
 * Defines which tasks may start now and in which order they are placed.
 * Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

namespace dogwooddrum::coordination::workloads {

/** Returns the units that may start now, in the order of placement. aViews: of
 * this decision. */
std::vector<PlacementUnit>
CollectUnits(LeaderContext& aLeader, const std::vector<WorkerView>& aViews);

} // namespace dogwooddrum::coordination::workloads
