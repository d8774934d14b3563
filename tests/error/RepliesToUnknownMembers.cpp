// Guards against a member that drops its answers to a leader that is not in its
// own, older membership: the leader waits for them before it sends the rest of
// the log, so that the member never becomes a voter.
#include "dogwooddrum/daemon/PeerLinks.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/transport/LinkServer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace dogwooddrum::tests {
namespace {

constexpr std::uint64_t kMember = 1;
constexpr std::uint64_t kLeader = 2;

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

coordination::consensus::Message
MakeReply()
{
  coordination::consensus::Message message;
  message.mFrom = base::MemberId(kMember);
  message.mTo = base::MemberId(kLeader);
  message.mBody = coordination::consensus::AppendReply{};
  return message;
}

TEST(RepliesToUnknownMembers, GoOverTheLinkOfTheSender)
{
  transport::Network network(1);
  transport::LinkCounters counters;
  std::mutex mutex;
  transport::LinkPtr accepted;
  transport::LinkEvents memberEvents;
  memberEvents.mUp = [&](const transport::LinkPtr& aLink) {
    const std::lock_guard<std::mutex> lock(mutex);
    accepted = aLink;
  };
  memberEvents.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {
  };
  memberEvents.mFrame = [](const transport::LinkPtr&, const protocol::Frame&) {
  };
  auto server = transport::LinkServer::Listen(network,
                                              { "127.0.0.1", 0 },
                                              MakeOptions(kMember),
                                              memberEvents,
                                              counters,
                                              10);
  ASSERT_TRUE(server);
  std::atomic<int> replies{ 0 };
  transport::LinkEvents leaderEvents = memberEvents;
  leaderEvents.mUp = [](const transport::LinkPtr&) {};
  leaderEvents.mFrame = [&](const transport::LinkPtr&,
                            const protocol::Frame& aFrame) {
    replies += aFrame.mType == protocol::MessageType::Consensus ? 1 : 0;
  };
  transport::LinkClient leader(network,
                               { "127.0.0.1", (*server)->Port() },
                               MakeOptions(kLeader),
                               leaderEvents,
                               counters);
  leader.Start();
  daemon::PeerLinks links(network,
                          MakeOptions(kMember),
                          memberEvents,
                          counters,
                          base::MemberId(kMember));
  for (int i = 0; i < 100 && replies == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::lock_guard<std::mutex> lock(mutex);
    if (accepted) {
      links.OnReceived(base::MemberId(kLeader), accepted);
      links.Send(MakeReply());
    }
  }
  EXPECT_GT(replies, 0);
  leader.Stop();
  links.Stop();
  (*server)->Stop();
  network.Stop();
}

} // namespace
} // namespace dogwooddrum::tests
