// Guards against load plans that differ between two runs with the same seed or
// that miss the requested rate or mix of classes.
#include "dogwooddrum/cli/LoadPlan.h"
#include "dogwooddrum/cli/LoadReport.h"
#include "dogwooddrum/cli/LoadRun.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::cli {

namespace {

LoadPlanOptions
Options(std::uint64_t aSeed)
{
  LoadPlanOptions options;
  options.mMix.push_back(*ParseLoadClass("account=a,profile=p,weight=3"));
  options.mMix.push_back(
    *ParseLoadClass("account=a,profile=q,tasks=2,repeatable=false,bytes=500"));
  options.mArrivals = Arrivals::Poisson;
  options.mRate = 200;
  options.mCount = 20000;
  options.mSeed = aSeed;
  return options;
}

std::vector<LoadRequest>
AllRequests(const LoadPlanOptions& aOptions)
{
  LoadPlan plan(aOptions);
  std::vector<LoadRequest> requests;
  while (const auto request = plan.NextRequest()) {
    requests.push_back(*request);
  }
  return requests;
}

} // namespace

TEST(LoadPlanSeeds, SameSeedSamePlan)
{
  const auto first = AllRequests(Options(7));
  const auto second = AllRequests(Options(7));
  const auto other = AllRequests(Options(8));
  ASSERT_EQ(first.size(), 20000U);
  ASSERT_EQ(second.size(), first.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    ASSERT_EQ(first[i].mClassIndex, second[i].mClassIndex);
    ASSERT_EQ(first[i].mArrivalTime, second[i].mArrivalTime);
    ASSERT_EQ(first[i].mNonce, second[i].mNonce);
  }
  EXPECT_NE(first[0].mNonce, other[0].mNonce);
}

TEST(LoadPlanSeeds, RateAndMixMatchTheOptions)
{
  const auto requests = AllRequests(Options(7));
  const double seconds =
    std::chrono::duration<double>(requests.back().mArrivalTime).count();
  EXPECT_NEAR(20000 / seconds, 200, 6); // about 4 standard deviations
  const auto second = std::count_if(
    requests.begin(), requests.end(), [](const LoadRequest& aRequest) {
      return aRequest.mClassIndex == 1;
    });
  EXPECT_NEAR(static_cast<double>(second) / 20000, 0.25, 0.0125);
}

TEST(LoadPlanSeeds, PayloadsAreUniqueAndHaveTheRequestedSize)
{
  const auto options = Options(7);
  const auto requests = AllRequests(options);
  EXPECT_EQ(LoadPayload(options.mMix[1], requests[0]).size(), 500U);
  EXPECT_NE(LoadPayload(options.mMix[0], requests[0]),
            LoadPayload(options.mMix[0], requests[1]));
}

TEST(LoadPlanSeeds, QuantilesAreNearestRank)
{
  const std::vector<double> values = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };
  EXPECT_EQ(Quantile(values, 0.5), 5);
  EXPECT_EQ(Quantile(values, 0.95), 10);
  EXPECT_EQ(Quantile({ 4 }, 0.99), 4);
  EXPECT_EQ(Quantile({}, 0.5), 0);
}

} // namespace dogwooddrum::cli
