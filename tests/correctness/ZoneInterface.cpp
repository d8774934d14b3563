// Guards the product's own HTTP interface for evacuations of availability
// zones.
#include "dogwooddrum/daemon/ZoneApi.h"

#include <gtest/gtest.h>

namespace dogwooddrum::daemon {
namespace {

using transport::ServerRequest;
using transport::ServerResponse;

constexpr const char* kKey = "an-operator-key-0001";

ServerRequest
MakeRequest(const std::string& aMethod, const std::string& aPath)
{
  ServerRequest request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mAuthorization = std::string("Bearer ") + kKey;
  return request;
}

unsigned
StatusOf(const ZoneApi& aApi, const ServerRequest& aRequest)
{
  const auto call = aApi.Decode(aRequest);
  const auto* response = std::get_if<ServerResponse>(&call);
  return response == nullptr ? 0 : response->mStatus;
}

TEST(ZoneInterface, DecodesItsThreeRequests)
{
  const ZoneApi api(kKey);
  for (const bool isBegin : { true, false }) {
    const auto call = api.Decode(
      MakeRequest(isBegin ? "POST" : "DELETE", "/v1/zones/north-1/evacuation"));
    const auto* change = std::get_if<protocol::SetZoneEvacuation>(&call);
    ASSERT_NE(change, nullptr);
    EXPECT_EQ(change->mZone.Value(), "north-1");
    EXPECT_EQ(change->mEvacuated, isBegin);
  }
  const auto list = api.Decode(MakeRequest("GET", "/v1/zones"));
  EXPECT_TRUE(std::holds_alternative<protocol::ListEvacuations>(list));
}

TEST(ZoneInterface, RefusesBadRequestsAndWrongKeys)
{
  const ZoneApi api(kKey);
  for (const char* path : { "/v1/zones",
                            "/v1/zones/",
                            "/v1/zones/evacuation",
                            "/v1/zones//evacuation",
                            "/v1/zones/a/b/evacuation",
                            "/v1/zones/%41/evacuation" }) {
    EXPECT_EQ(StatusOf(api, MakeRequest("POST", path)), 400U) << path;
  }
  auto request = MakeRequest("GET", "/v1/zones");
  request.mAuthorization = "Bearer other";
  EXPECT_EQ(StatusOf(api, request), 401U);
  request.mAuthorization = "Bearer ";
  EXPECT_EQ(StatusOf(ZoneApi(""), request), 401U) << "no key is set";
}

TEST(ZoneInterface, RendersZonesUnknownZonesAndMissingLeaders)
{
  const ZoneApi api(kKey);
  protocol::WorkloadReply reply;
  reply.mResult = protocol::WorkloadResult::Found;
  reply.mEvacuatedZones = { base::ZoneId("north") };
  EXPECT_EQ(api.Render(reply).mBody, R"({"evacuated":["north"]})");
  reply.mResult = protocol::WorkloadResult::Unknown;
  reply.mMessage = "no availability zone moon";
  EXPECT_EQ(api.Render(reply).mStatus, 400U);
  EXPECT_NE(api.Render(reply).mBody.find("moon"), std::string::npos);
  const auto redirect =
    api.Redirect({ "10.0.0.1", 1 }, MakeRequest("GET", "/v1/zones"));
  EXPECT_EQ(redirect.mStatus, 503U);
  EXPECT_NE(redirect.mBody.find("\"retry\":true"), std::string::npos)
    << "the tool tries the next member";
}

} // namespace
} // namespace dogwooddrum::daemon
