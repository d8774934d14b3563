/** \file
 * Defines when a caller that was refused during an outage should return.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

namespace dogwooddrum::coordination::retry {

struct ReturnOptions
{
  base::Duration mLeast = base::Milliseconds(1000);
  /** Longer delays would leave a caller idle for long after the outage. */
  base::Duration mMost = base::Milliseconds(4000);
};

/**
 * Returns the time after which a caller should return that is refused
 * aOutage after the outage began, in whole seconds. An outage that has lasted
 * long is likely to last as long again, so the delay grows with it and a
 * caller with few attempts outlasts it. Callers are spread over a second.
 *
 * Precondition: aUniform is in [0, 1). Thread safe.
 */
base::Duration
ReturnDelay(const ReturnOptions& aOptions,
            base::Duration aOutage,
            double aUniform);

} // namespace dogwooddrum::coordination::retry
