#include "dogwooddrum/coordination/workloads/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace dogwooddrum::coordination::workloads {

namespace {

constexpr std::uint32_t kWholePercent = 100;
/** Progress is listed in whole percents; a projection from less progress is
 * wrong by more than kLeastSlowness may be. */
constexpr std::uint32_t kMinPercent = 10;
/** Time after which the samples of a step count half as much. */
constexpr double kHalfLifeSeconds = 60;
/** A step without new progress for this time no longer counts. */
constexpr base::Duration kMaxAge = std::chrono::seconds(240);
constexpr base::Duration kFitInterval = base::Milliseconds(1000);
/** Limits the time that a fit takes. */
constexpr std::size_t kMaxRunsPerStep = 64;
constexpr std::size_t kMaxSteps = 500;
constexpr int kFitRounds = 3;
/** Clamps the logarithm of a ratio: some tasks take many times longer than
 * others of their step. */
constexpr double kMaxLogRatio = 1.5;
/** Samples worth of the assumption that a VM is like the median one. */
constexpr double kPriorSamples = 0.5;
constexpr double kMinSamples = 3;
/** Largest weight of what an earlier leader has learned, so that a VM that has
 * changed since is soon learned anew. */
constexpr double kMaxAdoptedSamples = 4;
/** Standard errors by which a slowness has to differ from 1. */
constexpr double kMinStandardErrors = 2;
/** Least standard deviation between the tasks of a step. */
constexpr double kMinDeviation = 0.1;
constexpr double kPermille = 1000;

double
MedianOf(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  if (aValues.size() % 2 == 1) {
    return *middle;
  }
  return (*middle + *std::max_element(aValues.begin(), middle)) / 2;
}

} // namespace

void
WorkerSpeeds::Add(const std::string& aAgent,
                  const protocol::RunId& aRun,
                  std::uint32_t aPercent,
                  bool aIsRemote,
                  base::Time aNow)
{
  const protocol::TaskId& task = aRun.mTask;
  StepSamples& step =
    mSteps[{ task.mWorkload, task.mOccurrence, task.mStep, aIsRemote }];
  step.mNewestAt = aNow;
  auto it = step.mRuns.find(aRun);
  if (it == step.mRuns.end()) {
    if (step.mRuns.size() >= kMaxRunsPerStep) {
      return;
    }
    it = step.mRuns.emplace(aRun, Sample{}).first;
  }
  Sample& sample = it->second;
  if (sample.mAgent != aAgent || aPercent < sample.mPercent) {
    sample = { aAgent, aPercent, aNow, aPercent, 0, false };
  }
  // The member of a gang that has done its share waits for the others.
  if (aPercent > sample.mPercent && aPercent < kWholePercent) {
    sample.mPercent = aPercent;
    const auto done = aPercent - sample.mFirstPercent;
    const auto seconds =
      static_cast<double>((aNow - sample.mFirstAt).count()) / 1e6;
    if (done >= kMinPercent && seconds > 0) {
      sample.mIsValid = true;
      sample.mLogTime = std::log(seconds * kWholePercent / done);
    }
  }
  if (aNow >= mNextFit) {
    mNextFit = aNow + kFitInterval;
    DropOld(aNow);
    Fit(aNow);
  }
}

double
WorkerSpeeds::SlownessOf(const std::string& aAgent) const
{
  const auto it = mSpeeds.find(aAgent);
  return it == mSpeeds.end() || !it->second.mIsClear
           ? 1
           : std::exp(it->second.mLogSlowness);
}

std::vector<ObservedSpeed>
WorkerSpeeds::Observed() const
{
  std::vector<ObservedSpeed> observed;
  for (const auto& [agent, speed] : mSpeeds) {
    if (speed.mIsClear) {
      observed.push_back({ agent,
                           static_cast<std::int32_t>(std::lround(
                             kPermille * std::exp(speed.mLogSlowness))),
                           static_cast<std::uint32_t>(speed.mSamples) });
    }
  }
  return observed;
}

