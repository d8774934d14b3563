/** \file
 * Defines CapacityIndex, an amount per worker that can be searched by worker,
 * rack and availability zone without a scan over all workers.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Topology.h"

#include <set>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::placement {

/** Number of tasks of one size that each rack and zone can hold. */
struct SizeTable
{
  using BySlots = std::set<std::pair<std::uint32_t, std::uint32_t>>;

  std::uint32_t mSize = 0; ///< accelerators per task
  std::vector<std::uint32_t> mRackSlots;
  std::vector<std::uint32_t> mZoneSlots;
  std::uint64_t mRegionSlots = 0;
  BySlots mRacks; ///< (slots, rack), without racks of 0 slots
  BySlots mZones; ///< (slots, zone), without zones of 0 slots
};

/**
 * Accelerators per worker. An update costs O(log workers) for each task size
 * that was searched for so far; sizes are bounded by the largest worker.
 * Thread safety: none.
 */
class CapacityIndex
{
public:
  /** (amount, worker) in ascending order, without amounts of 0. */
  using ByAmount = std::set<std::pair<std::uint32_t, WorkerIndex>>;

  /** Precondition: aTopology outlives the index. */
  explicit CapacityIndex(const Topology& aTopology)
    : mTopology(&aTopology)
  {
  }

  /** Sets the amount of a worker. Precondition: the topology has its rack and
   * zone. */
  void Set(WorkerIndex aWorker, std::uint32_t aAmount);
  std::uint32_t Get(WorkerIndex aWorker) const
  {
    return aWorker < mAmounts.size() ? mAmounts[aWorker] : 0;
  }
  std::uint64_t Sum() const { return mSum; }
  /** Returns the largest amount on one worker. */
  std::uint32_t Largest() const;
  /** Returns the slot counts for tasks of aSize > 0 accelerators; builds them
   * on first use. */
  const SizeTable& TableForTaskSize(std::uint32_t aSize);
  const std::vector<ByAmount>& AmountsByZone() const { return mAmountsByZone; }
  const Topology& GetTopology() const { return *mTopology; }

private:
  void UpdateTable(SizeTable& aTable,
                   WorkerIndex aWorker,
                   std::uint32_t aBefore,
                   std::uint32_t aAfter) const;

  const Topology* mTopology;
  std::vector<std::uint32_t> mAmounts;
  std::uint64_t mSum = 0;
  std::vector<ByAmount> mAmountsByZone;
  std::vector<SizeTable> mTables;
};

} // namespace dogwooddrum::coordination::placement
