/** \file
 * Defines ApiClient, a caller of the HTTP interface of the entries
 * (docs/interface.md) that resends what can be resent.
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

/** How a request ended. */
struct ApiResult
{
  enum class Kind
  {
    Ok,
    Refused,  ///< mReason to mMessage are filled from the response
    NoAnswer, ///< mRan and mMessage are filled
  };
  Kind mKind = Kind::NoAnswer;
  unsigned mStatus = 0;
  std::string mBody; ///< JSON, or the bytes of an answer
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
  std::uint64_t mSeed = 1;                ///< for the backoff's jitter
};

/** What may be done with one request. */
struct ApiTerms
{
  /** Whether a second arrival has no second effect, because the request
   * reads, or carries a key or change id. */
  bool mIdempotent = true;
  /** Whether a refusal that allows a retry is retried. */
  bool mRetryRefusals = true;
  base::Duration mTry = base::Milliseconds(10000); ///< deadline of one try
  base::Duration mTotal = base::Milliseconds(30000);
};

/**
 * Keeps one connection to each entry and changes to the next entry when one
 * does not answer. Thread safety: none.
 */
class ApiClient
{
public:
  explicit ApiClient(const ApiOptions& aOptions);

  /**
   * Sends aRequest. A request that is not idempotent is sent again only if no
   * byte of it may have left.
   */
  ApiResult Call(transport::HttpRequest aRequest, const ApiTerms& aTerms);

private:
  bool Backoff(unsigned aTry,
               base::Duration aAtLeast,
               std::chrono::steady_clock::time_point aEnd);

  ApiOptions mOptions;
  std::vector<std::unique_ptr<transport::HttpClient>> mClients;
  std::size_t mCurrent;
  std::mt19937_64 mRandom;
};

} // namespace dogwooddrum::cli
