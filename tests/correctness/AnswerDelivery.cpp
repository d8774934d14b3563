// Guards against answers that are lost, mixed up, cut off or acknowledged
// before they are durable.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace dogwooddrum::tests {

using protocol::JobState;

namespace {

std::string
MakeBytes(std::size_t aCount)
{
  std::string bytes(aCount, '\0');
  std::minstd_rand random(static_cast<std::uint32_t>(aCount + 1));
  for (char& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

/** Runs one job with this answer and returns the answer that the caller gets.
 */
std::string
RunJobWithAnswer(JobSimulation& aSimulation, const std::string& aAnswer)
{
  aSimulation.mOnStart = [&](SimulatedAgent& aHost,
                             const agent::StartTask& aStart) {
    aHost.mRunning[aStart.mKey] = aStart;
    aSimulation.At(aSimulation.Now(),
                   [&aSimulation, &aHost, key = aStart.mKey, aAnswer] {
                     aSimulation.FinishTask(aHost, key, aAnswer);
                   });
    return true;
  };
  const base::JobId job = aSimulation.Submit(MakeSmallJob("a"));
  EXPECT_EQ(aSimulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(aSimulation.StartCount(job), 1U);
  return aSimulation.FetchAnswer(job);
}

} // namespace

TEST(AnswerDelivery, EverySizeArrivesWhole)
{
  for (const std::size_t size : { std::size_t{ 0 },
                                  std::size_t{ 1 },
                                  std::size_t{ protocol::kMaxChunkBytes },
                                  std::size_t{ protocol::kMaxChunkBytes + 1 },
                                  std::size_t{ 256U << 10 },
                                  std::size_t{ (256U << 10) + 1 },
                                  std::size_t{ protocol::kMaxAnswerBytes } }) {
    JobSimulation simulation;
    simulation.Boot();
    const std::string answer = MakeBytes(size);
    EXPECT_EQ(RunJobWithAnswer(simulation, answer) == answer, true)
      << size << " bytes";
  }
}

TEST(AnswerDelivery, AgentBoundsWhatIsInFlight)
{
  JobSimulation simulation;
  simulation.Boot();
  std::size_t sent = 0;
  simulation.mCopiesToControl = [&](const agent::MessageToControl& aMessage) {
    const auto* chunk = std::get_if<protocol::AnswerChunk>(&aMessage);
    if (chunk == nullptr) {
      return 1;
    }
    EXPECT_LE(chunk->mBytes.size(), protocol::kMaxChunkBytes);
    sent += chunk->mBytes.size();
    return 0;
  };
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.Run(base::Milliseconds(10));
  SimulatedAgent& host =
    simulation.Host(simulation.mExecutions.back().mWorker == "w0" ? 0 : 1);
  simulation.FinishTask(
    host, host.mRunning.begin()->first, MakeBytes(8U << 20));
  simulation.Run(base::Milliseconds(300));
  EXPECT_LE(sent, 1U << 20);
  EXPECT_EQ(simulation.QueryJob(job).mState, JobState::Running);
}

TEST(AnswerDelivery, AnswerLongerThanTheLimitFailsAsRan)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.Run(base::Milliseconds(10));
  SimulatedAgent& host =
    simulation.Host(simulation.mExecutions.back().mWorker == "w0" ? 0 : 1);
  simulation.FinishTask(
    host, host.mRunning.begin()->first, MakeBytes((8U << 20) + 1));
  const auto view = simulation.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mReason, base::Reason::AnswerTooLarge);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
}

TEST(AnswerDelivery, AgentKeepsTheAnswerUntilItIsCommitted)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(job) == 1; }));
  simulation.mCommitsEnabled = false;
  simulation.Run(base::Milliseconds(3000));
  EXPECT_EQ(simulation.RunningTasks(job), 0U);
  simulation.ChangeLeader(1, true); // The old leader's proposals are lost.
  simulation.mCommitsEnabled = true;
  EXPECT_EQ(simulation.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(simulation.FetchAnswer(job), "answer0");
  EXPECT_EQ(simulation.StartCount(job), 1U);
}

