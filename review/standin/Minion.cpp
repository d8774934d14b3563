// review-minion: a target that follows the platform's pages. It announces
// itself to the agent on its VM, carries out orders, kills its runs when their
// lease ends, and appends what it does to a record file.
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/HttpClient.h"
#include "dogwooddrum/transport/HttpServer.h"
#include "dogwooddrum/transport/Network.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using dogwooddrum::base::Milliseconds;
using dogwooddrum::transport::HttpClient;
using dogwooddrum::transport::HttpClientOptions;
using dogwooddrum::transport::HttpRequest;
using dogwooddrum::transport::HttpServer;
using dogwooddrum::transport::Network;
using dogwooddrum::transport::ServerRequest;
using dogwooddrum::transport::ServerResponder;
using dogwooddrum::transport::ServerResponse;
using nlohmann::json;

constexpr std::int64_t kMaxLeaseMs = 6000; ///< hold_max_ms of the pages
constexpr std::size_t kMaxListedEnds = 500;
constexpr int kTickMs = 10;

struct Options
{
  std::string mListen;
  std::string mAgent;
  std::string mId;
  std::string mService = "svc";
  std::string mLabel = "a";
  std::string mRack = "r1-1";
  std::string mRecord;
  int mCpu = 64000;
  int mTaskMs = 0;          ///< run time of a task; 0: until it is stopped
  std::string mLastingSpec; ///< tasks with this spec run until they are stopped
  int mBeatMs = 500;
};

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Returns the target's own clock, which starts anew with each of its lives. */
std::int64_t
ClockMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - sStart)
           .count() +
         1;
}

struct Run
{
  std::uint32_t mNumber = 0;
  std::int64_t mStartedMs = 0;
  bool mLasts = false; ///< runs until it is stopped
};

class Minion
{
public:
  explicit Minion(const Options& aOptions)
    : mOptions(aOptions)
    , mRecordFile(aOptions.mRecord, std::ios::app)
    , mBornMs(UnixMs())
  {
    Record("up, born " + std::to_string(mBornMs));
  }

  /** Handles a call of the agent. */
  void Handle(const ServerRequest& aRequest, const ServerResponder& aResponder)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ServerResponse response;
    const auto body = json::parse(aRequest.mBody, nullptr, false);
    json answer = { { "clock_ms", ClockMs() }, { "born", mBornMs } };
    const auto expected = aRequest.mHeaders.find("dogwooddrum-expect-instance");
    if (expected != aRequest.mHeaders.end() &&
        expected->second != mOptions.mId) {
      response.mStatus = 421;
    } else if (!body.is_object()) {
      response.mStatus = 400;
    } else if (body.value("fencing_token", std::uint64_t(0)) < mToken) {
      response.mStatus = 409;
      answer["reason"] = "fence";
    } else {
      mToken = body.value("fencing_token", std::uint64_t(0));
      EndLapsedRuns();
      if (aRequest.mPath == "/-/run-start") {
        response.mStatus = Start(body, answer);
      } else if (aRequest.mPath == "/-/run-stop") {
        Stop(body);
      } else if (aRequest.mPath == "/-/hold") {
        Hold(body, answer);
      } else {
        response.mStatus = 404;
      }
    }
    response.mBody = answer.dump();
    aResponder(std::move(response));
  }

  /** Ends runs that are due. */
  void Tick()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    EndLapsedRuns();
    const auto now = ClockMs();
    std::vector<std::string> due;
    for (const auto& [task, run] : mRuns) {
      if (!run.mLasts && now - run.mStartedMs >= mOptions.mTaskMs) {
        due.push_back(task);
      }
    }
    for (const std::string& task : due) {
      End(mRuns.find(task), "done");
    }
  }

  HttpRequest MakeBeat()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const json body = {
      { "service", mOptions.mService },
      { "addr", mOptions.mListen },
      { "zone", "zone-1" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "warmup_left_ms", 0 },
      { "capacity",
        { { "cpu", mOptions.mCpu }, { "mem_mb", 131072 }, { "gpu", 8 } } },
      { "labels", { mOptions.mLabel, mOptions.mRack } },
      { "clock_ms", ClockMs() },
      { "seq", ++mSequence },
      { "born", mBornMs }
    };
    HttpRequest request;
    request.mMethod = "PUT";
    request.mTarget = "/-/instances/" + mOptions.mId;
    request.mBody = body.dump();
    return request;
  }

