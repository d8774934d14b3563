#include "dogwooddrum/coordination/retry/RetryAfterDelay.h"

#include <algorithm>

namespace dogwooddrum::coordination::retry {

base::Duration
RetryAfterDelay(const RetryAfterOptions& aOptions,
                base::Duration aOutage,
                double aUniform)
{
  constexpr base::Duration kSecond = base::Milliseconds(1000);
  const auto spread = base::Duration(
    static_cast<std::int64_t>(aUniform * static_cast<double>(kSecond.count())));
  const auto delay =
    std::clamp(aOutage + spread, aOptions.mMinDelay, aOptions.mMaxDelay);
  return delay / kSecond * kSecond;
}

} // namespace dogwooddrum::coordination::retry
