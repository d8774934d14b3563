#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Placement also depends on time: the wait for locality, suspect workers and
 * due occurrences. */
constexpr base::Duration kDecisionInterval = base::Milliseconds(250);
/** A worker gets no new work if its newest list is older: several lists are
 * missing, and a gang with a member there would be delayed. */
constexpr base::Duration kMaxListAgeForStarts = base::Milliseconds(1500);
/** Factor between the costs of a lost core-second of one priority and of the
 * next less urgent one; users value work of priority 1 three times as high as
 * work of priority 2. */
constexpr double kPriorityWeight = 3;

const protocol::Queue*
QueueOf(const LeaderContext& aLeader, const WorkloadRecord& aWorkload)
{
  return FindQueue(aLeader.mState->CurrentCatalog(), aWorkload.mQueueName);
}

std::uint32_t
PriorityOf(const LeaderContext& aLeader, const WorkloadRecord& aWorkload)
{
  const auto* queue = QueueOf(aLeader, aWorkload);
  return queue == nullptr ? 0 : queue->mPriority;
}

/** Returns the sum of estimates along the longest chain of dependent steps, in
 * ms. */
std::int64_t
CriticalPathMs(const protocol::WorkloadSpec& aSpec)
{
  std::vector<std::int64_t> ends;
  std::int64_t longest = 0;
  for (const WorkloadStep& step : aSpec.mSteps) {
    std::int64_t begin = 0;
    for (const std::uint32_t earlier : step.mDependsOn) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + static_cast<std::int64_t>(step.mEstimateMs));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

/** Returns the accelerators that the largest step of a workload uses. */
std::uint64_t
PeakAccelerators(const protocol::WorkloadSpec& aSpec)
{
  std::uint64_t need = 0;
  for (const WorkloadStep& step : aSpec.mSteps) {
    need = std::max(need, step.mCount * step.mTaskResources.mAccelerators);
  }
  return need;
}

/** Returns the priority-0 workloads that fit into their accounts'
 * guarantees, the oldest first. */
std::set<WorkloadId>
FindGuaranteed(const LeaderContext& aLeader)
{
  std::vector<std::pair<std::int64_t, WorkloadId>> urgent;
  for (const WorkloadId& id : aLeader.mState->Active()) {
    const auto* workload = aLeader.mState->Find(id);
    if (workload != nullptr && !HasEnded(*workload) &&
        PriorityOf(aLeader, *workload) == 0) {
      urgent.emplace_back(workload->mAcceptedMs, id);
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<base::AccountId, std::uint64_t> used;
  std::set<WorkloadId> guaranteed;
  for (const auto& [accepted, id] : urgent) {
    const auto* workload = aLeader.mState->Find(id);
    const auto* account =
      FindCatalogAccount(aLeader.mState->CurrentCatalog(), workload->mAccount);
    const std::uint64_t need = PeakAccelerators(workload->mSpec);
    auto& sum = used[workload->mAccount];
    if (account != nullptr && sum + need <= account->mGuaranteedAccelerators) {
      sum += need;
      guaranteed.insert(id);
    }
  }
  return guaranteed;
}

/** Returns the core-seconds of work that a stop of the run loses. */
double
PreemptionLoss(const LeaderContext& aLeader,
               const RunId& aId,
               const OpenRun& aRun)
{
  const auto since = std::max(aRun.mStartedAt, aRun.mCheckpointedAt);
  const auto restore = aLeader.mOptions.mRestoreTime;
  const auto lost =
    IsCheckpointing(aLeader, aId) ? restore : aLeader.mNow - since + restore;
  return static_cast<double>(base::ToMilliseconds(lost)) / 1000 *
         CoreEquivalents(aRun.mResources);
}

/** Returns the highest (least urgent) priority number of all queues and open
 * runs. */
std::uint32_t
LeastUrgentPriority(const LeaderContext& aLeader)
{
  std::uint32_t least = 0;
  for (const auto& queue : aLeader.mState->CurrentCatalog().mQueues) {
    least = std::max(least, queue.mPriority);
  }
  for (const auto& [run, open] : aLeader.mRuns) {
    least = std::max(least, open.mPriority);
  }
  return least;
}

/** Returns whether a run that a target lists is not open there in the
 * replicated state: it was started by an order that the target executed late.
 * The run uses resources, and its task must not start elsewhere, until the
 * target lists its end. */
bool
IsUnexpectedRun(const LeaderContext& aLeader,
                const TargetIncarnation& aTargetIncarnation,
                const RunId& aRun)
{
  const auto it = aLeader.mRuns.find(aRun);
  return it == aLeader.mRuns.end() || it->second.mTarget != aTargetIncarnation;
}

/** Returns whether a run will end before the resources of another run could be
 * freed by stopping that. */
bool
EndsSoon(const LeaderContext& aLeader, const RunId& aRun, const OpenRun& aOpen)
{
  // Uses listed progress only: an estimate may be wrong by any factor.
  return aOpen.mProgress.mPercentPerSecond > 0 &&
         ExpectedTimeLeft(aLeader, aRun, aOpen) <=
           aLeader.mOptions.mStopTime + kOrderRoundTrip;
}

bool
IsSuspect(const LeaderContext& aLeader, const Worker& aWorker)
{
  const auto& options = aLeader.mOptions;
  const auto isRecent = [&](base::Time aTime) {
    return aTime != base::Time() && aLeader.mNow - aTime < options.mSuspectTime;
  };
  return (aWorker.mConsecutiveFailures >= options.mSuspectAfter &&
          isRecent(aWorker.mLastFailure)) ||
         isRecent(aWorker.mStalledAt);
}

std::vector<WorkerView>
MakeWorkerViews(const LeaderContext& aLeader)
{
  const std::uint32_t leastUrgent = LeastUrgentPriority(aLeader);
  std::vector<WorkerView> views;
  std::map<TargetIncarnation, std::size_t> index;
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    WorkerView view;
    view.mTargetIncarnation = incarnation;
    view.mPool = worker.mTargetInfo.mPool;
    view.mRack = worker.mTargetInfo.mRack;
    view.mLabels.insert(worker.mTargetInfo.mLabels.begin(),
                        worker.mTargetInfo.mLabels.end());
    const auto& capacity = worker.mTargetInfo.mCapacity;
    view.mCapacity = { static_cast<std::int64_t>(capacity.mMilliCores),
                       static_cast<std::int64_t>(capacity.mMemoryMb),
                       static_cast<std::int64_t>(capacity.mAccelerators) };
    view.mFree = view.mCapacity;
    view.mUsable = worker.mHasLease && !worker.mTargetInfo.mLeaving &&
                   worker.mSession != Session() &&
                   aLeader.mNow - worker.mListedAt < kMaxListAgeForStarts;
    view.mSuspect = IsSuspect(aLeader, worker);
    index.emplace(incarnation, views.size());
    views.push_back(std::move(view));
  }
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    WorkerView& view = views[index.at(incarnation)];
    for (const auto& [run, running] : worker.mReportedRuns) {
      const auto* workload = aLeader.mState->Find(run.mTask.mWorkload);
      // A target may list a step that its workload does not have.
      const bool isKnown =
        workload != nullptr && run.mTask.mStep < workload->mSpec.mSteps.size();
      if (isKnown && IsUnexpectedRun(aLeader, incarnation, run)) {
        const ResourceVector resources =
          ResourcesOf(StepOf(*workload, run.mTask));
        view.mFree = view.mFree - resources;
        view.mReleasing = view.mReleasing + resources;
      }
    }
  }
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto it = index.find(open.mTarget);
    if (it == index.end()) {
      continue;
    }
    WorkerView& view = views[it->second];
    view.mFree = view.mFree - open.mResources;
    if (open.mStopping || open.mEnding || EndsSoon(aLeader, run, open)) {
      view.mReleasing = view.mReleasing + open.mResources;
    } else if (open.mCommitted && open.mPriority > 0) {
      Victim victim;
      victim.mRun = run;
      victim.mGang = GangOf(aLeader, run);
      victim.mPriority = open.mPriority;
      victim.mResources = open.mResources;
      // Stopping a member ends the whole gang.
      for (const RunId& member : victim.mGang) {
        const auto other = aLeader.mRuns.find(member);
        victim.mLoss += other == aLeader.mRuns.end()
                          ? 0
                          : PreemptionLoss(aLeader, member, other->second);
      }
      victim.mCost =
        victim.mLoss * std::pow(kPriorityWeight, leastUrgent - open.mPriority);
      view.mVictims.push_back(std::move(victim));
    }
  }
  return views;
}

