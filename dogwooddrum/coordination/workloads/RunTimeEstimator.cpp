#include "dogwooddrum/coordination/workloads/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Progress is listed in whole percents, so that a shorter sample of a long run
 * consists mostly of rounding errors. */
constexpr base::Duration kSampleTime = base::Milliseconds(500);
constexpr std::uint32_t kWholePercent = 100;
/** Weight of a new sample of a step, whose tasks differ little. */
constexpr double kStepWeight = 0.5;
/** Weight of a new sample of a queue, whose workloads differ widely. */
constexpr double kQueueWeight = 0.1;
/** Samples of a queue's ratio are clamped to this factor up and down, so that a
 * run on a very slow target does not distort the average. */
constexpr double kLargestRatio = 10;

base::Duration
Seconds(double aSeconds)
{
  return base::Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

} // namespace

void
UpdateProgress(RunProgress& aProgress, std::uint32_t aPercent, base::Time aNow)
{
  const bool isFirst = aProgress.mListedAt == base::Time();
  if (isFirst || aPercent < aProgress.mPercent) {
    aProgress = RunProgress();
    aProgress.mSampleStartPercent = aPercent;
    aProgress.mSampleStartedAt = aNow;
    aProgress.mAdvancedAt = aNow;
  }
  if (aPercent > aProgress.mPercent) {
    aProgress.mAdvancedAt = aNow;
  }
  aProgress.mPercent = aPercent;
  aProgress.mListedAt = aNow;
  const base::Duration sample = aNow - aProgress.mSampleStartedAt;
  if (sample < kSampleTime || aPercent == aProgress.mSampleStartPercent) {
    return;
  }
  const double rate =
    static_cast<double>(aPercent - aProgress.mSampleStartPercent) * 1e6 /
    static_cast<double>(sample.count());
  aProgress.mPercentPerSecond = aProgress.mPercentPerSecond == 0
                                  ? rate
                                  : (aProgress.mPercentPerSecond + rate) / 2;
  aProgress.mSampleStartPercent = aPercent;
  aProgress.mSampleStartedAt = aNow;
}

std::optional<base::Duration>
ProjectedTimeLeft(const RunProgress& aProgress, base::Time aNow)
{
  if (aProgress.mPercentPerSecond == 0) {
    return std::nullopt;
  }
  const auto left =
    Seconds((kWholePercent - std::min(aProgress.mPercent, kWholePercent)) /
            aProgress.mPercentPerSecond) -
    (aNow - aProgress.mListedAt);
  return std::max(left, base::Duration::zero());
}

std::optional<base::Duration>
ProjectedRunTime(const RunProgress& aProgress)
{
  if (aProgress.mPercentPerSecond == 0) {
    return std::nullopt;
  }
  return Seconds(kWholePercent / aProgress.mPercentPerSecond);
}

RunTimeEstimator::Step
RunTimeEstimator::StepOf(const protocol::TaskId& aTask)
{
  return { aTask.mWorkload, aTask.mOccurrence, aTask.mStep };
}

void
RunTimeEstimator::AddStepSample(const protocol::TaskId& aTask,
                                base::Duration aWhole)
{
  const auto [it, isNew] = mSteps.try_emplace(StepOf(aTask), aWhole);
  if (!isNew) {
    it->second += base::Duration(static_cast<std::int64_t>(
      kStepWeight * static_cast<double>((aWhole - it->second).count())));
  }
}

void
RunTimeEstimator::AddQueueSample(const QueueKey& aQueue,
                                 std::uint64_t aEstimateMs,
                                 base::Duration aWhole)
{
  if (aEstimateMs == 0 || aWhole <= base::Duration::zero()) {
    return;
  }
  const double ratio = static_cast<double>(base::ToMilliseconds(aWhole)) /
                       static_cast<double>(aEstimateMs);
  const double sample =
    std::log(std::clamp(ratio, 1 / kLargestRatio, kLargestRatio));
  double& mean = mRatios[aQueue];
  mean += kQueueWeight * (sample - mean);
}

base::Duration
RunTimeEstimator::ExpectedRunTime(const protocol::TaskId& aTask,
                                  const QueueKey& aQueue,
                                  std::uint64_t aEstimateMs) const
{
  if (const auto step = StepRunTime(aTask)) {
    return *step;
  }
  const auto ratio = mRatios.find(aQueue);
  const double factor = ratio == mRatios.end() ? 1 : std::exp(ratio->second);
  return Seconds(static_cast<double>(aEstimateMs) / 1000 * factor);
}

std::optional<base::Duration>
RunTimeEstimator::StepRunTime(const protocol::TaskId& aTask) const
{
  const auto it = mSteps.find(StepOf(aTask));
  return it == mSteps.end() ? std::nullopt : std::make_optional(it->second);
}

void
RunTimeEstimator::RemoveWorkload(const protocol::WorkloadId& aWorkload)
{
  auto it = mSteps.lower_bound({ aWorkload, 0, 0 });
  while (it != mSteps.end() && std::get<0>(it->first) == aWorkload) {
    it = mSteps.erase(it);
  }
}

} // namespace dogwooddrum::coordination::workloads
