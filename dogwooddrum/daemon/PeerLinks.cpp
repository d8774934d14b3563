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
PeerLinks::Send(const coordination::consensus::Message& aMessage)
{
  const auto it = mPeers.find(aMessage.mTo);
  if (it != mPeers.end()) {
    it->second.mClient->Send(protocol::MessageType::Consensus,
                             protocol::Encode(aMessage));
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
}

} // namespace dogwooddrum::daemon
