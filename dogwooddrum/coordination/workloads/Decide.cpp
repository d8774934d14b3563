#include "dogwooddrum/coordination/workloads/Evacuations.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"
#include "dogwooddrum/coordination/workloads/Reservations.h"
#include "dogwooddrum/coordination/workloads/Units.h"
#include "dogwooddrum/coordination/workloads/WorkerViews.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Placement also depends on time: the wait for locality, suspect workers and
 * due occurrences. */
constexpr base::Duration kDecisionInterval = base::Milliseconds(250);

void
BeginOccurrences(LeaderContext& aLeader)
{
  for (const WorkloadId& id : aLeader.mState->Active()) {
    const auto* workload = aLeader.mState->Find(id);
    if (workload == nullptr || HasEnded(*workload) ||
        workload->mNextOccurrence >= workload->mSpec.mRepeatCount ||
        aLeader.mOccurrenceProposed.count(id) > 0) {
      continue;
    }
    const auto& spec = workload->mSpec;
    const std::int64_t due =
      spec.mFirstMs + spec.mIntervalMs * workload->mNextOccurrence;
    if (UnixMs(aLeader) >= due) {
      aLeader.mOccurrenceProposed.insert(id);
      Propose(aLeader, BeginOccurrence{ id, workload->mNextOccurrence });
    } else {
      aLeader.mNextDecision =
        std::min(aLeader.mNextDecision,
                 aLeader.mNow + base::Milliseconds(due - UnixMs(aLeader)));
    }
  }
}

void
ProposeStarts(LeaderContext& aLeader,
              const PlacementUnit& aUnit,
              const Assignment& aAssignment,
              const std::vector<WorkerView>& aViews)
{
  StartRuns change;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    const TaskId& task = aUnit.mTasks[i];
    const TaskRecord* record = aLeader.mState->Find(task);
    const RunId run{ task, RunNumber(record->mRun.Value() + 1) };
    OpenRun open;
    open.mTarget = aViews[aAssignment[i]].mTargetIncarnation;
    open.mResources = ResourcesOf(*aUnit.mStep);
    open.mPriority = aUnit.mPriority;
    open.mStartedAt = aLeader.mNow;
    open.mCheckpoint = record->mCheckpoint;
    open.mResumedFrom = record->mCheckpoint;
    AddEvent(aLeader,
             WorkloadEvent::Kind::RunStarted,
             { { "task", ToString(task) },
               { "run", std::to_string(run.mRun.Value()) },
               { "target", open.mTarget.mInstance },
               { "waited_ms", std::to_string(aUnit.mWaitedMs) },
               { "gang", std::to_string(aUnit.mTasks.size()) } });
    change.mStarts.push_back({ run, open.mTarget });
    aLeader.mRuns.emplace(run, std::move(open));
  }
  aLeader.mReadySince.erase(aUnit.mTasks.front());
  Propose(aLeader, std::move(change));
}

/** Records where this decision has placed tasks of each step. Units that were
 * collected before do not contain these placements. */
class StepPlacements
{
public:
  void ApplyTo(PlacementUnit& aUnit) const
  {
    const auto it = mPlaced.find(KeyOf(aUnit));
    if (it == mPlaced.end()) {
      return;
    }
    for (const auto& [worker, rack] : it->second) {
      ++aUnit.mStepTasks[worker];
      aUnit.mStepRacks.insert(rack);
    }
  }

  void Record(const PlacementUnit& aUnit,
              const Assignment& aAssignment,
              const std::vector<WorkerView>& aViews)
  {
    auto& places = mPlaced[KeyOf(aUnit)];
    for (const std::size_t worker : aAssignment) {
      places.emplace_back(worker, aViews[worker].mRack);
    }
  }

private:
  using Key = std::pair<const WorkloadStep*, std::uint32_t>;
  static Key KeyOf(const PlacementUnit& aUnit)
  {
    return { aUnit.mStep, aUnit.mTasks.front().mOccurrence };
  }
  std::map<Key, std::vector<std::pair<std::size_t, base::RackId>>> mPlaced;
};

/** Returns the core-seconds of other work that preemption for the unit may
 * lose: without limit within a guarantee, else no more than the unit's own
 * estimated work. */
