/** \file
 * Implements guarantee cells: capacity, binding, allocation and repair.
 */
#include "dogwooddrum/coordination/placement/GuaranteeCells.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

using protocol::Adjacency;

namespace {

/** Returns an element; grows the vector if it is too short. */
template<typename T>
T&
GetOrGrow(std::vector<T>& aVector, std::size_t aIndex)
{
  if (aVector.size() <= aIndex) {
    aVector.resize(aIndex + 1);
  }
  return aVector[aIndex];
}

/** Recomputes the slack of a worker and whether it is overcommitted. */
void
RefreshSlack(CellRegistry& aRegistry, WorkerIndex aWorker)
{
  const std::uint32_t capacity = GetOrGrow(aRegistry.mCapacity, aWorker);
  const std::uint32_t reserved = GetOrGrow(aRegistry.mReserved, aWorker);
  aRegistry.mSlack.Set(aWorker, capacity > reserved ? capacity - reserved : 0);
  if (reserved > capacity) {
    aRegistry.mOvercommitted.insert(aWorker);
  } else {
    aRegistry.mOvercommitted.erase(aWorker);
  }
}

void
AdjustUnused(AccountCells& aAccount, WorkerIndex aWorker, std::int64_t aDelta)
{
  aAccount.mUnused.Set(
    aWorker,
    static_cast<std::uint32_t>(aAccount.mUnused.Get(aWorker) + aDelta));
}

/** Adds a part of aAmount unused accelerators to a cell. */
void
AddPart(CellRegistry& aRegistry,
        CellIndex aCell,
        WorkerIndex aWorker,
        std::uint32_t aAmount)
{
  auto& cell = aRegistry.mCells[aCell];
  auto& account = aRegistry.mAccounts[cell.mAccount];
  const auto it = std::find_if(
    cell.mParts.begin(), cell.mParts.end(), [&](const CellPart& aPart) {
      return aPart.mWorker == aWorker;
    });
  if (it == cell.mParts.end()) {
    cell.mParts.push_back({ aWorker, aAmount, 0 });
    account.mCellsByWorker[aWorker].insert(aCell);
    GetOrGrow(aRegistry.mCellsByWorker, aWorker).insert(aCell);
  } else {
    it->mAmount += aAmount;
  }
  GetOrGrow(aRegistry.mReserved, aWorker) += aAmount;
  RefreshSlack(aRegistry, aWorker);
  AdjustUnused(account, aWorker, aAmount);
}

/** Removes aAmount unused accelerators from a part; erases an empty part. */
void
ShrinkPart(CellRegistry& aRegistry,
           CellIndex aCell,
           WorkerIndex aWorker,
           std::uint32_t aAmount)
{
  auto& cell = aRegistry.mCells[aCell];
  auto& account = aRegistry.mAccounts[cell.mAccount];
  const auto it = std::find_if(
    cell.mParts.begin(), cell.mParts.end(), [&](const CellPart& aPart) {
      return aPart.mWorker == aWorker;
    });
  it->mAmount -= aAmount;
  if (it->mAmount == 0) {
    cell.mParts.erase(it);
    auto& cells = account.mCellsByWorker[aWorker];
    cells.erase(aCell);
    if (cells.empty()) {
      account.mCellsByWorker.erase(aWorker);
    }
    aRegistry.mCellsByWorker[aWorker].erase(aCell);
  }
  aRegistry.mReserved[aWorker] -= aAmount;
  RefreshSlack(aRegistry, aWorker);
  AdjustUnused(account, aWorker, -static_cast<std::int64_t>(aAmount));
}

/** Splits a cell over workers, the largest slack first, since whole workers
 * can hold tasks that need many accelerators. Empty if the cell does not
 * fit. */
std::vector<CellPart>
SplitLargestFirst(const CellRegistry& aRegistry,
                  std::vector<WorkerIndex> aWorkers,
                  std::uint32_t aSize)
{
  std::stable_sort(aWorkers.begin(),
                   aWorkers.end(),
                   [&](WorkerIndex aLeft, WorkerIndex aRight) {
                     return aRegistry.mSlack.Get(aLeft) >
                            aRegistry.mSlack.Get(aRight);
                   });
  std::vector<CellPart> parts;
  for (const WorkerIndex worker : aWorkers) {
    const std::uint32_t amount = std::min(aSize, aRegistry.mSlack.Get(worker));
    if (amount > 0) {
      parts.push_back({ worker, amount, 0 });
      aSize -= amount;
    }
    if (aSize == 0) {
      return parts;
    }
  }
  return {};
}

/** Appends workers of a zone, the largest slack first, until their sum reaches
 * aSize. */
void
AppendLargestInZone(const CellRegistry& aRegistry,
                    ZoneIndex aZone,
                    std::uint32_t aSize,
                    std::vector<WorkerIndex>& aOut)
{
  const auto& zone = aRegistry.mSlack.AmountsByZone()[aZone];
  std::uint64_t sum = 0;
  for (auto it = zone.rbegin(); it != zone.rend() && sum < aSize; ++it) {
    aOut.push_back(it->second);
    sum += it->first;
  }
}

/** Chooses parts for a cell above worker level, in the tightest domain that
 * holds it. Empty if there is none. */
std::vector<CellPart>
ChoosePartsAcrossWorkers(CellRegistry& aRegistry, const Cell& aCell)
{
  const auto& table = aRegistry.mSlack.TableForTaskSize(1);
  std::vector<WorkerIndex> workers;
  if (aCell.mLevel == Adjacency::Rack) {
    const auto it = table.mRacks.lower_bound({ aCell.mSize, 0 });
    if (it != table.mRacks.end()) {
      workers = aRegistry.mSlack.GetTopology().mRacks[it->second].mWorkers;
    }
  } else if (aCell.mLevel == Adjacency::Zone) {
    const auto it = table.mZones.lower_bound({ aCell.mSize, 0 });
    if (it != table.mZones.end()) {
      AppendLargestInZone(aRegistry, it->second, aCell.mSize, workers);
    }
  } else {
    for (ZoneIndex zone = 0; zone < aRegistry.mSlack.AmountsByZone().size();
         ++zone) {
      AppendLargestInZone(aRegistry, zone, aCell.mSize, workers);
    }
  }
  return SplitLargestFirst(aRegistry, std::move(workers), aCell.mSize);
}

/** Returns the workers to which a part on aWorker may move. A part without
 * adjacency stays in its zone. */
std::vector<WorkerIndex>
WorkersInDomain(const CellRegistry& aRegistry,
                Adjacency aLevel,
                WorkerIndex aWorker)
{
  const auto& topology = aRegistry.mSlack.GetTopology();
  std::vector<WorkerIndex> workers;
  if (aLevel == Adjacency::Rack) {
    workers = topology.mRacks[topology.mWorkers[aWorker].mRack].mWorkers;
  } else if (aLevel == Adjacency::Zone || aLevel == Adjacency::None) {
    AppendLargestInZone(
      aRegistry, topology.mWorkers[aWorker].mZone, UINT32_MAX, workers);
  }
  return workers;
}

/** Moves the unused remainder of a used cell's part within its domain. */
void
MoveUnusedRemainder(CellRegistry& aRegistry,
                    CellIndex aCell,
                    WorkerIndex aWorker)
{
  const auto& cell = aRegistry.mCells[aCell];
  std::uint32_t amount = 0;
  for (const auto& part : cell.mParts) {
    amount += part.mWorker == aWorker ? part.mAmount - part.mUsed : 0;
  }
  if (amount == 0) {
    return;
  }
  const auto parts = SplitLargestFirst(
    aRegistry, WorkersInDomain(aRegistry, cell.mLevel, aWorker), amount);
  for (const auto& part : parts) {
    ShrinkPart(aRegistry, aCell, aWorker, part.mAmount);
    AddPart(aRegistry, aCell, part.mWorker, part.mAmount);
  }
}

/** Unbinds idle cells and moves unused remainders off a worker until its
 * capacity holds the rest. */
void
UnbindExcessCells(CellRegistry& aRegistry, WorkerIndex aWorker)
{
  const std::set<CellIndex> cells = aRegistry.mCellsByWorker[aWorker];
  for (const CellIndex cell : cells) {
    if (aRegistry.mReserved[aWorker] <= aRegistry.mCapacity[aWorker]) {
      return;
    }
    if (aRegistry.mCells[cell].mUsed == 0) {
      UnbindCell(aRegistry, cell);
    } else {
      MoveUnusedRemainder(aRegistry, cell, aWorker);
    }
  }
}

/** Sorts cells for binding: large cells first within a level, and cells of
 * worker level before or after all others. */
std::vector<CellIndex>
SortForBinding(const CellRegistry& aRegistry,
               std::vector<CellIndex> aCells,
               bool aWorkersFirst)
{
  std::stable_sort(
    aCells.begin(), aCells.end(), [&](CellIndex aLeft, CellIndex aRight) {
      const auto& left = aRegistry.mCells[aLeft];
      const auto& right = aRegistry.mCells[aRight];
      const bool leftWorker = left.mLevel == Adjacency::Worker;
      const bool rightWorker = right.mLevel == Adjacency::Worker;
      if (leftWorker != rightWorker) {
        return leftWorker == aWorkersFirst;
      }
      const auto levelRank = [](const Cell& aCell) {
        return aCell.mLevel == Adjacency::None ? Adjacency(255) : aCell.mLevel;
      };
      return std::make_tuple(levelRank(left), right.mSize) <
             std::make_tuple(levelRank(right), left.mSize);
    });
  return aCells;
}

/** Binds all cells that fit. Returns whether all did. */
bool
BindAll(CellRegistry& aRegistry, const std::vector<CellIndex>& aCells)
{
  bool allBound = true;
  for (const CellIndex cell : aCells) {
    allBound = BindCell(aRegistry, cell) && allBound;
  }
  return allBound;
}

/** Rebinds all idle and unbound cells from scratch; restores the previous
 * binding if that does not bind them all. */
void
Repack(CellRegistry& aRegistry)
{
  std::vector<CellIndex> cells(aRegistry.mUnbound.begin(),
                               aRegistry.mUnbound.end());
  std::vector<std::pair<CellIndex, std::vector<CellPart>>> oldBindings;
  for (auto& account : aRegistry.mAccounts) {
    const auto idle = account.mIdle;
    for (const CellIndex cell : idle) {
      oldBindings.emplace_back(cell, aRegistry.mCells[cell].mParts);
      cells.push_back(cell);
      UnbindCell(aRegistry, cell);
    }
  }
  std::sort(cells.begin(), cells.end());
  for (const bool workersFirst : { false, true }) {
    if (BindAll(aRegistry, SortForBinding(aRegistry, cells, workersFirst))) {
      return;
    }
    for (const CellIndex cell : cells) {
      if (!aRegistry.mCells[cell].mParts.empty()) {
        UnbindCell(aRegistry, cell);
      }
    }
  }
  for (const auto& [cell, parts] : oldBindings) {
    BindCellTo(aRegistry, cell, parts);
  }
}

} // namespace

