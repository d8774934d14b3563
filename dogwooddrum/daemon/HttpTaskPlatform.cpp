#include "dogwooddrum/daemon/HttpTaskPlatform.h"

#include "dogwooddrum/protocol/Messages.h"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>

namespace dogwooddrum::daemon {

namespace {

/** Attempts of a stop call before the connection of the run is closed. A target
 * ends the task when the connection closes. */
constexpr unsigned kMaxStopAttempts = 3;
constexpr base::Duration kStopRetryDelay = base::Milliseconds(300);
constexpr std::uint64_t kMaxUsageBytes = 64U << 10;
/** A target's error text is truncated to this length. */
constexpr std::size_t kMaxMessageBytes = 256;
constexpr unsigned kStatusOk = 200;

std::string
MakeKeyQuery(const protocol::TaskKey& aKey)
{
  return "?job=" + std::to_string(aKey.mJob.Value()) +
         "&attempt=" + std::to_string(aKey.mAttempt.Value()) +
         "&task=" + std::to_string(aKey.mTask.Value());
}

/** Escapes all characters except letters, digits, "-", "_" and ".". */
std::string
PercentEncode(const std::string& aText)
{
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      out.push_back(c);
    } else {
      out.push_back('%');
      out.push_back(kDigits[byte >> 4]);
      out.push_back(kDigits[byte & 15]);
    }
  }
  return out;
}

/** A task that was started and has not ended. */
struct RunState
{
  std::uint64_t mCallId = 0; ///< 0: not assigned yet
  bool mStopping = false;
  bool mCancelRequested = false; ///< cancel once mCallId is assigned
};

} // namespace