double
AllowedLoss(const LeaderContext& aLeader, const PlacementUnit& aUnit)
{
  if (aUnit.mGuaranteed || !aLeader.mOptions.mPolicies.mLossLimit) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(aUnit.mTasks.size()) *
         CoreEquivalents(ResourcesOf(*aUnit.mStep)) *
         static_cast<double>(aUnit.mStep->mEstimateMs) / 1000;
}

/** Removes the headroom for urgent work from the views, so that the units
 * placed afterwards cannot use it. Returns what was removed from each view. */
std::vector<ResourceVector>
ReservePoolHeadrooms(LeaderContext& aLeader, std::vector<WorkerView>& aViews)
{
  std::vector<ResourceVector> taken;
  if (!aLeader.mOptions.mPolicies.mUrgentHeadroom) {
    return taken;
  }
  taken.reserve(aViews.size());
  for (const WorkerView& view : aViews) {
    taken.push_back(view.mFree);
  }
  const auto& options = aLeader.mOptions.mHeadroom;
  for (auto& [pool, demand] : aLeader.mUrgentDemand) {
    ReserveHeadroom(
      pool, demand.Headroom(aLeader.mNow, options), aViews, options);
  }
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    taken[i] = taken[i] - aViews[i].mFree;
  }
  return taken;
}

/** Stops less urgent runs so that the unit fits. Returns whether the resources
 * are being freed. */
bool
PreemptFor(LeaderContext& aLeader,
           const PlacementUnit& aUnit,
           std::vector<WorkerView>& aViews)
{
  const auto plan = PlanPreemption(aUnit,
                                   aUnit.mPriority,
                                   AllowedLoss(aLeader, aUnit),
                                   aViews,
                                   aLeader.mOptions.mPlacement);
  if (!plan) {
    return false;
  }
  for (const RunId& run : plan->mStops) {
    StopRun(aLeader, run, "preempted");
  }
  return true;
}

/** Records why the unit was not placed if it is the first of its level. */
void
RecordHeadWait(LeaderContext& aLeader,
               const PlacementUnit& aUnit,
               const std::vector<WorkerView>& aViews,
               const std::vector<ResourceVector>& aHeadroom)
{
  if (aLeader.mQueueHeads.HasHead({ aUnit.mPool, aUnit.mPriority })) {
    return;
  }
  const auto latestStart =
    aUnit.mDueAtMs - static_cast<std::int64_t>(aUnit.mStep->mEstimateMs);
  auto event = aLeader.mQueueHeads.OnHeadWaits(
    aUnit,
    FindHeadWaitCause(aUnit, aViews, aHeadroom),
    base::Milliseconds(latestStart - UnixMs(aLeader)));
  if (event) {
    aLeader.mOutput.mWorkloadEvents.push_back(std::move(*event));
  }
}

/** Returns whether the unit is placed before all others that are not urgent,
 * and may use the headroom. */
bool
IsPrivileged(const PlacementUnit& aUnit)
{
  return aUnit.mPriority == 0 || aUnit.mStep->mLongRunning;
}

/** Returns the resources of all tasks of the unit. */
ResourceVector
TotalResources(const PlacementUnit& aUnit)
{
  ResourceVector sum;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    sum = sum + ResourcesOf(*aUnit.mStep);
  }
  return sum;
}

/** Places the waiting units once. Urgent and long-running units come first, in
 * order. The others are divided into levels: levels within their share of the
 * pool come before the others, the more urgent first, and the first waiting
 * unit of a level below its share has workers held for it. */
class Decision
{
public:
  explicit Decision(LeaderContext& aLeader)
    : mLeader(aLeader)
    , mGuarantees(FindGuarantees(aLeader))
    , mViews(MakeWorkerViews(aLeader, mGuarantees))
    , mUnits(CollectUnits(aLeader, mViews, mGuarantees))
  {
  }

  void Run()
  {
    StopRunsBeyondCapacity();
    const auto shared = PlacePrivileged();
    for (auto it = shared; it != mUnits.end(); ++it) {
      mLevels[{ it->mPool, it->mPriority }].mUnits.push_back(&*it);
    }
    ComputeShares();
    CountHeadroomInShares();
    PlaceReservedUnits();
    mHeadroom = ReservePoolHeadrooms(mLeader, mViews);
    for (LevelUnits* level = NextLevel(); level != nullptr;
         level = NextLevel()) {
      PlaceNextUnit(*level);
    }
  }

private:
  struct LevelUnits
  {
    std::vector<PlacementUnit*> mUnits; ///< in the order of their due times
    std::size_t mNext = 0;
    const WorkloadStep* mFullStep = nullptr; ///< no further task of it fits
  };

