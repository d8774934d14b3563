#include "dogwooddrum/coordination/control/SlowTargetDetector.h"

#include <algorithm>
#include <cmath>

namespace dogwooddrum::coordination::control {

namespace {

/** Weight of the newest run: the mean covers about the last 20 runs. */
constexpr double kNewestWeight = 0.1;
/** Age up to which a median is reused, as computing one reads every worker. */
constexpr base::Duration kMaxMedianAge = base::Milliseconds(1000);
/** Largest number of doublings of the ejection time; more would exceed the
 * longest ejection anyway. */
constexpr std::uint32_t kMaxDoublings = 10;

} // namespace

SlowTargetDetector::SlowTargetDetector(
  const SlowTargetDetectorOptions& aOptions)
  : mOptions(aOptions)
{
}

std::optional<base::Time>
SlowTargetDetector::RecordRun(const base::WorkerId& aWorker,
                              const base::ProfileId& aProfile,
                              base::Duration aRun,
                              base::Time aNow)
{
  RunTimeMean& mean = mRunTimes[aWorker][aProfile];
  const double logRun = std::log(
    static_cast<double>(std::max<base::Duration::rep>(aRun.count(), 1)));
  ++mean.mRuns;
  const double weight = std::max(kNewestWeight, 1.0 / mean.mRuns);
  mean.mLogMicroseconds += (logRun - mean.mLogMicroseconds) * weight;
  if (mean.mRuns < mOptions.mMinRuns || IsEjected(aWorker)) {
    return std::nullopt;
  }
  const auto median = GetMedian(aProfile, aNow);
  if (!median || mean.mLogMicroseconds < *median + std::log(mOptions.mFactor) ||
      !CanEject()) {
    return std::nullopt;
  }
  const std::uint32_t doublings =
    std::min(mEjectionCounts[aWorker]++, kMaxDoublings);
  const base::Time until =
    aNow + std::min(mOptions.mFirstEjection * (1U << doublings),
                    mOptions.mLongestEjection);
  mEjectedUntil[aWorker] = until;
  mRunTimes.erase(aWorker); // Measured from scratch after readmission.
  return until;
}

std::vector<base::WorkerId>
SlowTargetDetector::Readmit(base::Time aNow)
{
  std::vector<base::WorkerId> readmitted;
  for (auto it = mEjectedUntil.begin(); it != mEjectedUntil.end();) {
    if (it->second <= aNow) {
      readmitted.push_back(it->first);
      it = mEjectedUntil.erase(it);
    } else {
      ++it;
    }
  }
  return readmitted;
}

bool
SlowTargetDetector::IsEjected(const base::WorkerId& aWorker) const
{
  return mEjectedUntil.count(aWorker) > 0;
}

void
SlowTargetDetector::Forget(const base::WorkerId& aWorker)
{
  mRunTimes.erase(aWorker);
  mEjectedUntil.erase(aWorker);
  mEjectionCounts.erase(aWorker);
}

std::optional<double>
SlowTargetDetector::GetMedian(const base::ProfileId& aProfile, base::Time aNow)
{
  CachedMedian& cached = mMedians[aProfile];
  if (cached.mRefreshAt <= aNow) {
    cached = { aNow + kMaxMedianAge, ComputeMedian(aProfile) };
  }
  return cached.mLogMicroseconds;
}

std::optional<double>
SlowTargetDetector::ComputeMedian(const base::ProfileId& aProfile) const
{
  std::vector<double> means;
  for (const auto& [worker, profiles] : mRunTimes) {
    const auto it = profiles.find(aProfile);
    if (it != profiles.end() && it->second.mRuns >= mOptions.mMinRuns) {
      means.push_back(it->second.mLogMicroseconds);
    }
  }
  if (means.size() < mOptions.mMinWorkers) {
    return std::nullopt;
  }
  const auto middle =
    means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

bool
SlowTargetDetector::CanEject() const
{
  const double known =
    static_cast<double>(mRunTimes.size() + mEjectedUntil.size());
  const double limit = known * mOptions.mMaxEjectedShare;
  return static_cast<double>(mEjectedUntil.size()) + 1 <= limit;
}

} // namespace dogwooddrum::coordination::control
