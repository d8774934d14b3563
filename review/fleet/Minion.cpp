#include "review/fleet/Minion.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace review {

namespace {

constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kWhole = 100; ///< percent
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kWrongInstance = 421;

std::int64_t
UnixNowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::array<char, 32> time{};
  std::snprintf(time.data(),
                time.size(),
                "%9.3f s  ",
                static_cast<double>(ElapsedMs()) / 1000);
  mOut << time.data() << aLine << std::endl;
}

void
Starts::Add(const Start& aStart)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mStarts.push_back(aStart);
}

void
Starts::End(const std::string& aTask,
            std::uint32_t aRun,
            const std::string& aMinion,
            const std::string& aEnd)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (Start& start : mStarts) {
    if (start.mTask == aTask && start.mRun == aRun &&
        start.mMinion == aMinion && start.mEnd.empty()) {
      start.mEnd = aEnd;
      start.mEndedAtMs = NowMs();
    }
  }
}

void
Starts::Note(const std::string& aTask,
             std::uint32_t aRun,
             const std::string& aMinion)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (Start& start : mStarts) {
    if (start.mTask == aTask && start.mRun == aRun &&
        start.mMinion == aMinion) {
      start.mIsNoted = true;
    }
  }
}

std::vector<Start>
Starts::Of(const std::string& aPrefix) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Start> found;
  for (const Start& start : mStarts) {
    if (start.mTask.compare(0, aPrefix.size(), aPrefix) == 0) {
      found.push_back(start);
    }
  }
  return found;
}

Minion::Minion(MinionOptions aOptions, Record& aRecord, Starts& aStarts)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mStarts(aStarts)
  , mBornUnixMs(UnixNowMs())
{
  mServer = std::make_unique<SocketServer>(
    mOptions.mAddress, [this](int aSocket) { Serve(aSocket); });
  mAnnounceThread = std::thread([this] { Announce(); });
}

Minion::~Minion()
{
  mStopped = true;
  mAnnounceThread.join();
  mServer.reset();
}

void
Minion::Announce()
{
  constexpr std::int64_t kTimeoutMs = 1000;
  constexpr std::int64_t kPauseMs = 50;
  while (!mStopped) {
    std::unique_lock<std::mutex> lock(mMutex);
    EndDueRuns();
    CarryOutLateStarts();
    if (NowMs() >= mNextBeatMs && mIsCutOff) {
      mNextBeatMs += kHeartbeatMs;
      lock.unlock();
    } else if (NowMs() >= mNextBeatMs) {
      const Json body = { { "service", mOptions.mService },
                          { "addr", ToString(mOptions.mAddress) },
                          { "zone", mOptions.mZone },
                          { "version", "v1" },
                          { "slots", 8 },
                          { "state", "ready" },
                          { "warmup_left_ms", 0 },
                          { "capacity",
                            { { "cpu", mOptions.mCores * 1000 },
                              { "mem_mb", 65536 },
                              { "gpu", mOptions.mCores } } },
                          { "labels", { "a", mOptions.mRack } },
                          { "clock_ms", ClockMs() },
                          { "seq", ++mSequence },
                          { "born", mBornUnixMs } };
      lock.unlock();
      const auto answer = Call(mOptions.mAnnounceTo,
                               "PUT",
                               "/-/instances/" + mOptions.mId,
                               {},
                               body.dump(),
                               kTimeoutMs);
      lock.lock();
      mNextBeatMs = NowMs() + (answer.mStatus == kOk ? kHeartbeatMs : kPauseMs);
      lock.unlock();
    } else {
      lock.unlock();
    }
    SleepMs(kPauseMs);
  }
}

