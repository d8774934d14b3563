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
    Candidate* best = nullptr;
    for (Candidate& each : candidates) {
      if (each.mFreeIn && (limit == 0 || each.mStepTasks < limit) &&
          (best == nullptr || *each.mFreeIn < *best->mFreeIn)) {
        best = &each;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    reservation.mWorkers.push_back(best->mIndex);
    reservation.mStartsIn = std::max(reservation.mStartsIn, *best->mFreeIn);
    ready += *best->mFreeIn == base::Duration::zero() ? 1 : 0;
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
  for (const std::size_t i : aReservation.mWorkers) {
    WorkerView& worker = aWorkers[i];
    worker.mHeldFor = worker.mIsHeld
                        ? std::min(worker.mHeldFor, aReservation.mStartsIn)
                        : aReservation.mStartsIn;
    worker.mIsHeld = true;
    worker.mHeld = worker.mHeld + need;
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
