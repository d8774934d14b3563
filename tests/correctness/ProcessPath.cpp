// Guards against jobs that are lost, changed or run twice on the path through
// separate processes, and against a graceful shutdown that interrupts a
// request.
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace dogwooddrum::support {

namespace {

using std::chrono::milliseconds;

/** Submits a job that runs for aRunMs; the future has its final response. */
std::future<transport::HttpOutcome>
SubmitAsync(const ProcessCluster& aCluster, const std::string& aKey, int aRunMs)
{
  return std::async(std::launch::async, [&aCluster, aKey, aRunMs] {
    return aCluster.Submit("entry-1",
                           aKey,
                           15000,
                           R"("repeatable":false,"payload":{"run_ms":)" +
                             std::to_string(aRunMs) + "}");
  });
}

/** Waits until the targets run the one job of the test. */
bool
WaitUntilRunning(const ProcessCluster& aCluster)
{
  return Eventually([&] { return aCluster.CountRuns("1") == 1; });
}

} // namespace

TEST(ProcessPath, JobAndGangReachTargetsAndAnswersReturnWhole)
{
  ProcessClusterOptions options;
  options.mEntries = 2;
  ProcessCluster cluster(options);
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  const auto job =
    cluster.Submit("entry-1", "one", 10000, R"("payload":"hello")");
  ASSERT_TRUE(job) << job.LastFailure().mMessage;
  EXPECT_EQ(JsonField(job->mBody, "state"), "finished") << job->mBody;
  const auto again =
    cluster.Submit("entry-2", "one", 10000, R"("payload":"hello")");
  ASSERT_TRUE(again);
  EXPECT_EQ(JsonField(again->mBody, "job"), JsonField(job->mBody, "job"));
  const auto id = JsonField(job->mBody, "job");
  const auto answer =
    cluster.Call("entry-2", "GET", "/v1/jobs/" + id + "/answer");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->mBody, "hello");
  EXPECT_EQ(cluster.CountRuns(id), 1);

  const auto gang = cluster.Submit(
    "entry-2",
    "gang",
    10000,
    R"("payload":"ab","tasks":4,"accelerators_per_task":4,"adjacency":"rack")");
  ASSERT_TRUE(gang) << gang.LastFailure().mMessage;
  EXPECT_EQ(JsonField(gang->mBody, "state"), "finished") << gang->mBody;
  EXPECT_EQ(JsonField(gang->mBody, "answer_bytes"), "8");
}

TEST(ProcessPath, LargeAnswerReturnsWhole)
{
  ProcessClusterOptions options;
  options.mTargetArguments = { "--answer-bytes", "3000000" };
  ProcessCluster cluster(options);
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  const auto job = cluster.Submit("entry-1", "large", 15000);
  ASSERT_TRUE(job) << job.LastFailure().mMessage;
  const auto answer = cluster.Call(
    "entry-1", "GET", "/v1/jobs/" + JsonField(job->mBody, "job") + "/answer");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->mBody, std::string(3000000, 'a'));
}

TEST(ProcessPath, EntryDrainAnswersRequestsInProgress)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  auto request = SubmitAsync(cluster, "drain", 2000);
  ASSERT_TRUE(WaitUntilRunning(cluster));
  cluster.Signal("entry-1", SIGTERM);
  const auto result = request.get();
  ASSERT_TRUE(result) << result.LastFailure().mMessage;
  EXPECT_EQ(JsonField(result->mBody, "state"), "finished") << result->mBody;
  EXPECT_EQ(cluster.WaitExit("entry-1", milliseconds(20000)), 0);
}

TEST(ProcessPath, AgentDrainFinishesItsTasks)
{
  ProcessClusterOptions options;
  options.mAgents = 1;
  ProcessCluster cluster(options);
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  auto request = SubmitAsync(cluster, "drain", 2000);
  ASSERT_TRUE(WaitUntilRunning(cluster));
  cluster.Signal("agent-1", SIGTERM);
  const auto result = request.get();
  ASSERT_TRUE(result) << result.LastFailure().mMessage;
  EXPECT_EQ(JsonField(result->mBody, "state"), "finished") << result->mBody;
  EXPECT_EQ(cluster.WaitExit("agent-1", milliseconds(20000)), 0);
  EXPECT_EQ(cluster.CountRuns("1"), 1);
}

TEST(ProcessPath, LeaderDrainHandsOverWithoutLosingTheRequest)
{
  ProcessCluster cluster({});
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  auto request = SubmitAsync(cluster, "drain", 2000);
  ASSERT_TRUE(WaitUntilRunning(cluster));
  const auto leader = cluster.FindLeader();
  ASSERT_FALSE(leader.empty());
  cluster.Signal(leader, SIGTERM);
  const auto result = request.get();
  ASSERT_TRUE(result) << result.LastFailure().mMessage;
  EXPECT_EQ(JsonField(result->mBody, "state"), "finished") << result->mBody;
  EXPECT_EQ(cluster.WaitExit(leader, milliseconds(20000)), 0);
  EXPECT_EQ(cluster.CountRuns("1"), 1);
}

} // namespace dogwooddrum::support
