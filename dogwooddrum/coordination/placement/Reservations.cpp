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

/** Attempts in one decision; each looks at kVictimCandidates nodes. */
constexpr std::size_t kAttemptsPerDecision = 1;
constexpr base::Duration kRetry = base::Milliseconds(1000);

bool
Reserve(State& aState, JobHandle aJob, base::Time aNow)
{
  VictimRequest request;
  request.mJob = aJob;
  request.mNow = aNow;
  const GangNeed need = MakeGangNeed(aState, aState.mJobs[aJob]);
  std::optional<VictimPlan> best;
  for (const auto& node : FindDomains(
         aState.mReclaim, need, VictimNodes(need.mShape), kVictimWorkers)) {
    auto choice = ChooseVictims(aState, node, request);
    if (choice && (!best || choice->mCost < best->mCost)) {
      best = std::move(choice);
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
  for (std::size_t k = 0; k < kAttemptsPerDecision; ++k) {
    if (aState.mTimers.empty() || aState.mTimers.begin()->first > aNow) {
      return;
    }
    const ClassIndex index = aState.mTimers.begin()->second;
    const JobHandle head = DueOf(aState, index);
    if (TryGuaranteed(aState, head, aNow)) {
      continue;
    }
    if (MayBorrow(aState, index) && Reserve(aState, head, aNow)) {
      continue;
    }
    aState.mClasses[index].mRetryAt = aNow + kRetry;
    SetClassTimer(aState, index);
  }
}

} // namespace dogwooddrum::coordination::placement
