#include "dogwooddrum/coordination/retry/Backoff.h"

#include <algorithm>

namespace dogwooddrum::coordination::retry {

namespace {

/** Bounds the exponent; this many doublings reach any realistic maximum. */
constexpr std::uint32_t kMaxDoublings = 30;

} // namespace

base::Duration
BackoffDelay(const BackoffOptions& aOptions,
             std::uint32_t aRetry,
             double aUniform)
{
  const std::uint32_t doublings =
    aRetry == 0 ? 0 : std::min(aRetry - 1, kMaxDoublings);
  const double bound =
    std::min(static_cast<double>(aOptions.mInitialBound.count()) *
               static_cast<double>(1ULL << doublings),
             static_cast<double>(aOptions.mMaxBound.count()));
  return base::Duration(static_cast<base::Duration::rep>(bound * aUniform));
}

} // namespace dogwooddrum::coordination::retry
