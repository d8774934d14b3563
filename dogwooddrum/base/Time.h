/** \file
 * Defines the time types that the deterministic state machines take as input.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace dogwooddrum::base {

/** Resolution of all times and durations. */
using Duration = std::chrono::microseconds;

/**
 * Clock type of a process-local monotonic clock. The deterministic state
 * machines never read a clock; callers pass the current time as a parameter.
 */
struct MonotonicClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The Clock requirements of C++ prescribe this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/** Instant on the local monotonic clock; not comparable across processes. */
using Time = MonotonicClock::time_point;

/** Returns aTime as milliseconds since the clock's epoch. */
inline std::int64_t
ToMilliseconds(Time aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

/** Returns aDuration in whole milliseconds. */
inline std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** Returns a duration of aCount milliseconds. */
constexpr Duration
Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

} // namespace dogwooddrum::base
