// Guards against a process that ends because of one request with bytes that are
// not UTF-8: its answer quotes them in JSON, whose encoder throws.
#include "platform/Platform.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using transport::ServerRequest;

ServerRequest
MakeRequest(const std::string& aPath, const std::string& aBody)
{
  ServerRequest request;
  request.mMethod = "PUT";
  request.mPath = aPath;
  request.mBody = aBody;
  return request;
}

// The operator server ended its process, and with it the control member.
TEST(MalformedText, ConfigurationIsRefused)
{
  const auto operators = platform::MakeOperatorProtocol();
  ASSERT_NO_THROW({
    const auto call =
      operators->Decode(MakeRequest("/-/config", "{\"routes\":\"\xff\"}"));
    const auto* response = std::get_if<transport::ServerResponse>(&call);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->mStatus, 400U);
  });
}

// The agent ended, and the runs on its target were given up.
TEST(MalformedText, TargetMessageIsRejected)
{
  const auto targets = platform::MakeTargetProtocol();
  for (const auto& request :
       { MakeRequest("/-/instances/i-1", "{\"state\":\"\xff\"}"),
         MakeRequest("/\xff", "{}") }) {
    const auto announced = targets->Decode(request);
    ASSERT_FALSE(announced);
    ASSERT_NO_THROW(
      { EXPECT_EQ(targets->Reject(announced.LastFailure()).mStatus, 400U); });
  }
}

} // namespace
} // namespace dogwooddrum::tests
