#include "dogwooddrum/cli/LoadRun.h"

#include "dogwooddrum/cli/Api.h"
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JobWait.h"
#include "dogwooddrum/cli/LoadRuns.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

namespace dogwooddrum::cli {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

/** Longest wait of one request; a longer job is polled. */
constexpr std::int64_t kWaitMs = 10000;
/** Time beyond a request's wait after which its try counts as lost. */
constexpr base::Duration kTryMargin = base::Milliseconds(5000);
/** One of this many submissions is repeated with its key. */
constexpr std::uint64_t kRepeatEvery = 100;
/** Job numbers of direct calls start here, so that a target that also serves
 * the service's jobs lists no job number twice. */
constexpr std::uint64_t kDirectJobs = 1ULL << 62;

double
ToMs(steady_clock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** What all workers of a run share. */
struct Shared
{
  explicit Shared(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mPlan(aOptions.mPlan)
    , mBegin(steady_clock::now())
    , mLastArrival(mBegin + aOptions.mMaxTime)
    , mEnd(mLastArrival + aOptions.mDrainTime)
  {
  }

  std::optional<LoadRequest> Next()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (steady_clock::now() >= mLastArrival) {
      return std::nullopt;
    }
    return mPlan.Next();
  }

  const LoadOptions& mOptions;
  std::mutex mMutex;
  LoadPlan mPlan; ///< guarded by mMutex
  const steady_clock::time_point mBegin;
  const steady_clock::time_point mLastArrival;
  const steady_clock::time_point mEnd;
};

/** One thread of a run. */
class Worker
{
public:
  Worker(Shared& aShared, std::size_t aIndex)
    : mShared(aShared)
    , mOptions(aShared.mOptions)
    , mClient(MakeOptions(aShared.mOptions, aIndex))
  {
  }

  void Run()
  {
    while (const auto request = mShared.Next()) {
      auto begin = steady_clock::now();
      if (mOptions.mPlan.mArrivals == Arrivals::Poisson) {
        // Counted from the planned arrival: a late start is waiting time.
        begin = mShared.mBegin + request->mAt;
        if (begin >= mShared.mLastArrival) {
          return;
        }
        std::this_thread::sleep_until(begin);
      }
      ++mResults.mSent;
      if (mOptions.mDirect) {
        CallTarget(*request, begin);
      } else {
        Submit(*request, begin);
      }
    }
  }

  LoadResults mResults;
  JobKinds mJobs; ///< accepted jobs, and whether each is repeatable

private:
  static ApiOptions MakeOptions(const LoadOptions& aOptions, std::size_t aIndex)
  {
    ApiOptions options;
    options.mEntries = aOptions.mEntries;
    options.mFirstEntry = aIndex;
    options.mSeed = aOptions.mPlan.mSeed * 1000003 + aIndex;
    return options;
  }

  const LoadClass& ClassOf(const LoadRequest& aRequest) const
  {
    return mOptions.mPlan.mMix[aRequest.mClass];
  }

  /** Terms of a call that is resent until the end of the run. */
  ApiTerms Terms(bool aRetryRefusals) const
  {
    ApiTerms terms;
    terms.mRetryRefusals = aRetryRefusals;
    terms.mTry = base::Milliseconds(kWaitMs) + kTryMargin;
    terms.mTotal = std::max(base::Duration(0),
                            std::chrono::duration_cast<base::Duration>(
                              mShared.mEnd - steady_clock::now()));
    return terms;
  }

  std::string Key(const LoadRequest& aRequest) const
  {
    return "load-" + mOptions.mRunId + "-" + std::to_string(aRequest.mNumber);
  }

  void Example(const std::string& aText)
  {
    if (mResults.mExamples.size() < kMaxExamples) {
      mResults.mExamples.push_back(aText);
    }
  }

  void CallTarget(const LoadRequest& aRequest, steady_clock::time_point aBegin)
  {
    const std::string payload = LoadPayload(ClassOf(aRequest), aRequest);
    ApiTerms terms = Terms(false);
    terms.mIdempotent = false;
    const ApiResult result = mClient.Call(
      MakeRequest("POST",
                  "/run?job=" + std::to_string(kDirectJobs + aRequest.mNumber) +
                    "&attempt=1&task=0&accelerators=1&lease_ms=60000",
                  payload),
      terms);
    if (result.mKind != ApiResult::Kind::Ok) {
      Count(result);
      return;
    }
    Check(aRequest, "target", payload, result.mBody, aBegin);
  }

  void Count(const ApiResult& aResult)
  {
    if (aResult.mKind == ApiResult::Kind::Refused) {
      ++mResults.mRefusals[aResult.mReason];
    } else {
      ++mResults.mNoAnswer;
      Example("no answer: " + aResult.mMessage);
    }
  }

  /** Compares an answer and records its time if it is right. */
  void Check(const LoadRequest& aRequest,
             const std::string& aJob,
             const std::string& aExpected,
             const std::string& aActual,
             steady_clock::time_point aBegin)
  {
    ++mResults.mFinished;
    if (aActual == aExpected) {
      mResults.mCompletionMs[ClassOf(aRequest).mProfile].push_back(
        ToMs(steady_clock::now() - aBegin));
      return;
    }
    ++mResults.mMismatchedAnswers;
    Example("wrong: job " + aJob + " answered " +
            std::to_string(aActual.size()) + " bytes \"" +
            aActual.substr(0, 80) + "\", expected " +
            std::to_string(aExpected.size()) + " bytes \"" +
            aExpected.substr(0, 80) + "\"");
  }

  json Body(const LoadRequest& aRequest) const
  {
    const LoadClass& loadClass = ClassOf(aRequest);
    return { { "account", loadClass.mAccount },
             { "profile", loadClass.mProfile },
             { "key", Key(aRequest) },
             { "tasks", loadClass.mTasks },
             { "accelerators_per_task", loadClass.mAccelerators },
             { "adjacency", loadClass.mAdjacency },
             { "repeatable", loadClass.mRepeatable },
             { "declared_run_ms", loadClass.mRunMs },
             { "payload", LoadPayload(loadClass, aRequest) } };
  }

  void Submit(const LoadRequest& aRequest, steady_clock::time_point aBegin)
  {
    const std::string body = Body(aRequest).dump();
    ApiResult result = mClient.Call(
      MakeRequest("POST", "/v1/jobs?wait_ms=" + std::to_string(kWaitMs), body),
      Terms(false));
    mResults.mResends += result.mTries - 1;
    if (result.mKind != ApiResult::Kind::Ok) {
      Count(result);
      return;
    }
    json view = json::parse(result.mBody, nullptr, false);
    const std::uint64_t job = JobOf(view);
    const std::string name = std::to_string(job);
    mJobs[job] = ClassOf(aRequest).mRepeatable;
    while (!Ended(view)) {
      result = mClient.Call(
        MakeRequest("GET",
                    "/v1/jobs/" + name + "?wait_ms=" + std::to_string(kWaitMs)),
        Terms(true));
      if (result.mKind != ApiResult::Kind::Ok ||
          steady_clock::now() >= mShared.mEnd) {
        ++mResults.mLost;
        Example("lost: job " + name + " did not end: " + result.mBody +
                result.mMessage);
        return;
      }
      view = json::parse(result.mBody, nullptr, false);
    }
    if (view.value("state", "") == "finished") {
      ReadAnswer(aRequest, name, aBegin);
    } else {
      ++mResults.mFailures[view.value("reason", "unknown")];
    }
    if (aRequest.mNumber % kRepeatEvery == 0) {
      Repeat(body, job);
    }
    if (mOptions.mAcknowledge) {
      mClient.Call(MakeRequest("POST", "/v1/jobs/" + name + "/acknowledge"),
                   Terms(true));
    }
  }

  void ReadAnswer(const LoadRequest& aRequest,
                  const std::string& aJob,
                  steady_clock::time_point aBegin)
  {
    const ApiResult result = mClient.Call(
      MakeRequest("GET", "/v1/jobs/" + aJob + "/answer"), Terms(true));
    if (result.mKind != ApiResult::Kind::Ok) {
      ++mResults.mLost;
      Example("lost: answer of job " + aJob + ": " + result.mReason + " " +
              result.mMessage);
      return;
    }
    const LoadClass& loadClass = ClassOf(aRequest);
    const std::string payload = LoadPayload(loadClass, aRequest);
    std::string expected;
    for (std::uint64_t i = 0; i < loadClass.mTasks; ++i) {
      expected += payload;
    }
    Check(aRequest, aJob, expected, result.mBody, aBegin);
    const auto checksum = result.mHeaders.find("x-dogwooddrum-checksum");
    if (checksum == result.mHeaders.end() ||
        checksum->second != ChecksumText(result.mBody)) {
      ++mResults.mMismatchedAnswers;
      Example("wrong: checksum of the answer of job " + aJob);
    }
  }

  /** Submits once more with the same key; it must join the first job. */
  void Repeat(const std::string& aBody, std::uint64_t aJob)
  {
    const ApiResult result =
      mClient.Call(MakeRequest("POST", "/v1/jobs", aBody), Terms(false));
    if (result.mKind != ApiResult::Kind::Ok) {
      return;
    }
    const std::uint64_t again =
      JobOf(json::parse(result.mBody, nullptr, false));
    if (again != aJob) {
      ++mResults.mDoubled;
      Example("doubled: job " + std::to_string(aJob) + " is also job " +
              std::to_string(again));
    }
  }

  static std::uint64_t JobOf(const json& aView)
  {
    return aView.is_object() ? aView.value("job", std::uint64_t{ 0 }) : 0;
  }

  static bool Ended(const json& aView)
  {
    const std::string state = aView.is_object() ? aView.value("state", "") : "";
    return state == "finished" || state == "failed" || state == "cancelled";
  }

  Shared& mShared;
  const LoadOptions& mOptions;
  ApiClient mClient;
};

} // namespace

std::string
LoadPayload(const LoadClass& aClass, const LoadRequest& aRequest)
{
  // The nonce makes each answer distinct, so that an answer of another
  // request is found out.
  std::string payload = "{\"run_ms\":" + std::to_string(aClass.mRunMs) +
                        ",\"nonce\":\"" + std::to_string(aRequest.mNonce) +
                        "\",\"pad\":\"";
  const std::string end = "\"}";
  if (payload.size() + end.size() < aClass.mBytes) {
    payload.append(aClass.mBytes - payload.size() - end.size(), 'x');
  }
  return payload + end;
}

LoadResults
RunLoad(const LoadOptions& aOptions)
{
  Shared shared(aOptions);
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::uint64_t i = 0; i < aOptions.mConcurrency; ++i) {
    workers.push_back(std::make_unique<Worker>(shared, i));
  }
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (const auto& worker : workers) {
    threads.emplace_back([&worker] { worker->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LoadResults results;
  JobKinds jobs;
  for (const auto& worker : workers) {
    Merge(worker->mResults, results);
    jobs.insert(worker->mJobs.begin(), worker->mJobs.end());
  }
  results.mSeconds =
    std::chrono::duration<double>(steady_clock::now() - shared.mBegin).count();
  CheckRuns(aOptions.mTargets, jobs, results);
  return results;
}

} // namespace dogwooddrum::cli