/** Collects the placement units that may start now, workload by workload. */
class UnitCollector
{
public:
  UnitCollector(LeaderContext& aLeader,
                const std::vector<WorkerView>& aViews,
                const std::set<WorkloadId>& aGuaranteed,
                std::vector<PlacementUnit>& aUnits)
    : mLeader(aLeader)
    , mViews(aViews)
    , mGuaranteed(aGuaranteed)
    , mUnits(aUnits)
  {
    for (const auto& [run, open] : aLeader.mRuns) {
      mOpen.insert(run.mTask);
    }
    for (const auto& [incarnation, worker] : aLeader.mWorkers) {
      for (const auto& [run, running] : worker.mReportedRuns) {
        mOpen.insert(run.mTask);
      }
    }
  }

  void Collect(const WorkloadId& aId)
  {
    const auto* workload = mLeader.mState->Find(aId);
    if (workload == nullptr || HasEnded(*workload)) {
      return;
    }
    const auto* queue = QueueOf(mLeader, *workload);
    if (queue == nullptr) {
      return; // its queue was removed, so that it has no pool
    }
    for (const OccurrenceRecord& occurrence : workload->mOccurrences) {
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        if (DependenciesDone(*workload, occurrence, s)) {
          CollectStep(aId, *workload, *queue, occurrence, s);
        }
      }
    }
  }

