#include "dogwooddrum/transport/ReconnectBackoff.h"

#include <algorithm>

namespace dogwooddrum::transport {

ReconnectBackoff
BeginBackoff(const ReconnectOptions& aOptions, base::Duration aConnectTime)
{
  return { aOptions.mInitialDelay,
           std::min(std::max(aOptions.mInitialTimeout, aConnectTime * 2),
                    aOptions.mMaxTimeout) };
}

ReconnectBackoff
GrowBackoff(const ReconnectBackoff& aBackoff, const ReconnectOptions& aOptions)
{
  return { std::min(aBackoff.mDelayBound * 2, aOptions.mMaxDelay),
           std::min(aBackoff.mTimeout * 3 / 2, aOptions.mMaxTimeout) };
}

} // namespace dogwooddrum::transport
