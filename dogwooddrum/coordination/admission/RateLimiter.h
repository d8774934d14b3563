/** \file
 * Defines RateLimiter, a token bucket for one client account.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace dogwooddrum::coordination::admission {

/**
 * Token bucket in the form of the generic cell rate algorithm (GCRA): one
 * atomic time, at which the bucket would be full, replaces the token count and
 * the time of the last refill. Thread safe; lock-free.
 */
class RateLimiter
{
public:
  /** aPerSecond: rate and burst, in requests; at least 1. */
  explicit RateLimiter(std::uint32_t aPerSecond);

  /**
   * Takes one token. Returns an empty optional on success, else the time
   * until a token is available.
   */
  std::optional<base::Duration> TryTake(base::Time aNow);

private:
  static constexpr base::Duration kBurst = base::Milliseconds(1000);

  const base::Duration mInterval;
  std::atomic<base::Duration::rep> mFullAt;
};

} // namespace dogwooddrum::coordination::admission
