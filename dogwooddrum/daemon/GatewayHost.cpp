#include "dogwooddrum/coordination/retry/RetryAfterDelay.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <random>

namespace dogwooddrum::daemon {

namespace {

using protocol::MessageType;
using protocol::WorkloadReply;
using protocol::WorkloadResult;
using service::LogEvent;

/** Bounds how late a deadline is noticed. */
constexpr base::Duration kTick = base::Milliseconds(50);
/** Time for the response to reach the caller before it gives up. */
constexpr base::Duration kResponseMargin = base::Milliseconds(150);
/** Longest wait for the leader where neither queue nor caller sets one. */
constexpr base::Duration kDefaultPatience = base::Milliseconds(3000);
/** Least wait; a caller that is less patient gets what can be had by then. */
constexpr base::Duration kLeastPatience = base::Milliseconds(50);
/** A request without a reply is sent again, as the link may have lost it. */
constexpr base::Duration kResendAfter = base::Milliseconds(700);
/** A catalog of 200 KB takes about a second on a link of 2 Mbit/s. */
constexpr base::Duration kFetchRetry = base::Milliseconds(3000);
/** Most calls that wait for the leader; bounds memory. */
constexpr std::size_t kMaxCalls = 4000;

/** A call that waits for the leader. */
struct PendingCall
{
  protocol::WorkloadRequest mRequest;
  CallKind mKind = CallKind::Other;
  bool mCounts = false;
  std::string mQueue;
  std::string mWorkload;
  transport::ServerResponder mRespond;
  base::Time mDeadline;
  base::Time mResendAt;
  bool mSent = false; ///< it may have reached a leader
};

const char*
ToString(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Submit:
      return "submit";
    case CallKind::Read:
      return "read";
    case CallKind::Cancel:
      return "cancel";
    case CallKind::Other:
      break;
  }
  return "other";
}

const char*
ToString(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::UnknownQueue:
      return "unknown_queue";
    case Refusal::UnknownKey:
      return "unknown_key";
    case Refusal::InvalidCall:
      return "invalid_call";
    case Refusal::NotReady:
      return "not_ready";
    case Refusal::TimedOut:
      break;
  }
  return "timed_out";
}

const char*
ToString(WorkloadResult aResult)
{
  switch (aResult) {
    case WorkloadResult::Accepted:
      return "accepted";
    case WorkloadResult::Found:
      return "found";
    case WorkloadResult::Unknown:
      return "unknown";
    case WorkloadResult::Invalid:
      return "invalid";
    case WorkloadResult::Refused:
      return "refused";
    case WorkloadResult::Uncertain:
      break;
  }
  return "uncertain";
}

/** Hosts an entry for workloads. Calls are decoded on network threads and
 * decided on the event loop. */
