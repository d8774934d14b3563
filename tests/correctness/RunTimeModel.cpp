// Guards against expectations that follow single outliers or estimates known to
// be wrong, and against a model that grows without bound or is lost with its
// leader.
#include "dogwooddrum/coordination/workloads/RunTimeModel.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace dogwooddrum::tests {
namespace {

using coordination::workloads::ExpectedRemaining;
using coordination::workloads::RunTimeClass;
using coordination::workloads::RunTimeModel;

RunTimeClass
ClassOf(const std::string& aAccount, std::uint32_t aWidth = 1)
{
  return { coordination::workloads::QueueKey("q"),
           base::AccountId(aAccount),
           aWidth };
}

double
Seconds(base::Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

void
Add(RunTimeModel& aModel,
    const RunTimeClass& aClass,
    std::uint64_t aEstimateMs,
    std::int64_t aMs)
{
  aModel.Add(aClass, aEstimateMs, base::Milliseconds(aMs), 1, 1);
}

/** Load: run times of 4 to 6 s, of which one in 25 takes 7 times as long, with
 * estimates that are wrong by up to 8 times either way. */
RunTimeModel
LongTailWithWrongEstimates(int aSamples = 300)
{
  RunTimeModel model;
  for (int i = 0; i < aSamples; ++i) {
    const std::int64_t typicalMs = 4000 + i * 37 % 2000;
    const std::int64_t ms = i % 25 == 24 ? 7 * typicalMs : typicalMs;
    const std::uint64_t estimate = 625U << (i * 5 % 7);
    Add(model, ClassOf("a"), estimate, ms);
  }
  return model;
}

TEST(RunTimeModel, PrefersRunTimesToWrongEstimates)
{
  const RunTimeModel model = LongTailWithWrongEstimates();
  const auto low = model.Expect(ClassOf("a"), 1000);
  const auto high = model.Expect(ClassOf("a"), 30000);
  EXPECT_NEAR(Seconds(low.mMedian), 5, 0.7);
  EXPECT_EQ(low.mMedian, high.mMedian);
  EXPECT_LT(Seconds(low.mTail), 8) << "the tail is rarer than one in ten";
}

TEST(RunTimeModel, PrefersGoodEstimatesToMixedRunTimes)
{
  RunTimeModel model;
  for (int i = 0; i < 100; ++i) {
    const std::int64_t ms = 500LL << (i % 6);
    Add(model, ClassOf("a"), static_cast<std::uint64_t>(ms) / 2, ms);
  }
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a"), 1000).mMedian), 2, 0.4);
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a"), 10000).mMedian), 20, 4);
}

TEST(RunTimeModel, RemainingTimeHasNoCliffAndGrowsInTheTail)
{
  const RunTimeModel model = LongTailWithWrongEstimates();
  const auto expectation = model.Expect(ClassOf("a"), 5000);
  double previous = Seconds(ExpectedRemaining(expectation, base::Duration()));
  EXPECT_NEAR(previous, Seconds(expectation.mMedian), 0.01);
  for (int ms = 50; ms < 60000; ms += 50) {
    const double left =
      Seconds(ExpectedRemaining(expectation, base::Milliseconds(ms)));
    EXPECT_GT(left, 0) << "after " << ms << " ms";
    EXPECT_LT(std::abs(left - previous), 1.5) << "after " << ms << " ms";
    previous = left;
  }
  EXPECT_GT(ExpectedRemaining(expectation, base::Milliseconds(50000)),
            ExpectedRemaining(expectation, base::Milliseconds(20000)));
}

TEST(RunTimeModel, BacksOffToWiderClasses)
{
  RunTimeModel model;
  for (int i = 0; i < 50; ++i) {
    Add(model, ClassOf("a", 4), 0, 2000);
    Add(model, ClassOf("b", 4), 0, 8000);
    Add(model, ClassOf("b", 32), 0, 30000);
  }
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a", 5), 0).mMedian), 2, 0.5);
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("b", 4), 0).mMedian), 8, 2);
  const auto unknownAccount = model.Expect(ClassOf("c", 4), 0);
  EXPECT_GT(Seconds(unknownAccount.mMedian), 1.5);
  EXPECT_LT(Seconds(unknownAccount.mMedian), 10);
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("c", 32), 0).mMedian), 30, 7);
  EXPECT_GT(model.Expect(ClassOf("c", 500), 0).mSamples, 0);
}

TEST(RunTimeModel, FewSamplesDoNotOverrideTheEstimate)
{
  RunTimeModel model;
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a"), 4000).mMedian), 4, 0.01);
  EXPECT_EQ(model.Expect(ClassOf("a"), 0).mMedian, base::Duration());
  Add(model, ClassOf("a"), 4000, 40000);
  const double median = Seconds(model.Expect(ClassOf("a"), 4000).mMedian);
  EXPECT_GT(median, 4);
  EXPECT_LT(median, 8);
}

TEST(RunTimeModel, CorrectsForSlowWorkersAndFollowsChange)
{
  RunTimeModel model;
  for (int i = 0; i < 100; ++i) {
    model.Add(ClassOf("a"), 0, base::Milliseconds(8000), 2, 1);
  }
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a"), 0).mMedian), 4, 0.8);
  for (int i = 0; i < 300; ++i) {
    Add(model, ClassOf("a"), 0, 16000);
  }
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("a"), 0).mMedian), 16, 4);
}

TEST(RunTimeModel, IsBoundedUnderManyAccounts)
{
  RunTimeModel model;
  for (int i = 0; i < 5000; ++i) {
    Add(model, ClassOf("account" + std::to_string(i)), 1000, 3000);
  }
  EXPECT_LE(model.ClassCount(), RunTimeModel::kMaxClasses);
  EXPECT_LE(model.Export().size(), RunTimeModel::kMaxExported);
  EXPECT_NEAR(Seconds(model.Expect(ClassOf("new"), 1000).mMedian), 3, 0.6);
}

TEST(RunTimeModel, NextLeaderContinuesWithExport)
{
  const RunTimeModel model = LongTailWithWrongEstimates();
  RunTimeModel next;
  next.Import(model.Export());
  const auto before = model.Expect(ClassOf("a"), 1000);
  const auto after = next.Expect(ClassOf("a"), 1000);
  EXPECT_NEAR(Seconds(after.mMedian), Seconds(before.mMedian), 0.1);
  EXPECT_NEAR(Seconds(after.mTail), Seconds(before.mTail), 0.3);
  auto damaged = model.Export();
  damaged.front().mRunTimeCounts.resize(3);
  damaged.front().mRatioCounts.clear();
  next.Import(damaged);
  EXPECT_NEAR(Seconds(next.Expect(ClassOf("new"), 5000).mMedian), 5, 1);
}

} // namespace
} // namespace dogwooddrum::tests
