#include "dogwooddrum/coordination/workloads/Placement.h"

#include "dogwooddrum/coordination/workloads/SpeedRanges.h"

#include <algorithm>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Lower is better; compared lexicographically. */
using Score = std::tuple<std::size_t,
                         std::size_t,
                         bool,
                         bool,
                         bool,
                         bool,
                         int,
                         std::int64_t,
                         std::int64_t>;

bool
IsBelowStepLimit(const PlacementUnit& aUnit,
                 const std::vector<std::uint32_t>& aStepTasks,
                 std::size_t aWorker)
{
  const std::uint32_t limit = aUnit.mStep->mMaxPerWorker;
  return limit == 0 || aStepTasks[aWorker] < limit;
}

/** Returns the free resources that the unit may use: what is held for another
 * one only for tasks that are expected to end before that starts. */
ResourceVector
FreeFor(const PlacementUnit& aUnit, const WorkerView& aWorker)
{
  const bool mayBackfill =
    !aWorker.mIsHeld || aUnit.mExpectedRunTime <= aWorker.mHeldFor;
  return mayBackfill ? aWorker.mFree : aWorker.mFree - aWorker.mHeld;
}

/** Returns the highest number of crashes of a suspect of another workload. */
std::size_t
WorstOtherSuspect(const PlacementUnit& aUnit, const WorkerView& aWorker)
{
  std::size_t worst = 0;
  for (const CrashSuspect& suspect : aWorker.mCrashSuspects) {
    if (suspect.mWorkload != aUnit.mTasks.front().mWorkload) {
      worst = std::max(worst, suspect.mCrashes);
    }
  }
  return worst;
}

/** Scores a worker by best fit: the fewest remaining accelerators are best, so
 * that whole workers stay free for large tasks. A unit that is not kept apart
 * from suspects of crashes prefers workers with fewer of them, and with fewer
 * runs if it is one itself. */
Score
ScoreOf(const PlacementUnit& aUnit, const WorkerView& aWorker)
{
  const bool isSuspect = aUnit.mIgnoresCrashes && !aUnit.mCrashes.empty();
  const ResourceVector remaining = aWorker.mFree - ResourcesOf(*aUnit.mStep);
  const bool farFromData = !aUnit.mStep->mDataRack.Value().empty() &&
                           aUnit.mStep->mDataRack != aWorker.mRack;
  const bool farFromStep = aUnit.mStep->mSameRack &&
                           !aUnit.mStepRacks.empty() &&
                           aUnit.mStepRacks.count(aWorker.mRack) == 0;
  return { aUnit.mIgnoresCrashes ? WorstOtherSuspect(aUnit, aWorker) : 0,
           isSuspect ? aWorker.mRunCount : 0,
           aWorker.mSuspect,
           aUnit.mAvoid.count(aWorker.mTargetIncarnation) > 0,
           farFromData,
           farFromStep,
           aUnit.mPrefersFast ? SpeedClassOf(aWorker) : -SpeedClassOf(aWorker),
           remaining.mAccelerators,
           remaining.mMilliCores };
}

/** Returns whether quarantine allows the unit on the worker: as a probe, a task
 * that is not urgent and has not failed yet, so that it has attempts left. */
bool
IsAllowedByQuarantine(const PlacementUnit& aUnit, const WorkerView& aWorker)
{
  return !aWorker.mIsQuarantined || aUnit.mIgnoresQuarantine ||
         (aWorker.mIsProbeDue && aWorker.mRunCount == 0 &&
          aUnit.mPriority > 0 && aUnit.mTasks.size() == 1 &&
          aUnit.mAvoid.empty());
}

/** What TakeResources changes in a view. */
struct UsedResources
{
  ResourceVector mFree;
  std::size_t mRunCount = 0;
  std::size_t mCrashSuspects = 0; ///< number
};

UsedResources
UsedResourcesOf(const WorkerView& aWorker)
{
  return { aWorker.mFree, aWorker.mRunCount, aWorker.mCrashSuspects.size() };
}

