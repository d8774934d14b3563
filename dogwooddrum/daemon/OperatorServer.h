/** \file
 * Defines OperatorServer, the HTTP server of a control member through which
 * operators read and replace the catalog and evacuate availability zones.
 */
#pragma once

#include "dogwooddrum/daemon/Adapters.h"
#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/transport/Network.h"

#include <map>
#include <memory>
#include <vector>

namespace dogwooddrum::daemon {

/** Session id for the operator calls of this process; no link has this id. */
constexpr std::uint64_t kOperatorSession = ~0ULL;

/** Thread safety: call Listen and Stop from one thread; the other members
 * belong to the decision thread unless noted. */
class OperatorServer
{
public:
  /** All arguments must outlive the object. */
  OperatorServer(transport::Network& aNetwork,
                 const OperatorProtocol& aProtocol,
                 EventLoop& aLoop);
  /** Starts the server; calls are passed to aCore on the decision thread. */
  base::Outcome<bool> Listen(const transport::Address& aAddress,
                             transport::HttpServerOptions aOptions,
                             ControlCore& aCore);
  /** Passes later calls to aCore. */
  void SetCore(ControlCore& aCore);
  /** Handles a request that has arrived elsewhere, in the format of aProtocol,
   * which must outlive the object. aPort is where the same interface of the
   * leader listens. Precondition: SetCore or Listen. Thread safe. */
  void Handle(const transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder,
              const OperatorProtocol& aProtocol,
              std::uint16_t aPort);
  /** Answers the call that waits for aReply. */
  void OnReply(const protocol::WorkloadReply& aReply);
  /** Answers all waiting calls with a response that leaves their outcome
   * open. */
  void OnLeadershipLost();
  /** Answers calls that have timed out. */
  void Tick(base::Time aNow);
  /** Stops accepting connections. */
  void Drain();
  /** Returns the number of calls in progress. Thread safe. */
  std::size_t CallsInProgress() const;
  void Stop();

private:
  struct Call
  {
    transport::ServerResponder mResponder;
    base::Time mReceivedAt;
    const char* mName = "read";        ///< for the log
    protocol::CatalogVersion mVersion; ///< version in the call; 0: none
    const OperatorProtocol* mProtocol = nullptr;
    std::uint16_t mPort = 0;
  };

  void ForwardToCore(const transport::ServerRequest& aRequest,
                     protocol::WorkloadRequestBody aBody,
                     Call aCall);
  /** Logs the answer with aFields and sends it. */
  static void Answer(const Call& aCall,
                     transport::ServerResponse aResponse,
                     const char* aReason,
                     const std::vector<service::LogField>& aFields = {});

  transport::Network& mNetwork;
  const OperatorProtocol& mProtocol;
  EventLoop& mLoop;
  ControlCore* mCore = nullptr;
  std::unique_ptr<transport::HttpServer> mServer;
  std::map<base::RequestId, Call> mCalls;
  std::uint64_t mLastCallId = 0;
};

} // namespace dogwooddrum::daemon