void
Minion::Serve(int aSocket)
{
  constexpr std::int64_t kIdleMs = 60000;
  constexpr std::int64_t kUnansweredMs = 1000;
  std::string buffer;
  while (!mStopped) {
    const auto request = ReadMessage(aSocket, buffer, NowMs() + kIdleMs);
    if (!request) {
      return;
    }
    const auto begin = request->mStartLine.find(' ') + 1;
    const std::string path = request->mStartLine.substr(
      begin, request->mStartLine.find(' ', begin) - begin);
    const auto call = Json::parse(request->mBody, nullptr, false);
    const auto instance = request->mHeaders.find("dogwooddrum-expect-instance");
    if (IsUnanswered(path, call)) {
      SleepMs(kUnansweredMs);
      return;
    }
    Json answer = Json::object();
    int status = kBadRequest;
    if (instance != request->mHeaders.end() &&
        instance->second != mOptions.mId) {
      status = kWrongInstance;
    } else if (call.is_object()) {
      status = Handle(path, call, answer);
    }
    const std::string body = answer.dump();
    if (!SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(status) +
                   " x\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

void
Minion::DelayNextStart(std::int64_t aLateMs)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mNextStartLateMs = aLateMs;
}

void
Minion::CutOff(bool aIsCutOff)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsCutOff = aIsCutOff;
  mRecord.Add(mOptions.mId + (aIsCutOff ? " is cut off" : " is reached again"));
}

void
Minion::StartAgain()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  while (!mRuns.empty()) {
    EndRun(std::string(mRuns.begin()->first), "lost");
  }
  mHighestEnded.clear();
  mEnded = Json::array();
  mEndTimes.clear();
  mLastEnd = 0;
  mToken = 0;
  mDeadlineMs = 0;
  mSequence = 0;
  mNextBeatMs = NowMs();
  mBornMs = NowMs();
  mBornUnixMs = UnixNowMs();
  mRecord.Add(mOptions.mId + " has crashed and starts again under its id");
}

bool
Minion::IsUnanswered(const std::string& aPath, const Json& aCall)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mIsCutOff) {
    return true;
  }
  if (aPath != "/-/run-start" || mNextStartLateMs == 0) {
    return false;
  }
  mLateStarts.emplace_back(NowMs() + mNextStartLateMs, aCall);
  mNextStartLateMs = 0;
  mRecord.Add(mOptions.mId + " leaves an order to start " +
              aCall.value("task", std::string()) + " unanswered");
  return true;
}

void
Minion::CarryOutLateStarts()
{
  std::vector<std::pair<std::int64_t, Json>> waiting;
  waiting.swap(mLateStarts);
  for (auto& [dueMs, call] : waiting) {
    if (NowMs() < dueMs) {
      mLateStarts.emplace_back(dueMs, call);
      continue;
    }
    Json answer = Json::object();
    if (call.value("fencing_token", std::uint64_t(0)) < mToken) {
      answer["reason"] = "fence";
    } else {
      HandleStart(call, answer);
    }
    mRecord.Add(mOptions.mId + " carries out a late order: " +
                answer.value("reason", std::string("accepted")));
  }
}

int
Minion::Handle(const std::string& aPath, const Json& aCall, Json& aAnswer)
{
  constexpr std::int64_t kPollMs = 10;
  const std::int64_t waitUntil =
    NowMs() + aCall.value("wait_ms", std::int64_t(0));
  std::unique_lock<std::mutex> lock(mMutex);
  EndDueRuns();
  int status = kOk;
  const auto token = aCall.value("fencing_token", std::uint64_t(0));
  if (token < mToken) {
    aAnswer["reason"] = "fence";
    status = kConflict;
  } else {
    mToken = token;
    if (aPath == "/-/run-start") {
      status = HandleStart(aCall, aAnswer);
    } else if (aPath == "/-/run-stop") {
      HandleStop(aCall);
    } else if (aPath == "/-/hold") {
      const auto ends = mLastEnd;
      HandleHold(aCall, aAnswer);
      while (mLastEnd == ends && NowMs() < waitUntil && !mStopped) {
        lock.unlock();
        SleepMs(kPollMs);
        lock.lock();
        EndDueRuns();
      }
      HandleHold(aCall, aAnswer);
    } else {
      status = kBadRequest;
    }
  }
  aAnswer["clock_ms"] = ClockMs();
  aAnswer["born"] = mBornUnixMs;
  return status;
}

