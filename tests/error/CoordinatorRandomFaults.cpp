// Guards against violations that scripted cases do not reach, by random mixes
// of lost, repeated and late messages, agent restarts, freezes, leader changes
// and cancellations.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace dogwooddrum::tests {

namespace {

struct SubmittedJob
{
  base::JobId mJob;
  bool mRepeatable = true;
  std::uint32_t mTasks = 1;
};

/** Injects random faults and requests and checks every job's end. */
class RandomFaultTest
{
public:
  explicit RandomFaultTest(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mSimulation(Options())
  {
  }

  void Run()
  {
    mSimulation.Boot();
    mSimulation.mCopiesToControl = [this](const auto&) { return DrawCopies(); };
    mSimulation.mCopiesToAgent = [this](const auto&) { return DrawCopies(); };
    for (int i = 0; i < 60; ++i) {
      InjectRandomEvent();
      mSimulation.Run(base::Milliseconds(DrawBelow(200)));
      CheckAccelerators();
    }
    mSimulation.mCopiesToControl = nullptr;
    mSimulation.mCopiesToAgent = nullptr;
    for (std::uint32_t i = 0; i < 4; ++i) {
      if (mSimulation.Host(i).mFrozen) {
        mSimulation.Resume(i);
      }
    }
    for (const SubmittedJob& job : mJobs) {
      CheckEnd(job);
    }
  }

private:
  static JobSimulationOptions Options()
  {
    JobSimulationOptions options;
    options.mMembers = 3;
    options.mWorkers = 4;
    options.mRunTime = base::Milliseconds(300);
    options.mControl.mWarmUp = base::Milliseconds(500);
    return options;
  }

  std::uint32_t DrawBelow(std::uint32_t aBelow)
  {
    return std::uniform_int_distribution<std::uint32_t>(0, aBelow - 1)(mRandom);
  }

  int DrawCopies()
  {
    const std::uint32_t draw = DrawBelow(100);
    return draw < 8 ? 0 : (draw < 16 ? 2 : 1);
  }

  void InjectRandomEvent()
  {
    const std::uint32_t worker = DrawBelow(4);
    SimulatedAgent& host = mSimulation.Host(worker);
    switch (DrawBelow(12)) {
      case 0:
        mSimulation.RestartAgent(worker);
        break;
      case 1:
        if (host.mFrozen) {
          mSimulation.Resume(worker);
        } else {
          mSimulation.Freeze(worker);
        }
        break;
      case 2:
        mLeader = (mLeader + 1 + DrawBelow(2)) % 3;
        mSimulation.ChangeLeader(mLeader, DrawBelow(2) == 0);
        break;
      case 3:
        if (!mJobs.empty()) {
          mSimulation.Send(protocol::CancelRequest{
            mJobs[DrawBelow(static_cast<std::uint32_t>(mJobs.size()))].mJob });
        }
        break;
      default:
        SubmitOne();
        break;
    }
  }

  void SubmitOne()
  {
    SubmittedJob job;
    job.mRepeatable = DrawBelow(2) == 0;
    job.mTasks = DrawBelow(3) == 0 ? 1 + DrawBelow(4) : 1;
    auto spec = MakeGang("k" + std::to_string(mJobs.size()), job.mTasks, 2);
    spec.mRepeatable = job.mRepeatable;
    while (job.mJob.Value() == 0) {
      const auto reply =
        mSimulation.SendAndWait(protocol::SubmitRequest{ spec });
      if (const auto* view = std::get_if<protocol::JobView>(&reply)) {
        job.mJob = view->mJob;
      }
    }
    mJobs.push_back(job);
  }

  void CheckAccelerators()
  {
    for (std::uint32_t i = 0; i < 4; ++i) {
      std::uint32_t used = 0;
      for (const auto& [key, start] : mSimulation.Host(i).mRunning) {
        used += start.mAccelerators;
      }
      ASSERT_LE(used, 8U) << "worker " << i;
    }
  }

  void CheckEnd(const SubmittedJob& aJob)
  {
    const auto view =
      mSimulation.AwaitEnd(aJob.mJob, base::Milliseconds(200000));
    const std::size_t starts = mSimulation.StartCount(aJob.mJob);
    std::set<protocol::TaskKey> keys;
    for (const Execution& execution : mSimulation.mExecutions) {
      if (execution.mKey.mJob == aJob.mJob) {
        EXPECT_TRUE(keys.insert(execution.mKey).second)
          << "an attempt's task started twice, job " << aJob.mJob;
      }
    }
    if (!aJob.mRepeatable) {
      EXPECT_LE(starts, aJob.mTasks) << "job " << aJob.mJob;
    }
    if (view.mRan == base::Ran::NotRun) {
      EXPECT_EQ(starts, 0U) << "job " << aJob.mJob << " did run";
    }
    if (view.mState == protocol::JobState::Finished) {
      std::string expected;
      for (std::uint32_t i = 0; i < aJob.mTasks; ++i) {
        expected += "answer" + std::to_string(i);
      }
      EXPECT_EQ(mSimulation.FetchAnswer(aJob.mJob), expected);
    }
  }

  std::mt19937 mRandom;
  JobSimulation mSimulation;
  std::vector<SubmittedJob> mJobs;
  std::uint32_t mLeader = 0;
};

} // namespace

RC_GTEST_PROP(CoordinatorRandomFaults,
              NothingRunsTwiceAndEveryJobEnds,
              (std::uint32_t aSeed))
{
  RandomFaultTest test(aSeed);
  test.Run();
  RC_ASSERT(!::testing::Test::HasFailure());
}

} // namespace dogwooddrum::tests
