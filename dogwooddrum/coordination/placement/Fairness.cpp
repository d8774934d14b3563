/** \file
 * Implements the order of job classes and the limits on borrowed accelerators.
 */
#include "dogwooddrum/coordination/placement/Fairness.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dogwooddrum::coordination::placement {

namespace {

/** Half-life of a demand peak. */
constexpr double kPeakHalfLifeSeconds = 600;

double
DecayedPeakAt(const DecayedPeak& aPeak, base::Time aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aPeak.mAt).count();
  return aPeak.mValue *
         std::exp2(-std::max(seconds, 0.0) / kPeakHalfLifeSeconds);
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

} // namespace

ClassOrder
OrderOf(const State& aState, ClassIndex aClass, base::Time aNow)
{
  const auto& entry = aState.mClasses[aClass];
  const auto& head = aState.mJobs[FirstJobOf(aState, aClass)];
  // The submission time bounds the wait, so that a job that was stopped does
  // not lose its place.
  const base::Time reserveAt =
    std::min(ReservationTimeOf(aState, head),
             head.mRequest.mSubmitted + entry.mRules.mReservationAge);
  const bool aged = aState.mOptions.mReservations && reserveAt <= aNow;
  const std::uint64_t borrowed =
    aState.mOptions.mFairness ? aState.mAccounts[entry.mAccount].mBorrowed : 0;
  return { aged ? 0 : 1,
           aged ? reserveAt : base::Time{},
           -std::int64_t{ entry.mRules.mPriority },
           borrowed,
           TotalAccelerators(entry.mShape),
           head.mRequest.mSubmitted,
           aClass };
}

bool
MayBorrow(const State& aState, ClassIndex aClass)
{
  const auto& entry = aState.mClasses[aClass];
  if (!entry.mRules.mPreemptible || !entry.mRepeatable) {
    return false;
  }
  if (!entry.mRules.mInteractive || !aState.mOptions.mFairness) {
    return true;
  }
  const double limit = aState.mOptions.mInteractiveBorrowShare *
                       static_cast<double>(aState.mReclaimable.Sum());
  const auto wanted = static_cast<double>(aState.mInteractiveBorrowed +
                                          TotalAccelerators(entry.mShape));
  return wanted <= limit || aState.mBatchClassCount == 0;
}

bool
IsProtected(const JobEntry& aJob)
{
  return RequiresGuarantee(aJob) || aJob.mRules.mInteractive;
}

void
UpdateProtectedDemand(State& aState,
                      const JobEntry& aJob,
                      bool aAdd,
                      base::Time aNow)
{
  if (!IsProtected(aJob)) {
    return;
  }
  auto& account = aState.mAccounts[aJob.mAccount];
  const std::uint32_t amount = TotalAccelerators(aJob.mRequest.mShape);
  account.mProtectedDemand = aAdd ? account.mProtectedDemand + amount
                                  : account.mProtectedDemand - amount;
  const double peak = DecayedPeakAt(account.mProtectedDemandPeak, aNow);
  const auto demand = static_cast<double>(account.mProtectedDemand);
  account.mProtectedDemandPeak = { std::max(peak, demand), aNow };
}

std::uint64_t
HeadroomOf(const State& aState, AccountIndex aAccount, base::Time aNow)
{
  const auto& account = aState.mAccounts[aAccount];
  const double peak = DecayedPeakAt(account.mProtectedDemandPeak, aNow);
  const auto demand = static_cast<double>(account.mProtectedDemand);
  return peak > demand ? static_cast<std::uint64_t>(std::ceil(peak - demand))
                       : 0;
}

void
ChangeRules(State& aState,
            JobEntry& aJob,
            const ProfileRules& aRules,
            bool aHeld)
{
  const bool borrowed = aHeld && aJob.mKind == HoldKind::Borrowed;
  const std::uint32_t held = borrowed ? SumHeld(aJob) : 0;
  const base::Time at =
    aState.mAccounts[aJob.mAccount].mProtectedDemandPeak.mAt;
  if (aJob.mRules.mInteractive) {
    aState.mInteractiveBorrowed -= held;
  }
  UpdateProtectedDemand(aState, aJob, false, at);
  aJob.mRules = aRules;
  UpdateProtectedDemand(aState, aJob, true, at);
  if (aJob.mRules.mInteractive) {
    aState.mInteractiveBorrowed += held;
  }
}

} // namespace dogwooddrum::coordination::placement
