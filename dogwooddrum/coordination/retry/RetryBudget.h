/** \file
 * Defines RetryBudget, which limits retries to a fraction of first attempts,
 * so that retries cannot amplify an overload.
 */
#pragma once

#include <atomic>
#include <cstdint>

namespace dogwooddrum::coordination::retry {

/**
 * Credit counter: each first attempt adds a fraction of a retry, each retry
 * takes one. Thread safe; lock-free.
 */
class RetryBudget
{
public:
  /**
   * aPercent: retries allowed per 100 first attempts. aBurst: initial and
   * maximum credit, in retries.
   */
  RetryBudget(std::uint32_t aPercent, std::uint32_t aBurst);

  /** Records a first attempt. */
  void OnAttempt();
  /** Takes the credit of one retry; returns false if there is none. */
  bool TryRetry();

private:
  /** Credit of one retry in the counter's unit. */
  static constexpr std::int64_t kCreditPerRetry = 100;

  const std::int64_t mCreditPerAttempt;
  const std::int64_t mMaxCredit;
  std::atomic<std::int64_t> mCredit;
};

} // namespace dogwooddrum::coordination::retry
