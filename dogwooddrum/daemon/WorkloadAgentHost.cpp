#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/LogLimit.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace dogwooddrum::daemon {

namespace {

using coordination::workloads::OrderCall;
using coordination::workloads::OrderOutcome;
using coordination::workloads::Renewal;
using coordination::workloads::TargetProbe;
using coordination::workloads::WorkerAgent;
using coordination::workloads::WorkerAgentOptions;
using protocol::MessageType;
using service::LogEvent;

/** Bounds the delay of an order's retry. */
constexpr base::Duration kTickInterval = base::Milliseconds(100);
/** Reports renew leases; a lease lasts longer than several lost reports. */
constexpr base::Duration kReportInterval = base::Milliseconds(500);
/** How long a target may delay the answer to a renewal until a run ends (long
 * poll). */
constexpr base::Duration kRenewalWait = base::Milliseconds(400);
/** The target is on the same VM and answers within milliseconds. */
constexpr base::Duration kCallTimeout = base::Milliseconds(400);
/** Pause after a renewal that returned early. */
constexpr base::Duration kRenewalPause = base::Milliseconds(20);
/** Pause after a renewal that failed or could not be sent. */
constexpr base::Duration kRenewalRetry = base::Milliseconds(100);
/** Longest pause of a thread without work; Wake ends it. */
constexpr base::Duration kIdlePause = base::Milliseconds(60000);
/** Pause between probes of a target that has not answered. */
constexpr base::Duration kProbePause = base::Milliseconds(200);

OrderOutcome
ToOrderOutcome(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Done:
      return OrderOutcome::Done;
    case OrderResult::Superseded:
    case OrderResult::Refused:
      return OrderOutcome::Rejected;
    case OrderResult::StaleToken:
    case OrderResult::LeaseExpired:
    case OrderResult::WrongInstance:
    case OrderResult::NotSent:
      return OrderOutcome::Retryable;
    case OrderResult::NoAnswer:
      break;
  }
  return OrderOutcome::Unknown;
}

const char*
ToString(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Done:
      return "done";
    case OrderResult::StaleToken:
      return "stale_token";
    case OrderResult::Superseded:
      return "superseded";
    case OrderResult::LeaseExpired:
      return "too_late";
    case OrderResult::Refused:
      return "refused";
    case OrderResult::WrongInstance:
      return "other_life";
    case OrderResult::NoAnswer:
      return "no_answer";
    case OrderResult::NotSent:
      break;
  }
  return "not_sent";
}

base::Incarnation
MakeRandomIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw(1);
  return base::Incarnation(draw(device));
}

/** Returns the state that a target's message announces. */
const char*
StateOf(const Announcement& aAnnounced)
{
  if (aAnnounced.mHasLeft) {
    return "ends";
  }
  return aAnnounced.mTargetInfo.mLeaving ? "leaving" : "ready";
}

/** A thread that makes blocking calls to the target, one at a time. */
class CallThread
{
public:
  /** Makes the next call, if any, and returns the pause before the next step;
   * Wake ends the pause early. The client is null until SetAddress. */
  using Step = std::function<base::Duration(transport::HttpClient*)>;

  explicit CallThread(Step aStep)
    : mStep(std::move(aStep))
  {
  }
  ~CallThread() { Stop(); }

  void Start()
  {
    mThread = std::thread([this] { Run(); });
  }

  /** Connects to aAddress from the next call on. Thread safe. */
  void SetAddress(const transport::Address& aAddress)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAddress = aAddress;
    mAddressChanged = true;
    mWoken = true;
    mWake.notify_one();
  }

  void Wake()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mWoken = true;
    mWake.notify_one();
  }

  void Stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
      mWake.notify_one();
    }
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  void Run()
  {
    std::unique_ptr<transport::HttpClient> client;
    base::Duration pause{};
    while (true) {
      {
        std::unique_lock<std::mutex> lock(mMutex);
        mWake.wait_for(lock, pause, [this] { return mWoken || mStopped; });
        if (mStopped) {
          return;
        }
        mWoken = false;
        if (mAddressChanged) {
          mAddressChanged = false;
          transport::HttpClientOptions options;
          options.mIp = mAddress.mHost;
          options.mPort = mAddress.mPort;
          client = std::make_unique<transport::HttpClient>(options);
        }
      }
      pause = mStep(client.get());
    }
  }

  const Step mStep;
  std::mutex mMutex; ///< guards the members below
  std::condition_variable mWake;
  transport::Address mAddress;
  bool mAddressChanged = false;
  bool mWoken = false;
  bool mStopped = false;
  std::thread mThread;
};

