// Guards against a slow target that keeps getting jobs, and against an
// ejection rule that ejects healthy targets or too many at once.
#include "dogwooddrum/coordination/control/SlowTargetDetector.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace dogwooddrum::coordination::control {

namespace {

const base::ProfileId kProfile("interactive");

base::WorkerId
Worker(int aNumber)
{
  return base::WorkerId("w" + std::to_string(aNumber));
}

} // namespace

TEST(SlowTargetEjection, OutlierIsReadmittedAndItsNextEjectionIsLonger)
{
  SlowTargetDetector targets({});
  base::Time now{ base::Milliseconds(1000) };
  const auto slowRound = [&]() -> std::optional<base::Time> {
    for (int run = 0; run < 40; ++run) {
      now += base::Milliseconds(1000);
      for (int i = 0; i < 10; ++i) {
        const auto until = targets.RecordRun(
          Worker(i), kProfile, base::Milliseconds(i == 0 ? 800 : 100), now);
        if (until) {
          EXPECT_EQ(i, 0);
          return until;
        }
      }
    }
    return std::nullopt;
  };
  const auto first = slowRound();
  ASSERT_TRUE(first);
  EXPECT_EQ(*first - now, base::Milliseconds(30000));
  EXPECT_TRUE(targets.IsEjected(Worker(0)));
  EXPECT_TRUE(targets.Readmit(now).empty());
  now = *first;
  ASSERT_EQ(targets.Readmit(now).size(), 1U);
  const auto second = slowRound();
  ASSERT_TRUE(second);
  EXPECT_EQ(*second - now, base::Milliseconds(60000));
}

TEST(SlowTargetEjection, HeavyTailedRunTimesEjectNoWorker)
{
  SlowTargetDetector targets({});
  const base::Time now{ base::Milliseconds(1000) };
  std::mt19937 random(7);
  std::lognormal_distribution<double> run(12, 1);
  for (int n = 0; n < 5000; ++n) {
    const auto until =
      targets.RecordRun(Worker(n % 10),
                        kProfile,
                        base::Duration(static_cast<std::int64_t>(run(random))),
                        now);
    ASSERT_FALSE(until) << "run " << n;
  }
}

TEST(SlowTargetEjection, SmallClusterEjectsNoWorker)
{
  SlowTargetDetector targets({});
  base::Time now{ base::Milliseconds(1000) };
  for (int run = 0; run < 40; ++run) {
    now += base::Milliseconds(1000);
    for (int i = 0; i < 9; ++i) {
      const auto length = base::Milliseconds(i == 0 ? 5000 : 100);
      ASSERT_FALSE(targets.RecordRun(Worker(i), kProfile, length, now));
    }
  }
}

TEST(SlowTargetEjection, EjectedShareIsBounded)
{
  SlowTargetDetector targets({});
  base::Time now{ base::Milliseconds(1000) };
  int ejected = 0;
  for (int run = 0; run < 25; ++run) {
    now += base::Milliseconds(1000);
    for (int i = 0; i < 20; ++i) {
      const auto length = base::Milliseconds(i < 8 ? 5000 : 100);
      ejected += targets.RecordRun(Worker(i), kProfile, length, now) ? 1 : 0;
    }
  }
  EXPECT_EQ(ejected, 2);
}

} // namespace dogwooddrum::coordination::control
