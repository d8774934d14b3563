/** \file
 * Defines the explanation of why a job waits, for operators.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Implements Placer::Explain. */
WaitReason
ExplainWait(State& aState, base::JobId aJob, base::Time aNow);

} // namespace dogwooddrum::coordination::placement
