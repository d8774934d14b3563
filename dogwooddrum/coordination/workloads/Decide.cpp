#include "dogwooddrum/coordination/workloads/Leading.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Placement also depends on time: patience, suspicion, occurrences. */
constexpr base::Duration kDecisionInterval = base::Milliseconds(250);
/** A worker whose target was not listed for longer gets no new work: several
 * lists are missing, and a gang would wait for its member there. */
constexpr base::Duration kLargestListAge = base::Milliseconds(1500);
/** How much more a lost core-second of the next more urgent priority counts;
 * the users value work of priority 1 three times as high as of priority 2. */
constexpr double kPriorityWeight = 3;

const protocol::Queue*
QueueOf(const Leading& aLeading, const WorkloadRecord& aWorkload)
{
  return FindQueue(aLeading.mState->CurrentCatalog(), aWorkload.mQueueName);
}

std::uint32_t
PriorityOf(const Leading& aLeading, const WorkloadRecord& aWorkload)
{
  const auto* queue = QueueOf(aLeading, aWorkload);
  return queue == nullptr ? 0 : queue->mPriority;
}

/** Returns the longest chain of estimates through the steps, in ms. */
std::int64_t
ChainMs(const protocol::WorkloadSpec& aSpec)
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

/** Most accelerators that a workload holds at a time. */
std::uint64_t
AcceleratorNeed(const protocol::WorkloadSpec& aSpec)
{
  std::uint64_t need = 0;
  for (const WorkloadStep& step : aSpec.mSteps) {
    need = std::max(need, step.mCount * step.mEach.mAccelerators);
  }
  return need;
}

/** Returns the priority-0 workloads that fit into their accounts'
 * guarantees, the oldest first. */
