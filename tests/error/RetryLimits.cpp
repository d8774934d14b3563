// Guards against retry storms, retries without backoff, and retries of a job
// that may have run and is not repeatable.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Reason;
using protocol::JobState;

namespace {

/** Makes every start fail at its target. */
void
FailEveryStart(JobSimulation& aSimulation, bool aDispatched)
{
  aSimulation.mOnStart = [&aSimulation,
                          aDispatched](SimulatedAgent& aHost,
                                       const agent::StartTask& aStart) {
    aHost.mAgent->OnTaskFailed(aStart.mKey,
                               aDispatched ? Reason::TargetFailed
                                           : Reason::TargetUnreachable,
                               aDispatched,
                               "target refused",
                               aSimulation.Now());
    return true;
  };
}

JobSimulationOptions
WithoutQuarantine()
{
  JobSimulationOptions options;
  options.mControl.mPlacer.mQuarantine = false;
  return options;
}

} // namespace

TEST(RetryLimits, ProfileBudgetEndsAFailingJob)
{
  JobSimulation simulation(WithoutQuarantine());
  simulation.Boot();
  FailEveryStart(simulation, true);
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mReason, Reason::RetryBudgetExhausted);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
  EXPECT_EQ(simulation.StartCount(job), 3U)
    << "the first attempt and two retries";
  EXPECT_NE(view.mMessage.find("target refused"), std::string::npos);
}

TEST(RetryLimits, NonRepeatableJobFailsAtOnce)
{
  JobSimulation simulation(WithoutQuarantine());
  simulation.Boot();
  FailEveryStart(simulation, true);
  auto spec = MakeSmallJob("a");
  spec.mRepeatable = false;
  const base::JobId job = simulation.Submit(spec);
  EXPECT_EQ(simulation.AwaitEnd(job).mReason, Reason::TargetFailed);
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(RetryLimits, StartThatDidNotReachItsTargetIsRetriedWithBackoff)
{
  JobSimulation simulation(WithoutQuarantine());
  simulation.Boot();
  FailEveryStart(simulation, false);
  auto spec = MakeSmallJob("a");
  spec.mRepeatable = false;
  const base::JobId job = simulation.Submit(spec);
  simulation.Run(base::Milliseconds(10000));
  // Full jitter may draw short waits, but they double on average.
  EXPECT_GE(simulation.StartCount(job), 2U);
  EXPECT_LE(simulation.StartCount(job), 30U);
  simulation.mOnStart = nullptr;
  EXPECT_EQ(simulation.AwaitEnd(job, base::Milliseconds(120000)).mState,
            JobState::Finished);
}

TEST(RetryLimits, OverallBudgetBoundsRetriesToATenthOfRequests)
{
  auto options = WithoutQuarantine();
  options.mWorkers = 10;
  JobSimulation simulation(options);
  simulation.Boot();
  FailEveryStart(simulation, true);
  for (int i = 0; i < 500; ++i) {
    simulation.Send(
      protocol::SubmitRequest{ MakeSmallJob("a" + std::to_string(i)) });
  }
  const base::Time begin = simulation.Now();
  simulation.Run(base::Milliseconds(10000));
  const auto seconds = base::ToMilliseconds(simulation.Now() - begin) / 1000;
  // 500 first attempts, a tenth of that as retries, and one retry each second.
  EXPECT_GE(simulation.mExecutions.size(), 500U);
  EXPECT_LE(simulation.mExecutions.size(),
            500U + 50U + static_cast<std::size_t>(seconds) + 10U);
}

TEST(RetryLimits, FailingWorkerIsQuarantinedAndJobsRunElsewhere)
{
  JobSimulation simulation;
  simulation.Boot();
  simulation.mOnStart = [&](SimulatedAgent& aHost,
                            const agent::StartTask& aStart) {
    if (aHost.mWorker != "w0") {
      return false;
    }
    aHost.mAgent->OnTaskFailed(
      aStart.mKey, Reason::TargetFailed, true, "broken", simulation.Now());
    return true;
  };
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(simulation.Submit(MakeSmallJob("a" + std::to_string(i))));
  }
  for (const base::JobId job : jobs) {
    EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  }
  bool quarantined = false;
  for (const auto& notice : simulation.mNotices) {
    quarantined |= notice.mKind == control::Notice::Kind::WorkerQuarantined;
  }
  EXPECT_TRUE(quarantined);
}

} // namespace dogwooddrum::tests
