/** \file
 * Defines the quarantine of workers on which different jobs fail. Jobs that
 * fail on several workers are marked instead, so that they cause no quarantine.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Records that a job failed on a worker. */
void
RecordFailure(State& aState,
              JobHandle aJob,
              WorkerIndex aWorker,
              base::Time aNow);
/** Records that a job succeeded on a worker. */
void
RecordSuccess(State& aState, WorkerIndex aWorker);
/** Starts a probe job on each worker whose quarantine time is over, and
 * readmits workers for which no suitable probe job was queued in time. */
void
RunProbes(State& aState, base::Time aNow);
/** Returns when RunProbes must be called next; Time::max() if never. */
base::Time
NextProbeTime(const State& aState);

} // namespace dogwooddrum::coordination::placement
