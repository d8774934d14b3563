/** \file
 * Defines FakeTarget, a target of the platform on loopback that runs tasks as
 * timers and records every promise that a start breaks.
 */
#pragma once

#include "dogwooddrum/transport/HttpServer.h"
#include "tests/support/TcpProxy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

/** What all targets of a soak share: which tasks run and which are done. */
struct TargetLedger
{
  std::mutex mMutex;
  std::map<std::string, std::string> mRunning; ///< task to target
  std::set<std::string> mNoted; ///< done, and the end was acknowledged
  std::map<std::string, int> mStarts;
  std::vector<std::string> mViolations;
};

/** Thread safe. */
class FakeTarget
{
public:
  FakeTarget(transport::Network& aNetwork,
             const transport::Address& aAddress,
             std::string aName,
             TargetLedger& aLedger,
             std::uint64_t aSeed);

  /** Returns the path and body of the next heartbeat. */
  std::pair<std::string, std::string> Heartbeat();
  /** Ends what is due, also while nobody calls. */
  void Tick();
  /** Ends everything and begins a new life under the same name. Its
   * connections end with the earlier life, and what they carried is lost. */
  void Restart();
  /** Returns the proxy through which the agent calls. Thread safe. */
  support::TcpProxy& Proxy() { return mProxy; }

private:
  struct Run
  {
    std::uint32_t mNumber = 0;
    std::int64_t mEndsMs = 0;
    std::string mHow;
  };

  transport::ServerResponse Handle(const transport::ServerRequest& aRequest);
  unsigned Start(const nlohmann::json& aBody, nlohmann::json& aAnswer);
  void Stop(const nlohmann::json& aBody);
  void Hold(const nlohmann::json& aBody, nlohmann::json& aAnswer);
  /** Ends what is due, and everything once the lease is over. */
  void Advance();
  void End(const std::string& aTask, const std::string& aHow);

  const transport::Address mAddress;
  support::TcpProxy mProxy;
  const std::string mName;
  TargetLedger& mLedger;
  std::mutex mMutex; ///< guards the members below
  std::mt19937_64 mRandom;
  std::int64_t mStartMs = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint32_t> mClosed;
  nlohmann::json mEnded = nlohmann::json::array();
  std::uint64_t mLastEnd = 0;
  std::unique_ptr<transport::HttpServer> mServer;
};

} // namespace dogwooddrum::tests
