#include "dogwooddrum/coordination/admission/RateLimiter.h"

#include <algorithm>
#include <limits>

namespace dogwooddrum::coordination::admission {

RateLimiter::RateLimiter(std::uint32_t aPerSecond)
  : mInterval(kBurst / std::max(aPerSecond, 1U))
  , mFullAt(std::numeric_limits<base::Duration::rep>::min())
{
}

std::optional<base::Duration>
RateLimiter::TryTake(base::Time aNow)
{
  const auto now = aNow.time_since_epoch().count();
  auto fullAt = mFullAt.load(std::memory_order_relaxed);
  for (;;) {
    const auto next = std::max(fullAt, now) + mInterval.count();
    const auto wait = next - now - kBurst.count();
    if (wait > 0) {
      return base::Duration(wait);
    }
    if (mFullAt.compare_exchange_weak(
          fullAt, next, std::memory_order_relaxed)) {
      return std::nullopt;
    }
  }
}

} // namespace dogwooddrum::coordination::admission
