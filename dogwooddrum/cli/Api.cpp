#include "dogwooddrum/cli/Api.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace dogwooddrum::cli {

namespace {

using std::chrono::steady_clock;

constexpr std::int64_t kFirstBackoffMs = 50;
constexpr std::int64_t kLastBackoffMs = 1000;

ApiResult
FromResponse(transport::HttpResponse aResponse)
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
    result.mMessage = std::string("refusal of another form: ") + e.what();
  }
  return result;
}

ApiResult
FromFailure(const transport::HttpOutcome& aOutcome, bool aMayHaveLeft)
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
  , mCurrent(aOptions.mFirstEntry % aOptions.mEntries.size())
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
ApiClient::Backoff(unsigned aTry,
                   base::Duration aAtLeast,
                   steady_clock::time_point aEnd)
{
  const std::int64_t cap =
    std::min(kLastBackoffMs, kFirstBackoffMs << std::min(aTry, 10U));
  std::uniform_int_distribution<std::int64_t> jitter(0, cap);
  const auto wake =
    steady_clock::now() + aAtLeast + base::Milliseconds(jitter(mRandom));
  if (wake >= aEnd) {
    return false;
  }
  std::this_thread::sleep_until(wake);
  return true;
}

ApiResult
ApiClient::Call(transport::HttpRequest aRequest, const ApiTerms& aTerms)
{
  if (!mOptions.mOperatorKey.empty()) {
    aRequest.mHeaders["Authorization"] = "Bearer " + mOptions.mOperatorKey;
  }
  const auto end = steady_clock::now() + aTerms.mTotal;
  bool mayHaveLeft = false;
  for (unsigned n = 1;; ++n) {
    const auto left =
      std::chrono::duration_cast<base::Duration>(end - steady_clock::now());
    auto outcome =
      mClients[mCurrent]->Call(aRequest, std::min(left, aTerms.mTry));
    ApiResult result;
    bool again = false;
    if (outcome) {
      result = FromResponse(std::move(*outcome));
      // The refusal speaks of this try only; an earlier one without an answer
      // may have run.
      if (mayHaveLeft && result.mRan == ToString(base::Ran::NotRun)) {
        result.mRan = ToString(base::Ran::MayHaveRun);
      }
      again = result.mKind == ApiResult::Kind::Refused && result.mRetryable &&
              aTerms.mRetryRefusals && aTerms.mIdempotent;
    } else {
      mayHaveLeft = mayHaveLeft || outcome.mMayHaveBeenSent;
      result = FromFailure(outcome, mayHaveLeft);
      again = aTerms.mIdempotent || !mayHaveLeft;
    }
    result.mTries = n;
    if (result.mKind == ApiResult::Kind::Ok || !again) {
      return result;
    }
    mCurrent = (mCurrent + 1) % mClients.size();
    const auto pause =
      base::Milliseconds(static_cast<std::int64_t>(result.mRetryAfterMs));
    if (!Backoff(n, pause, end)) {
      return result;
    }
  }
}

} // namespace dogwooddrum::cli
