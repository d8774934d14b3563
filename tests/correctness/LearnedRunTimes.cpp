// Guards against leaders that forget learned run times, expect nothing but the
// caller's estimate, or act on distributions that are switched off.
#include "dogwooddrum/coordination/workloads/LeaderContext.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

constexpr std::uint64_t kEstimateMs = 1000;

protocol::WorkloadId
IdOf(const std::string& aName)
{
  return protocol::WorkloadId(aName);
}

/** Load: a queue whose tasks take 4 s, one in ten 28 s, and whose callers
 * expect 1 s. */
State
StateWithRunTimes()
{
  RunTimeModel model;
  for (int i = 0; i < 100; ++i) {
    model.Add({ protocol::QueueName("q"), base::AccountId("a"), 1 },
              kEstimateMs,
              base::Milliseconds(i % 10 == 9 ? 28000 : 4000),
              1,
              1);
  }
  State state;
  RecordObservations observations;
  observations.mObservations.mRunTimes = model.Export();
  state.Apply(Change{ observations });
  return state;
}

WorkloadRecord
OneTask()
{
  WorkloadRecord record;
  record.mQueueName = protocol::QueueName("q");
  record.mAccount = base::AccountId("a");
  record.mSpec = OneStepSpec(1, 1000, 1, false);
  record.mSpec.mSteps[0].mEstimateMs = kEstimateMs;
  return record;
}

double
SecondsLeft(const LeaderContext& aLeader, std::int64_t aElapsedMs)
{
  const auto left = ExpectedTimeLeftAfter(
    aLeader, OneTask(), { IdOf("w"), 0, 0, 0 }, base::Milliseconds(aElapsedMs));
  return static_cast<double>(left.count()) / 1e6;
}

TEST(LearnedRunTimes, NewLeaderExpectsWhatEarlierOnesLearned)
{
  const State state = StateWithRunTimes();
  LeaderContext leader({}, state);
  EXPECT_NEAR(SecondsLeft(leader, 0), 1, 0.1) << "before the import";
  ImportRunTimes(leader);
  EXPECT_NEAR(SecondsLeft(leader, 0), 4, 4 * 0.42)
    << "a bucket is sqrt(2) wide";
  EXPECT_GT(SecondsLeft(leader, 10000), 5)
    << "a task that outlasts the others belongs to the tail";
}

TEST(LearnedRunTimes, SwitchedOffExpectsTheEstimate)
{
  const State state = StateWithRunTimes();
  WorkloadSchedulerOptions options;
  options.mPolicies.mRunTimeDistributions = false;
  LeaderContext leader(options, state);
  ImportRunTimes(leader);
  EXPECT_NEAR(SecondsLeft(leader, 0), 1, 0.01);
  EXPECT_EQ(SecondsLeft(leader, 1500), 0);
}

} // namespace
} // namespace dogwooddrum::tests
