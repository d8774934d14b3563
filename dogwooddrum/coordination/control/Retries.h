/** \file
 * Defines how a job continues whose attempt has ended without an answer: with a
 * retry, subject to backoff and budgets, or with a failure that states whether
 * the job ran.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Capacity of the bucket of retry tokens; each submission adds kRetryShare. */
constexpr double kMaxRetryTokens = 100;
/** Retries allowed per submission. */
constexpr double kRetryShare = 0.1;
/** Retries per second allowed without submissions, so that a job which lost its
 * worker on an idle cluster is still retried. */
constexpr double kRetryTokensPerSecond = 1;

/** Proposes the end of an attempt of which no task can run any more. */
void
EndLiveAttempt(CoordinatorCore& aCore, LiveAttempt& aAttempt);
/** Adds a submission's share to the overall retry budget. */
void
CountSubmission(CoordinatorCore& aCore);

} // namespace dogwooddrum::coordination::control
