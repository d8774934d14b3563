#include "dogwooddrum/daemon/Daemon.h"

#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/DataFolder.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/LifeCycle.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/transport/KeyFile.h"

#include <csignal>
#include <cstdio>

namespace dogwooddrum::daemon {

namespace {

using service::LogEvent;

constexpr int kStartFailed = 1;
/** How often the main thread checks whether the role is ready or drained. No
 * request waits for this check. */
constexpr base::Duration kPollInterval = base::Milliseconds(20);
/** How often the settings file is read while serving: it may change without a
 * signal. */
constexpr base::Duration kSettingsCheckInterval = base::Milliseconds(1000);

int
RefuseStart(const std::string& aMessage)
{
  service::Log(LogEvent::StartRefused, { { "message", aMessage } });
  return kStartFailed;
}

/** Logs what the settings give as addresses of the control group. */
void
LogControlAddresses(const service::Settings& aSettings)
{
  auto addresses =
    aSettings.mControl.mSeeds.value_or(std::vector<service::Address>());
  if (aSettings.mCommon.mRole == service::Role::Entry) {
    addresses = aSettings.mEntry.mControlAddresses;
  } else if (aSettings.mCommon.mRole == service::Role::Agent) {
    addresses = aSettings.mAgent.mControlAddresses;
  }
  std::string text;
  for (const auto& address : addresses) {
    text += (text.empty() ? "" : " ") + service::ToString(address);
  }
  service::Log(LogEvent::ControlAddresses,
               { { "role", service::ToString(aSettings.mCommon.mRole) },
                 { "addresses", text.empty() ? "none" : text } });
}

/** Waits for a signal, at most aTimeout. Returns it, or 0 if none came. */
int
WaitForSignal(const sigset_t& aSignals, base::Duration aTimeout)
{
  timespec timeout = {};
  timeout.tv_sec = aTimeout.count() / 1000000;
  timeout.tv_nsec = (aTimeout.count() % 1000000) * 1000;
  const int signal = sigtimedwait(&aSignals, nullptr, &timeout);
  return signal > 0 ? signal : 0;
}

/** Blocks the signals in this and all later threads. */
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed must not end the process.
  struct sigaction ignore = {};
  ignore.sa_handler = SIG_IGN; // NOLINT
  sigaction(SIGPIPE, &ignore, nullptr);
  return signals;
}

std::unique_ptr<Host>
MakeHost(HostContext& aContext)
{
  switch (aContext.mSettings.mCommon.mRole) {
    case service::Role::Entry:
      if (aContext.mSettings.mEntry.mFrontendAddress) {
        return MakeWorkloadEntryHost(aContext);
      }
      return MakeJobEntryHost(aContext);
    case service::Role::Control:
      return MakeControlHost(aContext);
    case service::Role::Agent:
      break;
  }
  return aContext.mSettings.mAgent.mAnnounceAddress
           ? MakeWorkloadAgentHost(aContext)
           : MakeJobAgentHost(aContext);
}

transport::ServerResponse
MakeTextResponse(unsigned aStatus, std::string aText)
{
  transport::ServerResponse response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; version=0.0.4";
  response.mBody = std::move(aText);
  return response;
}

/** Runs one daemon process: starts the host of the role and the HTTP server,
 * handles signals and drains. */
class Process
{
public:
  /** aSettingsText: content of the settings file that aContext was read from.
   */
  Process(HostContext& aContext,
          const sigset_t& aSignals,
          SettingsSource aSource,
          std::string aSettingsText)
    : mContext(aContext)
    , mSignals(aSignals)
    , mSource(std::move(aSource))
    , mSettingsText(std::move(aSettingsText))
    , mHost(MakeHost(aContext))
  {
  }

  int Run()
  {
    const auto started = mHost->Start();
    if (!started) {
      mHost->Stop();
      return RefuseStart(started.LastFailure().mMessage);
    }
    if (const auto failure = Listen()) {
      mHost->Stop();
      return RefuseStart(*failure);
    }
    Serve();
    Drain();
    return 0;
  }

private:
  std::optional<std::string> Listen()
  {
    const auto& common = mContext.mSettings.mCommon;
    auto options = MakeHttpOptions(mContext);
    if (common.mRole == service::Role::Entry) {
      options.mMaxConnections = mContext.mSettings.mEntry.mConnections;
    }
    auto server = transport::HttpServer::Listen(
      *mContext.mNetwork,
      { common.mBindAddress, common.mHttpPort },
      options,
      [this](transport::ServerRequest aRequest,
             const transport::ServerResponder& aResponder) {
        Handle(aRequest, aResponder);
      });
    if (!server) {
      return server.LastFailure().mMessage;
    }
    mServer = std::move(*server);
    service::Log(
      LogEvent::Listening,
      { { "protocol", "http" },
        { "address",
          common.mBindAddress + ":" + std::to_string(mServer->Port()) } });
    return std::nullopt;
  }

