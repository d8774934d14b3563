// Guards against a cancellation that is lost, whose reply contradicts the
// job's final state, or that stalls other work when thousands arrive together.
#include "tests/support/JobSimulation.h"

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
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  simulation.Submit(MakeGang("first", 2, 8));
  const base::JobId job = simulation.Submit(MakeGang("second", 2, 8));
  EXPECT_EQ(StateIn(simulation.SendAndWait(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  EXPECT_EQ(simulation.QueryJob(job).mRan, Ran::NotRun);
  simulation.Run(base::Milliseconds(20000));
  EXPECT_EQ(simulation.StartCount(job), 0U);
}

TEST(Cancellation, RunningJobStopsAndItsAcceleratorsAreFree)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(50000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeGang("first", 2, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 2; }));
  EXPECT_EQ(StateIn(simulation.SendAndWait(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  EXPECT_EQ(simulation.QueryJob(job).mRan, Ran::MayHaveRun);
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 0; },
                        base::Milliseconds(100)));
  const base::JobId next = simulation.Submit(MakeGang("next", 2, 8));
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(next) == 2; },
                        base::Milliseconds(200)));
}

TEST(Cancellation, RepeatedCancelGetsTheSameOutcome)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  const auto first = simulation.Send(protocol::CancelRequest{ job });
  const auto second = simulation.Send(protocol::CancelRequest{ job });
  simulation.Run(base::Milliseconds(50));
  ASSERT_NE(simulation.ReplyTo(first), nullptr);
  ASSERT_NE(simulation.ReplyTo(second), nullptr);
  EXPECT_EQ(StateIn(*simulation.ReplyTo(first)), JobState::Cancelled);
  EXPECT_EQ(StateIn(*simulation.ReplyTo(second)), JobState::Cancelled);
  EXPECT_EQ(StateIn(simulation.SendAndWait(protocol::CancelRequest{ job })),
            JobState::Cancelled);
}

TEST(Cancellation, RaceWithCompletionHasOneWinner)
{
  bool cancelled = false;
  bool finished = false;
  for (int at = 30; at < 80; ++at) {
    JobSimulation simulation;
    simulation.Boot();
    const base::JobId job = simulation.Submit(MakeSmallJob("a"));
    simulation.Run(base::Milliseconds(at));
    const JobState reported =
      StateIn(simulation.SendAndWait(protocol::CancelRequest{ job }));
    ASSERT_TRUE(reported == JobState::Cancelled ||
                reported == JobState::Finished);
    (reported == JobState::Cancelled ? cancelled : finished) = true;
    simulation.Run(base::Milliseconds(2000));
    EXPECT_EQ(simulation.QueryJob(job).mState, reported) << at << " ms";
    if (reported == JobState::Finished) {
      EXPECT_EQ(simulation.FetchAnswer(job), "answer0");
    }
    EXPECT_TRUE(simulation.Host(0).mAgent->HeldTasks() == 0 &&
                simulation.Host(1).mAgent->HeldTasks() == 0);
  }
  EXPECT_TRUE(cancelled && finished) << "the race was not covered";
}

TEST(Cancellation, CancelledJobIsStoppedByTheNextLeader)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  options.mRunTime = base::Milliseconds(50000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 1; }));
  simulation.mCopiesToAgent = [](const control::Outgoing& aOut) {
    return std::holds_alternative<protocol::TaskCommand>(aOut.mMessage) ? 0 : 1;
  };
  EXPECT_EQ(StateIn(simulation.SendAndWait(protocol::CancelRequest{ job })),
            JobState::Cancelled);
  simulation.ChangeLeader(1);
  simulation.mCopiesToAgent = nullptr;
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 0; },
                        base::Milliseconds(2000)));
}

TEST(Cancellation, TenThousandCancellationsDoNotStallOtherWork)
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(20);
  JobSimulation simulation(options);
  simulation.Boot();
  std::vector<std::uint64_t> submits;
  auto blocked = MakeGang("", 2, 8);
  for (int i = 0; i < 10000; ++i) {
    blocked.mKey = base::IdempotencyKey("b" + std::to_string(i));
    submits.push_back(simulation.Send(protocol::SubmitRequest{ blocked }));
  }
  simulation.Run(base::Milliseconds(10));
  std::vector<std::uint64_t> cancels;
  for (const std::uint64_t submit : submits) {
    ASSERT_NE(simulation.ReplyTo(submit), nullptr);
    cancels.push_back(simulation.Send(protocol::CancelRequest{
      std::get<protocol::JobView>(*simulation.ReplyTo(submit)).mJob }));
  }
  simulation.mMaxProposalsPerOutput = 0;
  simulation.Run(base::Milliseconds(5));
  const base::Time begin = simulation.Now();
  const base::JobId urgent = simulation.Submit(MakeSmallJob("urgent"));
  EXPECT_LE(simulation.Now() - begin, base::Milliseconds(20));
  EXPECT_EQ(simulation.AwaitEnd(urgent).mState, JobState::Finished);
  EXPECT_LE(simulation.mMaxProposalsPerOutput, 4U);
  simulation.Run(base::Milliseconds(3000));
  for (const std::uint64_t cancel : cancels) {
    ASSERT_NE(simulation.ReplyTo(cancel), nullptr);
  }
  EXPECT_EQ(simulation.Leader().ActiveJobs(), 0U);
}

TEST(Cancellation, CancelsThatArriveTogetherAreProposedInParts)
{
  JobSimulation simulation;
  simulation.Boot();
  std::vector<base::JobId> jobs;
  for (int i = 0; i < 1000; ++i) {
    jobs.push_back(simulation.Submit(MakeGang("b" + std::to_string(i), 2, 8)));
  }
  const std::uint64_t before = simulation.Leader().ActiveJobs();
  ASSERT_GT(before, 900U);
  for (const base::JobId job : jobs) {
    protocol::ClientRequest request;
    request.mBody = protocol::CancelRequest{ job };
    simulation.Leader().OnClientRequest(
      JobSimulation::EntrySession(0), request, simulation.Now());
  }
  // The cancellations of one output commit before the rest is proposed.
  simulation.ProcessAllOutput();
  const std::size_t committed = simulation.mLog.size();
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.mLog.size() > committed; }));
  EXPECT_GT(simulation.Leader().ActiveJobs(), 100U);
  simulation.Run(base::Milliseconds(1000));
  EXPECT_EQ(simulation.Leader().ActiveJobs(), 0U);
}

} // namespace dogwooddrum::tests
