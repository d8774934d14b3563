#include "dogwooddrum/daemon/PeerLinks.h"

#include "dogwooddrum/protocol/Codec.h"

#include <algorithm>

namespace dogwooddrum::daemon {

PeerLinks::PeerLinks(transport::Network& aNetwork,
                     const transport::LinkOptions& aOptions,
                     transport::LinkEvents aEvents,
                     transport::LinkCounters& aCounters,
                     base::MemberId aSelf)
  : mNetwork(aNetwork)
  , mOptions(aOptions)
  , mEvents(std::move(aEvents))
  , mCounters(aCounters)
  , mSelf(aSelf)
{
}

void
PeerLinks::Update(const coordination::consensus::Membership& aMembership)
{
  std::map<base::MemberId, Peer> peers;
  for (const auto& member : aMembership.mMembers) {
    if (member.mId == mSelf) {
      continue;
    }
    const auto it = mPeers.find(member.mId);
    if (it != mPeers.end() && it->second.mAddress == member.mAddress) {
      peers.emplace(member.mId, std::move(it->second));
      mPeers.erase(it);
      continue;
    }
    const auto address = transport::ParseAddress(member.mAddress);
    if (!address) {
      continue;
    }
    Peer peer;
    peer.mAddress = member.mAddress;
    peer.mClient = std::make_unique<transport::LinkClient>(
      mNetwork, *address, mOptions, mEvents, mCounters);
    peer.mClient->Start();
    peers.emplace(member.mId, std::move(peer));
  }
  mPeers = std::move(peers);
}

void
PeerLinks::OnReceived(base::MemberId aSender, const transport::LinkPtr& aLink)
{
  if (mIncoming.count(aSender) == 0) {
    for (auto it = mIncoming.begin(); it != mIncoming.end();) {
      it = it->second.expired() ? mIncoming.erase(it) : std::next(it);
    }
  }
  mIncoming[aSender] = aLink;
}

void
PeerLinks::Send(const coordination::consensus::Message& aMessage)
{
  const auto bytes = protocol::Encode(aMessage);
  const auto peer = mPeers.find(aMessage.mTo);
  if (peer != mPeers.end() &&
      peer->second.mClient->Send(protocol::MessageType::Consensus, bytes)) {
    return;
  }
  const auto incoming = mIncoming.find(aMessage.mTo);
  if (incoming == mIncoming.end()) {
    return;
  }
  if (const auto link = incoming->second.lock()) {
    link->Send(protocol::MessageType::Consensus, bytes);
  }
}

void
PeerLinks::Broadcast(protocol::MessageType aType, const std::string& aPayload)
{
  for (const auto& [id, peer] : mPeers) {
    peer.mClient->Send(aType, aPayload);
  }
}

bool
PeerLinks::IsOpen(base::MemberId aMember) const
{
  const auto it = mPeers.find(aMember);
  return it != mPeers.end() && it->second.mClient->IsUp();
}

void
PeerLinks::Stop()
{
  mPeers.clear();
  mIncoming.clear();
}

} // namespace dogwooddrum::daemon
