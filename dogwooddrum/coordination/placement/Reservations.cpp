/** \file
 * Implements reservations.
 */
#include "dogwooddrum/coordination/placement/Reservations.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Claims.h"
#include "dogwooddrum/coordination/placement/Fairness.h"
#include "dogwooddrum/coordination/placement/Queue.h"
#include "dogwooddrum/coordination/placement/Starts.h"

#include <algorithm>
#include <chrono>

namespace dogwooddrum::coordination::placement {

namespace {

/** Maximum attempts in one call of Placer::Decide; each examines up to
 * kMaxVictimDomains domains. */
constexpr std::size_t kMaxAttemptsPerDecision = 1;
/** Time between a failed attempt for a class and the next one. */
constexpr base::Duration kRetryInterval = base::Milliseconds(1000);

bool
TryReserve(State& aState, JobHandle aJob, base::Time aNow)
{
  VictimRequest request;
  request.mJob = aJob;
  request.mNow = aNow;
  const GangNeed need = MakeGangNeed(aState, aState.mJobs[aJob]);
  std::optional<VictimPlan> best;
  for (const auto& domain : FindDomains(aState.mReclaimable,
                                        need,
                                        MaxVictimDomains(need.mShape),
                                        kMaxVictimWorkers)) {
    auto plan = ChooseVictims(aState, domain, request);
    if (plan && (!best || plan->mCost < best->mCost)) {
      best = std::move(plan);
    }
  }
  if (!best) {
    return false;
  }
  MakeClaim(aState, aJob, *best, false, StopKind::Preempt, aNow);
  return true;
}

} // namespace

void
RunReservations(State& aState, base::Time aNow)
{
  if (!aState.mOptions.mReservations || !aState.mOptions.mPreemption) {
    return;
  }
  for (std::size_t k = 0; k < kMaxAttemptsPerDecision; ++k) {
    if (aState.mReservationTimers.empty() ||
        aState.mReservationTimers.begin()->first > aNow) {
      return;
    }
    const ClassIndex index = aState.mReservationTimers.begin()->second;
    const JobHandle job = FindDueJob(aState, index);
    if (TryStartGuaranteed(aState, job, aNow)) {
      continue;
    }
    if (MayBorrow(aState, index) && TryReserve(aState, job, aNow)) {
      continue;
    }
    aState.mClasses[index].mReserveRetryAt = aNow + kRetryInterval;
    SetClassTimer(aState, index);
  }
}

} // namespace dogwooddrum::coordination::placement
