/** \file
 * Defines the clock of the daemons.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

namespace dogwooddrum::daemon {

/**
 * Returns the time since boot. CLOCK_BOOTTIME counts the time that a VM was
 * suspended, so that leases and freshness end during a suspension. Thread
 * safe.
 */
base::Time
Now();

/** Returns the time of day as Unix time in ms; it may jump. Thread safe. */
std::int64_t
UnixNowMs();

} // namespace dogwooddrum::daemon
