#include "dogwooddrum/coordination/retry/RetryBudget.h"

#include <algorithm>

namespace dogwooddrum::coordination::retry {

RetryBudget::RetryBudget(std::uint32_t aPercent, std::uint32_t aBurst)
  : mCreditPerAttempt(aPercent)
  , mMaxCredit(aBurst * kCreditPerRetry)
  , mCredit(mMaxCredit)
{
}

void
RetryBudget::OnAttempt()
{
  std::int64_t credit = mCredit.load(std::memory_order_relaxed);
  while (credit < mMaxCredit &&
         !mCredit.compare_exchange_weak(
           credit,
           std::min(credit + mCreditPerAttempt, mMaxCredit),
           std::memory_order_relaxed)) {
  }
}

bool
RetryBudget::TryRetry()
{
  std::int64_t credit = mCredit.load(std::memory_order_relaxed);
  while (credit >= kCreditPerRetry) {
    if (mCredit.compare_exchange_weak(
          credit, credit - kCreditPerRetry, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

} // namespace dogwooddrum::coordination::retry
