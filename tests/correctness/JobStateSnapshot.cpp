// Guards against a snapshot that loses state, differs between members or is
// accepted although it is damaged.
#include "tests/support/JobSimulation.h"

#include "dogwooddrum/coordination/jobs/JobState.h"
#include "dogwooddrum/protocol/Codec.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {

namespace jobs = coordination::jobs;

namespace {

/** Adds queued, running, cancelled and finished jobs. */
void
AddJobsInEveryState(JobSimulation& aSimulation)
{
  aSimulation.Boot();
  aSimulation.AwaitEnd(aSimulation.Submit(MakeSmallJob("done")));
  aSimulation.mOnStart = [](SimulatedAgent& aHost,
                            const agent::StartTask& aStart) {
    aHost.mRunning[aStart.mKey] = aStart;
    return true;
  };
  aSimulation.Submit(MakeGang("running", 2, 6));
  aSimulation.SendAndWait(
    protocol::CancelRequest{ aSimulation.Submit(MakeGang("cancelled", 1, 2)) });
  aSimulation.Submit(MakeGang("queued", 2, 8));
  aSimulation.Run(base::Milliseconds(100));
}

} // namespace

TEST(JobStateSnapshot, MembersThatApplyTheSameLogSaveTheSameBytes)
{
  JobSimulationOptions options;
  options.mMembers = 3;
  JobSimulation simulation(options);
  AddJobsInEveryState(simulation);
  const std::string first = simulation.Member(0).SaveState();
  EXPECT_EQ(simulation.Member(1).SaveState(), first);
  EXPECT_EQ(simulation.Member(2).SaveState(), first);
}

TEST(JobStateSnapshot, RestoredMemberFollowsAndLeads)
{
  JobSimulationOptions options;
  options.mMembers = 2;
  JobSimulation simulation(options);
  AddJobsInEveryState(simulation);
  simulation.RestartMember(1);
  EXPECT_EQ(simulation.Member(1).SaveState(), simulation.Member(0).SaveState());
  simulation.mOnStart = nullptr;
  simulation.ChangeLeader(1);
  const base::JobId job = simulation.Submit(MakeSmallJob("done"));
  EXPECT_EQ(simulation.QueryJob(job).mState, protocol::JobState::Finished);
  EXPECT_EQ(simulation.FetchAnswer(job), "answer0");
}

TEST(JobStateSnapshot, EveryDamagedByteIsDetected)
{
  JobSimulation simulation;
  AddJobsInEveryState(simulation);
  const std::string good = simulation.Leader().SaveState();
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
  JobSimulation simulation;
  AddJobsInEveryState(simulation);
  jobs::JobState state;
  for (const std::string& payload : simulation.mLog) {
    const auto batch = protocol::Decode<jobs::Batch>(payload);
    ASSERT_TRUE(batch) << batch.LastFailure().mMessage;
    state.Apply(*batch);
  }
  EXPECT_EQ(state.Save(), simulation.Leader().SaveState());
}

TEST(JobStateSnapshot, StateStaysBoundedOverManyJobs)
{
  JobSimulationOptions options;
  options.mControl.mKeyRetention = base::Milliseconds(2000);
  JobSimulation simulation(options);
  simulation.Boot();
  std::size_t most = 0;
  for (int i = 0; i < 300; ++i) {
    const base::JobId job =
      simulation.Submit(MakeSmallJob("k" + std::to_string(i)));
    simulation.AwaitEnd(job);
    simulation.SendAndWait(protocol::AcknowledgeRequest{ job });
    most = std::max(most, simulation.Leader().SaveState().size());
  }
  simulation.Run(base::Milliseconds(8000));
  EXPECT_LT(simulation.Leader().SaveState().size(), 2000U);
  EXPECT_LT(most, 60000U);
}

} // namespace dogwooddrum::tests
