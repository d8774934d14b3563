// Guards against accounts that exceed their limits, limits that are lost or
// leaked on a configuration change, and work admitted under a configuration
// that may be out of date.
#include "dogwooddrum/coordination/admission/Admission.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace dogwooddrum::coordination::admission {

namespace {

const base::Time kNow{ base::Milliseconds(1000000) };

protocol::Configuration
MakeConfiguration(std::uint32_t aPerSecond, std::uint32_t aConcurrent)
{
  protocol::Configuration configuration;
  protocol::ClientAccount account;
  account.mName = base::AccountId("yard");
  account.mRequestsPerSecond = aPerSecond;
  account.mConcurrentRequests = aConcurrent;
  configuration.mAccounts.push_back(account);
  protocol::Profile profile;
  profile.mName = base::ProfileId("batch");
  configuration.mProfiles.push_back(profile);
  return configuration;
}

protocol::JobSpec
MakeSpec()
{
  protocol::JobSpec spec;
  spec.mAccount = base::AccountId("yard");
  spec.mProfile = base::ProfileId("batch");
  spec.mKey = base::IdempotencyKey("k");
  return spec;
}

void
ConfirmConfiguration(Admission& aAdmission)
{
  aAdmission.SetFreshUntil(kNow + base::Milliseconds(3000));
}

} // namespace

TEST(AdmissionLimits, TicketReleasesItsConcurrencySlot)
{
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(100, 1));
  ConfirmConfiguration(admission);
  {
    const auto first = admission.Admit(MakeSpec(), kNow);
    ASSERT_TRUE(first.mTicket);
    const auto second = admission.Admit(MakeSpec(), kNow);
    EXPECT_EQ(second.mRefused.mFailure.mReason,
              base::Reason::ConcurrencyLimited);
  }
  EXPECT_TRUE(admission.Admit(MakeSpec(), kNow).mTicket);
}

TEST(AdmissionLimits, RateRefillsAndRefusalReturnsTheWait)
{
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(2, 100));
  ConfirmConfiguration(admission);
  EXPECT_TRUE(admission.Admit(MakeSpec(), kNow).mTicket);
  EXPECT_TRUE(admission.Admit(MakeSpec(), kNow).mTicket);
  const auto refused = admission.Admit(MakeSpec(), kNow);
  EXPECT_EQ(refused.mRefused.mFailure.mReason, base::Reason::RateLimited);
  EXPECT_EQ(refused.mRefused.mRetryAfter, base::Milliseconds(500));
  EXPECT_TRUE(
    admission.Admit(MakeSpec(), kNow + refused.mRefused.mRetryAfter).mTicket);
}

TEST(AdmissionLimits, UnchangedLimitsKeepStateOnConfigurationChange)
{
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(1, 100));
  ConfirmConfiguration(admission);
  EXPECT_TRUE(admission.Admit(MakeSpec(), kNow).mTicket);
  admission.SetConfiguration(MakeConfiguration(1, 100));
  EXPECT_FALSE(admission.Admit(MakeSpec(), kNow).mTicket);
}

TEST(AdmissionLimits, TicketCanOutliveItsAccount)
{
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(100, 1));
  ConfirmConfiguration(admission);
  const auto admitted = admission.Admit(MakeSpec(), kNow);
  admission.SetConfiguration({});
  EXPECT_EQ(admission.Admit(MakeSpec(), kNow).mRefused.mFailure.mReason,
            base::Reason::UnknownAccount);
}

TEST(AdmissionLimits, StaleConfigurationAdmitsNothing)
{
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(100, 100));
  EXPECT_EQ(admission.Admit(MakeSpec(), kNow).mRefused.mFailure.mReason,
            base::Reason::ConfigurationStale);
  ConfirmConfiguration(admission);
  EXPECT_TRUE(admission.Admit(MakeSpec(), kNow).mTicket);
  EXPECT_EQ(admission.Admit(MakeSpec(), kNow + base::Milliseconds(3000))
              .mRefused.mFailure.mReason,
            base::Reason::ConfigurationStale);
}

TEST(AdmissionLimits, LimitHoldsWhileThreadsAdmitAndTheTableIsReplaced)
{
  constexpr std::uint32_t kConcurrent = 3;
  constexpr int kThreads = 4;
  constexpr int kRequests = 2000;
  Admission admission;
  admission.SetConfiguration(MakeConfiguration(1000000, kConcurrent));
  ConfirmConfiguration(admission);
  std::atomic<std::uint32_t> inProgress{ 0 };
  std::atomic<std::uint32_t> highest{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < kRequests; ++n) {
        const auto admitted = admission.Admit(MakeSpec(), kNow);
        if (admitted.mTicket) {
          const auto now = inProgress.fetch_add(1) + 1;
          auto seen = highest.load();
          while (seen < now && !highest.compare_exchange_weak(seen, now)) {
          }
          inProgress.fetch_sub(1);
        }
      }
    });
  }
  for (int i = 0; i < 50; ++i) {
    admission.SetConfiguration(MakeConfiguration(1000000, kConcurrent));
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_LE(highest.load(), kConcurrent);
}

} // namespace dogwooddrum::coordination::admission