class GatewayHost final : public Host
{
public:
  explicit GatewayHost(HostContext& aContext)
    : mContext(aContext)
    , mSettings(aContext.mSettings.mEntry)
    , mProtocol(*aContext.mAdapters->mCallers)
    , mLoop(kTick, { [this](base::Time aNow) { Tick(aNow); }, [] {} })
  {
  }
  ~GatewayHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    std::vector<transport::Address> controls;
    for (const auto& address : mSettings.mControlAddresses) {
      controls.push_back(LinkAddress(address));
    }
    ControlLinksEvents events;
    events.mRoute = [this](Route) { mLoop.Post([this] { OnRoute(Now()); }); };
    events.mFrame = [this](Route aRoute, const protocol::Frame& aFrame) {
      OnFrame(aRoute, aFrame);
    };
    mLinks = std::make_unique<ControlLinks>(
      *mContext.mNetwork,
      controls,
      MakeLinkOptions(mContext, transport::PeerRole::Entry, 0),
      events,
      *mContext.mCounters);
    transport::HttpServerOptions options;
    options.mMaxConnections = mSettings.mConnections;
    auto server = transport::HttpServer::Listen(
      *mContext.mNetwork,
      ToTransport(*mSettings.mFrontendAddress),
      options,
      [this](const transport::ServerRequest& aRequest,
             const transport::ServerResponder& aResponder) {
        mLoop.Post(
          [this, aRequest, aResponder] { OnCall(aRequest, aResponder); });
      });
    if (!server) {
      return server.LastFailure();
    }
    mFrontend = std::move(*server);
    if (mSettings.mReadinessAddress) {
      auto probe = transport::HttpServer::Listen(
        *mContext.mNetwork,
        ToTransport(*mSettings.mReadinessAddress),
        {},
        [this](const transport::ServerRequest& aRequest,
               const transport::ServerResponder& aResponder) {
          OnProbe(aRequest, aResponder);
        });
      if (!probe) {
        return probe.LastFailure();
      }
      mProbe = std::move(*probe);
    }
    mLoop.Start();
    mLinks->Start();
    return true;
  }

  bool Ready() override { return mReady; }
  void UpdateMetrics() override
  {
    auto& metrics = *mContext.mMetrics;
    metrics.Set(service::Gauge::RequestsInProgress,
                static_cast<double>(mFrontend->RequestsInProgress()));
    metrics.Set(service::Gauge::ConfigurationVersion,
                static_cast<double>(mVersion.load()));
  }
  bool Handle(transport::ServerRequest&,
              const transport::ServerResponder&) override
  {
    return false;
  }
  void BeginDrain() override { mDraining = true; }
  void CloseListeners() override { mFrontend->Drain(); }
  bool Drained() override { return mFrontend->RequestsInProgress() == 0; }
  bool MayAbandon() override { return true; }
  std::size_t TasksInProgress() override { return 0; }

  void Reload(const service::Settings& aSettings) override
  {
    std::vector<std::string> addresses;
    for (const auto& address : aSettings.mEntry.mControlAddresses) {
      const auto link = LinkAddress(address);
      addresses.push_back(link.mHost + ":" + std::to_string(link.mPort));
    }
    mLinks->Learn(addresses);
  }

  void Stop() override
  {
    mFrontend.reset();
    mProbe.reset();
    if (mLinks) {
      mLinks->Stop();
    }
    mLoop.Stop();
  }

