// dogwooddrum-standin-target: an HTTP server that simulates a target, for
// tests and demonstrations. The server implements the calls that
// HttpTaskPlatform makes and lists the requested runs on GET /runs.
#include "dogwooddrum/transport/HttpServer.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>

namespace {

using dogwooddrum::base::Milliseconds;
using dogwooddrum::transport::HttpServer;
using dogwooddrum::transport::Network;
using dogwooddrum::transport::ServerRequest;
using dogwooddrum::transport::ServerResponder;
using dogwooddrum::transport::ServerResponse;
using nlohmann::json;

struct Options
{
  std::string mListen = "127.0.0.1:0";
  int mServiceMs = 0;
  /** none, error (respond with 500) or hang (respond only to a stop). */
  std::string mFailure = "none";
  int mFailEvery = 1;      ///< with a failure mode: every n-th run fails
  int mAnswerBytes = 0;    ///< 0: the answer is the payload
  std::string mRecordPath; ///< file to append each run to; empty: memory only
};

ServerResponse
MakeResponse(unsigned aStatus, std::string aBody)
{
  ServerResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aBody);
  return response;
}

std::string
QueryParameter(const ServerRequest& aRequest, const char* aName)
{
  const auto it = aRequest.mQuery.find(aName);
  return it == aRequest.mQuery.end() ? std::string() : it->second;
}

std::string
RunKeyOf(const ServerRequest& aRequest)
{
  return QueryParameter(aRequest, "job") + "/" +
         QueryParameter(aRequest, "attempt") + "/" +
         QueryParameter(aRequest, "task");
}

/** A run whose response has not been sent. */
struct PendingRun
{
  ServerResponder mResponder;
  int mAccelerators = 0;
};

class StandInTarget
{
public:
  StandInTarget(const Options& aOptions, Network& aNetwork)
    : mOptions(aOptions)
    , mNetwork(aNetwork)
  {
    if (!aOptions.mRecordPath.empty()) {
      mRecordFile.open(aOptions.mRecordPath, std::ios::app);
    }
  }

  void Handle(const ServerRequest& aRequest, const ServerResponder& aResponder)
  {
    if (aRequest.mPath == "/run") {
      HandleRun(aRequest, aResponder);
    } else if (aRequest.mPath == "/stop") {
      HandleStop(RunKeyOf(aRequest));
      aResponder(MakeResponse(200, "{}"));
    } else if (aRequest.mPath == "/checkpoint" ||
               aRequest.mPath == "/throttle") {
      const std::lock_guard<std::mutex> lock(mMutex);
      mCalls.push_back(aRequest.mPath.substr(1) + " " + RunKeyOf(aRequest));
      aResponder(MakeResponse(200, "{}"));
    } else if (aRequest.mPath == "/usage") {
      aResponder(MakeResponse(200, FormatUsage()));
    } else if (aRequest.mPath == "/runs") {
      aResponder(MakeResponse(200, FormatRuns()));
    } else {
      aResponder(MakeResponse(404, "{}"));
    }
  }

private:
  void HandleRun(const ServerRequest& aRequest,
                 const ServerResponder& aResponder)
  {
    const auto key = RunKeyOf(aRequest);
    bool fails = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns.push_back(
        { { "job", QueryParameter(aRequest, "job") },
          { "attempt", QueryParameter(aRequest, "attempt") },
          { "task", QueryParameter(aRequest, "task") },
          { "resume_from", QueryParameter(aRequest, "resume_from") },
          { "payload", aRequest.mBody.substr(0, 64) } });
      if (mRecordFile.is_open()) {
        // Flushed after each run, so that a kill loses none.
        mRecordFile << key << std::endl;
      }
      fails = mOptions.mFailure != "none" &&
              mRuns.size() % static_cast<std::size_t>(mOptions.mFailEvery) == 0;
      mPendingRuns[key] = {
        aResponder, std::atoi(QueryParameter(aRequest, "accelerators").c_str())
      };
    }
    if (fails && mOptions.mFailure == "hang") {
      return;
    }
    const auto status = fails ? 500U : 200U;
    auto answer =
      mOptions.mAnswerBytes > 0
        ? std::string(static_cast<std::size_t>(mOptions.mAnswerBytes), 'a')
        : aRequest.mBody;
    const auto delay = ServiceMs(aRequest.mBody);
    auto finish = [this, key, status, text = std::move(answer)] {
      Finish(key, MakeResponse(status, text));
    };
    if (delay <= 0) {
      finish();
    } else {
      mNetwork.PostAfter(Milliseconds(delay), finish);
    }
  }

  /** A payload {"run_ms": n} overrides the service time. */
  int ServiceMs(const std::string& aPayload) const
  {
    if (aPayload.compare(0, 1, "{") != 0) {
      return mOptions.mServiceMs;
    }
    const auto body = json::parse(aPayload, nullptr, false);
    return body.is_object() && body.contains("run_ms") &&
               body["run_ms"].is_number_integer()
             ? body["run_ms"].get<int>()
             : mOptions.mServiceMs;
  }

  void Finish(const std::string& aKey, ServerResponse aResponse)
  {
    ServerResponder responder;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto it = mPendingRuns.find(aKey);
      if (it == mPendingRuns.end()) {
        return;
      }
      responder = std::move(it->second.mResponder);
      mPendingRuns.erase(it);
    }
    responder(std::move(aResponse));
  }

  void HandleStop(const std::string& aKey)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mCalls.push_back("stop " + aKey);
    }
    Finish(aKey, MakeResponse(409, "stopped"));
  }

  std::string FormatUsage()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    int busy = 0;
    for (const auto& [key, run] : mPendingRuns) {
      busy += run.mAccelerators;
    }
    return json{ { "busy_accelerators", busy } }.dump();
  }

  std::string FormatRuns()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return json{
      { "runs", mRuns }, { "calls", mCalls }, { "open", mPendingRuns.size() }
    }.dump();
  }

  const Options mOptions;
  Network& mNetwork;
  std::mutex mMutex; ///< guards the members below
  json mRuns = json::array();
  std::vector<std::string> mCalls;
  std::map<std::string, PendingRun> mPendingRuns;
  std::ofstream mRecordFile;
};

