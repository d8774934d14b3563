/** \file
 * Implements the explanation of why a job waits.
 */
#include "dogwooddrum/coordination/placement/Explain.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Fairness.h"
#include "dogwooddrum/coordination/placement/Queue.h"

namespace dogwooddrum::coordination::placement {

namespace {

/** Describes why a job that may run on borrowed accelerators waits. */
std::string
DescribeBorrowedWait(State& aState, const JobEntry& aJob, base::Time aNow)
{
  const auto& shape = aJob.mRequest.mShape;
  if (aJob.mClass != kNoIndex && !MayBorrow(aState, aJob.mClass)) {
    return "the interactive share of borrowed accelerators is used up";
  }
  std::string text = Fits(aState.mFree, shape)
                       ? "other jobs go first"
                       : "no place for shape " + ShapeText(shape) + "; " +
                           std::to_string(aState.mFree.Sum()) +
                           " accelerators are free";
  const base::Time reserveAt = ReservationTimeOf(aState, aJob);
  if (aState.mOptions.mReservations) {
    text += reserveAt > aNow
              ? "; may stop borrowed work in " +
                  std::to_string(base::ToMilliseconds(reserveAt - aNow)) + " ms"
              : "; may stop borrowed work, none of it forms the shape yet";
  }
  return text;
}

} // namespace

WaitReason
ExplainWait(State& aState, base::JobId aJob, base::Time aNow)
{
  const auto* job = FindJob(aState, aJob);
  if (job == nullptr) {
    return { base::Reason::UnknownJob,
             "job " + std::to_string(aJob.Value()) + " is not known" };
  }
  if (job->mPhase == JobPhase::Held || job->mPhase == JobPhase::Stopping) {
    return { base::Reason::None,
             job->mKind == HoldKind::Borrowed ? "runs on borrowed accelerators"
                                              : "runs inside its guarantee" };
  }
  if (job->mPhase == JobPhase::Claimed) {
    return { base::Reason::None, "waits for stopped jobs to leave" };
  }
  if (RequiresGuarantee(*job)) {
    const auto& cells = aState.mCells.mAccounts[job->mAccount];
    return { base::Reason::None,
             "must run inside the guarantee of account " +
               job->mRequest.mAccount.Value() + ", of which " +
               std::to_string(cells.mUsed) + " of " +
               std::to_string(cells.mSize) + " accelerators are in use" };
  }
  return { base::Reason::None, DescribeBorrowedWait(aState, *job, aNow) };
}

} // namespace dogwooddrum::coordination::placement
