#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"
#include "dogwooddrum/coordination/workloads/Units.h"
#include "dogwooddrum/coordination/workloads/WorkerViews.h"

#include <algorithm>
#include <limits>

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
  StopStalledRuns(aLeader);
  const auto guarantees = FindGuarantees(aLeader);
  auto views = MakeWorkerViews(aLeader, guarantees);
  auto units = CollectUnits(aLeader, views, guarantees);
  const WorkloadStep* fullStep = nullptr; // no further task of it fits
  bool isHeadroomReserved = false;
  std::vector<ResourceVector> headroom;
  StepPlacements placed;
  aLeader.mQueueHeads.Begin(aLeader.mNow);
  for (PlacementUnit& unit : units) {
    if (unit.mStep == fullStep) {
      continue;
    }
    const bool urgent = unit.mPriority == 0;
    if (!urgent && !unit.mStep->mLongRunning && !isHeadroomReserved) {
      isHeadroomReserved = true;
      headroom = ReservePoolHeadrooms(aLeader, views);
    }
    placed.ApplyTo(unit);
    if (const auto assignment =
          PlaceInFreeResources(unit, views, aLeader.mOptions.mPlacement)) {
      ProposeStarts(aLeader, unit, *assignment, views);
      placed.Record(unit, *assignment, views);
      continue;
    }
    const bool isPreempting = urgent && PreemptFor(aLeader, unit, views);
    fullStep = isPreempting ? nullptr : unit.mStep;
    if (!isPreempting) {
      RecordHeadWait(aLeader, unit, views, headroom);
    }
  }
  for (WorkloadEvent& event : aLeader.mQueueHeads.Finish()) {
    aLeader.mOutput.mWorkloadEvents.push_back(std::move(event));
  }
}

} // namespace dogwooddrum::coordination::workloads
