// Guards against a transition that the life cycles do not allow, such as a
// second end of a job or a start after a fence.
#include "dogwooddrum/coordination/jobs/LifeCycle.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::jobs {

TEST(LifeCycleTables, EndedJobsNeverChange)
{
  for (const JobPhase phase :
       { JobPhase::Finished, JobPhase::Failed, JobPhase::Cancelled }) {
    for (int e = 0; e < static_cast<int>(JobEvent::Count); ++e) {
      EXPECT_FALSE(NextPhase(phase, static_cast<JobEvent>(e)));
    }
  }
}

TEST(LifeCycleTables, GangRunsOnlyAfterItsCommit)
{
  EXPECT_EQ(NextPhase(JobPhase::Queued, JobEvent::StartGang),
            JobPhase::Preparing);
  EXPECT_FALSE(NextPhase(JobPhase::Preparing, JobEvent::Complete));
  EXPECT_EQ(NextPhase(JobPhase::Preparing, JobEvent::CommitGang),
            JobPhase::Active);
  EXPECT_FALSE(NextPhase(JobPhase::Stopping, JobEvent::CommitGang));
}

TEST(LifeCycleTables, EveryUnfinishedJobCanBeCancelled)
{
  for (int p = 0; p < static_cast<int>(JobPhase::Finished); ++p) {
    EXPECT_EQ(NextPhase(static_cast<JobPhase>(p), JobEvent::Cancel),
              JobPhase::Cancelled);
  }
}

TEST(LifeCycleTables, FencedLeaseNeverRunsAgain)
{
  for (int e = 0; e < static_cast<int>(LeaseEvent::Count); ++e) {
    EXPECT_FALSE(NextPhase(LeasePhase::Fenced, static_cast<LeaseEvent>(e)));
    EXPECT_FALSE(NextPhase(LeasePhase::Expired, static_cast<LeaseEvent>(e)));
  }
}

TEST(LifeCycleTables, LateReportChangesNothing)
{
  EXPECT_FALSE(NextPhase(LeasePhase::Running, LeaseEvent::ReportPrepared));
  EXPECT_FALSE(NextPhase(LeasePhase::Finished, LeaseEvent::ReportRunning));
  EXPECT_EQ(NextPhase(LeasePhase::Finished, LeaseEvent::Expire),
            LeasePhase::Expired);
}

} // namespace dogwooddrum::coordination::jobs
