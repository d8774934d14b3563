// Guards the time until a client finds a host that returns from a power loss:
// an attempt to reach it meanwhile is left unanswered, and must not hold back
// the next one. Agents that began with attempts of one second found a control
// group that was away for 0.4 s only 0.6 s after its return.
#include "dogwooddrum/transport/ReconnectBackoff.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using base::Duration;
using base::Milliseconds;
using transport::BeginBackoff;
using transport::GrowBackoff;
using transport::ReconnectOptions;

struct Search
{
  Duration mFoundAfter{}; ///< since the first attempt
  int mAttempts = 0;
};

/** Lets a client search for a host that leaves attempts unanswered for
 * aAbsence, with the longest pauses. */
Search
FindHost(const ReconnectOptions& aOptions, Duration aAbsence)
{
  Search search;
  auto backoff = BeginBackoff(aOptions, {});
  for (search.mAttempts = 1; search.mFoundAfter < aAbsence;
       ++search.mAttempts) {
    const Duration timeout = backoff.mTimeout;
    backoff = GrowBackoff(backoff, aOptions);
    search.mFoundAfter += timeout + backoff.mDelayBound;
  }
  return search;
}

TEST(ReconnectTimes, HostIsFoundWithinTheTimeThatItWasAway)
{
  for (int ms = 50; ms <= 60000; ms += 50) {
    const Duration absence = Milliseconds(ms);
    EXPECT_LE(FindHost({}, absence).mFoundAfter,
              absence * 2 + Milliseconds(100))
      << "after " << ms << " ms";
  }
}

TEST(ReconnectTimes, DelayIsLimitedAfterALongAbsence)
{
  const ReconnectOptions options;
  for (int ms = 50; ms <= 60000; ms += 50) {
    const Duration absence = Milliseconds(ms);
    EXPECT_LE(FindHost(options, absence).mFoundAfter,
              absence + options.mMaxTimeout + options.mMaxDelay)
      << "after " << ms << " ms";
  }
}

// 28,000 agents search for the same few members.
TEST(ReconnectTimes, LongAbsenceCausesOneAttemptEachSecondAtMost)
{
  EXPECT_LE(FindHost({}, Milliseconds(60000)).mAttempts, 60);
}

// Between distant regions a connection takes longer than the first timeout.
TEST(ReconnectTimes, DistantHostIsConnectedSoon)
{
  const Duration connectTime = Milliseconds(300);
  const ReconnectOptions options;
  Duration spent{};
  auto backoff = BeginBackoff(options, {});
  while (backoff.mTimeout < connectTime) {
    const Duration timeout = backoff.mTimeout;
    backoff = GrowBackoff(backoff, options);
    spent += timeout + backoff.mDelayBound;
  }
  EXPECT_LE(spent + connectTime, Milliseconds(1500));
  EXPECT_GT(BeginBackoff(options, connectTime).mTimeout, connectTime);
}

TEST(ReconnectTimes, FirstTimeoutIsWithinTheLimit)
{
  ReconnectOptions options;
  options.mMaxTimeout = Milliseconds(50);
  EXPECT_EQ(BeginBackoff(options, {}).mTimeout, Milliseconds(50));
  EXPECT_EQ(BeginBackoff(options, Milliseconds(40)).mTimeout, Milliseconds(50));
}

} // namespace
} // namespace dogwooddrum::tests
