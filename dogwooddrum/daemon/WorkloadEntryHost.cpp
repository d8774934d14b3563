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

/** Bounds the delay after which a passed deadline is detected. */
constexpr base::Duration kTickInterval = base::Milliseconds(50);
/** Time for the response to reach the caller before the caller's timeout. */
constexpr base::Duration kResponseMargin = base::Milliseconds(150);
/** Longest wait for the leader if the caller sets no limit. */
constexpr base::Duration kDefaultMaxWait = base::Milliseconds(3000);
/** Shortest limit of the wait for the leader, also if the caller sets less. */
constexpr base::Duration kShortestMaxWait = base::Milliseconds(50);
/** A request without a reply is resent, since the link may have lost it. */
constexpr base::Duration kResendAfter = base::Milliseconds(700);
/** Time before a fetch is repeated. A catalog of 200 KB takes about a second
 * on a link of 2 Mbit/s. */
constexpr base::Duration kFetchRetryInterval = base::Milliseconds(3000);
/** Most calls that wait for the leader; bounds memory use. */
constexpr std::size_t kMaxCalls = 4000;

/** A caller's call that waits for the leader. */
struct PendingCall
{
  protocol::WorkloadRequest mRequest;
  CallKind mKind = CallKind::Other;
  bool mIsCount = false; ///< reads the count of a queue's waiting workloads
  std::string mQueue;
  std::string mWorkload;
  transport::ServerResponder mResponder;
  base::Time mDeadline;
  base::Time mResendAt;
  bool mSent = false; ///< the request may have reached a leader
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
ToString(CallRefusal aRefusal)
{
  switch (aRefusal) {
    case CallRefusal::UnknownQueue:
      return "unknown_queue";
    case CallRefusal::UnknownKey:
      return "unknown_key";
    case CallRefusal::InvalidCall:
      return "invalid_call";
    case CallRefusal::NotReady:
      return "not_ready";
    case CallRefusal::TimedOut:
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

/** Runs an entry for workloads. Calls arrive on network threads and are decoded
 * and handled on the event loop. */
class WorkloadEntryHost final : public Host
{
public:
  explicit WorkloadEntryHost(HostContext& aContext)
    : mContext(aContext)
    , mSettings(aContext.mSettings.mEntry)
    , mProtocol(*aContext.mAdapters->mCallers)
    , mLoop(kTickInterval, { [this](base::Time aNow) { Tick(aNow); }, [] {} })
  {
  }
  ~WorkloadEntryHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    std::vector<transport::Address> controls;
    for (const auto& address : mSettings.mControlAddresses) {
      controls.push_back(LinkAddress(address));
    }
    ControlLinksEvents events;
    events.mRouteChanged = [this](RouteId) {
      mLoop.Post([this] { OnRoute(Now()); });
    };
    events.mFrame = [this](RouteId aRoute, const protocol::Frame& aFrame) {
      OnFrame(aRoute, aFrame);
    };
    mLinks = std::make_unique<ControlLinks>(
      *mContext.mNetwork,
      controls,
      MakeLinkOptions(mContext, transport::PeerRole::Entry, 0),
      events,
      *mContext.mCounters);
    auto options = MakeHttpOptions(mContext);
    options.mMaxConnections = mSettings.mConnections;
    auto server = transport::HttpServer::Listen(
      *mContext.mNetwork,
      ToTransportAddress(*mSettings.mFrontendAddress),
      options,
      [this](const transport::ServerRequest& aRequest,
             const transport::ServerResponder& aResponder) {
        mLoop.Post(
          [this, aRequest, aResponder] { OnCall(aRequest, aResponder); });
      });
    if (!server) {
      return server.LastFailure();
    }
    mFrontendServer = std::move(*server);
    if (mSettings.mReadinessAddress) {
      auto probe = transport::HttpServer::Listen(
        *mContext.mNetwork,
        ToTransportAddress(*mSettings.mReadinessAddress),
        MakeHttpOptions(mContext),
        [this](const transport::ServerRequest& aRequest,
               const transport::ServerResponder& aResponder) {
          OnProbe(aRequest, aResponder);
        });
      if (!probe) {
        return probe.LastFailure();
      }
      mProbeServer = std::move(*probe);
    }
    mLoop.Start();
    mLinks->Start();
    return true;
  }

  bool IsReady() override { return mReady; }
  void UpdateMetrics() override
  {
    auto& metrics = *mContext.mMetrics;
    metrics.Set(
      service::Gauge::RoutelessSeconds,
      std::chrono::duration<double>(mLinks->Status(Now()).mWithoutRoute)
        .count());
    metrics.Set(service::Gauge::RequestsInProgress,
                static_cast<double>(mFrontendServer->RequestsInProgress()));
    metrics.Set(service::Gauge::ConfigurationVersion,
                static_cast<double>(mVersion.load()));
  }
  bool Handle(transport::ServerRequest&,
              const transport::ServerResponder&) override
  {
    return false;
  }
  void BeginDrain() override { mDraining = true; }
  void CloseListeners() override { mFrontendServer->Drain(); }
  bool IsDrained() override
  {
    return mFrontendServer->RequestsInProgress() == 0;
  }
  bool MayExitUndrained() override { return true; }
  std::size_t TasksInProgress() override { return 0; }

  void Reload(const service::Settings& aSettings) override
  {
    std::vector<std::string> addresses;
    for (const auto& address : aSettings.mEntry.mControlAddresses) {
      const auto link = LinkAddress(address);
      addresses.push_back(link.mHost + ":" + std::to_string(link.mPort));
    }
    mLinks->AddMembers(addresses);
  }

  void Stop() override
  {
    mFrontendServer.reset();
    mProbeServer.reset();
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
    call.mResponder = aResponder;
    const auto decoded = mProtocol.Decode(aRequest);
    call.mKind = decoded.mKind;
    // The id is the last part of the path for every queue, so that the log
    // names it also for calls that are refused before their queue is known.
    call.mWorkload = aRequest.mPath.substr(aRequest.mPath.rfind('/') + 1);
    if (!IsFresh(now)) {
      Refuse(call, CallRefusal::NotReady);
      return;
    }
    const auto* queue =
      protocol::FindQueue(mCatalog, decoded.mHost, aRequest.mPath);
    if (queue == nullptr) {
      Refuse(call, CallRefusal::UnknownQueue);
      return;
    }
    call.mQueue = queue->mName.Value();
    call.mWorkload = aRequest.mPath.substr(queue->mPathPrefix.size());
    const auto* account = protocol::FindAccountByKey(mCatalog, decoded.mKey);
    if (!queue->mPublic && account == nullptr) {
      Refuse(call, CallRefusal::UnknownKey);
      return;
    }
    if (!FillRequestBody(aRequest, *queue, account, call)) {
      Refuse(call, CallRefusal::InvalidCall);
      return;
    }
    const auto timeout =
      base::Milliseconds(static_cast<std::int64_t>(queue->mTimeoutMs));
    auto maxWait =
      std::min(timeout, decoded.mCallerTimeout.value_or(kDefaultMaxWait));
    maxWait = std::max(maxWait - kResponseMargin, kShortestMaxWait);
    call.mDeadline = now + maxWait;
    if (mCalls.size() >= kMaxCalls || mLinks->CurrentRoute() == 0) {
      Refuse(call, CallRefusal::NotReady);
      return;
    }
    call.mRequest.mId = base::RequestId(++mLastRequestId);
    const auto id = call.mRequest.mId;
    Send(mCalls.emplace(id, std::move(call)).first->second, now);
  }

  /** Sets the body of the request to the leader. Returns false if the call is
   * not valid. */
  bool FillRequestBody(const transport::ServerRequest& aRequest,
                       const protocol::Queue& aQueue,
                       const protocol::CatalogAccount* aAccount,
                       PendingCall& aCall) const
  {
    const protocol::WorkloadId id(aCall.mWorkload);
    const auto queue = protocol::ReferenceTo(aQueue);
    if (aCall.mKind == CallKind::Read && aCall.mWorkload.empty()) {
      aCall.mIsCount = true;
      aCall.mRequest.mBody = protocol::CountWaitingWorkloads{ queue };
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
        submit.mQueue = queue;
        if (aAccount != nullptr) {
          submit.mAccount = aAccount->mName;
        }
        submit.mSpec = std::move(*spec);
        aCall.mRequest.mBody = std::move(submit);
        return true;
      }
      case CallKind::Read:
        aCall.mRequest.mBody = protocol::ReadWorkload{ id, queue };
        return true;
      case CallKind::Cancel:
        aCall.mRequest.mBody = protocol::CancelWorkload{ id, queue };
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

  /** Returns the delay after which a refused caller should retry. */
  base::Duration RetryAfter()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    return coordination::retry::RetryAfterDelay(
      {}, Now() - mLastReplyAt, draw(mRandom));
  }

  void Refuse(const PendingCall& aCall, CallRefusal aRefusal)
  {
    auto response = mProtocol.Render(aRefusal, RetryAfter());
    LogAnswer(aCall, response.mStatus, ToString(aRefusal));
    aCall.mResponder(std::move(response));
  }

  void OnReply(const WorkloadReply& aReply)
  {
    const auto it = mCalls.find(aReply.mId);
    if (it == mCalls.end()) {
      return;
    }
    const PendingCall call = std::move(it->second);
    mCalls.erase(it);
    auto response = call.mIsCount ? mProtocol.RenderCount(aReply)
                                  : mProtocol.Render(call.mKind, aReply);
    LogAnswer(call, response.mStatus, ToString(aReply.mResult));
    call.mResponder(std::move(response));
  }

  // Links.

  void OnRoute(base::Time aNow)
  {
    mNextFetchAt = aNow; // a fetch in progress is lost with the route
    PollVersion(aNow);
    for (auto& [id, call] : mCalls) {
      Send(call, aNow);
    }
  }

  void OnFrame(RouteId aRoute, const protocol::Frame& aFrame)
  {
    if (aFrame.mType == MessageType::WorkloadReply) {
      auto reply = protocol::Decode<WorkloadReply>(aFrame.mPayload);
      if (reply) {
        mLinks->OnLeaderAnswered(aRoute);
        mLinks->SetGroup(reply->mMembers);
        mLoop.Post([this, received = std::move(*reply)] {
          mLastReplyAt = Now();
          if (mCatalogReads.count(received.mId) > 0) {
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

  void PollVersion(base::Time aNow)
  {
    mNextPollAt = aNow + mSettings.mCatalogPoll;
    SendCatalogRead(protocol::ReadCatalog::Content::Version, aNow);
  }

  /** Requests the newer catalog, unless a fetch is in progress. */
  void FetchCatalog(base::Time aNow)
  {
    if (aNow >= mNextFetchAt) {
      mNextFetchAt = aNow + kFetchRetryInterval;
      SendCatalogRead(protocol::ReadCatalog::Content::Delta, aNow);
    }
  }

  void SendCatalogRead(protocol::ReadCatalog::Content aContent, base::Time aNow)
  {
    protocol::WorkloadRequest request;
    request.mId = base::RequestId(++mLastRequestId);
    request.mBody = protocol::ReadCatalog{ mCatalog.mVersion, aContent };
    if (mLinks->Send(MessageType::WorkloadRequest, protocol::Encode(request)) !=
        0) {
      mCatalogReads[request.mId] = aNow;
    }
  }

  void OnCatalog(const WorkloadReply& aReply)
  {
    const auto it = mCatalogReads.find(aReply.mId);
    const auto sentAt = it->second;
    mCatalogReads.erase(it);
    const auto now = Now();
    if (aReply.mDelta) {
      mNextFetchAt = now;
    }
    if (aReply.mVersion < mCatalog.mVersion) {
      return;
    }
    if (aReply.mVersion > mCatalog.mVersion) {
      const auto next =
        aReply.mDelta ? protocol::ApplyCatalogDelta(mCatalog, *aReply.mDelta)
                      : std::nullopt;
      if (!next) {
        FetchCatalog(now);
        return;
      }
      mCatalog = *next;
      mVersion = mCatalog.mVersion.Value();
      service::Log(LogEvent::CatalogReceived,
                   { { "version", mVersion.load() } });
    }
    // The leader confirmed its version after this request was sent.
    mFreshUntil = std::max(mFreshUntil, sentAt + mSettings.mCatalogAge);
    mReady = IsFresh(now);
  }

  void Tick(base::Time aNow)
  {
    mLinks->LogIfWithoutRoute(aNow);
    if (aNow >= mNextPollAt) {
      PollVersion(aNow);
    }
    mReady = IsFresh(aNow);
    for (auto it = mCatalogReads.begin(); it != mCatalogReads.end();) {
      const bool late = aNow - it->second > kFetchRetryInterval;
      it = late ? mCatalogReads.erase(it) : std::next(it);
    }
    for (auto it = mCalls.begin(); it != mCalls.end();) {
      PendingCall& call = it->second;
      if (aNow >= call.mDeadline) {
        Refuse(call,
               call.mSent ? CallRefusal::TimedOut : CallRefusal::NotReady);
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
  std::unique_ptr<transport::HttpServer> mFrontendServer;
  std::unique_ptr<transport::HttpServer> mProbeServer;
  EventLoop mLoop;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mVersion{ 0 };
  // Used by the event loop only.
  protocol::Catalog mCatalog;
  base::Time mFreshUntil{};
  base::Time mNextPollAt{};
  base::Time mNextFetchAt{}; ///< later than now while a fetch is in progress
  base::Time mLastReplyAt = Now(); ///< of the leader; at first the start time
  std::mt19937 mRandom{ std::random_device{}() };
  std::uint64_t mLastRequestId = 0;
  std::map<base::RequestId, PendingCall> mCalls;
  std::map<base::RequestId, base::Time> mCatalogReads; ///< time of sending
};

} // namespace

std::unique_ptr<Host>
MakeWorkloadEntryHost(HostContext& aContext)
{
  return std::make_unique<WorkloadEntryHost>(aContext);
}

} // namespace dogwooddrum::daemon
