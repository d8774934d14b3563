#include "dogwooddrum/daemon/OperatorServer.h"

#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/service/LogEvents.h"

namespace dogwooddrum::daemon {

namespace {

/** Longer than the second after which operators try another member. */
constexpr base::Duration kCallTimeout = base::Milliseconds(3000);
/** A log entry holds a catalog twice: as sent, and decoded. */
constexpr std::uint64_t kMaxBodyBytes = 400U << 10;

/** Returns the request of a valid call. */
struct ToBody
{
  protocol::WorkloadRequestBody operator()(
    const transport::ServerResponse&) const
  {
    return {}; // the call is not valid, and answered already
  }
  template<typename Request>
  protocol::WorkloadRequestBody operator()(Request aRequest) const
  {
    return protocol::WorkloadRequestBody(std::move(aRequest));
  }
};

/** Returns the name of a call for the log. */
struct CallName
{
  const char* operator()(const protocol::ReplaceCatalog&) const
  {
    return "replace";
  }
  const char* operator()(const protocol::SetZoneEvacuation& aCall) const
  {
    return aCall.mEvacuated ? "evacuate" : "restore";
  }
  const char* operator()(const protocol::ListEvacuations&) const
  {
    return "zones";
  }
  template<typename Other>
  const char* operator()(const Other&) const
  {
    return "read";
  }
};

} // namespace

OperatorServer::OperatorServer(transport::Network& aNetwork,
                               const OperatorProtocol& aProtocol,
                               EventLoop& aLoop)
  : mNetwork(aNetwork)
  , mProtocol(aProtocol)
  , mLoop(aLoop)
{
}

base::Outcome<bool>
OperatorServer::Listen(const transport::Address& aAddress,
                       transport::HttpServerOptions aOptions,
                       ControlCore& aCore)
{
  mCore = &aCore;
  aOptions.mMaxBodyBytes = kMaxBodyBytes;
  auto server = transport::HttpServer::Listen(
    mNetwork,
    aAddress,
    aOptions,
    [this,
     port = aAddress.mPort](const transport::ServerRequest& aRequest,
                            const transport::ServerResponder& aResponder) {
      Handle(aRequest, aResponder, mProtocol, port);
    });
  if (!server) {
    return server.LastFailure();
  }
  mServer = std::move(*server);
  return true;
}

void
OperatorServer::SetCore(ControlCore& aCore)
{
  mCore = &aCore;
}

void
OperatorServer::Handle(const transport::ServerRequest& aRequest,
                       const transport::ServerResponder& aResponder,
                       const OperatorProtocol& aProtocol,
                       std::uint16_t aPort)
{
  Call call;
  call.mResponder = aResponder;
  call.mReceivedAt = Now();
  call.mProtocol = &aProtocol;
  call.mPort = aPort;
  auto decoded = aProtocol.Decode(aRequest);
  if (auto* response = std::get_if<transport::ServerResponse>(&decoded)) {
    Answer(call, std::move(*response), "invalid");
    return;
  }
  protocol::WorkloadRequestBody body = std::visit(ToBody(), std::move(decoded));
  mLoop.Post([this, aRequest, body = std::move(body), call = std::move(call)] {
    ForwardToCore(aRequest, body, call);
  });
}

void
OperatorServer::ForwardToCore(const transport::ServerRequest& aRequest,
                              protocol::WorkloadRequestBody aBody,
                              Call aCall)
{
  Call& call = aCall;
  call.mName = std::visit(CallName(), aBody);
  if (const auto* replace = std::get_if<protocol::ReplaceCatalog>(&aBody)) {
    call.mVersion = replace->mCatalog.mVersion;
  }
  if (!mCore->Status().mIsLeaderReady) {
    const auto leader =
      transport::ParseAddress(mCore->GetCoordinator().LeaderAddress());
    if (leader && mCore->Status().mLeaderId != 0) {
      Answer(call,
             call.mProtocol->Redirect({ leader->mHost, call.mPort }, aRequest),
             "redirected");
    } else {
      const auto leaderlessMs =
        base::ToMilliseconds(mCore->Status().LeaderlessTime(Now()));
      Answer(call,
             call.mProtocol->Unavailable("no leader known for " +
                                         std::to_string(leaderlessMs) + " ms"),
             "no_leader",
             { { "leaderless_ms", leaderlessMs } });
    }
    return;
  }
  protocol::WorkloadRequest request;
  request.mId = base::RequestId(++mLastCallId);
  request.mBody = std::move(aBody);
  mCalls[request.mId] = std::move(call);
  mCore->GetCoordinator().OnWorkloadRequest(
    coordination::control::SessionId(kOperatorSession), request, Now());
}

void
OperatorServer::Answer(const Call& aCall,
                       transport::ServerResponse aResponse,
                       const char* aReason,
                       const std::vector<service::LogField>& aFields)
{
  std::vector<service::LogField> fields = {
    { "call", aCall.mName },
    { "version", aCall.mVersion.Value() },
    { "status", aResponse.mStatus },
    { "reason", aReason },
    { "waited_ms", base::ToMilliseconds(Now() - aCall.mReceivedAt) }
  };
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  service::Log(service::LogEvent::OperatorAnswered, fields);
  aCall.mResponder(std::move(aResponse));
}

void
OperatorServer::OnReply(const protocol::WorkloadReply& aReply)
{
  const auto it = mCalls.find(aReply.mId);
  if (it != mCalls.end()) {
    Answer(it->second, it->second.mProtocol->Render(aReply), "leader");
    mCalls.erase(it);
  }
}

void
OperatorServer::OnLeadershipLost()
{
  for (const auto& [id, call] : mCalls) {
    Answer(call, call.mProtocol->Unavailable(""), "leadership_lost");
  }
  mCalls.clear();
}

void
OperatorServer::Tick(base::Time aNow)
{
  for (auto it = mCalls.begin(); it != mCalls.end();) {
    if (aNow - it->second.mReceivedAt >= kCallTimeout) {
      Answer(it->second, it->second.mProtocol->Unavailable(""), "timed_out");
      it = mCalls.erase(it);
    } else {
      ++it;
    }
  }
}

void
OperatorServer::Drain()
{
  if (mServer) {
    mServer->Drain();
  }
}

std::size_t
OperatorServer::CallsInProgress() const
{
  return mServer ? mServer->RequestsInProgress() : 0;
}

void
OperatorServer::Stop()
{
  mServer.reset();
}

} // namespace dogwooddrum::daemon