std::set<WorkloadId>
FindGuaranteed(const Leading& aLeading)
{
  std::vector<std::pair<std::int64_t, WorkloadId>> urgent;
  for (const WorkloadId& id : aLeading.mState->Active()) {
    const auto* workload = aLeading.mState->Find(id);
    if (workload != nullptr && !HasEnded(*workload) &&
        PriorityOf(aLeading, *workload) == 0) {
      urgent.emplace_back(workload->mAcceptedMs, id);
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<base::AccountId, std::uint64_t> used;
  std::set<WorkloadId> guaranteed;
  for (const auto& [accepted, id] : urgent) {
    const auto* workload = aLeading.mState->Find(id);
    const auto* account =
      FindCatalogAccount(aLeading.mState->CurrentCatalog(), workload->mAccount);
    const std::uint64_t need = AcceleratorNeed(workload->mSpec);
    auto& sum = used[workload->mAccount];
    if (account != nullptr && sum + need <= account->mGuaranteedAccelerators) {
      sum += need;
      guaranteed.insert(id);
    }
  }
  return guaranteed;
}

/** Returns the core-seconds that a stop of the run throws away. */
double
LossOf(const Leading& aLeading, const RunId& aId, const OpenRun& aRun)
{
  const auto since = std::max(aRun.mStartedAt, aRun.mSavedAt);
  const auto restore = aLeading.mOptions.mRestoreTime;
  const auto lost =
    IsSaving(aLeading, aId) ? restore : aLeading.mNow - since + restore;
  return static_cast<double>(base::ToMilliseconds(lost)) / 1000 *
         CoresOf(aRun.mRoom);
}

/** Returns the highest priority number of a queue or an open run. */
std::uint32_t
LeastUrgentPriority(const Leading& aLeading)
{
  std::uint32_t least = 0;
  for (const auto& queue : aLeading.mState->CurrentCatalog().mQueues) {
    least = std::max(least, queue.mPriority);
  }
  for (const auto& [run, open] : aLeading.mRuns) {
    least = std::max(least, open.mPriority);
  }
  return least;
}

/** Returns whether a target lists a run that is not open there in the
 * replicated state: an order that was carried out late started it. It holds
 * room, and its task must not start elsewhere, until the target lists its
 * end. */
bool
IsStray(const Leading& aLeading, const TargetLife& aLife, const RunId& aRun)
{
  const auto it = aLeading.mRuns.find(aRun);
  return it == aLeading.mRuns.end() || it->second.mTarget != aLife;
}

/** Returns whether a run will have ended by the time at which the room of
 * another one could be had by stopping it. */
bool
EndsSoon(const Leading& aLeading, const RunId& aRun, const OpenRun& aOpen)
{
  // Only listed progress is trusted: an estimate may be off by any factor.
  return aOpen.mProgress.mPercentPerSecond > 0 &&
         TimeLeftOf(aLeading, aRun, aOpen) <=
           aLeading.mOptions.mStopTime + kOrderTime;
}

bool
IsSuspect(const Leading& aLeading, const Worker& aWorker)
{
  const auto& options = aLeading.mOptions;
  const auto isRecent = [&](base::Time aTime) {
    return aTime != base::Time() &&
           aLeading.mNow - aTime < options.mSuspectTime;
  };
  return (aWorker.mFailuresInARow >= options.mSuspectAfter &&
          isRecent(aWorker.mLastFailure)) ||
         isRecent(aWorker.mStalledAt);
}

std::vector<WorkerView>
MakeViews(const Leading& aLeading)
{
  const std::uint32_t leastUrgent = LeastUrgentPriority(aLeading);
  std::vector<WorkerView> views;
  std::map<TargetLife, std::size_t> index;
  for (const auto& [life, worker] : aLeading.mWorkers) {
    WorkerView view;
    view.mLife = life;
    view.mPool = worker.mFacts.mPool;
    view.mRack = worker.mFacts.mRack;
    view.mLabels.insert(worker.mFacts.mLabels.begin(),
                        worker.mFacts.mLabels.end());
    const auto& capacity = worker.mFacts.mCapacity;
    view.mCapacity = { static_cast<std::int64_t>(capacity.mMilliCores),
                       static_cast<std::int64_t>(capacity.mMemoryMb),
                       static_cast<std::int64_t>(capacity.mAccelerators) };
    view.mFree = view.mCapacity;
    view.mUsable = worker.mUp && !worker.mFacts.mLeaving &&
                   worker.mSession != Session() &&
                   aLeading.mNow - worker.mListedAt < kLargestListAge;
    view.mSuspect = IsSuspect(aLeading, worker);
    index.emplace(life, views.size());
    views.push_back(std::move(view));
  }
  for (const auto& [life, worker] : aLeading.mWorkers) {
    WorkerView& view = views[index.at(life)];
    for (const auto& [run, running] : worker.mReported) {
      const auto* workload = aLeading.mState->Find(run.mTask.mWorkload);
      // A target may list a task that its workload does not have.
      const bool known =
        workload != nullptr && run.mTask.mStep < workload->mSpec.mSteps.size();
      if (known && IsStray(aLeading, life, run)) {
        const Room room = RoomFor(StepOf(*workload, run.mTask));
        view.mFree = view.mFree - room;
        view.mReleasing = view.mReleasing + room;
      }
    }
  }
  for (const auto& [run, open] : aLeading.mRuns) {
    const auto it = index.find(open.mTarget);
    if (it == index.end()) {
      continue;
    }
    WorkerView& view = views[it->second];
    view.mFree = view.mFree - open.mRoom;
    if (open.mStopping || open.mEnding || EndsSoon(aLeading, run, open)) {
      view.mReleasing = view.mReleasing + open.mRoom;
    } else if (open.mCommitted && open.mPriority > 0) {
      Victim victim;
      victim.mRun = run;
      victim.mGang = GangOf(aLeading, run);
      victim.mPriority = open.mPriority;
      victim.mRoom = open.mRoom;
      // Stopping a member ends the whole gang.
      for (const RunId& member : victim.mGang) {
        const auto other = aLeading.mRuns.find(member);
        victim.mLoss += other == aLeading.mRuns.end()
                          ? 0
                          : LossOf(aLeading, member, other->second);
      }
      victim.mCost =
        victim.mLoss * std::pow(kPriorityWeight, leastUrgent - open.mPriority);
      view.mVictims.push_back(std::move(victim));
    }
  }
  return views;
}

/** Gathers the units of one workload that may start now. */
class UnitCollector
{
public:
  UnitCollector(Leading& aLeading,
                const std::vector<WorkerView>& aViews,
                const std::set<WorkloadId>& aGuaranteed,
                std::vector<Unit>& aUnits)
    : mLeading(aLeading)
    , mViews(aViews)
    , mGuaranteed(aGuaranteed)
    , mUnits(aUnits)
  {
    for (const auto& [run, open] : aLeading.mRuns) {
      mOpen.insert(run.mTask);
    }
    for (const auto& [life, worker] : aLeading.mWorkers) {
      for (const auto& [run, running] : worker.mReported) {
        mOpen.insert(run.mTask);
      }
    }
  }

  void Collect(const WorkloadId& aId)
  {
    const auto* workload = mLeading.mState->Find(aId);
    if (workload == nullptr || HasEnded(*workload)) {
      return;
    }
    const auto* queue = QueueOf(mLeading, *workload);
    if (queue == nullptr) {
      return; // its queue was removed: nothing names a pool for it
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
    Unit base;
    base.mStep = &spec;
    base.mPool = aQueue.mPool;
    base.mPriority = aQueue.mPriority;
    base.mGuaranteed = mGuaranteed.count(aId) > 0;
    base.mUrgencyMs = Urgency(aWorkload, aQueue, aOccurrence);
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
      Unit unit = base;
      unit.mTasks = { task };
      Add(std::move(unit));
    }
  }

  /** Notes where tasks of the step run already. */
  void CountStepTasks(const WorkloadId& aId,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStep,
                      Unit& aUnit) const
  {
    aUnit.mStepTasks.assign(mViews.size(), 0);
    const TaskId first{ aId, aOccurrence, aStep, 0 };
    for (auto it = mLeading.mRuns.lower_bound(RunId{ first, RunNumber(0) });
         it != mLeading.mRuns.end() && it->first.mTask.mWorkload == aId &&
         it->first.mTask.mOccurrence == aOccurrence &&
         it->first.mTask.mStep == aStep;
         ++it) {
      for (std::size_t i = 0; i < mViews.size(); ++i) {
        if (mViews[i].mLife == it->second.mTarget) {
          ++aUnit.mStepTasks[i];
          aUnit.mStepRacks.insert(mViews[i].mRack);
        }
      }
    }
  }

  void Add(Unit aUnit)
  {
    const auto [it, isNew] =
      mLeading.mReadySince.try_emplace(aUnit.mTasks.front(), mLeading.mNow);
    aUnit.mWaitedMs = base::ToMilliseconds(mLeading.mNow - it->second);
    for (const TaskId& task : aUnit.mTasks) {
      const auto failed = mLeading.mFailedOn.find(task);
      if (failed != mLeading.mFailedOn.end()) {
        aUnit.mAvoid.insert(failed->second.begin(), failed->second.end());
      }
    }
    mUnits.push_back(std::move(aUnit));
  }

  /** Returns the Unix time by which the workload should be complete. */
  static std::int64_t Urgency(const WorkloadRecord& aWorkload,
                              const protocol::Queue& aQueue,
                              const OccurrenceRecord& aOccurrence)
  {
    const auto& spec = aWorkload.mSpec;
    const std::int64_t begin =
      spec.mRepeatCount == 0
        ? aWorkload.mAcceptedMs
        : spec.mFirstMs + spec.mIntervalMs * aOccurrence.mNumber;
    return begin + static_cast<std::int64_t>(aQueue.mTargetRunTimeMs) +
           ChainMs(spec) * aQueue.mSlackPermille / 1000;
  }

  Leading& mLeading;
  const std::vector<WorkerView>& mViews;
  const std::set<WorkloadId>& mGuaranteed;
  std::vector<Unit>& mUnits;
  std::set<TaskId> mOpen;
};

void
BeginOccurrences(Leading& aLeading)
{
  for (const WorkloadId& id : aLeading.mState->Active()) {
    const auto* workload = aLeading.mState->Find(id);
    if (workload == nullptr || HasEnded(*workload) ||
        workload->mNextOccurrence >= workload->mSpec.mRepeatCount ||
        aLeading.mOccurrenceProposed.count(id) > 0) {
      continue;
    }
    const auto& spec = workload->mSpec;
    const std::int64_t due =
      spec.mFirstMs + spec.mIntervalMs * workload->mNextOccurrence;
    if (UnixMs(aLeading) >= due) {
      aLeading.mOccurrenceProposed.insert(id);
      Propose(aLeading, BeginOccurrence{ id, workload->mNextOccurrence });
    } else {
      aLeading.mNextDecision =
        std::min(aLeading.mNextDecision,
                 aLeading.mNow + base::Milliseconds(due - UnixMs(aLeading)));
    }
  }
}

void
Start(Leading& aLeading,
      const Unit& aUnit,
      const Assignment& aAssignment,
      const std::vector<WorkerView>& aViews)
{
  StartRuns change;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    const TaskId& task = aUnit.mTasks[i];
    const TaskRecord* record = aLeading.mState->Find(task);
    const RunId run{ task, RunNumber(record->mRun.Value() + 1) };
    OpenRun open;
    open.mTarget = aViews[aAssignment[i]].mLife;
    open.mRoom = RoomFor(*aUnit.mStep);
    open.mPriority = aUnit.mPriority;
    open.mStartedAt = aLeading.mNow;
    open.mCheckpoint = record->mCheckpoint;
    open.mResumedFrom = record->mCheckpoint;
    open.mGuaranteed = aUnit.mGuaranteed;
    Tell(aLeading,
         Note::Kind::RunStarted,
         { { "task", ToString(task) },
           { "run", std::to_string(run.mRun.Value()) },
           { "target", open.mTarget.mInstance },
           { "waited_ms", std::to_string(aUnit.mWaitedMs) },
           { "gang", std::to_string(aUnit.mTasks.size()) } });
    change.mStarts.push_back({ run, open.mTarget });
    aLeading.mRuns.emplace(run, std::move(open));
  }
  aLeading.mReadySince.erase(aUnit.mTasks.front());
  Propose(aLeading, std::move(change));
}

/** Where this decision has placed tasks of each step, which the units
 * gathered before do not show. */
class StepCounts
{
public:
  void AddTo(Unit& aUnit) const
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

  void Count(const Unit& aUnit,
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
  static Key KeyOf(const Unit& aUnit)
  {
    return { aUnit.mStep, aUnit.mTasks.front().mOccurrence };
  }
  std::map<Key, std::vector<std::pair<std::size_t, base::RackId>>> mPlaced;
};

/** Returns the core-seconds of others' work that may be thrown away for the
 * unit: without a limit inside a guarantee, else no more than its own. */
double
AllowedLoss(const Unit& aUnit)
{
  if (aUnit.mGuaranteed) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(aUnit.mTasks.size()) *
         CoresOf(RoomFor(*aUnit.mStep)) *
         static_cast<double>(aUnit.mStep->mEstimateMs) / 1000;
}

/** Returns the order of a unit before its priority counts. Lasting tasks come
 * before other work without urgency, so that headroom is not kept from them:
 * the platform wants them back at work however full the pool is. */
int
RankOf(const Unit& aUnit)
{
  if (aUnit.mGuaranteed) {
    return 0;
  }
  if (aUnit.mPriority == 0) {
    return 1;
  }
  return aUnit.mStep->mLongRunning ? 2 : 3;
}

/** Keeps what urgent work may need soon from the units that follow. */
void
HoldHeadrooms(Leading& aLeading, std::vector<WorkerView>& aViews)
{
  const auto& options = aLeading.mOptions.mHeadroom;
  for (auto& [pool, demand] : aLeading.mUrgentDemand) {
    HoldHeadroom(
      pool, demand.Headroom(aLeading.mNow, options), aViews, options);
  }
}

/** Makes room for urgent work by stopping less urgent runs. Returns whether
 * room is on its way. */
bool
MakeRoom(Leading& aLeading, const Unit& aUnit, std::vector<WorkerView>& aViews)
{
  const auto plan = PlanPreemption(aUnit,
                                   aUnit.mPriority,
                                   AllowedLoss(aUnit),
                                   aViews,
                                   aLeading.mOptions.mPlacement);
  if (!plan) {
    return false;
  }
  for (const RunId& run : plan->mStops) {
    StopRun(aLeading, run, "preempted");
  }
  return true;
}

/** Returns the units that may start now, the first in turn first. */
std::vector<Unit>
CollectUnits(Leading& aLeading, const std::vector<WorkerView>& aViews)
{
  const auto guaranteed = FindGuaranteed(aLeading);
  std::vector<Unit> units;
  UnitCollector collector(aLeading, aViews, guaranteed, units);
  for (const WorkloadId& id : aLeading.mState->Active()) {
    collector.Collect(id);
  }
  const auto turn = [](const Unit& aUnit) {
    return std::make_tuple(RankOf(aUnit), aUnit.mPriority, aUnit.mUrgencyMs);
  };
  std::stable_sort(
    units.begin(), units.end(), [&turn](const Unit& aLeft, const Unit& aRight) {
      return turn(aLeft) < turn(aRight);
    });
  return units;
}

} // namespace

std::vector<RunId>
GangOf(const Leading& aLeading, const RunId& aRun)
{
  const auto* workload = aLeading.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || !StepOf(*workload, aRun.mTask).mGang) {
    return { aRun };
  }
  std::vector<RunId> gang;
  TaskId first = aRun.mTask;
  first.mIndex = 0;
  for (auto it = aLeading.mRuns.lower_bound(RunId{ first, RunNumber(0) });
       it != aLeading.mRuns.end() &&
       it->first.mTask.mWorkload == aRun.mTask.mWorkload &&
       it->first.mTask.mOccurrence == aRun.mTask.mOccurrence &&
       it->first.mTask.mStep == aRun.mTask.mStep;
       ++it) {
    gang.push_back(it->first);
  }
  return gang;
}