  /** Stops runs that their targets have not listed yet on workers that are
   * overbooked, since the target has less capacity than when they were decided
   * on, or runs something else. Their starts may still be on their way. */
  void StopRunsBeyondCapacity()
  {
    std::set<TargetIncarnation> overbooked;
    for (const WorkerView& view : mViews) {
      const ResourceVector& free = view.mFree;
      if (std::min({ free.mMilliCores, free.mMemoryMb, free.mAccelerators }) <
          0) {
        overbooked.insert(view.mTargetIncarnation);
      }
    }
    if (overbooked.empty()) {
      return;
    }
    std::vector<RunId> beyond;
    for (const auto& [run, open] : mLeader.mRuns) {
      const auto worker = mLeader.mWorkers.find(open.mTarget);
      if (overbooked.count(open.mTarget) > 0 && open.mCommitted &&
          !open.mEnding && worker != mLeader.mWorkers.end() &&
          worker->second.mReportedRuns.count(run) == 0) {
        beyond.push_back(run);
      }
    }
    for (const RunId& run : beyond) {
      for (const RunId& member : GangOf(mLeader, run)) {
        StopRun(mLeader, member, "beyond_capacity");
      }
    }
  }

  /** Places units up to the first that is not privileged, and returns it. */
  std::vector<PlacementUnit>::iterator PlacePrivileged()
  {
    const WorkloadStep* fullStep = nullptr;
    auto it = mUnits.begin();
    for (; it != mUnits.end() && IsPrivileged(*it); ++it) {
      if (it->mStep == fullStep || TryPlace(*it)) {
        continue;
      }
      const bool isPreempting =
        it->mPriority == 0 && PreemptFor(mLeader, *it, mViews);
      const bool isStepFull = !isPreempting && it->mCrashes.empty();
      fullStep = isStepFull ? it->mStep : nullptr;
      if (!isPreempting) {
        RecordHeadWait(mLeader, *it, mViews, mHeadroom);
        HoldForIsolation(*it);
      }
    }
    return it;
  }

  /** Holds workers for an urgent unit with tasks that run alone. It stops no
   * runs for them, so that without this it could wait forever. */
  void HoldForIsolation(const PlacementUnit& aUnit)
  {
    const bool runsAlone = std::any_of(
      aUnit.mCrashes.begin(), aUnit.mCrashes.end(), [](std::size_t aCrashes) {
        return aCrashes >= kCrashesBeforeIsolation;
      });
    if (!runsAlone || aUnit.mIgnoresCrashes) {
      return;
    }
    if (const auto reservation =
          PlanReservation(aUnit, mViews, mLeader.mOptions.mPlacement)) {
      HoldReservation(aUnit, *reservation, mViews);
    }
  }

  bool TryPlace(PlacementUnit& aUnit)
  {
    mPlaced.ApplyTo(aUnit);
    const auto& options = mLeader.mOptions.mPlacement;
    auto assignment = PlaceInFreeResources(aUnit, mViews, options);
    if (!assignment && MayIgnoreCrashes(aUnit, mViews, options)) {
      aUnit.mIgnoresCrashes = true;
      assignment = PlaceInFreeResources(aUnit, mViews, options);
    }
    if (!assignment) {
      return false;
    }
    ProposeStarts(mLeader, aUnit, *assignment, mViews);
    mPlaced.Record(aUnit, *assignment, mViews);
    const auto shares = mShares.find(aUnit.mPool);
    if (shares != mShares.end() && !IsPrivileged(aUnit)) {
      shares->second.Add(aUnit.mPriority, TotalResources(aUnit));
    }
    return true;
  }

