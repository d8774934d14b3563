/** \file
 * Implements the search for workers that hold a whole gang.
 */
#include "dogwooddrum/coordination/placement/FitSearch.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

using protocol::Adjacency;

namespace {

bool
IsExcluded(const GangNeed& aNeed, WorkerIndex aWorker)
{
  return aNeed.mExcluded != nullptr &&
         std::find(aNeed.mExcluded->begin(), aNeed.mExcluded->end(), aWorker) !=
           aNeed.mExcluded->end();
}

/** Returns the worker of a rack with the least sufficient amount, or
 * kNoIndex. */
WorkerIndex
FindTightestInRack(const CapacityIndex& aIndex,
                   const GangNeed& aNeed,
                   RackIndex aRack,
                   std::uint32_t aAmount)
{
  WorkerIndex best = kNoIndex;
  for (const WorkerIndex worker : aIndex.GetTopology().mRacks[aRack].mWorkers) {
    const std::uint32_t amount = aIndex.Get(worker);
    if (amount >= aAmount && !IsExcluded(aNeed, worker) &&
        (best == kNoIndex || amount < aIndex.Get(best))) {
      best = worker;
    }
  }
  return best;
}

/** Returns the worker of the region with the least sufficient amount, or
 * kNoIndex. */
WorkerIndex
FindTightestWorker(const CapacityIndex& aIndex,
                   const GangNeed& aNeed,
                   std::uint32_t aAmount)
{
  WorkerIndex best = kNoIndex;
  for (const auto& zone : aIndex.AmountsByZone()) {
    auto it = zone.lower_bound({ aAmount, 0 });
    while (it != zone.end() && IsExcluded(aNeed, it->second)) {
      ++it;
    }
    if (it != zone.end() &&
        (best == kNoIndex || *it < std::pair(aIndex.Get(best), best))) {
      best = it->second;
    }
  }
  return best;
}

/** Assigns the tasks of a gang to aWorkers in the order given. Empty if not
 * all fit. */
Plan
AssignTasks(const CapacityIndex& aIndex,
            const GangNeed& aNeed,
            const std::vector<WorkerIndex>& aWorkers)
{
  Plan plan;
  std::uint32_t left = aNeed.mShape.mTasks;
  for (const WorkerIndex worker : aWorkers) {
    const std::uint32_t slots =
      aIndex.Get(worker) / aNeed.mShape.mAcceleratorsPerTask;
    if (slots == 0 || IsExcluded(aNeed, worker)) {
      continue;
    }
    const std::uint32_t tasks = std::min(left, slots);
    plan.push_back({ worker, tasks });
    left -= tasks;
    if (left == 0) {
      return plan;
    }
  }
  return {};
}

/** Returns the workers of a rack by ascending amount. */
std::vector<WorkerIndex>
SortRackWorkers(const CapacityIndex& aIndex, RackIndex aRack)
{
  std::vector<WorkerIndex> workers =
    aIndex.GetTopology().mRacks[aRack].mWorkers;
  std::stable_sort(
    workers.begin(), workers.end(), [&](WorkerIndex aLeft, WorkerIndex aRight) {
      return aIndex.Get(aLeft) < aIndex.Get(aRight);
    });
  return workers;
}

void
AppendZoneWorkers(const CapacityIndex& aIndex,
                  const GangNeed& aNeed,
                  ZoneIndex aZone,
                  std::size_t aMaxWorkers,
                  std::vector<WorkerIndex>& aOut)
{
  const auto& zone = aIndex.AmountsByZone()[aZone];
  auto it = zone.lower_bound({ aNeed.mShape.mAcceleratorsPerTask, 0 });
  for (; it != zone.end() && aOut.size() < aMaxWorkers; ++it) {
    aOut.push_back(it->second);
  }
}

/** Returns how many workers suffice for the gang if each holds one task, with
 * spares for excluded workers. */
std::size_t
MaxWorkersNeeded(const GangNeed& aNeed)
{
  const std::size_t spare = aNeed.mExcluded ? aNeed.mExcluded->size() : 0;
  return aNeed.mShape.mTasks + spare;
}

std::vector<std::vector<WorkerIndex>>
FindOneWorkerDomains(CapacityIndex& aIndex,
                     const GangNeed& aNeed,
                     std::size_t aLimit)
{
  std::vector<std::vector<WorkerIndex>> domains;
  const std::uint32_t amount = TotalAccelerators(aNeed.mShape);
  const WorkerIndex tightest = FindTightestWorker(aIndex, aNeed, amount);
  if (tightest == kNoIndex) {
    return domains;
  }
  domains.push_back({ tightest });
  if (domains.size() >= aLimit) {
    return domains;
  }
  const auto& racks = aIndex.TableForTaskSize(amount).mRacks;
  for (auto it = racks.begin(); it != racks.end() && domains.size() < aLimit;
       ++it) {
    const WorkerIndex worker =
      FindTightestInRack(aIndex, aNeed, it->second, amount);
    if (worker != kNoIndex && worker != tightest) {
      domains.push_back({ worker });
    }
  }
  return domains;
}

std::vector<std::vector<WorkerIndex>>
FindRackDomains(CapacityIndex& aIndex,
                const GangNeed& aNeed,
                std::size_t aLimit)
{
  std::vector<std::vector<WorkerIndex>> domains;
  const auto& racks =
    aIndex.TableForTaskSize(aNeed.mShape.mAcceleratorsPerTask).mRacks;
  auto it = racks.lower_bound({ aNeed.mShape.mTasks, 0 });
  for (; it != racks.end() && domains.size() < aLimit; ++it) {
    domains.push_back(SortRackWorkers(aIndex, it->second));
  }
  return domains;
}

std::vector<std::vector<WorkerIndex>>
FindZoneDomains(CapacityIndex& aIndex,
                const GangNeed& aNeed,
                std::size_t aLimit,
                std::size_t aMaxWorkers)
{
  std::vector<std::vector<WorkerIndex>> domains;
  const auto& zones =
    aIndex.TableForTaskSize(aNeed.mShape.mAcceleratorsPerTask).mZones;
  auto it = zones.lower_bound({ aNeed.mShape.mTasks, 0 });
  for (; it != zones.end() && domains.size() < aLimit; ++it) {
    domains.emplace_back();
    AppendZoneWorkers(aIndex, aNeed, it->second, aMaxWorkers, domains.back());
  }
  return domains;
}

/** A gang without adjacency is placed in one zone if possible. */
std::vector<std::vector<WorkerIndex>>
FindRegionDomains(CapacityIndex& aIndex,
                  const GangNeed& aNeed,
                  std::size_t aLimit,
                  std::size_t aMaxWorkers)
{
  auto domains = FindZoneDomains(aIndex, aNeed, aLimit, aMaxWorkers);
  const auto& table =
    aIndex.TableForTaskSize(aNeed.mShape.mAcceleratorsPerTask);
  if (!domains.empty() || table.mRegionSlots < aNeed.mShape.mTasks) {
    return domains;
  }
  std::vector<WorkerIndex> workers;
  for (auto it = table.mZones.rbegin(); it != table.mZones.rend(); ++it) {
    AppendZoneWorkers(
      aIndex, aNeed, it->second, workers.size() + aMaxWorkers, workers);
  }
  domains.push_back(std::move(workers));
  return domains;
}

} // namespace

