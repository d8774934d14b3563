/** \file
 * Defines AsyncHttpClient, an asynchronous HTTP/1.1 client that reports whether
 * a request may have been sent.
 */
#pragma once

#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Network.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dogwooddrum::transport {

struct HttpCall
{
  Address mAddress;
  std::string mMethod = "POST"; ///< GET, POST or DELETE
  std::string mTarget = "/";
  std::string mBody;
  base::Duration mConnectTimeout = base::Milliseconds(1000);
  base::Duration mAnswerTimeout{}; ///< after the request is sent; 0: none
  std::uint64_t mMaxAnswerBytes = 8ULL << 20;
};

struct HttpResult
{
  base::Reason mReason = base::Reason::None; ///< None: there is an answer
  unsigned mStatus = 0;
  std::string mBody;
  /** Whether any byte of the request may have reached the server. */
  bool mDispatched = false;
  std::string mMessage;
};

/** Sends each request on its own connection. Thread safe. */
class AsyncHttpClient
{
public:
  explicit AsyncHttpClient(Network& aNetwork);
  /** Cancels all calls; their callbacks do not run. */
  ~AsyncHttpClient();

  /**
   * Starts a call and returns its id. aOnDone runs once on a network thread.
   * Each call uses a new connection: on a reused one, an idle close by the
   * server would make it unknown whether the request was received. aOnSending,
   * if set, runs before the first byte is sent.
   */
  std::uint64_t Start(const HttpCall& aCall,
                      std::function<void()> aOnSending,
                      std::function<void(HttpResult)> aOnDone);
  /** Closes the call's connection; aOnDone runs with Cancelled. */
  void Cancel(std::uint64_t aCall);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
