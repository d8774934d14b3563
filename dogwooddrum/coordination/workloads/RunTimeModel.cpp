#include "dogwooddrum/coordination/workloads/RunTimeModel.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace dogwooddrum::coordination::workloads {

namespace {

constexpr double kBucketsPerOctave = 2;
/** Estimates are expected to be wrong by up to 10 times; the tail of run times
 * adds to that. */
constexpr int kLowestRatio = -7;
constexpr std::size_t kRatioBuckets = 28;
/** From 16 ms to 36 hours. */
constexpr int kLowestRunTime = -6;
constexpr std::size_t kRunTimeBuckets = 46;
/** Samples after which the weight of an earlier one has fallen to 1/e. Enough
 * to show a tail of a few percent. */
constexpr double kMemory = 100;
/** Samples that a class needs so that its median is not one outlier's. */
constexpr double kMinSamples = 8;
constexpr double kExportScale = 100;
/** Width class of all tasks of a queue. */
constexpr std::uint32_t kAnyWidth = std::numeric_limits<std::uint32_t>::max();
/** Standard deviation of the logarithm of run time over estimate before there
 * are samples: estimates within a factor of 2 are common. */
constexpr double kPriorDeviation = 0.8;
/** Bounds of the exponent of the power law beyond the last quantile. */
constexpr double kMinExponent = 1;
constexpr double kMaxExponent = 8;
constexpr double kTailShare = 0.9;

using Quantiles = std::array<double, kRunTimeIntervals - 1>;

double
ShareAt(std::size_t aIndex)
{
  return static_cast<double>(aIndex + 1) / kRunTimeIntervals;
}

double
ToSeconds(base::Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

base::Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 1e9; // keeps the conversion in range
  return base::Duration(
    static_cast<std::int64_t>(std::min(aSeconds, kMaxSeconds) * 1e6));
}

/** Returns the exponent of the power law by which the share of longer run times
 * falls beyond the last quantile. */
double
ExponentOf(const Quantiles& aQuantiles)
{
  const std::size_t lower = kRunTimeIntervals * 3 / 4 - 1;
  const double shares = std::log((1 - ShareAt(lower)) * kRunTimeIntervals);
  const double times = std::log(aQuantiles.back() / aQuantiles[lower]);
  return std::clamp(
    times > 0 ? shares / times : kMaxExponent, kMinExponent, kMaxExponent);
}

/** Returns the share of run times that are shorter than aSeconds. */
double
ShareBelow(const Quantiles& aQuantiles, double aSeconds)
{
  const auto above =
    std::upper_bound(aQuantiles.begin(), aQuantiles.end(), aSeconds);
  if (above == aQuantiles.begin()) {
    return ShareAt(0) * aSeconds / aQuantiles.front();
  }
  if (above == aQuantiles.end()) {
    return 1 - std::pow(aSeconds / aQuantiles.back(), -ExponentOf(aQuantiles)) /
                 kRunTimeIntervals;
  }
  const double below = *(above - 1);
  const double part = std::log(aSeconds / below) / std::log(*above / below);
  return ShareAt(static_cast<std::size_t>(above - aQuantiles.begin() - 1)) +
         part / kRunTimeIntervals;
}

/** Inverse of ShareBelow. */
double
ValueAt(const Quantiles& aQuantiles, double aShare)
{
  const double position = aShare * kRunTimeIntervals;
  if (position <= 1) {
    return aQuantiles.front() * position;
  }
  if (position >= kRunTimeIntervals - 1) {
    const double longer = (1 - aShare) * kRunTimeIntervals;
    return aQuantiles.back() * std::pow(longer, -1 / ExponentOf(aQuantiles));
  }
  const auto index = static_cast<std::size_t>(position) - 1;
  const double part = position - std::floor(position);
  return aQuantiles[index] *
         std::pow(aQuantiles[index + 1] / aQuantiles[index], part);
}

/** Quantiles of the standard normal distribution at ShareAt. */
constexpr Quantiles kNormal = { -1.534, -1.150, -0.887, -0.674, -0.489,
                                -0.319, -0.157, 0,      0.157,  0.319,
                                0.489,  0.674,  0.887,  1.150,  1.534 };

Quantiles
QuantilesOf(const LogHistogram& aHistogram, double aScale)
{
  Quantiles quantiles{};
  for (std::size_t i = 0; i < quantiles.size(); ++i) {
    quantiles[i] = aScale * aHistogram.Quantile(ShareAt(i));
  }
  return quantiles;
}

/** Moves quantiles of few samples towards what the estimate alone suggests. */
void
BlendWithEstimate(Quantiles& aQuantiles, double aEstimate, double aWeight)
{
  for (std::size_t i = 0; i < aQuantiles.size(); ++i) {
    const double prior = aEstimate * std::exp(kPriorDeviation * kNormal[i]);
    aQuantiles[i] = aWeight == 0 ? prior
                                 : std::pow(aQuantiles[i], aWeight) *
                                     std::pow(prior, 1 - aWeight);
  }
}

std::uint32_t
WidthClassOf(std::uint32_t aWidth)
{
  std::uint32_t result = 0;
  for (std::uint32_t rest = aWidth; rest > 1; rest /= 2) {
    ++result;
  }
  return result;
}

} // namespace

