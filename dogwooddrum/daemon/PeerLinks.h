/** \file
 * Defines PeerLinks, a control member's links to the other members.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/transport/LinkClient.h"

#include <map>
#include <memory>
#include <string>

namespace dogwooddrum::daemon {

/**
 * Keeps one outgoing link to each other member. Messages are sent on these
 * links and received on the links that the other members open. A sender that is
 * not a member here, or whose outgoing link is not open, is answered on the
 * link that it opened: a member that is behind does not know newer ones, but
 * their leader needs its answers to bring it up to date.
 * Thread safety: none; the decision thread owns the object.
 */
class PeerLinks
{
public:
  PeerLinks(transport::Network& aNetwork,
            const transport::LinkOptions& aOptions,
            transport::LinkEvents aEvents,
            transport::LinkCounters& aCounters,
            base::MemberId aSelf);
  /** Opens links to new members, and closes those to removed ones. */
  void Update(const coordination::consensus::Membership& aMembership);
  /** Records that a message from aSender arrived on aLink. */
  void OnReceived(base::MemberId aSender, const transport::LinkPtr& aLink);
  /** Sends aMessage to its receiver. The message is dropped if no link to it is
   * open. */
  void Send(const coordination::consensus::Message& aMessage);
  /** Sends a message to all members whose links are open. */
  void Broadcast(protocol::MessageType aType, const std::string& aPayload);
  /** Returns whether the link to aMember is open. */
  bool IsOpen(base::MemberId aMember) const;
  void Stop();

private:
  struct Peer
  {
    std::string mAddress;
    std::unique_ptr<transport::LinkClient> mClient;
  };

  transport::Network& mNetwork;
  const transport::LinkOptions mOptions;
  const transport::LinkEvents mEvents;
  transport::LinkCounters& mCounters;
  const base::MemberId mSelf;
  std::map<base::MemberId, Peer> mPeers;
  /** Newest link that each sender has opened. */
  std::map<base::MemberId, std::weak_ptr<transport::Link>> mIncoming;
};

} // namespace dogwooddrum::daemon
