// Guards against urgent jobs that wait for borrowed accelerators, and against
// preempted jobs that are lost or restart without their checkpoint.
#include "tests/support/World.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using protocol::JobState;

namespace {

/** Adds account "guest", which can only borrow, as account "yard" has all
 * guarantees. */
void
AddAccountWithoutGuarantees(World& aWorld)
{
  protocol::ClientAccount guest;
  guest.mName = base::AccountId("guest");
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId("guest");
  change.mBaseVersion = aWorld.Leader().Configuration().mVersion;
  change.mEdit = guest;
  ASSERT_TRUE(std::get<protocol::ChangeOutcome>(aWorld.Ask(change)).mAccepted);
}

protocol::JobSpec
BorrowingGang()
{
  auto spec = Gang("borrower", 2, 8);
  spec.mAccount = base::AccountId("guest");
  return spec;
}

WorldOptions
LongRunOptions()
{
  WorldOptions options;
  options.mRunTime = base::Milliseconds(5000);
  return options;
}

} // namespace

TEST(Preemption, BorrowingJobIsCheckpointedAtOnceAndStoppedAtTheDeadline)
{
  World world(LongRunOptions());
  world.Boot();
  AddAccountWithoutGuarantees(world);
  const base::JobId borrower = world.Submit(BorrowingGang());
  ASSERT_TRUE(
    world.RunUntil([&] { return world.RunningTasks(borrower) == 2; }));
  world.Run(base::Milliseconds(500));
  std::vector<base::Time> saved;
  world.mOnCheckpoint = [&](AgentHost& aHost, const protocol::TaskKey& aKey) {
    saved.push_back(world.Now());
    aHost.mAgent->OnTaskCheckpointed(aKey, world.Now());
  };
  const base::Time begin = world.Now();
  const base::JobId urgent = world.Submit(Gang("urgent", 2, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(urgent) == 2; }));
  EXPECT_LE(world.Now() - begin, base::Milliseconds(1900));
  ASSERT_EQ(saved.size(), 2U);
  EXPECT_LE(saved[0] - begin, base::Milliseconds(20));
  EXPECT_EQ(world.RunningTasks(borrower), 0U);
  EXPECT_EQ(world.AwaitEnd(urgent).mState, JobState::Finished);
  EXPECT_EQ(world.AwaitEnd(borrower).mState, JobState::Finished);
  EXPECT_EQ(
    world.mExecutions.back().mResumeFrom,
    protocol::CheckpointName(
      { borrower, base::AttemptId(1), world.mExecutions.back().mKey.mTask }));
}

TEST(Preemption, JobWithoutACheckpointRestartsFromTheBeginning)
{
  World world(LongRunOptions());
  world.Boot();
  AddAccountWithoutGuarantees(world);
  const base::JobId borrower = world.Submit(BorrowingGang());
  ASSERT_TRUE(
    world.RunUntil([&] { return world.RunningTasks(borrower) == 2; }));
  world.mOnCheckpoint = [](AgentHost&, const protocol::TaskKey&) {};
  const base::JobId urgent = world.Submit(Gang("urgent", 2, 8));
  ASSERT_TRUE(world.RunUntil([&] { return world.RunningTasks(urgent) == 2; },
                             base::Milliseconds(1900)));
  EXPECT_EQ(world.AwaitEnd(borrower).mState, JobState::Finished);
  EXPECT_EQ(world.mExecutions.back().mResumeFrom, "");
}

TEST(Preemption, LeaderChangeDuringTheGracePeriodStillFreesTheAccelerators)
{
  auto options = LongRunOptions();
  options.mMembers = 2;
  options.mRunTime = base::Milliseconds(60000);
  World world(options);
  world.Boot();
  AddAccountWithoutGuarantees(world);
  const base::JobId borrower = world.Submit(BorrowingGang());
  ASSERT_TRUE(
    world.RunUntil([&] { return world.RunningTasks(borrower) == 2; }));
  const base::JobId urgent = world.Submit(Gang("urgent", 2, 8));
  world.Run(base::Milliseconds(500));
  world.ChangeLeader(1);
  EXPECT_TRUE(world.RunUntil([&] { return world.RunningTasks(urgent) == 2; },
                             base::Milliseconds(8000)));
}

} // namespace dogwooddrum::tests
