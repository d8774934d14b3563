// Guards against taking slow workers for fast ones and the reverse, from the
// progress of tasks whose work differs, and against forgetting it with a
// leader.
#include "dogwooddrum/coordination/workloads/ObservationPublisher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

/** Lists the progress of steps of six tasks on random VMs of aSlowness, whose
 * work has an error with the standard deviation aSpread. */
class ObservedLoad
{
public:
  ObservedLoad(std::vector<double> aSlowness, double aSpread)
    : mSlowness(std::move(aSlowness))
    , mSpread(aSpread)
  {
  }

  static std::string NameOf(std::size_t aVm)
  {
    return "vm-" + std::to_string(aVm);
  }
  void SetSlowness(std::size_t aVm, double aSlowness)
  {
    mSlowness[aVm] = aSlowness;
  }
  /** aRemoteVm: its tasks take three times as long, away from their data. */
  void RunSteps(WorkerSpeeds& aSpeeds, int aCount, std::size_t aRemoteVm = 1000)
  {
    std::uniform_int_distribution<std::size_t> vms(0, mSlowness.size() - 1);
    std::normal_distribution<double> errors(0, mSpread);
    std::uniform_real_distribution<double> works(0.5, 4);
    for (; aCount > 0; --aCount) {
      const double work = works(mRandom);
      ++mWorkload;
      std::vector<Listed> tasks;
      for (std::uint32_t i = 0; i < 6; ++i) {
        const auto vm = vms(mRandom);
        const double factor = vm == aRemoteVm ? 3 : 1;
        tasks.push_back(
          { vm, work * mSlowness[vm] * factor * std::exp(errors(mRandom)) });
      }
      const auto slowest = std::max_element(tasks.begin(), tasks.end());
      constexpr int kLists = 40;
      for (int list = 0; list < kLists; ++list) {
        const double seconds = slowest->mSeconds * list / kLists;
        ListTasks(aSpeeds, tasks, seconds, aRemoteVm);
        mNow += base::Milliseconds(
          static_cast<std::int64_t>(slowest->mSeconds * 1000 / kLists));
      }
    }
  }

private:
  struct Listed
  {
    std::size_t mVm;
    double mSeconds;
    bool operator<(const Listed& aOther) const
    {
      return mSeconds < aOther.mSeconds;
    }
  };

  /** The listed progress of a member of a gang that waits is 100 percent. */
  void ListTasks(WorkerSpeeds& aSpeeds,
                 const std::vector<Listed>& aTasks,
                 double aSeconds,
                 std::size_t aRemoteVm) const
  {
    for (std::uint32_t i = 0; i < aTasks.size(); ++i) {
      const protocol::TaskId task{
        protocol::WorkloadId(std::to_string(mWorkload)), 0, 0, i
      };
      aSpeeds.Add(NameOf(aTasks[i].mVm),
                  { task, protocol::RunNumber(1) },
                  static_cast<std::uint32_t>(
                    std::min(100.0, 100 * aSeconds / aTasks[i].mSeconds)),
                  aTasks[i].mVm == aRemoteVm,
                  mNow);
    }
  }

  std::vector<double> mSlowness;
  double mSpread;
  std::mt19937_64 mRandom{ 7 };
  base::Time mNow{ base::Milliseconds(1000) };
  int mWorkload = 0;
};

TEST(ObservedSpeeds, TwoGroupsOfVmsAreToldApart)
{
  ObservedLoad load({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 }, 0.3);
  WorkerSpeeds speeds;
  load.RunSteps(speeds, 30);
  for (const std::size_t vm : { 0U, 1U, 3U, 4U }) {
    EXPECT_LT(speeds.SlownessOf(ObservedLoad::NameOf(vm)), 1.3) << vm;
  }
  for (const std::size_t vm : { 2U, 5U }) {
    EXPECT_GT(speeds.SlownessOf(ObservedLoad::NameOf(vm)), 1.8) << vm;
  }
}

TEST(ObservedSpeeds, EqualVmsDoNotDiffer)
{
  ObservedLoad load({ 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 }, 0.3);
  WorkerSpeeds speeds;
  load.RunSteps(speeds, 60);
  EXPECT_TRUE(speeds.Observed().empty());
}

TEST(ObservedSpeeds, RemoteTasksDoNotCountAsSlow)
{
  ObservedLoad load({ 1, 1, 1, 1 }, 0.1);
  WorkerSpeeds speeds;
  load.RunSteps(speeds, 30, 2);
  EXPECT_EQ(speeds.SlownessOf("vm-2"), 1);
}

TEST(ObservedSpeeds, VmThatRecoversIsNoLongerSlow)
{
  ObservedLoad load({ 1, 1, 1, 3 }, 0.2);
  WorkerSpeeds first;
  load.RunSteps(first, 30);
  ASSERT_GT(first.SlownessOf("vm-3"), 2);
  WorkerSpeeds next;
  next.Adopt(first.Observed());
  EXPECT_GT(next.SlownessOf("vm-3"), 2) << "the next leader starts with it";
  load.SetSlowness(3, 1);
  load.RunSteps(next, 90);
  EXPECT_EQ(next.SlownessOf("vm-3"), 1);
}

TEST(ObservedSpeeds, ArePublishedOnlyWhenTheyDiffer)
{
  State state;
  LeaderContext leader(WorkloadSchedulerOptions(), state);
  const auto publishAt = [&leader](std::int64_t aMs) {
    leader.mNow = base::Time(base::Milliseconds(aMs));
    PublishObservations(leader);
    return std::exchange(leader.mOutput.mChanges, {});
  };
  EXPECT_TRUE(publishAt(1000).empty()) << "nothing is known";
  leader.mWorkerSpeeds.Adopt({ { "vm-1", 2400, 8 } });
  EXPECT_TRUE(publishAt(5900).empty()) << "5 s have not passed";
  const auto changes = publishAt(6000);
  ASSERT_EQ(changes.size(), 1U);
  state.Apply(changes.front());
  leader.mWorkerSpeeds.Adopt({ { "vm-1", 2300, 9 } });
  EXPECT_TRUE(publishAt(20000).empty()) << "a small difference";
  LeaderContext next(WorkloadSchedulerOptions(), state);
  AdoptObservations(next);
  EXPECT_NEAR(next.mWorkerSpeeds.SlownessOf("vm-1"), 2.4, 0.01);
}

} // namespace
} // namespace dogwooddrum::tests
