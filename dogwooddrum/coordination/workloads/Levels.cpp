#include "dogwooddrum/coordination/workloads/Levels.h"

#include "dogwooddrum/coordination/workloads/Evacuations.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::workloads {

bool
IsPrivileged(const PlacementUnit& aUnit)
{
  return aUnit.mPriority == 0 || aUnit.mStep->mLongRunning;
}

ResourceVector
TotalResources(const PlacementUnit& aUnit)
{
  ResourceVector sum;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    sum = sum + ResourcesOf(*aUnit.mStep);
  }
  return sum;
}

void
Levels::ComputeShares(const std::vector<WorkerView>& aViews)
{
  std::map<protocol::PoolName, ResourceVector> capacities;
  for (const WorkerView& view : aViews) {
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
  AddOpenRuns();
}

void
Levels::AddOpenRuns()
{
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

void
Levels::AddPrivileged(const protocol::PoolName& aPool,
                      const ResourceVector& aResources)
{
  const auto shares = mShares.find(aPool);
  if (shares != mShares.end()) {
    shares->second.AddPrivileged(aResources);
  }
}

void
Levels::OnPlaced(const PlacementUnit& aUnit)
{
  const auto shares = mShares.find(aUnit.mPool);
  if (shares != mShares.end() && !IsPrivileged(aUnit)) {
    shares->second.Add(aUnit.mPriority, TotalResources(aUnit));
  }
}

LevelUnits*
Levels::Find(const QueueLevel& aLevel)
{
  const auto it = mLevels.find(aLevel);
  return it == mLevels.end() ? nullptr : &it->second;
}

bool
Levels::IsWithinShare(const QueueLevel& aLevel, const LevelUnits& aUnits) const
{
  const auto shares = mShares.find(aLevel.mPool);
  return !mLeader.mOptions.mPolicies.mFairShares ||
         (shares != mShares.end() &&
          shares->second.IsWithinShare(
            aLevel.mPriority, TotalResources(*aUnits.mUnits[aUnits.mNext])));
}

bool
Levels::IsBelowShare(const QueueLevel& aLevel) const
{
  const auto shares = mShares.find(aLevel.mPool);
  return !mLeader.mOptions.mPolicies.mFairShares ||
         (shares != mShares.end() &&
          shares->second.IsBelowShare(aLevel.mPriority));
}

bool
Levels::MayStop(const protocol::PoolName& aPool,
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

LevelUnits*
Levels::Next()
{
  LevelUnits* best = nullptr;
  bool isBestWithinShare = false;
  std::uint32_t bestPriority = 0;
  for (auto& [level, units] : mLevels) {
    if (units.mNext == units.mUnits.size()) {
      continue;
    }
    const bool isWithinShare = IsWithinShare(level, units);
    if (best == nullptr || std::make_pair(!isWithinShare, level.mPriority) <
                             std::make_pair(!isBestWithinShare, bestPriority)) {
      best = &units;
      isBestWithinShare = isWithinShare;
      bestPriority = level.mPriority;
    }
  }
  return best;
}

} // namespace dogwooddrum::coordination::workloads
