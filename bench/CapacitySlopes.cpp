/** \file
 * Measures the processor time, bytes on the wire and memory of one region's
 * control leader and its agents for each worker, task, job and configuration
 * change. The coordinator and the agents run in one process in virtual time and
 * commits are immediate, so that the figures cover decisions and codec only.
 *
 * Usage: CapacitySlopes [WORKERS...]
 */
#include "dogwooddrum/coordination/agent/Agent.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/protocol/Codec.h"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace {

using namespace dogwooddrum;
using coordination::agent::Agent;
using coordination::control::Coordinator;
using coordination::control::SessionId;

/** Tasks for each worker: 120,000 tasks on 28,000 workers. */
constexpr double kTasksPerWorker = 120000.0 / 28000.0;
/** Tasks of one job: 120,000 tasks in 15,000 jobs. */
constexpr std::uint32_t kTasksPerJob = 8;
/** Accelerators of one worker; more than its tasks need. */
constexpr std::uint32_t kAccelerators = 8;
constexpr std::uint32_t kWorkersPerRack = 20;
constexpr std::uint32_t kRacksPerZone = 100;
/** Length of the measurement of the steady state, in virtual seconds. */
constexpr int kSteadySeconds = 10;

using WallClock = std::chrono::steady_clock;

double
MicrosecondsSince(WallClock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(WallClock::now() - aStart)
    .count();
}

std::uint64_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

/** Total cost of all messages of one kind. */
struct Cost
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  double mMicroseconds = 0;
};

/** One region: a control leader and its agents, without a network. */
struct Region
{
  std::unique_ptr<Coordinator> mControl;
  std::vector<std::unique_ptr<Agent>> mAgents;
  base::Time mNow{ base::Milliseconds(1000000) };
  std::uint64_t mIndex = 0;
  Cost mHeartbeats;
  Cost mReplies;
  Cost mCommands;
  Cost mEntries;
  double mLeaderMicroseconds = 0;
  double mAgentMicroseconds = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
};

/** Adds the run time of aWork in microseconds to aTotal. */
template<typename Work>
void
AddRunTime(double& aTotal, const Work& aWork)
{
  const auto start = WallClock::now();
  aWork();
  aTotal += MicrosecondsSince(start);
}

/** Encodes and decodes aMessage and adds its size and time to aCost. */
template<typename Message>
void
MeasureCodec(Cost& aCost, const Message& aMessage)
{
  const auto start = WallClock::now();
  const std::string bytes = protocol::Encode(aMessage);
  const auto decoded = protocol::Decode<Message>(bytes);
  aCost.mMicroseconds += MicrosecondsSince(start);
  aCost.mMessages += decoded ? 1 : 0;
  aCost.mBytes += bytes.size();
}

void
DeliverToAgent(Region& aRegion,
               const coordination::control::Outgoing& aOutgoing)
{
  const std::uint64_t session = aOutgoing.mSession.Value();
  if (session == 0 || session > aRegion.mAgents.size()) {
    const auto* reply = std::get_if<protocol::ClientReply>(&aOutgoing.mMessage);
    if (reply != nullptr) {
      const bool refused =
        std::holds_alternative<protocol::Refusal>(reply->mBody);
      ++(refused ? aRegion.mRefused : aRegion.mAccepted);
    }
    return;
  }
  Agent& agent = *aRegion.mAgents[session - 1];
  if (const auto* reply =
        std::get_if<protocol::HeartbeatReply>(&aOutgoing.mMessage)) {
    MeasureCodec(aRegion.mReplies, *reply);
    AddRunTime(aRegion.mAgentMicroseconds,
               [&] { agent.OnHeartbeatReply(*reply, aRegion.mNow); });
  } else if (const auto* command =
               std::get_if<protocol::TaskCommand>(&aOutgoing.mMessage)) {
    MeasureCodec(aRegion.mCommands, *command);
    AddRunTime(aRegion.mAgentMicroseconds,
               [&] { agent.OnCommand(*command, aRegion.mNow); });
  }
}

