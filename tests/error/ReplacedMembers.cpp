// Guards against entries and agents that run for long while control members are
// replaced at other addresses: once their list of members was full, they
// ignored every further one and lost the group.
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/transport/LinkServer.h"
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

transport::LinkOptions
MakeOptions(transport::PeerRole aRole)
{
  transport::LinkOptions options;
  options.mSelf.mRole = aRole;
  options.mSelf.mId = 1;
  options.mSelf.mName = "process";
  options.mKey = "0123456789abcdef";
  return options;
}

TEST(ReplacedMembers, AreFoundAfterManyOthersHaveLeft)
{
  constexpr int kMembersThatLeft = 40;
  transport::Network network(1);
  transport::LinkCounters counters;
  transport::LinkEvents events;
  events.mUp = [](const transport::LinkPtr&) {};
  events.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {};
  events.mFrame = [](const transport::LinkPtr&, const protocol::Frame&) {};
  auto member =
    transport::LinkServer::Listen(network,
                                  { "127.0.0.1", 0 },
                                  MakeOptions(transport::PeerRole::Control),
                                  events,
                                  counters,
                                  10);
  ASSERT_TRUE(member);
  daemon::ControlLinksEvents linksEvents;
  linksEvents.mRouteChanged = [](daemon::RouteId) {};
  linksEvents.mFrame = [](daemon::RouteId, const protocol::Frame&) {};
  daemon::ControlLinks links(network,
                             {},
                             MakeOptions(transport::PeerRole::Entry),
                             linksEvents,
                             counters);
  links.Start();
  for (int i = 0; i < kMembersThatLeft; ++i) {
    links.SetGroup({ "127.0.0.1:" + std::to_string(support::FreePort()) });
  }
  links.SetGroup({ "127.0.0.1:" + std::to_string((*member)->Port()) });
  EXPECT_TRUE(support::Eventually([&] { return links.CurrentRoute() != 0; }));
  links.Stop();
  (*member)->Stop();
  network.Stop();
}

} // namespace
} // namespace dogwooddrum::tests