bool
ParseOptions(int aCount, const char** aArguments, Options& aOptions)
{
  char* listen = nullptr;
  char* failure = nullptr;
  char* record = nullptr;
  const poptOption table[] = {
    // NOLINT(modernize-avoid-c-arrays)
    { "listen", 0, POPT_ARG_STRING, &listen, 0, "Address", "IP:PORT" },
    { "service-ms",
      0,
      POPT_ARG_INT,
      &aOptions.mServiceMs,
      0,
      "Time of each run",
      "MS" },
    { "failure",
      0,
      POPT_ARG_STRING,
      &failure,
      0,
      "none, error or hang",
      "MODE" },
    { "fail-every",
      0,
      POPT_ARG_INT,
      &aOptions.mFailEvery,
      0,
      "Every n-th run fails",
      "N" },
    { "answer-bytes",
      0,
      POPT_ARG_INT,
      &aOptions.mAnswerBytes,
      0,
      "Size of each answer; 0 echoes the payload",
      "N" },
    { "record", 0, POPT_ARG_STRING, &record, 0, "File of runs", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const poptContext context =
    poptGetContext("dogwooddrum-standin-target", aCount, aArguments, table, 0);
  const int rc = poptGetNextOpt(context);
  if (rc < -1) {
    std::fprintf(stderr, "dogwooddrum-standin-target: %s\n", poptStrerror(rc));
  }
  const auto assign = [](char* aText, std::string& aDestination) {
    if (aText != nullptr) {
      aDestination = aText;
      std::free(aText);
    }
  };
  assign(listen, aOptions.mListen);
  assign(failure, aOptions.mFailure);
  assign(record, aOptions.mRecordPath);
  poptFreeContext(context);
  return rc == -1 && aOptions.mFailEvery > 0;
}

} // namespace

int
main(int aCount, const char** aArguments)
{
  Options options;
  if (!ParseOptions(aCount, aArguments, options)) {
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto address = dogwooddrum::transport::ParseAddress(options.mListen);
  if (!address) {
    std::fprintf(stderr,
                 "dogwooddrum-standin-target: %s\n",
                 address.LastFailure().mMessage.c_str());
    return 2;
  }
  Network network(1);
  StandInTarget target(options, network);
  const auto server =
    HttpServer::Listen(network,
                       *address,
                       {},
                       [&target](const ServerRequest& aRequest,
                                 const ServerResponder& aResponder) {
                         target.Handle(aRequest, aResponder);
                       });
  if (!server) {
    std::fprintf(stderr,
                 "dogwooddrum-standin-target: %s\n",
                 server.LastFailure().mMessage.c_str());
    return 1;
  }
  std::printf("listening on %u\n", static_cast<unsigned>((*server)->Port()));
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  network.Stop();
  return 0;
}
