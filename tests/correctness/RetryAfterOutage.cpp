// Guards the delay after which refused callers retry: with few attempts they
// must outlast an outage of the control group, without all retrying at once.
#include "dogwooddrum/coordination/retry/RetryAfterDelay.h"

#include <gtest/gtest.h>

#include <map>

namespace dogwooddrum::tests {
namespace {

using coordination::retry::RetryAfterDelay;

base::Duration
Ms(std::int64_t aMs)
{
  return base::Milliseconds(aMs);
}

// With a delay of one second for each of four retries, callers that were
// refused 1.6 s into an outage of 9 s had no attempts left after 5.6 s.
TEST(RetryAfterOutage, FourRetriesOutlastAnOutageOfNineSeconds)
{
  constexpr int kRetries = 4;
  base::Duration at = Ms(1600);
  for (int i = 0; i < kRetries; ++i) {
    at += RetryAfterDelay({}, at, 0);
  }
  EXPECT_GE(at, Ms(9000));
}

TEST(RetryAfterOutage, ShortOutageDelaysRetriesByOneSecond)
{
  EXPECT_EQ(RetryAfterDelay({}, Ms(0), 0.9), Ms(1000));
  EXPECT_EQ(RetryAfterDelay({}, Ms(900), 0), Ms(1000));
}

TEST(RetryAfterOutage, DelayIsLimitedInALongOutage)
{
  EXPECT_EQ(RetryAfterDelay({}, Ms(60000), 0.5), Ms(4000));
}

TEST(RetryAfterOutage, DelaysOfSimultaneousRefusalsDiffer)
{
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 100; ++i) {
    ++returns[base::ToMilliseconds(RetryAfterDelay({}, Ms(2500), i / 100.0))];
  }
  EXPECT_EQ(returns.size(), 2U);
  for (const auto& [ms, count] : returns) {
    EXPECT_LE(count, 60) << "at " << ms << " ms";
  }
}

} // namespace
} // namespace dogwooddrum::tests
