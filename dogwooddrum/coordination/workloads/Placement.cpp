#include "dogwooddrum/coordination/workloads/Placement.h"

#include <algorithm>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Lower is better; compared from the first field on. */
using Score = std::tuple<bool, bool, bool, bool, std::int64_t, std::int64_t>;

bool
IsEligible(const Unit& aUnit, const WorkerView& aWorker)
{
  return aWorker.mUsable && aWorker.mPool == aUnit.mPool &&
         (aUnit.mStep->mRequiredLabel.empty() ||
          aWorker.mLabels.count(aUnit.mStep->mRequiredLabel) > 0);
}

bool
HasStepRoom(const Unit& aUnit,
            const std::vector<std::uint32_t>& aStepTasks,
            std::size_t aWorker)
{
  const std::uint32_t limit = aUnit.mStep->mMaxPerWorker;
  return limit == 0 || aStepTasks[aWorker] < limit;
}

/** Best fit: leaves the smallest remainder of accelerators, so that whole
 * workers stay free for large tasks. */
Score
ScoreOf(const Unit& aUnit, const WorkerView& aWorker)
{
  const Room rest = aWorker.mFree - RoomFor(*aUnit.mStep);
  const bool farFromData = !aUnit.mStep->mDataRack.Value().empty() &&
                           aUnit.mStep->mDataRack != aWorker.mRack;
  const bool farFromStep = aUnit.mStep->mSameRack &&
                           !aUnit.mStepRacks.empty() &&
                           aUnit.mStepRacks.count(aWorker.mRack) == 0;
  return { aWorker.mSuspect,   aUnit.mAvoid.count(aWorker.mLife) > 0,
           farFromData,        farFromStep,
           rest.mAccelerators, rest.mMilliCores };
}

