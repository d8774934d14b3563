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
ShortageOn(const CellBook& aBook,
           const CoverRequest& aRequest,
           const PlanPart& aPart)
{
  const std::uint32_t need = aPart.mTasks * aRequest.mPerTask;
  const std::uint32_t unused =
    aBook.mAccounts[aRequest.mAccount].mUnused.Get(aPart.mWorker);
  return need > unused ? need - unused : 0;
}

std::uint64_t
TotalShortage(const CellBook& aBook, const CoverRequest& aRequest)
{
  std::uint64_t sum = 0;
  for (const auto& part : aRequest.mPlan) {
    sum += ShortageOn(aBook, aRequest, part);
  }
  return sum;
}

/** Returns whether moving the cell away would leave the plan short. */
bool
IsNeededByPlan(const CellBook& aBook,
               const CoverRequest& aRequest,
               const Cell& aCell)
{
  const auto& unused = aBook.mAccounts[aRequest.mAccount].mUnused;
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
MakeSlack(CellBook& aBook,
          AccountIndex aAccount,
          WorkerIndex aWorker,
          std::uint32_t aSize)
{
  const std::set<CellIndex> cells = aBook.mOnWorker[aWorker];
  for (const CellIndex index : cells) {
    const auto& cell = aBook.mCells[index];
    if (cell.mAccount == aAccount || cell.mUsed > 0 ||
        aBook.mSlack.Get(aWorker) + cell.mSize < aSize) {
      continue;
    }
    auto parts = cell.mParts;
    UnbindCell(aBook, index);
    const std::uint32_t slack = aBook.mSlack.Get(aWorker);
    if (slack >= aSize) {
      // Reserves the slack for the new cell while the other one is rebound.
      SetCellCapacity(aBook, aWorker, aBook.mCapacity[aWorker] - aSize);
      const bool moved = BindCell(aBook, index);
      SetCellCapacity(aBook, aWorker, aBook.mCapacity[aWorker] + aSize);
      if (moved) {
        return true;
      }
    }
    BindCellTo(aBook, index, parts);
  }
  return false;
}

/** Returns whether a cell of aSize might fit on a worker. A cheap check before
 * binding and unbinding, which update all indexes. */
bool
MayHoldCell(const CellBook& aBook,
            AccountIndex aAccount,
            WorkerIndex aWorker,
            std::uint32_t aSize)
{
  const std::uint32_t slack = aBook.mSlack.Get(aWorker);
  if (slack >= aSize) {
    return true;
  }
  const auto& cells = aBook.mOnWorker[aWorker];
  return std::any_of(cells.begin(), cells.end(), [&](CellIndex aIndex) {
    const auto& cell = aBook.mCells[aIndex];
    return cell.mAccount != aAccount && cell.mUsed == 0 &&
           slack + cell.mSize >= aSize;
  });
}

/** Rebinds an idle cell of worker level to aWorker. Returns false if the cell
 * does not fit there; the cell may then be bound to another worker than
 * before. */
bool
MoveWorkerCell(CellBook& aBook, CellIndex aCell, WorkerIndex aWorker)
{
  const std::uint32_t size = aBook.mCells[aCell].mSize;
  const AccountIndex account = aBook.mCells[aCell].mAccount;
  auto parts = aBook.mCells[aCell].mParts;
  UnbindCell(aBook, aCell);
  if (aBook.mSlack.Get(aWorker) >= size ||
      MakeSlack(aBook, account, aWorker, size)) {
    BindCellTo(aBook, aCell, { { aWorker, size, 0 } });
    return true;
  }
  // MakeSlack may have bound another cell to the previous worker.
  if (aBook.mSlack.Get(parts.front().mWorker) >= size) {
    BindCellTo(aBook, aCell, parts);
  } else {
    BindCell(aBook, aCell);
  }
  return false;
}

/** Returns idle cells of the account, either at worker level or above it. */
std::vector<CellIndex>
FindIdleCells(const CellBook& aBook, AccountIndex aAccount, bool aWorkerLevel)
{
  std::vector<CellIndex> cells;
  std::size_t scanned = 0;
  for (const CellIndex index : aBook.mAccounts[aAccount].mIdle) {
    const bool isWorkerLevel = aBook.mCells[index].mLevel == Adjacency::Worker;
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
CoverWorker(CellBook& aBook,
            const CoverRequest& aRequest,
            const PlanPart& aPart)
{
  std::vector<std::pair<std::uint32_t, CellIndex>> order;
  for (const CellIndex index : FindIdleCells(aBook, aRequest.mAccount, true)) {
    const auto& cell = aBook.mCells[index];
    if (!IsNeededByPlan(aBook, aRequest, cell)) {
      order.emplace_back(cell.mSize, index);
    }
  }
  std::sort(order.begin(), order.end());
  std::uint32_t shortage = ShortageOn(aBook, aRequest, aPart);
  while (shortage > 0 && !order.empty()) {
    auto it = std::lower_bound(
      order.begin(), order.end(), std::pair(shortage, CellIndex{ 0 }));
    if (it == order.end()) {
      --it;
    }
    if (!MayHoldCell(aBook, aRequest.mAccount, aPart.mWorker, it->first)) {
      // No cell of this size or a larger one fits.
      order.erase(std::lower_bound(order.begin(),
                                   order.end(),
                                   std::pair(it->first, CellIndex{ 0 })),
                  order.end());
      continue;
    }
    // An earlier move may have used up the surplus of which this cell was part.
    const bool needed =
      IsNeededByPlan(aBook, aRequest, aBook.mCells[it->second]);
    if (!needed && !MoveWorkerCell(aBook, it->second, aPart.mWorker)) {
      return; // the remaining cells would fail in the same way
    }
    order.erase(it);
    shortage = ShortageOn(aBook, aRequest, aPart);
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
WorkersWithSlack(const CellBook& aBook, Adjacency aLevel, WorkerIndex aWorker)
{
  const auto& topology = aBook.mSlack.GetTopology();
  if (aLevel == Adjacency::Rack) {
    return topology.mRacks[topology.mWorkers[aWorker].mRack].mWorkers;
  }
  std::vector<WorkerIndex> workers;
  const auto& zone =
    aBook.mSlack.AmountsByZone()[topology.mWorkers[aWorker].mZone];
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
ChoosePartsForPlan(const CellBook& aBook,
                   const CoverRequest& aRequest,
                   const Cell& aCell)
{
  std::map<WorkerIndex, std::uint32_t> amounts;
  std::uint32_t left = aCell.mSize;
  const WorkerIndex first = aRequest.mPlan.front().mWorker;
  const auto& topology = aBook.mSlack.GetTopology();
  for (const auto& part : aRequest.mPlan) {
    if (!InSameDomain(topology, aCell.mLevel, first, part.mWorker)) {
      continue;
    }
    const std::uint32_t amount = std::min({ left,
                                            ShortageOn(aBook, aRequest, part),
                                            aBook.mSlack.Get(part.mWorker) });
    amounts[part.mWorker] += amount;
    left -= amount;
  }
  auto workers = WorkersWithSlack(aBook, aCell.mLevel, first);
  std::stable_sort(
    workers.begin(), workers.end(), [&](WorkerIndex aLeft, WorkerIndex aRight) {
      return aBook.mSlack.Get(aLeft) > aBook.mSlack.Get(aRight);
    });
  for (const WorkerIndex worker : workers) {
    const std::uint32_t amount =
      std::min(left, aBook.mSlack.Get(worker) - amounts[worker]);
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
DomainMayHoldCell(CellBook& aBook,
                  const CoverRequest& aRequest,
                  const Cell& aCell)
{
  if (aCell.mLevel != Adjacency::Rack) {
    return true;
  }
  const auto& workers = aBook.mSlack.GetTopology().mWorkers;
  const RackIndex rack = workers[aRequest.mPlan.front().mWorker].mRack;
  const auto& slots = aBook.mSlack.TableForTaskSize(1).mRackSlots;
  std::uint32_t available = rack < slots.size() ? slots[rack] : 0;
  for (const auto& part : aCell.mParts) {
    available += workers[part.mWorker].mRack == rack ? part.mAmount : 0;
  }
  return available >= aCell.mSize;
}

/** Rebinds idle cells above worker level to the workers of the plan, as long
 * as each reduces the shortage. */
void
CoverWithMultiWorkerCells(CellBook& aBook, const CoverRequest& aRequest)
{
  std::vector<CellKind> failedKinds;
  for (const CellIndex index : FindIdleCells(aBook, aRequest.mAccount, false)) {
    const std::uint64_t before = TotalShortage(aBook, aRequest);
    if (before == 0) {
      return;
    }
    const CellKind kind{ aBook.mCells[index].mLevel,
                         aBook.mCells[index].mSize };
    if (std::find(failedKinds.begin(), failedKinds.end(), kind) !=
          failedKinds.end() ||
        !DomainMayHoldCell(aBook, aRequest, aBook.mCells[index])) {
      continue;
    }
    auto old = aBook.mCells[index].mParts;
    UnbindCell(aBook, index);
    auto parts = ChoosePartsForPlan(aBook, aRequest, aBook.mCells[index]);
    if (!parts.empty()) {
      BindCellTo(aBook, index, parts);
      if (TotalShortage(aBook, aRequest) < before) {
        continue;
      }
      UnbindCell(aBook, index);
    }
    BindCellTo(aBook, index, old);
    failedKinds.push_back(kind);
  }
}

/** Moves the unused remainder of cells in use from other workers of the rack
 * to the worker of aPart. */
void
CoverWithUnusedRemainders(CellBook& aBook,
                          const CoverRequest& aRequest,
                          const PlanPart& aPart)
{
  const auto& topology = aBook.mSlack.GetTopology();
  const auto rack = topology.mWorkers[aPart.mWorker].mRack;
  const auto workers = topology.mRacks[rack].mWorkers;
  for (const WorkerIndex worker : workers) {
    const auto& byWorker = aBook.mAccounts[aRequest.mAccount].mOnWorker;
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
      MovePartOfCell(
        aBook, cell, worker, aPart.mWorker, ShortageOn(aBook, aRequest, aPart));
    }
  }
}

} // namespace

bool
CoverPlan(CellBook& aBook,
          AccountIndex aAccount,
          const Plan& aPlan,
          std::uint32_t aPerTask)
{
  const CoverRequest request{ aAccount, aPlan, aPerTask };
  std::uint64_t need = 0;
  for (const auto& part : aPlan) {
    need += std::uint64_t{ part.mTasks } * aPerTask;
  }
  if (UnusedOf(aBook, aAccount) < need) {
    return false;
  }
  for (const auto& part : aPlan) {
    if (ShortageOn(aBook, request, part) > 0) {
      CoverWithUnusedRemainders(aBook, request, part);
    }
    if (ShortageOn(aBook, request, part) > 0) {
      CoverWorker(aBook, request, part);
    }
    // The rest of a large plan is left to cells above worker level.
    if (ShortageOn(aBook, request, part) > 0 &&
        aPlan.size() > kLargePlanParts) {
      break;
    }
  }
  if (TotalShortage(aBook, request) > 0) {
    CoverWithMultiWorkerCells(aBook, request);
  }
  return TotalShortage(aBook, request) == 0;
}

} // namespace dogwooddrum::coordination::placement
