/** \file
 * Defines a small HTTP/1.1 client and server with blocking sockets, for the
 * stand-ins of the review.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Numeric IP address and port. */
struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

std::string
ToString(const Address& aAddress);

/** Returns ms on the steady clock. */
std::int64_t
NowMs();

void
SleepMs(std::int64_t aMs);

/** Opens a connection. Returns -1 if that fails within aTimeoutMs. */
int
Connect(const Address& aAddress, std::int64_t aTimeoutMs);

/** Opens a listening socket. Returns -1 if that fails. */
int
Listen(const Address& aAddress);

/** Sends all bytes. Returns false on an error. */
bool
SendAll(int aSocket, const std::string& aBytes);

struct HttpMessage
{
  std::string mStartLine;
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
};

/** Reads one message with a Content-Length, or none if the connection ends or
 * nothing arrives until aDeadlineMs. aBuffer holds bytes between calls. */
std::optional<HttpMessage>
ReadMessage(int aSocket, std::string& aBuffer, std::int64_t aDeadlineMs);

struct HttpAnswer
{
  int mStatus = 0; ///< 0: no answer
  std::string mBody;
};

/** Makes one call on a connection of its own. */
HttpAnswer
Call(const Address& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     std::int64_t aTimeoutMs);

/** Accepts connections and runs a function on a thread for each. */
class SocketServer
{
public:
  using Handler = std::function<void(int aSocket)>;

  SocketServer(const Address& aAddress, Handler aHandler);
  ~SocketServer();
  SocketServer(const SocketServer&) = delete;
  SocketServer& operator=(const SocketServer&) = delete;

  bool IsOpen() const { return mListener >= 0; }

private:
  void Run();

  const Handler mHandler;
  int mListener = -1;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex; ///< guards the members below
  std::set<int> mSockets;
  std::vector<std::thread> mThreads;
  std::thread mAcceptThread;
};

} // namespace review
