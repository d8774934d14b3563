// Guards against a gang of which only some tasks run, and against reuse of an
// aborted gang's accelerators before every agent has fenced it.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using base::Ran;
using protocol::JobState;
using protocol::TaskVerb;

namespace {

const protocol::TaskCommand*
FindCommand(const control::Outgoing& aOut, TaskVerb aVerb)
{
  const auto* command = std::get_if<protocol::TaskCommand>(&aOut.mMessage);
  return command != nullptr && command->mVerb == aVerb ? command : nullptr;
}

WorldOptions
LongRunOptions()
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(20000);
  return options;
}

protocol::JobSpec
NonRepeatableGang()
{
  auto spec = Gang("g", 2, 8);
  spec.mRepeatable = false;
  return spec;
}

} // namespace

TEST(GangFaults, NothingRunsUntilAllMembersArePrepared)
{
  World world(LongRunOptions());
  world.Boot();
  world.mToAgent = [](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskVerb::Prepare);
    return prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0 : 1;
  };
  const base::JobId job = world.Submit(Gang("g", 2, 8));
  world.Run(base::Milliseconds(4000));
  EXPECT_EQ(world.Starts(job), 0U);
  EXPECT_EQ(world.View(job).mState, JobState::Starting);
}

TEST(GangFaults, MemberThatDoesNotPrepareAbortsAndTheGangRunsLater)
{
  World world;
  world.Boot();
  bool lose = true;
  world.mToAgent = [&](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskVerb::Prepare);
    return lose && prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0
                                                                          : 1;
  };
  const base::JobId job = world.Submit(NonRepeatableGang());
  world.Run(base::Milliseconds(5200));
  lose = false;
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Finished);
  EXPECT_GE(view.mAttempt.Value(), 2U);
  EXPECT_EQ(world.Starts(job), 2U);
}

TEST(GangFaults, RefusalFencesTheOthersBeforeTheirAcceleratorsAreReused)
{
  World world(LongRunOptions());
  world.Boot();
  bool hold = true;
  bool released = false;
  world.mToAgent = [&](const control::Outgoing& aOut) {
    if (FindCommand(aOut, TaskVerb::Release) != nullptr) {
      released |= !hold;
      return hold ? 0 : 1;
    }
    return 1;
  };
  world.mToControl = [](const agent::ToControl& aMessage) {
    const auto* heartbeat = std::get_if<protocol::AgentHeartbeat>(&aMessage);
    return heartbeat != nullptr && heartbeat->mLeaving ? 0 : 1;
  };
  world.Host(1).mAgent->BeginDrain(world.Now());
  const base::JobId gang = world.Submit(Gang("g", 2, 8));
  world.Run(base::Milliseconds(300));
  EXPECT_EQ(world.Starts(gang), 0U);
  EXPECT_EQ(world.Host(0).mAgent->HeldTasks(), 1U) << "reserved, not fenced";
  const base::JobId small = world.Submit(Gang("small", 1, 8));
  world.Run(base::Milliseconds(1000));
  EXPECT_NE(world.View(small).mAttempt, base::AttemptId(0))
    << "placed on w1, which is thought to be free";
  for (const Execution& execution : world.mExecutions) {
    EXPECT_NE(execution.mWorker, "w0");
  }
  hold = false;
  EXPECT_TRUE(world.RunUntil([&] { return world.Starts(small) == 1; }));
  EXPECT_TRUE(released);
}

TEST(GangFaults, MemberLostBeforeCommitProvesNotRun)
{
  World world(LongRunOptions());
  world.Boot();
  world.mToAgent = [](const control::Outgoing& aOut) {
    const auto* prepare = FindCommand(aOut, TaskVerb::Prepare);
    return prepare != nullptr && prepare->mKey.mTask.Value() == 1 ? 0 : 1;
  };
  const base::JobId job = world.Submit(NonRepeatableGang());
  world.Run(base::Milliseconds(300));
  world.KillAgent(0);
  world.Run(base::Milliseconds(14000));
  const auto view = world.View(job);
  EXPECT_EQ(view.mRan, Ran::NotRun);
  EXPECT_EQ(view.mState, JobState::Queued);
  EXPECT_EQ(world.Starts(job), 0U);
}

TEST(GangFaults, MemberLostAfterCommitStopsTheOthers)
{
  World world(LongRunOptions());
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableGang());
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 2; }));
  world.KillAgent(1);
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 0; }));
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::MayHaveRun);
  EXPECT_EQ(world.Starts(job), 2U);
}

TEST(GangFaults, FailedMemberStopsTheOthersAtOnce)
{
  World world(LongRunOptions());
  world.Boot();
  const base::JobId job = world.Submit(NonRepeatableGang());
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 2; }));
  AgentHost& host = world.Host(0);
  const protocol::TaskKey key = host.mRunning.begin()->first;
  host.mRunning.clear();
  host.mAgent->OnTaskFailed(
    key, base::Reason::TargetFailed, true, "exit status 3", world.Now());
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(job) == 0; },
                             base::Milliseconds(100)));
  const auto view = world.AwaitEnd(job);
  EXPECT_EQ(view.mState, JobState::Failed);
  EXPECT_EQ(view.mRan, Ran::Ran);
  EXPECT_NE(view.mMessage.find("exit status 3"), std::string::npos);
}

TEST(GangFaults, LeaderChangesAtEachMillisecondOfTheStart)
{
  for (int at = 0; at < 40; at += 1) {
    WorldOptions options;
    options.mMembers = 3;
    World world(options);
    world.Boot();
    world.Send(protocol::SubmitRequest{ NonRepeatableGang() });
    world.Run(base::Milliseconds(at));
    world.ChangeLeader(1, at % 2 == 0);
    const base::JobId job = world.Submit(NonRepeatableGang());
    EXPECT_EQ(world.AwaitEnd(job).mState, JobState::Finished) << at << " ms";
    EXPECT_EQ(world.Starts(job), 2U) << at << " ms";
  }
}

TEST(GangFaults, AgentRestartsAtEachMillisecondOfTheStart)
{
  for (int at = 0; at < 40; at += 1) {
    World world;
    world.Boot();
    const base::JobId job = world.Submit(NonRepeatableGang());
    world.Run(base::Milliseconds(at));
    world.RestartAgent(1);
    const auto view = world.AwaitEnd(job);
    EXPECT_LE(world.Starts(job), 2U) << at << " ms";
    if (view.mRan == Ran::NotRun) {
      EXPECT_EQ(world.Starts(job), 0U) << at << " ms";
    }
  }
}

// Shows that Release keeps a late Prepare from reserving accelerators: for an
// attempt without a fence the agent reserves them.
TEST(GangFaults, LatePrepareAfterReleaseDoesNotReserve)
{
  World world;
  world.Boot();
  agent::Agent& agent = *world.Host(0).mAgent;
  protocol::TaskCommand command;
  command.mTerm = agent.HighestTerm();
  command.mIncarnation = world.Host(0).mIncarnation;
  command.mVersion = agent.Version();
  command.mKey.mJob = base::JobId(900);
  command.mKey.mAttempt = base::AttemptId(1);
  command.mAccelerators = 8;
  command.mVerb = TaskVerb::Release;
  agent.OnCommand(command, world.Now());
  command.mVerb = TaskVerb::Prepare;
  agent.OnCommand(command, world.Now());
  EXPECT_EQ(agent.HeldTasks(), 0U);
  command.mKey.mAttempt = base::AttemptId(2); // Not fenced.
  agent.OnCommand(command, world.Now());
  EXPECT_EQ(agent.HeldTasks(), 1U);
}

} // namespace dogwooddrum::tests
