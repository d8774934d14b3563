// Guards against a load report that misses a duplicate execution or counts an
// allowed retry as one.
#include "dogwooddrum/cli/DuplicateRuns.h"

#include <gtest/gtest.h>

namespace dogwooddrum::cli {

TEST(DuplicateRuns, OnlyARepeatableJobMayRunInASecondAttempt)
{
  const JobRepeatability jobs = { { 1, true }, { 2, false } };
  EXPECT_TRUE(
    FindDuplicateRuns(
      { { 1, 1, 0 }, { 1, 1, 1 }, { 1, 2, 0 }, { 2, 1, 0 }, { 2, 1, 1 } }, jobs)
      .empty());
  EXPECT_EQ(FindDuplicateRuns({ { 2, 1, 0 }, { 2, 2, 0 } }, jobs).size(), 1U);
  EXPECT_EQ(FindDuplicateRuns({ { 1, 1, 0 }, { 1, 1, 0 } }, jobs).size(), 1U);
}

TEST(DuplicateRuns, JobsOfOtherCallersAreSkipped)
{
  EXPECT_TRUE(FindDuplicateRuns({ { 9, 1, 0 }, { 9, 1, 0 } }, {}).empty());
}

} // namespace dogwooddrum::cli
