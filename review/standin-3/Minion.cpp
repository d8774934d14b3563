#include "Minion.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kBeatMs = 1500;
constexpr std::int64_t kBeatRetryMs = 300;
constexpr std::int64_t kBeatTimeoutMs = 1000;
constexpr std::int64_t kHoldMaxMs = 6000; ///< hold_max_ms
constexpr std::int64_t kStopMs = 200;     ///< below stop_ms
constexpr int kMilliCores = 64000;
constexpr int kMemoryMb = 131072;
constexpr int kGpus = 8;
constexpr std::size_t kListedEnds = 500;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
MakeId()
{
  std::random_device device;
  char text[16];
  std::snprintf(text, sizeof text, "i-%08x", device());
  return text;
}

/** Returns the work of a task in ms by a spec "ms=N" or "ms=N uneven"; 0 for
 * other specs. Uneven tasks differ by up to 30% from N, by their names. */
std::int64_t
WorkMs(const std::string& aSpec, const std::string& aTask)
{
  if (aSpec.rfind("ms=", 0) != 0) {
    return 0;
  }
  const auto ms = std::strtoll(aSpec.c_str() + 3, nullptr, 10);
  const bool isUneven = aSpec.find("uneven") != std::string::npos;
  const std::int64_t percent =
    isUneven ? 70 + static_cast<std::int64_t>(
                      std::hash<std::string>()(aTask + "spread") % 61)
             : 100;
  return ms * percent / 100;
}

} // namespace

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"), &std::fclose)
{
}

void
Record::Add(const std::string& aWho, const std::string& aWhat)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::fprintf(mFile.get(),
               "%7lld ms  %s: %s\n",
               static_cast<long long>(NowMs()),
               aWho.c_str(),
               aWhat.c_str());
  std::fflush(mFile.get());
}

std::size_t
Record::AddStart(Start aStart)
{
  Add(aStart.mMinion,
      "starts " + aStart.mTask + " run " + std::to_string(aStart.mRun));
  const std::lock_guard<std::mutex> lock(mMutex);
  aStart.mAtMs = NowMs();
  mStarts.push_back(std::move(aStart));
  return mStarts.size() - 1;
}

void
Record::SetEnd(std::size_t aStart, const std::string& aEnd)
{
  Start start;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStarts[aStart].mEndMs = NowMs();
    mStarts[aStart].mEnd = aEnd;
    start = mStarts[aStart];
  }
  Add(start.mMinion,
      "ends " + start.mTask + " run " + std::to_string(start.mRun) + ": " +
        aEnd);
}

std::vector<Record::Start>
Record::StartsOf(const std::string& aJob) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Start> starts;
  for (const Start& start : mStarts) {
    if (start.mTask.rfind(aJob + ".", 0) == 0) {
      starts.push_back(start);
    }
  }
  return starts;
}

Minion::Minion(MinionOptions aOptions, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mBeatThread([this] { Beat(); })
{
}

Minion::~Minion()
{
  Crash();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    mChanged.notify_all();
  }
  mBeatThread.join();
}

void
Minion::Begin()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mId = MakeId();
  mBorn = UnixMs();
  mLifeBegan = NowMs();
  mSequence = 0;
  mToken = 0;
  mLeaseUntil = 0;
  mLastEnd = 0;
  mHighestEnded.clear();
  mEnded.clear();
  mDraining = false;
  mPresent = true;
  mServer = std::make_unique<Server>(
    mOptions.mIp, mOptions.mAppPort, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  mRecord.Add(mOptions.mName, "begins as " + mId);
  mChanged.notify_all();
}

void
Minion::Crash()
{
  End("crash");
}

void
Minion::End(const std::string& aHow)
{
  std::unique_ptr<Server> server;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mPresent) {
      return;
    }
    mPresent = false;
    for (const auto& [task, run] : mRuns) {
      mRecord.SetEnd(run.mStart, aHow);
    }
    mRuns.clear();
    server = std::move(mServer);
    mChanged.notify_all();
  }
  server.reset();
  mRecord.Add(mOptions.mName, "is gone: " + aHow);
}

void
Minion::Leave(std::int64_t aServeMs)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mDraining = true;
  }
  while (!SendBeat()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kBeatRetryMs));
  }
  mRecord.Add(mOptions.mName, "drains, acknowledged");
  std::this_thread::sleep_for(std::chrono::milliseconds(aServeMs));
  Request request;
  request.mMethod = "DELETE";
  request.mPath = "/-/instances/" + mId;
  Call(mOptions.mIp, mOptions.mControlPlanePort, request, kBeatTimeoutMs);
  End("left");
}

void
Minion::Beat()
{
  std::int64_t next = 0;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait_for(
        lock, std::chrono::milliseconds(50), [this] { return mStopped; });
      if (mStopped) {
        return;
      }
      EndDueRuns();
      if (!mPresent) {
        next = 0;
        continue;
      }
    }
    if (NowMs() >= next) {
      next = NowMs() + (SendBeat() ? kBeatMs : kBeatRetryMs);
    }
  }
}

bool
Minion::SendBeat()
{
  Request request;
  request.mMethod = "PUT";
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    request.mPath = "/-/instances/" + mId;
    Json body = {
      { "service", mOptions.mService },
      { "addr", mOptions.mIp + ":" + std::to_string(mOptions.mAppPort) },
      { "zone", mOptions.mZone },
      { "version", "v1" },
      { "slots", 8 },
      { "state", mDraining ? "draining" : "ready" },
      { "warmup_left_ms", 0 },
      { "capacity",
        { { "cpu", kMilliCores }, { "mem_mb", kMemoryMb }, { "gpu", kGpus } } },
      { "labels", { "a", mOptions.mRack } },
      { "clock_ms", ClockMs() },
      { "born", mBorn },
      { "seq", ++mSequence }
    };
    request.mBody = body.dump();
  }
  const auto status =
    Call(mOptions.mIp, mOptions.mControlPlanePort, request, kBeatTimeoutMs)
      .mStatus;
  return status >= 200 && status < 300;
}

