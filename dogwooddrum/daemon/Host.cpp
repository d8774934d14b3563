#include "dogwooddrum/daemon/Host.h"

namespace dogwooddrum::daemon {

namespace {

/** Bounds of a connection attempt, of the handshake and of the pause after it,
 * for entries and control members. Agents are too many to reconnect as often in
 * a long outage. */
constexpr base::Duration kShortConnectTimeout = base::Milliseconds(500);
constexpr base::Duration kShortReconnectDelay = base::Milliseconds(200);

} // namespace

transport::HttpServerOptions
MakeHttpOptions(const HostContext& aContext)
{
  const auto& common = aContext.mSettings.mCommon;
  transport::HttpServerOptions options;
  options.mMaxRequestBytes = std::uint64_t{ common.mRequestMemoryMb } << 20;
  options.mMaxFields = common.mMaxFields;
  options.mHeaderTimeout = common.mHeaderTimeout;
  options.mRequestTimeout = common.mReceiveTimeout;
  options.mCounters = aContext.mHttpCounters;
  return options;
}

std::string
RenderHttpMetrics(const transport::HttpCounters& aCounters)
{
  std::string out = "# TYPE dogwooddrum_http_refused_total counter\n";
  for (std::size_t i = 0; i < transport::kHttpRefusalCount; ++i) {
    out +=
      "dogwooddrum_http_refused_total{reason=\"" +
      std::string(transport::ToString(static_cast<transport::HttpRefusal>(i))) +
      "\"} " + std::to_string(aCounters.mRefused.at(i).load()) + "\n";
  }
  return out;
}

transport::LinkOptions
MakeLinkOptions(const HostContext& aContext,
                transport::PeerRole aRole,
                std::uint64_t aId)
{
  transport::LinkOptions options;
  options.mSelf.mRole = aRole;
  options.mSelf.mId = aId;
  options.mSelf.mName = aContext.mSettings.mCommon.mName;
  options.mKey = aContext.mKey;
  if (aRole != transport::PeerRole::Agent) {
    options.mHandshakeTimeout = kShortConnectTimeout;
    options.mReconnect.mMaxTimeout = kShortConnectTimeout;
    options.mReconnect.mMaxDelay = kShortReconnectDelay;
  }
  return options;
}

transport::Address
ToTransportAddress(const service::Address& aAddress)
{
  return { aAddress.mIp, aAddress.mPort };
}

std::string
RenderLinkMetrics(const transport::LinkCounters& aCounters)
{
  std::string out = "# TYPE dogwooddrum_links_closed_total counter\n";
  for (std::size_t i = 0; i < transport::kCloseReasonCount; ++i) {
    out +=
      "dogwooddrum_links_closed_total{reason=\"" +
      std::string(transport::ToString(static_cast<transport::CloseReason>(i))) +
      "\"} " + std::to_string(aCounters.mClosed.at(i).load()) + "\n";
  }
  const auto counter = [&out](const char* aName, std::uint64_t aValue) {
    out += std::string("# TYPE ") + aName + " counter\n" + aName + " " +
           std::to_string(aValue) + "\n";
  };
  counter("dogwooddrum_link_sent_bytes_total", aCounters.mSentBytes);
  counter("dogwooddrum_link_received_bytes_total", aCounters.mReceivedBytes);
  counter("dogwooddrum_link_oversized_frames_total",
          aCounters.mOversizedFrames);
  return out;
}

} // namespace dogwooddrum::daemon
