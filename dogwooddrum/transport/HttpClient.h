/** \file
 * Defines HttpClient, a blocking HTTP/1.1 client with one keep-alive connection
 * and a deadline for each call.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dogwooddrum::transport {

/** Default limit of a response body, in bytes. */
constexpr std::uint64_t kDefaultResponseBytes = 16U << 20;

struct HttpRequest
{
  std::string mMethod = "GET"; ///< GET, POST, PUT or DELETE
  std::string mTarget = "/";   ///< path and query
  std::string mBody;           ///< sent as application/json if not empty
  std::map<std::string, std::string> mHeaders;
};

struct HttpResponse
{
  unsigned mStatus = 0;
  std::string mBody;
  std::map<std::string, std::string> mHeaders; ///< names in lower case
};

/**
 * The response or a failure: InvalidRequest for a request that cannot be sent,
 * TargetUnreachable if connecting failed, StartTimeout if the deadline passed
 * while connecting, LinkSilent if it passed later, LinkClosed for a closed
 * connection, AnswerTooLarge, MalformedFrame for a response that is not HTTP,
 * Cancelled after Abort.
 */
struct HttpOutcome : base::Outcome<HttpResponse>
{
  using Outcome::Outcome;
  /** For a failure: whether any byte of the request may have been sent. */
  bool mMayHaveBeenSent = false;
  /** For a failure: whether the host refused the connection, as it does if no
   * process listens at the address. */
  bool mRefused = false;
};

struct HttpClientOptions
{
  std::string mIp; ///< numeric IP address
  std::uint16_t mPort = 0;
  std::uint64_t mMaxResponseBytes = kDefaultResponseBytes;
};

/**
 * Uses one connection, opened by the first call and reopened after a close.
 * Never retries a call.
 * Thread safety: none, except for Abort.
 */
class HttpClient
{
public:
  explicit HttpClient(const HttpClientOptions& aOptions);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  /**
   * Sends aRequest and waits for the response, for at most aTimeout in total.
   * Blocks the calling thread.
   */
  HttpOutcome Call(const HttpRequest& aRequest, base::Duration aTimeout);

  /**
   * Closes the connection and ends a call in progress with Cancelled. Later
   * calls also fail. May be called from any thread.
   */
  void Abort();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
