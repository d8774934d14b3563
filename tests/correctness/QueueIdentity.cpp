// Guards against accepted workloads that are lost, or shown by another queue,
// when the operator renames, moves or removes their queue.
#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/jobs/JobState.h"
#include "dogwooddrum/protocol/Codec.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

#include <random>

namespace dogwooddrum::tests {
namespace {

using coordination::workloads::Accept;
using coordination::workloads::AdoptCatalog;
using coordination::workloads::Change;
using coordination::workloads::QueueKey;
using coordination::workloads::State;
using protocol::Catalog;
using protocol::CountWaitingWorkloads;
using protocol::Queue;
using protocol::QueueName;
using protocol::QueueReference;
using protocol::ReadWorkload;
using protocol::WorkloadId;
using protocol::WorkloadPhase;
using protocol::WorkloadResult;

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kPatient = 2;

/** The queue as an entry refers to it that holds the simulation's first
 * catalog, or has seen its renaming. */
QueueReference
QueueAt(const std::string& aPathPrefix, const std::string& aName)
{
  return { QueueName(aName), protocol::QueueAddress{ "host", aPathPrefix } };
}
const QueueReference kPatientQueue = QueueAt("/p2/", "p2");

protocol::WorkloadSpec
TwoStepSpec()
{
  auto spec = OneStepSpec(2, 1000, 1, false);
  spec.mSteps.push_back(spec.mSteps.front());
  spec.mSteps.back().mDependsOn = { 0 };
  return spec;
}

/** One worker, whose resources "first" uses while "later" waits. */
WorkloadSimulationOptions
OneWorker()
{
  WorkloadSimulationOptions options;
  options.mWorkers = 1;
  return options;
}

struct QueueIdentity : public testing::Test
{
  QueueIdentity()
    : mSim(OneWorker())
  {
    mSim.RunFor(500);
  }

  WorkloadResult Read(const std::string& aId, const QueueReference& aQueue)
  {
    return mSim.Request(ReadWorkload{ WorkloadId(aId), aQueue }).mResult;
  }
  WorkloadResult Submit(const std::string& aId, const QueueReference& aQueue)
  {
    protocol::SubmitWorkload submit;
    submit.mId = WorkloadId(aId);
    submit.mQueue = aQueue;
    submit.mSpec = TwoStepSpec();
    return mSim.Request(submit).mResult;
  }
  void Rename(std::size_t aQueue, const std::string& aName)
  {
    mSim.EditCatalog([&](Catalog& aCatalog) {
      aCatalog.mQueues[aQueue].mName = QueueName(aName);
    });
  }
  void Remove(std::size_t aQueue)
  {
    mSim.EditCatalog([&](Catalog& aCatalog) {
      aCatalog.mQueues.erase(aCatalog.mQueues.begin() +
                             static_cast<std::ptrdiff_t>(aQueue));
    });
  }

