#include "dogwooddrum/coordination/workloads/Headroom.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

Room
Scale(const Room& aRoom, double aFactor)
{
  const auto scale = [aFactor](std::int64_t aAmount) {
    return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
  };
  return { scale(aRoom.mMilliCores),
           scale(aRoom.mMemoryMb),
           scale(aRoom.mAccelerators) };
}

Room
Least(const Room& aLeft, const Room& aRight)
{
  return { std::min(aLeft.mMilliCores, aRight.mMilliCores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

bool
IsCovered(const Room& aRest)
{
  return aRest.mMilliCores <= 0 && aRest.mMemoryMb <= 0 &&
         aRest.mAccelerators <= 0;
}

/** Returns the pool's workers, those of the emptiest rack first. */
std::vector<WorkerView*>
EmptiestFirst(const protocol::PoolName& aPool,
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
    return std::make_tuple(-freeOnRack.at(aWorker->mRack),
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

/** Returns the room that urgent work has on the worker once the less urgent
 * runs there have ended. Their room counts, since scattered rests of many
 * workers hold no large task. */
Room
RoomForUrgentWork(const WorkerView& aWorker)
{
  Room room = aWorker.mFree + aWorker.mReleasing;
  for (const Victim& victim : aWorker.mVictims) {
    room = room + victim.mRoom;
  }
  return room;
}

} // namespace

void
UrgentDemand::Add(const Room& aNeed, base::Time aNow)
{
  mArrivals.emplace_back(aNow, aNeed);
}

Room
UrgentDemand::Headroom(base::Time aNow, const HeadroomOptions& aOptions)
{
  while (!mArrivals.empty() &&
         aNow - mArrivals.front().first > aOptions.mWindow) {
    mArrivals.pop_front();
  }
  Room sum;
  for (const auto& [time, need] : mArrivals) {
    sum = sum + need;
  }
  return Scale(sum,
               static_cast<double>(aOptions.mReaction.count()) /
                 static_cast<double>(aOptions.mWindow.count()));
}

void
HoldHeadroom(const protocol::PoolName& aPool,
             const Room& aHeadroom,
             std::vector<WorkerView>& aWorkers,
             const HeadroomOptions& aOptions)
{
  const auto order = EmptiestFirst(aPool, aWorkers);
  Room capacity;
  Room free;
  for (const WorkerView* worker : order) {
    capacity = capacity + worker->mCapacity;
    free = free + worker->mFree;
  }
  if (CoresOf(free) > CoresOf(capacity) / 2) {
    return;
  }
  Room rest = Least(aHeadroom, Scale(capacity, aOptions.mMostShare));
  for (WorkerView* worker : order) {
    if (IsCovered(rest)) {
      return;
    }
    rest = rest - RoomForUrgentWork(*worker);
    worker->mFree = {};
  }
}

} // namespace dogwooddrum::coordination::workloads
