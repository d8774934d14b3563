// Example that embeds the consensus and placement packages in one process:
// three replicas replicate a log of jobs, and each replica places the committed
// jobs independently. Placement is deterministic, so all replicas must reach
// the same decisions. Time is virtual; messages and storage are in memory.
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/coordination/placement/Placer.h"
#include "dogwooddrum/protocol/Codec.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <sstream>

namespace {

using namespace dogwooddrum;
using coordination::consensus::Message;
using coordination::consensus::Raft;
using coordination::placement::Placer;

constexpr std::size_t kReplicas = 3;
constexpr base::Duration kTickInterval = base::Milliseconds(10);
constexpr int kMaxSteps = 1000;

/** One consensus member with its own placer. */
class Replica
{
public:
  explicit Replica(std::uint64_t aId)
    : mPlacer({})
  {
    coordination::consensus::RaftOptions options;
    options.mSelf = base::MemberId(aId);
    options.mSeed = aId;
    coordination::consensus::RecoveredState recovered;
    for (std::uint64_t id = 1; id <= kReplicas; ++id) {
      recovered.mInitialMembership.mMembers.push_back(
        { base::MemberId(id), "in-process", true });
    }
    mRaft = std::make_unique<Raft>(options, recovered, base::Time());
    protocol::ClientAccount account;
    account.mName = base::AccountId("yard");
    protocol::Profile profile;
    profile.mName = base::ProfileId("batch");
    protocol::Configuration configuration;
    configuration.mVersion = base::ConfigurationVersion(1);
    configuration.mAccounts = { account };
    configuration.mProfiles = { profile };
    mPlacer.SetConfiguration(configuration);
    for (int i = 0; i < 4; ++i) {
      mPlacer.AddOrUpdateWorker({ base::WorkerId("worker-" + std::to_string(i)),
                                  base::RackId("rack-" + std::to_string(i / 2)),
                                  base::ZoneId("zone"),
                                  8 },
                                base::Time());
    }
  }

  Raft& Consensus() { return *mRaft; }
  const std::string& Decisions() const { return mDecisions; }

  /** Persists and applies what Raft has ready; returns messages to deliver. */
  std::vector<Message> ProcessReady(base::Time aNow)
  {
    auto ready = mRaft->TakeReady();
    if (ready.mPersist) {
      // A daemon writes and syncs the log entries to disk first.
      mRaft->OnPersisted(ready.mPersist->mId, aNow);
    }
    for (const auto& entry : ready.mCommitted) {
      if (entry.mKind == coordination::consensus::EntryKind::Command) {
        PlaceJob(entry);
      }
    }
    return std::move(ready.mMessages);
  }

private:
  void PlaceJob(const coordination::consensus::LogEntry& aEntry)
  {
    const auto spec = protocol::Decode<protocol::JobSpec>(aEntry.mPayload);
    if (!spec) {
      return;
    }
    coordination::placement::JobRequest request;
    request.mJob = base::JobId(aEntry.mIndex.Value());
    request.mAccount = spec->mAccount;
    request.mProfile = spec->mProfile;
    request.mShape = spec->mShape;
    // The time is derived from the log index instead of a clock, so that all
    // replicas place with the same time.
    const base::Time time{ base::Milliseconds(
      static_cast<std::int64_t>(aEntry.mIndex.Value())) };
    mPlacer.Submit(request, time);
    std::ostringstream out;
    for (const auto& decision : mPlacer.Decide(time)) {
      if (const auto* start =
            std::get_if<coordination::placement::Start>(&decision)) {
        out << "start job " << start->mJob << ':';
        for (const auto& task : start->mTasks) {
          out << ' ' << task.mWorker << " x" << task.mAccelerators;
        }
        out << '\n';
      }
    }
    mDecisions += out.str();
  }

  std::unique_ptr<Raft> mRaft;
  Placer mPlacer;
  std::string mDecisions;
};

std::string
EncodeJob(std::uint32_t aTasks, std::uint32_t aAccelerators, const char* aKey)
{
  protocol::JobSpec spec;
  spec.mAccount = base::AccountId("yard");
  spec.mProfile = base::ProfileId("batch");
  spec.mKey = base::IdempotencyKey(aKey);
  spec.mShape = { aTasks, aAccelerators, protocol::Adjacency::Rack };
  return protocol::Encode(spec);
}

} // namespace

int
main()
{
  std::array<Replica, kReplicas> replicas = { Replica(1),
                                              Replica(2),
                                              Replica(3) };
  const std::vector<std::string> jobs = { EncodeJob(2, 4, "gang"),
                                          EncodeJob(1, 8, "worker"),
                                          EncodeJob(4, 2, "small") };
  std::size_t proposed = 0;
  base::Time now;
  for (int step = 0; step < kMaxSteps; ++step) {
    now += kTickInterval;
    std::deque<Message> messages;
    for (Replica& replica : replicas) {
      Raft& raft = replica.Consensus();
      raft.Tick(now);
      while (raft.IsLeaderReady() && proposed < jobs.size() &&
             raft.Propose(jobs[proposed], now)) {
        ++proposed;
      }
      for (Message& message : replica.ProcessReady(now)) {
        messages.push_back(std::move(message));
      }
    }
    while (!messages.empty()) {
      const Message message = std::move(messages.front());
      messages.pop_front();
      Replica& receiver = replicas.at(message.mTo.Value() - 1);
      receiver.Consensus().Receive(message, now);
      for (Message& reply : receiver.ProcessReady(now)) {
        messages.push_back(std::move(reply));
      }
    }
  }
  const std::string& decisions = replicas[0].Decisions();
  std::printf("%s", decisions.c_str());
  for (const Replica& replica : replicas) {
    if (replica.Decisions() != decisions) {
      std::fprintf(
        stderr, "replicas disagree:\n%s", replica.Decisions().c_str());
      return 1;
    }
  }
  const auto starts = std::count(decisions.begin(), decisions.end(), '\n');
  std::printf("%zu replicas agree on %td starts\n", kReplicas, starts);
  return starts == static_cast<std::ptrdiff_t>(jobs.size()) ? 0 : 1;
}