  void Handle(transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder)
  {
    if (aRequest.mPath == "/healthz") {
      aResponder(MakeTextResponse(200, "ok\n"));
    } else if (aRequest.mPath == "/readyz") {
      const bool ready =
        mLifeCycle.CurrentPhase() == Phase::Serving && mHost->IsReady();
      aResponder(MakeTextResponse(
        ready ? 200 : 503,
        ready ? "ready\n"
              : std::string(ToString(mLifeCycle.CurrentPhase())) + "\n"));
    } else if (aRequest.mPath == "/metrics") {
      mContext.mMetrics->Set(
        service::Gauge::Ready,
        mLifeCycle.CurrentPhase() == Phase::Serving && mHost->IsReady() ? 1
                                                                        : 0);
      mHost->UpdateMetrics();
      aResponder(MakeTextResponse(
        200,
        mContext.mMetrics->Render() + RenderLinkMetrics(*mContext.mCounters) +
          RenderHttpMetrics(*mContext.mHttpCounters)));
    } else if (!mHost->Handle(aRequest, aResponder)) {
      aResponder(MakeTextResponse(404, "no such path\n"));
    }
  }

  void Serve()
  {
    const auto& common = mContext.mSettings.mCommon;
    while (true) {
      const int signal = WaitForSignal(
        mSignals,
        mLifeCycle.CurrentPhase() == Phase::Starting ? kPollInterval
                                                     : kSettingsCheckInterval);
      if (signal != 0 && signal != SIGHUP) {
        return;
      }
      const auto now = Now();
      if (signal == SIGHUP || now >= mNextSettingsCheck) {
        mNextSettingsCheck = now + kSettingsCheckInterval;
        Reload(signal != SIGHUP);
      }
      if (mLifeCycle.CurrentPhase() == Phase::Starting && mHost->IsReady() &&
          mLifeCycle.BecomeReady()) {
        service::Log(LogEvent::Ready,
                     { { "role", service::ToString(common.mRole) },
                       { "name", common.mName } });
      }
    }
  }

  /** Reads the settings file again. An invalid file changes nothing.
   * aOnlyIfChanged: does nothing if the content is the same or unreadable, as
   * while the file is being replaced. */
  void Reload(bool aOnlyIfChanged)
  {
    const auto text = service::ReadSettingsFile(mSource.mFile);
    if (aOnlyIfChanged && (!text || *text == mSettingsText)) {
      return;
    }
    mSettingsText = text ? *text : mSettingsText;
    const auto settings =
      text ? service::ParseSettings(*text, mSource.mFile, mSource.mOverrides)
           : base::Outcome<service::Settings>(text.LastFailure());
    if (!settings) {
      service::Log(LogEvent::ReloadFailed,
                   { { "message", settings.LastFailure().mMessage } });
      return;
    }
    service::Log(LogEvent::Reloaded, { { "file", mSource.mFile } });
    LogControlAddresses(*settings);
    mHost->Reload(*settings);
  }

  void Drain()
  {
    const auto& common = mContext.mSettings.mCommon;
    const auto begin = Now();
    mLifeCycle.BeginDrain();
    service::Log(LogEvent::DrainStarted,
                 { { "delay_ms", base::ToMilliseconds(common.mDrainDelay) } });
    mHost->BeginDrain();
    WaitFor(common.mDrainDelay, [] { return false; });
    mHost->CloseListeners();
    if (common.mRole == service::Role::Entry) {
      mServer->Drain();
    }
    service::Log(LogEvent::ListenersClosed,
                 { { "requests", mServer->RequestsInProgress() },
                   { "tasks", mHost->TasksInProgress() } });
    const auto limit = common.mShutdownLimit.count() > 0
                         ? common.mShutdownLimit
                         : base::Duration::max();
    const auto drained = [this] {
      return mHost->IsDrained() && mServer->RequestsInProgress() == 0;
    };
    if (!WaitFor(limit, drained)) {
      // The limit does not apply to work that cannot be run again elsewhere.
      WaitFor(base::Duration::max(), [this, &drained] {
        return drained() || mHost->MayExitUndrained();
      });
      service::Log(LogEvent::ShutdownLimitReached,
                   { { "limit_ms", base::ToMilliseconds(limit) },
                     { "tasks", mHost->TasksInProgress() } });
    }
    mHost->Stop();
    mContext.mNetwork->Stop();
    mLifeCycle.Finish();
    service::Log(LogEvent::Stopped,
                 { { "duration_ms", base::ToMilliseconds(Now() - begin) } });
  }

