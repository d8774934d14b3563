/** \file
 * Defines Host, the interface of a daemon's role, and HostContext, the
 * resources that the process passes to the role.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/daemon/Adapters.h"
#include "dogwooddrum/service/Metrics.h"
#include "dogwooddrum/service/Settings.h"
#include "dogwooddrum/transport/HttpServer.h"
#include "dogwooddrum/transport/Link.h"
#include "dogwooddrum/transport/Network.h"

#include <memory>
#include <string>

namespace dogwooddrum::daemon {

/** Settings and resources of the process. Must outlive the host. */
struct HostContext
{
  service::Settings mSettings;
  std::string mKey;         ///< authenticates links
  std::string mOperatorKey; ///< empty: operator requests are refused
  transport::Network* mNetwork = nullptr;
  service::Metrics* mMetrics = nullptr;
  transport::LinkCounters* mCounters = nullptr;
  transport::HttpCounters* mHttpCounters = nullptr;
  const Adapters* mAdapters = nullptr;
};

/**
 * Runs one role. The process calls Start, then BeginDrain on SIGTERM,
 * CloseListeners after the drain delay, and Stop once IsDrained returns true.
 */
class Host
{
public:
  virtual ~Host() = default;
  /** Opens files, listeners and links and starts the threads. A failure ends
   * the process. */
  virtual base::Outcome<bool> Start() = 0;
  /** Returns whether /readyz succeeds while the process serves. Any thread. */
  virtual bool IsReady() = 0;
  /** Updates gauges before /metrics is rendered. Any thread. */
  virtual void UpdateMetrics() = 0;
  /** Handles the role's own HTTP paths. Returns false for unknown paths; the
   * responder is then not called. Called on network threads. */
  virtual bool Handle(transport::ServerRequest& aRequest,
                      const transport::ServerResponder& aResponder) = 0;
  virtual void BeginDrain() = 0;
  virtual void CloseListeners() = 0;
  /** Returns whether all work in progress has ended. */
  virtual bool IsDrained() = 0;
  /** Returns whether the process may end at the shutdown limit although it is
   * not drained. */
  virtual bool MayExitUndrained() = 0;
  /** Returns the number of tasks in progress, for the log. */
  virtual std::size_t TasksInProgress() = 0;
  /** Applies changed settings. Called when the settings file has changed. */
  virtual void Reload(const service::Settings& aSettings) = 0;
  /** Stops the role's threads and closes its links. */
  virtual void Stop() = 0;
};

/** Returns the entry for jobs. */
std::unique_ptr<Host>
MakeJobEntryHost(HostContext& aContext);
std::unique_ptr<Host>
MakeControlHost(HostContext& aContext);
/** Returns the agent for jobs. */
std::unique_ptr<Host>
MakeJobAgentHost(HostContext& aContext);
/** Returns the entry for workloads. Precondition: a frontend address is set. */
std::unique_ptr<Host>
MakeWorkloadEntryHost(HostContext& aContext);
/** Returns the agent for workloads, whose target announces itself over HTTP.
 * Precondition: an announce address is set. */
std::unique_ptr<Host>
MakeWorkloadAgentHost(HostContext& aContext);

/** Returns the options of a server whose callers may be outside the limits. */
transport::HttpServerOptions
MakeHttpOptions(const HostContext& aContext);

/** Returns the text of the counters in the Prometheus format. */
std::string
RenderHttpMetrics(const transport::HttpCounters& aCounters);

/** Returns the link options of this process. */
transport::LinkOptions
MakeLinkOptions(const HostContext& aContext,
                transport::PeerRole aRole,
                std::uint64_t aId);

/** Converts an address of the settings to one of the transport package. */
transport::Address
ToTransportAddress(const service::Address& aAddress);

/** Returns the metrics of all links in the Prometheus text format. */
std::string
RenderLinkMetrics(const transport::LinkCounters& aCounters);

} // namespace dogwooddrum::daemon
