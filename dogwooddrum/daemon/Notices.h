/** \file
 * Defines the functions that log and count the coordinator's notices and the
 * events of the workload scheduler.
 */
#pragma once

#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/service/Metrics.h"

namespace dogwooddrum::daemon {

/** Logs and counts one notice. Thread safe. */
void
LogAndCount(const coordination::control::Notice& aNotice,
            service::Metrics& aMetrics);

/** Logs and counts one event of the workload scheduler. Thread safe. */
void
LogAndCount(const coordination::workloads::WorkloadEvent& aEvent,
            service::Metrics& aMetrics);

} // namespace dogwooddrum::daemon
