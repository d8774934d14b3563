/** \file
 * Implements the allocation of accelerators.
 */
#include "dogwooddrum/coordination/placement/Allocations.h"

#include "dogwooddrum/coordination/placement/Claims.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

std::uint32_t
SaturatingSubtract(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : 0;
}

/** Adds aAmount to the sums of borrowed accelerators if the job borrows. */
void
UpdateBorrowedSums(State& aState, const JobEntry& aJob, std::int64_t aAmount)
{
  auto& account = aState.mAccounts[aJob.mAccount];
  if (aJob.mKind == HoldKind::Borrowed) {
    account.mBorrowed += aAmount;
    if (aJob.mRules.mInteractive) {
      aState.mInteractiveBorrowed += aAmount;
    }
  }
}

void
SetTasksPinned(State& aState, const JobEntry& aJob, bool aPin)
{
  for (const auto& task : aJob.mTasks) {
    auto& pinned = aState.mTopology.mWorkers[task.mWorker].mPinned;
    pinned = aPin ? pinned + task.mAmount : pinned - task.mAmount;
    RefreshWorker(aState, task.mWorker);
  }
}

std::uint32_t
SumHeld(const JobEntry& aJob)
{
  std::uint32_t sum = 0;
  for (const auto& task : aJob.mTasks) {
    sum += task.mAmount;
  }
  return sum;
}

/** Releases the cell shares of one task on its worker. */
void
ReleaseTaskShare(State& aState, JobEntry& aJob, const HeldTask& aTask)
{
  std::uint32_t left = aTask.mAmount;
  for (auto& share : aJob.mShares) {
    if (share.mWorker != aTask.mWorker || left == 0) {
      continue;
    }
    const std::uint32_t amount = std::min(left, share.mAmount);
    ReleaseShare(aState.mCells, { share.mCell, share.mWorker, amount });
    aState.mTopology.mWorkers[share.mWorker].mCovered -= amount;
    share.mAmount -= amount;
    left -= amount;
  }
  auto& shares = aJob.mShares;
  shares.erase(
    std::remove_if(shares.begin(),
                   shares.end(),
                   [](const CellShare& aEach) { return aEach.mAmount == 0; }),
    shares.end());
}

void
MarkAccountDirty(State& aState, AccountIndex aAccount)
{
  const auto& classes = aState.mAccounts[aAccount].mClasses;
  aState.mGuaranteeCandidates.insert(classes.begin(), classes.end());
  aState.mAccountsToPromote.insert(aAccount);
  aState.mCapacityChanged = aState.mCapacityChanged ||
                            !aState.mCells.mUnbound.empty() ||
                            !aState.mCells.mOvercommitted.empty();
}

} // namespace

void
RefreshWorker(State& aState, WorkerIndex aWorker)
{
  const auto& worker = aState.mTopology.mWorkers[aWorker];
  const std::uint32_t total = UsableTotal(worker);
  aState.mFree.Set(aWorker,
                   SaturatingSubtract(total, worker.mHeld + worker.mEarmarked));
  aState.mReclaimable.Set(
    aWorker, SaturatingSubtract(total, worker.mCovered + worker.mPinned));
  aState.mKnown.Set(aWorker, worker.mDescription.mAccelerators);
  const std::uint32_t capacity = SaturatingSubtract(total, worker.mPinned);
  const auto& capacities = aState.mCells.mCapacity;
  if (capacities.size() <= aWorker || capacities[aWorker] != capacity) {
    SetCellCapacity(aState.mCells, aWorker, capacity);
    aState.mCapacityChanged = true;
  }
}

AccountIndex
FindOrAddAccount(State& aState, const base::AccountId& aAccount)
{
  const auto next = static_cast<AccountIndex>(aState.mAccounts.size());
  const auto [it, added] =
    aState.mAccountByName.emplace(aAccount.Value(), next);
  if (added) {
    aState.mAccounts.emplace_back();
    aState.mAccounts.back().mName = aAccount;
    aState.mCells.mAccounts.emplace_back(aState.mTopology);
  }
  return it->second;
}

ProfileRules
RulesOf(const State& aState, const base::ProfileId& aProfile)
{
  const auto it = aState.mProfiles.find(aProfile.Value());
  if (it != aState.mProfiles.end()) {
    return it->second;
  }
  ProfileRules rules;
  rules.mReservationAge = aState.mOptions.mReservationAge;
  return rules;
}

bool
RequiresGuarantee(const JobEntry& aJob)
{
  return !aJob.mRequest.mRepeatable || !aJob.mRules.mPreemptible;
}

JobHandle
FindHandle(const State& aState, base::JobId aJob)
{
  const auto it = aState.mJobById.find(aJob.Value());
  return it == aState.mJobById.end() ? kNoIndex : it->second;
}

JobEntry*
FindJob(State& aState, base::JobId aJob)
{
  const JobHandle handle = FindHandle(aState, aJob);
  return handle == kNoIndex ? nullptr : &aState.mJobs[handle];
}