void
Restore(const UsedResources& aUsed, WorkerView& aWorker)
{
  aWorker.mFree = aUsed.mFree;
  aWorker.mRunCount = aUsed.mRunCount;
  aWorker.mCrashSuspects.resize(aUsed.mCrashSuspects);
}

/** Adds a run of a task of the unit to the worker. */
void
TakeResources(WorkerView& aWorker,
              const PlacementUnit& aUnit,
              std::size_t aTask)
{
  aWorker.mFree = aWorker.mFree - ResourcesOf(*aUnit.mStep);
  ++aWorker.mRunCount;
  if (!aUnit.mCrashes.empty()) {
    aWorker.mCrashSuspects.push_back(
      { aUnit.mTasks[aTask].mWorkload, CrashesOf(aUnit, aTask) });
  }
}

/** Places each task of the unit on the best worker that aIsAllowed accepts. */
template<typename Predicate>
std::optional<Assignment>
PlaceTasks(const PlacementUnit& aUnit,
           std::vector<WorkerView>& aWorkers,
           const Predicate& aIsAllowed)
{
  const ResourceVector need = ResourcesOf(*aUnit.mStep);
  auto stepTasks = aUnit.mStepTasks;
  Assignment assignment;
  std::vector<UsedResources> previous;
  for (std::size_t task = 0; task < aUnit.mTasks.size(); ++task) {
    std::optional<std::size_t> best;
    Score bestScore;
    for (std::size_t i = 0; i < aWorkers.size(); ++i) {
      if (!IsEligible(aUnit, aWorkers[i]) || !aIsAllowed(aWorkers[i]) ||
          !Fits(need, FreeFor(aUnit, aWorkers[i])) ||
          !IsAllowedByQuarantine(aUnit, aWorkers[i]) ||
          !MayShareWorker(aUnit, task, aWorkers[i]) ||
          !IsBelowStepLimit(aUnit, stepTasks, i)) {
        continue;
      }
      const Score score = ScoreOf(aUnit, aWorkers[i]);
      if (!best || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    if (!best) {
      for (; !assignment.empty(); assignment.pop_back(), previous.pop_back()) {
        Restore(previous.back(), aWorkers[assignment.back()]);
      }
      return std::nullopt;
    }
    previous.push_back(UsedResourcesOf(aWorkers[*best]));
    TakeResources(aWorkers[*best], aUnit, task);
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
PrefersSingleRack(const PlacementUnit& aUnit)
{
  return aUnit.mStep->mGang && aUnit.mStep->mSameRack;
}

bool
HasLocalityPreference(const PlacementUnit& aUnit)
{
  return PrefersSingleRack(aUnit) || !aUnit.mStep->mDataRack.Value().empty();
}

/** Places the unit on the first range of speeds on which it fits, or else on
 * any workers that aIsAllowed accepts. */
template<typename Predicate>
std::optional<Assignment>
PlaceBySpeed(const PlacementUnit& aUnit,
             std::vector<WorkerView>& aWorkers,
             const Predicate& aIsAllowed)
{
  for (const SpeedRange& range : SpeedRangesFor(aUnit, aWorkers)) {
    auto assignment =
      PlaceTasks(aUnit, aWorkers, [&](const WorkerView& aWorker) {
        return range.Contains(aWorker) && !aWorker.mSuspect &&
               aUnit.mAvoid.count(aWorker.mTargetIncarnation) == 0 &&
               aIsAllowed(aWorker);
      });
    if (assignment) {
      return assignment;
    }
  }
  return PlaceTasks(aUnit, aWorkers, aIsAllowed);
}

/** Places all tasks on one of the preferred racks, on workers that are not
 * suspect: on the first range of speeds for which there is one. */
std::optional<Assignment>
PlaceOnPreferredRack(const PlacementUnit& aUnit,
                     std::vector<WorkerView>& aWorkers)
{
  const auto racks = PreferredRacks(aUnit, aWorkers);
  const auto placeWithin =
    [&](const auto& aIsAllowed) -> std::optional<Assignment> {
    for (const base::RackId& rack : racks) {
      auto assignment =
        PlaceTasks(aUnit, aWorkers, [&](const WorkerView& aWorker) {
          return aWorker.mRack == rack && !aWorker.mSuspect &&
                 aIsAllowed(aWorker);
        });
      if (assignment) {
        return assignment;
      }
    }
    return std::nullopt;
  };
  for (const SpeedRange& range : SpeedRangesFor(aUnit, aWorkers)) {
    auto assignment = placeWithin([&](const WorkerView& aWorker) {
      return range.Contains(aWorker) &&
             aUnit.mAvoid.count(aWorker.mTargetIncarnation) == 0;
    });
    if (assignment) {
      return assignment;
    }
  }
  return placeWithin([](const WorkerView&) { return true; });
}

/** Returns the views as they are without any run. */
std::vector<WorkerView>
WithoutLoad(std::vector<WorkerView> aWorkers)
{
  for (WorkerView& worker : aWorkers) {
    worker.mFree = worker.mCapacity;
    worker.mRunCount = 0;
    worker.mIsQuarantined = false;
    worker.mCrashSuspects.clear();
  }
  return aWorkers;
}

/** Returns whether the pool counts as idle for the unit, as the platform
 * defines it: the unit fits twice, and less than half of some kind of resource
 * is in use. */
bool
IsPoolIdleFor(const PlacementUnit& aUnit,
              const std::vector<WorkerView>& aWorkers)
{
  constexpr double kHalf = 0.5;
  if (LowestUtilization(aUnit.mPool, aWorkers) >= kHalf) {
    return false;
  }
  auto scratch = aWorkers;
  const auto anywhere = [](const WorkerView&) { return true; };
  return PlaceTasks(aUnit, scratch, anywhere) &&
         PlaceTasks(aUnit, scratch, anywhere);
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

/** Returns a cheap set of runs to stop on aWorker so that aNeed fits: the least
 * urgent first, then the cheapest. Empty if enough is free or being freed;
 * none if aNeed does not fit. */
std::optional<Stops>
CheapestStops(const WorkerView& aWorker,
              const ResourceVector& aNeed,
              std::uint32_t aBelow,
              bool aReclaims)
{
  ResourceVector available = aWorker.mFree + aWorker.mReleasing;
  if (Fits(aNeed, available)) {
    return Stops();
  }
  std::vector<const Victim*> candidates;
  for (const Victim& victim : aWorker.mVictims) {
    if (victim.mPriority > aBelow ||
        (aReclaims && victim.mPriority == aBelow)) {
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
    if (Fits(aNeed, available)) {
      break;
    }
    available = available + victim->mResources;
    chosen.push_back(victim);
  }
  if (!Fits(aNeed, available)) {
    return std::nullopt;
  }
  Stops stops;
  for (const Victim* victim : chosen) {
    // Keeps a run if the others free enough without it.
    if (Fits(aNeed, available - victim->mResources)) {
      available = available - victim->mResources;
    } else {
      stops.Add(*victim);
    }
  }
  return stops;
}

/** Counts the resources of the stopped runs as being released, on every
 * worker. */
void
ReleaseResources(std::vector<WorkerView>& aWorkers,
                 const std::set<RunId>& aStops)
{
  for (WorkerView& worker : aWorkers) {
    auto& victims = worker.mVictims;
    for (auto it = victims.begin(); it != victims.end();) {
      if (aStops.count(it->mRun) > 0) {
        worker.mReleasing = worker.mReleasing + it->mResources;
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
  double mLoss = 0; ///< core-seconds of work that the stops lose
  double mCost = 0;
};

/** Plans stops for the unit on the workers that aIsAllowed accepts. */
template<typename Predicate>
std::optional<CostedPlan>
PlanStops(const PlacementUnit& aUnit,
          std::uint32_t aBelow,
          double aAllowedLoss,
          bool aReclaims,
          const std::vector<WorkerView>& aWorkers,
          const Predicate& aIsAllowed)
{
  const ResourceVector need = ResourcesOf(*aUnit.mStep);
  std::vector<std::size_t> indices;
  std::vector<WorkerView> scratch;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    if (IsEligible(aUnit, aWorkers[i]) && !aWorkers[i].mSuspect &&
        aIsAllowed(aWorkers[i])) {
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
      if (!IsBelowStepLimit(aUnit, stepTasks, indices[i]) ||
          !MayShareWorker(aUnit, task, scratch[i])) {
        continue;
      }
      auto found = CheapestStops(scratch[i], need, aBelow, aReclaims);
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
    std::set<RunId> newStops;
    for (const Victim* victim : bestStops.mVictims) {
      newStops.insert(victim->mGang.begin(), victim->mGang.end());
    }
    ReleaseResources(scratch, newStops);
    stops.insert(newStops.begin(), newStops.end());
    TakeResources(scratch[*best], aUnit, task);
    ++stepTasks[indices[*best]];
    result.mPlan.mWorkers.push_back(indices[*best]);
  }
  result.mPlan.mStops.assign(stops.begin(), stops.end());
  return result;
}

} // namespace

std::size_t
CrashesOf(const PlacementUnit& aUnit, std::size_t aTask)
{
  return aUnit.mCrashes.empty() ? 0 : aUnit.mCrashes[aTask];
}

bool
MayShareWorker(const PlacementUnit& aUnit,
               std::size_t aTask,
               const WorkerView& aWorker)
{
  if (aUnit.mIgnoresCrashes) {
    return true;
  }
  const std::size_t worst = WorstOtherSuspect(aUnit, aWorker);
  if (worst >= kCrashesBeforeIsolation) {
    return false;
  }
  const std::size_t crashes = CrashesOf(aUnit, aTask);
  if (crashes < kCrashesBeforeIsolation) {
    return crashes == 0 || worst == 0;
  }
  const auto own = static_cast<std::size_t>(
    std::count_if(aWorker.mCrashSuspects.begin(),
                  aWorker.mCrashSuspects.end(),
                  [&](const CrashSuspect& aSuspect) {
                    return aSuspect.mWorkload == aUnit.mTasks.front().mWorkload;
                  }));
  return aWorker.mRunCount == own;
}

bool
MayIgnoreCrashes(const PlacementUnit& aUnit,
                 const std::vector<WorkerView>& aWorkers,
                 const PlacementOptions& aOptions)
{
  if (aUnit.mWaitedMs < aOptions.mIdleCrashWaitMs) {
    return false;
  }
  const bool isKeptApart =
    !aUnit.mCrashes.empty() ||
    std::any_of(
      aWorkers.begin(), aWorkers.end(), [&](const WorkerView& aWorker) {
        return WorstOtherSuspect(aUnit, aWorker) >= kCrashesBeforeIsolation;
      });
  if (!isKeptApart) {
    return false;
  }
  PlacementUnit unit = aUnit;
  unit.mIgnoresCrashes = true;
  return aUnit.mWaitedMs >= aOptions.mMaxCrashWaitMs ||
         IsPoolIdleFor(unit, aWorkers);
}

bool
MayIgnoreQuarantine(const PlacementUnit& aUnit,
                    const std::vector<WorkerView>& aWorkers,
                    const PlacementOptions& aOptions)
{
  const bool isAnyQuarantined =
    std::any_of(aWorkers.begin(), aWorkers.end(), [](const auto& aWorker) {
      return aWorker.mIsQuarantined;
    });
  if (!isAnyQuarantined) {
    return false;
  }
  if (aUnit.mGuaranteed &&
      aUnit.mWaitedMs >= aOptions.mGuaranteedQuarantineWaitMs) {
    return true;
  }
  const bool isStepRunning =
    std::any_of(aUnit.mStepTasks.begin(),
                aUnit.mStepTasks.end(),
                [](std::uint32_t aCount) { return aCount > 0; });
  if (aUnit.mWaitedMs < aOptions.mIdleQuarantineWaitMs ||
      (isStepRunning && !aUnit.mStep->mLongRunning)) {
    return false;
  }
  PlacementUnit unit = aUnit;
  unit.mIgnoresQuarantine = true;
  return IsPoolIdleFor(unit, aWorkers);
}

bool
IsEligible(const PlacementUnit& aUnit, const WorkerView& aWorker)
{
  return aWorker.mUsable && aWorker.mPool == aUnit.mPool &&
         (aUnit.mStep->mRequiredLabel.empty() ||
          aWorker.mLabels.count(aUnit.mStep->mRequiredLabel) > 0);
}

std::vector<base::RackId>
PreferredRacks(const PlacementUnit& aUnit,
               const std::vector<WorkerView>& aWorkers)
{
  const base::RackId& data = aUnit.mStep->mDataRack;
  if (!data.Value().empty()) {
    return { data };
  }
  const auto racks = RacksOf(aWorkers);
  return { racks.begin(), racks.end() };
}

bool
WaitsForLocality(const PlacementUnit& aUnit,
                 const std::vector<WorkerView>& aWorkers,
                 const PlacementOptions& aOptions)
{
  if (!aOptions.mLocalityWait || !HasLocalityPreference(aUnit)) {
    return false;
  }
  const std::int64_t extraMs =
    (aOptions.mRemotePenalty - 1) *
    static_cast<std::int64_t>(aUnit.mStep->mEstimateMs);
  const std::int64_t mostMs = aUnit.mGuaranteed
                                ? aOptions.mGuaranteedLocalityWaitMs
                                : aOptions.mMaxLocalityWaitMs;
  if (aUnit.mWaitedMs >= std::min(extraMs, mostMs)) {
    return false;
  }
  if (aUnit.mWaitedMs >= aOptions.mIdleLocalityWaitMs &&
      IsPoolIdleFor(aUnit, aWorkers)) {
    return false;
  }
  auto emptied = WithoutLoad(aWorkers);
  return PlaceOnPreferredRack(aUnit, emptied).has_value();
}

ResourceVector
ResourcesOf(const WorkloadStep& aStep)
{
  ResourceVector resources;
  resources.mMilliCores =
    aStep.mFillsIdleCores
      ? 0
      : static_cast<std::int64_t>(aStep.mTaskResources.mMilliCores);
  resources.mMemoryMb =
    static_cast<std::int64_t>(aStep.mTaskResources.mMemoryMb);
  resources.mAccelerators =
    static_cast<std::int64_t>(aStep.mTaskResources.mAccelerators);
  return resources;
}

ResourceVector
operator+(const ResourceVector& aLeft, const ResourceVector& aRight)
{
  return { aLeft.mMilliCores + aRight.mMilliCores,
           aLeft.mMemoryMb + aRight.mMemoryMb,
           aLeft.mAccelerators + aRight.mAccelerators };
}

ResourceVector
operator-(const ResourceVector& aLeft, const ResourceVector& aRight)
{
  return { aLeft.mMilliCores - aRight.mMilliCores,
           aLeft.mMemoryMb - aRight.mMemoryMb,
           aLeft.mAccelerators - aRight.mAccelerators };
}

double
CoreEquivalents(const ResourceVector& aResources)
{
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(aResources.mMilliCores) / 1000 +
         kCoresPerAccelerator * static_cast<double>(aResources.mAccelerators);
}

bool
Fits(const ResourceVector& aNeed, const ResourceVector& aFree)
{
  const auto fits = [](std::int64_t aAmount, std::int64_t aAvailable) {
    return aAmount == 0 || aAmount <= aAvailable;
  };
  return fits(aNeed.mMilliCores, aFree.mMilliCores) &&
         fits(aNeed.mMemoryMb, aFree.mMemoryMb) &&
         fits(aNeed.mAccelerators, aFree.mAccelerators);
}

std::optional<Assignment>
PlaceInFreeResources(const PlacementUnit& aUnit,
                     std::vector<WorkerView>& aWorkers,
                     const PlacementOptions& aOptions)
{
  if (HasLocalityPreference(aUnit)) {
    auto assignment = PlaceOnPreferredRack(aUnit, aWorkers);
    if (assignment || WaitsForLocality(aUnit, aWorkers, aOptions)) {
      return assignment;
    }
  }
  return PlaceBySpeed(aUnit, aWorkers, [](const WorkerView&) { return true; });
}

std::optional<PreemptionPlan>
PlanPreemption(const PlacementUnit& aUnit,
               std::uint32_t aBelow,
               double aAllowedLoss,
               std::vector<WorkerView>& aWorkers,
               const PlacementOptions& aOptions)
{
  const bool reclaims =
    aUnit.mMayReclaim && aUnit.mWaitedMs >= aOptions.mReclaimWaitMs;
  std::optional<CostedPlan> best;
  if (WaitsForLocality(aUnit, aWorkers, aOptions)) {
    for (const base::RackId& rack : PreferredRacks(aUnit, aWorkers)) {
      auto plan = PlanStops(
        aUnit,
        aBelow,
        aAllowedLoss,
        reclaims,
        aWorkers,
        [&](const WorkerView& aWorker) { return aWorker.mRack == rack; });
      if (plan && (!best || plan->mCost < best->mCost)) {
        best = std::move(plan);
      }
    }
  } else {
    best = PlanStops(
      aUnit, aBelow, aAllowedLoss, reclaims, aWorkers, [](const WorkerView&) {
        return true;
      });
  }
  if (!best) {
    return std::nullopt;
  }
  const auto& stops = best->mPlan.mStops;
  ReleaseResources(aWorkers, { stops.begin(), stops.end() });
  for (std::size_t task = 0; task < best->mPlan.mWorkers.size(); ++task) {
    TakeResources(aWorkers[best->mPlan.mWorkers[task]], aUnit, task);
  }
  return std::move(best->mPlan);
}

double
LowestUtilization(const protocol::PoolName& aPool,
                  const std::vector<WorkerView>& aWorkers)
{
  ResourceVector capacity;
  ResourceVector free;
  for (const WorkerView& worker : aWorkers) {
    if (worker.mUsable && worker.mPool == aPool) {
      capacity = capacity + worker.mCapacity;
      free = free + worker.mFree;
    }
  }
  double least = 1;
  for (const auto kind : { &ResourceVector::mMilliCores,
                           &ResourceVector::mMemoryMb,
                           &ResourceVector::mAccelerators }) {
    if (capacity.*kind > 0) {
      least = std::min(least,
                       1 - static_cast<double>(free.*kind) /
                             static_cast<double>(capacity.*kind));
    }
  }
  return least;
}

bool
IsHalfIdle(const protocol::PoolName& aPool,
           const std::vector<WorkerView>& aWorkers)
{
  ResourceVector capacity;
  ResourceVector free;
  for (const WorkerView& worker : aWorkers) {
    if (worker.mUsable && !worker.mSuspect && worker.mPool == aPool) {
      capacity = capacity + worker.mCapacity;
      free = free + worker.mFree;
    }
  }
  return CoreEquivalents(free) > CoreEquivalents(capacity) / 2;
}

bool
FitsOnAnyRack(const PlacementUnit& aUnit, std::vector<WorkerView> aWorkers)
{
  return PlaceTasks(aUnit, aWorkers, [](const WorkerView&) { return true; })
    .has_value();
}

bool
FitsInTotal(const PlacementUnit& aUnit, const std::vector<WorkerView>& aWorkers)
{
  ResourceVector free;
  for (const WorkerView& worker : aWorkers) {
    if (IsEligible(aUnit, worker)) {
      free = free + worker.mFree;
    }
  }
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    free = free - ResourcesOf(*aUnit.mStep);
  }
  return Fits(ResourcesOf(*aUnit.mStep), free + ResourcesOf(*aUnit.mStep));
}

bool
IsFeasible(const PlacementUnit& aUnit, std::vector<WorkerView> aWorkers)
{
  auto emptied = WithoutLoad(std::move(aWorkers));
  return PlaceTasks(aUnit, emptied, [](const WorkerView&) { return true; })
    .has_value();
}

} // namespace dogwooddrum::coordination::workloads
