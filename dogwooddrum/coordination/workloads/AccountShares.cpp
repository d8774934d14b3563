#include "dogwooddrum/coordination/workloads/AccountShares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Decisions follow each other within 250 ms, so that a level without room is
 * seen several times in this time. */
constexpr base::Duration kContentionTime = base::Milliseconds(1000);
/** Up to this multiple of its share, an account's work is placed by due time
 * like that of the others, which misses fewer due times than equal use. */
constexpr double kFarAboveShare = 1.5;
/** A debt halves in about 14 s, the time of a few runs. */
constexpr double kDebtDecaySeconds = 20;
/** Largest debt, as time of use of the whole share. */
constexpr double kMaxDebtSeconds = 10;
/** Part of the share that the largest debt takes. */
constexpr double kDebtPartOfShare = 0.5;

double
DominantShare(const ResourceVector& aUsed, const ResourceVector& aCapacity)
{
  double share = 0;
  for (const auto kind : { &ResourceVector::mMilliCores,
                           &ResourceVector::mMemoryMb,
                           &ResourceVector::mAccelerators }) {
    if (aCapacity.*kind > 0) {
      share = std::max(share,
                       static_cast<double>(aUsed.*kind) /
                         static_cast<double>(aCapacity.*kind));
    }
  }
  return share;
}

ResourceVector
TotalOf(const PlacementUnit& aUnit)
{
  ResourceVector sum;
  for (std::size_t i = 0; i < aUnit.mTasks.size(); ++i) {
    sum = sum + ResourcesOf(*aUnit.mStep);
  }
  return sum;
}

/** The waiting units of one account, and its use of the level in shares of the
 * pool. */
struct Queue
{
  std::deque<std::size_t> mUnits; ///< indices in the order of due times
  double mEntitled = 0;           ///< part of the level's use
  double mUsed = 0;
  double mDebt = 0; ///< part of its share that counts as used
};

bool
IsFarAboveShare(const Queue& aQueue, double aLevelUse)
{
  const double share = aQueue.mEntitled * aLevelUse;
  return aQueue.mUsed + aQueue.mDebt * share > kFarAboveShare * share;
}

/** Returns the queue whose first unit comes next, or null if all are empty. */
Queue*
NextQueue(std::map<base::AccountId, Queue>& aQueues, double aLevelUse)
{
  Queue* next = nullptr;
  std::pair<bool, std::size_t> nextKey;
  for (auto& [account, queue] : aQueues) {
    if (queue.mUnits.empty()) {
      continue;
    }
    const std::pair<bool, std::size_t> key{ IsFarAboveShare(queue, aLevelUse),
                                            queue.mUnits.front() };
    if (next == nullptr || key < nextKey) {
      next = &queue;
      nextKey = key;
    }
  }
  return next;
}

} // namespace

void
AccountShares::OnUnplaced(const QueueLevel& aLevel, base::Time aNow)
{
  mUnplacedAt[aLevel] = aNow;
}

void
AccountShares::Begin(AccountUses aUses, base::Time aNow)
{
  const double seconds =
    mHasBegun ? std::chrono::duration<double>(aNow - mNow).count() : 0;
  mHasBegun = true;
  mNow = aNow;
  mUses = std::move(aUses);
  for (auto it = mDebts.begin(); it != mDebts.end();) {
    it->second *= std::exp(-seconds / kDebtDecaySeconds);
    it = std::abs(it->second) < 1 ? mDebts.erase(it) : std::next(it);
  }
  for (const auto& [level, uses] : mUses.mUsed) {
    if (IsContended(level)) {
      AddUse(level, uses, seconds);
    }
  }
}

bool
AccountShares::IsContended(const QueueLevel& aLevel) const
{
  const auto it = mUnplacedAt.find(aLevel);
  return it != mUnplacedAt.end() && mNow - it->second < kContentionTime;
}

