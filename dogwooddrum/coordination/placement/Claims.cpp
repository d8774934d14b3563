/** \file
 * Implements claims.
 */
#include "dogwooddrum/coordination/placement/Claims.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Queue.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

/** Time after the preemption grace within which the stop of the victims must
 * be reported. */
constexpr base::Duration kStopReportTime = base::Milliseconds(3000);

ClaimHandle
AllocateClaim(State& aState)
{
  if (aState.mFreeClaims.empty()) {
    aState.mClaims.emplace_back();
    return static_cast<ClaimHandle>(aState.mClaims.size() - 1);
  }
  const ClaimHandle handle = aState.mFreeClaims.back();
  aState.mFreeClaims.pop_back();
  return handle;
}

void
StopVictims(State& aState,
            const VictimPlan& aChoice,
            base::JobId aBeneficiary,
            StopKind aStopKind,
            base::Time aStopBy)
{
  for (const JobHandle handle : aChoice.mVictims) {
    auto& victim = aState.mJobs[handle];
    victim.mPhase = JobPhase::Stopping;
    if (aStopKind == StopKind::Move) {
      aState.mDecisions.emplace_back(Move{ victim.mRequest.mJob, aStopBy });
    } else {
      aState.mDecisions.emplace_back(Preempt{
        victim.mRequest.mJob, aBeneficiary, aStopBy, base::Reason::Preempted });
    }
  }
}

/** Returns the accelerators of a worker that are free or held by stopping
 * jobs, and thus available to claims. */
std::uint32_t
AvailableToClaims(const State& aState, WorkerIndex aWorker)
{
  const auto& worker = aState.mTopology.mWorkers[aWorker];
  std::uint32_t taken = worker.mHeld;
  for (const JobHandle handle : worker.mJobs) {
    const auto& job = aState.mJobs[handle];
    if (job.mPhase == JobPhase::Stopping) {
      taken -= job.mRequest.mShape.mAcceleratorsPerTask;
    }
  }
  const std::uint32_t total = UsableTotal(worker);
  return total > taken ? total - taken : 0;
}

/** Returns the accelerators of a worker that claims ask for, earmarked or
 * not. */
std::uint32_t
ClaimedOn(const State& aState, WorkerIndex aWorker)
{
  std::uint32_t sum = 0;
  for (const ClaimHandle handle : aState.mTopology.mWorkers[aWorker].mClaims) {
    for (const auto& part : aState.mClaims[handle].mParts) {
      sum += part.mWorker == aWorker ? part.mAmount : 0;
    }
  }
  return sum;
}

/** Cancels borrowed claims, the latest first, until the claims on the worker
 * fit. A new claim inside a guarantee can displace them. */
void
DisplaceBorrowedClaims(State& aState, WorkerIndex aWorker)
{
  while (ClaimedOn(aState, aWorker) > AvailableToClaims(aState, aWorker)) {
    const auto& claims = aState.mTopology.mWorkers[aWorker].mClaims;
    const auto it =
      std::find_if(claims.rbegin(), claims.rend(), [&](ClaimHandle aEach) {
        return !aState.mClaims[aEach].mCovered;
      });
    if (it == claims.rend()) {
      return;
    }
    CancelClaim(aState, *it);
  }
}

void
EraseClaim(State& aState, ClaimHandle aClaim)
{
  auto& claim = aState.mClaims[aClaim];
  for (const auto& part : claim.mParts) {
    auto& worker = aState.mTopology.mWorkers[part.mWorker];
    worker.mEarmarked -= part.mEarmarked;
    auto& claims = worker.mClaims;
    claims.erase(std::find(claims.begin(), claims.end(), aClaim));
    RefreshWorker(aState, part.mWorker);
  }
  aState.mReadyClaims.erase(aClaim);
  aState.mClaimTimers.erase({ claim.mExpires, aClaim });
  claim = Claim{};
  aState.mFreeClaims.push_back(aClaim);
}

void
AddClaimToWorkers(State& aState, ClaimHandle aClaim)
{
  const bool covered = aState.mClaims[aClaim].mCovered;
  for (const auto& part : aState.mClaims[aClaim].mParts) {
    auto& claims = aState.mTopology.mWorkers[part.mWorker].mClaims;
    // Claims inside guarantees are served first.
    claims.insert(covered ? claims.begin() : claims.end(), aClaim);
  }
}

} // namespace

