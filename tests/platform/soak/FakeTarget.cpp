#include "tests/platform/soak/FakeTarget.h"

#include "dogwooddrum/daemon/Clock.h"

namespace dogwooddrum::tests {

namespace {

using Json = nlohmann::json;

constexpr int kMilliCores = 64000;
constexpr int kMilliCoresPerTask = 16000;
/** Percentage of orders that get no answer; half of these are carried out. */
constexpr unsigned kUnansweredPercent = 5;
constexpr unsigned kFailingPercent = 3;

std::int64_t
ClockMs()
{
  return base::ToMilliseconds(daemon::Now());
}

} // namespace

FakeTarget::FakeTarget(transport::Network& aNetwork,
                       const transport::Address& aAddress,
                       std::string aName,
                       SharedRunRecord& aRecord,
                       std::uint64_t aSeed)
  : mAddress(aAddress)
  , mProxy(aAddress.mPort, aAddress.mHost)
  , mName(std::move(aName))
  , mRecord(aRecord)
  , mRandom(aSeed)
  , mStartMs(daemon::UnixNowMs())
{
  auto server = transport::HttpServer::Listen(
    aNetwork,
    aAddress,
    {},
    [this](const transport::ServerRequest& aRequest,
           const transport::ServerResponder& aResponder) {
      aResponder(Handle(aRequest));
    });
  mServer = std::move(*server);
}

std::pair<std::string, std::string>
FakeTarget::Heartbeat()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Json body = {
    { "service", "s" },
    { "addr", "127.0.0.1:" + std::to_string(mProxy.Port()) },
    { "zone", "z" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "warmup_left_ms", 0 },
    { "capacity",
      { { "cpu", kMilliCores }, { "mem_mb", 65536 }, { "gpu", 8 } } },
    { "labels", { "a", "r1" } },
    { "seq", ++mSequence },
    { "born", mStartMs }
  };
  return { "/-/instances/" + mName, body.dump() };
}

void
FakeTarget::Tick()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  EndDueRuns();
}

void
FakeTarget::Restart()
{
  mProxy.Cut();
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::lock_guard<std::mutex> recordLock(mRecord.mMutex);
  for (const auto& [task, run] : mRuns) {
    mRecord.mRunning.erase(task);
  }
  mRuns.clear();
  mHighestEndedRun.clear();
  mEnded = Json::array();
  mLastEnd = 0;
  mSequence = 0;
  mToken = 0;
  mLeaseUntilMs = 0;
  mStartMs = daemon::UnixNowMs();
}

transport::ServerResponse
FakeTarget::Handle(const transport::ServerRequest& aRequest)
{
  transport::ServerResponse response;
  const auto body = Json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    response.mStatus = 400;
    return response;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  EndDueRuns();
  // 500 means no answer: the order may or may not have been carried out.
  const bool unanswered = mRandom() % 100 < kUnansweredPercent;
  if (unanswered && mRandom() % 2 == 0) {
    response.mStatus = 500;
    return response;
  }
  Json answer = { { "clock_ms", ClockMs() }, { "born", mStartMs } };
  const auto token = body.value("fencing_token", std::uint64_t(0));
  if (token < mToken) {
    response.mStatus = 409;
    answer["reason"] = "fence";
  } else {
    mToken = token;
    if (aRequest.mPath == "/-/run-start") {
      response.mStatus = HandleStart(body, answer);
    } else if (aRequest.mPath == "/-/run-stop") {
      HandleStop(body);
    } else {
      HandleHold(body, answer);
    }
  }
  response.mStatus = unanswered ? 500 : response.mStatus;
  response.mBody = answer.dump();
  return response;
}

unsigned
FakeTarget::HandleStart(const Json& aBody, Json& aAnswer)
{
  const std::string task = aBody.at("task");
  const std::uint32_t number = aBody.at("run");
  const std::int64_t lease = aBody.at("deadline_ms");
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber == number) {
    return 200;
  }
  if (lease <= ClockMs()) {
    aAnswer["reason"] = "late";
    return 409;
  }
  if (mHighestEndedRun.count(task) > 0 && number <= mHighestEndedRun[task]) {
    aAnswer["reason"] = "old";
    return 409;
  }
  mLeaseUntilMs = std::max(mLeaseUntilMs, lease);
  const std::lock_guard<std::mutex> recordLock(mRecord.mMutex);
  const auto recordViolation = [&](const std::string& aWhat) {
    mRecord.mViolations.push_back(mName + ": " + task + " " + aWhat);
  };
  if (mRecord.mRunning.count(task) > 0) {
    recordViolation("starts while it runs on " + mRecord.mRunning[task]);
  }
  if (mRecord.mAcknowledged.count(task) > 0) {
    recordViolation("starts after its end was acknowledged");
  }
  if ((mRuns.size() + 1) * kMilliCoresPerTask > kMilliCores) {
    recordViolation("starts beyond the target's capacity");
  }
  ++mRecord.mStarts[task];
  mRecord.mRunning[task] = mName;
  const bool fails = mRandom() % 100 < kFailingPercent;
  mRuns[task] = { number,
                  ClockMs() + static_cast<std::int64_t>(200 + mRandom() % 3000),
                  fails ? "failed" : "done" };
  return 200;
}

void
FakeTarget::HandleStop(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint32_t number = aBody.at("run");
  mHighestEndedRun[task] = std::max(mHighestEndedRun[task], number);
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber <= number) {
    it->second.mEndsMs = std::min(it->second.mEndsMs, ClockMs() + 200);
    it->second.mResult = "stopped";
  }
}

void
FakeTarget::HandleHold(const Json& aBody, Json& aAnswer)
{
  mLeaseUntilMs =
    std::max(mLeaseUntilMs, aBody.value("deadline_ms", std::int64_t(0)));
  const std::uint64_t acknowledged = aBody.at("ack_cursor");
  Json remaining = Json::array();
  for (const Json& ended : mEnded) {
    if (ended[0].get<std::uint64_t>() > acknowledged) {
      remaining.push_back(ended);
    } else if (ended[3] == "done") {
      const std::lock_guard<std::mutex> recordLock(mRecord.mMutex);
      mRecord.mAcknowledged.insert(ended[1].get<std::string>());
    }
  }
  mEnded = std::move(remaining);
  aAnswer["running"] = Json::array();
  for (const auto& [task, run] : mRuns) {
    aAnswer["running"].push_back({ task, run.mNumber, "", 100 });
  }
  aAnswer["ended"] = mEnded;
}

void
FakeTarget::EndDueRuns()
{
  const bool lapsed = mLeaseUntilMs <= ClockMs();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : mRuns) {
    if (lapsed || run.mEndsMs <= ClockMs()) {
      due.emplace_back(task, lapsed ? "lapsed" : run.mResult);
    }
  }
  for (const auto& [task, result] : due) {
    EndRun(task, result);
  }
}

void
FakeTarget::EndRun(const std::string& aTask, const std::string& aResult)
{
  const auto it = mRuns.find(aTask);
  mHighestEndedRun[aTask] =
    std::max(mHighestEndedRun[aTask], it->second.mNumber);
  mEnded.push_back({ ++mLastEnd, aTask, it->second.mNumber, aResult, "" });
  mRuns.erase(it);
  const std::lock_guard<std::mutex> recordLock(mRecord.mMutex);
  mRecord.mRunning.erase(aTask);
}

} // namespace dogwooddrum::tests
