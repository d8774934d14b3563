/** \file
 * Defines the check for jobs that can never run.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

#include <optional>

namespace dogwooddrum::coordination::placement {

/** Returns why the job can never run and the largest shape that could, or
 * nullopt if the job can run. */
std::optional<Reject>
CheckCanRun(State& aState, const JobEntry& aJob);

} // namespace dogwooddrum::coordination::placement
