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
RefreshSlack(CellBook& aBook, WorkerIndex aWorker)
{
  const std::uint32_t capacity = GetOrGrow(aBook.mCapacity, aWorker);
  const std::uint32_t reserved = GetOrGrow(aBook.mReserved, aWorker);
  aBook.mSlack.Set(aWorker, capacity > reserved ? capacity - reserved : 0);
  if (reserved > capacity) {
    aBook.mOverfull.insert(aWorker);
  } else {
    aBook.mOverfull.erase(aWorker);
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
AddPart(CellBook& aBook,
        CellIndex aCell,
        WorkerIndex aWorker,
        std::uint32_t aAmount)
{
  auto& cell = aBook.mCells[aCell];
  auto& account = aBook.mAccounts[cell.mAccount];
  const auto it = std::find_if(
    cell.mParts.begin(), cell.mParts.end(), [&](const CellPart& aPart) {
      return aPart.mWorker == aWorker;
    });
  if (it == cell.mParts.end()) {
    cell.mParts.push_back({ aWorker, aAmount, 0 });
    account.mOnWorker[aWorker].insert(aCell);
    GetOrGrow(aBook.mOnWorker, aWorker).insert(aCell);
  } else {
    it->mAmount += aAmount;
  }
  GetOrGrow(aBook.mReserved, aWorker) += aAmount;
  RefreshSlack(aBook, aWorker);
  AdjustUnused(account, aWorker, aAmount);
}

/** Removes aAmount unused accelerators from a part; erases an empty part. */
void
ShrinkPart(CellBook& aBook,
           CellIndex aCell,
           WorkerIndex aWorker,
           std::uint32_t aAmount)
{
  auto& cell = aBook.mCells[aCell];
  auto& account = aBook.mAccounts[cell.mAccount];
  const auto it = std::find_if(
    cell.mParts.begin(), cell.mParts.end(), [&](const CellPart& aPart) {
      return aPart.mWorker == aWorker;
    });
  it->mAmount -= aAmount;
  if (it->mAmount == 0) {
    cell.mParts.erase(it);
    auto& cells = account.mOnWorker[aWorker];
    cells.erase(aCell);
    if (cells.empty()) {
      account.mOnWorker.erase(aWorker);
    }
    aBook.mOnWorker[aWorker].erase(aCell);
  }
  aBook.mReserved[aWorker] -= aAmount;
  RefreshSlack(aBook, aWorker);
  AdjustUnused(account, aWorker, -static_cast<std::int64_t>(aAmount));
}

/** Splits a cell over workers, the largest slack first, since whole workers
 * can hold tasks that need many accelerators. Empty if the cell does not
 * fit. */
std::vector<CellPart>
SplitLargestFirst(const CellBook& aBook,
                  std::vector<WorkerIndex> aWorkers,
                  std::uint32_t aSize)
{
  std::stable_sort(aWorkers.begin(),
                   aWorkers.end(),
                   [&](WorkerIndex aLeft, WorkerIndex aRight) {
                     return aBook.mSlack.Get(aLeft) > aBook.mSlack.Get(aRight);
                   });
  std::vector<CellPart> parts;
  for (const WorkerIndex worker : aWorkers) {
    const std::uint32_t amount = std::min(aSize, aBook.mSlack.Get(worker));
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
AppendLargestInZone(const CellBook& aBook,
                    ZoneIndex aZone,
                    std::uint32_t aSize,
                    std::vector<WorkerIndex>& aOut)
{
  const auto& zone = aBook.mSlack.AmountsByZone()[aZone];
  std::uint64_t sum = 0;
  for (auto it = zone.rbegin(); it != zone.rend() && sum < aSize; ++it) {
    aOut.push_back(it->second);
    sum += it->first;
  }
}

/** Chooses parts for a cell above worker level, in the tightest domain that
 * holds it. Empty if there is none. */
std::vector<CellPart>
ChoosePartsAcrossWorkers(CellBook& aBook, const Cell& aCell)
{
  const auto& table = aBook.mSlack.TableForTaskSize(1);
  std::vector<WorkerIndex> workers;
  if (aCell.mLevel == Adjacency::Rack) {
    const auto it = table.mRacks.lower_bound({ aCell.mSize, 0 });
    if (it != table.mRacks.end()) {
      workers = aBook.mSlack.GetTopology().mRacks[it->second].mWorkers;
    }
  } else if (aCell.mLevel == Adjacency::Zone) {
    const auto it = table.mZones.lower_bound({ aCell.mSize, 0 });
    if (it != table.mZones.end()) {
      AppendLargestInZone(aBook, it->second, aCell.mSize, workers);
    }
  } else {
    for (ZoneIndex zone = 0; zone < aBook.mSlack.AmountsByZone().size();
         ++zone) {
      AppendLargestInZone(aBook, zone, aCell.mSize, workers);
    }
  }
  return SplitLargestFirst(aBook, std::move(workers), aCell.mSize);
}

/** Returns the workers to which a part on aWorker may move. A part without
 * adjacency stays in its zone. */
std::vector<WorkerIndex>
WorkersInDomain(const CellBook& aBook, Adjacency aLevel, WorkerIndex aWorker)
{
  const auto& topology = aBook.mSlack.GetTopology();
  std::vector<WorkerIndex> workers;
  if (aLevel == Adjacency::Rack) {
    workers = topology.mRacks[topology.mWorkers[aWorker].mRack].mWorkers;
  } else if (aLevel == Adjacency::Zone || aLevel == Adjacency::None) {
    AppendLargestInZone(
      aBook, topology.mWorkers[aWorker].mZone, UINT32_MAX, workers);
  }
  return workers;
}

/** Moves the unused remainder of a used cell's part within its domain. */
void
MoveUnusedRemainder(CellBook& aBook, CellIndex aCell, WorkerIndex aWorker)
{
  const auto& cell = aBook.mCells[aCell];
  std::uint32_t amount = 0;
  for (const auto& part : cell.mParts) {
    amount += part.mWorker == aWorker ? part.mAmount - part.mUsed : 0;
  }
  if (amount == 0) {
    return;
  }
  const auto parts = SplitLargestFirst(
    aBook, WorkersInDomain(aBook, cell.mLevel, aWorker), amount);
  for (const auto& part : parts) {
    ShrinkPart(aBook, aCell, aWorker, part.mAmount);
    AddPart(aBook, aCell, part.mWorker, part.mAmount);
  }
}

/** Unbinds idle cells and moves unused remainders off a worker until its
 * capacity holds the rest. */
void
UnbindExcessCells(CellBook& aBook, WorkerIndex aWorker)
{
  const std::set<CellIndex> cells = aBook.mOnWorker[aWorker];
  for (const CellIndex cell : cells) {
    if (aBook.mReserved[aWorker] <= aBook.mCapacity[aWorker]) {
      return;
    }
    if (aBook.mCells[cell].mUsed == 0) {
      UnbindCell(aBook, cell);
    } else {
      MoveUnusedRemainder(aBook, cell, aWorker);
    }
  }
}

/** Sorts cells for binding: large cells first within a level, and cells of
 * worker level before or after all others. */
std::vector<CellIndex>
SortForBinding(const CellBook& aBook,
               std::vector<CellIndex> aCells,
               bool aWorkersFirst)
{
  std::stable_sort(
    aCells.begin(), aCells.end(), [&](CellIndex aLeft, CellIndex aRight) {
      const auto& left = aBook.mCells[aLeft];
      const auto& right = aBook.mCells[aRight];
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
BindAll(CellBook& aBook, const std::vector<CellIndex>& aCells)
{
  bool allBound = true;
  for (const CellIndex cell : aCells) {
    allBound = BindCell(aBook, cell) && allBound;
  }
  return allBound;
}

/** Rebinds all idle and unbound cells from scratch; restores the previous
 * binding if that does not bind them all. */
void
Repack(CellBook& aBook)
{
  std::vector<CellIndex> cells(aBook.mUnbound.begin(), aBook.mUnbound.end());
  std::vector<std::pair<CellIndex, std::vector<CellPart>>> oldBindings;
  for (auto& account : aBook.mAccounts) {
    const auto idle = account.mIdle;
    for (const CellIndex cell : idle) {
      oldBindings.emplace_back(cell, aBook.mCells[cell].mParts);
      cells.push_back(cell);
      UnbindCell(aBook, cell);
    }
  }
  std::sort(cells.begin(), cells.end());
  for (const bool workersFirst : { false, true }) {
    if (BindAll(aBook, SortForBinding(aBook, cells, workersFirst))) {
      return;
    }
    for (const CellIndex cell : cells) {
      if (!aBook.mCells[cell].mParts.empty()) {
        UnbindCell(aBook, cell);
      }
    }
  }
  for (const auto& [cell, parts] : oldBindings) {
    BindCellTo(aBook, cell, parts);
  }
}

} // namespace

CellIndex
AddCell(CellBook& aBook,
        AccountIndex aAccount,
        std::uint32_t aSize,
        Adjacency aLevel)
{
  CellIndex index = static_cast<CellIndex>(aBook.mCells.size());
  if (aBook.mFreeSlots.empty()) {
    aBook.mCells.emplace_back();
  } else {
    index = aBook.mFreeSlots.back();
    aBook.mFreeSlots.pop_back();
  }
  auto& cell = aBook.mCells[index];
  cell = Cell{};
  cell.mAccount = aAccount;
  cell.mSize = aSize;
  cell.mLevel = aLevel;
  cell.mLive = true;
  aBook.mAccounts[aAccount].mCells.insert(index);
  aBook.mAccounts[aAccount].mSize += aSize;
  aBook.mUnbound.insert(index);
  return index;
}

void
RemoveCell(CellBook& aBook, CellIndex aCell)
{
  auto& cell = aBook.mCells[aCell];
  auto& account = aBook.mAccounts[cell.mAccount];
  if (!cell.mParts.empty()) {
    UnbindCell(aBook, aCell);
  }
  aBook.mUnbound.erase(aCell);
  account.mCells.erase(aCell);
  account.mSize -= cell.mSize;
  cell = Cell{};
  aBook.mFreeSlots.push_back(aCell);
}

void
SetCellCapacity(CellBook& aBook, WorkerIndex aWorker, std::uint32_t aCapacity)
{
  GetOrGrow(aBook.mCapacity, aWorker) = aCapacity;
  GetOrGrow(aBook.mOnWorker, aWorker);
  RefreshSlack(aBook, aWorker);
}

bool
BindCell(CellBook& aBook, CellIndex aCell)
{
  const auto& cell = aBook.mCells[aCell];
  std::vector<CellPart> parts;
  if (cell.mLevel == Adjacency::Worker) {
    GangNeed need;
    need.mShape = { 1, cell.mSize, Adjacency::Worker };
    const Plan plan = FindPlan(aBook.mSlack, need);
    if (!plan.empty()) {
      parts.push_back({ plan.front().mWorker, cell.mSize, 0 });
    }
  } else {
    parts = ChoosePartsAcrossWorkers(aBook, cell);
  }
  if (parts.empty()) {
    return false;
  }
  BindCellTo(aBook, aCell, parts);
  return true;
}

void
BindCellTo(CellBook& aBook,
           CellIndex aCell,
           const std::vector<CellPart>& aParts)
{
  for (const auto& part : aParts) {
    AddPart(aBook, aCell, part.mWorker, part.mAmount);
  }
  aBook.mUnbound.erase(aCell);
  aBook.mAccounts[aBook.mCells[aCell].mAccount].mIdle.insert(aCell);
}

void
MovePartOfCell(CellBook& aBook,
               CellIndex aCell,
               WorkerIndex aFrom,
               WorkerIndex aTo,
               std::uint32_t aMaxAmount)
{
  const auto& cell = aBook.mCells[aCell];
  if (cell.mLevel == Adjacency::Worker) {
    return;
  }
  std::uint32_t amount = 0;
  for (const auto& part : cell.mParts) {
    amount += part.mWorker == aFrom ? part.mAmount - part.mUsed : 0;
  }
  amount = std::min({ amount, aMaxAmount, aBook.mSlack.Get(aTo) });
  if (amount > 0) {
    ShrinkPart(aBook, aCell, aFrom, amount);
    AddPart(aBook, aCell, aTo, amount);
  }
}

void
UnbindCell(CellBook& aBook, CellIndex aCell)
{
  const std::vector<CellPart> parts = aBook.mCells[aCell].mParts;
  for (const auto& part : parts) {
    ShrinkPart(aBook, aCell, part.mWorker, part.mAmount);
  }
  aBook.mAccounts[aBook.mCells[aCell].mAccount].mIdle.erase(aCell);
  aBook.mUnbound.insert(aCell);
}

void
RepairCells(CellBook& aBook, bool aRepack)
{
  const std::set<WorkerIndex> overfull = aBook.mOverfull;
  for (const WorkerIndex worker : overfull) {
    UnbindExcessCells(aBook, worker);
  }
  if (aBook.mUnbound.empty()) {
    return;
  }
  const std::vector<CellIndex> unbound(aBook.mUnbound.begin(),
                                       aBook.mUnbound.end());
  if (!BindAll(aBook, SortForBinding(aBook, unbound, false)) && aRepack) {
    Repack(aBook);
  }
}

std::uint64_t
UnusedOf(const CellBook& aBook, AccountIndex aAccount)
{
  return aBook.mAccounts[aAccount].mUnused.Sum();
}

void
AllocateFromCells(CellBook& aBook,
                  AccountIndex aAccount,
                  WorkerIndex aWorker,
                  std::uint32_t aAmount,
                  std::vector<CellShare>& aShares)
{
  auto& account = aBook.mAccounts[aAccount];
  std::vector<std::tuple<bool, std::uint32_t, CellIndex>> order;
  for (const CellIndex index : account.mOnWorker[aWorker]) {
    const auto& cell = aBook.mCells[index];
    order.emplace_back(cell.mUsed == 0, cell.mSize, index);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [idle, size, index] : order) {
    auto& cell = aBook.mCells[index];
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
ReleaseShare(CellBook& aBook, const CellShare& aShare)
{
  auto& cell = aBook.mCells[aShare.mCell];
  auto& account = aBook.mAccounts[cell.mAccount];
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
