// Guards against violations that scripted cases do not reach, by random mixes
// of lost, repeated and late messages, agent restarts, freezes, leader changes
// and cancellations.
#include "tests/support/World.h"

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
    , mWorld(Options())
  {
  }

  void Run()
  {
    mWorld.Boot();
    mWorld.mToControl = [this](const auto&) { return DrawCopies(); };
    mWorld.mToAgent = [this](const auto&) { return DrawCopies(); };
    for (int i = 0; i < 60; ++i) {
      InjectRandomEvent();
      mWorld.Run(base::Milliseconds(DrawBelow(200)));
      CheckAccelerators();
    }
    mWorld.mToControl = nullptr;
    mWorld.mToAgent = nullptr;
    for (std::uint32_t i = 0; i < 4; ++i) {
      if (mWorld.Host(i).mFrozen) {
        mWorld.Resume(i);
      }
    }
    for (const SubmittedJob& job : mJobs) {
      CheckEnd(job);
    }
  }

private:
  static WorldOptions Options()
  {
    WorldOptions options;
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
    AgentHost& host = mWorld.Host(worker);
    switch (DrawBelow(12)) {
      case 0:
        mWorld.RestartAgent(worker);
        break;
      case 1:
        if (host.mFrozen) {
          mWorld.Resume(worker);
        } else {
          mWorld.Freeze(worker);
        }
        break;
      case 2:
        mLeader = (mLeader + 1 + DrawBelow(2)) % 3;
        mWorld.ChangeLeader(mLeader, DrawBelow(2) == 0);
        break;
      case 3:
        if (!mJobs.empty()) {
          mWorld.Send(protocol::CancelRequest{
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
    auto spec = Gang("k" + std::to_string(mJobs.size()), job.mTasks, 2);
    spec.mRepeatable = job.mRepeatable;
    while (job.mJob.Value() == 0) {
      const auto reply = mWorld.Ask(protocol::SubmitRequest{ spec });
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
      for (const auto& [key, start] : mWorld.Host(i).mRunning) {
        used += start.mAccelerators;
      }
      ASSERT_LE(used, 8U) << "worker " << i;
    }
  }

  void CheckEnd(const SubmittedJob& aJob)
  {
    const auto view = mWorld.AwaitEnd(aJob.mJob, base::Milliseconds(200000));
    const std::size_t starts = mWorld.Starts(aJob.mJob);
    std::set<protocol::TaskKey> keys;
    for (const Execution& execution : mWorld.mExecutions) {
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
      EXPECT_EQ(mWorld.Answer(aJob.mJob), expected);
    }
  }

  std::mt19937 mRandom;
  World mWorld;
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
