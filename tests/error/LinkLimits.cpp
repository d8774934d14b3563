// Guards against unbounded memory growth in a sender whose peer reads slowly.
#include "dogwooddrum/transport/LinkClient.h"
#include "dogwooddrum/transport/LinkServer.h"
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <thread>

namespace dogwooddrum::transport {

TEST(LinkLimits, FullSendQueueClosesTheLink)
{
  LinkCounters serverCounters;
  LinkCounters clientCounters;
  Network serverNetwork(1);
  Network clientNetwork(1);
  LinkEvents events;
  events.mUp = [](const LinkPtr&) {};
  events.mClosed = [](const LinkPtr&, CloseReason) {};
  events.mFrame = [](const LinkPtr&, const protocol::Frame&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  };
  LinkOptions options;
  options.mKey = "key-for-the-link-limits-test";
  options.mMaxQueueBytes = 1U << 20;
  const auto server = LinkServer::Listen(
    serverNetwork, { "127.0.0.1", 0 }, options, events, serverCounters, 10);
  ASSERT_TRUE(server) << server.LastFailure().mMessage;
  LinkClient client(clientNetwork,
                    { "127.0.0.1", (*server)->Port() },
                    options,
                    events,
                    clientCounters);
  client.Start();
  ASSERT_TRUE(support::Eventually([&] { return client.IsUp(); }));
  const std::string payload(512U << 10, 'x');
  for (int i = 0; i < 64; ++i) {
    client.Send(protocol::MessageType::AnswerChunk, payload);
  }
  EXPECT_TRUE(support::Eventually([&] {
    return clientCounters.mClosed.at(
             static_cast<std::size_t>(CloseReason::QueueFull)) > 0;
  }));
  EXPECT_FALSE(client.Send(protocol::MessageType::AnswerChunk,
                           std::string(2U << 20, 'x')));
  client.Stop();
  (*server)->Stop();
  clientNetwork.Stop();
  serverNetwork.Stop();
}

} // namespace dogwooddrum::transport
