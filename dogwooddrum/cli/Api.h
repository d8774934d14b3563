/** \file
 * Defines ApiClient, a client of the entries' HTTP interface
 * (docs/interface.md) that resends requests when that is safe.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/service/Settings.h"
#include "dogwooddrum/transport/HttpClient.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dogwooddrum::cli {

/** Outcome of a request, including its resends. */
struct ApiResult
{
  enum class Kind
  {
    Ok,
    Refused,  ///< mReason, mRan and mMessage are set from the response
    NoAnswer, ///< no response; mReason, mRan and mMessage are set
  };
  Kind mKind = Kind::NoAnswer;
  unsigned mStatus = 0;
  std::string mBody; ///< JSON, or the bytes of a job's answer
  std::map<std::string, std::string> mHeaders;
  std::string mReason;
  std::string mRan;
  std::string mMessage;
  bool mRetryable = false;
  std::uint64_t mRetryAfterMs = 0;
  unsigned mTries = 0;
};

struct ApiOptions
{
  std::vector<service::Address> mEntries; ///< at least one
  std::string mOperatorKey;               ///< empty: none is sent
  std::size_t mFirstEntry = 0;            ///< index of the entry to try first
  std::uint64_t mSeed = 1;                ///< seed of the backoff jitter
};

/** Timeouts of a request, and when it may be sent again. */
struct CallPolicy
{
  /** Whether executing the request twice has the effect of executing it once,
   * because it only reads or carries an idempotency key or change id. */
  bool mIsIdempotent = true;
  /** Whether the request is sent again after a retryable refusal. */
  bool mRetriesRefusals = true;
  base::Duration mTryTimeout = base::Milliseconds(10000); ///< of one try
  /** Timeout of all tries together, with the pauses between them. */
  base::Duration mTotalTimeout = base::Milliseconds(30000);
};

/**
 * Keeps one connection to each entry. Switches to the next entry before each
 * resend. Not thread safe.
 */
class ApiClient
{
public:
  explicit ApiClient(const ApiOptions& aOptions);

  /**
   * Sends aRequest and resends it within aPolicy.mTotalTimeout. A request that
   * is not idempotent is resent only if no byte of it can have been sent.
   */
  ApiResult Call(transport::HttpRequest aRequest, const CallPolicy& aPolicy);

private:
  /** Sleeps for aMinPause plus a random backoff. Returns false at once if that
   * would reach aDeadline. */
  bool SleepBeforeRetry(unsigned aTry,
                        base::Duration aMinPause,
                        std::chrono::steady_clock::time_point aDeadline);

  ApiOptions mOptions;
  std::vector<std::unique_ptr<transport::HttpClient>> mClients;
  std::size_t mCurrentClient;
  std::mt19937_64 mRandom;
};

} // namespace dogwooddrum::cli
