// Guards against retry storms, retries without backoff, and retries of a job
// that may have run and is not repeatable.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Reason;
using protocol::JobState;

namespace {

/** Makes every start fail at its target. */
void
FailEveryStart(World& aWorld, bool aDispatched)
{
  aWorld.mOnStart = [&aWorld, aDispatched](AgentHost& aHost,
                                           const agent::StartTask& aStart) {
    aHost.mAgent->OnTaskFailed(aStart.mKey,
                               aDispatched ? Reason::TargetFailed
                                           : Reason::TargetUnreachable,
                               aDispatched,
                               "target refused",
                               aWorld.Now());
    return true;
  };
}

WorldOptions
WithoutQuarantine()
{
  WorldOptions options;
  options.mControl.mPlacer.mQuarantine = false;
  return options;
}

} // namespace

TEST(RetryLimits, ProfileBudgetEndsAFailingJob)
{
  World world(WithoutQuarantine());
  world.Boot();
  FailEveryStart(world, true);
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mReason, Reason::RetryBudgetExhausted);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
  EXPECT_EQ(world.Starts(job), 3U) << "the first attempt and two retries";
  EXPECT_NE(view.mMessage.find("target refused"), std::string::npos);
}

TEST(RetryLimits, NonRepeatableJobFailsAtOnce)
{
  World world(WithoutQuarantine());
  world.Boot();
  FailEveryStart(world, true);
  auto spec = SmallJob("a");
  spec.mRepeatable = false;
  const base::JobId job = world.Submit(spec);
  EXPECT_EQ(world.AwaitEnd(job).mReason, Reason::TargetFailed);
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(RetryLimits, StartThatDidNotReachItsTargetIsRetriedWithBackoff)
{
  World world(WithoutQuarantine());
  world.Boot();
  FailEveryStart(world, false);
  auto spec = SmallJob("a");
  spec.mRepeatable = false;
  const base::JobId job = world.Submit(spec);
  world.Run(base::Milliseconds(10000));
  // Full jitter may draw short waits, but they double on average.
  EXPECT_GE(world.Starts(job), 2U);
  EXPECT_LE(world.Starts(job), 30U);
  world.mOnStart = nullptr;
  EXPECT_EQ(world.AwaitEnd(job, base::Milliseconds(120000)).mState,
            JobState::Finished);
}

TEST(RetryLimits, OverallBudgetBoundsRetriesToATenthOfRequests)
{
  auto options = WithoutQuarantine();
  options.mWorkers = 10;
  World world(options);
  world.Boot();
  FailEveryStart(world, true);
  for (int i = 0; i < 500; ++i) {
    world.Send(protocol::SubmitRequest{ SmallJob("a" + std::to_string(i)) });
  }
  const base::Time begin = world.Now();
  world.Run(base::Milliseconds(10000));
  const auto seconds = base::ToMilliseconds(world.Now() - begin) / 1000;
  // 500 first attempts, a tenth of that as retries, and one retry each second.
  EXPECT_GE(world.mExecutions.size(), 500U);
  EXPECT_LE(world.mExecutions.size(),
            500U + 50U + static_cast<std::size_t>(seconds) + 10U);
}

TEST(RetryLimits, FailingWorkerIsQuarantinedAndJobsRunElsewhere)
{
  World world;
  world.Boot();
  world.mOnStart = [&](AgentHost& aHost, const agent::StartTask& aStart) {
    if (aHost.mWorker != "w0") {
      return false;
    }
    aHost.mAgent->OnTaskFailed(
      aStart.mKey, Reason::TargetFailed, true, "broken", world.Now());
    return true;
  };
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(world.Submit(SmallJob("a" + std::to_string(i))));
  }
  for (const base::JobId job : jobs) {
    EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  }
  bool quarantined = false;
  for (const auto& notice : world.mNotices) {
    quarantined |= notice.mKind == control::Notice::Kind::WorkerQuarantined;
  }
  EXPECT_TRUE(quarantined);
}

} // namespace dogwooddrum::tests
