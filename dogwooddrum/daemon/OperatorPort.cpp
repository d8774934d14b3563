#include "dogwooddrum/daemon/OperatorPort.h"

#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/service/LogEvents.h"

namespace dogwooddrum::daemon {

namespace {

/** Operators turn to another member after a second without an answer. */
constexpr base::Duration kCallLimit = base::Milliseconds(3000);
/** One log entry holds a catalog twice: as sent, and decoded. */
constexpr std::uint64_t kMaxBodyBytes = 400U << 10;

} // namespace

OperatorPort::OperatorPort(transport::Network& aNetwork,
                           const OperatorProtocol& aProtocol,
                           EventLoop& aLoop)
  : mNetwork(aNetwork)
  , mProtocol(aProtocol)
  , mLoop(aLoop)
{
}

base::Outcome<bool>
OperatorPort::Listen(const transport::Address& aAddress, ControlCore& aCore)
{
  mCore = &aCore;
  mPort = aAddress.mPort;
  transport::HttpServerOptions options;
  options.mMaxBodyBytes = kMaxBodyBytes;
  auto server = transport::HttpServer::Listen(
    mNetwork,
    aAddress,
    options,
    [this](const transport::ServerRequest& aRequest,
           const transport::ServerResponder& aResponder) {
      Handle(aRequest, aResponder);
    });
  if (!server) {
    return server.LastFailure();
  }
  mServer = std::move(*server);
  return true;
}

void
OperatorPort::Handle(const transport::ServerRequest& aRequest,
                     const transport::ServerResponder& aResponder)
{
  auto call = mProtocol.Decode(aRequest);
  if (auto* response = std::get_if<transport::ServerResponse>(&call)) {
    Answer({ aResponder, Now(), false, {} }, std::move(*response), "invalid");
    return;
  }
  protocol::WorkloadRequestBody body;
  if (auto* replace = std::get_if<protocol::ReplaceCatalog>(&call)) {
    body = std::move(*replace);
  } else {
    body = std::get<protocol::ReadCatalog>(call);
  }
  mLoop.Post([this, aRequest, body = std::move(body), aResponder] {
    Pass(aRequest, body, aResponder);
  });
}

void
OperatorPort::Pass(const transport::ServerRequest& aRequest,
                   protocol::WorkloadRequestBody aBody,
                   const transport::ServerResponder& aResponder)
{
  Call call;
  call.mRespond = aResponder;
  call.mReceived = Now();
  if (const auto* replace = std::get_if<protocol::ReplaceCatalog>(&aBody)) {
    call.mReplaces = true;
    call.mVersion = replace->mCatalog.mVersion;
  }
  if (!mCore->Status().mLeads) {
    const auto leader =
      transport::ParseAddress(mCore->Decisions().LeaderAddress());
    if (leader) {
      Answer(call,
             mProtocol.Redirect({ leader->mHost, mPort }, aRequest),
             "redirected");
    } else {
      Answer(call, mProtocol.Unavailable(), "no_leader");
    }
    return;
  }
  protocol::WorkloadRequest request;
  request.mId = base::RequestId(++mLastCall);
  request.mBody = std::move(aBody);
  mCalls[request.mId] = std::move(call);
  mCore->Decisions().OnWorkloadRequest(
    coordination::control::SessionId(kOperatorSession), request, Now());
}

void
OperatorPort::Answer(const Call& aCall,
                     transport::ServerResponse aResponse,
                     const char* aReason)
{
  service::Log(
    service::LogEvent::OperatorAnswered,
    { { "call", aCall.mReplaces ? "replace" : "read" },
      { "version", aCall.mVersion.Value() },
      { "status", aResponse.mStatus },
      { "reason", aReason },
      { "waited_ms", base::ToMilliseconds(Now() - aCall.mReceived) } });
  aCall.mRespond(std::move(aResponse));
}

void
OperatorPort::OnReply(const protocol::WorkloadReply& aReply)
{
  const auto it = mCalls.find(aReply.mId);
  if (it != mCalls.end()) {
    Answer(it->second, mProtocol.Render(aReply), "leader");
    mCalls.erase(it);
  }
}

void
OperatorPort::OnLeadershipLost()
{
  for (const auto& [id, call] : mCalls) {
    Answer(call, mProtocol.Unavailable(), "leadership_lost");
  }
  mCalls.clear();
}

void
OperatorPort::Tick(base::Time aNow)
{
  for (auto it = mCalls.begin(); it != mCalls.end();) {
    if (aNow - it->second.mReceived >= kCallLimit) {
      Answer(it->second, mProtocol.Unavailable(), "timed_out");
      it = mCalls.erase(it);
    } else {
      ++it;
    }
  }
}

void
OperatorPort::Drain()
{
  if (mServer) {
    mServer->Drain();
  }
}

std::size_t
OperatorPort::InProgress() const
{
  return mServer ? mServer->RequestsInProgress() : 0;
}

void
OperatorPort::Stop()
{
  mServer.reset();
}

} // namespace dogwooddrum::daemon
