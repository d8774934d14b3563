// Guards against a snapshot that loses state, differs between members or is
// accepted although it is damaged.
#include "tests/support/World.h"

#include "dogwooddrum/coordination/jobs/JobState.h"
#include "dogwooddrum/protocol/Codec.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

namespace jobs = coordination::jobs;

namespace {

/** Adds queued, running, cancelled and finished jobs. */
void
AddJobsInEveryState(World& aWorld)
{
  aWorld.Boot();
  aWorld.AwaitEnd(aWorld.Submit(SmallJob("done")));
  aWorld.mOnStart = [](AgentHost& aHost, const agent::StartTask& aStart) {
    aHost.mRunning[aStart.mKey] = aStart;
    return true;
  };
  aWorld.Submit(Gang("running", 2, 6));
  aWorld.Ask(protocol::CancelRequest{ aWorld.Submit(Gang("cancelled", 1, 2)) });
  aWorld.Submit(Gang("queued", 2, 8));
  aWorld.Run(base::Milliseconds(100));
}

} // namespace

TEST(JobStateSnapshot, MembersThatApplyTheSameLogSaveTheSameBytes)
{
  WorldOptions options;
  options.mMembers = 3;
  World world(options);
  AddJobsInEveryState(world);
  const std::string first = world.Member(0).SaveState();
  EXPECT_EQ(world.Member(1).SaveState(), first);
  EXPECT_EQ(world.Member(2).SaveState(), first);
}

TEST(JobStateSnapshot, RestoredMemberFollowsAndLeads)
{
  WorldOptions options;
  options.mMembers = 2;
  World world(options);
  AddJobsInEveryState(world);
  world.RestartMember(1);
  EXPECT_EQ(world.Member(1).SaveState(), world.Member(0).SaveState());
  world.mOnStart = nullptr;
  world.ChangeLeader(1);
  const base::JobId job = world.Submit(SmallJob("done"));
  EXPECT_EQ(world.View(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(world.Answer(job), "answer0");
}

TEST(JobStateSnapshot, EveryDamagedByteIsDetected)
{
  World world;
  AddJobsInEveryState(world);
  const std::string good = world.Leader().SaveState();
  jobs::JobState state;
  ASSERT_TRUE(state.Restore(good));
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 0x10);
    ASSERT_FALSE(state.Restore(bad)) << "byte " << i;
  }
  for (std::size_t size = 0; size < good.size(); size += 7) {
    ASSERT_FALSE(state.Restore(good.substr(0, size))) << size << " bytes";
  }
  EXPECT_EQ(state.Save(), good) << "a refused snapshot changed the state";
}

TEST(JobStateSnapshot, ReplayOfTheLogGivesTheSameState)
{
  World world;
  AddJobsInEveryState(world);
  jobs::JobState state;
  for (const std::string& payload : world.mLog) {
    const auto batch = protocol::Decode<jobs::Batch>(payload);
    ASSERT_TRUE(batch) << batch.LastFailure().mMessage;
    state.Apply(*batch);
  }
  EXPECT_EQ(state.Save(), world.Leader().SaveState());
}

TEST(JobStateSnapshot, StateStaysBoundedOverManyJobs)
{
  WorldOptions options;
  options.mControl.mKeyRetention = base::Milliseconds(2000);
  World world(options);
  world.Boot();
  std::size_t most = 0;
  for (int i = 0; i < 300; ++i) {
    const base::JobId job = world.Submit(SmallJob("k" + std::to_string(i)));
    world.AwaitEnd(job);
    world.Ask(protocol::AcknowledgeRequest{ job });
    most = std::max(most, world.Leader().SaveState().size());
  }
  world.Run(base::Milliseconds(8000));
  EXPECT_LT(world.Leader().SaveState().size(), 2000U);
  EXPECT_LT(most, 60000U);
}

} // namespace dogwooddrum::tests
