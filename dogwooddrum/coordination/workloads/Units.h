/** \file
 * Defines which tasks may start now and in which order they are placed.
 * Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"

namespace dogwooddrum::coordination::workloads {

/** Returns the units that may start now, in the order of placement. aViews and
 * aGuarantees: of this decision. */
std::vector<PlacementUnit>
CollectUnits(LeaderContext& aLeader,
             const std::vector<WorkerView>& aViews,
             const Guarantees& aGuarantees);

} // namespace dogwooddrum::coordination::workloads
