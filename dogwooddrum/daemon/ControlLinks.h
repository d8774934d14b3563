/** \file
 * Defines ControlLinks, which connects an entry or agent to the control members
 * and selects the leader among them.
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

/** Identifies the selection of one link as the link to the leader; 0 is none.
 * Increases with each selection. */
using RouteId = std::uint64_t;

/** Handlers run on network threads and must not block. */
struct ControlLinksEvents
{
  /** A link was selected; messages sent on earlier routes must be resent. */
  std::function<void(RouteId)> mRouteChanged;
  /** A frame arrived; the route is 0 if its link is not the selected one. */
  std::function<void(RouteId, protocol::Frame)> mFrame;
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
  /** Sends to the selected member. Returns the route, or 0 if the message was
   * not sent. */
  RouteId Send(protocol::MessageType aType, std::string_view aPayload);
  /** Returns the current route; 0 if no link is open. */
  RouteId CurrentRoute() const;
  /**
   * Records that the member behind aRoute is not the leader. Selects the
   * leader that it named, or another member, and calls mRouteChanged.
   */
  void OnNotLeader(RouteId aRoute, const protocol::NotLeader& aReply);
  /** Opens links to members whose addresses are new. */
  void AddMembers(const std::vector<std::string>& aAddresses);
  /** Records all members of the group, as the leader names them, and opens
   * links to those whose addresses are new. An empty list has no effect. */
  void SetGroup(const std::vector<std::string>& aAddresses);
  /** Records that the member behind aRoute answered as the leader. */
  void OnLeaderAnswered(RouteId aRoute);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
