/** \file
 * Defines a small HTTP/1.1 client and server for the stand-ins of the review.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/** Returns the steady clock in ms. Thread safe. */
std::int64_t
NowMs();

struct Request
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody;
  std::map<std::string, std::string> mHeaders; ///< names in lower case
};

struct Response
{
  int mStatus = 0; ///< 0: no answer
  std::string mBody;
  std::map<std::string, std::string> mHeaders; ///< names in lower case
};

/** Sends a request on a connection of its own and waits for the answer. Closes
 * the connection after aTimeoutMs. Thread safe. */
Response
Call(const std::string& aIp,
     std::uint16_t aPort,
     const Request& aRequest,
     std::int64_t aTimeoutMs);

/** Serves requests on one address, each connection on a thread of its own. */
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  /** Listens at once. Exits the process with status 2 if it cannot. */
  Server(const std::string& aIp, std::uint16_t aPort, Handler aHandler);
  /** Closes all connections, and waits for their threads. */
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

private:
  void Accept();
  void Serve(int aSocket);

  const Handler mHandler;
  int mListener = -1;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex; ///< guards the members below
  std::list<int> mSockets;
  std::list<std::thread> mThreads;
  std::thread mAcceptThread;
};

} // namespace review
