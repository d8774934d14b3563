// Guards against catalog deltas that route differently from the whole catalog,
// and against polls that transfer the catalog: with hundreds of new queues,
// entries on slow links could never catch up.
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "dogwooddrum/protocol/Codec.h"

#include <gtest/gtest.h>

#include <random>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;
using protocol::Queue;

Catalog
RandomCatalog(std::mt19937_64& aRandom, std::uint64_t aVersion)
{
  Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(aVersion);
  catalog.mPools.push_back({ protocol::PoolName("pool"), false, false });
  for (int i = 0; i < 20; ++i) {
    if (aRandom() % 3 == 0) {
      continue;
    }
    Queue queue;
    queue.mName = protocol::QueueName("q" + std::to_string(i));
    queue.mHost = "host";
    queue.mPathPrefix = "/" + std::to_string(i) + "/";
    queue.mPool = protocol::PoolName("pool");
    queue.mTimeoutMs = 1000 + aRandom() % 2;
    catalog.mQueues.push_back(queue);
  }
  return catalog;
}

TEST(CatalogDeltas, RouteLikeTheWholeCatalog)
{
  std::mt19937_64 random(1);
  Catalog held;
  for (std::uint64_t version = 1; version <= 200; ++version) {
    const Catalog next = RandomCatalog(random, version);
    const auto applied =
      protocol::ApplyCatalogDelta(held, protocol::MakeCatalogDelta(held, next));
    ASSERT_TRUE(applied);
    for (int i = 0; i < 20; ++i) {
      const std::string path = "/" + std::to_string(i) + "/id";
      const Queue* wanted = protocol::FindQueue(next, "host", path);
      const Queue* found = protocol::FindQueue(*applied, "host", path);
      ASSERT_EQ(wanted == nullptr, found == nullptr) << path;
      EXPECT_TRUE(wanted == nullptr || *wanted == *found) << path;
    }
    held = *applied;
  }
}

// A catalog may give several queues the same name. A delta that changed one of
// them removed the others at the entries.
TEST(CatalogDeltas, QueuesWithEqualNamesAreKept)
{
  std::mt19937_64 random(1);
  Catalog held;
  for (std::uint64_t version = 1; version <= 200; ++version) {
    Catalog next = RandomCatalog(random, version);
    for (Queue& queue : next.mQueues) {
      queue.mName = protocol::QueueName("q" + std::to_string(random() % 4));
    }
    if (random() % 2 == 0 && version > 1) {
      next.mQueues = held.mQueues;
      next.mQueues.front().mTimeoutMs += 1;
    }
    const auto applied =
      protocol::ApplyCatalogDelta(held, protocol::MakeCatalogDelta(held, next));
    ASSERT_TRUE(applied);
    ASSERT_EQ(applied->mQueues.size(), next.mQueues.size());
    for (const Queue& queue : next.mQueues) {
      const auto* found =
        protocol::FindQueue(*applied, queue.mHost, queue.mPathPrefix + "id");
      ASSERT_NE(found, nullptr);
      EXPECT_TRUE(*found == queue);
    }
    held = *applied;
  }
}

TEST(CatalogDeltas, RejectAnotherBaseVersion)
{
  std::mt19937_64 random(1);
  const auto first = RandomCatalog(random, 1);
  const auto second = RandomCatalog(random, 2);
  const auto third = RandomCatalog(random, 3);
  EXPECT_FALSE(protocol::ApplyCatalogDelta(
    first, protocol::MakeCatalogDelta(second, third)));
}

TEST(CatalogDeltas, PollReplyOmitsTheCatalog)
{
  std::mt19937_64 random(1);
  State state;
  Catalog catalog = RandomCatalog(random, 1);
  for (int i = 0; i < 350; ++i) {
    Queue queue = catalog.mQueues.front();
    queue.mName = protocol::QueueName("more" + std::to_string(i));
    catalog.mQueues.push_back(queue);
  }
  catalog.mSource.assign(100000, 'x');
  state.Apply(Change{ AdoptCatalog{ catalog } });
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), base::Time());
  protocol::WorkloadRequest poll;
  poll.mBody = protocol::ReadCatalog{};
  scheduler.OnRequest(Session(1), poll, base::Time());
  auto output = scheduler.TakeOutput(base::Time());
  ASSERT_EQ(output.mMessages.size(), 1U);
  const auto& reply =
    std::get<protocol::WorkloadReply>(output.mMessages[0].mBody);
  EXPECT_EQ(reply.mVersion, catalog.mVersion);
  EXPECT_LT(protocol::Encode(reply).size(), 1000U);

  // A delta does not contain the operator's text.
  poll.mBody = protocol::ReadCatalog{ protocol::CatalogVersion(),
                                      protocol::ReadCatalog::Content::Delta };
  scheduler.OnRequest(Session(1), poll, base::Time());
  output = scheduler.TakeOutput(base::Time());
  const auto& fetched =
    std::get<protocol::WorkloadReply>(output.mMessages[0].mBody);
  ASSERT_TRUE(fetched.mDelta);
  EXPECT_EQ(fetched.mDelta->mQueues.size(), catalog.mQueues.size());
  EXPECT_LT(protocol::Encode(fetched).size(), 100000U);
}

} // namespace
} // namespace dogwooddrum::tests
