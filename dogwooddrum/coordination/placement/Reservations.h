/** \file
 * Defines reservations: a job that has waited for its reservation age may
 * preempt borrowed work, so that no gang that could run starves.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Claims accelerators for jobs that have reached their reservation age. */
void
RunReservations(State& aState, base::Time aNow);

} // namespace dogwooddrum::coordination::placement
