/** \file
 * Implements changes of guarantees.
 */
#include "dogwooddrum/coordination/placement/Guarantees.h"

#include "dogwooddrum/coordination/placement/Allocations.h"

#include <algorithm>
#include <chrono>

namespace dogwooddrum::coordination::placement {

using protocol::Adjacency;

namespace {

/** Interval between attempts to repack all idle cells. Doubles from the first
 * to the second value while cells remain unbound. */
constexpr base::Duration kRepackInterval = base::Milliseconds(1000);
constexpr base::Duration kMaxRepackInterval = base::Milliseconds(64000);

using KindCounts = std::map<CellKind, std::uint64_t>;

/** Returns how many cells of each kind the shapes need. If aCells is false, a
 * guarantee is only a number of accelerators, that is, cells of size 1. */
KindCounts
CountCellKinds(const std::vector<protocol::GuaranteedShape>& aShapes,
               bool aCells)
{
  KindCounts counts;
  for (const auto& shape : aShapes) {
    if (shape.mAccelerators == 0) {
      continue;
    }
    if (aCells) {
      counts[{ shape.mLevel, shape.mAccelerators }] += shape.mCount;
    } else {
      counts[{ Adjacency::Worker, 1 }] +=
        std::uint64_t{ shape.mCount } * shape.mAccelerators;
    }
  }
  return counts;
}

void
AddCells(CellRegistry& aRegistry,
         AccountIndex aAccount,
         const KindCounts& aKinds)
{
  for (const auto& [kind, count] : aKinds) {
    for (std::uint64_t k = 0; k < count; ++k) {
      AddCell(aRegistry, aAccount, kind.second, kind.first);
    }
  }
}

std::uint64_t
SumGuarantees(const protocol::Configuration& aConfiguration)
{
  std::uint64_t sum = 0;
  for (const auto& account : aConfiguration.mAccounts) {
    for (const auto& shape : account.mGuarantees) {
      sum += std::uint64_t{ shape.mCount } * shape.mAccelerators;
    }
  }
  return sum;
}

/** Formats the sum term by term: "yard 1 x 24 at rack + shop 2 x 4 at worker".
 */
std::string
FormatGuaranteeSum(const protocol::Configuration& aConfiguration)
{
  std::string text;
  for (const auto& account : aConfiguration.mAccounts) {
    for (const auto& shape : account.mGuarantees) {
      text += text.empty() ? "" : " + ";
      text += account.mName.Value() + " " + std::to_string(shape.mCount) +
              " x " + std::to_string(shape.mAccelerators) + " at " +
              protocol::ToString(shape.mLevel);
    }
  }
  return text;
}

bool
SameGuarantees(const protocol::Configuration& aLeft,
               const protocol::Configuration& aRight)
{
  const auto kinds = [](const protocol::Configuration& aEach) {
    std::map<std::string, KindCounts> accounts;
    for (const auto& account : aEach.mAccounts) {
      accounts[account.mName.Value()] =
        CountCellKinds(account.mGuarantees, true);
    }
    return accounts;
  };
  return aLeft.mDrained == aRight.mDrained && kinds(aLeft) == kinds(aRight);
}

std::uint32_t
UsableCapacityUnder(const WorkerNode& aWorker,
                    const protocol::Configuration& aConfiguration)
{
  const auto& drained = aConfiguration.mDrained;
  const bool usable =
    aWorker.mKnown && aWorker.mUp &&
    std::find(drained.begin(), drained.end(), aWorker.mDescription.mWorker) ==
      drained.end();
  return usable ? aWorker.mDescription.mAccelerators : 0;
}

/** Packs the guarantees of aAccounts into aRegistry; returns the account of the
 * first cell that does not fit, or nullptr. */
const protocol::ClientAccount*
PackAccounts(CellRegistry& aRegistry,
             const Topology& aTopology,
             const std::vector<protocol::ClientAccount>& aAccounts)
{
  for (const auto& account : aAccounts) {
    aRegistry.mAccounts.emplace_back(aTopology);
    AddCells(aRegistry,
             static_cast<AccountIndex>(aRegistry.mAccounts.size() - 1),
             CountCellKinds(account.mGuarantees, true));
  }
  RepairCells(aRegistry, true);
  if (aRegistry.mUnbound.empty()) {
    return nullptr;
  }
  // The first unbound cell is the first that the packing could not place.
  return &aAccounts[aRegistry.mCells[*aRegistry.mUnbound.begin()].mAccount];
}

/** Releases the cell shares of all jobs that use aCell. The jobs then count as
 * borrowed, or as pinned if they must stay inside a guarantee. */
void
UncoverJobsOf(State& aState, CellIndex aCell)
{
  for (JobHandle handle = 0; handle < aState.mJobs.size(); ++handle) {
    auto& job = aState.mJobs[handle];
    const bool uses = std::any_of(
      job.mShares.begin(), job.mShares.end(), [&](const CellShare& aShare) {
        return aShare.mCell == aCell;
      });
    if (!job.mLive || !uses) {
      continue;
    }
    ReleaseShares(aState, handle);
    if (job.mPhase == JobPhase::Claimed) {
      job.mKind = HoldKind::Borrowed;
      aState.mClaims[job.mClaim].mCovered = false;
    } else {
      SetHoldKind(aState,
                  handle,
                  RequiresGuarantee(job) ? HoldKind::Pinned
                                         : HoldKind::Borrowed);
    }
  }
}

/** Returns the least used cell of a kind. Precondition: there is one. */
CellIndex
ChooseCellToRemove(const State& aState, AccountIndex aAccount, CellKind aKind)
{
  CellIndex best = kNoIndex;
  for (const CellIndex index : aState.mCells.mAccounts[aAccount].mCells) {
    const auto& cell = aState.mCells.mCells[index];
    if (CellKind{ cell.mLevel, cell.mSize } == aKind &&
        (best == kNoIndex || cell.mUsed < aState.mCells.mCells[best].mUsed)) {
      best = index;
    }
  }
  return best;
}

void
RemoveCells(State& aState,
            AccountIndex aAccount,
            CellKind aKind,
            std::uint64_t aCount)
{
  for (std::uint64_t k = 0; k < aCount; ++k) {
    const CellIndex cell = ChooseCellToRemove(aState, aAccount, aKind);
    if (aState.mCells.mCells[cell].mUsed > 0) {
      UncoverJobsOf(aState, cell);
    }
    RemoveCell(aState.mCells, cell);
  }
}

KindCounts
CountPresentKinds(const State& aState, AccountIndex aAccount)
{
  KindCounts counts;
  for (const CellIndex index : aState.mCells.mAccounts[aAccount].mCells) {
    const auto& cell = aState.mCells.mCells[index];
    ++counts[{ cell.mLevel, cell.mSize }];
  }
  return counts;
}

void
ChangeCells(State& aState, AccountIndex aAccount, const KindCounts& aWanted)
{
  KindCounts wanted = aWanted;
  for (const auto& [kind, count] : CountPresentKinds(aState, aAccount)) {
    auto& left = wanted[kind];
    if (count > left) {
      RemoveCells(aState, aAccount, kind, count - left);
    }
    left -= std::min(left, count);
  }
  AddCells(aState.mCells, aAccount, wanted);
  aState.mAccountsToPromote.insert(aAccount);
}

base::Failure
MakeNotReclaimable(const State& aState, AccountIndex aAccount, std::string aWhy)
{
  return { base::Reason::GuaranteesDoNotFit,
           "guarantee of account " + aState.mAccounts[aAccount].mName.Value() +
             " cannot be formed: " + std::move(aWhy) };
}

/** Returns, by worker, the held accelerators that are not borrowed and
 * therefore cannot be reclaimed for a guarantee. */
std::vector<std::uint32_t>
NonReclaimableAmounts(const State& aState)
{
  std::vector<std::uint32_t> fixed(aState.mTopology.mWorkers.size(), 0);
  for (const auto& job : aState.mJobs) {
    if (job.mLive && job.mKind != HoldKind::Borrowed) {
      for (const auto& task : job.mTasks) {
        fixed[task.mWorker] += task.mAmount;
      }
    }
  }
  return fixed;
}

/** Implements CheckAllReclaimable without guarantee cells: packs the shapes of
 * the accounts that use nothing of their guarantee. */
base::Outcome<bool>
CheckCounts(const State& aState)
{
  CellRegistry book(aState.mTopology);
  const auto fixed = NonReclaimableAmounts(aState);
  for (WorkerIndex k = 0; k < aState.mTopology.mWorkers.size(); ++k) {
    const std::uint32_t total = UsableTotal(aState.mTopology.mWorkers[k]);
    SetCellCapacity(book, k, total > fixed[k] ? total - fixed[k] : 0);
  }
  std::vector<protocol::ClientAccount> unused;
  for (const auto& account : aState.mConfiguration.mAccounts) {
    const auto it = aState.mAccountByName.find(account.mName.Value());
    if (it != aState.mAccountByName.end() &&
        aState.mCells.mAccounts[it->second].mUsed == 0) {
      unused.push_back(account);
    }
  }
  if (const auto* account = PackAccounts(book, aState.mTopology, unused)) {
    return base::Failure{ base::Reason::GuaranteesDoNotFit,
                          "guarantee of account " + account->mName.Value() +
                            " cannot be formed" };
  }
  return true;
}

} // namespace

base::Outcome<bool>
CheckGuarantees(const State& aState,
                const protocol::Configuration& aConfiguration)
{
  std::uint64_t known = 0;
  CellRegistry book(aState.mTopology);
  if (SameGuarantees(aState.mConfiguration, aConfiguration) ||
      aState.mTopology.mWorkerByName.empty()) {
    return true;
  }
  for (WorkerIndex k = 0; k < aState.mTopology.mWorkers.size(); ++k) {
    const std::uint32_t capacity =
      UsableCapacityUnder(aState.mTopology.mWorkers[k], aConfiguration);
    SetCellCapacity(book, k, capacity);
    known += capacity;
  }
  const std::uint64_t sum = SumGuarantees(aConfiguration);
  const std::string text =
    FormatGuaranteeSum(aConfiguration) + " = " + std::to_string(sum) +
    " accelerators; usable workers have " + std::to_string(known);
  if (sum > known) {
    return base::Failure{ base::Reason::GuaranteesDoNotFit,
                          "the sum of guarantees is too large: " + text };
  }
  const auto* account =
    PackAccounts(book, aState.mTopology, aConfiguration.mAccounts);
  if (account != nullptr) {
    return base::Failure{ base::Reason::GuaranteesDoNotFit,
                          "guarantees do not fit side by side; account " +
                            account->mName.Value() + " is left over: " + text };
  }
  return true;
}

void
ApplyGuarantees(State& aState, const protocol::Configuration& aConfiguration)
{
  std::map<AccountIndex, KindCounts> wanted;
  for (AccountIndex k = 0; k < aState.mAccounts.size(); ++k) {
    wanted[k];
  }
  for (const auto& account : aConfiguration.mAccounts) {
    wanted[FindOrAddAccount(aState, account.mName)] =
      CountCellKinds(account.mGuarantees, aState.mOptions.mGuaranteeCells);
  }
  for (const auto& [account, kinds] : wanted) {
    ChangeCells(aState, account, kinds);
  }
  aState.mCapacityChanged = true;
  aState.mRepackAt = base::Time::min();
  aState.mRepackInterval = base::Duration{};
}

void
RepairGuarantees(State& aState, base::Time aNow)
{
  const bool broken =
    !aState.mCells.mUnbound.empty() || !aState.mCells.mOvercommitted.empty();
  const bool repack = aNow >= aState.mRepackAt;
  if (!broken || (!aState.mCapacityChanged && !repack)) {
    aState.mCapacityChanged = false;
    return;
  }
  aState.mCapacityChanged = false;
  const std::size_t before = aState.mCells.mUnbound.size();
  RepairCells(aState.mCells, repack);
  if (repack) {
    aState.mRepackInterval = aState.mCells.mUnbound.empty()
                               ? kRepackInterval
                               : std::clamp(aState.mRepackInterval * 2,
                                            kRepackInterval,
                                            kMaxRepackInterval);
    aState.mRepackAt = aNow + aState.mRepackInterval;
  }
  if (aState.mCells.mUnbound.size() < before) {
    for (AccountIndex k = 0; k < aState.mAccounts.size(); ++k) {
      const auto& classes = aState.mAccounts[k].mClasses;
      aState.mGuaranteeCandidates.insert(classes.begin(), classes.end());
      aState.mAccountsToPromote.insert(k);
    }
  }
}

base::Outcome<bool>
CheckAllReclaimable(const State& aState)
{
  if (!aState.mOptions.mGuaranteeCells) {
    return CheckCounts(aState);
  }
  const auto& book = aState.mCells;
  if (!book.mUnbound.empty()) {
    return MakeNotReclaimable(aState,
                              book.mCells[*book.mUnbound.begin()].mAccount,
                              std::to_string(book.mUnbound.size()) +
                                " cells have no room");
  }
  const auto fixed = NonReclaimableAmounts(aState);
  std::vector<std::uint32_t> unused(aState.mTopology.mWorkers.size(), 0);
  for (const auto& cell : book.mCells) {
    for (const auto& part : cell.mParts) {
      const auto& node = aState.mTopology.mWorkers[part.mWorker];
      unused[part.mWorker] += part.mAmount - part.mUsed;
      if (part.mAmount > part.mUsed &&
          fixed[part.mWorker] + unused[part.mWorker] > UsableTotal(node)) {
        return MakeNotReclaimable(
          aState,
          cell.mAccount,
          "worker " + node.mDescription.mWorker.Value() + " holds " +
            std::to_string(fixed[part.mWorker]) +
            " accelerators that cannot be reclaimed");
      }
    }
  }
  return true;
}

} // namespace dogwooddrum::coordination::placement
