// Measures how long an accepted configuration change takes to reach all agents.
// The agents run in this process, the three control members in their own.
// Usage: Spread AGENTS CHANGES
#include "dogwooddrum/coordination/agent/Agent.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/protocol/Codec.h"
#include "tests/support/ProcessCluster.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace {

using namespace dogwooddrum;
using protocol::MessageType;
using support::Eventually;
using support::ProcessCluster;

/** One agent in this process. Thread safety: mAgent is used only on the event
 * loop; mVersion may be read on any thread. */
struct LocalAgent
{
  explicit LocalAgent(const coordination::agent::AgentOptions& aOptions)
    : mAgent(aOptions)
  {
  }
  coordination::agent::Agent mAgent;
  std::unique_ptr<daemon::ControlLinks> mLinks;
  std::atomic<std::uint64_t> mVersion{ 0 };
};

/** All agents of this process, on one event loop. */
class LocalAgents
{
public:
  LocalAgents(const ProcessCluster& aCluster, int aAgents)
    : mNetwork(2)
    , mLoop(base::Milliseconds(20),
            { [this](base::Time aNow) {
               for (auto& agent : mAgents) {
                 agent->mAgent.Tick(aNow);
               }
             },
              [this] { ProcessOutput(); } })
  {
    transport::LinkOptions link;
    link.mKey = "link-key-for-tests-0123456789";
    link.mSelf.mRole = transport::PeerRole::Agent;
    std::vector<transport::Address> controls;
    for (int i = 1; i <= 3; ++i) {
      controls.push_back({ "127.0.0.1", aCluster.LinkPort(i) });
    }
    for (int i = 0; i < aAgents; ++i) {
      coordination::agent::AgentOptions options;
      options.mIncarnation = base::Incarnation(1000 + i);
      options.mWorkerInfo.mWorker =
        base::WorkerId("worker-" + std::to_string(i));
      options.mWorkerInfo.mRack = base::RackId("rack-" + std::to_string(i / 3));
      options.mWorkerInfo.mZone = base::ZoneId("zone-1");
      options.mWorkerInfo.mAccelerators = 8;
      options.mWorkerInfo.mSlots = 8;
      mAgents.push_back(std::make_unique<LocalAgent>(options));
      link.mSelf.mId = options.mIncarnation.Value();
      link.mSelf.mName = options.mWorkerInfo.mWorker.Value();
      Connect(*mAgents.back(), controls, link);
    }
    mLoop.Start();
    for (auto& agent : mAgents) {
      agent->mLinks->Start();
    }
  }

  ~LocalAgents()
  {
    for (auto& agent : mAgents) {
      agent->mLinks->Stop();
    }
    mNetwork.Stop();
    mLoop.Stop();
  }

  /** Returns whether all agents have configuration aVersion or a later one. */
  bool AllHave(std::uint64_t aVersion) const
  {
    return std::all_of(
      mAgents.begin(), mAgents.end(), [aVersion](const auto& aAgent) {
        return aAgent->mVersion >= aVersion;
      });
  }
  /** Returns how often an agent went back to an earlier version. */
  int Reversals() const { return mReversals; }

private:
  void Connect(LocalAgent& aAgent,
               const std::vector<transport::Address>& aControls,
               const transport::LinkOptions& aLink)
  {
    daemon::ControlLinksEvents events;
    events.mRouteChanged = [this, &aAgent](daemon::RouteId) {
      mLoop.Post([&aAgent] { aAgent.mAgent.OnLinkUp(daemon::Now()); });
    };
    events.mFrame = [this, &aAgent](daemon::RouteId aRoute,
                                    const protocol::Frame& aFrame) {
      if (aFrame.mType == MessageType::HeartbeatReply) {
        auto reply =
          protocol::Decode<protocol::HeartbeatReply>(aFrame.mPayload);
        if (reply) {
          aAgent.mLinks->OnLeaderAnswered(aRoute);
          mLoop.Post([&aAgent, received = std::move(*reply)] {
            aAgent.mAgent.OnHeartbeatReply(received, daemon::Now());
          });
        }
      } else if (aFrame.mType == MessageType::NotLeader) {
        auto reply = protocol::Decode<protocol::NotLeader>(aFrame.mPayload);
        if (reply) {
          aAgent.mLinks->OnNotLeader(aRoute, *reply);
        }
      }
    };
    aAgent.mLinks = std::make_unique<daemon::ControlLinks>(
      mNetwork, aControls, aLink, events, mCounters);
  }

  /** Sends the agents' heartbeats and records their versions. */
  void ProcessOutput()
  {
    for (auto& agent : mAgents) {
      for (const auto& message : agent->mAgent.TakeOutput().mMessages) {
        if (const auto* heartbeat =
              std::get_if<protocol::AgentHeartbeat>(&message)) {
          agent->mLinks->Send(MessageType::AgentHeartbeat,
                              protocol::Encode(*heartbeat));
        }
      }
      const auto version = agent->mAgent.Version().Value();
      if (version < agent->mVersion) {
        ++mReversals;
      }
      agent->mVersion = version;
    }
  }

  transport::LinkCounters mCounters;
  transport::Network mNetwork;
  std::vector<std::unique_ptr<LocalAgent>> mAgents;
  std::atomic<int> mReversals{ 0 };
  daemon::EventLoop mLoop;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const int agents = aCount > 1 ? std::atoi(aArguments[1]) : 300;
  const int changes = aCount > 2 ? std::atoi(aArguments[2]) : 20;
  support::ProcessClusterOptions options;
  options.mAgents = 0;
  ProcessCluster cluster(options);
  cluster.StartAll();
  if (!cluster.WaitReady()) {
    std::fprintf(stderr, "Spread: the cluster is not ready after 30 s\n");
    return 1;
  }
  LocalAgents localAgents(cluster, agents);
  if (!Eventually([&] { return localAgents.AllHave(2); })) {
    std::fprintf(stderr, "Spread: the agents are not connected after 30 s\n");
    return 1;
  }
  std::vector<double> times;
  std::printf("change  seconds\n");
  for (int i = 0; i < changes; ++i) {
    const auto version = static_cast<std::uint64_t>(i) + 2;
    const auto result =
      cluster.Call("entry-1",
                   "POST",
                   "/v1/configuration",
                   R"({"change_id":"spread-)" + std::to_string(i) +
                     R"(","base_version":)" + std::to_string(version) +
                     R"(,"change":{"profile":{"name":"std","priority":)" +
                     std::to_string(i) + "}}}");
    const auto begin = std::chrono::steady_clock::now();
    if (!result || result->mStatus != 200) {
      std::fprintf(stderr,
                   "Spread: change %d was refused: %s\n",
                   i,
                   result ? result->mBody.c_str()
                          : result.LastFailure().mMessage.c_str());
      return 1;
    }
    Eventually([&] { return localAgents.AllHave(version + 1); });
    const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - begin;
    times.push_back(time.count());
    std::printf("%6d  %7.3f\n", i + 1, time.count());
  }
  std::sort(times.begin(), times.end());
  std::printf("spread changes=%d p50_s=%.3f max_s=%.3f reversals=%d\n",
              changes,
              times.empty() ? 0.0 : times[times.size() / 2],
              times.empty() ? 0.0 : times.back(),
              localAgents.Reversals());
  return 0;
}