private:
  void CollectStep(const WorkloadId& aId,
                   const WorkloadRecord& aWorkload,
                   const protocol::Queue& aQueue,
                   const OccurrenceRecord& aOccurrence,
                   std::uint32_t aStep)
  {
    const WorkloadStep& spec = aWorkload.mSpec.mSteps[aStep];
    const auto& tasks = aOccurrence.mSteps[aStep].mTasks;
    PlacementUnit base;
    base.mStep = &spec;
    base.mPool = aQueue.mPool;
    base.mPriority = aQueue.mPriority;
    base.mGuaranteed = mGuaranteed.count(aId) > 0;
    base.mDueAtMs = DueAtMs(aWorkload, aQueue, aOccurrence);
    std::vector<TaskId> waiting;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
      const TaskId task{ aId, aOccurrence.mNumber, aStep, i };
      if (tasks[i].mPhase == TaskPhase::Waiting && mOpen.count(task) == 0) {
        waiting.push_back(task);
      }
    }
    if (waiting.empty() || (spec.mGang && waiting.size() < tasks.size())) {
      return;
    }
    CountStepTasks(aId, aOccurrence.mNumber, aStep, base);
    if (spec.mGang) {
      base.mTasks = std::move(waiting);
      Add(std::move(base));
      return;
    }
    for (const TaskId& task : waiting) {
      PlacementUnit unit = base;
      unit.mTasks = { task };
      Add(std::move(unit));
    }
  }

  /** Counts the step's open runs by worker and collects their racks. */
  void CountStepTasks(const WorkloadId& aId,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStep,
                      PlacementUnit& aUnit) const
  {
    aUnit.mStepTasks.assign(mViews.size(), 0);
    const TaskId first{ aId, aOccurrence, aStep, 0 };
    for (auto it = mLeader.mRuns.lower_bound(RunId{ first, RunNumber(0) });
         it != mLeader.mRuns.end() && it->first.mTask.mWorkload == aId &&
         it->first.mTask.mOccurrence == aOccurrence &&
         it->first.mTask.mStep == aStep;
         ++it) {
      for (std::size_t i = 0; i < mViews.size(); ++i) {
        if (mViews[i].mTargetIncarnation == it->second.mTarget) {
          ++aUnit.mStepTasks[i];
          aUnit.mStepRacks.insert(mViews[i].mRack);
        }
      }
    }
  }

  void Add(PlacementUnit aUnit)
  {
    const auto [it, isNew] =
      mLeader.mReadySince.try_emplace(aUnit.mTasks.front(), mLeader.mNow);
    aUnit.mWaitedMs = base::ToMilliseconds(mLeader.mNow - it->second);
    for (const TaskId& task : aUnit.mTasks) {
      const auto failed = mLeader.mFailedOn.find(task);
      if (failed != mLeader.mFailedOn.end()) {
        aUnit.mAvoid.insert(failed->second.begin(), failed->second.end());
      }
    }
    mUnits.push_back(std::move(aUnit));
  }

  /** Returns the Unix time by which the workload should be complete. */
  static std::int64_t DueAtMs(const WorkloadRecord& aWorkload,
                              const protocol::Queue& aQueue,
                              const OccurrenceRecord& aOccurrence)
  {
    const auto& spec = aWorkload.mSpec;
    const std::int64_t begin =
      spec.mRepeatCount == 0
        ? aWorkload.mAcceptedMs
        : spec.mFirstMs + spec.mIntervalMs * aOccurrence.mNumber;
    return begin + static_cast<std::int64_t>(aQueue.mTargetRunTimeMs) +
           CriticalPathMs(spec) * aQueue.mSlackPermille / 1000;
  }

  LeaderContext& mLeader;
  const std::vector<WorkerView>& mViews;
  const std::set<WorkloadId>& mGuaranteed;
  std::vector<PlacementUnit>& mUnits;
  std::set<TaskId> mOpen;
};

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
    open.mGuaranteed = aUnit.mGuaranteed;
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
AllowedLoss(const PlacementUnit& aUnit)
{
  if (aUnit.mGuaranteed) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(aUnit.mTasks.size()) *
         CoreEquivalents(ResourcesOf(*aUnit.mStep)) *
         static_cast<double>(aUnit.mStep->mEstimateMs) / 1000;
}

