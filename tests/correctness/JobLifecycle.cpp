// Guards against jobs that are accepted and do not run, answers that differ
// from what the target returned, and status reports without the jobs that hold
// accelerators.
#include "tests/support/World.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace dogwooddrum::tests {

using protocol::JobState;

TEST(JobLifecycle, SmallJobRunsOnceAndItsAnswerIsStored)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
  EXPECT_EQ(world.Answer(job), "answer0");
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(JobLifecycle, SubmitAndStartShareOneCommit)
{
  World world;
  world.Boot();
  const std::size_t before = world.mLog.size();
  const base::JobId job = world.Submit(SmallJob("a"));
  EXPECT_EQ(world.mLog.size(), before + 1);
  EXPECT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 1; }));
}

TEST(JobLifecycle, WaitingPollIsAnsweredAtTheEnd)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto poll = world.Send(protocol::PollRequest{ job, 10000 });
  ASSERT_TRUE(world.RunUntil([&] { return world.ReplyTo(poll) != nullptr; },
                             base::Milliseconds(500)));
  EXPECT_EQ(std::get<protocol::JobView>(*world.ReplyTo(poll)).mState,
            JobState::Finished);
}

TEST(JobLifecycle, WaitingPollReturnsThePresentViewWhenItsTimeIsUp)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto poll = world.Send(protocol::PollRequest{ job, 200 });
  ASSERT_TRUE(world.RunUntil([&] { return world.ReplyTo(poll) != nullptr; },
                             base::Milliseconds(300)));
  EXPECT_EQ(std::get<protocol::JobView>(*world.ReplyTo(poll)).mState,
            JobState::Running);
}

TEST(JobLifecycle, GangRunsOnAllItsWorkersAndAnswersInTaskOrder)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(Gang("g", 4, 4));
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Answer(job), "answer0answer1answer2answer3");
  EXPECT_EQ(world.Starts(job), 4U);
}

TEST(JobLifecycle, QueuedJobsRunWhenAcceleratorsAreFree)
{
  World world;
  world.Boot();
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(world.Submit(Gang("g" + std::to_string(i), 2, 8)));
  }
  for (const base::JobId job : jobs) {
    EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
    EXPECT_EQ(world.Starts(job), 2U);
  }
}

TEST(JobLifecycle, StatusNamesHoldersAndExplainsWaiting)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId first = world.Submit(Gang("first", 2, 8));
  const base::JobId second = world.Submit(Gang("second", 2, 8));
  world.Run(base::Milliseconds(100));
  const auto status = nlohmann::json::parse(
    std::get<protocol::Report>(world.Ask(protocol::StatusRequest{})).mJson);
  ASSERT_EQ(status["workers"].size(), 2U);
  EXPECT_EQ(status["workers"][0]["holders"][0]["job"], first.Value());
  EXPECT_EQ(status["workers"][0]["holders"][0]["account"], "yard");
  EXPECT_EQ(status["queue"]["count"], 1);
  const auto explain = nlohmann::json::parse(
    std::get<protocol::Report>(world.Ask(protocol::ExplainRequest{ second }))
      .mJson);
  EXPECT_EQ(explain["state"], "queued");
  EXPECT_FALSE(explain["wait"]["message"].get<std::string>().empty());
}

} // namespace dogwooddrum::tests
