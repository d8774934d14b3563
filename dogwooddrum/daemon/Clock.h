/** \file
 * Defines the clock of the daemons.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

namespace dogwooddrum::daemon {

/**
 * Returns the time since boot. CLOCK_BOOTTIME includes the time that a VM was
 * suspended, so that leases and the freshness of configurations expire during
 * a suspension. Thread safe.
 */
base::Time
Now();

/** Returns the wall-clock time as Unix time in ms. The clock may be set
 * forwards or backwards. Thread safe. */
std::int64_t
UnixNowMs();

} // namespace dogwooddrum::daemon
