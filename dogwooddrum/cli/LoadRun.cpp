#include "dogwooddrum/cli/LoadRun.h"

#include "dogwooddrum/cli/Api.h"
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/DuplicateRuns.h"
#include "dogwooddrum/cli/JobWait.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

namespace dogwooddrum::cli {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

/** Longest time that one request waits for a job's end; longer jobs are polled.
 */
constexpr std::int64_t kMaxWaitMs = 10000;
/** Time beyond the wait after which a try without a response times out. */
constexpr base::Duration kTryTimeoutMargin = base::Milliseconds(5000);
/** One of this many submissions is sent again with its idempotency key. */
constexpr std::uint64_t kResubmitInterval = 100;
/** First job number of direct calls, above those of the service, so that a
 * target that also runs the service's jobs lists no job number twice. */
constexpr std::uint64_t kFirstDirectJob = 1ULL << 62;

double
ToMs(steady_clock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** State that all threads of a load run share. */
struct SharedState
{
  explicit SharedState(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mPlan(aOptions.mPlan)
    , mStart(steady_clock::now())
    , mArrivalsEnd(mStart + aOptions.mMaxTime)
    , mDrainEnd(mArrivalsEnd + aOptions.mDrainTime)
  {
  }

  std::optional<LoadRequest> NextRequest()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (steady_clock::now() >= mArrivalsEnd) {
      return std::nullopt;
    }
    return mPlan.NextRequest();
  }

  const LoadOptions& mOptions;
  std::mutex mMutex;
  LoadPlan mPlan; ///< guarded by mMutex
  const steady_clock::time_point mStart;
  const steady_clock::time_point mArrivalsEnd;
  const steady_clock::time_point mDrainEnd;
};

/** Sends requests and checks their answers in one thread of a load run. */
class LoadGenerator
{
public:
  LoadGenerator(SharedState& aShared, std::size_t aIndex)
    : mShared(aShared)
    , mOptions(aShared.mOptions)
    , mClient(MakeOptions(aShared.mOptions, aIndex))
  {
  }

  void Run()
  {
    while (const auto request = mShared.NextRequest()) {
      auto begin = steady_clock::now();
      if (mOptions.mPlan.mArrivals == Arrivals::Poisson) {
        // Measured from the planned arrival, so that the completion time
        // includes the delay of a late send.
        begin = mShared.mStart + request->mArrivalTime;
        if (begin >= mShared.mArrivalsEnd) {
          return;
        }
        std::this_thread::sleep_until(begin);
      }
      ++mResults.mSent;
      if (mOptions.mDirect) {
        CallTarget(*request, begin);
      } else {
        SubmitAndCheck(*request, begin);
      }
    }
  }

  LoadResults mResults;
  JobRepeatability mJobs; ///< accepted jobs, and whether each is repeatable

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
    return mOptions.mPlan.mMix[aRequest.mClassIndex];
  }

  /** Returns the policy of a call that is resent until the end of the run. */
  CallPolicy MakePolicy(bool aRetryRefusals) const
  {
    CallPolicy policy;
    policy.mRetriesRefusals = aRetryRefusals;
    policy.mTryTimeout = base::Milliseconds(kMaxWaitMs) + kTryTimeoutMargin;
    policy.mTotalTimeout = std::max(base::Duration(0),
                                    std::chrono::duration_cast<base::Duration>(
                                      mShared.mDrainEnd - steady_clock::now()));
    return policy;
  }

  std::string MakeIdempotencyKey(const LoadRequest& aRequest) const
  {
    return "load-" + mOptions.mRunId + "-" + std::to_string(aRequest.mNumber);
  }

  void AddExample(const std::string& aText)
  {
    if (mResults.mExamples.size() < kMaxExamples) {
      mResults.mExamples.push_back(aText);
    }
  }

  void CallTarget(const LoadRequest& aRequest, steady_clock::time_point aBegin)
  {
    const std::string payload = LoadPayload(ClassOf(aRequest), aRequest);
    CallPolicy policy = MakePolicy(false);
    policy.mIsIdempotent = false;
    const ApiResult result = mClient.Call(
      MakeRequest(
        "POST",
        "/run?job=" + std::to_string(kFirstDirectJob + aRequest.mNumber) +
          "&attempt=1&task=0&accelerators=1&lease_ms=60000",
        payload),
      policy);
    if (result.mKind != ApiResult::Kind::Ok) {
      CountFailure(result);
      return;
    }
    CheckAnswer(aRequest, "target", payload, result.mBody, aBegin);
  }

  void CountFailure(const ApiResult& aResult)
  {
    if (aResult.mKind == ApiResult::Kind::Refused) {
      ++mResults.mRefusals[aResult.mReason];
    } else {
      ++mResults.mNoAnswer;
      AddExample("no answer: " + aResult.mMessage);
    }
  }

  /** Compares an answer and records its completion time if it is correct. */
  void CheckAnswer(const LoadRequest& aRequest,
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
    AddExample("wrong: job " + aJob + " answered " +
               std::to_string(aActual.size()) + " bytes \"" +
               aActual.substr(0, 80) + "\", expected " +
               std::to_string(aExpected.size()) + " bytes \"" +
               aExpected.substr(0, 80) + "\"");
  }

  json MakeBody(const LoadRequest& aRequest) const
  {
    const LoadClass& loadClass = ClassOf(aRequest);
    return { { "account", loadClass.mAccount },
             { "profile", loadClass.mProfile },
             { "key", MakeIdempotencyKey(aRequest) },
             { "tasks", loadClass.mTasks },
             { "accelerators_per_task", loadClass.mAccelerators },
             { "adjacency", loadClass.mAdjacency },
             { "repeatable", loadClass.mRepeatable },
             { "declared_run_ms", loadClass.mRunMs },
             { "payload", LoadPayload(loadClass, aRequest) } };
  }

  void SubmitAndCheck(const LoadRequest& aRequest,
                      steady_clock::time_point aBegin)
  {
    const std::string body = MakeBody(aRequest).dump();
    ApiResult result = mClient.Call(
      MakeRequest(
        "POST", "/v1/jobs?wait_ms=" + std::to_string(kMaxWaitMs), body),
      MakePolicy(false));
    mResults.mResends += result.mTries - 1;
    if (result.mKind != ApiResult::Kind::Ok) {
      CountFailure(result);
      return;
    }
    json view = json::parse(result.mBody, nullptr, false);
    const std::uint64_t job = JobNumberOf(view);
    const std::string name = std::to_string(job);
    mJobs[job] = ClassOf(aRequest).mRepeatable;
    while (!HasEnded(view)) {
      result = mClient.Call(
        MakeRequest(
          "GET", "/v1/jobs/" + name + "?wait_ms=" + std::to_string(kMaxWaitMs)),
        MakePolicy(true));
      if (result.mKind != ApiResult::Kind::Ok ||
          steady_clock::now() >= mShared.mDrainEnd) {
        ++mResults.mLost;
        AddExample("lost: job " + name + " did not end: " + result.mBody +
                   result.mMessage);
        return;
      }
      view = json::parse(result.mBody, nullptr, false);
    }
    if (view.value("state", "") == "finished") {
      FetchAndCheckAnswer(aRequest, name, aBegin);
    } else {
      ++mResults.mFailures[view.value("reason", "unknown")];
    }
    if (aRequest.mNumber % kResubmitInterval == 0) {
      Resubmit(body, job);
    }
    if (mOptions.mAcknowledge) {
      mClient.Call(MakeRequest("POST", "/v1/jobs/" + name + "/acknowledge"),
                   MakePolicy(true));
    }
  }

  void FetchAndCheckAnswer(const LoadRequest& aRequest,
                           const std::string& aJob,
                           steady_clock::time_point aBegin)
  {
    const ApiResult result = mClient.Call(
      MakeRequest("GET", "/v1/jobs/" + aJob + "/answer"), MakePolicy(true));
    if (result.mKind != ApiResult::Kind::Ok) {
      ++mResults.mLost;
      AddExample("lost: answer of job " + aJob + ": " + result.mReason + " " +
                 result.mMessage);
      return;
    }
    const LoadClass& loadClass = ClassOf(aRequest);
    const std::string payload = LoadPayload(loadClass, aRequest);
    std::string expected;
    for (std::uint64_t i = 0; i < loadClass.mTasks; ++i) {
      expected += payload;
    }
    CheckAnswer(aRequest, aJob, expected, result.mBody, aBegin);
    const auto checksum = result.mHeaders.find("x-dogwooddrum-checksum");
    if (checksum == result.mHeaders.end() ||
        checksum->second != ChecksumText(result.mBody)) {
      ++mResults.mMismatchedAnswers;
      AddExample("wrong: checksum of the answer of job " + aJob);
    }
  }

  /** Submits again with the same key and checks that the service returns the
   * first job. */
  void Resubmit(const std::string& aBody, std::uint64_t aJob)
  {
    const ApiResult result =
      mClient.Call(MakeRequest("POST", "/v1/jobs", aBody), MakePolicy(false));
    if (result.mKind != ApiResult::Kind::Ok) {
      return;
    }
    const std::uint64_t secondJob =
      JobNumberOf(json::parse(result.mBody, nullptr, false));
    if (secondJob != aJob) {
      ++mResults.mDoubled;
      AddExample("doubled: job " + std::to_string(aJob) + " is also job " +
                 std::to_string(secondJob));
    }
  }

  static std::uint64_t JobNumberOf(const json& aView)
  {
    return aView.is_object() ? aView.value("job", std::uint64_t{ 0 }) : 0;
  }

  static bool HasEnded(const json& aView)
  {
    const std::string state = aView.is_object() ? aView.value("state", "") : "";
    return state == "finished" || state == "failed" || state == "cancelled";
  }

  SharedState& mShared;
  const LoadOptions& mOptions;
  ApiClient mClient;
};

} // namespace

