/** \file
 * Defines HttpServer, an HTTP/1.1 server with bounded requests and
 * connections.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Network.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
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

struct HttpServerOptions
{
  std::uint32_t mMaxHeaderBytes = 16U << 10;
  std::uint64_t mMaxBodyBytes = 2ULL << 20;
  std::size_t mMaxConnections = 1000;
  /** Timeout of an idle kept-alive connection and of each read and write. */
  base::Duration mIdleTimeout = base::Milliseconds(30000);
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
  /** Returns the number of connections refused because of mMaxConnections. */
  std::uint64_t RefusedConnections() const;
  std::uint16_t Port() const;

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
