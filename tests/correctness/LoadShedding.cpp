// Guards against a full queue that blocks urgent requests behind requests of
// lower priority, and against retries that amplify an overload.
#include "dogwooddrum/coordination/admission/WaitQueue.h"
#include "dogwooddrum/coordination/retry/Backoff.h"
#include "dogwooddrum/coordination/retry/RetryBudget.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::admission {

namespace {

WaitingRequest
MakeRequest(std::uint64_t aId, std::int32_t aPriority)
{
  WaitingRequest request;
  request.mRequest = base::RequestId(aId);
  request.mPriority = aPriority;
  return request;
}

} // namespace

TEST(LoadShedding, FullQueueShedsTheNewestOfTheLowestPriority)
{
  WaitQueue queue(2);
  EXPECT_FALSE(queue.Push(MakeRequest(1, 0)));
  EXPECT_FALSE(queue.Push(MakeRequest(2, 0)));
  const auto full = queue.Push(MakeRequest(3, 0));
  ASSERT_TRUE(full);
  EXPECT_EQ(full->mRequest, base::RequestId(3));
  EXPECT_EQ(full->mReason, base::Reason::QueueFull);
  const auto shed = queue.Push(MakeRequest(4, 5));
  ASSERT_TRUE(shed);
  EXPECT_EQ(shed->mRequest, base::RequestId(2));
  EXPECT_EQ(shed->mReason, base::Reason::LoadShed);
  EXPECT_EQ(queue.Pop()->mRequest, base::RequestId(4));
  EXPECT_EQ(queue.Pop()->mRequest, base::RequestId(1));
  EXPECT_FALSE(queue.Pop());
}

TEST(LoadShedding, ExpiredRequestsAreRemovedWithDeadlinePassed)
{
  WaitQueue queue(10);
  const base::Time now{ base::Milliseconds(50) };
  auto late = MakeRequest(1, 0);
  late.mDeadline = now;
  queue.Push(late);
  queue.Push(MakeRequest(2, 0));
  const auto shed = queue.Expire(now);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].mReason, base::Reason::DeadlinePassed);
  EXPECT_EQ(queue.Size(), 1U);
  EXPECT_TRUE(queue.Remove(base::RequestId(2)));
  EXPECT_EQ(queue.Size(), 0U);
}

TEST(LoadShedding, RetriesStayWithinTheirPercentageOfAttempts)
{
  retry::RetryBudget budget(10, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnAttempt();
    retries += budget.TryRetry() ? 1 : 0;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 105);
}

TEST(LoadShedding, BackoffDoublesUpToItsMaximumBound)
{
  const retry::BackoffOptions options;
  EXPECT_EQ(retry::BackoffDelay(options, 1, 0.5), base::Milliseconds(50));
  EXPECT_EQ(retry::BackoffDelay(options, 3, 0.5), base::Milliseconds(200));
  EXPECT_EQ(retry::BackoffDelay(options, 4000000000U, 0.5),
            base::Milliseconds(5000));
}

} // namespace dogwooddrum::coordination::admission
