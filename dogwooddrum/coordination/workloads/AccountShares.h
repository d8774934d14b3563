/** \file
 * Defines the division of a pool between client accounts within one priority.
 * It orders the waiting units only: what is free is always used, and nothing is
 * stopped or held for a share.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Observations.h"
#include "dogwooddrum/coordination/workloads/Placement.h"
#include "dogwooddrum/coordination/workloads/QueueHeads.h"

#include <map>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** What the accounts use of the pools when a decision begins. */
struct AccountUses
{
  std::map<protocol::PoolName, ResourceVector> mCapacities; ///< usable
  /** Resources of the open runs of each level, without those of guaranteed and
   * of long-running work. */
  std::map<QueueLevel, std::map<base::AccountId, ResourceVector>> mUsed;
  std::map<base::AccountId, double> mWeights; ///< 1 where an account is absent
};

/**
 * Shares by weighted dominant-resource fairness between the accounts that use a
 * level or wait for it. An account that uses far more than its share comes
 * after the others. Use beyond the share adds to a debt that decays and counts
 * as at most half of the share, so that an account without runs never comes
 * last: none starves, whatever the width of its gangs. Acts only on levels of
 * which a unit was recently left without room. Thread safety: none.
 */
class AccountShares
{
public:
  /** Records that a unit of the level was not placed in a pool that is not half
   * idle. */
  void OnUnplaced(const QueueLevel& aLevel, base::Time aNow);
  /** Begins a decision, and updates the debts. Precondition: aNow does not
   * decrease between calls. */
  void Begin(AccountUses aUses, base::Time aNow);
  /** Returns whether the shares order the units of the level. */
  bool IsContended(const QueueLevel& aLevel) const;
  /** Orders the units of one level, which are in the order of their due times;
   * those of one account keep their order. */
  void Order(const QueueLevel& aLevel,
             std::vector<PlacementUnit>& aUnits) const;
  /** Returns the debts for the next leader. */
  std::vector<ObservedDebt> Debts() const;
  /** Replaces the debts by those that an earlier leader published. */
  void AdoptDebts(const std::vector<ObservedDebt>& aDebts);

private:
  using Uses = std::map<base::AccountId, ResourceVector>;
  using Debtor = std::pair<protocol::PoolName, base::AccountId>;

  double WeightOf(const base::AccountId& aAccount) const;
  /** Returns the part of the level to which each account of aUses is entitled;
   * the sum is 1. */
  std::map<base::AccountId, double> Entitlements(const Uses& aUses) const;
  void AddUse(const QueueLevel& aLevel, const Uses& aUses, double aSeconds);
  ResourceVector CapacityOf(const protocol::PoolName& aPool) const;

  AccountUses mUses;
  base::Time mNow;
  bool mHasBegun = false;
  std::map<QueueLevel, base::Time> mUnplacedAt;
  std::map<Debtor, double> mDebts; ///< core-seconds
};

} // namespace dogwooddrum::coordination::workloads
