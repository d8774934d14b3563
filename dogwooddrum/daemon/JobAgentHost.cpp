#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/HttpTaskPlatform.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"

#include <atomic>
#include <random>
#include <set>

namespace dogwooddrum::daemon {

namespace {

using coordination::agent::Agent;
using coordination::agent::AgentOptions;
using protocol::MessageType;
using protocol::TaskKey;
using service::LogEvent;

constexpr base::Duration kTickInterval = base::Milliseconds(20);
constexpr base::Duration kUsageInterval = base::Milliseconds(2000);
/** A tick delayed by more than this is logged: the process was suspended. */
constexpr base::Duration kResumeGap = base::Milliseconds(2000);

std::string
FormatTaskKey(const TaskKey& aKey)
{
  return std::to_string(aKey.mJob.Value()) + "/" +
         std::to_string(aKey.mAttempt.Value()) + "/" +
         std::to_string(aKey.mTask.Value());
}

base::Incarnation
MakeRandomIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw(1);
  return base::Incarnation(draw(device));
}

AgentOptions
MakeAgentOptions(const service::Settings& aSettings)
{
  AgentOptions options;
  options.mWorkerInfo.mWorker = aSettings.mAgent.mWorker;
  options.mWorkerInfo.mRack = aSettings.mAgent.mRack;
  options.mWorkerInfo.mZone = aSettings.mCommon.mZone;
  options.mWorkerInfo.mAccelerators = aSettings.mAgent.mAccelerators;
  options.mWorkerInfo.mSlots = aSettings.mAgent.mSlots;
  options.mConnections = aSettings.mAgent.mConnections;
  options.mIncarnation = MakeRandomIncarnation();
  return options;
}

/** Runs an Agent for jobs: sends its messages over the control links and makes
 * its calls to the platform. */
class JobAgentHost final : public Host
{
public:
  explicit JobAgentHost(HostContext& aContext)
    : mContext(aContext)
    , mOptions(MakeAgentOptions(aContext.mSettings))
    , mAgent(mOptions)
    , mLoop(kTickInterval,
            { [this](base::Time aNow) { Tick(aNow); },
              [this] { ProcessOutput(); } })
  {
  }
  ~JobAgentHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    const auto& settings = mContext.mSettings.mAgent;
    HttpTaskPlatformOptions platform;
    platform.mTarget = ToTransportAddress(settings.mTargetAddress);
    platform.mConnections = settings.mConnections;
    mPlatform = std::make_unique<HttpTaskPlatform>(
      *mContext.mNetwork, platform, MakeTaskEvents());
    std::vector<transport::Address> controls;
    for (const auto& address : settings.mControlAddresses) {
      controls.push_back(ToTransportAddress(address));
    }
    ControlLinksEvents events;
    events.mRouteChanged = [this](RouteId aRoute) {
      mLoop.Post([this, aRoute] {
        if (mLinks->CurrentRoute() == aRoute) {
          mAgent.OnLinkUp(Now());
        }
      });
    };
    events.mFrame = [this](RouteId aRoute, protocol::Frame aFrame) {
      mLoop.Post(
        [this, aRoute, frame = std::move(aFrame)] { OnFrame(aRoute, frame); });
    };
    mLinks = std::make_unique<ControlLinks>(
      *mContext.mNetwork,
      controls,
      MakeLinkOptions(
        mContext, transport::PeerRole::Agent, mOptions.mIncarnation.Value()),
      events,
      *mContext.mCounters);
    mLoop.Start();
    mLinks->Start();
    return true;
  }

  bool IsReady() override { return mFresh; }

  void UpdateMetrics() override
  {
    mContext.mMetrics->Set(
      service::Gauge::RoutelessSeconds,
      std::chrono::duration<double>(mLinks->Status(Now()).mWithoutRoute)
        .count());
    mContext.mMetrics->Set(service::Gauge::HeldTasks, mHeldTaskCount);
    mContext.mMetrics->Set(service::Gauge::ConfigurationVersion,
                           static_cast<double>(mVersion.load()));
  }

  bool Handle(transport::ServerRequest&,
              const transport::ServerResponder&) override
  {
    return false;
  }

  void BeginDrain() override
  {
    mLoop.Post([this] { mAgent.BeginDrain(Now()); });
  }

  void CloseListeners() override {}

  bool IsDrained() override { return mDrained; }

  /** The work of tasks that are not repeatable would be lost for good. */
  bool MayExitUndrained() override { return !mHoldsUnrepeatable; }

