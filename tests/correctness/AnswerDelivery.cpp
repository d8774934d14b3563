// Guards against answers that are lost, mixed up, cut off or acknowledged
// before they are durable.
#include "tests/support/World.h"

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
RunJobWithAnswer(World& aWorld, const std::string& aAnswer)
{
  aWorld.mOnStart = [&](AgentHost& aHost, const agent::StartTask& aStart) {
    aHost.mRunning[aStart.mKey] = aStart;
    aWorld.At(aWorld.Now(), [&aWorld, &aHost, key = aStart.mKey, aAnswer] {
      aWorld.FinishTask(aHost, key, aAnswer);
    });
    return true;
  };
  const base::JobId job = aWorld.Submit(SmallJob("a"));
  EXPECT_EQ(aWorld.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(aWorld.Starts(job), 1U);
  return aWorld.Answer(job);
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
    World world;
    world.Boot();
    const std::string answer = MakeBytes(size);
    EXPECT_EQ(RunJobWithAnswer(world, answer) == answer, true)
      << size << " bytes";
  }
}

TEST(AnswerDelivery, AgentBoundsWhatIsInFlight)
{
  World world;
  world.Boot();
  std::size_t sent = 0;
  world.mToControl = [&](const agent::ToControl& aMessage) {
    const auto* chunk = std::get_if<protocol::AnswerChunk>(&aMessage);
    if (chunk == nullptr) {
      return 1;
    }
    EXPECT_LE(chunk->mBytes.size(), protocol::kMaxChunkBytes);
    sent += chunk->mBytes.size();
    return 0;
  };
  const base::JobId job = world.Submit(SmallJob("a"));
  world.Run(base::Milliseconds(10));
  AgentHost& host =
    world.Host(world.mExecutions.back().mWorker == "w0" ? 0 : 1);
  world.FinishTask(host, host.mRunning.begin()->first, MakeBytes(8U << 20));
  world.Run(base::Milliseconds(300));
  EXPECT_LE(sent, 1U << 20);
  EXPECT_EQ(world.View(job).mState, JobState::Running);
}

TEST(AnswerDelivery, AnswerLongerThanTheLimitFailsAsRan)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  world.Run(base::Milliseconds(10));
  AgentHost& host =
    world.Host(world.mExecutions.back().mWorker == "w0" ? 0 : 1);
  world.FinishTask(
    host, host.mRunning.begin()->first, MakeBytes((8U << 20) + 1));
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mReason, base::Reason::AnswerTooLarge);
  EXPECT_EQ(view.mRan, base::Ran::Ran);
}

TEST(AnswerDelivery, AgentKeepsTheAnswerUntilItIsCommitted)
{
  WorldOptions options;
  options.mMembers = 2;
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 1; }));
  world.mCommits = false;
  world.Run(base::Milliseconds(3000));
  EXPECT_EQ(world.RunningTasks(job), 0U);
  world.ChangeLeader(1, true); // The old leader's proposals are lost.
  world.mCommits = true;
  EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished);
  EXPECT_EQ(world.Answer(job), "answer0");
  EXPECT_EQ(world.Starts(job), 1U);
}

TEST(AnswerDelivery, LeaderChangesInTheMiddleOfALongAnswer)
{
  WorldOptions options;
  options.mMembers = 2;
  options.mAgent.mAnswerWindow = 128U << 10;
  World world(options);
  world.Boot();
  const std::string answer = MakeBytes(3U << 20);
  world.At(world.Now() + base::Milliseconds(25),
           [&] { world.ChangeLeader(1, true); });
  EXPECT_EQ(RunJobWithAnswer(world, answer) == answer, true);
}

TEST(AnswerDelivery, FullStoreDelaysAnswersAndRefusesNewJobs)
{
  WorldOptions options;
  options.mControl.mMaxStoredAnswerBytes = 1U << 20;
  options.mAnswer = MakeBytes(600U << 10);
  World world(options);
  world.Boot();
  const base::JobId first = world.Submit(SmallJob("a"));
  const base::JobId second = world.Submit(SmallJob("b"));
  world.Run(base::Milliseconds(5000));
  const bool firstDone = world.View(first).mState == JobState::Finished;
  EXPECT_NE(world.View(second).mState == JobState::Finished, firstDone);
  const base::JobId done = firstDone ? first : second;
  world.Ask(protocol::AcknowledgeRequest{ done });
  EXPECT_EQ(world.AwaitEnd(firstDone ? second : first).mState,
            JobState::Finished);
}

TEST(AnswerDelivery, AcknowledgedAnswerIsDroppedAndSaysSo)
{
  World world;
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  world.AwaitEnd(job);
  EXPECT_TRUE(std::holds_alternative<protocol::Done>(
    world.Ask(protocol::AcknowledgeRequest{ job })));
  const auto reply = world.Ask(protocol::AnswerRequest{ job, 0 });
  const auto* refusal = std::get_if<protocol::Refusal>(&reply);
  ASSERT_NE(refusal, nullptr);
  EXPECT_TRUE(refusal->mReason == base::Reason::AnswerExpired ||
              refusal->mReason == base::Reason::UnknownJob);
  EXPECT_TRUE(std::holds_alternative<protocol::Done>(
    world.Ask(protocol::AcknowledgeRequest{ job })))
    << "a repeated acknowledgement";
}

TEST(AnswerDelivery, UnacknowledgedAnswerIsDroppedAfterItsRetention)
{
  WorldOptions options;
  options.mControl.mAnswerRetention = base::Milliseconds(10000);
  World world(options);
  world.Boot();
  const base::JobId job = world.Submit(SmallJob("a"));
  world.AwaitEnd(job);
  world.Run(base::Milliseconds(8000));
  EXPECT_EQ(world.Answer(job), "answer0");
  world.Run(base::Milliseconds(5000));
  EXPECT_TRUE(std::holds_alternative<protocol::Refusal>(
    world.Ask(protocol::PollRequest{ job, 0 })));
}

RC_GTEST_PROP(AnswerDelivery,
              ChunksInAnyOrderWithDuplicatesAssemble,
              (std::uint32_t aSeed))
{
  std::mt19937 random(aSeed);
  World world;
  world.Boot();
  const std::string answer = MakeBytes(random() % (600U << 10));
  world.mToControl = [&](const agent::ToControl& aMessage) {
    const auto* chunk = std::get_if<protocol::AnswerChunk>(&aMessage);
    if (chunk == nullptr) {
      return 1;
    }
    for (std::uint32_t copies = random() % 3; copies > 0; --copies) {
      world.At(world.Now() + base::Milliseconds(1 + random() % 100),
               [&world, copy = *chunk, session = world.Host(0).mSession] {
                 world.Leader().OnAnswerChunk(session, copy, world.Now());
               });
    }
    return 0;
  };
  RC_ASSERT(RunJobWithAnswer(world, answer) == answer);
  RC_ASSERT(!::testing::Test::HasFailure());
}

} // namespace dogwooddrum::tests
