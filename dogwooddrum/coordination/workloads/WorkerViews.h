/** \file
 * Defines the views of workers that one decision places work on: what is free,
 * what is being released, and what may be stopped at which cost. Internal to
 * this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"

namespace dogwooddrum::coordination::workloads {

/** Returns a view of each worker, ordered by target incarnation. aGuarantees:
 * of this decision. */
std::vector<WorkerView>
MakeWorkerViews(const LeaderContext& aLeader, const Guarantees& aGuarantees);

} // namespace dogwooddrum::coordination::workloads