void
AccountShares::AddUse(const QueueLevel& aLevel,
                      const Uses& aUses,
                      double aSeconds)
{
  double levelCores = 0;
  for (const auto& [account, used] : aUses) {
    levelCores += CoreEquivalents(used);
  }
  const double poolCores = CoreEquivalents(CapacityOf(aLevel.mPool));
  const auto entitled = Entitlements(aUses);
  for (const auto& [account, used] : aUses) {
    const double part = entitled.at(account);
    const double most = kMaxDebtSeconds * part * poolCores;
    double& debt = mDebts[{ aLevel.mPool, account }];
    debt += aSeconds * (CoreEquivalents(used) - part * levelCores);
    debt = std::clamp(debt, -most, most);
  }
}

void
AccountShares::Order(const QueueLevel& aLevel,
                     std::vector<PlacementUnit>& aUnits) const
{
  const ResourceVector capacity = CapacityOf(aLevel.mPool);
  const auto known = mUses.mUsed.find(aLevel);
  Uses uses = known == mUses.mUsed.end() ? Uses() : known->second;
  std::map<base::AccountId, Queue> queues;
  for (std::size_t i = 0; i < aUnits.size(); ++i) {
    uses.try_emplace(aUnits[i].mAccount);
    queues[aUnits[i].mAccount].mUnits.push_back(i);
  }
  if (queues.size() < 2) {
    return;
  }
  double levelUse = 0;
  for (const auto& [account, used] : uses) {
    levelUse += DominantShare(used, capacity);
  }
  const auto entitled = Entitlements(uses);
  const double poolCores = CoreEquivalents(capacity);
  for (auto& [account, queue] : queues) {
    queue.mEntitled = entitled.at(account);
    queue.mUsed = DominantShare(uses.at(account), capacity);
    const auto debt = mDebts.find({ aLevel.mPool, account });
    const double most = kMaxDebtSeconds * queue.mEntitled * poolCores;
    if (debt != mDebts.end() && most > 0) {
      queue.mDebt =
        kDebtPartOfShare * std::clamp(debt->second / most, -1.0, 1.0);
    }
  }
  std::vector<PlacementUnit> ordered;
  ordered.reserve(aUnits.size());
  for (Queue* next = NextQueue(queues, levelUse); next != nullptr;
       next = NextQueue(queues, levelUse)) {
    // The order counts the unit as placed, so that accounts take turns.
    PlacementUnit& unit = aUnits[next->mUnits.front()];
    next->mUnits.pop_front();
    const double added = DominantShare(TotalOf(unit), capacity);
    next->mUsed += added;
    levelUse += added;
    ordered.push_back(std::move(unit));
  }
  aUnits = std::move(ordered);
}

std::vector<ObservedDebt>
AccountShares::Debts() const
{
  std::vector<ObservedDebt> debts;
  for (const auto& [debtor, debt] : mDebts) {
    debts.push_back({ debtor.first, debtor.second, std::llround(debt) });
  }
  return debts;
}

void
AccountShares::AdoptDebts(const std::vector<ObservedDebt>& aDebts)
{
  mDebts.clear();
  for (const ObservedDebt& debt : aDebts) {
    mDebts[{ debt.mPool, debt.mAccount }] =
      static_cast<double>(debt.mCoreSeconds);
  }
}

double
AccountShares::WeightOf(const base::AccountId& aAccount) const
{
  const auto it = mUses.mWeights.find(aAccount);
  return it == mUses.mWeights.end() ? 1 : it->second;
}

std::map<base::AccountId, double>
AccountShares::Entitlements(const Uses& aUses) const
{
  double sum = 0;
  for (const auto& [account, used] : aUses) {
    sum += WeightOf(account);
  }
  std::map<base::AccountId, double> parts;
  for (const auto& [account, used] : aUses) {
    parts[account] = WeightOf(account) / sum;
  }
  return parts;
}

ResourceVector
AccountShares::CapacityOf(const protocol::PoolName& aPool) const
{
  const auto it = mUses.mCapacities.find(aPool);
  return it == mUses.mCapacities.end() ? ResourceVector() : it->second;
}

} // namespace dogwooddrum::coordination::workloads
