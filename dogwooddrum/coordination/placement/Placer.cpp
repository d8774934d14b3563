/** \file
 * Implements Placer on the modules of this folder.
 */
#include "dogwooddrum/coordination/placement/Placer.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Claims.h"
#include "dogwooddrum/coordination/placement/Compaction.h"
#include "dogwooddrum/coordination/placement/Explain.h"
#include "dogwooddrum/coordination/placement/Fairness.h"
#include "dogwooddrum/coordination/placement/Feasibility.h"
#include "dogwooddrum/coordination/placement/Fragmentation.h"
#include "dogwooddrum/coordination/placement/Guarantees.h"
#include "dogwooddrum/coordination/placement/Quarantine.h"
#include "dogwooddrum/coordination/placement/Queue.h"
#include "dogwooddrum/coordination/placement/Reservations.h"
#include "dogwooddrum/coordination/placement/Starts.h"

#include <algorithm>
#include <map>

namespace dogwooddrum::coordination::placement {

namespace {

/** Maximum decisions of the start passes in one call of Decide, so that a burst
 * of submissions does not block the thread; the next call continues. */
constexpr std::size_t kMaxDecisions = 64;
/** Time after which a worker that is down is removed. Until then its
 * accelerators count as known, so that jobs that need them are not rejected. */
constexpr base::Duration kRemoveDownWorkerAfter = std::chrono::minutes(10);

JobHandle
AddJob(State& aState, const JobRequest& aRequest, base::Time aNow)
{
  JobHandle handle = static_cast<JobHandle>(aState.mJobs.size());
  if (aState.mFreeJobs.empty()) {
    aState.mJobs.emplace_back();
  } else {
    handle = aState.mFreeJobs.back();
    aState.mFreeJobs.pop_back();
  }
  auto& job = aState.mJobs[handle];
  job = JobEntry{};
  job.mRequest = aRequest;
  job.mAccount = FindOrAddAccount(aState, aRequest.mAccount);
  job.mRules = RulesOf(aState, aRequest.mProfile);
  job.mLive = true;
  job.mQueuedSince = aNow;
  aState.mJobById[aRequest.mJob.Value()] = handle;
  UpdateProtectedDemand(aState, job, true, aNow);
  return handle;
}

/** Removes a job from the queue, or dissolves its claim, or frees its tasks. */
void
WithdrawJob(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  if (job.mPhase == JobPhase::Claimed) {
    CancelClaim(aState, job.mClaim);
  }
  if (job.mPhase == JobPhase::Queued) {
    if (job.mClass != kNoIndex) {
      Dequeue(aState, aJob);
    }
    return;
  }
  FreeTasks(aState, aJob);
}

void
DeleteJob(State& aState, JobHandle aJob, base::Time aNow)
{
  auto& job = aState.mJobs[aJob];
  UpdateProtectedDemand(aState, job, false, aNow);
  aState.mAdopted.erase(aJob);
  aState.mJobById.erase(job.mRequest.mJob.Value());
  job = JobEntry{};
  aState.mFreeJobs.push_back(aJob);
}

void
RejectJob(State& aState, JobHandle aJob, Reject aReject, base::Time aNow)
{
  WithdrawJob(aState, aJob);
  DeleteJob(aState, aJob, aNow);
  aState.mDecisions.emplace_back(std::move(aReject));
}

Reject
MakeFailsEverywhereReject(const JobEntry& aJob)
{
  return { aJob.mRequest.mJob,
           base::Reason::TargetFailed,
           "job failed on " + std::to_string(aJob.mFailedOn.size()) +
             " different workers",
           aJob.mRequest.mShape };
}

/** Rejects new jobs that can never run and queues the others. */
void
AdmitNewJobs(State& aState, base::Time aNow)
{
  std::vector<JobHandle> handles;
  std::swap(handles, aState.mNewJobs);
  for (const JobHandle handle : handles) {
    auto& job = aState.mJobs[handle];
    if (!job.mLive || job.mPhase != JobPhase::Queued ||
        job.mClass != kNoIndex) {
      continue;
    }
    if (job.mFailsEverywhere) {
      RejectJob(aState, handle, MakeFailsEverywhereReject(job), aNow);
    } else if (auto reject = CheckCanRun(aState, job)) {
      RejectJob(aState, handle, std::move(*reject), aNow);
    } else {
      RecordDemand(aState, job.mRequest.mShape, aNow);
      Enqueue(aState, handle);
    }
  }
}

void
RejectPastDeadline(State& aState, base::Time aNow)
{
  while (!aState.mDeadlines.empty() &&
         aState.mDeadlines.begin()->first < aNow) {
    const JobHandle handle = aState.mDeadlines.begin()->second;
    const auto& request = aState.mJobs[handle].mRequest;
    RejectJob(
      aState,
      handle,
      { request.mJob,
        base::Reason::DeadlinePassed,
        "deadline passed while shape " + ShapeText(request.mShape) + " waited",
        request.mShape },
      aNow);
  }
}

void
RemoveDownWorkers(State& aState, base::Time aNow)
{
  while (!aState.mDownWorkers.empty() &&
         aState.mDownWorkers.begin()->first + kRemoveDownWorkerAfter <= aNow) {
    const auto [since, worker] = *aState.mDownWorkers.begin();
    aState.mDownWorkers.erase(aState.mDownWorkers.begin());
    const auto& node = aState.mTopology.mWorkers[worker];
    const bool cells = worker < aState.mCells.mCellsByWorker.size() &&
                       !aState.mCells.mCellsByWorker[worker].empty();
    if (!node.mJobs.empty() || !node.mClaims.empty() || cells) {
      aState.mDownWorkers.emplace(aNow, worker);
      continue;
    }
    aState.mKnown.Set(worker, 0);
    aState.mHealth.erase(worker);
    RemoveWorker(aState.mTopology, worker);
  }
}

/** Applies a change to a worker and updates sums, claims and cells. */
template<typename Change>
void
UpdateWorker(State& aState, WorkerIndex aWorker, const Change& aChange)
{
  aState.mUsableTotal -= UsableTotal(aState.mTopology.mWorkers[aWorker]);
  aChange(aState.mTopology.mWorkers[aWorker]);
  const std::uint32_t total = UsableTotal(aState.mTopology.mWorkers[aWorker]);
  aState.mUsableTotal += total;
  RefreshWorker(aState, aWorker);
  aState.mCapacityChanged = true;
  if (total > 0) {
    EarmarkForClaims(aState, aWorker);
    return;
  }
  auto& claims = aState.mTopology.mWorkers[aWorker].mClaims;
  while (!claims.empty()) {
    CancelClaim(aState, claims.back());
  }
}

/** Moves a known worker to another rack or zone in all indexes. */
void
RelocateWorker(State& aState,
               WorkerIndex aWorker,
               const WorkerDescription& aNew)
{
  const bool up = aState.mTopology.mWorkers[aWorker].mUp;
  UpdateWorker(aState, aWorker, [](WorkerNode& aNode) { aNode.mUp = false; });
  RepairCells(aState.mCells, false);
  // The unused rest of a partly used cell stays on its worker and is moved to
  // the new rack and zone with it.
  std::vector<std::uint32_t> unused;
  for (auto& account : aState.mCells.mAccounts) {
    unused.push_back(account.mUnused.Get(aWorker));
    account.mUnused.Set(aWorker, 0);
  }
  aState.mKnown.Set(aWorker, 0);
  RelinkWorker(aState.mTopology, aWorker, aNew);
  for (std::size_t k = 0; k < unused.size(); ++k) {
    aState.mCells.mAccounts[k].mUnused.Set(aWorker, unused[k]);
  }
  UpdateWorker(aState, aWorker, [&](WorkerNode& aNode) { aNode.mUp = up; });
}

} // namespace

struct Placer::Impl : State
{
  using State::State;
};

Placer::Placer(const PlacerOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}
Placer::~Placer() = default;
Placer::Placer(Placer&&) noexcept = default;
Placer&
Placer::operator=(Placer&&) noexcept = default;

base::Outcome<bool>
Placer::CheckConfiguration(const protocol::Configuration& aConfiguration) const
{
  return CheckGuarantees(*mImpl, aConfiguration);
}

void
Placer::SetConfiguration(const protocol::Configuration& aConfiguration)
{
  auto& state = *mImpl;
  for (WorkerIndex k = 0; k < state.mTopology.mWorkers.size(); ++k) {
    const auto& drained = aConfiguration.mDrained;
    const auto& node = state.mTopology.mWorkers[k];
    const bool drain =
      std::find(drained.begin(), drained.end(), node.mDescription.mWorker) !=
      drained.end();
    if (node.mKnown && node.mDrained != drain) {
      UpdateWorker(
        state, k, [&](WorkerNode& aNode) { aNode.mDrained = drain; });
    }
  }
  state.mProfiles.clear();
  for (const auto& profile : aConfiguration.mProfiles) {
    ProfileRules rules;
    rules.mPriority = profile.mPriority;
    rules.mPreemptible = profile.mPreemptible;
    rules.mInteractive = profile.mInteractive;
    rules.mReservationAge =
      profile.mMaxReserveMs > 0
        ? base::Milliseconds(static_cast<std::int64_t>(profile.mMaxReserveMs))
        : state.mOptions.mReservationAge;
    state.mProfiles[profile.mName.Value()] = rules;
  }
  RefreshRules(state);
  ApplyGuarantees(state, aConfiguration);
  state.mConfiguration = aConfiguration;
}

void
Placer::AddOrUpdateWorker(const WorkerDescription& aWorker, base::Time /*aNow*/)
{
  auto& state = *mImpl;
  WorkerIndex index = FindWorker(state.mTopology, aWorker.mWorker);
  if (index == kNoIndex) {
    index = AddWorker(state.mTopology, aWorker);
  } else {
    const auto& known = state.mTopology.mWorkers[index].mDescription;
    if (known.mRack != aWorker.mRack || known.mZone != aWorker.mZone) {
      RelocateWorker(state, index, aWorker);
    }
  }
  const auto& drained = state.mConfiguration.mDrained;
  const bool drain =
    std::find(drained.begin(), drained.end(), aWorker.mWorker) != drained.end();
  state.mDownWorkers.erase(
    { state.mTopology.mWorkers[index].mDownSince, index });
  UpdateWorker(state, index, [&](WorkerNode& aNode) {
    aNode.mDescription = aWorker;
    aNode.mUp = true;
    aNode.mDrained = drain;
  });
}

void
Placer::MarkWorkerDown(const base::WorkerId& aWorker, base::Time aNow)
{
  const WorkerIndex index = FindWorker(mImpl->mTopology, aWorker);
  if (index == kNoIndex || !mImpl->mTopology.mWorkers[index].mUp) {
    return;
  }
  UpdateWorker(*mImpl, index, [&](WorkerNode& aNode) {
    aNode.mUp = false;
    aNode.mDownSince = aNow;
  });
  mImpl->mDownWorkers.emplace(aNow, index);
}

void
Placer::Submit(const JobRequest& aRequest, base::Time aNow)
{
  if (FindHandle(*mImpl, aRequest.mJob) != kNoIndex) {
    return;
  }
  mImpl->mNewJobs.push_back(AddJob(*mImpl, aRequest, aNow));
}

void
Placer::Adopt(const JobRequest& aRequest,
              const std::vector<TaskPlacement>& aTasks,
              base::Time aStarted,
              bool aBorrowed)
{
  auto& state = *mImpl;
  if (FindHandle(state, aRequest.mJob) != kNoIndex) {
    return;
  }
  const JobHandle handle = AddJob(state, aRequest, aStarted);
  auto& job = state.mJobs[handle];
  job.mKind = HoldKind::Borrowed;
  job.mPhase = JobPhase::Held;
  job.mStarted = aStarted;
  job.mCheckpointedAt = aStarted;
  for (const auto& task : aTasks) {
    WorkerIndex index = FindWorker(state.mTopology, task.mWorker);
    if (index == kNoIndex) {
      // The worker has not registered yet; add it as known but down.
      index = AddWorker(state.mTopology, { task.mWorker, {}, {}, 0 });
      state.mDownWorkers.emplace(aStarted, index);
      state.mTopology.mWorkers[index].mDownSince = aStarted;
    }
    AdoptTask(state, handle, { task.mTask, index, task.mAccelerators });
  }
  state.mAccounts[job.mAccount].mUncoveredJobs.emplace(aStarted, handle);
  if (!aBorrowed || RequiresGuarantee(job)) {
    state.mAdopted.insert(handle);
    SetHoldKind(state, handle, HoldKind::Pinned);
  }
}

void
Placer::Requeue(base::JobId aJob, base::Time aNow)
{
  const JobHandle handle = FindHandle(*mImpl, aJob);
  if (handle == kNoIndex) {
    return;
  }
  auto& job = mImpl->mJobs[handle];
  if (job.mPhase == JobPhase::Queued) {
    return;
  }
  if (job.mPhase != JobPhase::Claimed) {
    job.mEarlierRunTime += aNow - job.mStarted;
    mImpl->mAdopted.erase(handle);
    FreeTasks(*mImpl, handle);
    job.mPhase = JobPhase::Queued;
    job.mQueuedSince = aNow;
    mImpl->mNewJobs.push_back(handle);
  }
}

void
Placer::Remove(base::JobId aJob, base::Time aNow)
{
  const JobHandle handle = FindHandle(*mImpl, aJob);
  if (handle != kNoIndex) {
    WithdrawJob(*mImpl, handle);
    DeleteJob(*mImpl, handle, aNow);
  }
}

void
Placer::ReleaseTask(base::JobId aJob,
                    base::TaskIndex aTask,
                    base::Time /*aNow*/)
{
  const JobHandle handle = FindHandle(*mImpl, aJob);
  if (handle == kNoIndex) {
    return;
  }
  const auto& tasks = mImpl->mJobs[handle].mTasks;
  for (std::size_t k = 0; k < tasks.size(); ++k) {
    if (tasks[k].mTask == aTask) {
      FreeTask(*mImpl, handle, k);
      return;
    }
  }
}

void
Placer::RecordCheckpoint(base::JobId aJob, base::Time aNow)
{
  if (auto* job = FindJob(*mImpl, aJob)) {
    job->mCheckpointedAt = std::max(job->mCheckpointedAt, aNow);
  }
}

void
Placer::RecordTaskFailure(base::JobId aJob,
                          const base::WorkerId& aWorker,
                          base::Time aNow)
{
  const JobHandle job = FindHandle(*mImpl, aJob);
  const WorkerIndex worker = FindWorker(mImpl->mTopology, aWorker);
  if (job != kNoIndex && worker != kNoIndex) {
    RecordFailure(*mImpl, job, worker, aNow);
  }
}

void
Placer::RecordTaskSuccess(base::JobId /*aJob*/, const base::WorkerId& aWorker)
{
  const WorkerIndex worker = FindWorker(mImpl->mTopology, aWorker);
  if (worker != kNoIndex) {
    RecordSuccess(*mImpl, worker);
  }
}

std::vector<Decision>
Placer::Decide(base::Time aNow)
{
  auto& state = *mImpl;
  state.mLastDecide = aNow;
  state.mHasMoreWork = false;
  RemoveDownWorkers(state, aNow);
  RepairGuarantees(state, aNow);
  PromoteAdoptedJobs(state);
  RejectPastDeadline(state, aNow);
  AdmitNewJobs(state, aNow);
  ExpireClaims(state, aNow);
  StartReadyClaims(state, aNow);
  RunProbes(state, aNow);
  StartGuaranteedJobs(state, aNow, kMaxDecisions);
  PromoteHeldJobs(state, aNow);
  StartBorrowedJobs(state, aNow, kMaxDecisions);
  RunReservations(state, aNow);
  RunCompaction(state, aNow);
  StartReadyClaims(state, aNow);
  std::vector<Decision> out;
  std::swap(out, state.mDecisions);
  return out;
}

std::optional<base::Time>
Placer::NextDecisionTime() const
{
  const auto& state = *mImpl;
  if (state.mHasMoreWork || !state.mNewJobs.empty() ||
      !state.mReadyClaims.empty() || !state.mDecisions.empty()) {
    return state.mLastDecide;
  }
  base::Time next = NextProbeTime(state);
  const auto consider = [&](const auto& aTimers) {
    if (!aTimers.empty()) {
      next = std::min(next, aTimers.begin()->first);
    }
  };
  if (state.mOptions.mReservations && state.mOptions.mPreemption) {
    consider(state.mReservationTimers);
  }
  consider(state.mDeadlines);
  consider(state.mClaimTimers);
  if (!state.mDeferredGuarantees.empty()) {
    next = std::min(next, state.mGuaranteeRetryAt);
  }
  if (state.mOptions.mCompaction && !state.mClassesByShape.empty()) {
    next = std::min(next, state.mCompactionAt);
  }
  if (!state.mCells.mUnbound.empty() || !state.mCells.mOvercommitted.empty()) {
    next = std::min(next, state.mRepackAt);
  }
  return next == base::Time::max() ? std::nullopt : std::optional(next);
}

WaitReason
Placer::Explain(base::JobId aJob, base::Time aNow) const
{
  return ExplainWait(*mImpl, aJob, aNow);
}

FragmentationReport
Placer::Fragmentation() const
{
  return MeasureFragmentation(*mImpl);
}

std::uint32_t
Placer::FreeOn(const base::WorkerId& aWorker) const
{
  const WorkerIndex worker = FindWorker(mImpl->mTopology, aWorker);
  return worker == kNoIndex ? 0 : mImpl->mFree.Get(worker);
}

base::Outcome<bool>
Placer::CheckReclaimable() const
{
  return CheckAllReclaimable(*mImpl);
}

} // namespace dogwooddrum::coordination::placement