bool
IsSaving(const Leading& aLeading, const RunId& aRun)
{
  const auto* workload = aLeading.mState->Find(aRun.mTask.mWorkload);
  return workload != nullptr && StepOf(*workload, aRun.mTask).mCheckpointing;
}

base::Duration
TimeLeftOf(const Leading& aLeading, const RunId& aRun, const OpenRun& aOpen)
{
  const auto* workload = aLeading.mState->Find(aRun.mTask.mWorkload);
  if (workload == nullptr || StepOf(*workload, aRun.mTask).mLongRunning) {
    return base::Duration::max();
  }
  if (const auto left = TimeLeft(aOpen.mProgress, aLeading.mNow)) {
    return *left;
  }
  const auto whole =
    aLeading.mRunTimes.Expect(aRun.mTask,
                              workload->mQueueName,
                              StepOf(*workload, aRun.mTask).mEstimateMs);
  return std::max(whole - (aLeading.mNow - aOpen.mStartedAt),
                  base::Duration::zero());
}

void
AddOpenRun(Leading& aLeading, const RunId& aRun, const TaskRecord& aTask)
{
  const auto [it, isNew] = aLeading.mRuns.try_emplace(aRun);
  OpenRun& open = it->second;
  open.mCommitted = true;
  if (isNew) {
    const auto* workload = aLeading.mState->Find(aRun.mTask.mWorkload);
    open.mTarget = aTask.mTarget;
    open.mRoom = RoomFor(StepOf(*workload, aRun.mTask));
    open.mPriority = PriorityOf(aLeading, *workload);
    open.mStartedAt = aLeading.mNow;
    open.mCheckpoint = aTask.mCheckpoint;
    open.mResumedFrom = aTask.mCheckpoint;
  }
  const auto worker = aLeading.mWorkers.find(open.mTarget);
  if (worker != aLeading.mWorkers.end()) {
    worker->second.mDirty = true;
  }
}

