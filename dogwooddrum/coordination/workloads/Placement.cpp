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

/** Places all tasks on one rack: the one whose data is there, or else the
 * first that holds them. */
std::optional<Assignment>
PlaceOnOneRack(const Unit& aUnit, std::vector<WorkerView>& aWorkers)
{
  const auto place = [&](const base::RackId& aRack) {
    return PlaceEach(aUnit, aWorkers, [&](const WorkerView& aWorker) {
      return aWorker.mRack == aRack && !aWorker.mSuspect;
    });
  };
  const base::RackId& data = aUnit.mStep->mDataRack;
  if (!data.Value().empty()) {
    return place(data);
  }
  for (const base::RackId& rack : RacksOf(aWorkers)) {
    if (auto assignment = place(rack)) {
      return assignment;
    }
  }
  return std::nullopt;
}

/** Returns the cheapest stops on aWorker after which aNeed fits. */
std::optional<std::vector<const Victim*>>
CheapestStops(const WorkerView& aWorker,
              const Room& aNeed,
              std::uint32_t aBelow,
              double& aLoss)
{
  Room room = aWorker.mFree + aWorker.mReleasing;
  std::vector<const Victim*> stops;
  aLoss = 0;
  if (Fits(aNeed, room)) {
    return stops;
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
              return std::make_tuple(aRight->mPriority, aLeft->mLoss) <
                     std::make_tuple(aLeft->mPriority, aRight->mLoss);
            });
  for (const Victim* victim : candidates) {
    if (Fits(aNeed, room)) {
      break;
    }
    room = room + victim->mRoom;
    aLoss += victim->mLoss;
    stops.push_back(victim);
  }
  if (!Fits(aNeed, room)) {
    return std::nullopt;
  }
  // A run that turned out to be unnecessary goes on.
  for (auto it = stops.begin(); it != stops.end();) {
    if (Fits(aNeed, room - (*it)->mRoom)) {
      room = room - (*it)->mRoom;
      aLoss -= (*it)->mLoss;
      it = stops.erase(it);
    } else {
      ++it;
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
  const bool patient = aUnit.mWaitedMs < aOptions.mRackPatienceMs;
  if (aUnit.mStep->mGang && aUnit.mStep->mSameRack) {
    auto assignment = PlaceOnOneRack(aUnit, aWorkers);
    if (assignment || patient) {
      return assignment;
    }
  }
  const base::RackId& data = aUnit.mStep->mDataRack;
  if (!data.Value().empty() && patient) {
    return PlaceEach(aUnit, aWorkers, [&](const WorkerView& aWorker) {
      return aWorker.mRack == data;
    });
  }
  return PlaceEach(aUnit, aWorkers, [](const WorkerView&) { return true; });
}

std::optional<PreemptionPlan>
PlanPreemption(const Unit& aUnit,
               std::uint32_t aBelow,
               double aAllowedLoss,
               std::vector<WorkerView>& aWorkers)
{
  const Room need = RoomFor(*aUnit.mStep);
  auto scratch = aWorkers;
  auto stepTasks = aUnit.mStepTasks;
  PreemptionPlan plan;
  double loss = 0;
  std::set<RunId> stops;
  for (std::size_t task = 0; task < aUnit.mTasks.size(); ++task) {
    std::optional<std::size_t> best;
    double bestLoss = 0;
    std::vector<const Victim*> bestStops;
    for (std::size_t i = 0; i < scratch.size(); ++i) {
      double stopLoss = 0;
      if (!IsEligible(aUnit, scratch[i]) || scratch[i].mSuspect ||
          !HasStepRoom(aUnit, stepTasks, i)) {
        continue;
      }
      const auto found = CheapestStops(scratch[i], need, aBelow, stopLoss);
      if (found && (!best || stopLoss < bestLoss)) {
        best = i;
        bestLoss = stopLoss;
        bestStops = *found;
      }
    }
    loss += bestLoss;
    if (!best || loss > aAllowedLoss) {
      return std::nullopt;
    }
    std::set<RunId> now;
    for (const Victim* victim : bestStops) {
      now.insert(victim->mGang.begin(), victim->mGang.end());
    }
    Release(scratch, now);
    stops.insert(now.begin(), now.end());
    scratch[*best].mFree = scratch[*best].mFree - need;
    ++stepTasks[*best];
    plan.mWorkers.push_back(*best);
  }
  plan.mStops.assign(stops.begin(), stops.end());
  aWorkers = std::move(scratch);
  return plan;
}

bool
IsFeasible(const Unit& aUnit, std::vector<WorkerView> aWorkers)
{
  for (WorkerView& worker : aWorkers) {
    worker.mFree = worker.mCapacity;
  }
  return PlaceEach(aUnit, aWorkers, [](const WorkerView&) { return true; })
    .has_value();
}

} // namespace dogwooddrum::coordination::workloads