TEST(AnswerDelivery, LeaderChangesInTheMiddleOfALongAnswer)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  options.mAgent.mAnswerWindow = 128U << 10;
  JobSimulation simulation(options);
  simulation.Boot();
  const std::string answer = MakeBytes(3U << 20);
  simulation.At(simulation.Now() + base::Milliseconds(25),
                [&] { simulation.ChangeLeader(1, true); });
  EXPECT_EQ(RunJobWithAnswer(simulation, answer) == answer, true);
}

TEST(AnswerDelivery, FullStoreDelaysAnswersAndRefusesNewJobs)
{
  JobSimulationOptions options;
  options.mControl.mMaxStoredAnswerBytes = 1U << 20;
  options.mAnswer = MakeBytes(600U << 10);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId first = simulation.Submit(MakeSmallJob("a"));
  const base::JobId second = simulation.Submit(MakeSmallJob("b"));
  simulation.Run(base::Milliseconds(5000));
  const bool firstDone =
    simulation.QueryJob(first).mState == JobState::Finished;
  EXPECT_NE(simulation.QueryJob(second).mState == JobState::Finished,
            firstDone);
  const base::JobId done = firstDone ? first : second;
  simulation.SendAndWait(protocol::AcknowledgeRequest{ done });
  EXPECT_EQ(simulation.AwaitEnd(firstDone ? second : first).mState,
            JobState::Finished);
}

TEST(AnswerDelivery, AcknowledgedAnswerIsDroppedAndSaysSo)
{
  JobSimulation simulation;
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.AwaitEnd(job);
  EXPECT_TRUE(std::holds_alternative<protocol::Done>(
    simulation.SendAndWait(protocol::AcknowledgeRequest{ job })));
  const auto reply = simulation.SendAndWait(protocol::AnswerRequest{ job, 0 });
  const auto* refusal = std::get_if<protocol::Refusal>(&reply);
  ASSERT_NE(refusal, nullptr);
  EXPECT_TRUE(refusal->mReason == base::Reason::AnswerExpired ||
              refusal->mReason == base::Reason::UnknownJob);
  EXPECT_TRUE(std::holds_alternative<protocol::Done>(
    simulation.SendAndWait(protocol::AcknowledgeRequest{ job })))
    << "a repeated acknowledgement";
}

TEST(AnswerDelivery, UnacknowledgedAnswerIsDroppedAfterItsRetention)
{
  JobSimulationOptions options;
  options.mControl.mAnswerRetention = base::Milliseconds(10000);
  JobSimulation simulation(options);
  simulation.Boot();
  const base::JobId job = simulation.Submit(MakeSmallJob("a"));
  simulation.AwaitEnd(job);
  simulation.Run(base::Milliseconds(8000));
  EXPECT_EQ(simulation.FetchAnswer(job), "answer0");
  simulation.Run(base::Milliseconds(5000));
  EXPECT_TRUE(std::holds_alternative<protocol::Refusal>(
    simulation.SendAndWait(protocol::PollRequest{ job, 0 })));
}

RC_GTEST_PROP(AnswerDelivery,
              ChunksInAnyOrderWithDuplicatesAssemble,
              (std::uint32_t aSeed))
{
  std::mt19937 random(aSeed);
  JobSimulation simulation;
  simulation.Boot();
  const std::string answer = MakeBytes(random() % (600U << 10));
  simulation.mCopiesToControl = [&](const agent::MessageToControl& aMessage) {
    const auto* chunk = std::get_if<protocol::AnswerChunk>(&aMessage);
    if (chunk == nullptr) {
      return 1;
    }
    for (std::uint32_t copies = random() % 3; copies > 0; --copies) {
      simulation.At(
        simulation.Now() + base::Milliseconds(1 + random() % 100),
        [&simulation, copy = *chunk, session = simulation.Host(0).mSession] {
          simulation.Leader().OnAnswerChunk(session, copy, simulation.Now());
        });
    }
    return 0;
  };
  RC_ASSERT(RunJobWithAnswer(simulation, answer) == answer);
  RC_ASSERT(!::testing::Test::HasFailure());
}

} // namespace dogwooddrum::tests