/** Returns the first sort key of a unit; the smallest is placed first.
 * Long-running tasks come before other work that is not urgent, so that they
 * may use the headroom: the platform requires them to run again soon, however
 * full the pool is. */
int
RankOf(const PlacementUnit& aUnit)
{
  if (aUnit.mGuaranteed) {
    return 0;
  }
  if (aUnit.mPriority == 0) {
    return 1;
  }
  return aUnit.mStep->mLongRunning ? 2 : 3;
}

/** Removes the headroom for urgent work from the views, so that the units
 * placed afterwards cannot use it. */
void
ReservePoolHeadrooms(LeaderContext& aLeader, std::vector<WorkerView>& aViews)
{
  const auto& options = aLeader.mOptions.mHeadroom;
  for (auto& [pool, demand] : aLeader.mUrgentDemand) {
    ReserveHeadroom(
      pool, demand.Headroom(aLeader.mNow, options), aViews, options);
  }
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
                                   AllowedLoss(aUnit),
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

/** Returns the units that may start now, in the order of placement. */
std::vector<PlacementUnit>
CollectUnits(LeaderContext& aLeader, const std::vector<WorkerView>& aViews)
{
  const auto guaranteed = FindGuaranteed(aLeader);
  std::vector<PlacementUnit> units;
  UnitCollector collector(aLeader, aViews, guaranteed, units);
  for (const WorkloadId& id : aLeader.mState->Active()) {
    collector.Collect(id);
  }
  const auto sortKey = [](const PlacementUnit& aUnit) {
    return std::make_tuple(RankOf(aUnit), aUnit.mPriority, aUnit.mDueAtMs);
  };
  std::stable_sort(
    units.begin(),
    units.end(),
    [&sortKey](const PlacementUnit& aLeft, const PlacementUnit& aRight) {
      return sortKey(aLeft) < sortKey(aRight);
    });
  return units;
}

} // namespace

