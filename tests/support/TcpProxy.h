/** \file
 * Defines TcpProxy, which forwards connections on loopback and can close them,
 * stop forwarding, or hold the data of one direction.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace dogwooddrum::support {

/** Forwards TCP connections on its own thread. Thread safe. */
class TcpProxy
{
public:
  /** Listens on a free port and forwards to port aTarget of the loopback
   * address aIp. */
  explicit TcpProxy(std::uint16_t aTarget,
                    const std::string& aIp = "127.0.0.1");
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  std::uint16_t Port() const { return mPort; }
  /** Closes all connections; new ones are forwarded. */
  void Cut() { mCutRequested = true; }
  /** Stops forwarding on existing connections, which stay open; new ones are
   * forwarded. */
  void Silence() { mSilenceRequested = true; }
  /** While set, new connections are accepted but not forwarded. */
  void SilenceNew(bool aSilent) { mSilenceNew = aSilent; }
  /** While set, data from clients is not forwarded. */
  void HoldRequests(bool aHold) { mHoldRequests = aHold; }
  /** While set, data from the target is not forwarded. */
  void HoldAnswers(bool aHold) { mHoldAnswers = aHold; }

private:
  struct Connection
  {
    int mClient = -1;
    int mServer = -1;
    bool mSilent = false;
  };
  void Run();
  void Accept();

  const std::uint16_t mTarget;
  const std::string mTargetIp;
  std::uint16_t mPort = 0;
  int mListener = -1;
  std::vector<Connection> mConnections; ///< used by the thread only
  std::atomic<bool> mCutRequested{ false };
  std::atomic<bool> mSilenceRequested{ false };
  std::atomic<bool> mSilenceNew{ false };
  std::atomic<bool> mHoldRequests{ false };
  std::atomic<bool> mHoldAnswers{ false };
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

} // namespace dogwooddrum::support
