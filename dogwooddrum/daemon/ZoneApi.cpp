#include "dogwooddrum/daemon/ZoneApi.h"

#include "dogwooddrum/daemon/HttpStatus.h"
#include "dogwooddrum/daemon/JobEntryJson.h"
#include "dogwooddrum/protocol/ZoneNames.h"
#include "dogwooddrum/transport/Handshake.h"

#include <nlohmann/json.hpp>

namespace dogwooddrum::daemon {

namespace {

constexpr std::string_view kZonesPath = "/v1/zones";
constexpr std::string_view kEvacuationSuffix = "/evacuation";

transport::ServerResponse
Refuse(base::Reason aReason, const std::string& aMessage)
{
  const auto info = base::ReasonInfoOf(aReason);
  protocol::Refusal refusal;
  refusal.mReason = aReason;
  refusal.mRan = info.mRan;
  refusal.mRetryable = info.mRetryable;
  refusal.mMessage = aMessage;
  transport::ServerResponse response;
  response.mStatus = HttpStatusOf(aReason);
  response.mBody = ToJson(refusal);
  return response;
}

/** Returns the zone that /v1/zones/ZONE/evacuation names, or an empty text. */
std::string
ZoneInPath(const std::string& aPath)
{
  const auto begin = kZonesPath.size() + 1;
  const auto fixed = begin + kEvacuationSuffix.size();
  if (aPath.size() <= fixed ||
      aPath.compare(aPath.size() - kEvacuationSuffix.size(),
                    kEvacuationSuffix.size(),
                    kEvacuationSuffix) != 0) {
    return {};
  }
  return aPath.substr(begin, aPath.size() - fixed);
}

} // namespace

ZoneApi::ZoneApi(std::string aOperatorKey)
  : mOperatorKey(std::move(aOperatorKey))
{
}

bool
ZoneApi::IsZonePath(const std::string& aPath)
{
  return aPath == kZonesPath ||
         aPath.compare(0, kZonesPath.size() + 1, "/v1/zones/") == 0;
}

OperatorCall
ZoneApi::Decode(const transport::ServerRequest& aRequest) const
{
  if (mOperatorKey.empty() ||
      !transport::EqualInConstantTime(aRequest.mAuthorization,
                                      "Bearer " + mOperatorKey)) {
    return Refuse(base::Reason::Unauthorized,
                  "this request needs the operator key");
  }
  if (aRequest.mPath == kZonesPath && aRequest.mMethod == "GET") {
    return protocol::ListEvacuations{};
  }
  const bool isBegin = aRequest.mMethod == "POST";
  const auto zone = ZoneInPath(aRequest.mPath);
  if (!protocol::IsZoneName(zone) ||
      (!isBegin && aRequest.mMethod != "DELETE")) {
    return Refuse(base::Reason::InvalidRequest,
                  "expected is GET /v1/zones, or POST or DELETE "
                  "/v1/zones/ZONE/evacuation");
  }
  return protocol::SetZoneEvacuation{ base::ZoneId(zone), isBegin };
}

transport::ServerResponse
ZoneApi::Render(const protocol::WorkloadReply& aReply) const
{
  using protocol::WorkloadResult;
  if (aReply.mResult == WorkloadResult::Unknown) {
    return Refuse(base::Reason::InvalidRequest, aReply.mMessage);
  }
  if (aReply.mResult != WorkloadResult::Accepted &&
      aReply.mResult != WorkloadResult::Found) {
    return Unavailable(aReply.mMessage);
  }
  auto zones = nlohmann::json::array();
  for (const auto& zone : aReply.mEvacuatedZones) {
    zones.push_back(zone.Value());
  }
  transport::ServerResponse response;
  response.mBody = aReply.mResult == WorkloadResult::Found
                     ? nlohmann::json{ { "evacuated", zones } }.dump()
                     : "{}";
  return response;
}

transport::ServerResponse
ZoneApi::Redirect(const transport::Address& aAddress,
                  const transport::ServerRequest& /*aRequest*/) const
{
  return Unavailable("the leader is at " + aAddress.mHost);
}

transport::ServerResponse
ZoneApi::Unavailable(const std::string& aError) const
{
  return Refuse(base::Reason::NoLeader, aError);
}

} // namespace dogwooddrum::daemon
