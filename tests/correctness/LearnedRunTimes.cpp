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
    model.Add({ QueueKey("q"), base::AccountId("a"), 1 },
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
  record.mQueue = QueueKey("q");
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

/** A leader whose state has a workload "w" with all tasks running. */
struct LeaderWithRuns
{
  explicit LeaderWithRuns(const protocol::WorkloadSpec& aSpec)
    : mLeader({}, mState)
  {
    Catalog catalog;
    catalog.mVersion = protocol::CatalogVersion(1);
    catalog.mQueues.emplace_back().mName = protocol::QueueName("q");
    mState.Apply(Change{ AdoptCatalog{ catalog } });
    Accept accept;
    accept.mRequest.mId = IdOf("w");
    accept.mRequest.mQueue.mName = protocol::QueueName("q");
    accept.mRequest.mAccount = base::AccountId("a");
    accept.mRequest.mSpec = aSpec;
    mState.Apply(Change{ accept });
    for (std::uint32_t i = 0; i < aSpec.mSteps[0].mCount; ++i) {
      OpenRun open;
      open.mStartedAt = base::Time() + base::Milliseconds(1000);
      mLeader.mRuns.emplace(RunOf(i), open);
    }
  }

  static RunId RunOf(std::uint32_t aIndex)
  {
    return { { IdOf("w"), 0, 0, aIndex }, RunNumber(1) };
  }

  void End(std::uint32_t aIndex, std::int64_t aMs, RunEnd aEnd = RunEnd::Done)
  {
    mLeader.mNow = base::Time() + base::Milliseconds(1000 + aMs);
    const auto it = mLeader.mRuns.find(RunOf(aIndex));
    LearnRunTime(mLeader, EndRun{ it->first, aEnd, "", 0 }, it->second);
    mLeader.mRuns.erase(it);
  }

  double Samples() const
  {
    return mLeader.mRunTimeModel
      .Expect({ QueueKey("q"), base::AccountId("a"), 1 }, 0)
      .mSamples;
  }

  State mState;
  LeaderContext mLeader;
};

/** Load: a gang of three with a member that takes five times as long. */
TEST(LearnedRunTimes, GangTakesAsLongAsItsSlowestMember)
{
  LeaderWithRuns gang(OneStepSpec(3, 1000, 1, true));
  gang.End(0, 2000);
  gang.End(2, 2100);
  EXPECT_EQ(gang.Samples(), 0);
  gang.End(1, 10000);
  EXPECT_NEAR(gang.Samples(), 1, 0.01);
  const auto times = gang.mLeader.mRunTimeModel.Expect(
    { QueueKey("q"), base::AccountId("a"), 3 }, 0);
  EXPECT_GT(times.mMedian, base::Milliseconds(7000));
}

TEST(LearnedRunTimes, StepOfManyTasksCountsOnce)
{
  LeaderWithRuns step(OneStepSpec(40, 1000, 1, false));
  for (std::uint32_t i = 0; i < 40; ++i) {
    step.End(i, 5000);
  }
  EXPECT_NEAR(step.Samples(), 1, 0.05);
}

TEST(LearnedRunTimes, UnfitRunsAreNotSamples)
{
  protocol::WorkloadSpec spec = OneStepSpec(4, 1000, 1, false);
  spec.mSteps[0].mDataRack = base::RackId("near");
  LeaderWithRuns runs(spec);
  const auto place = [&](std::uint32_t aIndex, const std::string& aRack) {
    TargetIncarnation target;
    target.mInstance = aRack + std::to_string(aIndex);
    runs.mLeader.mRuns[LeaderWithRuns::RunOf(aIndex)].mTarget = target;
    runs.mLeader.mWorkers[target].mTargetInfo.mRack = base::RackId(aRack);
  };
  place(0, "near");
  place(1, "near");
  place(2, "far");
  place(3, "near");
  runs.mLeader.mRuns[LeaderWithRuns::RunOf(0)].mResumedFrom = "checkpoint";
  runs.End(0, 5000);
  runs.End(1, 5000, RunEnd::Failed);
  runs.End(2, 15000);
  EXPECT_EQ(runs.Samples(), 0) << "resumed, failed or far from its data";
  runs.End(3, 5000);
  EXPECT_GT(runs.Samples(), 0);
}

} // namespace
} // namespace dogwooddrum::tests
