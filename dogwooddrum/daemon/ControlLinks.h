/** \file
 * Defines ControlLinks, the links of an entry or agent to the control members
 * and the choice of the one that leads.
 */
#pragma once

#include "dogwooddrum/protocol/Messages.h"
#include "dogwooddrum/transport/LinkClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace dogwooddrum::daemon {

/** Number of a choice of leader on one link; 0 is none. Rises with each
 * choice. */
using Route = std::uint64_t;

/** Handlers run on network threads and must not block. */
struct ControlLinksEvents
{
  /** There is a new route; what was sent on earlier ones must be resent. */
  std::function<void(Route)> mRoute;
  /** A frame arrived; the route is 0 if the link is not the chosen one. */
  std::function<void(Route, protocol::Frame)> mFrame;
};

/**
 * Keeps a link to every control member open, so that a change of leader needs
 * no new connection. Thread safe.
 */
class ControlLinks
{
public:
  /** aNetwork and aCounters must outlive this object. */
  ControlLinks(transport::Network& aNetwork,
               const std::vector<transport::Address>& aControls,
               const transport::LinkOptions& aOptions,
               ControlLinksEvents aEvents,
               transport::LinkCounters& aCounters);
  /** Closes all links. */
  ~ControlLinks();

  void Start();
  void Stop();
  /** Sends to the chosen member. Returns the route, or 0 if there is none. */
  Route Send(protocol::MessageType aType, std::string_view aPayload);
  /** Returns the current route; 0 if no link is up. */
  Route Current() const;
  /**
   * Tells that the member behind aRoute does not lead. Chooses the leader
   * that it named, or another member; mRoute follows.
   */
  void OnNotLeader(Route aRoute, const protocol::NotLeader& aReply);
  /** Opens links to members that are not known yet. */
  void Learn(const std::vector<std::string>& aAddresses);
  /** Tells that the member behind aRoute answered as the leader. */
  void OnLeader(Route aRoute);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