  /** Polls aDone. Returns whether it became true within aLimit. */
  template<typename F>
  bool WaitFor(base::Duration aLimit, const F& aDone)
  {
    const auto begin = Now();
    while (!aDone()) {
      if (Now() - begin >= aLimit) {
        return false;
      }
      // A second signal does not shorten the drain.
      WaitForSignal(mSignals, std::min(aLimit, kPollInterval));
    }
    return true;
  }

  HostContext& mContext;
  const sigset_t mSignals;
  const SettingsSource mSource;
  std::string mSettingsText; ///< as last read
  base::Time mNextSettingsCheck{};
  LifeCycle mLifeCycle;
  std::unique_ptr<Host> mHost;
  std::unique_ptr<transport::HttpServer> mServer;
};

} // namespace

int
RunDaemon(const SettingsSource& aSource, const Adapters& aAdapters)
{
  const auto text = service::ReadSettingsFile(aSource.mFile);
  const auto settings =
    text ? service::ParseSettings(*text, aSource.mFile, aSource.mOverrides)
         : base::Outcome<service::Settings>(text.LastFailure());
  if (!settings) {
    std::fprintf(
      stderr, "dogwooddrumd: %s\n", settings.LastFailure().mMessage.c_str());
    // The settings that name the log file are not valid.
    RefuseStart(settings.LastFailure().mMessage);
    return service::kUsageErrorExitStatus;
  }
  const auto& common = settings->mCommon;
  const auto log = service::OpenLog(common.mLogLevel, common.mLogFile);
  if (!log) {
    return RefuseStart(log.LastFailure().mMessage);
  }
  const auto signals = BlockSignals();
  HostContext context;
  context.mKey = common.mKey;
  if (common.mKey.empty()) {
    const auto key = transport::LoadKeyFile(common.mKeyFile);
    if (!key) {
      return RefuseStart(key.LastFailure().mMessage);
    }
    context.mKey = *key;
  }
  if (!common.mOperatorKeyFile.empty()) {
    const auto operatorKey = transport::LoadKeyFile(common.mOperatorKeyFile);
    if (!operatorKey) {
      return RefuseStart(operatorKey.LastFailure().mMessage);
    }
    context.mOperatorKey = *operatorKey;
  }
  service::Log(LogEvent::Started,
               { { "role", service::ToString(common.mRole) },
                 { "name", common.mName },
                 { "version", "0.1.0" } });
  LogControlAddresses(*settings);
  context.mSettings = *settings;
  service::Metrics metrics;
  transport::LinkCounters counters;
  transport::HttpCounters httpCounters;
  transport::Network network(context.mSettings.mCommon.mNetworkThreads);
  context.mNetwork = &network;
  context.mMetrics = &metrics;
  context.mCounters = &counters;
  context.mHttpCounters = &httpCounters;
  context.mAdapters = &aAdapters;
  Process process(context, signals, aSource, *text);
  const int status = process.Run();
  network.Stop();
  return status;
}

int
BootstrapGroup(const SettingsSource& aSource)
{
  const auto settings =
    service::LoadSettings(aSource.mFile, aSource.mOverrides);
  if (!settings) {
    std::fprintf(
      stderr, "dogwooddrumd: %s\n", settings.LastFailure().mMessage.c_str());
    return service::kUsageErrorExitStatus;
  }
  if (settings->mCommon.mRole != service::Role::Control) {
    std::fprintf(
      stderr,
      "dogwooddrumd: --found requires a control member, but %s has the role "
      "%s\n",
      aSource.mFile.c_str(),
      std::string(service::ToString(settings->mCommon.mRole)).c_str());
    return service::kUsageErrorExitStatus;
  }
  const auto files = state::MakePosixFileSystem();
  const auto created = BootstrapDataFolder(*files, settings->mControl);
  if (!created) {
    std::fprintf(
      stderr, "dogwooddrumd: %s\n", created.LastFailure().mMessage.c_str());
    return kStartFailed;
  }
  return 0;
}

} // namespace dogwooddrum::daemon
