// Guards against gangs that start before all their tasks fit, and against jobs
// that borrow although they must run inside their guarantee.
#include "dogwooddrum/coordination/placement/Placer.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::placement {
namespace {

base::Time
At(std::int64_t aMilliseconds)
{
  return base::Time(base::Milliseconds(aMilliseconds));
}

/** Returns a placer with three workers of eight accelerators in one rack. */
Placer
MakeSmallCluster()
{
  Placer placer{ PlacerOptions{} };
  for (int k = 0; k < 3; ++k) {
    placer.AddOrUpdateWorker({ base::WorkerId("w" + std::to_string(k)),
                               base::RackId("r0"),
                               base::ZoneId("z0"),
                               8 },
                             At(0));
  }
  protocol::Configuration configuration;
  configuration.mAccounts.push_back({ base::AccountId("yard"), { { 1, 8 } } });
  configuration.mProfiles.push_back({ base::ProfileId("batch") });
  placer.SetConfiguration(configuration);
  return placer;
}

JobRequest
MakeGang(std::uint64_t aJob, std::uint32_t aTasks, std::uint32_t aAccelerators)
{
  JobRequest request;
  request.mJob = base::JobId(aJob);
  request.mAccount = base::AccountId("yard");
  request.mProfile = base::ProfileId("batch");
  request.mShape = { aTasks, aAccelerators, protocol::Adjacency::Rack };
  return request;
}

TEST(PlacementWholeGangs, GangWaitsUntilAllTasksFit)
{
  Placer placer = MakeSmallCluster();
  placer.Submit(MakeGang(1, 1, 8), At(0));
  ASSERT_EQ(placer.Decide(At(0)).size(), 1U);
  placer.Submit(MakeGang(2, 3, 8), At(1));
  for (const auto& decision : placer.Decide(At(1))) {
    EXPECT_FALSE(std::holds_alternative<Start>(decision));
  }
  placer.Remove(base::JobId(1), At(2));
  const auto decisions = placer.Decide(At(2));
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(std::get<Start>(decisions[0]).mTasks.size(), 3U);
}

TEST(PlacementWholeGangs, ImpossibleShapeIsRejectedWithTheLargestShape)
{
  Placer placer = MakeSmallCluster();
  placer.Submit(MakeGang(1, 4, 8), At(0));
  const auto decisions = placer.Decide(At(0));
  ASSERT_EQ(decisions.size(), 1U);
  const auto& reject = std::get<Reject>(decisions[0]);
  EXPECT_EQ(reject.mReason, base::Reason::CanNeverRun);
  EXPECT_EQ(reject.mLargest.mTasks, 3U);
}

TEST(PlacementWholeGangs, WorkThatIsNotRepeatableStaysInsideItsGuarantee)
{
  Placer placer = MakeSmallCluster();
  for (std::uint64_t job = 1; job <= 2; ++job) {
    JobRequest request = MakeGang(job, 1, 8);
    request.mRepeatable = false;
    placer.Submit(request, At(0));
  }
  const auto decisions = placer.Decide(At(0));
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_FALSE(std::get<Start>(decisions[0]).mBorrowed);
}

} // namespace
} // namespace dogwooddrum::coordination::placement