CellIndex
AddCell(CellRegistry& aRegistry,
        AccountIndex aAccount,
        std::uint32_t aSize,
        Adjacency aLevel)
{
  CellIndex index = static_cast<CellIndex>(aRegistry.mCells.size());
  if (aRegistry.mFreeSlots.empty()) {
    aRegistry.mCells.emplace_back();
  } else {
    index = aRegistry.mFreeSlots.back();
    aRegistry.mFreeSlots.pop_back();
  }
  auto& cell = aRegistry.mCells[index];
  cell = Cell{};
  cell.mAccount = aAccount;
  cell.mSize = aSize;
  cell.mLevel = aLevel;
  cell.mLive = true;
  aRegistry.mAccounts[aAccount].mCells.insert(index);
  aRegistry.mAccounts[aAccount].mSize += aSize;
  aRegistry.mUnbound.insert(index);
  return index;
}

void
RemoveCell(CellRegistry& aRegistry, CellIndex aCell)
{
  auto& cell = aRegistry.mCells[aCell];
  auto& account = aRegistry.mAccounts[cell.mAccount];
  if (!cell.mParts.empty()) {
    UnbindCell(aRegistry, aCell);
  }
  aRegistry.mUnbound.erase(aCell);
  account.mCells.erase(aCell);
  account.mSize -= cell.mSize;
  cell = Cell{};
  aRegistry.mFreeSlots.push_back(aCell);
}

