// Guards against work that is lost or runs twice when processes crash, freeze
// or lose their disk, and against processes that start with unsafe settings.
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace dogwooddrum::support {

namespace {

using std::chrono::milliseconds;

std::future<transport::HttpOutcome>
SubmitAsync(const ProcessCluster& aCluster, int aRunMs)
{
  return std::async(std::launch::async, [&aCluster, aRunMs] {
    return aCluster.Submit("entry-1",
                           "one",
                           20000,
                           R"("repeatable":false,"payload":{"run_ms":)" +
                             std::to_string(aRunMs) + "}",
                           45000);
  });
}

bool
IsAccepted(const transport::HttpOutcome& aResult)
{
  return aResult && (aResult->mStatus == 200 || aResult->mStatus == 202);
}

/** Returns whether the server closes a connection on which aBytes were sent. */
bool
IsClosedAfter(std::uint16_t aPort, const std::string& aBytes)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval limit = { 5, 0 };
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  bool closed = false;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
      0) {
    ::send(fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, 0);
    closed = n == 0 || (n < 0 && errno == ECONNRESET);
  }
  ::close(fd);
  return closed;
}

} // namespace

TEST(ProcessFaults, KilledLeaderLosesNoWorkAndRepeatsNone)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  auto request = SubmitAsync(cluster, 2000);
  ASSERT_TRUE(Eventually([&] { return cluster.CountRuns("1") == 1; }));
  const auto leader = cluster.FindLeader();
  ASSERT_FALSE(leader.empty());
  cluster.Kill(leader);
  const auto result = request.get();
  ASSERT_TRUE(result) << result.LastFailure().mMessage;
  EXPECT_EQ(JsonField(result->mBody, "state"), "finished") << result->mBody;
  cluster.Start(leader);
  EXPECT_TRUE(Eventually([&] {
    const auto ready = cluster.Call(leader, "GET", "/readyz", "", 1000);
    return ready && ready->mStatus == 200;
  }))
    << cluster.ReadLog(leader);
  EXPECT_EQ(cluster.CountRuns("1"), 1);
}

TEST(ProcessFaults, FrozenLeaderIsReplacedAndRejoins)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  const auto leader = cluster.FindLeader();
  ASSERT_FALSE(leader.empty());
  cluster.Signal(leader, SIGSTOP);
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "frozen", 0)));
  cluster.Signal(leader, SIGCONT);
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "after", 0)));
  const auto first = cluster.Submit("entry-1", "frozen", 10000);
  ASSERT_TRUE(first);
  EXPECT_EQ(JsonField(first->mBody, "state"), "finished") << first->mBody;
  EXPECT_EQ(cluster.CountRuns(JsonField(first->mBody, "job")), 1);
}

TEST(ProcessFaults, FrozenAgentNeverRunsUnrepeatableWorkTwice)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  auto request = SubmitAsync(cluster, 1000);
  ASSERT_TRUE(Eventually([&] { return cluster.CountRuns("1") == 1; }));
  cluster.Signal("agent-1", SIGSTOP);
  cluster.Signal("agent-2", SIGSTOP);
  // Longer than the silence after which control marks an agent as lost.
  std::this_thread::sleep_for(milliseconds(4000));
  cluster.Signal("agent-1", SIGCONT);
  cluster.Signal("agent-2", SIGCONT);
  const auto result = request.get();
  ASSERT_TRUE(result) << result.LastFailure().mMessage;
  const auto state = JsonField(result->mBody, "state");
  EXPECT_TRUE(state == "finished" ||
              JsonField(result->mBody, "ran") == "may_have_run")
    << result->mBody;
  EXPECT_EQ(cluster.CountRuns("1"), 1);
}

