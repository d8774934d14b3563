#include "dogwooddrum/coordination/workloads/QueueRegistry.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

using protocol::Catalog;
using protocol::Queue;
using protocol::QueueAddress;
using protocol::QueueName;

} // namespace

void
QueueRegistry::Adopt(const Catalog& aCurrent,
                     const Catalog& aNext,
                     const std::set<QueueKey>& aUsed)
{
  DropRetired(aUsed);
  std::map<QueueAddress, QueueKey> byAddress;
  std::multimap<QueueName, QueueKey> byName;
  std::set<QueueKey> taken;
  for (const auto& [key, queue] : mRetired) {
    byAddress.emplace(AddressOf(queue), key);
    taken.insert(key);
  }
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    const Queue& queue = aCurrent.mQueues[i];
    byAddress.insert_or_assign(AddressOf(queue), mKeys[i]);
    byName.emplace(queue.mName, mKeys[i]);
    taken.insert(mKeys[i]);
    mRetired.emplace(mKeys[i], queue);
  }

  std::vector<std::optional<QueueKey>> keys(aNext.mQueues.size());
  const auto assign = [&](std::size_t aIndex, const QueueKey& aKey) {
    keys[aIndex] = aKey;
    mRetired.erase(aKey);
  };
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto it = byAddress.find(AddressOf(aNext.mQueues[i]));
    if (it != byAddress.end() && mRetired.count(it->second) > 0) {
      assign(i, it->second);
    }
  }
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto [begin, end] = byName.equal_range(aNext.mQueues[i].mName);
    const auto it = std::find_if(begin, end, [&](const auto& aEach) {
      return mRetired.count(aEach.second) > 0;
    });
    if (!keys[i] && it != end) {
      mFormerAddresses[AddressOf(mRetired.at(it->second))] = it->second;
      assign(i, it->second);
    }
  }
  mKeys.clear();
  for (std::size_t i = 0; i < keys.size(); ++i) {
    if (!keys[i]) {
      keys[i] = MakeKey(aNext.mQueues[i], aNext.mVersion, taken);
      taken.insert(*keys[i]);
    }
    mKeys.push_back(*keys[i]);
    mFormerAddresses.erase(AddressOf(aNext.mQueues[i]));
  }
}

void
QueueRegistry::DropRetired(const std::set<QueueKey>& aUsed)
{
  for (auto it = mRetired.begin(); it != mRetired.end();) {
    it = aUsed.count(it->first) > 0 ? std::next(it) : mRetired.erase(it);
  }
  for (auto it = mFormerAddresses.begin(); it != mFormerAddresses.end();) {
    const bool isKnown =
      mRetired.count(it->second) > 0 || IsInCatalog(it->second);
    it = isKnown ? std::next(it) : mFormerAddresses.erase(it);
  }
}

QueueKey
QueueRegistry::MakeKey(const Queue& aQueue,
                       protocol::CatalogVersion aVersion,
                       const std::set<QueueKey>& aTaken)
{
  QueueKey key(aQueue.mName.Value());
  for (int n = 1; aTaken.count(key) > 0; ++n) {
    key = QueueKey(aQueue.mName.Value() + "#" +
                   std::to_string(aVersion.Value()) + "." + std::to_string(n));
  }
  return key;
}

const Queue*
QueueRegistry::Find(const Catalog& aCatalog, const QueueKey& aKey) const
{
  const auto it = std::find(mKeys.begin(), mKeys.end(), aKey);
  if (it != mKeys.end()) {
    return &aCatalog.mQueues[static_cast<std::size_t>(it - mKeys.begin())];
  }
  const auto retired = mRetired.find(aKey);
  return retired == mRetired.end() ? nullptr : &retired->second;
}

bool
QueueRegistry::IsInCatalog(const QueueKey& aKey) const
{
  return std::find(mKeys.begin(), mKeys.end(), aKey) != mKeys.end();
}

std::optional<QueueKey>
QueueRegistry::Resolve(const Catalog& aCatalog,
                       const protocol::QueueReference& aReference) const
{
  const auto inCatalog = [&](const auto& aMatches) -> std::optional<QueueKey> {
    const auto& queues = aCatalog.mQueues;
    const auto it = std::find_if(queues.begin(), queues.end(), aMatches);
    if (it == queues.end()) {
      return std::nullopt;
    }
    return mKeys[static_cast<std::size_t>(it - queues.begin())];
  };
  if (!aReference.mAddress) {
    return inCatalog(
      [&](const Queue& aQueue) { return aQueue.mName == aReference.mName; });
  }
  const auto hasAddress = [&](const Queue& aQueue) {
    return AddressOf(aQueue) == *aReference.mAddress;
  };
  if (auto key = inCatalog(hasAddress)) {
    return key;
  }
  for (const auto& [key, queue] : mRetired) {
    if (hasAddress(queue)) {
      return key;
    }
  }
  const auto moved = mFormerAddresses.find(*aReference.mAddress);
  return moved == mFormerAddresses.end()
           ? std::nullopt
           : std::optional<QueueKey>(moved->second);
}

} // namespace dogwooddrum::coordination::workloads
