// Guards against a group that loses its quorum, and with it what it
// acknowledged, when a disk is lost right after a member was replaced as
// planned: the member that had left still counted as a voter, and its successor
// had waited without a vote.
#include "tests/support/SeededGroup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <thread>

namespace dogwooddrum::tests {
namespace {

using support::Eventually;
using support::kRecoveryLimit;
using support::SeededGroup;
using Milliseconds = std::chrono::milliseconds;

/** Time after which a successor counts as caught up. */
constexpr Milliseconds kCatchUp(4000);
/** Time after SIGTERM in which a member must have ended. */
constexpr Milliseconds kGrace(6000);
/** A restart without a successor must not take longer than this. */
constexpr Milliseconds kPlainRestart(1500);

/** A group of three members and the version of its configuration. */
class PlannedReplacement : public testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(mGroup.Found(mNames, 1));
    ASSERT_TRUE(PutConfiguration());
  }

  bool PutConfiguration()
  {
    ++mVersion;
    return Eventually(
      [this] {
        return std::any_of(
          mNames.begin(), mNames.end(), [this](const std::string& aName) {
            return mGroup.PutConfiguration(aName, mVersion);
          });
      },
      kRecoveryLimit);
  }

  /** Returns whether the newest configuration is read back in time. */
  bool CanReadConfiguration() const
  {
    return Eventually(
      [this] {
        return std::any_of(
          mNames.begin(), mNames.end(), [this](const std::string& aName) {
            return mGroup.ReadConfiguration(aName) == mVersion;
          });
      },
      kRecoveryLimit);
  }

  /** Returns a follower that was a member from the start. */
  std::string FindFollower() const
  {
    const std::string leader = mGroup.FindLeader();
    return *std::find_if(
      mNames.begin(), mNames.end(), [&](const std::string& aName) {
        return aName != leader && mSuccessors.count(aName) == 0;
      });
  }

  /** Starts a successor, gives it time to catch up, and ends aLeaving. */
  void Replace(const std::string& aLeaving, const std::string& aSuccessor)
  {
    mGroup.WriteControl(aSuccessor, mNames, false, 1);
    mGroup.Start(aSuccessor);
    std::this_thread::sleep_for(kCatchUp);
    EXPECT_LT(mGroup.Terminate(aLeaving, kGrace), kGrace);
    std::replace(mNames.begin(), mNames.end(), aLeaving, aSuccessor);
    mSuccessors.insert(aSuccessor);
  }

  void LoseDisk(const std::string& aName)
  {
    mGroup.Kill(aName);
    mGroup.WipeDisk(aName);
    mGroup.WriteControl(aName, mNames, false, 1);
    mGroup.Start(aName);
  }

  SeededGroup mGroup;
  SeededGroup::Seeds mNames{ "control1", "control2", "control3" };
  std::set<std::string> mSuccessors;
  int mVersion = 3;
};

// A follower left, and the leader lost its disk: two of three voters were gone.
TEST_F(PlannedReplacement, LeaderLosesItsDiskRightAfterAFollowerLeft)
{
  const std::string leader = mGroup.FindLeader();
  Replace(FindFollower(), "control4");
  ASSERT_TRUE(PutConfiguration());
  LoseDisk(leader);
  EXPECT_TRUE(CanReadConfiguration());
}

// The leader left after it had handed over, and its successor lost its disk.
TEST_F(PlannedReplacement, FollowerLosesItsDiskRightAfterTheLeaderLeft)
{
  const std::string leader = mGroup.FindLeader();
  Replace(leader, "control4");
  ASSERT_TRUE(PutConfiguration());
  LoseDisk(FindFollower());
  EXPECT_TRUE(CanReadConfiguration());
}

// The second replacement began before the first member had been missed.
TEST_F(PlannedReplacement, TwoMembersAreReplacedInARow)
{
  Replace("control1", "control4");
  Replace("control2", "control5");
  ASSERT_TRUE(PutConfiguration());
  LoseDisk("control3");
  EXPECT_TRUE(CanReadConfiguration());
}

// A restart looks like an end until the process is back: without a successor
// the member must neither wait for one nor lose its vote.
TEST_F(PlannedReplacement, RestartWithoutASuccessorKeepsTheVote)
{
  for (const std::string& name : mNames) {
    EXPECT_LT(mGroup.Terminate(name, kGrace), kPlainRestart) << name;
    mGroup.Start(name);
    EXPECT_TRUE(mGroup.AreAllReady()) << name;
  }
  for (const std::string& name : mNames) {
    EXPECT_TRUE(mGroup.LogLines(name, "name=repair_proposed").empty()) << name;
  }
}

// With a spare, the group has all its votes during a restart, and the member
// that comes back is the next spare.
TEST_F(PlannedReplacement, RestartBesideASpareLeavesNoVoteMissing)
{
  Replace("control1", "control4");
  EXPECT_TRUE(mGroup.IsReady("control4")) << "the spare has the vote";
  mGroup.Start("control1");
  ASSERT_TRUE(PutConfiguration());
  EXPECT_TRUE(Eventually(
    [this] {
      return !mGroup.LogLines("control4", "(learner)=127.0.50.1:").empty();
    },
    kRecoveryLimit));
  EXPECT_TRUE(CanReadConfiguration());
}

// The lost disk was one of those that the final fault of a day may take.
TEST_F(PlannedReplacement, AllAreKilledAndADiskIsLostRightAfterAMemberLeft)
{
  Replace("control2", "control4");
  ASSERT_TRUE(PutConfiguration());
  for (const std::string& name : mNames) {
    mGroup.Kill(name);
  }
  mGroup.WipeDisk("control1");
  for (const std::string& name : mNames) {
    mGroup.WriteControl(name, mNames, false, 1);
    mGroup.Start(name);
  }
  EXPECT_TRUE(CanReadConfiguration());
}

} // namespace
} // namespace dogwooddrum::tests
