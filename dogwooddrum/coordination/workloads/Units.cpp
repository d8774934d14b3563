#include "dogwooddrum/coordination/workloads/Units.h"

#include "dogwooddrum/coordination/workloads/SpeedRanges.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Collects the placement units that may start now, workload by workload. */
class UnitCollector
{
public:
  UnitCollector(LeaderContext& aLeader,
                const std::vector<WorkerView>& aViews,
                const Guarantees& aGuarantees,
                std::vector<PlacementUnit>& aUnits)
    : mLeader(aLeader)
    , mViews(aViews)
    , mGuarantees(aGuarantees)
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
    base.mAccount = aWorkload.mAccount;
    base.mPriority = aQueue.mPriority;
    base.mGuaranteed = mGuarantees.mCovered.count(aId) > 0;
    base.mMayReclaim =
      base.mGuaranteed && mGuarantees.mExceeded.count(aWorkload.mAccount) == 0;
    base.mDueAtMs = DueAtMs(aWorkload, aQueue, aOccurrence);
    if (!spec.mLongRunning && spec.mEstimateMs > 0) {
      base.mExpectedRunTime = ExpectedRunTime(
        mLeader, aWorkload, TaskId{ aId, aOccurrence.mNumber, aStep, 0 });
    }
    base.mPrefersFast = PrefersFast(base, mViews, UnixMs(mLeader));
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
      AddCrashes(tasks, base);
      Add(std::move(base));
      return;
    }
    for (const TaskId& task : waiting) {
      PlacementUnit unit = base;
      unit.mTasks = { task };
      AddCrashes(tasks, unit);
      Add(std::move(unit));
    }
  }

  static void AddCrashes(const std::vector<TaskRecord>& aRecords,
                         PlacementUnit& aUnit)
  {
    std::vector<std::size_t> crashes;
    for (const TaskId& task : aUnit.mTasks) {
      crashes.push_back(aRecords[task.mIndex].mCrashedTargets.size());
    }
    if (std::any_of(crashes.begin(), crashes.end(), [](std::size_t aCount) {
          return aCount > 0;
        })) {
      aUnit.mCrashes = std::move(crashes);
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

  LeaderContext& mLeader;
  const std::vector<WorkerView>& mViews;
  const Guarantees& mGuarantees;
  std::vector<PlacementUnit>& mUnits;
  std::set<TaskId> mOpen;
};

/** Returns the first sort key of a unit; the smallest is placed first.
 * Long-running tasks come before other work that is not urgent, so that they
 * may use the headroom: the platform requires them to run again soon, however
 * full the pool is. */
int
RankOf(const Policies& aPolicies, const PlacementUnit& aUnit)
{
  if (aUnit.mGuaranteed && aPolicies.mGuaranteedFirst) {
    return 0;
  }
  if (aUnit.mPriority == 0) {
    return 1;
  }
  return aUnit.mStep->mLongRunning && aPolicies.mLongRunningFirst ? 2 : 3;
}

/** Returns what the accounts use of the pools. Guaranteed work is not counted
 * against its account, nor is long-running work, which is placed first. */
AccountUses
CollectAccountUses(const LeaderContext& aLeader,
                   const std::vector<WorkerView>& aViews,
                   const Guarantees& aGuarantees)
{
  AccountUses uses;
  for (const WorkerView& view : aViews) {
    if (view.mUsable) {
      auto& capacity = uses.mCapacities[view.mPool];
      capacity = capacity + view.mCapacity;
    }
  }
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto worker = aLeader.mWorkers.find(open.mTarget);
    const auto* workload = aLeader.mState->Find(run.mTask.mWorkload);
    if (open.mStopping || open.mEnding || workload == nullptr ||
        worker == aLeader.mWorkers.end() ||
        StepOf(*workload, run.mTask).mLongRunning ||
        aGuarantees.mCovered.count(run.mTask.mWorkload) > 0) {
      continue;
    }
    auto& used = uses.mUsed[{ worker->second.mTargetInfo.mPool,
                              open.mPriority }][workload->mAccount];
    used = used + open.mResources;
  }
  // An account with an average guarantee weighs twice as much as one without.
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  const auto& accounts = aLeader.mState->CurrentCatalog().mAccounts;
  for (const auto& account : accounts) {
    sum += account.mGuaranteedAccelerators;
    count += account.mGuaranteedAccelerators > 0 ? 1 : 0;
  }
  for (const auto& account : accounts) {
    uses.mWeights[account.mName] =
      sum == 0
        ? 1
        : 1 + static_cast<double>(account.mGuaranteedAccelerators * count) /
                static_cast<double>(sum);
  }
  return uses;
}

/** Orders the units of contended levels by the shares of their accounts. Urgent
 * units keep the order of their due times: runs are stopped for the first of
 * them, so that another order in each decision would stop more. The guarantees
 * divide the pool between them. */
void
OrderByAccounts(LeaderContext& aLeader, std::vector<PlacementUnit>& aUnits)
{
  std::map<QueueLevel, std::vector<std::size_t>> places;
  for (std::size_t i = 0; i < aUnits.size(); ++i) {
    const PlacementUnit& unit = aUnits[i];
    const QueueLevel level{ unit.mPool, unit.mPriority };
    if (unit.mPriority > 0 && !unit.mStep->mLongRunning &&
        aLeader.mAccountShares.IsContended(level)) {
      places[level].push_back(i);
    }
  }
  for (const auto& [level, indices] : places) {
    std::vector<PlacementUnit> units;
    units.reserve(indices.size());
    for (const std::size_t i : indices) {
      units.push_back(std::move(aUnits[i]));
    }
    aLeader.mAccountShares.Order(level, units);
    for (std::size_t n = 0; n < indices.size(); ++n) {
      aUnits[indices[n]] = std::move(units[n]);
    }
  }
}

} // namespace

std::vector<PlacementUnit>
CollectUnits(LeaderContext& aLeader,
             const std::vector<WorkerView>& aViews,
             const Guarantees& aGuarantees)
{
  std::vector<PlacementUnit> units;
  UnitCollector collector(aLeader, aViews, aGuarantees, units);
  for (const WorkloadId& id : aLeader.mState->Active()) {
    collector.Collect(id);
  }
  const auto sortKey = [&](const PlacementUnit& aUnit) {
    return std::make_tuple(RankOf(aLeader.mOptions.mPolicies, aUnit),
                           aUnit.mPriority,
                           aUnit.mDueAtMs);
  };
  std::stable_sort(
    units.begin(),
    units.end(),
    [&sortKey](const PlacementUnit& aLeft, const PlacementUnit& aRight) {
      return sortKey(aLeft) < sortKey(aRight);
    });
  if (aLeader.mOptions.mPolicies.mAccountShares) {
    aLeader.mAccountShares.Begin(
      CollectAccountUses(aLeader, aViews, aGuarantees), aLeader.mNow);
    OrderByAccounts(aLeader, units);
  }
  return units;
}

} // namespace dogwooddrum::coordination::workloads
