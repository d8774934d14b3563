/** \file
 * Defines QueueRegistry, which identifies a queue over all versions of the
 * catalog, so that an accepted workload keeps its queue when the operator
 * renames, moves or removes that.
 */
#pragma once

#include "dogwooddrum/base/StrongType.h"
#include "dogwooddrum/protocol/Workload.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Identity of a queue: the name that it had in its first catalog, with a
 * suffix if another queue has that key. Equal to the name in logs and snapshots
 * of versions without a registry. */
using QueueKey = base::StrongType<struct QueueKeyTag, std::string>;

/** Keys of the catalog's queues, and the last definitions of queues that were
 * removed while workloads of theirs existed. Thread safety: none. */
class QueueRegistry
{
public:
  /**
   * Assigns keys to the queues of aNext, which replaces aCurrent. A queue is
   * the successor of the one that had its host and path prefix or, if there is
   * none, of the one that had its name and has lost its host and path prefix.
   * Queues without a successor are retired. A queue that was retired before is
   * dropped if it is not in aUsed.
   */
  void Adopt(const protocol::Catalog& aCurrent,
             const protocol::Catalog& aNext,
             const std::set<QueueKey>& aUsed);

  /** Returns the queue's definition in the catalog, else the last one that it
   * had; null if it is unknown. Valid until the next Adopt. */
  const protocol::Queue* Find(const protocol::Catalog& aCatalog,
                              const QueueKey& aKey) const;
  /** Returns whether the queue is in the catalog. */
  bool IsInCatalog(const QueueKey& aKey) const;
  /** Returns the queue that has the reference's address, had it when it was
   * removed, or had it before it was moved. A reference without an address
   * names a queue of the catalog. */
  std::optional<QueueKey> Resolve(
    const protocol::Catalog& aCatalog,
    const protocol::QueueReference& aReference) const;
  /** Returns the queues that were removed, with their last definitions. */
  const std::map<QueueKey, protocol::Queue>& Retired() const
  {
    return mRetired;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKeys, mRetired, mFormerAddresses);
  }

private:
  /** Returns a key for a new queue. Precondition: aTaken has the keys of all
   * known queues. */
  static QueueKey MakeKey(const protocol::Queue& aQueue,
                          protocol::CatalogVersion aVersion,
                          const std::set<QueueKey>& aTaken);

  void DropRetired(const std::set<QueueKey>& aUsed);

  std::vector<QueueKey> mKeys; ///< in the order of the catalog's queues
  std::map<QueueKey, protocol::Queue> mRetired;
  /** Earlier addresses of moved queues, unless another queue has them now. An
   * entry that holds an earlier catalog uses them for a while. */
  std::map<protocol::QueueAddress, QueueKey> mFormerAddresses;
};

} // namespace dogwooddrum::coordination::workloads