TEST(ProcessFaults, MemberWithoutItsDiskRejoinsUnderANewId)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  cluster.Kill("control-3");
  std::filesystem::remove_all(cluster.Folder() + "/data-3");
  cluster.WriteControlSettings(3, 4);
  cluster.Start("control-3");
  const auto change = [&](const std::string& aBody) {
    return Eventually([&] {
      const auto result =
        cluster.Call("entry-1", "POST", "/v1/members", aBody, 5000);
      return result && result->mStatus == 200;
    });
  };
  const auto port = std::to_string(cluster.LinkPort(3));
  ASSERT_TRUE(change(R"({"action":"remove","member":3})"));
  ASSERT_TRUE(change(R"({"action":"add","member":4,"address":"127.0.0.1:)" +
                     port + "\"}"));
  ASSERT_TRUE(change(R"({"action":"promote","member":4})"))
    << cluster.ReadLog("control-3");
  cluster.Kill("control-2");
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "repaired", 0)))
    << cluster.ReadLog("control-3");
}

TEST(ProcessFaults, VoterWithoutItsDiskIsRefusedUnderItsOldId)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  cluster.Kill("control-3");
  std::filesystem::remove_all(cluster.Folder() + "/data-3");
  cluster.Start("control-3");
  EXPECT_TRUE(Eventually([&] {
    return cluster.ReadLog("control-3").find("knows member 3 as a voter") !=
           std::string::npos;
  }))
    << cluster.ReadLog("control-3");
}

TEST(ProcessFaults, CorruptLogIsRefusedWithItsFile)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(
      IsAccepted(cluster.Submit("entry-1", "key-" + std::to_string(i), 0)));
  }
  cluster.Kill("control-2");
  std::filesystem::path largest;
  std::uintmax_t size = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(
         cluster.Folder() + "/data-2/log")) {
    if (file.is_regular_file() && file.file_size() > size) {
      largest = file.path();
      size = file.file_size();
    }
  }
  {
    std::fstream file(largest, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(size / 3));
    file.write("damaged!", 8);
  }
  cluster.Start("control-2");
  EXPECT_EQ(cluster.WaitExit("control-2", milliseconds(10000)), 1);
  EXPECT_NE(cluster.ReadLog("control-2").find(largest.filename().string()),
            std::string::npos)
    << cluster.ReadLog("control-2");
  EXPECT_TRUE(IsAccepted(cluster.Submit("entry-1", "after", 0)));
}

TEST(ProcessFaults, WorldReadableKeyFileIsRefused)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  cluster.Kill("entry-1");
  ::chmod((cluster.Folder() + "/link.key").c_str(), 0644);
  cluster.Start("entry-1");
  EXPECT_EQ(cluster.WaitExit("entry-1", milliseconds(10000)), 1);
  EXPECT_NE(cluster.ReadLog("entry-1").find("accessible by others"),
            std::string::npos);
}

TEST(ProcessFaults, WrongKeyAndMalformedFramesDoNotDisturbOthers)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  EXPECT_TRUE(IsClosedAfter(cluster.LinkPort(1), std::string(64, '\x7f')));
  std::ofstream(cluster.Folder() + "/link.key", std::ios::trunc)
    << "another-key-0123456789";
  cluster.Kill("agent-2");
  cluster.Start("agent-2");
  EXPECT_TRUE(Eventually([&] {
    const auto metrics = cluster.Call("agent-2", "GET", "/metrics", "", 1000);
    return metrics &&
           metrics->mBody.find(
             "dogwooddrum_links_closed_total{reason=\"peer_closed\"} 0") ==
             std::string::npos;
  }));
  const auto ready = cluster.Call("agent-2", "GET", "/readyz");
  EXPECT_TRUE(ready && ready->mStatus == 503);
  const auto metrics = cluster.Call("control-1", "GET", "/metrics");
  ASSERT_TRUE(metrics);
  EXPECT_EQ(metrics->mBody.find(
              "dogwooddrum_links_closed_total{reason=\"handshake_failed\"} 0"),
            std::string::npos);
  EXPECT_EQ(metrics->mBody.find(
              "dogwooddrum_links_closed_total{reason=\"malformed\"} 0"),
            std::string::npos);
  // The job may be sent to the killed agent-2 first; it is then retried after
  // that worker's lease of 10 s has ended.
  const auto job = cluster.Submit("entry-1", "works", 25000, "", 45000);
  ASSERT_TRUE(job);
  EXPECT_EQ(JsonField(job->mBody, "state"), "finished") << job->mBody;
}

} // namespace dogwooddrum::support