  WorkloadSimulation mSim;
};

TEST_F(QueueIdentity, RenamedQueueKeepsItsWorkloads)
{
  mSim.Submit("a", "p2", TwoStepSpec());
  mSim.RunFor(300);
  Rename(kPatient, "renamed");
  for (const auto& queue : { QueueAt("/p2/", "renamed"), kPatientQueue }) {
    EXPECT_EQ(Read("a", queue), WorkloadResult::Found);
    EXPECT_EQ(Submit("a", queue), WorkloadResult::Accepted);
  }
  mSim.RunFor(10000);
  EXPECT_EQ(mSim.StartCount("a"), 4);
  EXPECT_EQ(mSim.Phase("a"), WorkloadPhase::Complete);
}

TEST_F(QueueIdentity, RenamedQueueCountsAndCancelsItsWaitingWorkloads)
{
  mSim.Submit("first", "p1", OneStepSpec(8, 1000, 1, false));
  mSim.RunFor(300);
  mSim.Submit("later", "p2", TwoStepSpec());
  Rename(kPatient, "renamed");
  const auto renamed = QueueAt("/p2/", "renamed");
  EXPECT_EQ(mSim.Request(CountWaitingWorkloads{ renamed }).mWaitingCount, 1U);
  mSim.Request(protocol::CancelWorkload{ WorkloadId("later"), renamed });
  EXPECT_EQ(mSim.Phase("later"), WorkloadPhase::Cancelled);
}

TEST_F(QueueIdentity, NewLeaderKeepsTheWorkloadsOfARenamedQueue)
{
  mSim.Submit("a", "p2", TwoStepSpec());
  mSim.RunFor(300);
  Rename(kPatient, "renamed");
  mSim.ChangeLeader();
  EXPECT_EQ(Read("a", QueueAt("/p2/", "renamed")), WorkloadResult::Found);
  Rename(kPatient, "p2");
  EXPECT_EQ(Read("a", kPatientQueue), WorkloadResult::Found);
  mSim.RunFor(10000);
  EXPECT_EQ(mSim.Phase("a"), WorkloadPhase::Complete);
}

TEST_F(QueueIdentity, ExchangedNamesLeaveEachPathItsWorkloads)
{
  mSim.Submit("patient", "p2", TwoStepSpec());
  mSim.Submit("urgent", "p0", TwoStepSpec());
  mSim.EditCatalog([](Catalog& aCatalog) {
    std::swap(aCatalog.mQueues[kUrgent].mName,
              aCatalog.mQueues[kPatient].mName);
  });
  EXPECT_EQ(Read("patient", QueueAt("/p2/", "p0")), WorkloadResult::Found);
  EXPECT_EQ(Read("patient", QueueAt("/p0/", "p2")), WorkloadResult::Unknown);
  EXPECT_EQ(Read("urgent", QueueAt("/p0/", "p2")), WorkloadResult::Found);
  EXPECT_EQ(Read("urgent", QueueAt("/p2/", "p0")), WorkloadResult::Unknown);
  // An entry that holds the earlier catalog.
  EXPECT_EQ(Read("patient", kPatientQueue), WorkloadResult::Found);
  EXPECT_EQ(Read("urgent", kPatientQueue), WorkloadResult::Unknown);
  mSim.RunFor(10000);
  EXPECT_EQ(mSim.Phase("patient"), WorkloadPhase::Complete);
  EXPECT_EQ(mSim.Phase("urgent"), WorkloadPhase::Complete);
}

TEST_F(QueueIdentity, MovedQueueKeepsItsWorkloads)
{
  mSim.Submit("a", "p2", TwoStepSpec());
  mSim.RunFor(300);
  mSim.EditCatalog([](Catalog& aCatalog) {
    aCatalog.mQueues[kPatient].mPathPrefix = "/moved/";
  });
  EXPECT_EQ(Read("a", QueueAt("/moved/", "p2")), WorkloadResult::Found);
  EXPECT_EQ(Read("a", kPatientQueue), WorkloadResult::Found)
    << "from an entry that holds the earlier catalog";
  mSim.RunFor(10000);
  EXPECT_EQ(mSim.Phase("a"), WorkloadPhase::Complete);
}

TEST_F(QueueIdentity, RemovedQueueFinishesItsWorkloads)
{
  mSim.Submit("first", "p1", OneStepSpec(8, 1000, 1, false));
  mSim.RunFor(300);
  mSim.Submit("later", "p2", TwoStepSpec());
  Remove(kPatient);
  EXPECT_EQ(Submit("new", kPatientQueue), WorkloadResult::Unknown);
  EXPECT_EQ(mSim.Request(CountWaitingWorkloads{ kPatientQueue }).mResult,
            WorkloadResult::Unknown);
  EXPECT_EQ(Submit("later", kPatientQueue), WorkloadResult::Accepted);
  mSim.ChangeLeader();
  mSim.RunFor(15000);
  EXPECT_EQ(mSim.StartCount("later"), 4);
  EXPECT_EQ(mSim.Phase("later"), WorkloadPhase::Complete);
}

// A removed queue counted as one of priority 0, so that its work took the
// guarantee of its account.
TEST_F(QueueIdentity, RemovedQueueKeepsItsPriority)
{
  mSim.Submit("patient", "p2", OneStepSpec(4, 1000, 2, false));
  mSim.RunFor(300);
  Remove(kPatient);
  mSim.ChangeLeader();
  mSim.Submit("urgent", "p0", OneStepSpec(4, 1000, 2, false));
  mSim.RunFor(1500);
  EXPECT_EQ(mSim.StartCount("urgent"), 4);
  EXPECT_GT(mSim.StopCount("preempted"), 0);
}

TEST_F(QueueIdentity, QueueThatReturnsGetsItsWorkloadsBack)
{
  mSim.Submit("a", "p2", TwoStepSpec());
  Queue removed;
  mSim.EditCatalog([&](Catalog& aCatalog) {
    removed = aCatalog.mQueues[kPatient];
    aCatalog.mQueues.pop_back();
  });
  mSim.EditCatalog([&](Catalog& aCatalog) {
    // Another queue gets the name meanwhile.
    aCatalog.mQueues.push_back(removed);
    aCatalog.mQueues.back().mPathPrefix = "/other/";
  });
  EXPECT_EQ(Read("a", QueueAt("/other/", "p2")), WorkloadResult::Unknown);
  mSim.EditCatalog([&](Catalog& aCatalog) {
    removed.mName = QueueName("returned");
    aCatalog.mQueues.push_back(removed);
  });
  EXPECT_EQ(Read("a", QueueAt("/p2/", "returned")), WorkloadResult::Found);
  EXPECT_EQ(Read("a", QueueAt("/other/", "p2")), WorkloadResult::Unknown);
}

// The catalog of an entry may be older than the leader's when it hands a
// workload in, and the leader's may change before the workload is committed.
TEST_F(QueueIdentity, SubmissionBesideARenamingReachesItsPath)
{
  mSim.EditCatalog([](Catalog& aCatalog) {
    std::swap(aCatalog.mQueues[kUrgent].mName,
              aCatalog.mQueues[kPatient].mName);
  });
  EXPECT_EQ(Submit("a", kPatientQueue), WorkloadResult::Accepted);
  EXPECT_EQ(Read("a", QueueAt("/p2/", "p0")), WorkloadResult::Found);
  EXPECT_EQ(Read("a", QueueAt("/p0/", "p2")), WorkloadResult::Unknown);
}

TEST_F(QueueIdentity, ServiceOfAQueueMayChange)
{
  mSim.Submit("first", "p1", OneStepSpec(8, 1000, 1, false));
  mSim.RunFor(300);
  mSim.Submit("later", "p2", TwoStepSpec());
  mSim.EditCatalog([](Catalog& aCatalog) {
    aCatalog.mPools.push_back({ protocol::PoolName("other"), false, false });
    aCatalog.mQueues[kPatient].mPool = protocol::PoolName("other");
  });
  EXPECT_EQ(Read("later", kPatientQueue), WorkloadResult::Found);
  mSim.RunFor(5000);
  EXPECT_EQ(mSim.StartCount("later"), 0) << "the other pool has no worker";
  Rename(kPatient, "renamed");
  mSim.EditCatalog([](Catalog& aCatalog) {
    aCatalog.mQueues[kPatient].mPool = protocol::PoolName("pool");
  });
  mSim.RunFor(10000);
  EXPECT_EQ(mSim.Phase("later"), WorkloadPhase::Complete);
}

// State of the version before.

Catalog
OneQueueCatalog(std::uint64_t aVersion, const std::string& aName)
{
  Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(aVersion);
  Queue queue;
  queue.mName = QueueName(aName);
  queue.mHost = "host";
  queue.mPathPrefix = "/p2/";
  catalog.mQueues.push_back(queue);
  return catalog;
}

/** A command of a log in which workloads name their queues. */
Accept
AcceptByName(const std::string& aId, const std::string& aQueue)
{
  Accept accept;
  accept.mRequest.mId = WorkloadId(aId);
  accept.mRequest.mQueue.mName = QueueName(aQueue);
  accept.mRequest.mSpec = TwoStepSpec();
  return accept;
}

TEST(QueueKeys, LogThatNamesQueuesIsRead)
{
  State state;
  state.Apply(Change{ AdoptCatalog{ OneQueueCatalog(1, "p2") } });
  state.Apply(Change{ AcceptByName("a", "p2") });
  state.Apply(Change{ AdoptCatalog{ OneQueueCatalog(2, "renamed") } });
  state.Apply(Change{ AcceptByName("b", "renamed") });
  const auto key = state.ResolveQueue(QueueAt("/p2/", "renamed"));
  ASSERT_TRUE(key);
  for (const char* id : { "a", "b" }) {
    ASSERT_NE(state.Find(WorkloadId(id)), nullptr);
    EXPECT_EQ(state.Find(WorkloadId(id))->mQueue, *key);
  }
}

TEST(QueueKeys, SnapshotThatNamesQueuesIsRead)
{
  coordination::jobs::JobState state;
  coordination::jobs::Batch batch;
  batch.mCommands.emplace_back(
    Change{ AdoptCatalog{ OneQueueCatalog(1, "p2") } });
  batch.mCommands.emplace_back(Change{ AcceptByName("a", "p2") });
  state.Apply(batch);

  constexpr std::size_t kHeaderBytes = 16; // format name and checksum
  std::string body = state.Save().substr(kHeaderBytes);
  // The registry: three sizes, and the key "p2" with its size.
  body.resize(body.size() - 4 * sizeof(std::uint64_t) - 2);
  const std::uint64_t checksum = base::Checksum(body);
  std::string earlier = "DWDJOBS2";
  earlier.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  earlier += body;
  coordination::jobs::JobState restored;
  ASSERT_TRUE(restored.Restore(earlier));
  EXPECT_EQ(restored.Save(), state.Save());

  batch.mCommands.assign(
    { Change{ AdoptCatalog{ OneQueueCatalog(2, "renamed") } } });
  restored.Apply(batch);
  const auto& workloads = restored.Workloads();
  EXPECT_EQ(workloads.ResolveQueue(QueueAt("/p2/", "renamed")),
            workloads.Find(WorkloadId("a"))->mQueue);
}

// A workload whose queue is removed before it is committed would never run.
TEST(QueueKeys, WorkloadOfARemovedQueueIsNotAccepted)
{
  State state;
  state.Apply(Change{ AdoptCatalog{ OneQueueCatalog(1, "p2") } });
  Catalog empty;
  empty.mVersion = protocol::CatalogVersion(2);
  state.Apply(Change{ AdoptCatalog{ empty } });
  state.Apply(Change{ AcceptByName("a", "p2") });
  EXPECT_EQ(state.Find(WorkloadId("a")), nullptr);
}

// The key of a queue that is removed before a workload is committed may be the
// name of another queue then.
TEST(QueueKeys, WorkloadOfARemovedQueueReachesNoOtherOfItsName)
{
  State state;
  Catalog catalog = OneQueueCatalog(1, "a");
  catalog.mQueues.push_back(catalog.mQueues.front());
  catalog.mQueues.back().mName = QueueName("b");
  catalog.mQueues.back().mPathPrefix = "/b/";
  state.Apply(Change{ AdoptCatalog{ catalog } });
  catalog.mVersion = protocol::CatalogVersion(2);
  catalog.mQueues.erase(catalog.mQueues.begin());
  catalog.mQueues.front().mName = QueueName("a");
  state.Apply(Change{ AdoptCatalog{ catalog } });
  state.Apply(Change{ AcceptByName("w", "a") });
  EXPECT_EQ(state.Find(WorkloadId("w")), nullptr);
}

// Random catalogs, in which names and addresses are exchanged and reused: an
// address that stays in the catalog keeps its queue, one that was removed gets
// it back while it has workloads, and no queue is ever at two addresses.
class QueueKeySeeds : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(QueueKeySeeds, AddressesKeepTheirQueues)
{
  constexpr std::size_t kAddresses = 5;
  std::mt19937_64 random(GetParam());
  State state;
  std::map<protocol::QueueAddress, QueueKey> before;
  for (std::uint64_t version = 1; version <= 40; ++version) {
    Catalog catalog;
    catalog.mVersion = protocol::CatalogVersion(version);
    for (std::size_t i = 0; i < kAddresses; ++i) {
      if (random() % 4 != 0) {
        Queue queue;
        queue.mName = QueueName("q" + std::to_string(random() % kAddresses));
        queue.mHost = "host";
        queue.mPathPrefix = "/" + std::to_string(i) + "/";
        catalog.mQueues.push_back(queue);
      }
    }
    state.Apply(Change{ AdoptCatalog{ catalog } });
    std::set<QueueKey> present;
    std::map<protocol::QueueAddress, QueueKey> now;
    for (const Queue& queue : catalog.mQueues) {
      const auto address = AddressOf(queue);
      const auto key = state.ResolveQueue(ReferenceTo(queue));
      ASSERT_TRUE(key);
      ASSERT_TRUE(state.FindQueue(*key) != nullptr);
      EXPECT_TRUE(*state.FindQueue(*key) == queue);
      EXPECT_TRUE(present.insert(*key).second) << *key << " has two addresses";
      const auto it = before.find(address);
      EXPECT_TRUE(it == before.end() || it->second == *key);
      now.emplace(address, *key);
      // Keeps the queue known after its removal.
      auto accept =
        AcceptByName(key->Value() + std::to_string(version), key->Value());
      state.Apply(Change{ accept });
      EXPECT_EQ(state.Find(accept.mRequest.mId)->mQueue, *key);
    }
    // A removed queue that was moved elsewhere meanwhile is not expected back.
    for (const auto& [address, key] : before) {
      if (present.count(key) == 0) {
        now.emplace(address, key);
      }
    }
    before = now;
  }
}
INSTANTIATE_TEST_SUITE_P(Seeds,
                         QueueKeySeeds,
                         testing::Range<std::uint64_t>(1, 51));

// Requests of entries of the version before name the queue only.
TEST(QueueReferences, TextWithoutAnAddressIsAName)
{
  const auto encode = [](const QueueReference& aReference) {
    protocol::WorkloadRequest request;
    request.mBody = CountWaitingWorkloads{ aReference };
    return protocol::Encode(request);
  };
  const auto named = encode({ QueueName("p2"), {} });
  const std::string text("\x02\0\0\0\0\0\0\0p2", 10); // size, characters
  EXPECT_EQ(named.substr(named.size() - text.size()), text);
  for (const QueueReference& reference :
       { QueueReference{ QueueName("p2"), {} },
         kPatientQueue,
         QueueReference{ QueueName("two\nlines"),
                         protocol::QueueAddress{ "", "/a/" } } }) {
    const auto decoded =
      protocol::Decode<protocol::WorkloadRequest>(encode(reference));
    ASSERT_TRUE(decoded);
    const auto& queue = std::get<CountWaitingWorkloads>(decoded->mBody).mQueue;
    EXPECT_EQ(queue.mName, reference.mName);
    EXPECT_TRUE(queue.mAddress == reference.mAddress);
  }
}

} // namespace
} // namespace dogwooddrum::tests