void
CountDemand(Leading& aLeading, const WorkloadId& aId)
{
  const auto* workload = aLeading.mState->Find(aId);
  const auto* queue =
    workload == nullptr ? nullptr : QueueOf(aLeading, *workload);
  if (queue == nullptr || queue->mPriority > 0) {
    return;
  }
  Room need;
  const WorkloadStep& first = workload->mSpec.mSteps.front();
  for (std::uint32_t i = 0; i < first.mCount; ++i) {
    need = need + RoomFor(first);
  }
  aLeading.mUrgentDemand[queue->mPool].Add(need, aLeading.mNow);
}

void
Decide(Leading& aLeading)
{
  aLeading.mDecide = false;
  aLeading.mNextDecision = aLeading.mNow + kDecisionInterval;
  BeginOccurrences(aLeading);
  StopDoomedRuns(aLeading);
  StopStalledRuns(aLeading);
  auto views = MakeViews(aLeading);
  auto units = CollectUnits(aLeading, views);
  const WorkloadStep* full = nullptr; // no room for another task of this step
  bool headroomHeld = false;
  StepCounts placed;
  for (Unit& unit : units) {
    if (unit.mStep == full) {
      continue;
    }
    const bool urgent = unit.mPriority == 0;
    if (!urgent && !unit.mStep->mLongRunning && !headroomHeld) {
      headroomHeld = true;
      HoldHeadrooms(aLeading, views);
    }
    placed.AddTo(unit);
    if (const auto assignment =
          PlaceInFreeRoom(unit, views, aLeading.mOptions.mPlacement)) {
      Start(aLeading, unit, *assignment, views);
      placed.Count(unit, *assignment, views);
      continue;
    }
    const bool roomComes = urgent && MakeRoom(aLeading, unit, views);
    full = roomComes ? nullptr : unit.mStep;
  }
}

} // namespace dogwooddrum::coordination::workloads
