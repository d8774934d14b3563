/** \file
 * Defines compaction: moves borrowed jobs so that a waiting gang fits, if the
 * accelerator time gained exceeds the work lost.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Makes at most one claim whose victims can move to other free workers, or
 * moves one job that fragments its rack. */
void
RunCompaction(State& aState, base::Time aNow);

} // namespace dogwooddrum::coordination::placement
