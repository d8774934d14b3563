/** \file
 * Defines the retry delay of callers that are refused during an outage.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

namespace dogwooddrum::coordination::retry {

struct RetryAfterOptions
{
  base::Duration mMinDelay = base::Milliseconds(1000);
  /** Longer delays would keep callers waiting after the outage has ended. */
  base::Duration mMaxDelay = base::Milliseconds(4000);
};

/**
 * Returns the delay, in whole seconds, after which a caller should retry that
 * is refused aOutage after the outage began. An outage is likely to last as
 * long again as it already has, so the delay grows with it; a caller with few
 * attempts can then outlast it. Callers are spread over one second.
 *
 * Precondition: aUniform is in [0, 1). Thread safe.
 */
base::Duration
RetryAfterDelay(const RetryAfterOptions& aOptions,
                base::Duration aOutage,
                double aUniform);

} // namespace dogwooddrum::coordination::retry