void
WorkerSpeeds::Adopt(const std::vector<ObservedSpeed>& aSpeeds)
{
  for (const ObservedSpeed& observed : aSpeeds) {
    if (observed.mSlownessPermille <= 0) {
      continue;
    }
    Speed speed;
    speed.mAdopted = std::log(observed.mSlownessPermille / kPermille);
    speed.mAdoptedSamples =
      std::min<double>(observed.mSamples, kMaxAdoptedSamples);
    speed.mLogSlowness = speed.mAdopted;
    speed.mSamples = speed.mAdoptedSamples;
    speed.mIsClear = true;
    mSpeeds[observed.mAgentName] = speed;
  }
}

void
WorkerSpeeds::DropOld(base::Time aNow)
{
  const auto dropOlderThan = [&](base::Duration aAge) {
    for (auto it = mSteps.begin(); it != mSteps.end();) {
      it =
        aNow - it->second.mNewestAt > aAge ? mSteps.erase(it) : std::next(it);
    }
  };
  dropOlderThan(kMaxAge);
  for (auto age = kMaxAge / 2; mSteps.size() > kMaxSteps && age > kFitInterval;
       age /= 2) {
    dropOlderThan(age);
  }
}

double
WorkerSpeeds::SumResiduals(
  base::Time aNow,
  std::map<std::string, std::pair<double, double>>& aSums)
{
  double squares = 0;
  double weights = 0;
  for (const auto& [step, samples] : mSteps) {
    std::set<std::string> agents;
    std::vector<double> works;
    for (const auto& [run, sample] : samples.mRuns) {
      if (sample.mIsValid) {
        agents.insert(sample.mAgent);
        works.push_back(sample.mLogTime - mSpeeds[sample.mAgent].mLogSlowness);
      }
    }
    if (agents.size() < 2) {
      continue;
    }
    const double work = MedianOf(works);
    const double ageSeconds =
      static_cast<double>((aNow - samples.mNewestAt).count()) / 1e6;
    const double weight = std::exp2(-ageSeconds / kHalfLifeSeconds);
    for (const auto& [run, sample] : samples.mRuns) {
      if (!sample.mIsValid) {
        continue;
      }
      const double residual =
        std::clamp(sample.mLogTime - work, -kMaxLogRatio, kMaxLogRatio);
      auto& sums = aSums[sample.mAgent];
      sums.first += weight * residual;
      sums.second += weight;
      const double error = residual - mSpeeds[sample.mAgent].mLogSlowness;
      squares += weight * error * error;
      weights += weight;
    }
  }
  return weights == 0 ? 0 : squares / weights;
}

void
WorkerSpeeds::CenterAtMedian()
{
  std::vector<double> values;
  for (const auto& [agent, speed] : mSpeeds) {
    values.push_back(speed.mLogSlowness);
  }
  if (values.empty()) {
    return;
  }
  const double median = MedianOf(values);
  for (auto& [agent, speed] : mSpeeds) {
    speed.mLogSlowness -= median;
  }
}

void
WorkerSpeeds::Fit(base::Time aNow)
{
  double variance = 0;
  for (int round = 0; round < kFitRounds; ++round) {
    std::map<std::string, std::pair<double, double>> sums;
    variance = SumResiduals(aNow, sums);
    for (auto& [agent, speed] : mSpeeds) {
      const auto [sum, weight] = sums[agent];
      speed.mSamples = weight + speed.mAdoptedSamples;
      speed.mLogSlowness = (sum + speed.mAdopted * speed.mAdoptedSamples) /
                           (speed.mSamples + kPriorSamples);
    }
    CenterAtMedian();
  }
  const double deviation = std::max(std::sqrt(variance), kMinDeviation);
  for (auto& [agent, speed] : mSpeeds) {
    const double least = std::max(std::log(kLeastSlowness),
                                  kMinStandardErrors * deviation /
                                    std::sqrt(std::max(speed.mSamples, 1.0)));
    speed.mIsClear =
      speed.mSamples >= kMinSamples && std::abs(speed.mLogSlowness) >= least;
  }
}

} // namespace dogwooddrum::coordination::workloads
