/** \file
 * Defines TcpProxy, which forwards connections on loopback and can cut,
 * silence or delay them, also in one direction.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace dogwooddrum::support {

/** Thread safe. */
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
  /** Closes all connections; new ones work. */
  void Cut() { mCut = true; }
  /** Existing connections stay open and forward nothing; new ones work. */
  void Silence() { mSilence = true; }
  /** While set, new connections are accepted and forward nothing. */
  void SilenceNew(bool aSilent) { mSilenceNew = aSilent; }
  /** While set, what clients send waits in the proxy. */
  void HoldRequests(bool aHold) { mHoldRequests = aHold; }
  /** While set, what the target sends waits in the proxy. */
  void HoldAnswers(bool aHold) { mHoldAnswers = aHold; }

private:
  struct Pair
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
  std::vector<Pair> mPairs; ///< used by the thread only
  std::atomic<bool> mCut{ false };
  std::atomic<bool> mSilence{ false };
  std::atomic<bool> mSilenceNew{ false };
  std::atomic<bool> mHoldRequests{ false };
  std::atomic<bool> mHoldAnswers{ false };
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

} // namespace dogwooddrum::support