int
Minion::HandleStart(const Json& aCall, Json& aAnswer)
{
  const std::string task = aCall.at("task");
  const std::uint32_t number = aCall.at("run");
  const std::int64_t deadline = aCall.at("deadline_ms");
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber == number) {
    return kOk;
  }
  if (deadline <= ClockMs()) {
    aAnswer["reason"] = "late";
    return kConflict;
  }
  mDeadlineMs =
    std::max(mDeadlineMs, std::min(deadline, ClockMs() + kHoldMaxMs));
  const auto ended = mHighestEnded.find(task);
  if (it != mRuns.end() ||
      (ended != mHighestEnded.end() && number <= ended->second)) {
    aAnswer["reason"] = "old";
    return kConflict;
  }
  mRuns[task] = { number, NowMs(), mOptions.mWorkMs(task), 0 };
  mStarts.Add({ mOptions.mId, task, number, NowMs(), {}, 0, false });
  mRecord.Add(mOptions.mId + " starts " + task + " run " +
              std::to_string(number));
  return kOk;
}

void
Minion::HandleStop(const Json& aCall)
{
  const std::string task = aCall.at("task");
  const std::uint32_t number = aCall.at("run");
  const auto it = mRuns.find(task);
  if (it != mRuns.end() && it->second.mNumber <= number) {
    if (it->second.mStopAtMs == 0) {
      it->second.mStopAtMs = NowMs() + kStopMs;
    }
    return;
  }
  auto& highest = mHighestEnded[task];
  highest = std::max(highest, number);
}

void
Minion::HandleHold(const Json& aCall, Json& aAnswer)
{
  if (aCall.contains("deadline_ms")) {
    mDeadlineMs = std::max(mDeadlineMs,
                           std::min(aCall.at("deadline_ms").get<std::int64_t>(),
                                    ClockMs() + kHoldMaxMs));
  }
  const auto cursor = aCall.value("ack_cursor", std::uint64_t(0));
  Json remaining = Json::array();
  for (const Json& ended : mEnded) {
    const auto number = ended[0].get<std::uint64_t>();
    if (number > cursor) {
      remaining.push_back(ended);
      continue;
    }
    if (mLapsedAtMs < mEndTimes[number]) {
      mStarts.Note(ended[1], ended[2], mOptions.mId);
    }
    mEndTimes.erase(number);
  }
  mEnded = std::move(remaining);
  aAnswer["running"] = Json::array();
  for (const auto& [task, run] : mRuns) {
    const auto percent = std::min(kWhole,
                                  kWhole * (NowMs() - run.mBeganMs) /
                                    std::max<std::int64_t>(run.mWorkMs, 1));
    aAnswer["running"].push_back({ task, run.mNumber, "", percent, 0 });
  }
  aAnswer["ended"] = mEnded;
}

void
Minion::EndDueRuns()
{
  const bool isLapsed = mDeadlineMs <= ClockMs();
  mLapsedAtMs = isLapsed ? NowMs() : mLapsedAtMs;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : mRuns) {
    if (isLapsed) {
      due.emplace_back(task, "lapsed");
    } else if (run.mStopAtMs != 0 && run.mStopAtMs <= NowMs()) {
      due.emplace_back(task, "stopped");
    } else if (run.mBeganMs + run.mWorkMs <= NowMs()) {
      due.emplace_back(task, mOptions.mEnd);
    }
  }
  for (const auto& [task, how] : due) {
    EndRun(task, how);
  }
}

void
Minion::EndRun(const std::string& aTask, const std::string& aHow)
{
  const auto number = mRuns.at(aTask).mNumber;
  auto& highest = mHighestEnded[aTask];
  highest = std::max(highest, number);
  mRuns.erase(aTask);
  mEnded.push_back({ ++mLastEnd, aTask, number, aHow, "" });
  mEndTimes[mLastEnd] = NowMs();
  mStarts.End(aTask, number, mOptions.mId, aHow);
  mRecord.Add(mOptions.mId + " ends " + aTask + " run " +
              std::to_string(number) + " " + aHow);
}

} // namespace review
