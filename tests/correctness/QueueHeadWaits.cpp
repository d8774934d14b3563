// Guards against a wait of the first unit of a queue whose cause the log and
// the metrics do not show.
#include "dogwooddrum/coordination/workloads/QueueHeads.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

base::Time
At(std::int64_t aMs)
{
  return base::Time(base::Milliseconds(aMs));
}

/** Four workers of 8 accelerators on two racks, with the given ones free. */
std::vector<WorkerView>
Workers(const std::vector<std::int64_t>& aFree)
{
  std::vector<WorkerView> workers(aFree.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].mTargetIncarnation = { "i-" + std::to_string(i), 1 };
    workers[i].mPool = protocol::PoolName("pool");
    workers[i].mRack = base::RackId(i < 2 ? "r1" : "r2");
    workers[i].mCapacity = { 8000, 8000, 8 };
    workers[i].mFree = { 8000, 8000, aFree[i] };
  }
  return workers;
}

/** A gang of two tasks with 4 accelerators each. */
struct Gang
{
  Gang()
  {
    mStep.mCount = 2;
    mStep.mGang = true;
    mStep.mSameRack = true;
    mStep.mTaskResources = { 1000, 1000, 4 };
    mUnit.mStep = &mStep;
    mUnit.mPool = protocol::PoolName("pool");
    mUnit.mPriority = 1;
    mUnit.mStepTasks.assign(4, 0);
    mUnit.mTasks = { { WorkloadId("gang"), 0, 0, 0 },
                     { WorkloadId("gang"), 0, 0, 1 } };
  }

  protocol::WorkloadStep mStep;
  PlacementUnit mUnit;
};

TEST(QueueHeadWaits, CauseNamesWhatIsMissing)
{
  const Gang gang;
  EXPECT_EQ(FindHeadWaitCause(gang.mUnit, Workers({ 0, 2, 2, 3 }), {}),
            HeadWaitCause::Resources);
  EXPECT_EQ(FindHeadWaitCause(gang.mUnit, Workers({ 3, 3, 3, 3 }), {}),
            HeadWaitCause::Fragmentation);
  EXPECT_EQ(FindHeadWaitCause(gang.mUnit, Workers({ 4, 0, 4, 0 }), {}),
            HeadWaitCause::Locality);
  const std::vector<ResourceVector> headroom = {
    {}, {}, { 0, 0, 4 }, { 0, 0, 4 }
  };
  EXPECT_EQ(FindHeadWaitCause(gang.mUnit, Workers({ 3, 0, 0, 0 }), headroom),
            HeadWaitCause::Headroom);
}

TEST(QueueHeadWaits, WaitIsDividedByCause)
{
  const Gang gang;
  const auto due = std::chrono::seconds(60);
  QueueHeads heads;
  heads.Begin(At(1000));
  EXPECT_FALSE(heads.OnHeadWaits(gang.mUnit, HeadWaitCause::Resources, due));
  EXPECT_TRUE(heads.HasHead({ gang.mUnit.mPool, 1 }));
  EXPECT_TRUE(heads.Finish().empty());
  heads.Begin(At(3000));
  EXPECT_FALSE(heads.HasHead({ gang.mUnit.mPool, 1 }));
  EXPECT_FALSE(heads.OnHeadWaits(gang.mUnit, HeadWaitCause::Headroom, due));
  EXPECT_TRUE(heads.Finish().empty());
  heads.Begin(At(3500)); // placed
  const auto events = heads.Finish();
  ASSERT_EQ(events.size(), 1U);
  using Waits = std::vector<std::pair<std::string, base::Duration>>;
  EXPECT_EQ(events[0].mHeadWaits,
            (Waits{ { "pool/1/resources", std::chrono::seconds(2) },
                    { "pool/1/headroom", base::Milliseconds(500) } }));
}

TEST(QueueHeadWaits, UnitThatIsTooLateForItsObjectiveIsReportedOnce)
{
  const Gang gang;
  QueueHeads heads;
  int reports = 0;
  for (int i = 0; i < 20; ++i) {
    heads.Begin(At(1000 + 250 * i));
    reports += heads.OnHeadWaits(gang.mUnit,
                                 HeadWaitCause::Fragmentation,
                                 base::Milliseconds(2000 - 250 * i))
                 ? 1
                 : 0;
    heads.Finish();
  }
  EXPECT_EQ(reports, 1);
}

} // namespace
} // namespace dogwooddrum::tests