std::string
LoadPayload(const LoadClass& aClass, const LoadRequest& aRequest)
{
  // The nonce makes each answer unique, so that the answer of another request
  // is detected as wrong.
  std::string payload = "{\"run_ms\":" + std::to_string(aClass.mRunMs) +
                        ",\"nonce\":\"" + std::to_string(aRequest.mNonce) +
                        "\",\"pad\":\"";
  const std::string end = "\"}";
  if (payload.size() + end.size() < aClass.mPayloadBytes) {
    payload.append(aClass.mPayloadBytes - payload.size() - end.size(), 'x');
  }
  return payload + end;
}

LoadResults
RunLoad(const LoadOptions& aOptions)
{
  SharedState shared(aOptions);
  std::vector<std::unique_ptr<LoadGenerator>> generators;
  for (std::uint64_t i = 0; i < aOptions.mConcurrency; ++i) {
    generators.push_back(std::make_unique<LoadGenerator>(shared, i));
  }
  std::vector<std::thread> threads;
  threads.reserve(generators.size());
  for (const auto& generator : generators) {
    threads.emplace_back([&generator] { generator->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LoadResults results;
  JobRepeatability jobs;
  for (const auto& generator : generators) {
    MergeResults(generator->mResults, results);
    jobs.insert(generator->mJobs.begin(), generator->mJobs.end());
  }
  results.mSeconds =
    std::chrono::duration<double>(steady_clock::now() - shared.mStart).count();
  CheckTargetRuns(aOptions.mTargets, jobs, results);
  return results;
}

} // namespace dogwooddrum::cli