private:
  transport::Address LinkAddress(const service::Address& aAddress) const
  {
    const auto port = mSettings.mControlLinkPort;
    return { aAddress.mIp, port == 0 ? aAddress.mPort : port };
  }

  void OnProbe(const transport::ServerRequest& aRequest,
               const transport::ServerResponder& aResponder) const
  {
    transport::ServerResponse response;
    response.mStatus = 404;
    if (mProtocol.IsProbe(aRequest)) {
      response.mStatus = mReady && !mDraining ? 200 : 503;
    }
    aResponder(std::move(response));
  }

  // Calls, on the event loop.

  void OnCall(const transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder)
  {
    const auto now = Now();
    mContext.mMetrics->Add(service::Counter::RequestsReceived);
    PendingCall call;
    call.mRespond = aResponder;
    const auto decoded = mProtocol.Decode(aRequest);
    call.mKind = decoded.mKind;
    // The id is last in the path whatever the queue; the log names it also for
    // calls that are refused before their queue is known.
    call.mWorkload = aRequest.mPath.substr(aRequest.mPath.rfind('/') + 1);
    if (!IsFresh(now)) {
      Refuse(call, Refusal::NotReady);
      return;
    }
    const auto* queue =
      protocol::FindQueue(mCatalog, decoded.mHost, aRequest.mPath);
    if (queue == nullptr) {
      Refuse(call, Refusal::UnknownQueue);
      return;
    }
    call.mQueue = queue->mName.Value();
    call.mWorkload = aRequest.mPath.substr(queue->mPathPrefix.size());
    const auto* account = protocol::FindAccountByKey(mCatalog, decoded.mKey);
    if (!queue->mPublic && account == nullptr) {
      Refuse(call, Refusal::UnknownKey);
      return;
    }
    if (!MakeBody(aRequest, *queue, account, call)) {
      Refuse(call, Refusal::InvalidCall);
      return;
    }
    const auto timeout =
      base::Milliseconds(static_cast<std::int64_t>(queue->mTimeoutMs));
    auto patience =
      std::min(timeout, decoded.mPatience.value_or(kDefaultPatience));
    patience = std::max(patience - kResponseMargin, kLeastPatience);
    call.mDeadline = now + patience;
    if (mCalls.size() >= kMaxCalls || mLinks->Current() == 0) {
      Refuse(call, Refusal::NotReady);
      return;
    }
    call.mRequest.mId = base::RequestId(++mLastCall);
    const auto id = call.mRequest.mId;
    Send(mCalls.emplace(id, std::move(call)).first->second, now);
  }

  /** Fills the request; returns false if the call cannot be read. */
  bool MakeBody(const transport::ServerRequest& aRequest,
                const protocol::Queue& aQueue,
                const protocol::CatalogAccount* aAccount,
                PendingCall& aCall) const
  {
    const protocol::WorkloadId id(aCall.mWorkload);
    if (aCall.mKind == CallKind::Read && aCall.mWorkload.empty()) {
      aCall.mCounts = true;
      aCall.mRequest.mBody = protocol::CountWaiting{ aQueue.mName };
      return true;
    }
    if (!mProtocol.IsWorkloadId(aCall.mWorkload)) {
      return false;
    }
    switch (aCall.mKind) {
      case CallKind::Submit: {
        auto spec = mProtocol.DecodeWorkload(aRequest.mBody);
        if (!spec || !protocol::CheckWorkload(*spec).empty()) {
          return false;
        }
        protocol::SubmitWorkload submit;
        submit.mId = id;
        submit.mQueue = aQueue.mName;
        if (aAccount != nullptr) {
          submit.mAccount = aAccount->mName;
        }
        submit.mSpec = std::move(*spec);
        aCall.mRequest.mBody = std::move(submit);
        return true;
      }
      case CallKind::Read:
        aCall.mRequest.mBody = protocol::ReadWorkload{ id, aQueue.mName };
        return true;
      case CallKind::Cancel:
        aCall.mRequest.mBody = protocol::CancelWorkload{ id, aQueue.mName };
        return true;
      case CallKind::Other:
        break;
    }
    return false;
  }

  void Send(PendingCall& aCall, base::Time aNow)
  {
    aCall.mResendAt = aNow + kResendAfter;
    if (mLinks->Send(MessageType::WorkloadRequest,
                     protocol::Encode(aCall.mRequest)) != 0) {
      aCall.mSent = true;
    }
  }

  void LogAnswer(const PendingCall& aCall,
                 unsigned aStatus,
                 const char* aReason) const
  {
    // Reads are frequent and change nothing.
    if (aCall.mKind == CallKind::Read && aStatus < 400) {
      return;
    }
    service::Log(LogEvent::CallAnswered,
                 { { "method", ToString(aCall.mKind) },
                   { "workload", aCall.mWorkload },
                   { "queue", aCall.mQueue },
                   { "status", aStatus },
                   { "reason", aReason },
                   { "version", mCatalog.mVersion.Value() } });
  }

  /** Returns when a caller should return whom no leader could serve. */
  base::Duration ReturnAfter()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    return coordination::retry::RetryAfterDelay(
      {}, Now() - mLastReply, draw(mRandom));
  }

  void Refuse(const PendingCall& aCall, Refusal aRefusal)
  {
    auto response = mProtocol.Render(aRefusal, ReturnAfter());
    LogAnswer(aCall, response.mStatus, ToString(aRefusal));
    aCall.mRespond(std::move(response));
  }

  void OnReply(const WorkloadReply& aReply)
  {
    const auto it = mCalls.find(aReply.mId);
    if (it == mCalls.end()) {
      return;
    }
    const PendingCall call = std::move(it->second);
    mCalls.erase(it);
    auto response = call.mCounts ? mProtocol.RenderCount(aReply)
                                 : mProtocol.Render(call.mKind, aReply);
    LogAnswer(call, response.mStatus, ToString(aReply.mResult));
    call.mRespond(std::move(response));
  }

  // Links.

  void OnRoute(base::Time aNow)
  {
    mNextFetch = aNow; // what was under way is lost with the route
    Poll(aNow);
    for (auto& [id, call] : mCalls) {
      Send(call, aNow);
    }
  }

  void OnFrame(Route aRoute, const protocol::Frame& aFrame)
  {
    if (aFrame.mType == MessageType::WorkloadReply) {
      auto reply = protocol::Decode<WorkloadReply>(aFrame.mPayload);
      if (reply) {
        mLinks->OnLeader(aRoute);
        mLinks->Learn(reply->mMembers);
        mLoop.Post([this, received = std::move(*reply)] {
          mLastReply = Now();
          if (mPolls.count(received.mId) > 0) {
            OnCatalog(received);
          } else {
            OnReply(received);
          }
        });
        return;
      }
    } else if (aFrame.mType == MessageType::NotLeader) {
      const auto reply = protocol::Decode<protocol::NotLeader>(aFrame.mPayload);
      if (reply) {
        mLinks->OnNotLeader(aRoute, *reply);
        return;
      }
    }
    service::Log(
      LogEvent::FrameRejected,
      { { "peer", "control" },
        { "message",
          "type " + std::to_string(static_cast<unsigned>(aFrame.mType)) } });
  }

  // The catalog.

  bool IsFresh(base::Time aNow) const
  {
    return mCatalog.mVersion.Value() != 0 && aNow < mFreshUntil;
  }

  void Poll(base::Time aNow)
  {
    mNextPoll = aNow + mSettings.mCatalogPoll;
    Ask(protocol::ReadCatalog::Content::Version, aNow);
  }

  /** Fetches the newer catalog, once at a time. */
  void Fetch(base::Time aNow)
  {
    if (aNow >= mNextFetch) {
      mNextFetch = aNow + kFetchRetry;
      Ask(protocol::ReadCatalog::Content::Delta, aNow);
    }
  }

  void Ask(protocol::ReadCatalog::Content aContent, base::Time aNow)
  {
    protocol::WorkloadRequest request;
    request.mId = base::RequestId(++mLastCall);
    request.mBody = protocol::ReadCatalog{ mCatalog.mVersion, aContent };
    if (mLinks->Send(MessageType::WorkloadRequest, protocol::Encode(request)) !=
        0) {
      mPolls[request.mId] = aNow;
    }
  }

  void OnCatalog(const WorkloadReply& aReply)
  {
    const auto it = mPolls.find(aReply.mId);
    const auto polledAt = it->second;
    mPolls.erase(it);
    const auto now = Now();
    if (aReply.mDelta) {
      mNextFetch = now;
    }
    if (aReply.mVersion < mCatalog.mVersion) {
      return;
    }
    if (aReply.mVersion > mCatalog.mVersion) {
      const auto next = aReply.mDelta
                          ? protocol::ApplyDelta(mCatalog, *aReply.mDelta)
                          : std::nullopt;
      if (!next) {
        Fetch(now);
        return;
      }
      mCatalog = *next;
      mVersion = mCatalog.mVersion.Value();
      service::Log(LogEvent::CatalogReceived,
                   { { "version", mVersion.load() } });
    }
    // The leader confirmed its version after the poll had been sent.
    mFreshUntil = std::max(mFreshUntil, polledAt + mSettings.mCatalogAge);
    mReady = IsFresh(now);
  }

  void Tick(base::Time aNow)
  {
    if (aNow >= mNextPoll) {
      Poll(aNow);
    }
    mReady = IsFresh(aNow);
    for (auto it = mPolls.begin(); it != mPolls.end();) {
      const bool late = aNow - it->second > kFetchRetry;
      it = late ? mPolls.erase(it) : std::next(it);
    }
    for (auto it = mCalls.begin(); it != mCalls.end();) {
      PendingCall& call = it->second;
      if (aNow >= call.mDeadline) {
        Refuse(call, call.mSent ? Refusal::TimedOut : Refusal::NotReady);
        it = mCalls.erase(it);
        continue;
      }
      if (aNow >= call.mResendAt) {
        Send(call, aNow);
      }
      ++it;
    }
  }

  HostContext& mContext;
  const service::EntrySettings& mSettings;
  const CallerProtocol& mProtocol;
  std::unique_ptr<ControlLinks> mLinks;
  std::unique_ptr<transport::HttpServer> mFrontend;
  std::unique_ptr<transport::HttpServer> mProbe;
  EventLoop mLoop;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mVersion{ 0 };
  // Used by the event loop only.
  protocol::Catalog mCatalog;
  base::Time mFreshUntil{};
  base::Time mNextPoll{};
  base::Time mNextFetch{};       ///< later than now while one is under way
  base::Time mLastReply = Now(); ///< of the leader, or the start
  std::mt19937 mRandom{ std::random_device{}() };
  std::uint64_t mLastCall = 0;
  std::map<base::RequestId, PendingCall> mCalls;
  std::map<base::RequestId, base::Time> mPolls; ///< by time of sending
};

} // namespace

std::unique_ptr<Host>
MakeGatewayHost(HostContext& aContext)
{
  return std::make_unique<GatewayHost>(aContext);
}

} // namespace dogwooddrum::daemon
