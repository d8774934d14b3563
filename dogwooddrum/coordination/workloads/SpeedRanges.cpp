#include "dogwooddrum/coordination/workloads/SpeedRanges.h"

#include "dogwooddrum/coordination/workloads/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace dogwooddrum::coordination::workloads {

int
SpeedClassOf(const WorkerView& aWorker)
{
  return aWorker.mSlowness == 1
           ? 0
           : static_cast<int>(std::lround(std::log(aWorker.mSlowness) /
                                          std::log(kLeastSlowness)));
}

bool
SpeedRange::Contains(const WorkerView& aWorker) const
{
  const int speed = SpeedClassOf(aWorker);
  return mFastest <= speed && speed <= mSlowest;
}

std::vector<SpeedRange>
SpeedRangesFor(const PlacementUnit& aUnit,
               const std::vector<WorkerView>& aWorkers)
{
  std::set<int> classes;
  for (const WorkerView& worker : aWorkers) {
    if (IsEligible(aUnit, worker)) {
      classes.insert(SpeedClassOf(worker));
    }
  }
  if (!aUnit.mStep->mGang || classes.size() < 2) {
    return {};
  }
  std::vector<SpeedRange> ranges;
  if (!aUnit.mPrefersFast) {
    // Two neighbouring classes: a speed may be near the bound between them.
    std::for_each(classes.rbegin(), classes.rend(), [&](int aClass) {
      ranges.push_back({ aClass - 1, aClass });
    });
  }
  for (const int slowest : classes) {
    ranges.push_back({ *classes.begin(), slowest });
  }
  return ranges;
}

bool
PrefersFast(const PlacementUnit& aUnit,
            const std::vector<WorkerView>& aWorkers,
            std::int64_t aNowMs)
{
  if (aUnit.mPriority == 0) {
    return true;
  }
  if (aUnit.mExpectedRunTime == base::Duration::max()) {
    return false;
  }
  double slowest = 1;
  for (const WorkerView& worker : aWorkers) {
    if (IsEligible(aUnit, worker)) {
      slowest = std::max(slowest, worker.mSlowness);
    }
  }
  const double leftMs = static_cast<double>(aUnit.mDueAtMs - aNowMs);
  return slowest *
           static_cast<double>(base::ToMilliseconds(aUnit.mExpectedRunTime)) >
         leftMs;
}

} // namespace dogwooddrum::coordination::workloads
