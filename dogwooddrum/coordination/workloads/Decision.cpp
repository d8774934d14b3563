#include "dogwooddrum/coordination/workloads/Decision.h"

#include "dogwooddrum/coordination/workloads/Stops.h"
#include "dogwooddrum/coordination/workloads/Units.h"
#include "dogwooddrum/coordination/workloads/WorkerViews.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

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

} // namespace

Decision::Decision(LeaderContext& aLeader)
  : mLeader(aLeader)
  , mGuarantees(FindGuarantees(aLeader))
  , mViews(MakeWorkerViews(aLeader, mGuarantees))
  , mUnits(CollectUnits(aLeader, mViews, mGuarantees))
  , mLevels(aLeader)
{
}

void
Decision::Run()
{
  StopRunsBeyondCapacity(mLeader, mViews);
  const auto shared = PlacePrivileged();
  for (auto it = shared; it != mUnits.end(); ++it) {
    mLevels.Add(*it);
  }
  mLevels.ComputeShares(mViews);
  CountHeadroomInShares();
  PlaceReservedUnits();
  mHeadroom = ReservePoolHeadrooms(mLeader, mViews);
  for (LevelUnits* level = mLevels.Next(); level != nullptr;
       level = mLevels.Next()) {
    PlaceNextUnit(*level);
  }
}

/** Places units up to the first that is not privileged, and returns it. Stops
 * less urgent runs for those that find no room. */
std::vector<PlacementUnit>::iterator
Decision::PlacePrivileged()
{
  std::set<const WorkloadStep*> fullSteps;
  auto it = mUnits.begin();
  for (; it != mUnits.end() && IsPrivileged(*it); ++it) {
    if (fullSteps.count(it->mStep) > 0 || TryPlace(*it)) {
      continue;
    }
    OnUnplaced(*it);
    const bool isPreempting = PreemptFor(mLeader, *it, mViews);
    if (!isPreempting && it->mCrashes.empty()) {
      fullSteps.insert(it->mStep);
    }
    if (!isPreempting) {
      RecordHeadWait(*it);
      HoldForIsolation(*it);
    }
  }
  return it;
}

/** Holds workers for an urgent unit with tasks that run alone. It stops no
 * runs for them, so that without this it could wait forever. */
void
Decision::HoldForIsolation(const PlacementUnit& aUnit)
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

bool
Decision::TryPlace(PlacementUnit& aUnit)
{
  mPlaced.ApplyTo(aUnit);
  const auto& options = mLeader.mOptions.mPlacement;
  auto assignment = PlaceInFreeResources(aUnit, mViews, options);
  if (!assignment && MayIgnoreCrashes(aUnit, mViews, options)) {
    aUnit.mIgnoresCrashes = true;
    assignment = PlaceInFreeResources(aUnit, mViews, options);
  }
  if (!assignment && MayIgnoreQuarantine(aUnit, mViews, options)) {
    aUnit.mIgnoresQuarantine = true;
    assignment = PlaceInFreeResources(aUnit, mViews, options);
  }
  if (!assignment) {
    return false;
  }
  ProposeStarts(mLeader, aUnit, *assignment, mViews);
  mPlaced.Record(aUnit, *assignment, mViews);
  mLevels.OnPlaced(aUnit);
  return true;
}

/** Without this, a level that is alone in a full pool would be below its
 * share, and its reservations would use up the headroom. */
void
Decision::CountHeadroomInShares()
{
  const auto headroom = ReservePoolHeadrooms(mLeader, mViews);
  for (std::size_t i = 0; i < headroom.size(); ++i) {
    mViews[i].mFree = mViews[i].mFree + headroom[i];
    mLevels.AddPrivileged(mViews[i].mPool, headroom[i]);
  }
}

/** Starts the units for which workers are reserved, or holds the workers
 * again. They may use the headroom, which would otherwise be taken from the
 * workers that have drained for them. */
void
Decision::PlaceReservedUnits()
{
  const auto reserved = std::exchange(mLeader.mReservations, {});
  for (const auto& [level, task] : reserved) {
    auto* units = mLevels.Find(level);
    if (units == nullptr || !mLevels.IsBelowShare(level)) {
      continue;
    }
    auto& waiting = units->mUnits;
    const auto it = std::find_if(waiting.begin(),
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
bool
Decision::ReserveFor(const QueueLevel& aLevel, PlacementUnit& aUnit)
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
  const bool isStopping = plan && mLevels.MayStop(aLevel.mPool, plan->mStops);
  if (!isStopping && !mayHold) {
    return false;
  }
  RecordHeadWait(aUnit);
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

void
Decision::PlaceNextUnit(LevelUnits& aLevel)
{
  PlacementUnit& unit = *aLevel.mUnits[aLevel.mNext++];
  if (aLevel.mFullSteps.count(unit.mStep) > 0 || TryPlace(unit)) {
    return;
  }
  if (unit.mCrashes.empty()) {
    aLevel.mFullSteps.insert(unit.mStep);
  }
  OnUnplaced(unit);
  const QueueLevel level{ unit.mPool, unit.mPriority };
  const bool mayReserve = mLeader.mOptions.mPolicies.mReservations &&
                          mLeader.mReservations.count(level) == 0 &&
                          mLevels.IsBelowShare(level);
  if (!mayReserve || !ReserveFor(level, unit)) {
    RecordHeadWait(unit);
  }
}

/** Records that the unit lacks room, unless it waits for other reasons. */
void
Decision::OnUnplaced(const PlacementUnit& aUnit)
{
  const QueueLevel level{ aUnit.mPool, aUnit.mPriority };
  if (mLeader.mOptions.mPolicies.mAccountShares &&
      mUnplaced.insert(level).second && !IsHalfIdle(aUnit.mPool, mViews)) {
    mLeader.mAccountShares.OnUnplaced(level, mLeader.mNow);
  }
}

/** Records why the unit was not placed if it is the first of its level. */
void
Decision::RecordHeadWait(const PlacementUnit& aUnit)
{
  if (mLeader.mQueueHeads.HasHead({ aUnit.mPool, aUnit.mPriority })) {
    return;
  }
  const auto latestStart =
    aUnit.mDueAtMs - static_cast<std::int64_t>(aUnit.mStep->mEstimateMs);
  auto event = mLeader.mQueueHeads.OnHeadWaits(
    aUnit,
    FindHeadWaitCause(aUnit, mViews, mHeadroom),
    base::Milliseconds(latestStart - UnixMs(mLeader)));
  if (event) {
    mLeader.mOutput.mWorkloadEvents.push_back(std::move(*event));
  }
}

} // namespace dogwooddrum::coordination::workloads