  void Reload(const service::Settings& aSettings) override
  {
    std::vector<std::string> addresses;
    for (const auto& address : aSettings.mAgent.mControlAddresses) {
      addresses.push_back(service::ToString(address));
    }
    mLinks->AddMembers(addresses);
  }
  std::size_t TasksInProgress() override { return mHeldTaskCount; }

  void Stop() override
  {
    if (mLinks) {
      mLinks->Stop();
    }
    mLoop.Stop();
  }

private:
  TaskEvents MakeTaskEvents()
  {
    TaskEvents events;
    events.mStarted = [this](const TaskKey& aKey) {
      mContext.mMetrics->Add(service::Counter::TasksStarted);
      mLoop.Post([this, aKey] { mAgent.OnTaskStarted(aKey, Now()); });
    };
    events.mFinished = [this](const TaskKey& aKey, std::string aAnswer) {
      mContext.mMetrics->Add(service::Counter::TasksFinished);
      mLoop.Post([this, aKey, answer = std::move(aAnswer)]() mutable {
        mAgent.OnTaskFinished(aKey, std::move(answer), Now());
      });
    };
    events.mFailed = [this](const TaskKey& aKey,
                            base::Reason aReason,
                            bool aDispatched,
                            const std::string& aMessage) {
      mContext.mMetrics->Add(service::Counter::TasksFailed);
      if (aReason == base::Reason::TargetUnreachable) {
        const auto& target = mContext.mSettings.mAgent.mTargetAddress;
        service::Log(LogEvent::TargetUnreachable,
                     { { "address", service::ToString(target) },
                       { "message", aMessage } });
      }
      service::Log(LogEvent::TaskFailed,
                   { { "task", FormatTaskKey(aKey) },
                     { "reason", base::ToString(aReason) },
                     { "message", aMessage } });
      mLoop.Post([this, aKey, aReason, aDispatched, aMessage] {
        mUnrepeatableTasks.erase(aKey);
        mAgent.OnTaskFailed(aKey, aReason, aDispatched, aMessage, Now());
      });
    };
    events.mCheckpointed = [this](const TaskKey& aKey) {
      mLoop.Post([this, aKey] { mAgent.OnTaskCheckpointed(aKey, Now()); });
    };
    events.mStopped = [this](const TaskKey& aKey) {
      mLoop.Post([this, aKey] {
        mUnrepeatableTasks.erase(aKey);
        mAgent.OnTaskStopped(aKey, Now());
      });
    };
    events.mUsage = [this](std::uint32_t aBusy) {
      mLoop.Post([this, aBusy] { mAgent.OnUsage(aBusy); });
    };
    return events;
  }

  void OnFrame(RouteId aRoute, const protocol::Frame& aFrame)
  {
    switch (aFrame.mType) {
      case MessageType::TaskCommand:
        DecodeAndHandle<protocol::TaskCommand>(
          aFrame, [this](const auto& aCommand) {
            if (!aCommand.mRepeatable) {
              mUnrepeatableCommands.insert(aCommand.mKey);
            }
            mAgent.OnCommand(aCommand, Now());
          });
        break;
      case MessageType::HeartbeatReply:
        DecodeAndHandle<protocol::HeartbeatReply>(
          aFrame, [&](const auto& aReply) {
            mLinks->OnLeaderAnswered(aRoute);
            mAgent.OnHeartbeatReply(aReply, Now());
          });
        break;
      case MessageType::AnswerAck:
        DecodeAndHandle<protocol::AnswerAck>(aFrame, [this](const auto& aAck) {
          mAgent.OnAnswerAck(aAck, Now());
        });
        break;
      case MessageType::NotLeader:
        DecodeAndHandle<protocol::NotLeader>(aFrame, [&](const auto& aReply) {
          mLinks->OnNotLeader(aRoute, aReply);
        });
        break;
      default:
        LogRejected("unexpected type");
        break;
    }
  }

  template<typename T, typename F>
  static void DecodeAndHandle(const protocol::Frame& aFrame, const F& aHandler)
  {
    const auto message = protocol::Decode<T>(aFrame.mPayload);
    if (!message) {
      LogRejected(message.LastFailure().mMessage);
      return;
    }
    aHandler(*message);
  }

  static void LogRejected(const std::string& aMessage)
  {
    service::Log(LogEvent::FrameRejected,
                 { { "peer", "control" }, { "message", aMessage } });
  }

