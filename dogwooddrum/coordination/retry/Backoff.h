/** \file
 * Defines exponential backoff with full jitter.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <cstdint>

namespace dogwooddrum::coordination::retry {

struct BackoffOptions
{
  base::Duration mInitialBound = base::Milliseconds(100); ///< bound of retry 1
  base::Duration mMaxBound = base::Milliseconds(10000);
};

/**
 * Returns the delay before retry aRetry (the first is 1). The bound doubles
 * with each retry up to mMaxBound; the delay is aUniform times the bound.
 *
 * Precondition: aUniform is in [0, 1). Thread safe.
 */
base::Duration
BackoffDelay(const BackoffOptions& aOptions,
             std::uint32_t aRetry,
             double aUniform);

} // namespace dogwooddrum::coordination::retry
