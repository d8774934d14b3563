#include "dogwooddrum/daemon/JoinLinks.h"

#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

namespace dogwooddrum::daemon {

JoinLinks::JoinLinks(transport::Network& aNetwork,
                     const transport::LinkOptions& aOptions,
                     transport::LinkCounters& aCounters,
                     base::MemberId aSelf,
                     std::string aSelfAddress)
  : mNetwork(aNetwork)
  , mOptions(aOptions)
  , mCounters(aCounters)
  , mSelf(aSelf)
  , mSelfAddress(std::move(aSelfAddress))
{
}

std::unique_ptr<transport::LinkClient>
JoinLinks::Connect(const transport::Address& aAddress,
                   const std::string& aRequest,
                   const OnMembership& aOnMembership)
{
  transport::LinkEvents events;
  events.mUp = [aRequest](const transport::LinkPtr& aLink) {
    aLink->Send(protocol::MessageType::JoinRequest, aRequest);
  };
  events.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {};
  events.mFrame = [aOnMembership, knownMembers = mKnownMembers](
                    const transport::LinkPtr&, const protocol::Frame& aFrame) {
    if (aFrame.mType != protocol::MessageType::JoinReply) {
      return;
    }
    const auto membership =
      protocol::Decode<coordination::consensus::Membership>(aFrame.mPayload);
    if (!membership) {
      return;
    }
    knownMembers->Add(*membership);
    aOnMembership(*membership);
  };
  auto client = std::make_unique<transport::LinkClient>(
    mNetwork, aAddress, mOptions, events, mCounters);
  client->Start();
  return client;
}

void
JoinLinks::RequestJoin(const std::vector<transport::Address>& aAddresses,
                       const OnMembership& aOnMembership)
{
  const auto request =
    protocol::Encode(protocol::JoinRequest{ mSelf, mSelfAddress });
  std::set<std::string> addresses;
  for (const auto& address : aAddresses) {
    addresses.insert(address.mHost + ":" + std::to_string(address.mPort));
  }
  {
    const std::lock_guard<std::mutex> lock(mKnownMembers->mMutex);
    addresses.insert(mKnownMembers->mAddresses.begin(),
                     mKnownMembers->mAddresses.end());
  }
  addresses.erase(mSelfAddress);
  for (const auto& text : addresses) {
    const auto address = transport::ParseAddress(text);
    if (!address) {
      continue; // the member's address cannot be parsed
    }
    auto& client = mLinks[text];
    if (client) {
      client->Send(protocol::MessageType::JoinRequest, request);
    } else {
      client = Connect(*address, request, aOnMembership);
    }
  }
}

void
JoinLinks::KnownMembers::Add(
  const coordination::consensus::Membership& aMembership)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& member : aMembership.mMembers) {
    mAddresses.insert(member.mAddress);
  }
}

void
JoinLinks::AddKnownMembers(
  const coordination::consensus::Membership& aMembership)
{
  mKnownMembers->Add(aMembership);
}

void
JoinLinks::CloseLinks()
{
  mLinks.clear();
}

void
JoinLinks::Stop()
{
  mLinks.clear();
}

} // namespace dogwooddrum::daemon