GangNeed
MakeGangNeed(const State& aState, const JobEntry& aJob)
{
  GangNeed need;
  need.mShape = aJob.mRequest.mShape;
  const std::size_t workers = aState.mTopology.mWorkerByName.size();
  // On a small cluster the gang may need the workers on which it failed, so
  // these are excluded only if enough others exist.
  if (!aJob.mFailedOn.empty() &&
      workers > aJob.mFailedOn.size() + aJob.mRequest.mShape.mTasks) {
    need.mExcluded = &aJob.mFailedOn;
  }
  return need;
}

void
HoldPlan(State& aState, JobHandle aJob, const Plan& aPlan, base::Time aNow)
{
  auto& job = aState.mJobs[aJob];
  std::uint32_t next = 0;
  const std::uint32_t amount = job.mRequest.mShape.mAcceleratorsPerTask;
  for (const auto& part : aPlan) {
    for (std::uint32_t k = 0; k < part.mTasks; ++k) {
      AdoptTask(
        aState, aJob, { base::TaskIndex(next++), part.mWorker, amount });
    }
  }
  job.mPhase = JobPhase::Held;
  job.mStarted = aNow;
  job.mCheckpointedAt = aNow;
  if (job.mKind != HoldKind::Covered) {
    aState.mAccounts[job.mAccount].mUncoveredJobs.emplace(aNow, aJob);
  }
}

void
AdoptTask(State& aState, JobHandle aJob, const HeldTask& aTask)
{
  auto& job = aState.mJobs[aJob];
  auto& worker = aState.mTopology.mWorkers[aTask.mWorker];
  job.mTasks.push_back(aTask);
  worker.mJobs.push_back(aJob);
  worker.mHeld += aTask.mAmount;
  UpdateBorrowedSums(aState, job, aTask.mAmount);
  RefreshWorker(aState, aTask.mWorker);
}

void
AllocateShares(State& aState, JobHandle aJob, const Plan& aPlan)
{
  auto& job = aState.mJobs[aJob];
  for (const auto& part : aPlan) {
    const std::uint32_t amount =
      part.mTasks * job.mRequest.mShape.mAcceleratorsPerTask;
    AllocateFromCells(
      aState.mCells, job.mAccount, part.mWorker, amount, job.mShares);
    aState.mTopology.mWorkers[part.mWorker].mCovered += amount;
    RefreshWorker(aState, part.mWorker);
  }
}

void
ReleaseShares(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  for (const auto& share : job.mShares) {
    ReleaseShare(aState.mCells, share);
    aState.mTopology.mWorkers[share.mWorker].mCovered -= share.mAmount;
    RefreshWorker(aState, share.mWorker);
  }
  job.mShares.clear();
  MarkAccountDirty(aState, job.mAccount);
}

void
FreeTask(State& aState, JobHandle aJob, std::size_t aIndex)
{
  auto& job = aState.mJobs[aJob];
  const HeldTask task = job.mTasks[aIndex];
  job.mTasks.erase(job.mTasks.begin() + static_cast<std::ptrdiff_t>(aIndex));
  auto& worker = aState.mTopology.mWorkers[task.mWorker];
  worker.mJobs.erase(std::find(worker.mJobs.begin(), worker.mJobs.end(), aJob));
  worker.mHeld -= task.mAmount;
  UpdateBorrowedSums(aState, job, -static_cast<std::int64_t>(task.mAmount));
  if (job.mKind == HoldKind::Pinned) {
    worker.mPinned -= task.mAmount;
  }
  if (!job.mShares.empty()) {
    ReleaseTaskShare(aState, job, task);
    MarkAccountDirty(aState, job.mAccount);
  }
  RefreshWorker(aState, task.mWorker);
  EarmarkForClaims(aState, task.mWorker);
}

void
FreeTasks(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  while (!job.mTasks.empty()) {
    FreeTask(aState, aJob, job.mTasks.size() - 1);
  }
  aState.mAccounts[job.mAccount].mUncoveredJobs.erase({ job.mStarted, aJob });
}

void
SetHoldKind(State& aState, JobHandle aJob, HoldKind aKind)
{
  auto& job = aState.mJobs[aJob];
  const std::int64_t held = SumHeld(job);
  UpdateBorrowedSums(aState, job, -held);
  const HoldKind before = job.mKind;
  job.mKind = aKind;
  auto& outside = aState.mAccounts[job.mAccount].mUncoveredJobs;
  if (aKind == HoldKind::Covered) {
    outside.erase({ job.mStarted, aJob });
  } else {
    outside.emplace(job.mStarted, aJob);
  }
  UpdateBorrowedSums(aState, job, held);
  if (before == HoldKind::Pinned && aKind != HoldKind::Pinned) {
    SetTasksPinned(aState, job, false);
  } else if (before != HoldKind::Pinned && aKind == HoldKind::Pinned) {
    SetTasksPinned(aState, job, true);
  }
}

std::vector<TaskPlacement>
PlacementsOf(const State& aState, const JobEntry& aJob)
{
  std::vector<TaskPlacement> tasks;
  tasks.reserve(aJob.mTasks.size());
  for (const auto& task : aJob.mTasks) {
    const auto& worker = aState.mTopology.mWorkers[task.mWorker];
    tasks.push_back({ task.mTask, worker.mDescription.mWorker, task.mAmount });
  }
  return tasks;
}

} // namespace dogwooddrum::coordination::placement