  void ComputeShares()
  {
    std::map<protocol::PoolName, ResourceVector> capacities;
    for (const WorkerView& view : mViews) {
      if (view.mUsable) {
        auto& capacity = capacities[view.mPool];
        capacity = capacity + view.mCapacity;
      }
    }
    for (const auto& [pool, capacity] : capacities) {
      mShares.emplace(pool, PoolShares(capacity));
    }
    for (const auto& [level, units] : mLevels) {
      const auto shares = mShares.find(level.mPool);
      if (shares != mShares.end()) {
        shares->second.Add(level.mPriority, ResourceVector());
      }
    }
    for (const auto& [run, open] : mLeader.mRuns) {
      const auto worker = mLeader.mWorkers.find(open.mTarget);
      const auto* workload = mLeader.mState->Find(run.mTask.mWorkload);
      if (open.mStopping || open.mEnding || workload == nullptr ||
          worker == mLeader.mWorkers.end() ||
          IsEvacuated(mLeader, worker->second.mTargetInfo.mZone)) {
        continue; // it uses none of the capacity that is shared
      }
      const auto shares = mShares.find(worker->second.mTargetInfo.mPool);
      if (shares == mShares.end()) {
        continue;
      }
      if (open.mPriority == 0 || StepOf(*workload, run.mTask).mLongRunning) {
        shares->second.AddPrivileged(open.mResources);
      } else {
        shares->second.Add(open.mPriority, open.mResources);
      }
    }
  }

  /** Without this, a level that is alone in a full pool would be below its
   * share, and its reservations would use up the headroom. */
  void CountHeadroomInShares()
  {
    const auto headroom = ReservePoolHeadrooms(mLeader, mViews);
    for (std::size_t i = 0; i < headroom.size(); ++i) {
      mViews[i].mFree = mViews[i].mFree + headroom[i];
      const auto shares = mShares.find(mViews[i].mPool);
      if (shares != mShares.end()) {
        shares->second.AddPrivileged(headroom[i]);
      }
    }
  }

  /** Returns whether the next unit of the level keeps it within its share. */
  bool IsWithinShare(const QueueLevel& aLevel, const LevelUnits& aUnits) const
  {
    const auto shares = mShares.find(aLevel.mPool);
    return !mLeader.mOptions.mPolicies.mFairShares ||
           (shares != mShares.end() &&
            shares->second.IsWithinShare(
              aLevel.mPriority, TotalResources(*aUnits.mUnits[aUnits.mNext])));
  }

  bool IsBelowShare(const QueueLevel& aLevel) const
  {
    const auto shares = mShares.find(aLevel.mPool);
    return !mLeader.mOptions.mPolicies.mFairShares ||
           (shares != mShares.end() &&
            shares->second.IsBelowShare(aLevel.mPriority));
  }

  /** Starts the units for which workers are reserved, or holds the workers
   * again. They may use the headroom, which would otherwise be taken from the
   * workers that have drained for them. */
  void PlaceReservedUnits()
  {
    const auto reserved = std::exchange(mLeader.mReservations, {});
    for (const auto& [level, task] : reserved) {
      const auto units = mLevels.find(level);
      if (units == mLevels.end() || !IsBelowShare(level)) {
        continue;
      }
      auto& waiting = units->second.mUnits;
      const auto it =
        std::find_if(waiting.begin(),
                     waiting.end(),
                     [&wanted = task](const PlacementUnit* aUnit) {
                       return aUnit->mTasks.front() == wanted;
                     });
      if (it != waiting.end() && (TryPlace(**it) || ReserveFor(level, **it))) {
        waiting.erase(it);
      }
    }
  }

  /** Frees or holds workers for the unit, which was not placed. Returns whether
   * it has a reservation now. */
  bool ReserveFor(const QueueLevel& aLevel, PlacementUnit& aUnit)
  {
    const auto& placement = mLeader.mOptions.mPlacement;
    const auto reservation = PlanReservation(aUnit, mViews, placement);
    if (!reservation) {
      return false;
    }
    // Stops runs if this loses less than what would idle until they end. While
    // half of the pool is idle, other work must not wait for held workers.
    const bool mayHold = !IsHalfIdle(aLevel.mPool, mViews);
    auto views = mViews;
    const auto plan = PlanPreemption(aUnit,
                                     aUnit.mPriority,
                                     mayHold ? reservation->mIdleLoss
                                             : AllowedLoss(mLeader, aUnit),
                                     views,
                                     placement);
    const bool isStopping = plan && MayStop(aLevel.mPool, plan->mStops);
    if (!isStopping && !mayHold) {
      return false;
    }
    RecordHeadWait(mLeader, aUnit, mViews, mHeadroom);
    mLeader.mReservations.emplace(aLevel, aUnit.mTasks.front());
    if (!isStopping) {
      HoldReservation(aUnit, *reservation, mViews);
      return true;
    }
    mViews = std::move(views);
    for (const RunId& run : plan->mStops) {
      StopRun(mLeader, run, "preempted");
    }
    return true;
  }

