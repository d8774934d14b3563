/** \file
 * Defines the cells that guarantee shapes to client accounts. A cell is bound
 * to workers that have enough accelerators for all cells bound to them at the
 * same time. The unused part of a cell may be rebound to other workers.
 */
#pragma once

#include "dogwooddrum/coordination/placement/FitSearch.h"

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace dogwooddrum::coordination::placement {

/** Accelerators of a cell on one worker. */
struct CellPart
{
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
  std::uint32_t mUsed = 0;
};

/** One guaranteed block of adjacent accelerators. A cell is idle if it is
 * bound and none of it is used. */
struct Cell
{
  AccountIndex mAccount = kNoIndex;
  std::uint32_t mSize = 0;
  protocol::Adjacency mLevel = protocol::Adjacency::Worker;
  std::vector<CellPart> mParts; ///< empty while unbound
  std::uint32_t mUsed = 0;
  bool mLive = false; ///< false: the entry of the vector is unused
};

/** Accelerators of a cell that a job holds on one worker. */
struct CellShare
{
  CellIndex mCell = kNoIndex;
  WorkerIndex mWorker = kNoIndex;
  std::uint32_t mAmount = 0;
};

/** (level, size) of a cell; cells of one kind are interchangeable. */
using CellKind = std::pair<protocol::Adjacency, std::uint32_t>;

/** The cells of one account. */
struct AccountCells
{
  explicit AccountCells(const Topology& aTopology)
    : mUnused(aTopology)
  {
  }

  std::set<CellIndex> mCells;
  std::set<CellIndex> mIdle; ///< bound and wholly unused
  std::map<WorkerIndex, std::set<CellIndex>> mCellsByWorker;
  CapacityIndex mUnused;   ///< bound and unused, by worker
  std::uint64_t mSize = 0; ///< sum over all cells
  std::uint64_t mUsed = 0;
};

/** All cells, and the capacity of each worker that remains for more. */
struct CellRegistry
{
  explicit CellRegistry(const Topology& aTopology)
    : mSlack(aTopology)
  {
  }

  std::vector<Cell> mCells;
  std::vector<CellIndex> mFreeSlots; ///< unused entries of mCells
  std::vector<AccountCells> mAccounts;
  std::set<CellIndex> mUnbound;
  std::vector<std::uint32_t> mCapacity; ///< by worker, available to cells
  std::vector<std::uint32_t> mReserved; ///< by worker, sum over cells
  std::vector<std::set<CellIndex>> mCellsByWorker;
  CapacityIndex mSlack;                 ///< capacity less reserved
  std::set<WorkerIndex> mOvercommitted; ///< reserved exceeds capacity
};

/** Adds an unbound cell. Precondition: the account has an AccountCells. */
CellIndex
AddCell(CellRegistry& aRegistry,
        AccountIndex aAccount,
        std::uint32_t aSize,
        protocol::Adjacency aLevel);
/** Removes a cell. Precondition: nothing of it is used. */
void
RemoveCell(CellRegistry& aRegistry, CellIndex aCell);
/** Sets the number of accelerators of a worker that are available to cells. */
void
SetCellCapacity(CellRegistry& aRegistry,
                WorkerIndex aWorker,
                std::uint32_t aCapacity);

/** Binds an unbound cell to the tightest domain that holds it. Returns false
 * if there is none. */
bool
BindCell(CellRegistry& aRegistry, CellIndex aCell);
/** Binds an unbound cell to the given parts. Precondition: they fit. */
void
BindCellTo(CellRegistry& aRegistry,
           CellIndex aCell,
           const std::vector<CellPart>& aParts);
/** Moves up to aMaxAmount unused accelerators of a used cell above worker level
 * between two workers of its domain, limited by the slack of aTo. */
void
MovePartOfCell(CellRegistry& aRegistry,
               CellIndex aCell,
               WorkerIndex aFrom,
               WorkerIndex aTo,
               std::uint32_t aMaxAmount);
/** Unbinds an idle cell from its workers. */
void
UnbindCell(CellRegistry& aRegistry, CellIndex aCell);
/**
 * Moves unused parts off overcommitted workers, then binds unbound cells. If
 * not all can be bound and aRepack is true, rebinds the other idle cells too.
 */
void
RepairCells(CellRegistry& aRegistry, bool aRepack);

/** Returns the number of accelerators of the account that are bound and
 * unused. */
std::uint64_t
UnusedOf(const CellRegistry& aRegistry, AccountIndex aAccount);
/** Allocates aAmount of the account's unused accelerators on a worker and
 * appends the shares to aShares. Cells already in use come first, and
 * smaller cells before larger ones. */
void
AllocateFromCells(CellRegistry& aRegistry,
                  AccountIndex aAccount,
                  WorkerIndex aWorker,
                  std::uint32_t aAmount,
                  std::vector<CellShare>& aShares);
/** Releases a share of a cell. */
void
ReleaseShare(CellRegistry& aRegistry, const CellShare& aShare);
/**
 * Rebinds unused parts of cells so that those of the account cover the plan.
 * Returns whether they do. Rebinding unused parts does not affect running
 * jobs.
 */
bool
CoverPlan(CellRegistry& aRegistry,
          AccountIndex aAccount,
          const Plan& aPlan,
          std::uint32_t aPerTask);

} // namespace dogwooddrum::coordination::placement
