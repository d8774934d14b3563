#include "dogwooddrum/cli/Api.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace dogwooddrum::cli {

namespace {

using std::chrono::steady_clock;

constexpr std::int64_t kInitialBackoffMs = 50;
constexpr std::int64_t kMaxBackoffMs = 1000;

ApiResult
ResultFromResponse(transport::HttpResponse aResponse)
{
  ApiResult result;
  result.mStatus = aResponse.mStatus;
  result.mBody = std::move(aResponse.mBody);
  result.mHeaders = std::move(aResponse.mHeaders);
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    result.mKind = ApiResult::Kind::Ok;
    return result;
  }
  result.mKind = ApiResult::Kind::Refused;
  result.mReason = "http_" + std::to_string(result.mStatus);
  result.mRan = "may_have_run";
  const auto body = nlohmann::json::parse(result.mBody, nullptr, false);
  if (!body.is_object()) {
    result.mMessage = result.mBody.substr(0, 200);
    return result;
  }
  try {
    result.mReason = body.value("reason", result.mReason);
    result.mRan = body.value("ran", "not_run");
    result.mMessage = body.value("message", "");
    result.mRetryable = body.value("retry", false);
    result.mRetryAfterMs = body.value("retry_after_ms", std::uint64_t{ 0 });
  } catch (const nlohmann::json::exception& e) {
    result.mMessage =
      std::string("unexpected format of the refusal: ") + e.what();
  }
  return result;
}

ApiResult
ResultFromFailure(const transport::HttpOutcome& aOutcome, bool aMayHaveLeft)
{
  ApiResult result;
  result.mKind = ApiResult::Kind::NoAnswer;
  result.mReason = base::ToString(aOutcome.LastFailure().mReason);
  result.mRan =
    base::ToString(aMayHaveLeft ? base::Ran::MayHaveRun : base::Ran::NotRun);
  result.mMessage = aOutcome.LastFailure().mMessage;
  result.mRetryable = true;
  return result;
}

} // namespace

ApiClient::ApiClient(const ApiOptions& aOptions)
  : mOptions(aOptions)
  , mCurrentClient(aOptions.mFirstEntry % aOptions.mEntries.size())
  , mRandom(aOptions.mSeed)
{
  for (const service::Address& entry : aOptions.mEntries) {
    transport::HttpClientOptions options;
    options.mIp = entry.mIp;
    options.mPort = entry.mPort;
    mClients.push_back(std::make_unique<transport::HttpClient>(options));
  }
}

bool
ApiClient::SleepBeforeRetry(unsigned aTry,
                            base::Duration aMinPause,
                            steady_clock::time_point aDeadline)
{
  const std::int64_t cap =
    std::min(kMaxBackoffMs, kInitialBackoffMs << std::min(aTry, 10U));
  std::uniform_int_distribution<std::int64_t> jitter(0, cap);
  const auto wake =
    steady_clock::now() + aMinPause + base::Milliseconds(jitter(mRandom));
  if (wake >= aDeadline) {
    return false;
  }
  std::this_thread::sleep_until(wake);
  return true;
}

ApiResult
ApiClient::Call(transport::HttpRequest aRequest, const CallPolicy& aPolicy)
{
  if (!mOptions.mOperatorKey.empty()) {
    aRequest.mHeaders["Authorization"] = "Bearer " + mOptions.mOperatorKey;
  }
  const auto deadline = steady_clock::now() + aPolicy.mTotalTimeout;
  bool mayHaveLeft = false;
  for (unsigned n = 1;; ++n) {
    const auto remaining = std::chrono::duration_cast<base::Duration>(
      deadline - steady_clock::now());
    auto outcome = mClients[mCurrentClient]->Call(
      aRequest, std::min(remaining, aPolicy.mTryTimeout));
    ApiResult result;
    bool resend = false;
    if (outcome) {
      result = ResultFromResponse(std::move(*outcome));
      // "not_run" in a refusal covers this try only; an earlier try without a
      // response may have run.
      if (mayHaveLeft && result.mRan == ToString(base::Ran::NotRun)) {
        result.mRan = ToString(base::Ran::MayHaveRun);
      }
      resend = result.mKind == ApiResult::Kind::Refused && result.mRetryable &&
               aPolicy.mRetriesRefusals && aPolicy.mIsIdempotent;
    } else {
      mayHaveLeft = mayHaveLeft || outcome.mMayHaveBeenSent;
      result = ResultFromFailure(outcome, mayHaveLeft);
      resend = aPolicy.mIsIdempotent || !mayHaveLeft;
    }
    result.mTries = n;
    if (result.mKind == ApiResult::Kind::Ok || !resend) {
      return result;
    }
    mCurrentClient = (mCurrentClient + 1) % mClients.size();
    const auto pause =
      base::Milliseconds(static_cast<std::int64_t>(result.mRetryAfterMs));
    if (!SleepBeforeRetry(n, pause, deadline)) {
      return result;
    }
  }
}

} // namespace dogwooddrum::cli
