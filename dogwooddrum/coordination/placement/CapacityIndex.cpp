/** \file
 * Implements CapacityIndex.
 */
#include "dogwooddrum/coordination/placement/CapacityIndex.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

void
UpdateKey(SizeTable::BySlots& aKeys,
          std::uint32_t aIndex,
          std::uint32_t aBefore,
          std::uint32_t aAfter)
{
  if (aBefore > 0) {
    auto key = aKeys.extract({ aBefore, aIndex });
    if (aAfter > 0) {
      key.value().first = aAfter;
      aKeys.insert(std::move(key));
    }
  } else if (aAfter > 0) {
    aKeys.emplace(aAfter, aIndex);
  }
}

void
UpdateDomain(std::vector<std::uint32_t>& aSlots,
             SizeTable::BySlots& aKeys,
             std::uint32_t aIndex,
             std::uint32_t aBefore,
             std::uint32_t aAfter)
{
  if (aSlots.size() <= aIndex) {
    aSlots.resize(aIndex + 1, 0);
  }
  const std::uint32_t old = aSlots[aIndex];
  aSlots[aIndex] = old - aBefore + aAfter;
  UpdateKey(aKeys, aIndex, old, aSlots[aIndex]);
}

} // namespace

void
CapacityIndex::UpdateTable(SizeTable& aTable,
                           WorkerIndex aWorker,
                           std::uint32_t aBefore,
                           std::uint32_t aAfter) const
{
  const std::uint32_t before = aBefore / aTable.mSize;
  const std::uint32_t after = aAfter / aTable.mSize;
  if (before == after) {
    return;
  }
  const auto& worker = mTopology->mWorkers[aWorker];
  UpdateDomain(aTable.mRackSlots, aTable.mRacks, worker.mRack, before, after);
  UpdateDomain(aTable.mZoneSlots, aTable.mZones, worker.mZone, before, after);
  aTable.mRegionSlots = aTable.mRegionSlots - before + after;
}

void
CapacityIndex::Set(WorkerIndex aWorker, std::uint32_t aAmount)
{
  const std::uint32_t before = Get(aWorker);
  if (before == aAmount) {
    return;
  }
  if (mAmounts.size() <= aWorker) {
    mAmounts.resize(mTopology->mWorkers.size(), 0);
  }
  const ZoneIndex zone = mTopology->mWorkers[aWorker].mZone;
  if (mAmountsByZone.size() <= zone) {
    mAmountsByZone.resize(zone + 1);
  }
  UpdateKey(mAmountsByZone[zone], aWorker, before, aAmount);
  for (auto& table : mTables) {
    UpdateTable(table, aWorker, before, aAmount);
  }
  mAmounts[aWorker] = aAmount;
  mSum = mSum - before + aAmount;
}

std::uint32_t
CapacityIndex::Largest() const
{
  std::uint32_t largest = 0;
  for (const auto& zone : mAmountsByZone) {
    if (!zone.empty()) {
      largest = std::max(largest, zone.rbegin()->first);
    }
  }
  return largest;
}

const SizeTable&
CapacityIndex::TableForTaskSize(std::uint32_t aSize)
{
  for (const auto& table : mTables) {
    if (table.mSize == aSize) {
      return table;
    }
  }
  SizeTable table;
  table.mSize = aSize;
  for (const auto& zone : mAmountsByZone) {
    for (const auto& [amount, worker] : zone) {
      UpdateTable(table, worker, 0, amount);
    }
  }
  mTables.push_back(std::move(table));
  return mTables.back();
}

} // namespace dogwooddrum::coordination::placement
