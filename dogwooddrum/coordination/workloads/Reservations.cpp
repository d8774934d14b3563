#include "dogwooddrum/coordination/workloads/Reservations.h"

#include <algorithm>
#include <cmath>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Returns the time until aNeed fits into what the worker has free and what its
 * runs free; none if it never does. */
std::optional<base::Duration>
TimeUntilFree(const WorkerView& aWorker, const ResourceVector& aNeed)
{
  ResourceVector free = aWorker.mFree - aWorker.mHeld;
  if (Fits(aNeed, free)) {
    return base::Duration::zero();
  }
  for (const ExpectedRelease& release : aWorker.mReleases) {
    if (release.mIn == base::Duration::max()) {
      break;
    }
    free = free + release.mResources;
    if (Fits(aNeed, free)) {
      return release.mIn;
    }
  }
  return std::nullopt;
}

/** Returns the time until the worker has no run; none if that is not known. */
std::optional<base::Duration>
TimeUntilIdle(const WorkerView& aWorker)
{
  if (aWorker.mRunCount == 0) {
    return base::Duration::zero();
  }
  if (aWorker.mReleases.empty() ||
      aWorker.mReleases.back().mIn == base::Duration::max()) {
    return std::nullopt;
  }
  return aWorker.mReleases.back().mIn;
}

double
Seconds(base::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Plans on the eligible workers of aRack, or of all racks if it is null. */
std::optional<Reservation>
PlanOnRack(const PlacementUnit& aUnit,
           const std::vector<WorkerView>& aWorkers,
           const base::RackId* aRack)
{
  const ResourceVector need = ResourcesOf(*aUnit.mStep);
  struct Candidate
  {
    std::size_t mIndex = 0;
    ResourceVector mNeed; ///< of the unit's tasks here and one more
    std::uint32_t mStepTasks = 0;
    std::optional<base::Duration> mFreeIn;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    const WorkerView& worker = aWorkers[i];
    if (IsEligible(aUnit, worker) && !worker.mSuspect &&
        (aRack == nullptr || worker.mRack == *aRack)) {
      candidates.push_back(
        { i, need, aUnit.mStepTasks[i], TimeUntilFree(worker, need) });
    }
  }
  const std::uint32_t limit = aUnit.mStep->mMaxPerWorker;
  Reservation reservation;
  std::size_t ready = 0;
  for (std::size_t task = 0; task < aUnit.mTasks.size(); ++task) {
    const std::size_t crashes = CrashesOf(aUnit, task);
    const bool runsAlone =
      crashes >= kCrashesBeforeIsolation && !aUnit.mIgnoresCrashes;
    Candidate* best = nullptr;
    std::optional<base::Duration> bestIn;
    for (Candidate& each : candidates) {
      const WorkerView& worker = aWorkers[each.mIndex];
      if ((limit != 0 && each.mStepTasks >= limit) ||
          (runsAlone ? !Fits(each.mNeed, worker.mCapacity)
                     : !MayShareWorker(aUnit, task, worker))) {
        continue;
      }
      const auto in = runsAlone ? TimeUntilIdle(worker) : each.mFreeIn;
      if (in && (!bestIn || *in < *bestIn)) {
        best = &each;
        bestIn = in;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    reservation.mWorkers.push_back(best->mIndex);
    reservation.mStartsIn = std::max(reservation.mStartsIn, *bestIn);
    ready += *bestIn == base::Duration::zero() ? 1 : 0;
    ++best->mStepTasks;
    best->mNeed = best->mNeed + need;
    best->mFreeIn = TimeUntilFree(aWorkers[best->mIndex], best->mNeed);
  }
  reservation.mIdleLoss = static_cast<double>(ready) * CoreEquivalents(need) *
                          Seconds(reservation.mStartsIn);
  return reservation;
}

} // namespace

std::optional<Reservation>
PlanReservation(const PlacementUnit& aUnit,
                const std::vector<WorkerView>& aWorkers,
                const PlacementOptions& aOptions)
{
  if (!WaitsForLocality(aUnit, aWorkers, aOptions)) {
    return PlanOnRack(aUnit, aWorkers, nullptr);
  }
  std::optional<Reservation> best;
  for (const base::RackId& rack : PreferredRacks(aUnit, aWorkers)) {
    auto plan = PlanOnRack(aUnit, aWorkers, &rack);
    if (plan && (!best || plan->mStartsIn < best->mStartsIn)) {
      best = std::move(plan);
    }
  }
  return best;
}

void
HoldReservation(const PlacementUnit& aUnit,
                const Reservation& aReservation,
                std::vector<WorkerView>& aWorkers)
{
  const ResourceVector need = ResourcesOf(*aUnit.mStep);
  for (std::size_t task = 0; task < aReservation.mWorkers.size(); ++task) {
    WorkerView& worker = aWorkers[aReservation.mWorkers[task]];
    const bool runsAlone = CrashesOf(aUnit, task) >= kCrashesBeforeIsolation &&
                           !aUnit.mIgnoresCrashes;
    worker.mHeldFor = worker.mIsHeld
                        ? std::min(worker.mHeldFor, aReservation.mStartsIn)
                        : aReservation.mStartsIn;
    worker.mIsHeld = true;
    worker.mHeld = runsAlone ? worker.mCapacity : worker.mHeld + need;
  }
}

void
PoolShares::Add(std::uint32_t aPriority, const ResourceVector& aResources)
{
  ResourceVector& used = mUsed[aPriority];
  used = used + aResources;
}

double
PoolShares::DominantShare(const ResourceVector& aResources) const
{
  double share = 0;
  for (const auto kind : { &ResourceVector::mMilliCores,
                           &ResourceVector::mMemoryMb,
                           &ResourceVector::mAccelerators }) {
    if (mCapacity.*kind > 0) {
      share = std::max(share,
                       static_cast<double>(aResources.*kind) /
                         static_cast<double>(mCapacity.*kind));
    }
  }
  return share;
}

double
PoolShares::EntitledShare(std::uint32_t aPriority) const
{
  const auto weight = [](std::uint32_t aEach) {
    return std::pow(kPriorityWeight, -static_cast<double>(aEach));
  };
  double weights = 0;
  for (const auto& [priority, resources] : mUsed) {
    weights += weight(priority);
  }
  const double available = std::max(0.0, 1 - DominantShare(mPrivileged));
  return mUsed.count(aPriority) == 0 ? 0
                                     : available * weight(aPriority) / weights;
}

bool
PoolShares::IsBelowShare(std::uint32_t aPriority) const
{
  const auto used = mUsed.find(aPriority);
  return used != mUsed.end() &&
         DominantShare(used->second) < EntitledShare(aPriority);
}

bool
PoolShares::IsWithinShare(std::uint32_t aPriority,
                          const ResourceVector& aMore) const
{
  const auto used = mUsed.find(aPriority);
  return used != mUsed.end() &&
         DominantShare(used->second + aMore) <= EntitledShare(aPriority);
}

bool
PoolShares::IsAboveShareWithout(std::uint32_t aPriority,
                                const ResourceVector& aLess) const
{
  const auto used = mUsed.find(aPriority);
  return used != mUsed.end() &&
         DominantShare(used->second - aLess) >= EntitledShare(aPriority);
}

} // namespace dogwooddrum::coordination::workloads
