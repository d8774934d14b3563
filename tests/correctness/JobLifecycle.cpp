// Guards against jobs that are accepted and do not run, answers that differ
// from what the target returned, and status reports without the jobs that hold
// accelerators.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace dogwooddrum::tests {

using protocol::JobState;

TEST(JobLifecycle, SmallJobRunsOnceAndItsAnswerIsStored)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
  EXPECT_EQ(simulation.FetchAnswer(job), "answer0");
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(JobLifecycle, SubmitAndStartShareOneCommit)
{
  JobSimulation simulation;
  simulation.Boot();
  const std::size_t before = simulation.mLog.size();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  EXPECT_EQ(simulation.mLog.size(), before + 1);
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 1; }));
}

TEST(JobLifecycle, WaitingPollIsAnsweredAtTheEnd)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto poll = simulation.Send(protocol::PollRequest{ job, 10000 });
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.ReplyTo(poll) != nullptr; },
                        base::Milliseconds(500)));
  EXPECT_EQ(std::get<protocol::JobView>(*simulation.ReplyTo(poll)).mState,
            JobState::Finished);
}

TEST(JobLifecycle, WaitingPollReturnsThePresentViewWhenItsTimeIsUp)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto poll = simulation.Send(protocol::PollRequest{ job, 200 });
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.ReplyTo(poll) != nullptr; },
                        base::Milliseconds(300)));
  EXPECT_EQ(std::get<protocol::JobView>(*simulation.ReplyTo(poll)).mState,
            JobState::Running);
}

TEST(JobLifecycle, GangRunsOnAllItsWorkersAndAnswersInTaskOrder)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeGang("g", 4, 4));
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.FetchAnswer(job), "answer0answer1answer2answer3");
  EXPECT_EQ(simulation.StartCount(job), 4U);
}

TEST(JobLifecycle, QueuedJobsRunWhenAcceleratorsAreFree)
{
  JobSimulation simulation;
  simulation.Boot();
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(simulation.Submit(MakeGang("g" + std::to_string(i), 2, 8)));
  }
  for (const base::JobId job : jobs) {
    EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
    EXPECT_EQ(simulation.StartCount(job), 2U);
  }
}

TEST(JobLifecycle, StatusNamesHoldersAndExplainsWaiting)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId first = simulation.Submit(MakeGang("first", 2, 8));
  const base::JobId second = simulation.Submit(MakeGang("second", 2, 8));
  simulation.Run(base::Milliseconds(100));
  const auto status =
    nlohmann::json::parse(std::get<protocol::Report>(
                            simulation.SendAndWait(protocol::StatusRequest{}))
                            .mJson);
  ASSERT_EQ(status["workers"].size(), 2U);
  EXPECT_EQ(status["workers"][0]["holders"][0]["job"], first.Value());
  EXPECT_EQ(status["workers"][0]["holders"][0]["account"], "yard");
  EXPECT_EQ(status["queue"]["count"], 1);
  const auto explain = nlohmann::json::parse(
    std::get<protocol::Report>(
      simulation.SendAndWait(protocol::ExplainRequest{ second }))
      .mJson);
  EXPECT_EQ(explain["state"], "queued");
  EXPECT_FALSE(explain["wait"]["message"].get<std::string>().empty());
}

} // namespace dogwooddrum::tests