Response
Minion::Handle(const Request& aRequest)
{
  Response response;
  response.mStatus = 200;
  const auto body = Json::parse(aRequest.mBody, nullptr, false);
  std::unique_lock<std::mutex> lock(mMutex);
  if (!mPresent) {
    response.mStatus = 0;
    return response;
  }
  const auto expected = aRequest.mHeaders.find("dogwooddrum-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mId) {
    response.mStatus = 421;
    return response;
  }
  if (!body.is_object()) {
    response.mStatus = 400;
    return response;
  }
  EndDueRuns();
  Json answer = { { "born", mBorn } };
  const auto token = body.value("fencing_token", std::uint64_t(0));
  if (token < mToken) {
    response.mStatus = 409;
    answer["reason"] = "fence";
  } else {
    mToken = token;
    if (aRequest.mPath == "/-/run-start") {
      HandleStart(body, response, answer);
    } else if (aRequest.mPath == "/-/run-stop") {
      HandleStop(body);
    } else {
      HandleHold(body, answer, lock);
    }
  }
  answer["clock_ms"] = ClockMs();
  response.mBody = answer.dump();
  return response;
}

void
Minion::HandleStart(const Json& aBody, Response& aResponse, Json& aAnswer)
{
  const std::string task = aBody.at("task");
  const std::uint64_t number = aBody.at("run");
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber == number) {
    return;
  }
  const std::int64_t deadline = aBody.at("deadline_ms");
  const auto ended = mHighestEnded.find(task);
  if (ended != mHighestEnded.end() && number <= ended->second) {
    aResponse.mStatus = 409;
    aAnswer["reason"] = "old";
  } else if (deadline <= ClockMs()) {
    aResponse.mStatus = 409;
    aAnswer["reason"] = "late";
    return;
  }
  mLeaseUntil =
    std::max(mLeaseUntil, std::min(deadline, ClockMs() + kHoldMaxMs));
  if (aResponse.mStatus != 200) {
    return;
  }
  Run run;
  run.mNumber = number;
  run.mBeganMs = ClockMs();
  run.mWorkMs = WorkMs(aBody.at("spec"), task);
  run.mEndsMs = run.mWorkMs == 0 ? 0 : run.mBeganMs + run.mWorkMs;
  run.mEnd = "done";
  Record::Start start;
  start.mTask = task;
  start.mRun = number;
  start.mMinion = mOptions.mName;
  run.mStart = mRecord.AddStart(std::move(start));
  mRuns[task] = run;
}

void
Minion::HandleStop(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t number = aBody.at("run");
  auto& highest = mHighestEnded[task];
  highest = std::max(highest, number);
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber <= number &&
      it->second.mEnd != "stopped") {
    it->second.mEnd = "stopped";
    it->second.mEndsMs = ClockMs() + kStopMs;
  }
}

void
Minion::HandleHold(const Json& aBody,
                   Json& aAnswer,
                   std::unique_lock<std::mutex>& aLock)
{
  const auto deadline = aBody.value("deadline_ms", std::int64_t(0));
  mLeaseUntil =
    std::max(mLeaseUntil, std::min(deadline, ClockMs() + kHoldMaxMs));
  const std::uint64_t cursor = aBody.at("ack_cursor");
  mEnded.erase(std::remove_if(mEnded.begin(),
                              mEnded.end(),
                              [cursor](const Json& aEnd) {
                                return aEnd[0].get<std::uint64_t>() <= cursor;
                              }),
               mEnded.end());
  const auto waitMs = aBody.value("wait_ms", std::int64_t(0));
  mChanged.wait_for(aLock, std::chrono::milliseconds(waitMs), [this] {
    return !mPresent || !mEnded.empty();
  });
  aAnswer["running"] = Json::array();
  for (const auto& [task, run] : mRuns) {
    const auto percent =
      run.mWorkMs == 0 ? 100 : 100 * (ClockMs() - run.mBeganMs) / run.mWorkMs;
    aAnswer["running"].push_back(
      { task, run.mNumber, "", std::clamp<std::int64_t>(percent, 0, 100), 0 });
  }
  aAnswer["ended"] = Json::array();
  for (const Json& end : mEnded) {
    if (aAnswer["ended"].size() < kListedEnds) {
      aAnswer["ended"].push_back(end);
    }
  }
}

void
Minion::EndDueRuns()
{
  const bool lapsed = ClockMs() >= mLeaseUntil;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : mRuns) {
    if (lapsed || (run.mEndsMs != 0 && ClockMs() >= run.mEndsMs)) {
      due.emplace_back(task, lapsed ? "lapsed" : run.mEnd);
    }
  }
  for (const auto& [task, end] : due) {
    EndRun(task, end);
  }
}

void
Minion::EndRun(const std::string& aTask, const std::string& aEnd)
{
  const auto it = mRuns.find(aTask);
  auto& highest = mHighestEnded[aTask];
  highest = std::max(highest, it->second.mNumber);
  mEnded.push_back({ ++mLastEnd, aTask, it->second.mNumber, aEnd, "" });
  mRecord.SetEnd(it->second.mStart, aEnd);
  mRuns.erase(it);
  mChanged.notify_all();
}

} // namespace review