std::vector<RunId>
GangOf(const LeaderContext& aLeader, const RunId& aRun)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || !StepOf(*workload, aRun.mTask).mGang) {
    return { aRun };
  }
  std::vector<RunId> gang;
  TaskId first = aRun.mTask;
  first.mIndex = 0;
  for (auto it = aLeader.mRuns.lower_bound(RunId{ first, RunNumber(0) });
       it != aLeader.mRuns.end() &&
       it->first.mTask.mWorkload == aRun.mTask.mWorkload &&
       it->first.mTask.mOccurrence == aRun.mTask.mOccurrence &&
       it->first.mTask.mStep == aRun.mTask.mStep;
       ++it) {
    gang.push_back(it->first);
  }
  return gang;
}

bool
IsCheckpointing(const LeaderContext& aLeader, const RunId& aRun)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  return workload != nullptr && StepOf(*workload, aRun.mTask).mCheckpointing;
}

base::Duration
ExpectedTimeLeft(const LeaderContext& aLeader,
                 const RunId& aRun,
                 const OpenRun& aOpen)
{
  const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || StepOf(*workload, aRun.mTask).mLongRunning) {
    return base::Duration::max();
  }
  if (const auto left = ProjectedTimeLeft(aOpen.mProgress, aLeader.mNow)) {
    return *left;
  }
  const auto whole = aLeader.mRunTimeEstimator.ExpectedRunTime(
    aRun.mTask,
    workload->mQueueName,
    StepOf(*workload, aRun.mTask).mEstimateMs);
  return std::max(whole - (aLeader.mNow - aOpen.mStartedAt),
                  base::Duration::zero());
}

void
AddOpenRun(LeaderContext& aLeader, const RunId& aRun, const TaskRecord& aTask)
{
  const auto [it, isNew] = aLeader.mRuns.try_emplace(aRun);
  OpenRun& open = it->second;
  open.mCommitted = true;
  if (isNew) {
    const auto* workload = aLeader.mState->Find(aRun.mTask.mWorkload);
    open.mTarget = aTask.mTarget;
    open.mResources = ResourcesOf(StepOf(*workload, aRun.mTask));
    open.mPriority = PriorityOf(aLeader, *workload);
    open.mStartedAt = aLeader.mNow;
    open.mCheckpoint = aTask.mCheckpoint;
    open.mResumedFrom = aTask.mCheckpoint;
  }
  const auto worker = aLeader.mWorkers.find(open.mTarget);
  if (worker != aLeader.mWorkers.end()) {
    worker->second.mOrdersChanged = true;
  }
}

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
  auto views = MakeWorkerViews(aLeader);
  auto units = CollectUnits(aLeader, views);
  const WorkloadStep* fullStep = nullptr; // no further task of it fits
  bool isHeadroomReserved = false;
  StepPlacements placed;
  for (PlacementUnit& unit : units) {
    if (unit.mStep == fullStep) {
      continue;
    }
    const bool urgent = unit.mPriority == 0;
    if (!urgent && !unit.mStep->mLongRunning && !isHeadroomReserved) {
      isHeadroomReserved = true;
      ReservePoolHeadrooms(aLeader, views);
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
  }
}

} // namespace dogwooddrum::coordination::workloads