base::Duration
ExpectedRemaining(const RunTimeExpectation& aExpectation,
                  base::Duration aElapsed)
{
  const Quantiles& quantiles = aExpectation.mQuantiles;
  if (quantiles.front() <= 0) {
    return base::Duration::zero();
  }
  const double elapsed = std::max(0.0, ToSeconds(aElapsed));
  if (elapsed >= quantiles.back()) {
    // Avoids the rounding of shares close to 1.
    return FromSeconds(elapsed * (std::pow(2, 1 / ExponentOf(quantiles)) - 1));
  }
  const double share = (1 + ShareBelow(quantiles, elapsed)) / 2;
  return FromSeconds(std::max(0.0, ValueAt(quantiles, share) - elapsed));
}

LogHistogram::LogHistogram(int aLowest, std::size_t aBuckets)
  : mLowest(aLowest)
  , mCounts(aBuckets, 0)
{
}

std::size_t
LogHistogram::BucketOf(double aValue) const
{
  const double position = (std::log2(aValue) - mLowest) * kBucketsPerOctave;
  return static_cast<std::size_t>(
    std::clamp(position, 0.0, static_cast<double>(mCounts.size() - 1)));
}

void
LogHistogram::Add(double aValue, double aWeight)
{
  const double kept = std::exp(-aWeight / kMemory);
  for (double& count : mCounts) {
    count *= kept;
  }
  mCounts[BucketOf(aValue)] += aWeight;
}

double
LogHistogram::Total() const
{
  return std::accumulate(mCounts.begin(), mCounts.end(), 0.0);
}

double
LogHistogram::Quantile(double aShare) const
{
  double rest = aShare * Total();
  std::size_t last = 0;
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    if (mCounts[i] <= 0) {
      continue;
    }
    if (rest <= mCounts[i]) {
      const double position = static_cast<double>(i) + rest / mCounts[i];
      return std::exp2(mLowest + position / kBucketsPerOctave);
    }
    rest -= mCounts[i];
    last = i;
  }
  return std::exp2(mLowest + static_cast<double>(last + 1) / kBucketsPerOctave);
}

double
LogHistogram::Spread() const
{
  constexpr double kMiddle = 0.5; // of a bucket
  const double median = std::log2(Quantile(kMiddle));
  double sum = 0;
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    const double value =
      mLowest + (static_cast<double>(i) + kMiddle) / kBucketsPerOctave;
    sum += mCounts[i] * std::abs(value - median);
  }
  return sum / Total();
}

std::vector<std::uint32_t>
LogHistogram::Export() const
{
  std::vector<std::uint32_t> counts;
  counts.reserve(mCounts.size());
  for (const double count : mCounts) {
    counts.push_back(
      static_cast<std::uint32_t>(std::lround(count * kExportScale)));
  }
  return counts;
}

void
LogHistogram::Import(const std::vector<std::uint32_t>& aCounts)
{
  if (aCounts.size() != mCounts.size()) {
    return;
  }
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    mCounts[i] = static_cast<double>(aCounts[i]) / kExportScale;
  }
}

RunTimeModel::Class::Class()
  : mRatios(kLowestRatio, kRatioBuckets)
  , mRunTimes(kLowestRunTime, kRunTimeBuckets)
{
}

std::array<RunTimeModel::Key, 3>
RunTimeModel::KeysOf(const RunTimeClass& aClass)
{
  const std::uint32_t width = WidthClassOf(aClass.mWidth);
  return { Key{ aClass.mQueue, aClass.mAccount, width },
           Key{ aClass.mQueue, base::AccountId(), width },
           Key{ aClass.mQueue, base::AccountId(), kAnyWidth } };
}

