/** \file
 * Defines AccountLimits, the rate and concurrency limits of one account.
 */
#pragma once

#include "dogwooddrum/coordination/admission/RateLimiter.h"
#include "dogwooddrum/protocol/Messages.h"

#include <atomic>
#include <cstdint>

namespace dogwooddrum::coordination::admission {

/** Limits of one account at one entry process. Thread safe; lock-free. */
class AccountLimits
{
public:
  explicit AccountLimits(const protocol::ClientAccount& aAccount);

  /** Returns whether the limits are those of aAccount. */
  bool Matches(const protocol::ClientAccount& aAccount) const;
  /** Takes a token; see RateLimiter::TryTake. */
  std::optional<base::Duration> TryTakeToken(base::Time aNow);
  /** Takes one of the concurrent request slots; false if none is free. */
  bool TryAcquireSlot();
  /** Releases a slot that TryAcquireSlot took. */
  void ReleaseSlot();

private:
  const std::uint32_t mPerSecond;
  const std::uint32_t mConcurrent;
  RateLimiter mRateLimiter;
  std::atomic<std::uint32_t> mInProgress{ 0 };
};

} // namespace dogwooddrum::coordination::admission