struct HttpTaskPlatform::Impl
  : std::enable_shared_from_this<HttpTaskPlatform::Impl>
{
  Impl(transport::Network& aNetwork,
       const HttpTaskPlatformOptions& aOptions,
       TaskEvents aEvents)
    : mNetwork(aNetwork)
    , mOptions(aOptions)
    , mEvents(std::move(aEvents))
    , mCaller(aNetwork)
  {
  }

  /** Counts a connection as open. Returns false if the limit is reached. */
  bool AcquireConnection()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mOpenConnections >= mOptions.mConnections) {
      return false;
    }
    ++mOpenConnections;
    return true;
  }

  void ReleaseConnection()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    --mOpenConnections;
  }

  transport::HttpCall MakeCall(const std::string& aTarget) const
  {
    transport::HttpCall call;
    call.mAddress = mOptions.mTarget;
    call.mTarget = aTarget;
    call.mConnectTimeout = mOptions.mConnectTimeout;
    call.mAnswerTimeout = mOptions.mAnswerTimeout;
    return call;
  }

  void Start(const coordination::agent::StartTask& aTask, base::Duration aLease)
  {
    const auto key = aTask.mKey;
    if (!AcquireConnection()) {
      mEvents.mFailed(key,
                      base::Reason::ConnectionsFull,
                      false,
                      "all " + std::to_string(mOptions.mConnections) +
                        " connections to the target are in use");
      return;
    }
    auto call =
      MakeCall("/run" + MakeKeyQuery(key) +
               "&accelerators=" + std::to_string(aTask.mAccelerators) +
               "&lease_ms=" + std::to_string(base::ToMilliseconds(aLease)) +
               "&resume_from=" + PercentEncode(aTask.mResumeFrom));
    call.mBody = aTask.mPayload;
    call.mAnswerTimeout = {};
    call.mMaxAnswerBytes = protocol::kMaxAnswerBytes;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns[key] = RunState{};
    }
    const auto id = mCaller.Start(
      call,
      [self = shared_from_this(), key] { self->mEvents.mStarted(key); },
      [self = shared_from_this(), key](transport::HttpResult aResult) {
        self->ReleaseConnection();
        self->OnRunDone(key, std::move(aResult));
      });
    bool cancel = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto it = mRuns.find(key);
      if (it != mRuns.end()) {
        it->second.mCallId = id;
        cancel = it->second.mCancelRequested;
      }
    }
    if (cancel) {
      mCaller.Cancel(id);
    }
  }

  void OnRunDone(const protocol::TaskKey& aKey, transport::HttpResult aResult)
  {
    bool stopping = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto it = mRuns.find(aKey);
      if (it == mRuns.end()) {
        return;
      }
      stopping = it->second.mStopping;
      mRuns.erase(it);
    }
    if (aResult.mStatus == kStatusOk) {
      mEvents.mFinished(aKey, std::move(aResult.mBody));
    } else if (stopping) {
      mEvents.mStopped(aKey);
    } else if (aResult.mReason != base::Reason::None) {
      mEvents.mFailed(
        aKey, aResult.mReason, aResult.mDispatched, aResult.mMessage);
    } else {
      mEvents.mFailed(aKey,
                      base::Reason::TargetFailed,
                      true,
                      "target answered " + std::to_string(aResult.mStatus) +
                        ": " + aResult.mBody.substr(0, kMaxMessageBytes));
    }
  }

  void Stop(const protocol::TaskKey& aKey)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto it = mRuns.find(aKey);
      if (it == mRuns.end() || it->second.mStopping) {
        return;
      }
      it->second.mStopping = true;
    }
    SendStop(aKey, kMaxStopAttempts);
  }

  void SendStop(const protocol::TaskKey& aKey, unsigned aAttemptsLeft)
  {
    if (aAttemptsLeft == 0) {
      CancelRun(aKey);
      return;
    }
    const auto retry = [self = shared_from_this(), aKey, aAttemptsLeft] {
      self->mNetwork.PostAfter(kStopRetryDelay, [self, aKey, aAttemptsLeft] {
        self->SendStop(aKey, aAttemptsLeft - 1);
      });
    };
    if (!AcquireConnection()) {
      retry();
      return;
    }
    mCaller.Start(MakeCall("/stop" + MakeKeyQuery(aKey)),
                  nullptr,
                  [self = shared_from_this(), aKey, retry](
                    const transport::HttpResult& aResult) {
                    self->ReleaseConnection();
                    if (aResult.mStatus == kStatusOk) {
                      self->CancelRun(aKey);
                    } else {
                      retry();
                    }
                  });
  }

  void CancelRun(const protocol::TaskKey& aKey)
  {
    std::uint64_t call = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto it = mRuns.find(aKey);
      if (it == mRuns.end()) {
        return;
      }
      call = it->second.mCallId;
      it->second.mCancelRequested = true;
    }
    if (call != 0) {
      mCaller.Cancel(call);
    }
  }

  /** Makes a call that is not retried. The call is dropped if all connections
   * are in use. aDone runs only after a 200 response. */
  void SendBestEffort(const std::string& aTarget, std::function<void()> aDone)
  {
    if (!AcquireConnection()) {
      return;
    }
    mCaller.Start(MakeCall(aTarget),
                  nullptr,
                  [self = shared_from_this(), done = std::move(aDone)](
                    const transport::HttpResult& aResult) {
                    self->ReleaseConnection();
                    if (aResult.mStatus == kStatusOk && done) {
                      done();
                    }
                  });
  }

  void RequestUsage()
  {
    if (!AcquireConnection()) {
      return;
    }
    auto call = MakeCall("/usage");
    call.mMethod = "GET";
    call.mMaxAnswerBytes = kMaxUsageBytes;
    mCaller.Start(
      call,
      nullptr,
      [self = shared_from_this()](const transport::HttpResult& aResult) {
        self->ReleaseConnection();
        if (aResult.mStatus != kStatusOk) {
          return;
        }
        const auto body = nlohmann::json::parse(aResult.mBody, nullptr, false);
        if (body.is_object() && body.contains("busy_accelerators") &&
            body["busy_accelerators"].is_number_unsigned()) {
          self->mEvents.mUsage(body["busy_accelerators"].get<std::uint32_t>());
        }
      });
  }

  transport::Network& mNetwork;
  const HttpTaskPlatformOptions mOptions;
  const TaskEvents mEvents;
  transport::AsyncHttpClient mCaller;
  std::mutex mMutex; ///< guards the members below
  std::map<protocol::TaskKey, RunState> mRuns;
  std::uint32_t mOpenConnections = 0;
};

HttpTaskPlatform::HttpTaskPlatform(transport::Network& aNetwork,
                                   const HttpTaskPlatformOptions& aOptions,
                                   TaskEvents aEvents)
  : mImpl(std::make_shared<Impl>(aNetwork, aOptions, std::move(aEvents)))
{
}

HttpTaskPlatform::~HttpTaskPlatform() = default;

void
HttpTaskPlatform::Start(const coordination::agent::StartTask& aTask,
                        base::Duration aLease)
{
  mImpl->Start(aTask, aLease);
}

void
HttpTaskPlatform::Checkpoint(const coordination::agent::CheckpointTask& aTask)
{
  mImpl->SendBestEffort(
    "/checkpoint" + MakeKeyQuery(aTask.mKey) +
      "&name=" + PercentEncode(aTask.mName),
    [impl = mImpl, key = aTask.mKey] { impl->mEvents.mCheckpointed(key); });
}

void
HttpTaskPlatform::Throttle(const protocol::TaskKey& aKey)
{
  mImpl->SendBestEffort("/throttle" + MakeKeyQuery(aKey), nullptr);
}

void
HttpTaskPlatform::Stop(const protocol::TaskKey& aKey)
{
  mImpl->Stop(aKey);
}

void
HttpTaskPlatform::RequestUsage()
{
  mImpl->RequestUsage();
}

} // namespace dogwooddrum::daemon
