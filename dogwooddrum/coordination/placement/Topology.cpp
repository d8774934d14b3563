/** \file
 * Implements Topology.
 */
#include "dogwooddrum/coordination/placement/Topology.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

template<typename Index, typename Node, typename Id>
Index
FindOrAdd(std::unordered_map<std::string, Index>& aByName,
          std::vector<Node>& aNodes,
          const Id& aId)
{
  const auto [it, added] =
    aByName.emplace(aId.Value(), static_cast<Index>(aNodes.size()));
  if (added) {
    aNodes.emplace_back();
    aNodes.back().mId = aId;
  }
  return it->second;
}

void
LinkToRack(Topology& aTopology, WorkerIndex aWorker)
{
  auto& node = aTopology.mWorkers[aWorker];
  node.mRack =
    FindOrAdd(aTopology.mRackByName, aTopology.mRacks, node.mDescription.mRack);
  node.mZone =
    FindOrAdd(aTopology.mZoneByName, aTopology.mZones, node.mDescription.mZone);
  auto& members = aTopology.mRacks[node.mRack].mWorkers;
  members.insert(std::lower_bound(members.begin(), members.end(), aWorker),
                 aWorker);
}

void
UnlinkFromRack(Topology& aTopology, WorkerIndex aWorker)
{
  auto& members = aTopology.mRacks[aTopology.mWorkers[aWorker].mRack].mWorkers;
  members.erase(std::lower_bound(members.begin(), members.end(), aWorker));
}

} // namespace

WorkerIndex
FindWorker(const Topology& aTopology, const base::WorkerId& aWorker)
{
  const auto it = aTopology.mWorkerByName.find(aWorker.Value());
  return it == aTopology.mWorkerByName.end() ? kNoIndex : it->second;
}

WorkerIndex
AddWorker(Topology& aTopology, const WorkerDescription& aWorker)
{
  WorkerIndex index = static_cast<WorkerIndex>(aTopology.mWorkers.size());
  if (aTopology.mUnusedSlots.empty()) {
    aTopology.mWorkers.emplace_back();
  } else {
    index = aTopology.mUnusedSlots.back();
    aTopology.mUnusedSlots.pop_back();
  }
  auto& node = aTopology.mWorkers[index];
  node = WorkerNode{};
  node.mDescription = aWorker;
  node.mKnown = true;
  aTopology.mWorkerByName[aWorker.mWorker.Value()] = index;
  LinkToRack(aTopology, index);
  return index;
}

void
RelinkWorker(Topology& aTopology,
             WorkerIndex aWorker,
             const WorkerDescription& aDescription)
{
  UnlinkFromRack(aTopology, aWorker);
  aTopology.mWorkers[aWorker].mDescription = aDescription;
  LinkToRack(aTopology, aWorker);
}

void
RemoveWorker(Topology& aTopology, WorkerIndex aWorker)
{
  UnlinkFromRack(aTopology, aWorker);
  auto& node = aTopology.mWorkers[aWorker];
  aTopology.mWorkerByName.erase(node.mDescription.mWorker.Value());
  node = WorkerNode{};
  aTopology.mUnusedSlots.push_back(aWorker);
}

std::uint32_t
UsableTotal(const WorkerNode& aWorker)
{
  const bool usable =
    aWorker.mKnown && aWorker.mUp && !aWorker.mDrained && !aWorker.mQuarantined;
  return usable ? aWorker.mDescription.mAccelerators : 0;
}

} // namespace dogwooddrum::coordination::placement