void
MakeClaim(State& aState,
          JobHandle aJob,
          const VictimPlan& aChoice,
          bool aCovered,
          StopKind aStopKind,
          base::Time aNow)
{
  auto& job = aState.mJobs[aJob];
  Dequeue(aState, aJob);
  job.mPhase = JobPhase::Claimed;
  job.mKind = aCovered ? HoldKind::Covered : HoldKind::Borrowed;
  if (aCovered) {
    AllocateShares(aState, aJob, aChoice.mPlan);
  }
  const base::Time stopBy = aNow + aState.mOptions.mPreemptionGrace;
  const ClaimHandle handle = AllocateClaim(aState);
  auto& claim = aState.mClaims[handle];
  claim = Claim{};
  claim.mJob = aJob;
  claim.mCovered = aCovered;
  claim.mLive = true;
  claim.mPlan = aChoice.mPlan;
  claim.mExpires = stopBy + kStopReportTime;
  for (const auto& part : aChoice.mPlan) {
    const std::uint32_t amount =
      part.mTasks * job.mRequest.mShape.mAcceleratorsPerTask;
    claim.mParts.push_back({ part.mWorker, amount, 0 });
    claim.mOutstanding += amount;
  }
  job.mClaim = handle;
  aState.mClaimTimers.emplace(claim.mExpires, handle);
  AddClaimToWorkers(aState, handle);
  StopVictims(aState, aChoice, job.mRequest.mJob, aStopKind, stopBy);
  for (const auto& part : aChoice.mPlan) {
    DisplaceBorrowedClaims(aState, part.mWorker);
    EarmarkForClaims(aState, part.mWorker);
  }
}

void
EarmarkForClaims(State& aState, WorkerIndex aWorker)
{
  auto& worker = aState.mTopology.mWorkers[aWorker];
  if (worker.mClaims.empty()) {
    return;
  }
  const std::uint32_t total = UsableTotal(worker);
  const std::uint32_t taken = worker.mHeld + worker.mEarmarked;
  std::uint32_t available = total > taken ? total - taken : 0;
  for (const ClaimHandle handle : worker.mClaims) {
    auto& claim = aState.mClaims[handle];
    for (auto& part : claim.mParts) {
      if (part.mWorker != aWorker) {
        continue;
      }
      const std::uint32_t earmarked =
        std::min(available, part.mAmount - part.mEarmarked);
      part.mEarmarked += earmarked;
      claim.mOutstanding -= earmarked;
      worker.mEarmarked += earmarked;
      available -= earmarked;
    }
    if (claim.mOutstanding == 0) {
      aState.mReadyClaims.insert(handle);
    }
  }
  RefreshWorker(aState, aWorker);
}

void
CancelClaim(State& aState, ClaimHandle aClaim)
{
  const JobHandle job = aState.mClaims[aClaim].mJob;
  const std::vector<ClaimPart> parts = aState.mClaims[aClaim].mParts;
  EraseClaim(aState, aClaim);
  aState.mJobs[job].mClaim = kNoIndex;
  ReleaseShares(aState, job);
  Enqueue(aState, job);
  for (const auto& part : parts) {
    EarmarkForClaims(aState, part.mWorker);
  }
}

void
StartReadyClaims(State& aState, base::Time aNow)
{
  while (!aState.mReadyClaims.empty()) {
    const ClaimHandle handle = *aState.mReadyClaims.begin();
    const JobHandle jobHandle = aState.mClaims[handle].mJob;
    const Plan plan = aState.mClaims[handle].mPlan;
    const bool covered = aState.mClaims[handle].mCovered;
    EraseClaim(aState, handle);
    auto& job = aState.mJobs[jobHandle];
    job.mClaim = kNoIndex;
    HoldPlan(aState, jobHandle, plan, aNow);
    if (!covered) {
      job.mProtectedUntil = aNow + aState.mOptions.mReservationAge;
    }
    aState.mDecisions.emplace_back(
      Start{ job.mRequest.mJob, PlacementsOf(aState, job), !covered });
  }
}

void
ExpireClaims(State& aState, base::Time aNow)
{
  while (!aState.mClaimTimers.empty() &&
         aState.mClaimTimers.begin()->first <= aNow) {
    CancelClaim(aState, aState.mClaimTimers.begin()->second);
  }
}

} // namespace dogwooddrum::coordination::placement
