#include "dogwooddrum/protocol/Workload.h"

#include <algorithm>
#include <map>
#include <set>

namespace dogwooddrum::protocol {

namespace {

/** Maximum number of tasks of one workload; bounds the size of a log entry. */
constexpr std::uint64_t kMaxTasks = 5000;
/** Occurs in no host and path of a request. */
constexpr char kReferenceSeparator = '\n';

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

std::string
CheckQueues(const Catalog& aCatalog)
{
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const Queue& queue : aCatalog.mQueues) {
    const std::string name = "queue " + queue.mName.Value();
    if (std::none_of(
          aCatalog.mPools.begin(),
          aCatalog.mPools.end(),
          [&](const Pool& aPool) { return aPool.mName == queue.mPool; })) {
      return name + " names the unknown pool " + queue.mPool.Value();
    }
    if (queue.mTimeoutMs == 0) {
      return name + " has a timeout of 0 ms";
    }
    if (!prefixes.emplace(queue.mHost, queue.mPathPrefix).second) {
      return name +
             " has the host and prefix of another queue: " + queue.mHost +
             queue.mPathPrefix;
    }
  }
  return {};
}

std::map<QueueName, std::vector<Queue>>
GroupByName(const Catalog& aCatalog)
{
  std::map<QueueName, std::vector<Queue>> groups;
  for (const Queue& queue : aCatalog.mQueues) {
    groups[queue.mName].push_back(queue);
  }
  return groups;
}

} // namespace

std::string
QueueReference::Format() const
{
  return mAddress ? mName.Value() + kReferenceSeparator + mAddress->mHost +
                      kReferenceSeparator + mAddress->mPathPrefix
                  : mName.Value();
}

QueueReference
QueueReference::Parse(const std::string& aText)
{
  const auto prefix = aText.rfind(kReferenceSeparator);
  if (prefix == std::string::npos || prefix == 0) {
    return { QueueName(aText), std::nullopt };
  }
  const auto host = aText.rfind(kReferenceSeparator, prefix - 1);
  if (host == std::string::npos) {
    return { QueueName(aText), std::nullopt };
  }
  return { QueueName(aText.substr(0, host)),
           QueueAddress{ aText.substr(host + 1, prefix - host - 1),
                         aText.substr(prefix + 1) } };
}

CatalogDelta
MakeCatalogDelta(const Catalog& aOld, const Catalog& aNew)
{
  CatalogDelta delta;
  delta.mBaseVersion = aOld.mVersion;
  delta.mVersion = aNew.mVersion;
  delta.mPools = aNew.mPools;
  delta.mAccounts = aNew.mAccounts;
  delta.mLimits = aNew.mLimits;
  // A name may occur more than once, so that queues are compared by groups.
  const auto oldGroups = GroupByName(aOld);
  const auto newGroups = GroupByName(aNew);
  for (const Queue& queue : aNew.mQueues) {
    const auto it = oldGroups.find(queue.mName);
    if (it == oldGroups.end() || it->second != newGroups.at(queue.mName)) {
      delta.mQueues.push_back(queue);
    }
  }
  for (const auto& [name, group] : oldGroups) {
    if (newGroups.count(name) == 0) {
      delta.mRemovedQueues.push_back(name);
    }
  }
  return delta;
}

std::optional<Catalog>
ApplyCatalogDelta(const Catalog& aOld, const CatalogDelta& aDelta)
{
  if (aDelta.mBaseVersion != CatalogVersion() &&
      aDelta.mBaseVersion != aOld.mVersion) {
    return std::nullopt;
  }
  Catalog next;
  next.mVersion = aDelta.mVersion;
  next.mPools = aDelta.mPools;
  next.mAccounts = aDelta.mAccounts;
  next.mLimits = aDelta.mLimits;
  std::set<QueueName> replaced(aDelta.mRemovedQueues.begin(),
                               aDelta.mRemovedQueues.end());
  for (const Queue& queue : aDelta.mQueues) {
    replaced.insert(queue.mName);
  }
  if (aDelta.mBaseVersion != CatalogVersion()) {
    for (const Queue& queue : aOld.mQueues) {
      if (replaced.count(queue.mName) == 0) {
        next.mQueues.push_back(queue);
      }
    }
  }
  next.mQueues.insert(
    next.mQueues.end(), aDelta.mQueues.begin(), aDelta.mQueues.end());
  return next;
}

const Queue*
FindQueue(const Catalog& aCatalog,
          const std::string& aHost,
          const std::string& aPath)
{
  const Queue* best = nullptr;
  for (const Queue& queue : aCatalog.mQueues) {
    if (queue.mHost == aHost && StartsWith(aPath, queue.mPathPrefix) &&
        (best == nullptr ||
         queue.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const Queue*
FindQueue(const Catalog& aCatalog, const QueueName& aName)
{
  const auto it =
    std::find_if(aCatalog.mQueues.begin(),
                 aCatalog.mQueues.end(),
                 [&](const Queue& aQueue) { return aQueue.mName == aName; });
  return it == aCatalog.mQueues.end() ? nullptr : &*it;
}

const CatalogAccount*
FindAccountByKey(const Catalog& aCatalog, const std::string& aKey)
{
  for (const CatalogAccount& account : aCatalog.mAccounts) {
    const auto& keys = account.mKeys;
    if (std::find(keys.begin(), keys.end(), aKey) != keys.end()) {
      return &account;
    }
  }
  return nullptr;
}

const CatalogAccount*
FindCatalogAccount(const Catalog& aCatalog, const base::AccountId& aName)
{
  const auto it = std::find_if(
    aCatalog.mAccounts.begin(),
    aCatalog.mAccounts.end(),
    [&](const CatalogAccount& aAccount) { return aAccount.mName == aName; });
  return it == aCatalog.mAccounts.end() ? nullptr : &*it;
}

std::string
CheckCatalog(const Catalog& aCatalog)
{
  if (aCatalog.mVersion.Value() == 0) {
    return "version 0 is not allowed";
  }
  if (auto problem = CheckQueues(aCatalog); !problem.empty()) {
    return problem;
  }
  std::map<std::string, base::AccountId> owners;
  for (const CatalogAccount& account : aCatalog.mAccounts) {
    for (const std::string& key : account.mKeys) {
      const auto [it, isNew] = owners.emplace(key, account.mName);
      if (!isNew && it->second != account.mName) {
        return "accounts " + it->second.Value() + " and " +
               account.mName.Value() + " share a key";
      }
    }
  }
  return {};
}

std::string
CheckWorkload(const WorkloadSpec& aSpec)
{
  if (aSpec.mSteps.empty()) {
    return "a workload needs a step";
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const WorkloadStep& step = aSpec.mSteps[i];
    tasks += step.mCount;
    if (step.mCount == 0) {
      return "step " + std::to_string(i) + " has no task";
    }
    for (const std::uint32_t earlier : step.mDependsOn) {
      if (earlier >= i) {
        return "step " + std::to_string(i) + " depends on step " +
               std::to_string(earlier) + ", which is not an earlier one";
      }
    }
  }
  if (tasks > kMaxTasks) {
    return std::to_string(tasks) + " tasks, more than " +
           std::to_string(kMaxTasks);
  }
  return {};
}

} // namespace dogwooddrum::protocol
