// Guards against an entry that accepts invalid requests, refuses them without a
// reason, or uses unbounded memory for large ones.
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::support {

TEST(EntryRefusals, EachHasItsStatusAndReasonAndSaysNotRun)
{
  ProcessClusterOptions options;
  options.mControls = 1;
  options.mAgents = 0;
  ProcessCluster cluster(options);
  cluster.StartAll();
  ASSERT_TRUE(cluster.WaitReady()) << cluster.ReadLog("control-1");
  struct Row
  {
    const char* mMethod;
    const char* mTarget;
    std::string mBody;
    unsigned mStatus;
    const char* mReason;
  };
  const std::string job =
    R"({"account":"yard","profile":"std","key":"k","payload":)";
  const std::vector<Row> rows = {
    { "POST", "/v1/jobs", "{", 400, "invalid_request" },
    { "POST",
      "/v1/jobs",
      job + std::string(1000, '[') + std::string(1000, ']') + "}",
      400,
      "invalid_request" },
    { "POST",
      "/v1/jobs",
      R"({"account":"none","profile":"std","key":"k"})",
      400,
      "unknown_account" },
    { "POST",
      "/v1/jobs",
      R"({"account":"yard","profile":"std","key":"k","tasks":-1})",
      400,
      "invalid_request" },
    { "POST",
      "/v1/jobs",
      job + "\"" + std::string(300U << 10, 'x') + "\"}",
      413,
      "payload_too_large" },
    { "POST", "/v1/jobs", std::string(3U << 20, 'x'), 413, "invalid_request" },
    { "GET", "/v1/jobs/999", "", 404, "unknown_job" },
    { "GET", "/v1/jobs/abc", "", 404, "unknown_job" },
    { "POST",
      "/v1/configuration",
      R"({"change_id":"x","base_version":0,"change":{"remove_profile":"a"}})",
      409,
      "version_conflict" },
  };
  for (const auto& row : rows) {
    const auto result =
      cluster.Call("entry-1", row.mMethod, row.mTarget, row.mBody);
    ASSERT_TRUE(result) << row.mTarget << ": " << result.LastFailure().mMessage;
    EXPECT_EQ(result->mStatus, row.mStatus) << result->mBody;
    EXPECT_EQ(JsonField(result->mBody, "reason"), row.mReason) << result->mBody;
  }
  transport::HttpClient client({ "127.0.0.1", cluster.HttpPort("entry-1") });
  transport::HttpRequest request;
  request.mTarget = "/v1/status";
  const auto refused = client.Call(request, base::Milliseconds(5000));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mStatus, 401U);
  EXPECT_EQ(JsonField(refused->mBody, "ran"), "not_run");
}

} // namespace dogwooddrum::support