  void Tick(base::Time aNow)
  {
    mLinks->LogIfWithoutRoute(aNow);
    if (mLastTick != base::Time{} && aNow - mLastTick > kResumeGap) {
      service::Log(
        LogEvent::AgentResumed,
        { { "duration_ms", base::ToMilliseconds(aNow - mLastTick) } });
    }
    mLastTick = aNow;
    mAgent.Tick(aNow);
    if (aNow >= mNextUsageRequestAt) {
      mNextUsageRequestAt = aNow + kUsageInterval;
      mPlatform->RequestUsage();
    }
  }

  void ProcessOutput()
  {
    auto output = mAgent.TakeOutput();
    for (const auto& message : output.mMessages) {
      std::visit([this](const auto& aMessage) { Send(aMessage); }, message);
    }
    for (const auto& call : output.mCalls) {
      std::visit([this](const auto& aCall) { CallPlatform(aCall); }, call);
    }
    const bool fresh = mAgent.HasFreshConfiguration(Now());
    if (fresh != mFresh) {
      LogFreshness(fresh);
    }
    mFresh = fresh;
    mHeldTaskCount = mAgent.HeldTasks();
    mVersion = mAgent.Version().Value();
    mDrained = mAgent.IsDrained();
    mUnrepeatableCommands.clear();
    if (mDrained) {
      // Finished tasks stay in the set until their answers are durable.
      mUnrepeatableTasks.clear();
    }
    mHoldsUnrepeatable = !mUnrepeatableTasks.empty();
  }

  void LogFreshness(bool aFresh)
  {
    if (aFresh) {
      service::Log(LogEvent::ConfigurationFresh,
                   { { "version", mAgent.Version().Value() } });
    } else {
      service::Log(
        LogEvent::ConfigurationStale,
        { { "age_ms", base::ToMilliseconds(mOptions.mFreshnessPeriod) } });
    }
  }

  void Send(const protocol::AgentHeartbeat& aMessage)
  {
    mLinks->Send(MessageType::AgentHeartbeat, protocol::Encode(aMessage));
  }
  void Send(const protocol::TaskReport& aMessage)
  {
    LogReport(aMessage);
    mLinks->Send(MessageType::TaskReport, protocol::Encode(aMessage));
  }
  void Send(const protocol::AnswerChunk& aMessage)
  {
    mLinks->Send(MessageType::AnswerChunk, protocol::Encode(aMessage));
  }

  static void LogReport(const protocol::TaskReport& aReport)
  {
    if (aReport.mState == protocol::TaskState::Refused) {
      service::Log(LogEvent::TaskRefused,
                   { { "task", FormatTaskKey(aReport.mKey) },
                     { "reason", base::ToString(aReport.mReason) } });
    } else if (aReport.mReason == base::Reason::LeaseExpired) {
      service::Log(LogEvent::LeaseEnded,
                   { { "task", FormatTaskKey(aReport.mKey) } });
    }
  }

  void CallPlatform(const coordination::agent::StartTask& aCall)
  {
    if (mUnrepeatableCommands.count(aCall.mKey) > 0) {
      mUnrepeatableTasks.insert(aCall.mKey);
    }
    mPlatform->Start(aCall, mOptions.mTaskLease);
  }
  void CallPlatform(const coordination::agent::CheckpointTask& aCall)
  {
    mPlatform->Checkpoint(aCall);
  }
  void CallPlatform(const coordination::agent::ThrottleTask& aCall)
  {
    mPlatform->Throttle(aCall.mKey);
  }
  void CallPlatform(const coordination::agent::StopTask& aCall)
  {
    mPlatform->Stop(aCall.mKey);
  }

  HostContext& mContext;
  const AgentOptions mOptions;
  Agent mAgent;
  std::unique_ptr<HttpTaskPlatform> mPlatform;
  std::unique_ptr<ControlLinks> mLinks;
  EventLoop mLoop;
  base::Time mLastTick{};
  base::Time mNextUsageRequestAt{};
  std::set<TaskKey> mUnrepeatableCommands; ///< in the current batch of events
  /** Started, and neither failed nor stopped. */
  std::set<TaskKey> mUnrepeatableTasks;
  std::atomic<bool> mHoldsUnrepeatable{ false };
  std::atomic<bool> mFresh{ false };
  std::atomic<bool> mDrained{ false };
  std::atomic<std::uint32_t> mHeldTaskCount{ 0 };
  std::atomic<std::uint64_t> mVersion{ 0 };
};

} // namespace

std::unique_ptr<Host>
MakeJobAgentHost(HostContext& aContext)
{
  return std::make_unique<JobAgentHost>(aContext);
}

} // namespace dogwooddrum::daemon