private:
  using RunMap = std::map<std::string, Run>;

  void Record(const std::string& aText)
  {
    mRecordFile << UnixMs() << " " << mOptions.mId << " " << aText << std::endl;
  }

  void End(RunMap::iterator aRun, const char* aHow)
  {
    Record("ends " + aRun->first + " run " +
           std::to_string(aRun->second.mNumber) + " " + aHow);
    mEnded.push_back(
      json::array({ ++mLastEnd, aRun->first, aRun->second.mNumber, aHow, "" }));
    auto& highest = mHighestEnded[aRun->first];
    highest = std::max(highest, aRun->second.mNumber);
    mRuns.erase(aRun);
  }

  void EndLapsedRuns()
  {
    if (ClockMs() < mLeaseUntilMs) {
      return;
    }
    while (!mRuns.empty()) {
      End(mRuns.begin(), "lapsed");
    }
  }

  void ExtendLease(const json& aBody)
  {
    const auto until = aBody.value("deadline_ms", std::int64_t(0));
    mLeaseUntilMs =
      std::max(mLeaseUntilMs, std::min(until, ClockMs() + kMaxLeaseMs));
  }

  unsigned Start(const json& aBody, json& aAnswer)
  {
    const std::string task = aBody.value("task", "");
    const auto number = aBody.value("run", 0U);
    const auto it = mRuns.find(task);
    if (it != mRuns.end() && it->second.mNumber == number) {
      ExtendLease(aBody);
      return 200;
    }
    if (aBody.value("deadline_ms", std::int64_t(0)) <= ClockMs()) {
      aAnswer["reason"] = "late";
      return 409;
    }
    ExtendLease(aBody);
    if (it != mRuns.end() || number <= mHighestEnded[task]) {
      aAnswer["reason"] = "old";
      return 409;
    }
    const bool lasts =
      mOptions.mTaskMs == 0 || aBody.value("spec", "") == mOptions.mLastingSpec;
    mRuns[task] = { number, ClockMs(), lasts };
    Record("starts " + task + " run " + std::to_string(number));
    return 200;
  }

  void Stop(const json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const auto number = aBody.value("run", 0U);
    const auto it = mRuns.find(task);
    if (it != mRuns.end() && it->second.mNumber <= number) {
      End(it, "stopped");
    }
    auto& highest = mHighestEnded[task];
    highest = std::max(highest, number);
  }

  void Hold(const json& aBody, json& aAnswer)
  {
    ExtendLease(aBody);
    const auto cursor = aBody.value("ack_cursor", std::uint64_t(0));
    if (cursor > mCursor) {
      mCursor = cursor;
      Record("has its ends acknowledged up to " + std::to_string(cursor));
    }
    mEnded.erase(std::remove_if(mEnded.begin(),
                                mEnded.end(),
                                [cursor](const json& aRow) {
                                  return aRow[0].get<std::uint64_t>() <= cursor;
                                }),
                 mEnded.end());
    auto running = json::array();
    for (const auto& [task, run] : mRuns) {
      const auto worked = ClockMs() - run.mStartedMs;
      const auto percent =
        run.mLasts
          ? 100
          : std::min<std::int64_t>(99, worked * 100 / mOptions.mTaskMs);
      running.push_back(json::array({ task, run.mNumber, "", percent, 100 }));
    }
    aAnswer["running"] = running;
    auto ended = json::array();
    for (const auto& row : mEnded) {
      if (ended.size() < kMaxListedEnds) {
        ended.push_back(row);
      }
    }
    aAnswer["ended"] = ended;
  }

  const Options mOptions;
  std::mutex mMutex; ///< guards the members below
  std::ofstream mRecordFile;
  const std::int64_t mBornMs;
  std::uint64_t mSequence = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntilMs = 0;
  RunMap mRuns;
  std::map<std::string, std::uint32_t> mHighestEnded;
  std::vector<json> mEnded;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mCursor = 0;
};

/** Reads --name value pairs. Returns whether all are known. */
bool
ReadOptions(int aCount, char** aArguments, Options& aOptions)
{
  const std::map<std::string, std::string*> texts = {
    { "--listen", &aOptions.mListen },
    { "--agent", &aOptions.mAgent },
    { "--id", &aOptions.mId },
    { "--service", &aOptions.mService },
    { "--label", &aOptions.mLabel },
    { "--rack", &aOptions.mRack },
    { "--record", &aOptions.mRecord },
    { "--lasting-spec", &aOptions.mLastingSpec },
  };
  const std::map<std::string, int*> numbers = {
    { "--cpu", &aOptions.mCpu },
    { "--task-ms", &aOptions.mTaskMs },
    { "--beat-ms", &aOptions.mBeatMs },
  };
  for (int i = 1; i + 1 < aCount; i += 2) {
    const std::string name = aArguments[i];
    if (const auto text = texts.find(name); text != texts.end()) {
      *text->second = aArguments[i + 1];
    } else if (const auto number = numbers.find(name);
               number != numbers.end()) {
      *number->second = std::stoi(aArguments[i + 1]);
    } else {
      return false;
    }
  }
  return aCount % 2 == 1 && !aOptions.mId.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  if (!ReadOptions(aCount, aArguments, options)) {
    std::cerr << "review-minion: wrong options\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto listen = dogwooddrum::transport::ParseAddress(options.mListen);
  const auto agent = dogwooddrum::transport::ParseAddress(options.mAgent);
  if (!listen || !agent) {
    std::cerr << "review-minion: wrong address\n";
    return 2;
  }
  Network network(2);
  Minion minion(options);
  const auto server = HttpServer::Listen(
    network,
    *listen,
    {},
    [&minion](const ServerRequest& aRequest, const ServerResponder& aRespond) {
      minion.Handle(aRequest, aRespond);
    });
  if (!server) {
    std::cerr << "review-minion: " << server.LastFailure().mMessage << "\n";
    return 2;
  }
  HttpClientOptions clientOptions;
  clientOptions.mIp = agent->mHost;
  clientOptions.mPort = agent->mPort;
  HttpClient client(clientOptions);
  std::int64_t nextBeatMs = 0;
  while (true) {
    minion.Tick();
    if (ClockMs() >= nextBeatMs) {
      const auto outcome = client.Call(minion.MakeBeat(), Milliseconds(1000));
      // An unanswered heartbeat is sent again soon.
      nextBeatMs = ClockMs() + (outcome ? options.mBeatMs : 100);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kTickMs));
  }
}
