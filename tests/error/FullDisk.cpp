// Guards against a control member that never votes again after its disk was
// full for a while: with the next lost member the group has no leader for good.
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace dogwooddrum::support {

namespace {

/** Time in which a member whose disk works again must count as one. */
constexpr std::chrono::seconds kCatchUpLimit(4);

bool
IsReady(const ProcessCluster& aCluster, const std::string& aName)
{
  const auto result = aCluster.Call(aName, "GET", "/readyz", "", 1000);
  return result && result->mStatus == 200;
}

bool
IsAccepted(const transport::HttpOutcome& aResult)
{
  return aResult && (aResult->mStatus == 200 || aResult->mStatus == 202);
}

/** Returns the control members that do not lead. */
std::vector<std::string>
FindFollowers(const ProcessCluster& aCluster)
{
  std::vector<std::string> followers;
  const std::string leader = aCluster.FindLeader();
  for (const char* name : { "control-1", "control-2", "control-3" }) {
    if (name != leader) {
      followers.emplace_back(name);
    }
  }
  return followers;
}

} // namespace

TEST(FullDisk, MemberVotesAgainOnceItsDiskTakesWrites)
{
  std::signal(SIGXFSZ, SIG_IGN);
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady());
  const auto followers = FindFollowers(cluster);
  ASSERT_EQ(followers.size(), 2U);
  cluster.LimitFileSize(followers[0], 0);
  ASSERT_TRUE(IsAccepted(cluster.Submit("entry-1", "one", 20000)));
  ASSERT_TRUE(Eventually([&] { return !IsReady(cluster, followers[0]); }));
  cluster.LimitFileSize(followers[0], std::nullopt);
  EXPECT_TRUE(
    Eventually([&] { return IsReady(cluster, followers[0]); }, kCatchUpLimit));
  cluster.Kill(followers[1]);
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "two", 10000)));
}

// The disk is still full when the member tries it again.
TEST(FullDisk, MemberWaitsWhileItsDiskIsFull)
{
  std::signal(SIGXFSZ, SIG_IGN);
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady());
  const auto followers = FindFollowers(cluster);
  ASSERT_EQ(followers.size(), 2U);
  cluster.LimitFileSize(followers[0], 0);
  for (const char* key : { "one", "two", "three", "four", "five", "six" }) {
    ASSERT_TRUE(IsAccepted(cluster.Submit("entry-1", key, 20000)));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  cluster.LimitFileSize(followers[0], std::nullopt);
  EXPECT_TRUE(
    Eventually([&] { return IsReady(cluster, followers[0]); }, kCatchUpLimit));
  cluster.Kill(followers[1]);
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "seven", 10000)));
}

} // namespace dogwooddrum::support
