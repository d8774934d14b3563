// Guards against a process that sends its join request only to the seeds: a
// leader that is not a seed never received it, and the group stayed one member
// short.
#include "dogwooddrum/daemon/JoinLinks.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"
#include "dogwooddrum/transport/LinkServer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace dogwooddrum::tests {
namespace {

transport::LinkOptions
MakeOptions(std::uint64_t aId)
{
  transport::LinkOptions options;
  options.mSelf.mRole = transport::PeerRole::Control;
  options.mSelf.mId = aId;
  options.mSelf.mName = "member-" + std::to_string(aId);
  options.mKey = "0123456789abcdef";
  return options;
}

std::string
AddressOf(const transport::LinkServer& aServer)
{
  return "127.0.0.1:" + std::to_string(aServer.Port());
}

TEST(JoinThroughFollower, SendsRequestToLeaderNamedBySeed)
{
  transport::Network network(1);
  transport::LinkCounters counters;
  std::atomic<int> requestsAtLeader{ 0 };
  transport::LinkEvents leaderEvents;
  leaderEvents.mUp = [](const transport::LinkPtr&) {};
  leaderEvents.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {
  };
  leaderEvents.mFrame = [&](const transport::LinkPtr&,
                            const protocol::Frame& aFrame) {
    requestsAtLeader +=
      aFrame.mType == protocol::MessageType::JoinRequest ? 1 : 0;
  };
  auto leader = transport::LinkServer::Listen(
    network, { "127.0.0.1", 0 }, MakeOptions(1), leaderEvents, counters, 10);
  ASSERT_TRUE(leader);

  coordination::consensus::Membership membership;
  membership.mMembers.push_back(
    { base::MemberId(1), AddressOf(**leader), true });
  transport::LinkEvents seedEvents = leaderEvents;
  seedEvents.mFrame = [&](const transport::LinkPtr& aLink,
                          const protocol::Frame&) {
    aLink->Send(protocol::MessageType::JoinReply, protocol::Encode(membership));
  };
  auto seed = transport::LinkServer::Listen(
    network, { "127.0.0.1", 0 }, MakeOptions(2), seedEvents, counters, 10);
  ASSERT_TRUE(seed);

  std::atomic<int> requestsSent{ 0 };
  daemon::JoinLinks links(
    network, MakeOptions(3), counters, base::MemberId(3), "127.0.0.1:1", [&] {
      ++requestsSent;
    });
  for (int i = 0; i < 100 && requestsAtLeader == 0; ++i) {
    links.RequestJoin({ { "127.0.0.1", (*seed)->Port() } },
                      [](const coordination::consensus::Membership&) {});
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  EXPECT_GT(requestsAtLeader, 0);
  EXPECT_GT(requestsSent, 1);
  // The log names whom the process asks, and who has answered.
  const auto status = links.Status();
  ASSERT_EQ(status.size(), 2U);
  for (const auto& link : status) {
    const bool isSeed = link.mAddress == AddressOf(**seed);
    EXPECT_TRUE(link.mIsOpen) << link.mAddress;
    EXPECT_EQ(link.mAnsweredAt.has_value(), isSeed) << link.mAddress;
  }
  links.Stop();
  (*seed)->Stop();
  (*leader)->Stop();
  network.Stop();
}

} // namespace
} // namespace dogwooddrum::tests
