/** \file
 * Defines the translation of the coordinator's notices into log events and
 * metrics.
 */
#pragma once

#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/service/Metrics.h"

namespace dogwooddrum::daemon {

/** Logs and counts one notice. Thread safe. */
void
Report(const coordination::control::Notice& aNotice,
       service::Metrics& aMetrics);

/** Counts and logs a note of the workload scheduler. Thread safe. */
void
Report(const coordination::workloads::WorkloadEvent& aNote,
       service::Metrics& aMetrics);

} // namespace dogwooddrum::daemon