void
SetCellCapacity(CellRegistry& aRegistry,
                WorkerIndex aWorker,
                std::uint32_t aCapacity)
{
  GetOrGrow(aRegistry.mCapacity, aWorker) = aCapacity;
  GetOrGrow(aRegistry.mCellsByWorker, aWorker);
  RefreshSlack(aRegistry, aWorker);
}

bool
BindCell(CellRegistry& aRegistry, CellIndex aCell)
{
  const auto& cell = aRegistry.mCells[aCell];
  std::vector<CellPart> parts;
  if (cell.mLevel == Adjacency::Worker) {
    GangNeed need;
    need.mShape = { 1, cell.mSize, Adjacency::Worker };
    const Plan plan = FindPlan(aRegistry.mSlack, need);
    if (!plan.empty()) {
      parts.push_back({ plan.front().mWorker, cell.mSize, 0 });
    }
  } else {
    parts = ChoosePartsAcrossWorkers(aRegistry, cell);
  }
  if (parts.empty()) {
    return false;
  }
  BindCellTo(aRegistry, aCell, parts);
  return true;
}

void
BindCellTo(CellRegistry& aRegistry,
           CellIndex aCell,
           const std::vector<CellPart>& aParts)
{
  for (const auto& part : aParts) {
    AddPart(aRegistry, aCell, part.mWorker, part.mAmount);
  }
  aRegistry.mUnbound.erase(aCell);
  aRegistry.mAccounts[aRegistry.mCells[aCell].mAccount].mIdle.insert(aCell);
}

