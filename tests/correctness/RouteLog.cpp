// Guards against processes that lose the leader and do not log since when, whom
// they know and over which links, and against lines that repeat without bound.
#include "dogwooddrum/daemon/ControlLinks.h"
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <regex>

namespace dogwooddrum::support {
namespace {

std::size_t
CountLines(const std::string& aLog, const std::string& aName)
{
  std::size_t lines = 0;
  const std::string name = " name=" + aName + " ";
  for (auto at = aLog.find(name); at != std::string::npos;
       at = aLog.find(name, at + 1)) {
    ++lines;
  }
  return lines;
}

double
MetricOf(const ProcessCluster& aCluster,
         const std::string& aProcess,
         const std::string& aName)
{
  const auto answer = aCluster.Call(aProcess, "GET", "/metrics");
  const std::string line = "\ndogwooddrum_" + aName + " ";
  const auto at = answer ? answer->mBody.find(line) : std::string::npos;
  EXPECT_NE(at, std::string::npos) << aName << " of " << aProcess;
  return at == std::string::npos
           ? -1
           : std::stod(answer->mBody.substr(at + line.size()));
}

} // namespace

TEST(RouteLog, LineNamesMembersAndTheLastRedirect)
{
  daemon::RouteStatus status;
  status.mWithoutRoute = base::Milliseconds(1500);
  status.mMembers.push_back({ "10.0.0.1:1", 1, true, true });
  status.mMembers.push_back({ "10.0.0.2:1", 0, false, false });
  const base::Time now(base::Milliseconds(5000));
  const auto line = [&] {
    return service::FormatLogLine(service::LogEvent::NoRoute,
                                  daemon::DescribeRoute(status, now));
  };
  const std::string members =
    "level=warning event=207 name=no_route text=\"no route to a leader for "
    "1500 ms\" for_ms=1500 members=\"10.0.0.1:1 member 1 link open selected; "
    "10.0.0.2:1 link closed\" redirect=";
  EXPECT_EQ(line(), members + "none");
  status.mLastRedirect = "member 2 at 10.0.0.2:1";
  status.mRedirectedAt = base::Time(base::Milliseconds(4900));
  EXPECT_EQ(line(), members + "\"member 2 at 10.0.0.2:1, 100 ms ago\"");
}

// After the loss of a majority the logs of the rest named no reason.
TEST(RouteLog, RestOfAGroupWithoutAMajorityTellsWhatItMisses)
{
  ProcessClusterOptions options;
  options.mAgents = 1;
  ProcessCluster cluster(options);
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  EXPECT_EQ(MetricOf(cluster, "control-1", "leaderless_seconds"), 0);
  EXPECT_EQ(MetricOf(cluster, "entry-1", "routeless_seconds"), 0);
  EXPECT_EQ(MetricOf(cluster, "agent-1", "routeless_seconds"), 0);
  EXPECT_EQ(CountLines(cluster.ReadLog("entry-1"), "control_addresses"), 1U);
  const auto killedAt = std::chrono::steady_clock::now();
  cluster.Kill("control-2");
  cluster.Kill("control-3");
  EXPECT_TRUE(Eventually([&] {
    return CountLines(cluster.ReadLog("control-1"), "leader_unknown") >= 2 &&
           CountLines(cluster.ReadLog("entry-1"), "no_route") >= 2 &&
           CountLines(cluster.ReadLog("agent-1"), "no_route") >= 2;
  }))
    << cluster.ReadLog("control-1") << cluster.ReadLog("entry-1")
    << cluster.ReadLog("agent-1");
  EXPECT_GT(MetricOf(cluster, "control-1", "leaderless_seconds"), 1);
  EXPECT_GT(MetricOf(cluster, "entry-1", "routeless_seconds"), 1);
  EXPECT_GT(MetricOf(cluster, "agent-1", "routeless_seconds"), 1);
  const std::string control = cluster.ReadLog("control-1");
  EXPECT_TRUE(std::regex_search(
    control,
    std::regex("name=leader_unknown .* other_voters=\"2:link=closed,heard_ms="
               "([0-9]+|never),vote=none 3:link=closed,heard_ms=([0-9]+|never),"
               "vote=none\"")))
    << control;
  EXPECT_NE(cluster.ReadLog("entry-1").find("redirect=\"no leader, "),
            std::string::npos)
    << cluster.ReadLog("entry-1");
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                         std::chrono::steady_clock::now() - killedAt)
                         .count();
  EXPECT_LE(CountLines(cluster.ReadLog("entry-1"), "no_route"), seconds + 1U);
  cluster.Start("control-2");
  EXPECT_TRUE(Eventually([&] {
    return MetricOf(cluster, "entry-1", "routeless_seconds") == 0 &&
           MetricOf(cluster, "agent-1", "routeless_seconds") == 0 &&
           MetricOf(cluster, "control-1", "leaderless_seconds") == 0;
  }));
}

} // namespace dogwooddrum::support