/** Places each task on the best worker among those that aAllowed accepts. */
template<typename Allowed>
std::optional<Assignment>
PlaceEach(const Unit& aUnit,
          std::vector<WorkerView>& aWorkers,
          const Allowed& aAllowed)
{
  const Room need = RoomFor(*aUnit.mStep);
  auto stepTasks = aUnit.mStepTasks;
  Assignment assignment;
  for (std::size_t task = 0; task < aUnit.mTasks.size(); ++task) {
    std::optional<std::size_t> best;
    Score bestScore;
    for (std::size_t i = 0; i < aWorkers.size(); ++i) {
      if (!IsEligible(aUnit, aWorkers[i]) || !aAllowed(aWorkers[i]) ||
          !Fits(need, aWorkers[i].mFree) || !HasStepRoom(aUnit, stepTasks, i)) {
        continue;
      }
      const Score score = ScoreOf(aUnit, aWorkers[i]);
      if (!best || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    if (!best) {
      for (const std::size_t taken : assignment) {
        aWorkers[taken].mFree = aWorkers[taken].mFree + need;
      }
      return std::nullopt;
    }
    aWorkers[*best].mFree = aWorkers[*best].mFree - need;
    ++stepTasks[*best];
    assignment.push_back(*best);
  }
  return assignment;
}

std::set<base::RackId>
RacksOf(const std::vector<WorkerView>& aWorkers)
{
  std::set<base::RackId> racks;
  for (const WorkerView& worker : aWorkers) {
    racks.insert(worker.mRack);
  }
  return racks;
}

bool
WantsOneRack(const Unit& aUnit)
{
  return aUnit.mStep->mGang && aUnit.mStep->mSameRack;
}

bool
WantsNearPlace(const Unit& aUnit)
{
  return WantsOneRack(aUnit) || !aUnit.mStep->mDataRack.Value().empty();
}

/** Returns the racks that count as near: the one with the data, or each rack
 * for a gang that wants to stay together. */
std::vector<base::RackId>
NearRacks(const Unit& aUnit, const std::vector<WorkerView>& aWorkers)
{
  const base::RackId& data = aUnit.mStep->mDataRack;
  if (!data.Value().empty()) {
    return { data };
  }
  const auto racks = RacksOf(aWorkers);
  return { racks.begin(), racks.end() };
}

/** Places all tasks on one near rack. */
std::optional<Assignment>
PlaceNear(const Unit& aUnit, std::vector<WorkerView>& aWorkers)
{
  for (const base::RackId& rack : NearRacks(aUnit, aWorkers)) {
    auto assignment =
      PlaceEach(aUnit, aWorkers, [&](const WorkerView& aWorker) {
        return aWorker.mRack == rack && !aWorker.mSuspect;
      });
    if (assignment) {
      return assignment;
    }
  }
  return std::nullopt;
}

/** Returns the views as if nothing ran. */
std::vector<WorkerView>
Emptied(std::vector<WorkerView> aWorkers)
{
  for (WorkerView& worker : aWorkers) {
    worker.mFree = worker.mCapacity;
  }
  return aWorkers;
}

/** Returns whether the platform takes the pool for idle: there is room for the
 * unit twice over, and less than half of some kind of room is in use. */
bool
IsIdleFor(const Unit& aUnit, const std::vector<WorkerView>& aWorkers)
{
  constexpr double kHalf = 0.5;
  if (LeastShareInUse(aUnit.mPool, aWorkers) >= kHalf) {
    return false;
  }
  auto scratch = aWorkers;
  const auto anywhere = [](const WorkerView&) { return true; };
  return PlaceEach(aUnit, scratch, anywhere) &&
         PlaceEach(aUnit, scratch, anywhere);
}

/** Returns whether the unit still waits for a near place: a remote run would
 * take longer by more than the unit has waited. */
bool
IsPatient(const Unit& aUnit,
          const std::vector<WorkerView>& aWorkers,
          const PlacementOptions& aOptions)
{
  if (!WantsNearPlace(aUnit)) {
    return false;
  }
  const std::int64_t extraMs =
    (aOptions.mRemotePenalty - 1) *
    static_cast<std::int64_t>(aUnit.mStep->mEstimateMs);
  const std::int64_t mostMs = aUnit.mGuaranteed ? aOptions.mGuaranteedPatienceMs
                                                : aOptions.mMostPatienceMs;
  if (aUnit.mWaitedMs >= std::min(extraMs, mostMs)) {
    return false;
  }
  if (aUnit.mWaitedMs >= aOptions.mIdlePatienceMs &&
      IsIdleFor(aUnit, aWorkers)) {
    return false;
  }
  auto emptied = Emptied(aWorkers);
  return PlaceNear(aUnit, emptied).has_value();
}

struct Stops
{
  std::vector<const Victim*> mVictims;
  double mLoss = 0;
  double mCost = 0;

  void Add(const Victim& aVictim)
  {
    mVictims.push_back(&aVictim);
    mLoss += aVictim.mLoss;
    mCost += aVictim.mCost;
  }
};

/** Returns the cheapest stops on aWorker after which aNeed fits. */
std::optional<Stops>
CheapestStops(const WorkerView& aWorker,
              const Room& aNeed,
              std::uint32_t aBelow)
{
  Room room = aWorker.mFree + aWorker.mReleasing;
  if (Fits(aNeed, room)) {
    return Stops();
  }
  std::vector<const Victim*> candidates;
  for (const Victim& victim : aWorker.mVictims) {
    if (victim.mPriority > aBelow) {
      candidates.push_back(&victim);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Victim* aLeft, const Victim* aRight) {
              return std::make_tuple(aRight->mPriority, aLeft->mCost) <
                     std::make_tuple(aLeft->mPriority, aRight->mCost);
            });
  std::vector<const Victim*> chosen;
  for (const Victim* victim : candidates) {
    if (Fits(aNeed, room)) {
      break;
    }
    room = room + victim->mRoom;
    chosen.push_back(victim);
  }
  if (!Fits(aNeed, room)) {
    return std::nullopt;
  }
  Stops stops;
  for (const Victim* victim : chosen) {
    // A run that turned out to be unnecessary goes on.
    if (Fits(aNeed, room - victim->mRoom)) {
      room = room - victim->mRoom;
    } else {
      stops.Add(*victim);
    }
  }
  return stops;
}

/** Moves the stopped runs' room from used to releasing on every worker. */
void
Release(std::vector<WorkerView>& aWorkers, const std::set<RunId>& aStops)
{
  for (WorkerView& worker : aWorkers) {
    auto& victims = worker.mVictims;
    for (auto it = victims.begin(); it != victims.end();) {
      if (aStops.count(it->mRun) > 0) {
        worker.mReleasing = worker.mReleasing + it->mRoom;
        it = victims.erase(it);
      } else {
        ++it;
      }
    }
  }
}

struct CostedPlan
{
  PreemptionPlan mPlan;
  double mLoss = 0; ///< core-seconds that the stops throw away
  double mCost = 0;
};

/** Plans stops on the workers that aAllowed accepts. */
template<typename Allowed>
std::optional<CostedPlan>
PlanOn(const Unit& aUnit,
       std::uint32_t aBelow,
       double aAllowedLoss,
       const std::vector<WorkerView>& aWorkers,
       const Allowed& aAllowed)
{
  const Room need = RoomFor(*aUnit.mStep);
  std::vector<std::size_t> indices;
  std::vector<WorkerView> scratch;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    if (IsEligible(aUnit, aWorkers[i]) && !aWorkers[i].mSuspect &&
        aAllowed(aWorkers[i])) {
      indices.push_back(i);
      scratch.push_back(aWorkers[i]);
    }
  }
  auto stepTasks = aUnit.mStepTasks;
  CostedPlan result;
  std::set<RunId> stops;
  for (std::size_t task = 0; task < aUnit.mTasks.size(); ++task) {
    std::optional<std::size_t> best;
    Stops bestStops;
    for (std::size_t i = 0; i < scratch.size(); ++i) {
      if (!HasStepRoom(aUnit, stepTasks, indices[i])) {
        continue;
      }
      auto found = CheapestStops(scratch[i], need, aBelow);
      if (found && (!best || found->mCost < bestStops.mCost)) {
        best = i;
        bestStops = std::move(*found);
      }
    }
    result.mLoss += bestStops.mLoss;
    result.mCost += bestStops.mCost;
    if (!best || result.mLoss > aAllowedLoss) {
      return std::nullopt;
    }
    std::set<RunId> now;
    for (const Victim* victim : bestStops.mVictims) {
      now.insert(victim->mGang.begin(), victim->mGang.end());
    }
    Release(scratch, now);
    stops.insert(now.begin(), now.end());
    scratch[*best].mFree = scratch[*best].mFree - need;
    ++stepTasks[indices[*best]];
    result.mPlan.mWorkers.push_back(indices[*best]);
  }
  result.mPlan.mStops.assign(stops.begin(), stops.end());
  return result;
}

} // namespace

