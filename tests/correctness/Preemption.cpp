// Guards against urgent jobs that wait for borrowed accelerators, and against
// preempted jobs that are lost or restart without their checkpoint.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

using protocol::JobState;

namespace {

/** Adds account "guest", which can only borrow, as account "yard" has all
 * guarantees. */
void
AddAccountWithoutGuarantees(JobSimulation& aSimulation)
{
  protocol::ClientAccount guest;
  guest.mName = base::AccountId("guest");
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId("guest");
  change.mBaseVersion = aSimulation.Leader().Configuration().mVersion;
  change.mEdit = guest;
  ASSERT_TRUE(std::get<protocol::ChangeOutcome>(aSimulation.SendAndWait(change))
                .mAccepted);
}

protocol::JobSpec
BorrowingGang()
{
  auto spec = MakeGang("borrower", 2, 8);
  spec.mAccount = base::AccountId("guest");
  return spec;
}

JobSimulationOptions
LongRunOptions()
{
  JobSimulationOptions options;
  options.mRunTime = base::Milliseconds(5000);
  return options;
}

} // namespace

TEST(Preemption, BorrowingJobIsCheckpointedAtOnceAndStoppedAtTheDeadline)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  AddAccountWithoutGuarantees(simulation);
  const base::JobId borrower = simulation.Submit(BorrowingGang());
  ASSERT_TRUE(simulation.RunUntil(
    [&] { return simulation.RunningTasks(borrower) == 2; }));
  simulation.Run(base::Milliseconds(500));
  std::vector<base::Time> saved;
  simulation.mOnCheckpoint = [&](SimulatedAgent& aHost,
                                 const protocol::TaskKey& aKey) {
    saved.push_back(simulation.Now());
    aHost.mAgent->OnTaskCheckpointed(aKey, simulation.Now());
  };
  const base::Time begin = simulation.Now();
  const base::JobId urgent = simulation.Submit(MakeGang("urgent", 2, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(urgent) == 2; }));
  EXPECT_LE(simulation.Now() - begin, base::Milliseconds(1900));
  ASSERT_EQ(saved.size(), 2U);
  EXPECT_LE(saved[0] - begin, base::Milliseconds(20));
  EXPECT_EQ(simulation.RunningTasks(borrower), 0U);
  EXPECT_EQ(simulation.AwaitEnd(urgent).mState, JobState::Finished);
  EXPECT_EQ(simulation.AwaitEnd(borrower).mState, JobState::Finished);
  EXPECT_EQ(
    simulation.mExecutions.back().mResumeFrom,
    protocol::CheckpointName({ borrower,
                               base::AttemptId(1),
                               simulation.mExecutions.back().mKey.mTask }));
}

TEST(Preemption, JobWithoutACheckpointRestartsFromTheBeginning)
{
  JobSimulation simulation(LongRunOptions());
  simulation.Boot();
  AddAccountWithoutGuarantees(simulation);
  const base::JobId borrower = simulation.Submit(BorrowingGang());
  ASSERT_TRUE(simulation.RunUntil(
    [&] { return simulation.RunningTasks(borrower) == 2; }));
  simulation.mOnCheckpoint = [](SimulatedAgent&, const protocol::TaskKey&) {};
  const base::JobId urgent = simulation.Submit(MakeGang("urgent", 2, 8));
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(urgent) == 2; },
                        base::Milliseconds(1900)));
  EXPECT_EQ(simulation.AwaitEnd(borrower).mState, JobState::Finished);
  EXPECT_EQ(simulation.mExecutions.back().mResumeFrom, "");
}

TEST(Preemption, LeaderChangeDuringTheGracePeriodStillFreesTheAccelerators)
{
  auto options = LongRunOptions();
  options.mMembers = 2;
  options.mRunTime = base::Milliseconds(60000);
  JobSimulation simulation(options);
  simulation.Boot();
  AddAccountWithoutGuarantees(simulation);
  const base::JobId borrower = simulation.Submit(BorrowingGang());
  ASSERT_TRUE(simulation.RunUntil(
    [&] { return simulation.RunningTasks(borrower) == 2; }));
  const base::JobId urgent = simulation.Submit(MakeGang("urgent", 2, 8));
  simulation.Run(base::Milliseconds(500));
  simulation.ChangeLeader(1);
  EXPECT_TRUE(
    simulation.RunUntil([&] { return simulation.RunningTasks(urgent) == 2; },
                        base::Milliseconds(8000)));
}

} // namespace dogwooddrum::tests
