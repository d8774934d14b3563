/** \file
 * Defines claims: accelerators set aside for one job while its victims stop.
 * A claim covers the whole gang, and every job that it waits for is already
 * stopping, so claims cannot deadlock.
 */
#pragma once

#include "dogwooddrum/coordination/placement/VictimChoice.h"

namespace dogwooddrum::coordination::placement {

/** Which decision stops the victims of a claim. */
enum class StopKind : std::uint8_t
{
  Preempt,
  Move,
};

/**
 * Sets the plan's accelerators aside for a queued job and stops the victims.
 * Precondition: aChoice was computed on the current state; if aCovered, the
 * account's cells cover the plan.
 */
void
MakeClaim(State& aState,
          JobHandle aJob,
          const VictimPlan& aChoice,
          bool aCovered,
          StopKind aStopKind,
          base::Time aNow);
/** Earmarks free accelerators of a worker for the claims on it, in order. */
void
EarmarkForClaims(State& aState, WorkerIndex aWorker);
/** Cancels a claim and requeues its job. */
void
CancelClaim(State& aState, ClaimHandle aClaim);
/** Starts the jobs of claims whose accelerators are all earmarked. */
void
StartReadyClaims(State& aState, base::Time aNow);
/** Cancels claims whose victims did not stop in time. */
void
ExpireClaims(State& aState, base::Time aNow);

} // namespace dogwooddrum::coordination::placement