Room
RoomFor(const WorkloadStep& aStep)
{
  Room room;
  room.mMilliCores =
    aStep.mFillsIdle ? 0 : static_cast<std::int64_t>(aStep.mEach.mMilliCores);
  room.mMemoryMb = static_cast<std::int64_t>(aStep.mEach.mMemoryMb);
  room.mAccelerators = static_cast<std::int64_t>(aStep.mEach.mAccelerators);
  return room;
}

Room
operator+(const Room& aLeft, const Room& aRight)
{
  return { aLeft.mMilliCores + aRight.mMilliCores,
           aLeft.mMemoryMb + aRight.mMemoryMb,
           aLeft.mAccelerators + aRight.mAccelerators };
}

Room
operator-(const Room& aLeft, const Room& aRight)
{
  return { aLeft.mMilliCores - aRight.mMilliCores,
           aLeft.mMemoryMb - aRight.mMemoryMb,
           aLeft.mAccelerators - aRight.mAccelerators };
}

double
CoresOf(const Room& aRoom)
{
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(aRoom.mMilliCores) / 1000 +
         kCoresPerAccelerator * static_cast<double>(aRoom.mAccelerators);
}

bool
Fits(const Room& aNeed, const Room& aFree)
{
  const auto fits = [](std::int64_t aAmount, std::int64_t aRoom) {
    return aAmount == 0 || aAmount <= aRoom;
  };
  return fits(aNeed.mMilliCores, aFree.mMilliCores) &&
         fits(aNeed.mMemoryMb, aFree.mMemoryMb) &&
         fits(aNeed.mAccelerators, aFree.mAccelerators);
}

std::optional<Assignment>
PlaceInFreeRoom(const Unit& aUnit,
                std::vector<WorkerView>& aWorkers,
                const PlacementOptions& aOptions)
{
  if (WantsNearPlace(aUnit)) {
    auto assignment = PlaceNear(aUnit, aWorkers);
    if (assignment || IsPatient(aUnit, aWorkers, aOptions)) {
      return assignment;
    }
  }
  return PlaceEach(aUnit, aWorkers, [](const WorkerView&) { return true; });
}

std::optional<PreemptionPlan>
PlanPreemption(const Unit& aUnit,
               std::uint32_t aBelow,
               double aAllowedLoss,
               std::vector<WorkerView>& aWorkers,
               const PlacementOptions& aOptions)
{
  std::optional<CostedPlan> best;
  if (IsPatient(aUnit, aWorkers, aOptions)) {
    for (const base::RackId& rack : NearRacks(aUnit, aWorkers)) {
      auto plan = PlanOn(
        aUnit, aBelow, aAllowedLoss, aWorkers, [&](const WorkerView& aWorker) {
          return aWorker.mRack == rack;
        });
      if (plan && (!best || plan->mCost < best->mCost)) {
        best = std::move(plan);
      }
    }
  } else {
    best = PlanOn(aUnit, aBelow, aAllowedLoss, aWorkers, [](const WorkerView&) {
      return true;
    });
  }
  if (!best) {
    return std::nullopt;
  }
  const auto& stops = best->mPlan.mStops;
  Release(aWorkers, { stops.begin(), stops.end() });
  const Room need = RoomFor(*aUnit.mStep);
  for (const std::size_t worker : best->mPlan.mWorkers) {
    aWorkers[worker].mFree = aWorkers[worker].mFree - need;
  }
  return std::move(best->mPlan);
}

double
LeastShareInUse(const protocol::PoolName& aPool,
                const std::vector<WorkerView>& aWorkers)
{
  Room capacity;
  Room free;
  for (const WorkerView& worker : aWorkers) {
    if (worker.mUsable && worker.mPool == aPool) {
      capacity = capacity + worker.mCapacity;
      free = free + worker.mFree;
    }
  }
  double least = 1;
  for (const auto kind :
       { &Room::mMilliCores, &Room::mMemoryMb, &Room::mAccelerators }) {
    if (capacity.*kind > 0) {
      least = std::min(least,
                       1 - static_cast<double>(free.*kind) /
                             static_cast<double>(capacity.*kind));
    }
  }
  return least;
}

bool
IsFeasible(const Unit& aUnit, std::vector<WorkerView> aWorkers)
{
  auto emptied = Emptied(std::move(aWorkers));
  return PlaceEach(aUnit, emptied, [](const WorkerView&) { return true; })
    .has_value();
}

} // namespace dogwooddrum::coordination::workloads