void
MovePartOfCell(CellRegistry& aRegistry,
               CellIndex aCell,
               WorkerIndex aFrom,
               WorkerIndex aTo,
               std::uint32_t aMaxAmount)
{
  const auto& cell = aRegistry.mCells[aCell];
  if (cell.mLevel == Adjacency::Worker) {
    return;
  }
  std::uint32_t amount = 0;
  for (const auto& part : cell.mParts) {
    amount += part.mWorker == aFrom ? part.mAmount - part.mUsed : 0;
  }
  amount = std::min({ amount, aMaxAmount, aRegistry.mSlack.Get(aTo) });
  if (amount > 0) {
    ShrinkPart(aRegistry, aCell, aFrom, amount);
    AddPart(aRegistry, aCell, aTo, amount);
  }
}

void
UnbindCell(CellRegistry& aRegistry, CellIndex aCell)
{
  const std::vector<CellPart> parts = aRegistry.mCells[aCell].mParts;
  for (const auto& part : parts) {
    ShrinkPart(aRegistry, aCell, part.mWorker, part.mAmount);
  }
  aRegistry.mAccounts[aRegistry.mCells[aCell].mAccount].mIdle.erase(aCell);
  aRegistry.mUnbound.insert(aCell);
}

void
RepairCells(CellRegistry& aRegistry, bool aRepack)
{
  const std::set<WorkerIndex> overfull = aRegistry.mOvercommitted;
  for (const WorkerIndex worker : overfull) {
    UnbindExcessCells(aRegistry, worker);
  }
  if (aRegistry.mUnbound.empty()) {
    return;
  }
  const std::vector<CellIndex> unbound(aRegistry.mUnbound.begin(),
                                       aRegistry.mUnbound.end());
  if (!BindAll(aRegistry, SortForBinding(aRegistry, unbound, false)) &&
      aRepack) {
    Repack(aRegistry);
  }
}

std::uint64_t
UnusedOf(const CellRegistry& aRegistry, AccountIndex aAccount)
{
  return aRegistry.mAccounts[aAccount].mUnused.Sum();
}

void
AllocateFromCells(CellRegistry& aRegistry,
                  AccountIndex aAccount,
                  WorkerIndex aWorker,
                  std::uint32_t aAmount,
                  std::vector<CellShare>& aShares)
{
  auto& account = aRegistry.mAccounts[aAccount];
  std::vector<std::tuple<bool, std::uint32_t, CellIndex>> order;
  for (const CellIndex index : account.mCellsByWorker[aWorker]) {
    const auto& cell = aRegistry.mCells[index];
    order.emplace_back(cell.mUsed == 0, cell.mSize, index);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [idle, size, index] : order) {
    auto& cell = aRegistry.mCells[index];
    for (auto& part : cell.mParts) {
      const std::uint32_t take =
        part.mWorker == aWorker ? std::min(aAmount, part.mAmount - part.mUsed)
                                : 0;
      if (take > 0) {
        part.mUsed += take;
        cell.mUsed += take;
        account.mUsed += take;
        account.mIdle.erase(index);
        aAmount -= take;
        aShares.push_back({ index, aWorker, take });
        AdjustUnused(account, aWorker, -static_cast<std::int64_t>(take));
      }
    }
  }
}

void
ReleaseShare(CellRegistry& aRegistry, const CellShare& aShare)
{
  auto& cell = aRegistry.mCells[aShare.mCell];
  auto& account = aRegistry.mAccounts[cell.mAccount];
  for (auto& part : cell.mParts) {
    if (part.mWorker == aShare.mWorker) {
      part.mUsed -= aShare.mAmount;
    }
  }
  cell.mUsed -= aShare.mAmount;
  account.mUsed -= aShare.mAmount;
  AdjustUnused(account, aShare.mWorker, aShare.mAmount);
  if (cell.mUsed == 0) {
    account.mIdle.insert(aShare.mCell);
  }
}

} // namespace dogwooddrum::coordination::placement
