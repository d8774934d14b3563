#include "dogwooddrum/daemon/Clock.h"

#include <ctime>

namespace dogwooddrum::daemon {

base::Time
Now()
{
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return base::Time(std::chrono::duration_cast<base::Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t
UnixNowMs()
{
  timespec now = {};
  clock_gettime(CLOCK_REALTIME, &now);
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1000000;
  return now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs;
}

} // namespace dogwooddrum::daemon