/** Runs a WorkerAgent, the agent for workloads: one thread renews leases, one
 * sends orders, one probes targets that may have replaced the present one. */
class WorkloadAgentHost final : public Host
{
public:
  explicit WorkloadAgentHost(HostContext& aContext)
    : mContext(aContext)
    , mSettings(aContext.mSettings.mAgent)
    , mProtocol(*aContext.mAdapters->mTargets)
    , mAgent(MakeOptions(aContext))
    , mLoop(kTickInterval, { [this](base::Time aNow) { Tick(aNow); }, [] {} })
    , mRenewalThread(
        [this](transport::HttpClient* aClient) { return RenewLease(aClient); })
    , mOrderThread([this](transport::HttpClient* aClient) {
      return SendNextOrder(aClient);
    })
    , mProbeThread([this](transport::HttpClient*) { return ProbeNextTarget(); })
  {
  }
  ~WorkloadAgentHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    std::vector<transport::Address> controls;
    for (const auto& address : mSettings.mControlAddresses) {
      controls.push_back(ToLinkAddress(address));
    }
    ControlLinksEvents events;
    events.mRouteChanged = [this](RouteId) {
      mLoop.Post([this] { SendReport(Now()); });
    };
    events.mFrame = [this](RouteId aRoute, const protocol::Frame& aFrame) {
      OnFrame(aRoute, aFrame);
    };
    mLinks = std::make_unique<ControlLinks>(
      *mContext.mNetwork,
      controls,
      MakeLinkOptions(
        mContext, transport::PeerRole::Agent, mIncarnation.Value()),
      events,
      *mContext.mCounters);
    auto server = transport::HttpServer::Listen(
      *mContext.mNetwork,
      ToTransportAddress(*mSettings.mAnnounceAddress),
      MakeHttpOptions(mContext),
      [this](const transport::ServerRequest& aRequest,
             const transport::ServerResponder& aResponder) {
        OnTargetMessage(aRequest, aResponder);
      });
    if (!server) {
      return server.LastFailure();
    }
    mServer = std::move(*server);
    mLoop.Start();
    mRenewalThread.Start();
    mOrderThread.Start();
    mProbeThread.Start();
    mLinks->Start();
    return true;
  }

  bool IsReady() override { return mHasOrders; }
  void UpdateMetrics() override
  {
    mContext.mMetrics->Set(
      service::Gauge::RoutelessSeconds,
      std::chrono::duration<double>(mLinks->Status(Now()).mWithoutRoute)
        .count());
    mContext.mMetrics->Set(service::Gauge::HeldTasks,
                           static_cast<double>(mRunning.load()));
  }
  bool Handle(transport::ServerRequest&,
              const transport::ServerResponder&) override
  {
    return false;
  }
  void BeginDrain() override {}
  void CloseListeners() override { mServer->Drain(); }
  bool IsDrained() override { return mServer->RequestsInProgress() == 0; }
  bool MayExitUndrained() override { return true; }
  std::size_t TasksInProgress() override { return mRunning; }

  void Reload(const service::Settings& aSettings) override
  {
    std::vector<std::string> addresses;
    for (const auto& address : aSettings.mAgent.mControlAddresses) {
      const auto link = ToLinkAddress(address);
      addresses.push_back(link.mHost + ":" + std::to_string(link.mPort));
    }
    mLinks->AddMembers(addresses);
  }

  void Stop() override
  {
    mServer.reset();
    if (mLinks) {
      mLinks->Stop();
    }
    mRenewalThread.Stop();
    mOrderThread.Stop();
    mProbeThread.Stop();
    mLoop.Stop();
  }

