#include "dogwooddrum/coordination/admission/Freshness.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/JobEntryRoutes.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"

#include <atomic>

namespace dogwooddrum::daemon {

namespace {

using coordination::admission::Admission;
using coordination::admission::Freshness;
using coordination::admission::FreshnessOptions;
using protocol::MessageType;
using service::LogEvent;

constexpr base::Duration kTickInterval = base::Milliseconds(20);

/** Hosts an entry for jobs. Requests and replies are handled on the network
 * threads, configuration polls and deadlines on the event loop. */
class JobEntryHost final : public Host
{
public:
  explicit JobEntryHost(HostContext& aContext)
    : mContext(aContext)
    , mFreshness(mFreshnessOptions)
    , mLoop(kTickInterval, { [this](base::Time aNow) { Tick(aNow); }, [] {} })
  {
  }
  ~JobEntryHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    const auto& settings = mContext.mSettings.mEntry;
    std::vector<transport::Address> controls;
    for (const auto& address : settings.mControlAddresses) {
      controls.push_back(ToTransportAddress(address));
    }
    ControlLinksEvents events;
    events.mRouteChanged = [this](RouteId aRoute) { OnRoute(aRoute); };
    events.mFrame = [this](RouteId aRoute, const protocol::Frame& aFrame) {
      if (!OnFrame(aRoute, aFrame)) {
        service::Log(LogEvent::FrameRejected,
                     { { "peer", "control" },
                       { "message",
                         "type " + std::to_string(
                                     static_cast<unsigned>(aFrame.mType)) } });
      }
    };
    mLinks = std::make_unique<ControlLinks>(
      *mContext.mNetwork,
      controls,
      MakeLinkOptions(mContext, transport::PeerRole::Entry, 0),
      events,
      *mContext.mCounters);
    RequestTableOptions tableOptions;
    tableOptions.mConcurrentRequests = settings.mConcurrentRequests;
    tableOptions.mQueueBound = settings.mQueueBound;
    tableOptions.mRetryBudgetPercent = settings.mRetryBudgetPercent;
    mTable = std::make_unique<RequestTable>(*mLinks, tableOptions);
    JobEntryRoutesOptions routesOptions;
    routesOptions.mOperatorKey = mContext.mOperatorKey;
    routesOptions.mRequestTimeout = settings.mRequestTimeout;
    mRoutes = std::make_unique<JobEntryRoutes>(
      routesOptions, mAdmission, *mTable, *mContext.mMetrics);
    mLoop.Start();
    mLinks->Start();
    return true;
  }

  bool IsReady() override { return mIsFresh; }

  void UpdateMetrics() override
  {
    auto& metrics = *mContext.mMetrics;
    metrics.Set(
      service::Gauge::RoutelessSeconds,
      std::chrono::duration<double>(mLinks->Status(Now()).mWithoutRoute)
        .count());
    metrics.Set(service::Gauge::RequestsInProgress,
                static_cast<double>(mTable->InProgress()));
    metrics.Set(service::Gauge::QueuedRequests,
                static_cast<double>(mTable->Queued()));
    metrics.Set(service::Gauge::ConfigurationVersion,
                static_cast<double>(mConfigurationVersion.load()));
  }

  bool Handle(transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder) override
  {
    return mRoutes->Handle(aRequest, aResponder);
  }

  void BeginDrain() override {}
  void CloseListeners() override {}
  bool IsDrained() override { return mTable->InProgress() == 0; }
  bool MayExitUndrained() override { return true; }
  void Reload(const service::Settings& aSettings) override
  {
    std::vector<std::string> addresses;
    for (const auto& address : aSettings.mEntry.mControlAddresses) {
      addresses.push_back(service::ToString(address));
    }
    mLinks->AddMembers(addresses);
  }
  std::size_t TasksInProgress() override { return 0; }

  void Stop() override
  {
    if (mLinks) {
      mLinks->Stop();
    }
    mLoop.Stop();
  }

private:
  void OnRoute(RouteId aRoute)
  {
    mTable->OnRoute(aRoute);
    mLoop.Post([this] {
      mFreshness.PollNow();
      SendPoll(Now());
    });
  }

  void OnLeaderAnswered(RouteId aRoute)
  {
    mLinks->OnLeaderAnswered(aRoute);
    mTable->OnLeaderAnswered(aRoute);
  }

  /** Returns false if the frame cannot be decoded or entries do not handle its
   * type. */
  bool OnFrame(RouteId aRoute, const protocol::Frame& aFrame)
  {
    switch (aFrame.mType) {
      case MessageType::ClientReply: {
        auto reply = protocol::Decode<protocol::ClientReply>(aFrame.mPayload);
        if (reply) {
          mTable->OnReply(aRoute, std::move(*reply));
        }
        return static_cast<bool>(reply);
      }
      case MessageType::FreshnessReply: {
        const auto reply =
          protocol::Decode<protocol::FreshnessReply>(aFrame.mPayload);
        if (reply) {
          OnLeaderAnswered(aRoute);
          mLoop.Post([this, fresh = *reply] { OnFreshnessReply(fresh); });
        }
        return static_cast<bool>(reply);
      }
      case MessageType::NotLeader: {
        const auto reply =
          protocol::Decode<protocol::NotLeader>(aFrame.mPayload);
        if (reply && aRoute != 0) {
          mTable->OnRoute(0);
          mLinks->OnNotLeader(aRoute, *reply);
        }
        return static_cast<bool>(reply);
      }
      default:
        return false;
    }
  }

  void OnFreshnessReply(const protocol::FreshnessReply& aReply)
  {
    if (mFreshness.OnReply(aReply)) {
      mAdmission.SetConfiguration(mFreshness.Current());
      mConfigurationVersion = mFreshness.Current().mVersion.Value();
    }
    mAdmission.SetFreshUntil(mFreshness.FreshUntil());
    UpdateFreshness(Now());
  }

  void UpdateFreshness(base::Time aNow)
  {
    const bool fresh = mFreshness.IsFresh(aNow);
    if (fresh == mIsFresh) {
      return;
    }
    mIsFresh = fresh;
    if (fresh) {
      service::Log(LogEvent::ConfigurationFresh,
                   { { "version", mConfigurationVersion.load() } });
    } else {
      service::Log(
        LogEvent::ConfigurationStale,
        { { "age_ms", base::ToMilliseconds(mFreshnessOptions.mFreshFor) } });
    }
  }

  void SendPoll(base::Time aNow)
  {
    if (const auto poll = mFreshness.NextPoll(aNow)) {
      mLinks->Send(MessageType::FreshnessPoll, protocol::Encode(*poll));
    }
  }

  void Tick(base::Time aNow)
  {
    mLinks->LogIfWithoutRoute(aNow);
    SendPoll(aNow);
    UpdateFreshness(aNow);
    mTable->Tick(aNow);
  }

  HostContext& mContext;
  const FreshnessOptions mFreshnessOptions{};
  Freshness mFreshness; ///< used by the event loop only
  Admission mAdmission;
  std::unique_ptr<ControlLinks> mLinks;
  std::unique_ptr<RequestTable> mTable;
  std::unique_ptr<JobEntryRoutes> mRoutes;
  EventLoop mLoop;
  std::atomic<bool> mIsFresh{ false };
  std::atomic<std::uint64_t> mConfigurationVersion{ 0 };
};

} // namespace

std::unique_ptr<Host>
MakeJobEntryHost(HostContext& aContext)
{
  return std::make_unique<JobEntryHost>(aContext);
}

} // namespace dogwooddrum::daemon