  /** Returns whether the levels of the runs keep their shares without them. */
  bool MayStop(const protocol::PoolName& aPool,
               const std::vector<RunId>& aRuns) const
  {
    std::map<std::uint32_t, ResourceVector> stopped;
    for (const RunId& run : aRuns) {
      const OpenRun& open = mLeader.mRuns.at(run);
      auto& sum = stopped[open.mPriority];
      sum = sum + open.mResources;
    }
    return !mLeader.mOptions.mPolicies.mFairShares ||
           std::all_of(stopped.begin(), stopped.end(), [&](const auto& aEach) {
             return mShares.at(aPool).IsAboveShareWithout(aEach.first,
                                                          aEach.second);
           });
  }

  /** Returns the level whose next unit is to be placed, or null. */
  LevelUnits* NextLevel()
  {
    LevelUnits* best = nullptr;
    bool isBestWithinShare = false;
    std::uint32_t bestPriority = 0;
    for (auto& [level, units] : mLevels) {
      if (units.mNext == units.mUnits.size()) {
        continue;
      }
      const bool isWithinShare = IsWithinShare(level, units);
      if (best == nullptr ||
          std::make_pair(!isWithinShare, level.mPriority) <
            std::make_pair(!isBestWithinShare, bestPriority)) {
        best = &units;
        isBestWithinShare = isWithinShare;
        bestPriority = level.mPriority;
      }
    }
    return best;
  }

  void PlaceNextUnit(LevelUnits& aLevel)
  {
    PlacementUnit& unit = *aLevel.mUnits[aLevel.mNext++];
    if (unit.mStep == aLevel.mFullStep || TryPlace(unit)) {
      return;
    }
    if (unit.mCrashes.empty()) {
      aLevel.mFullStep = unit.mStep;
    }
    const QueueLevel level{ unit.mPool, unit.mPriority };
    const bool mayReserve = mLeader.mOptions.mPolicies.mReservations &&
                            mLeader.mReservations.count(level) == 0 &&
                            IsBelowShare(level);
    if (!mayReserve || !ReserveFor(level, unit)) {
      RecordHeadWait(mLeader, unit, mViews, mHeadroom);
    }
  }

  LeaderContext& mLeader;
  const Guarantees mGuarantees;
  std::vector<WorkerView> mViews;
  std::vector<PlacementUnit> mUnits;
  std::map<QueueLevel, LevelUnits> mLevels;
  std::map<protocol::PoolName, PoolShares> mShares;
  std::vector<ResourceVector> mHeadroom; ///< see ReservePoolHeadrooms
  StepPlacements mPlaced;
};

} // namespace

void
RecordUrgentDemand(LeaderContext& aLeader, const WorkloadId& aId)
{
  const auto* workload = aLeader.mState->Find(aId);
  const auto* queue =
    workload == nullptr ? nullptr : QueueOf(aLeader, *workload);
  if (queue == nullptr || queue->mPriority > 0) {
    return;
  }
  ResourceVector need;
  const WorkloadStep& first = workload->mSpec.mSteps.front();
  for (std::uint32_t i = 0; i < first.mCount; ++i) {
    need = need + ResourcesOf(first);
  }
  aLeader.mUrgentDemand[queue->mPool].Add(need, aLeader.mNow);
}

void
Decide(LeaderContext& aLeader)
{
  aLeader.mDecisionDue = false;
  aLeader.mNextDecision = aLeader.mNow + kDecisionInterval;
  BeginOccurrences(aLeader);
  StopRunsOnLeavingTargets(aLeader);
  StopUnstartedRunsInEvacuatedZones(aLeader);
  StopStalledRuns(aLeader);
  aLeader.mQueueHeads.Begin(aLeader.mNow);
  Decision(aLeader).Run();
  for (WorkloadEvent& event : aLeader.mQueueHeads.Finish()) {
    aLeader.mOutput.mWorkloadEvents.push_back(std::move(event));
  }
}

} // namespace dogwooddrum::coordination::workloads
