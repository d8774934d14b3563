/** \file
 * Defines FakeTarget, a target of the platform on loopback that runs tasks as
 * timers and records every start that violates an invariant.
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

/** Records of runs that all targets of a soak test share. */
struct SharedRunRecord
{
  std::mutex mMutex;
  std::map<std::string, std::string> mRunning; ///< target by task
  std::set<std::string> mAcknowledged;         ///< done, end acknowledged
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
             SharedRunRecord& aRecord,
             std::uint64_t aSeed);

  /** Returns the path and body of the next heartbeat. */
  std::pair<std::string, std::string> Heartbeat();
  /** Ends due runs; must be called periodically, since leases also end while
   * no call arrives. */
  void Tick();
  /** Ends all runs and starts a new life under the same name. Closes its
   * connections; data in flight on them is lost. */
  void Restart();
  /** Returns the proxy through which the agent calls. Thread safe. */
  support::TcpProxy& Proxy() { return mProxy; }

private:
  struct Run
  {
    std::uint32_t mNumber = 0;
    std::int64_t mEndsMs = 0;
    std::string mResult;
  };

  transport::ServerResponse Handle(const transport::ServerRequest& aRequest);
  unsigned HandleStart(const nlohmann::json& aBody, nlohmann::json& aAnswer);
  void HandleStop(const nlohmann::json& aBody);
  void HandleHold(const nlohmann::json& aBody, nlohmann::json& aAnswer);
  /** Ends runs whose time is over, or all runs if the lease has ended. */
  void EndDueRuns();
  void EndRun(const std::string& aTask, const std::string& aResult);

  const transport::Address mAddress;
  support::TcpProxy mProxy;
  const std::string mName;
  SharedRunRecord& mRecord;
  std::mutex mMutex; ///< guards the members below
  std::mt19937_64 mRandom;
  std::int64_t mStartMs = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint32_t> mHighestEndedRun;
  nlohmann::json mEnded = nlohmann::json::array();
  std::uint64_t mLastEnd = 0;
  std::unique_ptr<transport::HttpServer> mServer;
};

} // namespace dogwooddrum::tests