RunTimeModel::Class&
RunTimeModel::Touch(const Key& aKey)
{
  const auto it = mClasses.find(aKey);
  if (it == mClasses.end() && mClasses.size() >= kMaxClasses) {
    mClasses.erase(std::min_element(mClasses.begin(),
                                    mClasses.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second.mLastSample <
                                             aRight.second.mLastSample;
                                    }));
  }
  Class& result = mClasses[aKey];
  result.mLastSample = ++mSampleCount;
  return result;
}

void
RunTimeModel::Add(const RunTimeClass& aClass,
                  std::uint64_t aEstimateMs,
                  base::Duration aRunTime,
                  double aSlowness,
                  double aWeight)
{
  if (aRunTime <= base::Duration::zero() || !(aSlowness > 0)) {
    return;
  }
  const double seconds = ToSeconds(aRunTime) / aSlowness;
  // The most general class is touched last, so that it is removed last.
  for (const Key& key : KeysOf(aClass)) {
    Class& samples = Touch(key);
    samples.mRunTimes.Add(seconds, aWeight);
    if (aEstimateMs > 0) {
      samples.mRatios.Add(seconds * 1000 / static_cast<double>(aEstimateMs),
                          aWeight);
    }
  }
}

RunTimeExpectation
RunTimeModel::Expect(const RunTimeClass& aClass,
                     std::uint64_t aEstimateMs) const
{
  RunTimeExpectation result;
  const double estimate = static_cast<double>(aEstimateMs) / 1000;
  for (const Key& key : KeysOf(aClass)) {
    const auto it = mClasses.find(key);
    const double total =
      it == mClasses.end() ? 0 : it->second.mRunTimes.Total();
    if (total <= 0 ||
        (total < kMinSamples && std::get<std::uint32_t>(key) != kAnyWidth)) {
      continue;
    }
    const LogHistogram& ratios = it->second.mRatios;
    const LogHistogram& runTimes = it->second.mRunTimes;
    const bool usesEstimate = aEstimateMs > 0 && ratios.Total() > 0 &&
                              ratios.Spread() <= runTimes.Spread();
    result.mSamples = total;
    result.mQuantiles =
      usesEstimate ? QuantilesOf(ratios, estimate) : QuantilesOf(runTimes, 1);
    break;
  }
  if (result.mSamples < kMinSamples && aEstimateMs > 0) {
    BlendWithEstimate(
      result.mQuantiles, estimate, result.mSamples / kMinSamples);
  }
  if (result.mQuantiles.front() > 0) {
    result.mMedian = FromSeconds(result.mQuantiles[kRunTimeIntervals / 2 - 1]);
    result.mTail = FromSeconds(ValueAt(result.mQuantiles, kTailShare));
  }
  return result;
}

std::vector<std::map<RunTimeModel::Key, RunTimeModel::Class>::const_iterator>
RunTimeModel::ByLastSample() const
{
  std::vector<std::map<Key, Class>::const_iterator> order;
  for (auto it = mClasses.begin(); it != mClasses.end(); ++it) {
    order.push_back(it);
  }
  std::sort(
    order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->second.mLastSample > aRight->second.mLastSample;
    });
  return order;
}

std::vector<ObservedRunTimes>
RunTimeModel::Export() const
{
  std::vector<ObservedRunTimes> result;
  for (const auto& it : ByLastSample()) {
    if (result.size() == kMaxExported) {
      break;
    }
    const auto& [queue, account, width] = it->first;
    result.push_back({ queue,
                       account,
                       width,
                       it->second.mRatios.Export(),
                       it->second.mRunTimes.Export() });
  }
  return result;
}

void
RunTimeModel::Import(const std::vector<ObservedRunTimes>& aClasses)
{
  mClasses.clear();
  const auto count = std::min(aClasses.size(), kMaxExported);
  // Exports begin with the newest samples.
  for (std::size_t i = count; i > 0; --i) {
    const ObservedRunTimes& from = aClasses[i - 1];
    Class& to = Touch(Key{ from.mQueue, from.mAccount, from.mWidthClass });
    to.mRatios.Import(from.mRatioCounts);
    to.mRunTimes.Import(from.mRunTimeCounts);
  }
}

} // namespace dogwooddrum::coordination::workloads