/** Processes the leader's output; returns false if there was none. */
bool
ProcessLeaderOutput(Region& aRegion)
{
  coordination::control::Output output;
  AddRunTime(aRegion.mLeaderMicroseconds,
             [&] { output = aRegion.mControl->TakeOutput(); });
  bool worked = false;
  for (auto& proposal : output.mProposals) {
    worked = true;
    coordination::consensus::LogEntry entry;
    entry.mTerm = base::Term(1);
    entry.mIndex = base::LogIndex(++aRegion.mIndex);
    entry.mPayload = std::move(proposal);
    ++aRegion.mEntries.mMessages;
    aRegion.mEntries.mBytes += entry.mPayload.size();
    AddRunTime(aRegion.mEntries.mMicroseconds,
               [&] { aRegion.mControl->Apply(entry, aRegion.mNow); });
  }
  for (const auto read : output.mReads) {
    worked = true;
    AddRunTime(aRegion.mLeaderMicroseconds,
               [&] { aRegion.mControl->OnReadConfirmed(read, aRegion.mNow); });
  }
  for (const auto& outgoing : output.mMessages) {
    worked = true;
    DeliverToAgent(aRegion, outgoing);
  }
  return worked;
}

/** Ticks one agent and processes its output; started tasks run at once. */
void
TickAgent(Region& aRegion, std::size_t aAgent)
{
  const SessionId session(aAgent + 1);
  Agent& agent = *aRegion.mAgents[aAgent];
  coordination::agent::Output output;
  AddRunTime(aRegion.mAgentMicroseconds, [&] {
    agent.Tick(aRegion.mNow);
    output = agent.TakeOutput();
  });
  for (const auto& call : output.mCalls) {
    if (const auto* start =
          std::get_if<coordination::agent::StartTask>(&call)) {
      agent.OnTaskStarted(start->mKey, aRegion.mNow);
    }
  }
  for (const auto& message : output.mMessages) {
    if (const auto* heartbeat =
          std::get_if<protocol::AgentHeartbeat>(&message)) {
      MeasureCodec(aRegion.mHeartbeats, *heartbeat);
      AddRunTime(aRegion.mLeaderMicroseconds, [&] {
        aRegion.mControl->OnAgentHeartbeat(session, *heartbeat, aRegion.mNow);
      });
    } else if (const auto* report =
                 std::get_if<protocol::TaskReport>(&message)) {
      AddRunTime(aRegion.mLeaderMicroseconds, [&] {
        aRegion.mControl->OnTaskReport(
          session, base::Incarnation(aAgent + 1), *report, aRegion.mNow);
      });
    }
  }
}

/** Advances virtual time by aMilliseconds in steps of 20 ms. */
void
Advance(Region& aRegion, int aMilliseconds)
{
  constexpr int kStepMs = 20;
  for (int ms = 0; ms < aMilliseconds; ms += kStepMs) {
    aRegion.mNow += base::Milliseconds(kStepMs);
    for (std::size_t i = 0; i < aRegion.mAgents.size(); ++i) {
      TickAgent(aRegion, i);
    }
    AddRunTime(aRegion.mLeaderMicroseconds,
               [&] { aRegion.mControl->Tick(aRegion.mNow); });
    while (ProcessLeaderOutput(aRegion)) {
    }
  }
}

void
SendRequest(Region& aRegion, protocol::ClientRequestBody aBody)
{
  static std::uint64_t id = 0;
  const SessionId caller(aRegion.mAgents.size() + 1);
  AddRunTime(aRegion.mLeaderMicroseconds, [&] {
    aRegion.mControl->OnClientRequest(
      caller, { base::RequestId(++id), std::move(aBody) }, aRegion.mNow);
  });
}

protocol::ChangeRequest
MakeChange(std::uint64_t aVersion, protocol::ConfigurationEdit aEdit)
{
  protocol::ChangeRequest change;
  change.mChangeId = base::ChangeId("c" + std::to_string(aVersion));
  change.mBaseVersion = base::ConfigurationVersion(aVersion);
  change.mEdit = std::move(aEdit);
  return change;
}

void
AddAgents(Region& aRegion, std::uint32_t aWorkers)
{
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    coordination::agent::AgentOptions options;
    const std::uint32_t rack = i / kWorkersPerRack;
    options.mWorkerInfo.mWorker = base::WorkerId("worker-" + std::to_string(i));
    options.mWorkerInfo.mRack = base::RackId("rack-" + std::to_string(rack));
    options.mWorkerInfo.mZone =
      base::ZoneId("zone-" + std::to_string(rack / kRacksPerZone));
    options.mWorkerInfo.mAccelerators = kAccelerators;
    options.mWorkerInfo.mSlots = kAccelerators;
    options.mIncarnation = base::Incarnation(i + 1);
    aRegion.mAgents.push_back(std::make_unique<Agent>(options));
  }
}