std::uint32_t
TotalAccelerators(const protocol::GangShape& aShape)
{
  return aShape.mTasks * aShape.mAcceleratorsPerTask;
}

bool
RequiresOneWorker(const protocol::GangShape& aShape)
{
  return aShape.mTasks == 1 || aShape.mAdjacency == Adjacency::Worker;
}

std::string
ShapeText(const protocol::GangShape& aShape)
{
  return std::to_string(aShape.mTasks) + " x " +
         std::to_string(aShape.mAcceleratorsPerTask) + " accelerators at " +
         protocol::ToString(aShape.mAdjacency);
}

bool
Fits(CapacityIndex& aIndex, const protocol::GangShape& aShape)
{
  if (TotalAccelerators(aShape) > aIndex.Sum()) {
    return false;
  }
  if (RequiresOneWorker(aShape)) {
    return aIndex.Largest() >= TotalAccelerators(aShape);
  }
  if (aIndex.Largest() < aShape.mAcceleratorsPerTask) {
    return false;
  }
  const auto& table = aIndex.TableForTaskSize(aShape.mAcceleratorsPerTask);
  if (aShape.mAdjacency == Adjacency::None) {
    return table.mRegionSlots >= aShape.mTasks;
  }
  const auto& domains =
    aShape.mAdjacency == Adjacency::Rack ? table.mRacks : table.mZones;
  return !domains.empty() && domains.rbegin()->first >= aShape.mTasks;
}

std::vector<std::vector<WorkerIndex>>
FindDomains(CapacityIndex& aIndex,
            const GangNeed& aNeed,
            std::size_t aLimit,
            std::size_t aMaxWorkers)
{
  if (!Fits(aIndex, aNeed.mShape)) {
    return {};
  }
  if (RequiresOneWorker(aNeed.mShape)) {
    return FindOneWorkerDomains(aIndex, aNeed, aLimit);
  }
  switch (aNeed.mShape.mAdjacency) {
    case Adjacency::Rack:
      return FindRackDomains(aIndex, aNeed, aLimit);
    case Adjacency::Zone:
      return FindZoneDomains(aIndex, aNeed, aLimit, aMaxWorkers);
    default:
      return FindRegionDomains(aIndex, aNeed, aLimit, aMaxWorkers);
  }
}

std::vector<Plan>
FindPlans(CapacityIndex& aIndex, const GangNeed& aNeed, std::size_t aLimit)
{
  std::vector<Plan> plans;
  for (const auto& domain :
       FindDomains(aIndex, aNeed, aLimit, MaxWorkersNeeded(aNeed))) {
    if (RequiresOneWorker(aNeed.mShape)) {
      plans.push_back({ { domain.front(), aNeed.mShape.mTasks } });
      continue;
    }
    Plan plan = AssignTasks(aIndex, aNeed, domain);
    if (!plan.empty()) {
      plans.push_back(std::move(plan));
    }
  }
  return plans;
}

Plan
FindPlan(CapacityIndex& aIndex, const GangNeed& aNeed)
{
  auto plans = FindPlans(aIndex, aNeed, aNeed.mExcluded == nullptr ? 1 : 8);
  return plans.empty() ? Plan{} : std::move(plans.front());
}

} // namespace dogwooddrum::coordination::placement
