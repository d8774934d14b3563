/** \file
 * Defines HttpServer, an HTTP/1.1 server with bounded requests and
 * connections.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Network.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwooddrum::transport {

struct ServerRequest
{
  std::string mMethod;                       ///< upper case
  std::string mPath;                         ///< without the query
  std::map<std::string, std::string> mQuery; ///< percent-decoded
  std::string mAuthorization;                ///< value of the header, or empty
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
  /** Counts the request's bytes in its server's limit until the last copy is
   * gone. A handler that drops the body early may drop this too. */
  std::shared_ptr<void> mHeldBytes;
};

struct ServerResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody; ///< sent with its Content-Length
};

/** Sends the response to one request. Call once, from any thread. */
using ServerResponder = std::function<void(ServerResponse)>;
/** Handles one request on a network thread. Must not block. */
using ServerHandler = std::function<void(ServerRequest, ServerResponder)>;

/** Why a server refused a request or closed a connection. */
enum class HttpRefusal : std::uint8_t
{
  TooManyConnections, ///< a new connection, while all others have requests
  ConnectionShed,     ///< a waiting connection, for a new one
  MemoryShed,         ///< a request that was read, for the memory of all
  HeaderTooLarge,     ///< header, trailers or number of fields
  BodyTooLarge,
  FramingTooLarge, ///< chunks that are much larger than what they hold
  Malformed,
  TimedOut,
  // Number of reasons; must stay last.
  Count,
};

constexpr std::size_t kHttpRefusalCount =
  static_cast<std::size_t>(HttpRefusal::Count);

/** Returns the name of the reason in metrics. Thread safe. */
std::string_view
ToString(HttpRefusal aReason);

/** Refusals of all servers of a process. */
struct HttpCounters
{
  std::array<std::atomic<std::uint64_t>, kHttpRefusalCount> mRefused{};
};

struct HttpServerOptions
{
  std::uint32_t mMaxHeaderBytes = 16U << 10; ///< also of the trailers
  std::uint32_t mMaxFields = 256; ///< of a header, and parameters of a query
  std::uint64_t mMaxBodyBytes = 2ULL << 20;
  /** Most bytes of all requests that are read or handled. */
  std::uint64_t mMaxRequestBytes = 16ULL << 20;
  std::size_t mMaxConnections = 1000;
  /** Timeout of an idle kept-alive connection and of each response. */
  base::Duration mIdleTimeout = base::Milliseconds(30000);
  /** From the first byte of a request to the end of its header. */
  base::Duration mHeaderTimeout = base::Milliseconds(10000);
  /** From the first byte of a request to its last. */
  base::Duration mRequestTimeout = base::Milliseconds(30000);
  HttpCounters* mCounters = nullptr; ///< must outlive the network; optional
};

/** Serves HTTP on one address. Thread safe. */
class HttpServer
{
public:
  /** Listens on aAddress; port 0 selects a free port. Fails with LinkClosed and
   * a message that names the address. */
  static base::Outcome<std::unique_ptr<HttpServer>> Listen(
    Network& aNetwork,
    const Address& aAddress,
    const HttpServerOptions& aOptions,
    ServerHandler aHandler);

  /** Stops listening and closes all connections. */
  ~HttpServer();
  /**
   * Stops listening and closes idle connections. Requests in progress are
   * answered with "Connection: close".
   */
  void Drain();
  /** Returns the number of requests without a completely sent response. */
  std::size_t RequestsInProgress() const;
  std::uint16_t Port() const;

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
