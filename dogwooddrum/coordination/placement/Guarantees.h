/** \file
 * Defines changes of guarantees: the check that all guaranteed shapes fit at
 * the same time, and the update of the cells after a configuration is accepted.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Implements Placer::CheckConfiguration. */
base::Outcome<bool>
CheckGuarantees(const State& aState,
                const protocol::Configuration& aConfiguration);
/** Adds and removes cells so that they match the configuration. */
void
ApplyGuarantees(State& aState, const protocol::Configuration& aConfiguration);
/** Binds cells again after capacity changed, and retries unbound cells at
 * growing intervals. */
void
RepairGuarantees(State& aState, base::Time aNow);
/** Implements Placer::CheckReclaimable. Scans all workers and jobs. */
base::Outcome<bool>
CheckAllReclaimable(const State& aState);

} // namespace dogwooddrum::coordination::placement