void
SubmitJobs(Region& aRegion, std::uint32_t aJobs)
{
  for (std::uint32_t i = 0; i < aJobs; ++i) {
    protocol::SubmitRequest submit;
    submit.mSpec.mAccount = base::AccountId("team-" + std::to_string(i % 10));
    submit.mSpec.mProfile = base::ProfileId("batch");
    submit.mSpec.mKey = base::IdempotencyKey("job-" + std::to_string(i));
    submit.mSpec.mShape.mTasks = kTasksPerJob;
    submit.mSpec.mPayload = std::string(200, 'p');
    SendRequest(aRegion, std::move(submit));
  }
}

/** Measures one region of aWorkers workers and prints one row. */
void
MeasureRegion(std::uint32_t aWorkers)
{
  Region region;
  const std::uint64_t heapAtStart = HeapBytes();
  coordination::control::CoordinatorOptions options;
  options.mSelf = base::MemberId(1);
  region.mControl = std::make_unique<Coordinator>(options);
  region.mControl->BecomeLeader(base::Term(1), region.mNow);
  AddAgents(region, aWorkers);
  const std::uint64_t heapOfAgents = HeapBytes() - heapAtStart;
  std::uint64_t version = 0;
  for (int i = 0; i < 10; ++i) {
    protocol::ClientAccount account;
    account.mName = base::AccountId("team-" + std::to_string(i));
    SendRequest(region, MakeChange(version++, account));
    while (ProcessLeaderOutput(region)) {
    }
  }
  protocol::Profile profile;
  profile.mName = base::ProfileId("batch");
  SendRequest(region, MakeChange(version++, profile));
  Advance(region, 5000);

  const std::uint64_t heapIdle = HeapBytes();
  const auto jobs =
    static_cast<std::uint32_t>(aWorkers * kTasksPerWorker / kTasksPerJob);
  region.mLeaderMicroseconds = 0;
  region.mEntries = {};
  const auto burstStart = WallClock::now();
  SubmitJobs(region, jobs);
  Advance(region, 2000);
  const double burstMs = MicrosecondsSince(burstStart) / 1000;
  const std::uint64_t heapBusy = HeapBytes();
  const double perJob =
    (region.mLeaderMicroseconds + region.mEntries.mMicroseconds) / jobs;
  const double entryBytesPerJob =
    static_cast<double>(region.mEntries.mBytes) / jobs;
  Advance(region, 5000);

  region.mLeaderMicroseconds = 0;
  region.mAgentMicroseconds = 0;
  region.mHeartbeats = {};
  region.mReplies = {};
  Advance(region, kSteadySeconds * 1000);
  const double heartbeats = static_cast<double>(region.mHeartbeats.mMessages);
  const double codec =
    region.mHeartbeats.mMicroseconds + region.mReplies.mMicroseconds;

  const auto saveStart = WallClock::now();
  const std::string state = region.mControl->SaveState();
  const double saveMs = MicrosecondsSince(saveStart) / 1000;

  std::printf(
    "%7u %7u %9.1f %9.1f %10.2f %10.2f %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f "
    "%8.1f %8.0f\n",
    aWorkers,
    jobs * kTasksPerJob,
    (region.mLeaderMicroseconds + codec / 2) / heartbeats,
    region.mLeaderMicroseconds / 1e4 / kSteadySeconds +
      codec / 2 / 1e4 / kSteadySeconds,
    (region.mAgentMicroseconds + codec / 2) / heartbeats,
    (region.mAgentMicroseconds + codec / 2) / 1e4 / kSteadySeconds / aWorkers,
    static_cast<double>(region.mHeartbeats.mBytes) / heartbeats,
    static_cast<double>(region.mReplies.mBytes) /
      static_cast<double>(region.mReplies.mMessages),
    static_cast<double>(heapOfAgents) / aWorkers,
    static_cast<double>(heapBusy - heapIdle) / (jobs * kTasksPerJob),
    static_cast<double>(state.size()) / jobs,
    entryBytesPerJob,
    saveMs,
    perJob);
  std::fflush(stdout);
  if (region.mRefused > 0) {
    std::printf("refused requests: %llu\n",
                static_cast<unsigned long long>(region.mRefused));
  }
  std::printf("burst of %u jobs: %.0f ms of real time\n", jobs, burstMs);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::uint32_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    sizes.push_back(
      static_cast<std::uint32_t>(std::strtoul(aArguments[i], nullptr, 10)));
  }
  if (sizes.empty()) {
    sizes = { 100, 500, 1000, 2000, 4000 };
  }
  std::printf("workers   tasks us/heartb  leader%% us/agent_s    agent%% "
              "B/heartb   B/reply   B/agent    B/task B/job_snap B/job_log  "
              "save_ms us/job\n");
  for (const std::uint32_t workers : sizes) {
    MeasureRegion(workers);
  }
  return 0;
}
