/** \file
 * Defines OperatorPort, the HTTP server of a control member at which
 * operators read and replace the catalog.
 */
#pragma once

#include "dogwooddrum/daemon/Adapters.h"
#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/transport/Network.h"

#include <map>
#include <memory>

namespace dogwooddrum::daemon {

/** Session of the operators of this process; links never have this number. */
constexpr std::uint64_t kOperatorSession = ~0ULL;

/** Thread safety: Listen and Stop from one thread; the others belong to the
 * decision thread. */
class OperatorPort
{
public:
  /** All arguments must outlive the object. */
  OperatorPort(transport::Network& aNetwork,
               const OperatorProtocol& aProtocol,
               EventLoop& aLoop);
  /** Listens; calls reach aCore on the decision thread. */
  base::Outcome<bool> Listen(const transport::Address& aAddress,
                             ControlCore& aCore);
  /** Answers the call that waits for aReply. */
  void OnReply(const protocol::WorkloadReply& aReply);
  /** Leaves the outcome of all waiting calls open. */
  void OnLeadershipLost();
  /** Ends calls that have waited too long. */
  void Tick(base::Time aNow);
  /** Stops accepting connections. */
  void Drain();
  /** Returns the number of calls in progress. Thread safe. */
  std::size_t InProgress() const;
  void Stop();

private:
  struct Call
  {
    transport::ServerResponder mRespond;
    base::Time mReceived;
    bool mReplaces = false;
    protocol::CatalogVersion mVersion; ///< that the operator named; 0: none
  };

  void Handle(const transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder);
  void Pass(const transport::ServerRequest& aRequest,
            protocol::WorkloadRequestBody aBody,
            const transport::ServerResponder& aResponder);
  /** Logs the answer and sends it. */
  static void Answer(const Call& aCall,
                     transport::ServerResponse aResponse,
                     const char* aReason);

  transport::Network& mNetwork;
  const OperatorProtocol& mProtocol;
  EventLoop& mLoop;
  ControlCore* mCore = nullptr;
  std::uint16_t mPort = 0; ///< the same on all members
  std::unique_ptr<transport::HttpServer> mServer;
  std::map<base::RequestId, Call> mCalls;
  std::uint64_t mLastCall = 0;
};

} // namespace dogwooddrum::daemon
