/** \file
 * Implements CoverPlan, which moves idle cells to the workers of a plan.
 */
#include "dogwooddrum/coordination/placement/GuaranteeCells.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

using protocol::Adjacency;

namespace {

/** Cells tried for one plan. Cells of one kind are interchangeable, so a
 * longer search rarely finds more, and the bound limits the time of a
 * decision. */
constexpr std::size_t kMaxCellsTried = 32;
/** In a plan of more parts, the first part that remains short ends the search
 * for cells part by part. */
constexpr std::size_t kLargePlanParts = 8;
/** Idle cells scanned to find those to try. */
constexpr std::size_t kMaxIdleCellsScanned = 128;

/** The plan to cover and the account whose cells may cover it. */
struct CoverRequest
{
  AccountIndex mAccount;
  const Plan& mPlan;
  std::uint32_t mPerTask;
};

/** Returns the accelerators that the account's unused cells on the worker of
 * a part lack to cover the part. */
std::uint32_t
ShortageOn(const CellRegistry& aRegistry,
           const CoverRequest& aRequest,
           const PlanPart& aPart)
{
  const std::uint32_t need = aPart.mTasks * aRequest.mPerTask;
  const std::uint32_t unused =
    aRegistry.mAccounts[aRequest.mAccount].mUnused.Get(aPart.mWorker);
  return need > unused ? need - unused : 0;
}

std::uint64_t
TotalShortage(const CellRegistry& aRegistry, const CoverRequest& aRequest)
{
  std::uint64_t sum = 0;
  for (const auto& part : aRequest.mPlan) {
    sum += ShortageOn(aRegistry, aRequest, part);
  }
  return sum;
}

/** Returns whether moving the cell away would leave the plan short. */
bool
IsNeededByPlan(const CellRegistry& aRegistry,
               const CoverRequest& aRequest,
               const Cell& aCell)
{
  const auto& unused = aRegistry.mAccounts[aRequest.mAccount].mUnused;
  for (const auto& part : aCell.mParts) {
    for (const auto& wanted : aRequest.mPlan) {
      if (part.mWorker == wanted.mWorker &&
          unused.Get(part.mWorker) <
            wanted.mTasks * aRequest.mPerTask + part.mAmount) {
        return true;
      }
    }
  }
  return false;
}

/** Moves an idle cell of another account off aWorker so that a cell of aSize
 * fits. Returns false, with the cell still bound, if that is not possible. */
bool
MakeSlack(CellRegistry& aRegistry,
          AccountIndex aAccount,
          WorkerIndex aWorker,
          std::uint32_t aSize)
{
  const std::set<CellIndex> cells = aRegistry.mCellsByWorker[aWorker];
  for (const CellIndex index : cells) {
    const auto& cell = aRegistry.mCells[index];
    if (cell.mAccount == aAccount || cell.mUsed > 0 ||
        aRegistry.mSlack.Get(aWorker) + cell.mSize < aSize) {
      continue;
    }
    auto parts = cell.mParts;
    UnbindCell(aRegistry, index);
    const std::uint32_t slack = aRegistry.mSlack.Get(aWorker);
    if (slack >= aSize) {
      // Reserves the slack for the new cell while the other one is rebound.
      SetCellCapacity(aRegistry, aWorker, aRegistry.mCapacity[aWorker] - aSize);
      const bool moved = BindCell(aRegistry, index);
      SetCellCapacity(aRegistry, aWorker, aRegistry.mCapacity[aWorker] + aSize);
      if (moved) {
        return true;
      }
    }
    BindCellTo(aRegistry, index, parts);
  }
  return false;
}

/** Returns whether a cell of aSize might fit on a worker. A cheap check before
 * binding and unbinding, which update all indexes. */
bool
MayHoldCell(const CellRegistry& aRegistry,
            AccountIndex aAccount,
            WorkerIndex aWorker,
            std::uint32_t aSize)
{
  const std::uint32_t slack = aRegistry.mSlack.Get(aWorker);
  if (slack >= aSize) {
    return true;
  }
  const auto& cells = aRegistry.mCellsByWorker[aWorker];
  return std::any_of(cells.begin(), cells.end(), [&](CellIndex aIndex) {
    const auto& cell = aRegistry.mCells[aIndex];
    return cell.mAccount != aAccount && cell.mUsed == 0 &&
           slack + cell.mSize >= aSize;
  });
}

/** Rebinds an idle cell of worker level to aWorker. Returns false if the cell
 * does not fit there; the cell may then be bound to another worker than
 * before. */
bool
MoveWorkerCell(CellRegistry& aRegistry, CellIndex aCell, WorkerIndex aWorker)
{
  const std::uint32_t size = aRegistry.mCells[aCell].mSize;
  const AccountIndex account = aRegistry.mCells[aCell].mAccount;
  auto parts = aRegistry.mCells[aCell].mParts;
  UnbindCell(aRegistry, aCell);
  if (aRegistry.mSlack.Get(aWorker) >= size ||
      MakeSlack(aRegistry, account, aWorker, size)) {
    BindCellTo(aRegistry, aCell, { { aWorker, size, 0 } });
    return true;
  }
  // MakeSlack may have bound another cell to the previous worker.
  if (aRegistry.mSlack.Get(parts.front().mWorker) >= size) {
    BindCellTo(aRegistry, aCell, parts);
  } else {
    BindCell(aRegistry, aCell);
  }
  return false;
}

/** Returns idle cells of the account, either at worker level or above it. */
std::vector<CellIndex>
FindIdleCells(const CellRegistry& aRegistry,
              AccountIndex aAccount,
              bool aWorkerLevel)
{
  std::vector<CellIndex> cells;
  std::size_t scanned = 0;
  for (const CellIndex index : aRegistry.mAccounts[aAccount].mIdle) {
    const bool isWorkerLevel =
      aRegistry.mCells[index].mLevel == Adjacency::Worker;
    if (isWorkerLevel == aWorkerLevel) {
      cells.push_back(index);
    }
    if (cells.size() >= kMaxCellsTried || ++scanned >= kMaxIdleCellsScanned) {
      break;
    }
  }
  return cells;
}

/** Covers the shortage on one worker with idle cells of worker level. */
void
CoverWorker(CellRegistry& aRegistry,
            const CoverRequest& aRequest,
            const PlanPart& aPart)
{
  std::vector<std::pair<std::uint32_t, CellIndex>> order;
  for (const CellIndex index :
       FindIdleCells(aRegistry, aRequest.mAccount, true)) {
    const auto& cell = aRegistry.mCells[index];
    if (!IsNeededByPlan(aRegistry, aRequest, cell)) {
      order.emplace_back(cell.mSize, index);
    }
  }
  std::sort(order.begin(), order.end());
  std::uint32_t shortage = ShortageOn(aRegistry, aRequest, aPart);
  while (shortage > 0 && !order.empty()) {
    auto it = std::lower_bound(
      order.begin(), order.end(), std::pair(shortage, CellIndex{ 0 }));
    if (it == order.end()) {
      --it;
    }
    if (!MayHoldCell(aRegistry, aRequest.mAccount, aPart.mWorker, it->first)) {
      // No cell of this size or a larger one fits.
      order.erase(std::lower_bound(order.begin(),
                                   order.end(),
                                   std::pair(it->first, CellIndex{ 0 })),
                  order.end());
      continue;
    }
    // An earlier move may have used up the surplus of which this cell was part.
    const bool needed =
      IsNeededByPlan(aRegistry, aRequest, aRegistry.mCells[it->second]);
    if (!needed && !MoveWorkerCell(aRegistry, it->second, aPart.mWorker)) {
      return; // the remaining cells would fail in the same way
    }
    order.erase(it);
    shortage = ShortageOn(aRegistry, aRequest, aPart);
  }
}

bool
InSameDomain(const Topology& aTopology,
             Adjacency aLevel,
             WorkerIndex aLeft,
             WorkerIndex aRight)
{
  const auto& left = aTopology.mWorkers[aLeft];
  const auto& right = aTopology.mWorkers[aRight];
  switch (aLevel) {
    case Adjacency::Worker:
      return aLeft == aRight;
    case Adjacency::Rack:
      return left.mRack == right.mRack;
    case Adjacency::Zone:
      return left.mZone == right.mZone;
    default:
      return true;
  }
}

/** Returns workers to which a cell above worker level may be bound: those of
 * aWorker's rack, or those of its zone with the largest slack. */
std::vector<WorkerIndex>
WorkersWithSlack(const CellRegistry& aRegistry,
                 Adjacency aLevel,
                 WorkerIndex aWorker)
{
  const auto& topology = aRegistry.mSlack.GetTopology();
  if (aLevel == Adjacency::Rack) {
    return topology.mRacks[topology.mWorkers[aWorker].mRack].mWorkers;
  }
  std::vector<WorkerIndex> workers;
  const auto& zone =
    aRegistry.mSlack.AmountsByZone()[topology.mWorkers[aWorker].mZone];
  for (auto it = zone.rbegin();
       it != zone.rend() && workers.size() < kMaxCellsTried;
       ++it) {
    workers.push_back(it->second);
  }
  return workers;
}

/** Chooses parts for an unbound cell above worker level: first the shortages of
 * the plan, then the workers with the largest slack in the same domain. Empty
 * if the cell does not fit. */
std::vector<CellPart>
ChoosePartsForPlan(const CellRegistry& aRegistry,
                   const CoverRequest& aRequest,
                   const Cell& aCell)
{
  std::map<WorkerIndex, std::uint32_t> amounts;
  std::uint32_t left = aCell.mSize;
  const WorkerIndex first = aRequest.mPlan.front().mWorker;
  const auto& topology = aRegistry.mSlack.GetTopology();
  for (const auto& part : aRequest.mPlan) {
    if (!InSameDomain(topology, aCell.mLevel, first, part.mWorker)) {
      continue;
    }
    const std::uint32_t amount =
      std::min({ left,
                 ShortageOn(aRegistry, aRequest, part),
                 aRegistry.mSlack.Get(part.mWorker) });
    amounts[part.mWorker] += amount;
    left -= amount;
  }
  auto workers = WorkersWithSlack(aRegistry, aCell.mLevel, first);
  std::stable_sort(
    workers.begin(), workers.end(), [&](WorkerIndex aLeft, WorkerIndex aRight) {
      return aRegistry.mSlack.Get(aLeft) > aRegistry.mSlack.Get(aRight);
    });
  for (const WorkerIndex worker : workers) {
    const std::uint32_t amount =
      std::min(left, aRegistry.mSlack.Get(worker) - amounts[worker]);
    amounts[worker] += amount;
    left -= amount;
  }
  std::vector<CellPart> parts;
  for (const auto& [worker, amount] : amounts) {
    if (amount > 0) {
      parts.push_back({ worker, amount, 0 });
    }
  }
  return left == 0 ? parts : std::vector<CellPart>{};
}

/** Returns whether the plan's rack has enough slack for a rack cell, counting
 * what the cell itself holds there. Other levels are not checked. */
bool
DomainMayHoldCell(CellRegistry& aRegistry,
                  const CoverRequest& aRequest,
                  const Cell& aCell)
{
  if (aCell.mLevel != Adjacency::Rack) {
    return true;
  }
  const auto& workers = aRegistry.mSlack.GetTopology().mWorkers;
  const RackIndex rack = workers[aRequest.mPlan.front().mWorker].mRack;
  const auto& slots = aRegistry.mSlack.TableForTaskSize(1).mRackSlots;
  std::uint32_t available = rack < slots.size() ? slots[rack] : 0;
  for (const auto& part : aCell.mParts) {
    available += workers[part.mWorker].mRack == rack ? part.mAmount : 0;
  }
  return available >= aCell.mSize;
}

/** Rebinds idle cells above worker level to the workers of the plan, as long
 * as each reduces the shortage. */
void
CoverWithMultiWorkerCells(CellRegistry& aRegistry, const CoverRequest& aRequest)
{
  std::vector<CellKind> failedKinds;
  for (const CellIndex index :
       FindIdleCells(aRegistry, aRequest.mAccount, false)) {
    const std::uint64_t before = TotalShortage(aRegistry, aRequest);
    if (before == 0) {
      return;
    }
    const CellKind kind{ aRegistry.mCells[index].mLevel,
                         aRegistry.mCells[index].mSize };
    if (std::find(failedKinds.begin(), failedKinds.end(), kind) !=
          failedKinds.end() ||
        !DomainMayHoldCell(aRegistry, aRequest, aRegistry.mCells[index])) {
      continue;
    }
    auto old = aRegistry.mCells[index].mParts;
    UnbindCell(aRegistry, index);
    auto parts =
      ChoosePartsForPlan(aRegistry, aRequest, aRegistry.mCells[index]);
    if (!parts.empty()) {
      BindCellTo(aRegistry, index, parts);
      if (TotalShortage(aRegistry, aRequest) < before) {
        continue;
      }
      UnbindCell(aRegistry, index);
    }
    BindCellTo(aRegistry, index, old);
    failedKinds.push_back(kind);
  }
}

/** Moves the unused remainder of cells in use from other workers of the rack
 * to the worker of aPart. */
void
CoverWithUnusedRemainders(CellRegistry& aRegistry,
                          const CoverRequest& aRequest,
                          const PlanPart& aPart)
{
  const auto& topology = aRegistry.mSlack.GetTopology();
  const auto rack = topology.mWorkers[aPart.mWorker].mRack;
  const auto workers = topology.mRacks[rack].mWorkers;
  for (const WorkerIndex worker : workers) {
    const auto& byWorker =
      aRegistry.mAccounts[aRequest.mAccount].mCellsByWorker;
    const auto it = byWorker.find(worker);
    const bool planned = std::any_of(
      aRequest.mPlan.begin(), aRequest.mPlan.end(), [&](const PlanPart& aEach) {
        return aEach.mWorker == worker;
      });
    if (it == byWorker.end() || planned) {
      continue;
    }
    const std::set<CellIndex> cells = it->second;
    for (const CellIndex cell : cells) {
      MovePartOfCell(aRegistry,
                     cell,
                     worker,
                     aPart.mWorker,
                     ShortageOn(aRegistry, aRequest, aPart));
    }
  }
}

} // namespace

bool
CoverPlan(CellRegistry& aRegistry,
          AccountIndex aAccount,
          const Plan& aPlan,
          std::uint32_t aPerTask)
{
  const CoverRequest request{ aAccount, aPlan, aPerTask };
  std::uint64_t need = 0;
  for (const auto& part : aPlan) {
    need += std::uint64_t{ part.mTasks } * aPerTask;
  }
  if (UnusedOf(aRegistry, aAccount) < need) {
    return false;
  }
  for (const auto& part : aPlan) {
    if (ShortageOn(aRegistry, request, part) > 0) {
      CoverWithUnusedRemainders(aRegistry, request, part);
    }
    if (ShortageOn(aRegistry, request, part) > 0) {
      CoverWorker(aRegistry, request, part);
    }
    // The rest of a large plan is left to cells above worker level.
    if (ShortageOn(aRegistry, request, part) > 0 &&
        aPlan.size() > kLargePlanParts) {
      break;
    }
  }
  if (TotalShortage(aRegistry, request) > 0) {
    CoverWithMultiWorkerCells(aRegistry, request);
  }
  return TotalShortage(aRegistry, request) == 0;
}

} // namespace dogwooddrum::coordination::placement