private:
  WorkerAgentOptions MakeOptions(const HostContext& aContext) const
  {
    WorkerAgentOptions options;
    options.mIncarnation = mIncarnation;
    options.mName = aContext.mSettings.mCommon.mName;
    return options;
  }

  transport::Address ToLinkAddress(const service::Address& aAddress) const
  {
    const auto port = mSettings.mControlLinkPort;
    return { aAddress.mIp, port == 0 ? aAddress.mPort : port };
  }

  // Messages from the target.

  void OnTargetMessage(const transport::ServerRequest& aRequest,
                       const transport::ServerResponder& aResponder)
  {
    const auto decoded = mProtocol.Decode(aRequest);
    if (!decoded) {
      service::Log(LogEvent::TargetMessageRejected,
                   { { "message", decoded.LastFailure().mMessage } });
      aResponder(mProtocol.Reject(decoded.LastFailure()));
      return;
    }
    // Acknowledged only after the agent has recorded the message, so that a
    // leaving target receives no start order after the acknowledgement.
    mLoop.Post([this, announced = *decoded, aResponder] {
      OnAnnounced(announced);
      aResponder(mProtocol.Acknowledge());
    });
  }

  void OnAnnounced(const Announcement& aAnnounced)
  {
    bool changed = true;
    const std::lock_guard<std::mutex> lock(mMutex);
    LogIfDropped(aAnnounced, Now());
    const auto before = PresentIncarnation();
    const auto& announced = aAnnounced.mTargetInfo.mTargetIncarnation;
    if (aAnnounced.mHasLeft) {
      mAgent.OnLeaveMessage(announced.mInstance, Now());
    } else {
      changed = mAgent.OnAnnounced(aAnnounced.mTargetInfo,
                                   aAnnounced.mSequence,
                                   Now(),
                                   FormatAddress(aAnnounced.mAddress));
      if (PresentIncarnation() != announced) {
        mProbeThread.Wake();
      }
    }
    if (!changed) {
      return;
    }
    LogIfEnded(before, StateOf(aAnnounced), aAnnounced.mSequence);
    service::Log(LogEvent::TargetAnnounced,
                 { { "target", announced.mInstance },
                   { "address", FormatAddress(aAnnounced.mAddress) },
                   { "state", StateOf(aAnnounced) } });
    if (PresentIncarnation() != before) {
      CallPresentTarget();
    }
    SendReportLocked(Now());
  }

  static std::string FormatAddress(const transport::Address& aAddress)
  {
    return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
  }

  /** Returns the incarnation of the present target, which is empty if there is
   * none. Precondition: mMutex is held. */
  protocol::TargetIncarnation PresentIncarnation() const
  {
    const auto* target = mAgent.Target();
    return target == nullptr ? protocol::TargetIncarnation()
                             : target->mTargetIncarnation;
  }

  /** Makes the calls go to the present target. Precondition: mMutex is held. */
  void CallPresentTarget()
  {
    const auto address = transport::ParseAddress(mAgent.TargetAddress());
    if (mAgent.Target() != nullptr && address) {
      mRenewalThread.SetAddress(*address);
      mOrderThread.SetAddress(*address);
    }
  }

  /** Calls the next target that has announced itself beside the present one. */
  base::Duration ProbeNextTarget()
  {
    std::optional<TargetProbe> probe;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      probe = mAgent.NextProbe(Now());
      if (!probe) {
        return mAgent.HasCandidates() ? kProbePause : kIdlePause;
      }
    }
    const auto& incarnation = probe->mTargetIncarnation;
    const auto address = transport::ParseAddress(probe->mAddress);
    bool hasAnswered = false;
    bool isTokenRejected = false;
    if (address) {
      transport::HttpClientOptions options;
      options.mIp = address->mHost;
      options.mPort = address->mPort;
      transport::HttpClient client(options);
      LeaseRenewal call;
      call.mFencingToken = probe->mFencingToken;
      const auto outcome = client.Call(
        mProtocol.EncodeLeaseRenewal(call, incarnation), kCallTimeout);
      const auto listing = mProtocol.DecodeRunListing(outcome, incarnation);
      hasAnswered = static_cast<bool>(listing);
      isTokenRejected = IsTokenRejected(outcome);
      if (!listing) {
        service::Log(LogEvent::ListingFailed,
                     { { "message", listing.LastFailure().mMessage } });
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    if (isTokenRejected) {
      mAgent.OnTokenRejected(probe->mFencingToken);
    }
    const auto before = PresentIncarnation();
    if (mAgent.OnProbed(incarnation, hasAnswered, Now())) {
      LogIfEnded(before, "probe", 0);
      service::Log(
        LogEvent::TargetAnnounced,
        { { "target", mAgent.Target()->mTargetIncarnation.mInstance },
          { "address", mAgent.TargetAddress() },
          { "state", "answers" } });
      CallPresentTarget();
      SendReportLocked(Now());
    }
    return base::Duration::zero();
  }

  /** Logs that the agent ignores an announcement. Precondition: mMutex is
   * held. */
  void LogIfDropped(const Announcement& aAnnounced, base::Time aNow)
  {
    const auto& incarnation = aAnnounced.mTargetInfo.mTargetIncarnation;
    const char* reason =
      aAnnounced.mHasLeft
        ? mAgent.WhyDropsLeaveMessage(incarnation.mInstance)
        : mAgent.WhyDrops(aAnnounced.mTargetInfo, aAnnounced.mSequence);
    if (reason == nullptr && !aAnnounced.mHasLeft &&
        mAgent.Target() != nullptr && PresentIncarnation() != incarnation) {
      reason =
        "another target is present; it is replaced once this one answers";
    }
    if (reason != nullptr && mDroppedLimit.Take(aNow)) {
      service::Log(LogEvent::AnnouncementDropped,
                   { { "message", StateOf(aAnnounced) },
                     { "target", incarnation.mInstance },
                     { "start_ms", incarnation.mStartMs },
                     { "sequence", aAnnounced.mSequence },
                     { "reason", reason } });
    }
  }

  /** Logs that a message has ended the incarnation aBefore. Precondition:
   * mMutex is held. */
  void LogIfEnded(const protocol::TargetIncarnation& aBefore,
                  const char* aMessage,
                  std::uint64_t aSequence) const
  {
    const auto* target = mAgent.Target();
    if (aBefore.mInstance.empty() ||
        (target != nullptr && target->mTargetIncarnation == aBefore)) {
      return;
    }
    service::Log(
      LogEvent::IncarnationEnded,
      { { "target", aBefore.mInstance },
        { "start_ms", aBefore.mStartMs },
        { "message", aMessage },
        { "sequence", aSequence },
        { "next",
          target == nullptr
            ? std::string("none")
            : target->mTargetIncarnation.mInstance + "/" +
                std::to_string(target->mTargetIncarnation.mStartMs) } });
  }

  // Links.

  void OnFrame(RouteId aRoute, const protocol::Frame& aFrame)
  {
    if (aFrame.mType == MessageType::WorkerOrders) {
      auto orders = protocol::Decode<protocol::WorkerOrders>(aFrame.mPayload);
      if (orders) {
        mLinks->OnLeaderAnswered(aRoute);
        mLinks->SetGroup(orders->mMembers);
        mLoop.Post([this, received = std::move(*orders)] {
          const std::lock_guard<std::mutex> lock(mMutex);
          mAgent.OnOrders(received, Now());
          mHasOrders = true;
          mOrderThread.Wake();
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

  void SendReport(base::Time aNow)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    SendReportLocked(aNow);
  }

  void SendReportLocked(base::Time aNow)
  {
    mNextReportAt = aNow + kReportInterval;
    const auto report = mAgent.MakeReport(aNow);
    mLinks->Send(MessageType::WorkerReport, protocol::Encode(report));
  }

  void Tick(base::Time aNow)
  {
    mLinks->LogIfWithoutRoute(aNow);
    bool wake = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (aNow >= mNextReportAt) {
        SendReportLocked(aNow);
      }
      const auto next = mAgent.NextOrderAt();
      wake = next && *next <= aNow;
    }
    if (wake) {
      mOrderThread.Wake();
    }
  }

  // Calls to the target.

  base::Duration RenewLease(transport::HttpClient* aClient)
  {
    const auto begin = Now();
    std::optional<Renewal> renewal;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      renewal = mAgent.NextRenewal(begin);
    }
    if (!renewal || aClient == nullptr) {
      return kRenewalRetry;
    }
    LeaseRenewal call;
    call.mFencingToken = renewal->mFencingToken;
    call.mAcknowledged = renewal->mAcknowledged;
    call.mLeaseUntilMs = renewal->mLeaseUntilMs;
    // Without a lease the target's clock is not known yet, so the call must
    // return at once.
    call.mMaxWait = call.mLeaseUntilMs ? kRenewalWait : base::Duration::zero();
    const auto outcome = aClient->Call(
      mProtocol.EncodeLeaseRenewal(call, renewal->mTargetIncarnation),
      kCallTimeout + call.mMaxWait);
    auto listing =
      mProtocol.DecodeRunListing(outcome, renewal->mTargetIncarnation);
    const auto now = Now();
    if (!listing) {
      service::Log(LogEvent::ListingFailed,
                   { { "message", listing.LastFailure().mMessage } });
      if (outcome.mRefused) {
        OnConnectionRefused(renewal->mTargetIncarnation, begin);
      }
      if (IsTokenRejected(outcome)) {
        const std::lock_guard<std::mutex> lock(mMutex);
        mAgent.OnTokenRejected(renewal->mFencingToken);
      }
      return kRenewalRetry;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mRunning = listing->mRunning.size();
    const bool changed = mAgent.OnListing(renewal->mTargetIncarnation,
                                          listing->mClockMs,
                                          std::move(listing->mRunning),
                                          std::move(listing->mEnded),
                                          begin,
                                          now);
    if (changed || now >= mNextReportAt) {
      SendReportLocked(now);
    }
    mOrderThread.Wake();
    return now - begin < kRenewalPause ? kRenewalPause : base::Duration::zero();
  }

  bool IsTokenRejected(const transport::HttpOutcome& aOutcome) const
  {
    return mProtocol.DecodeOrder(aOutcome).mResult == OrderResult::StaleToken;
  }

  void OnConnectionRefused(const protocol::TargetIncarnation& aTarget,
                           base::Time aCalledAt)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mAgent.OnConnectionRefused(aTarget, aCalledAt)) {
      LogIfEnded(aTarget, "connection_refused", 0);
      CallPresentTarget();
      SendReportLocked(Now());
    }
  }

  base::Duration SendNextOrder(transport::HttpClient* aClient)
  {
    std::optional<OrderCall> call;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (aClient != nullptr) {
        call = mAgent.NextOrder(Now());
      }
    }
    if (!call) {
      return kIdlePause;
    }
    const auto request = call->mIsStart
                           ? mProtocol.EncodeStart(call->mStart,
                                                   call->mFencingToken,
                                                   call->mLeaseUntilMs,
                                                   call->mTargetIncarnation)
                           : mProtocol.EncodeStop(call->mStart.mRun,
                                                  call->mFencingToken,
                                                  call->mTargetIncarnation);
    const auto answer =
      mProtocol.DecodeOrder(aClient->Call(request, kCallTimeout));
    LogOrder(*call, answer);
    const std::lock_guard<std::mutex> lock(mMutex);
    mAgent.OnAnswered(
      *call, ToOrderOutcome(answer.mResult), answer.mMessage, Now());
    return base::Duration::zero();
  }

  static void LogOrder(const OrderCall& aCall, const OrderAnswer& aAnswer)
  {
    const auto& run = aCall.mStart.mRun;
    service::Log(aAnswer.mResult == OrderResult::Done ? LogEvent::OrderSent
                                                      : LogEvent::OrderFailed,
                 { { "order", aCall.mIsStart ? "start" : "stop" },
                   { "task", coordination::workloads::ToString(run.mTask) },
                   { "run", run.mRun.Value() },
                   { "fence", aCall.mFencingToken.Value() },
                   { "result", ToString(aAnswer.mResult) },
                   { "message", aAnswer.mMessage } });
  }

  HostContext& mContext;
  const service::AgentSettings& mSettings;
  const TargetProtocol& mProtocol;
  const base::Incarnation mIncarnation = MakeRandomIncarnation();
  std::mutex mMutex; ///< guards the three members below
  WorkerAgent mAgent;
  LogLimit mDroppedLimit;
  base::Time mNextReportAt{};
  std::unique_ptr<ControlLinks> mLinks;
  std::unique_ptr<transport::HttpServer> mServer;
  EventLoop mLoop;
  CallThread mRenewalThread;
  CallThread mOrderThread;
  CallThread mProbeThread;
  std::atomic<bool> mHasOrders{ false };
  std::atomic<std::size_t> mRunning{ 0 };
};

} // namespace

std::unique_ptr<Host>
MakeWorkloadAgentHost(HostContext& aContext)
{
  return std::make_unique<WorkloadAgentHost>(aContext);
}

} // namespace dogwooddrum::daemon
