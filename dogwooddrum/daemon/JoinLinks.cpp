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

void
JoinLinks::Ask(const std::vector<transport::Address>& aAddresses,
               const OnMembership& aOnMembership)
{
  const auto request =
    protocol::Encode(protocol::JoinRequest{ mSelf, mSelfAddress });
  for (const auto& address : aAddresses) {
    const std::string text =
      address.mHost + ":" + std::to_string(address.mPort);
    if (text == mSelfAddress) {
      continue;
    }
    auto& client = mLinks[text];
    if (!client) {
      transport::LinkEvents events;
      events.mUp = [request](const transport::LinkPtr& aLink) {
        aLink->Send(protocol::MessageType::JoinRequest, request);
      };
      events.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {};
      events.mFrame = [aOnMembership](const transport::LinkPtr&,
                                      const protocol::Frame& aFrame) {
        if (aFrame.mType != protocol::MessageType::JoinReply) {
          return;
        }
        const auto membership =
          protocol::Decode<coordination::consensus::Membership>(
            aFrame.mPayload);
        if (membership) {
          aOnMembership(*membership);
        }
      };
      client = std::make_unique<transport::LinkClient>(
        mNetwork, address, mOptions, events, mCounters);
      client->Start();
    }
    client->Send(protocol::MessageType::JoinRequest, request);
  }
}

void
JoinLinks::Rest()
{
  mLinks.clear();
}

void
JoinLinks::Stop()
{
  mLinks.clear();
}

} // namespace dogwooddrum::daemon
