#include "dogwooddrum/coordination/admission/AccountLimits.h"

namespace dogwooddrum::coordination::admission {

AccountLimits::AccountLimits(const protocol::ClientAccount& aAccount)
  : mPerSecond(aAccount.mRequestsPerSecond)
  , mConcurrent(aAccount.mConcurrentRequests)
  , mRateLimiter(aAccount.mRequestsPerSecond)
{
}

bool
AccountLimits::Matches(const protocol::ClientAccount& aAccount) const
{
  return mPerSecond == aAccount.mRequestsPerSecond &&
         mConcurrent == aAccount.mConcurrentRequests;
}

std::optional<base::Duration>
AccountLimits::TryTakeToken(base::Time aNow)
{
  return mRateLimiter.TryTake(aNow);
}

bool
AccountLimits::TryAcquireSlot()
{
  std::uint32_t inProgress = mInProgress.load(std::memory_order_relaxed);
  while (inProgress < mConcurrent) {
    if (mInProgress.compare_exchange_weak(
          inProgress, inProgress + 1, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

void
AccountLimits::ReleaseSlot()
{
  mInProgress.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace dogwooddrum::coordination::admission
