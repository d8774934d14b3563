#include "dogwooddrum/coordination/workloads/Headroom.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

ResourceVector
Scale(const ResourceVector& aResources, double aFactor)
{
  const auto scale = [aFactor](std::int64_t aAmount) {
    return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
  };
  return { scale(aResources.mMilliCores),
           scale(aResources.mMemoryMb),
           scale(aResources.mAccelerators) };
}

ResourceVector
ElementwiseMin(const ResourceVector& aLeft, const ResourceVector& aRight)
{
  return { std::min(aLeft.mMilliCores, aRight.mMilliCores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

bool
IsCovered(const ResourceVector& aRemaining)
{
  return aRemaining.mMilliCores <= 0 && aRemaining.mMemoryMb <= 0 &&
         aRemaining.mAccelerators <= 0;
}

/** Returns the usable workers of the pool: those that are held for a waiting
 * unit first, then those of the rack with the most free cores. */
std::vector<WorkerView*>
SortForHeadroom(const protocol::PoolName& aPool,
                std::vector<WorkerView>& aWorkers)
{
  std::vector<WorkerView*> order;
  std::map<base::RackId, std::int64_t> freeOnRack;
  for (WorkerView& worker : aWorkers) {
    if (worker.mUsable && !worker.mSuspect && worker.mPool == aPool) {
      order.push_back(&worker);
      freeOnRack[worker.mRack] += worker.mFree.mMilliCores;
    }
  }
  const auto key = [&freeOnRack](const WorkerView* aWorker) {
    return std::make_tuple(!aWorker->mIsHeld,
                           -freeOnRack.at(aWorker->mRack),
                           aWorker->mRack,
                           -aWorker->mFree.mAccelerators,
                           -aWorker->mFree.mMilliCores);
  };
  std::stable_sort(order.begin(),
                   order.end(),
                   [&key](const WorkerView* aLeft, const WorkerView* aRight) {
                     return key(aLeft) < key(aRight);
                   });
  return order;
}

/** Returns the worker's free resources plus those of its less urgent runs,
 * which urgent work can preempt. Without the latter, headroom would consist of
 * small free amounts on many workers, where no large task fits. */
ResourceVector
ReclaimableResources(const WorkerView& aWorker)
{
  ResourceVector resources = aWorker.mFree + aWorker.mReleasing;
  for (const Victim& victim : aWorker.mVictims) {
    if (victim.mPriority > 0) {
      resources = resources + victim.mResources;
    }
  }
  return resources;
}

} // namespace

void
UrgentDemand::Add(const ResourceVector& aNeed, base::Time aNow)
{
  mArrivals.emplace_back(aNow, aNeed);
}

ResourceVector
UrgentDemand::Headroom(base::Time aNow, const HeadroomOptions& aOptions)
{
  while (!mArrivals.empty() &&
         aNow - mArrivals.front().first > aOptions.mWindow) {
    mArrivals.pop_front();
  }
  ResourceVector sum;
  for (const auto& [time, need] : mArrivals) {
    sum = sum + need;
  }
  return Scale(sum,
               static_cast<double>(aOptions.mReactionTime.count()) /
                 static_cast<double>(aOptions.mWindow.count()));
}

void
ReserveHeadroom(const protocol::PoolName& aPool,
                const ResourceVector& aHeadroom,
                std::vector<WorkerView>& aWorkers,
                const HeadroomOptions& aOptions)
{
  const auto order = SortForHeadroom(aPool, aWorkers);
  if (IsHalfIdle(aPool, aWorkers)) {
    return;
  }
  ResourceVector capacity;
  for (const WorkerView* worker : order) {
    capacity = capacity + worker->mCapacity;
  }
  ResourceVector remaining =
    ElementwiseMin(aHeadroom, Scale(capacity, aOptions.mMaxShare));
  for (WorkerView* worker : order) {
    if (IsCovered(remaining)) {
      return;
    }
    remaining = remaining - ReclaimableResources(*worker);
    worker->mFree = {};
  }
}

} // namespace dogwooddrum::coordination::workloads
