// Guards against a cancellation that is lost, whose reply contradicts the
// job's final state, or that stalls other work when thousands arrive together.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Ran;
using protocol::JobState;

namespace {

JobState
StateIn(const protocol::ClientReplyBody& aReply)
{
  const auto* view = std::get_if<protocol::JobView>(&aReply);
  EXPECT_NE(view, nullptr);
  return view != nullptr ? view->mState : JobState::Queued;
}

} // namespace

TEST(Cancellation, QueuedJobIsCancelledAsNotRun)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  world.Submit(Gang("first", 2, 8));
  const base::JobId job = world.Submit(Gang("second", 2, 8));
  EXPECT_EQ(StateIn(world.Ask(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  EXPECT_EQ(world.View(job).mRan, Ran::NotRun);
  world.Run(base::Milliseconds(20000));
  EXPECT_EQ(world.Starts(job), 0U);
}

TEST(Cancellation, RunningJobStopsAndItsAcceleratorsAreFree)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(50000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(Gang("first", 2, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 2; }));
  EXPECT_EQ(StateIn(world.Ask(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  EXPECT_EQ(world.View(job).mRan, Ran::MayHaveRun);
  EXPECT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 0; },
                             base::Milliseconds(100)));
  const base::JobId next = world.Submit(Gang("next", 2, 8));
  EXPECT_TRUE(world.RunUntil([&] { return world.RunningTasks(next) == 2; },
                             base::Milliseconds(200)));
}

TEST(Cancellation, RepeatedCancelGetsTheSameOutcome)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  const auto first = world.Send(protocol::CancelRequest{ job });
  const auto second = world.Send(protocol::CancelRequest{ job });
  world.Run(base::Milliseconds(50));
  ASSERT_NE(world.ReplyTo(first), nullptr);
  ASSERT_NE(world.ReplyTo(second), nullptr);
  EXPECT_EQ(StateIn(*world.ReplyTo(first)), JobState::Cancelled);
  EXPECT_EQ(StateIn(*world.ReplyTo(second)), JobState::Cancelled);
  EXPECT_EQ(StateIn(world.Ask(protocol::CancelRequest{ job })),
            JobState::Cancelled);
}

TEST(Cancellation, RaceWithCompletionHasOneWinner)
{
  bool cancelled = false;
  bool finished = false;
  for (int at = 30; at < 80; ++at) {
    World world;
    world.Boot();
    const base::JobId job = world.Submit(SmallJob("a"));
    world.Run(base::Milliseconds(at));
    const JobState reported =
      StateIn(world.Ask(protocol::CancelRequest{ job }));
    ASSERT_TRUE(reported == JobState::Cancelled ||
                reported == JobState::Finished);
    (reported == JobState::Cancelled ? cancelled : finished) = true;
    world.Run(base::Milliseconds(2000));
    EXPECT_EQ(world.View(job).mState, reported) << at << " ms";
    if (reported == JobState::Finished) {
      EXPECT_EQ(world.Answer(job), "answer0");
    }
    EXPECT_TRUE(world.Host(0).mAgent->HeldTasks() == 0 &&
                world.Host(1).mAgent->HeldTasks() == 0);
  }
  EXPECT_TRUE(cancelled && finished) << "the race was not covered";
}

TEST(Cancellation, CancelledJobIsStoppedByTheNextLeader)
{
  WorldOptions options;
  options.mMembers = 2;
  options.mRunTime = base::Milliseconds(50000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 1; }));
  world.mToAgent = [](const control::Outgoing& aOut) {
    return std::holds_alternative<protocol::TaskCommand>(aOut.mMessage) ? 0 : 1;
  };
  EXPECT_EQ(StateIn(world.Ask(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  world.ChangeLeader(1);
  world.mToAgent = nullptr;
  EXPECT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 0; },
                             base::Milliseconds(2000)));
}

TEST(Cancellation, TenThousandCancellationsDoNotStallOtherWork)
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(20);
  World world(options);
  world.Boot();
  std::vector<std::uint64_t> submits;
  auto blocked = Gang("", 2, 8);
  for (int i = 0; i < 10000; ++i) {
    blocked.mKey = base::IdempotencyKey("b" + std::to_string(i));
    submits.push_back(world.Send(protocol::SubmitRequest{ blocked }));
  }
  world.Run(base::Milliseconds(10));
  std::vector<std::uint64_t> cancels;
  for (const std::uint64_t submit : submits) {
    ASSERT_NE(world.ReplyTo(submit), nullptr);
    cancels.push_back(world.Send(protocol::CancelRequest{
      std::get<protocol::JobView>(*world.ReplyTo(submit)).mJob }));
  }
  world.mMaxProposalsPerOutput = 0;
  world.Run(base::Milliseconds(5));
  const base::Time begin = world.Now();
  const base::JobId urgent = world.Submit(SmallJob("urgent"));
  EXPECT_LE(world.Now() - begin, base::Milliseconds(20));
  EXPECT_EQ(world.AwaitEnd(urgent).mState, JobState::Finished);
  EXPECT_LE(world.mMaxProposalsPerOutput, 4U);
  world.Run(base::Milliseconds(3000));
  for (const std::uint64_t cancel : cancels) {
    ASSERT_NE(world.ReplyTo(cancel), nullptr);
  }
  EXPECT_EQ(world.Leader().ActiveJobs(), 0U);
}

TEST(Cancellation, CancelsThatArriveTogetherAreProposedInParts)
{
  World world;
  world.Boot();
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 1000; ++i) {
    jobs.push_back(world.Submit(Gang("b" + std::to_string(i), 2, 8)));
  }
  const std::uint64_t before = world.Leader().ActiveJobs();
  ASSERT_GT(before, 900U);
  for (const base::JobId job : jobs) {
    protocol::ClientRequest request;
    request.mBody = protocol::CancelRequest{ job };
    world.Leader().OnClientRequest(
      World::EntrySession(0), request, world.Now());
  }
  // The cancellations of one output commit before the rest is proposed.
  world.PumpAll();
  const std::size_t committed = world.mLog.size();
  ASSERT_TRUE(world.RunUntil([&] { return world.mLog.size() > committed; }));
  EXPECT_GT(world.Leader().ActiveJobs(), 100U);
  world.Run(base::Milliseconds(1000));
  EXPECT_EQ(world.Leader().ActiveJobs(), 0U);
}

} // namespace dogwooddrum::tests
