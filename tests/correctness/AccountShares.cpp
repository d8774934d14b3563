// Guards the division of a full pool between client accounts of one priority: a
// burst of one account must not keep another's work out, and no account may
// wait without bound.
#include "dogwooddrum/coordination/workloads/AccountShares.h"
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const protocol::PoolName kPool("pool");
const QueueLevel kLevel{ kPool, 1 };

PlacementUnit
Unit(const WorkloadStep& aStep,
     const std::string& aAccount,
     const std::string& aId,
     std::size_t aWidth = 1)
{
  PlacementUnit unit;
  unit.mStep = &aStep;
  unit.mPool = kPool;
  unit.mPriority = kLevel.mPriority;
  unit.mAccount = base::AccountId(aAccount);
  for (std::size_t i = 0; i < aWidth; ++i) {
    unit.mTasks.push_back(
      { protocol::WorkloadId(aId), 0, 0, static_cast<std::uint32_t>(i) });
  }
  return unit;
}

/** A pool of 100 cores. aUsed: cores of accounts "a" and "b". */
AccountUses
Uses(std::int64_t aUsedByA, std::int64_t aUsedByB)
{
  AccountUses uses;
  uses.mCapacities[kPool] = { 100000, 100000, 0 };
  uses.mUsed[kLevel][base::AccountId("a")] = { aUsedByA * 1000, 0, 0 };
  uses.mUsed[kLevel][base::AccountId("b")] = { aUsedByB * 1000, 0, 0 };
  return uses;
}

std::vector<std::string>
Names(const std::vector<PlacementUnit>& aUnits)
{
  std::vector<std::string> names;
  for (const PlacementUnit& unit : aUnits) {
    names.push_back(unit.mTasks.front().mWorkload.Value());
  }
  return names;
}

WorkloadStep
TenCores()
{
  WorkloadStep step;
  step.mCount = 1;
  step.mTaskResources.mMilliCores = 10000;
  return step;
}

base::Time
At(std::int64_t aMs)
{
  return base::Time() + base::Milliseconds(aMs);
}

// Load: account "a" uses the full pool and has earlier due times.
TEST(AccountShares, WorkBelowItsShareComesBeforeABurst)
{
  const WorkloadStep step = TenCores();
  AccountShares shares;
  shares.OnUnplaced(kLevel, At(0));
  shares.Begin(Uses(100, 0), At(100));
  std::vector<PlacementUnit> units{ Unit(step, "a", "a1"),
                                    Unit(step, "a", "a2"),
                                    Unit(step, "b", "b1") };
  shares.Order(kLevel, units);
  EXPECT_EQ(Names(units), (std::vector<std::string>{ "b1", "a1", "a2" }));
}

// Load: two accounts with equal use.
TEST(AccountShares, EqualUseKeepsTheOrderOfDueTimes)
{
  const WorkloadStep step = TenCores();
  AccountShares shares;
  shares.OnUnplaced(kLevel, At(0));
  shares.Begin(Uses(50, 50), At(100));
  std::vector<PlacementUnit> units{ Unit(step, "a", "a1"),
                                    Unit(step, "b", "b1"),
                                    Unit(step, "a", "a2") };
  shares.Order(kLevel, units);
  EXPECT_EQ(Names(units), (std::vector<std::string>{ "a1", "b1", "a2" }));
}

TEST(AccountShares, ActOnlySoonAfterAUnitLackedRoom)
{
  AccountShares shares;
  shares.Begin(Uses(100, 0), At(0));
  EXPECT_FALSE(shares.IsContended(kLevel));
  shares.OnUnplaced(kLevel, At(0));
  shares.Begin(Uses(100, 0), At(500));
  EXPECT_TRUE(shares.IsContended(kLevel));
  shares.Begin(Uses(100, 0), At(1500));
  EXPECT_FALSE(shares.IsContended(kLevel));
}

// Load: "a" has used the full pool for a minute, then has no runs. Its debt
// must not keep its wide gang behind an account that uses the pool.
TEST(AccountShares, LargestDebtDoesNotPutAnIdleAccountLast)
{
  const WorkloadStep step = TenCores();
  AccountShares shares;
  std::int64_t ms = 0;
  for (; ms < 60000; ms += 250) {
    shares.OnUnplaced(kLevel, At(ms));
    shares.Begin(Uses(100, 0), At(ms));
  }
  const auto debts = shares.Debts();
  const auto debt =
    std::find_if(debts.begin(), debts.end(), [](const ObservedDebt& aDebt) {
      return aDebt.mAccount == base::AccountId("a");
    });
  ASSERT_NE(debt, debts.end());
  EXPECT_GT(debt->mCoreSeconds, 0);
  EXPECT_LE(debt->mCoreSeconds, 500); // 10 s of half of 100 cores
  shares.Begin(Uses(0, 100), At(ms));
  std::vector<PlacementUnit> units{ Unit(step, "b", "b1"),
                                    Unit(step, "a", "wide", 10) };
  shares.Order(kLevel, units);
  EXPECT_EQ(Names(units), (std::vector<std::string>{ "wide", "b1" }));
}

TEST(AccountShares, DebtsPassToTheNextLeaderAndDecay)
{
  AccountShares next;
  next.AdoptDebts({ { kPool, base::AccountId("a"), 400 } });
  ASSERT_EQ(next.Debts().size(), 1U);
  EXPECT_EQ(next.Debts()[0].mCoreSeconds, 400);
  next.Begin(Uses(0, 0), At(0));
  next.Begin(Uses(0, 0), At(40000));
  EXPECT_LT(next.Debts()[0].mCoreSeconds, 80);
  next.Begin(Uses(0, 0), At(240000));
  EXPECT_TRUE(next.Debts().empty());
}

/** Returns when the work of a small account starts, which is handed in behind a
 * burst of another account that needs the pool ten times over. */
std::int64_t
StartBehindABurstMs(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "burst" + std::to_string(i);
    sim.SetRunTime(id, 4000);
    sim.Submit(id, "p1", OneStepSpec(8, 8000, 4, false), "large");
  }
  sim.RunFor(1000);
  sim.Submit("small", "p1", OneStepSpec(1, 8000, 4, false), "other");
  sim.RunFor(60000);
  EXPECT_TRUE(sim.Violations().empty());
  return sim.FirstStartMs("small");
}

TEST(AccountShares, BurstOfOneAccountDoesNotKeepOutAnother)
{
  EXPECT_GT(StartBehindABurstMs({}), 20000); // off by default
  WorkloadSimulationOptions options;
  options.mPolicies.mAccountShares = true;
  const auto started = StartBehindABurstMs(options);
  EXPECT_GE(started, 0);
  EXPECT_LT(started, 6000); // the first runs of the burst have ended
}

} // namespace
} // namespace dogwooddrum::tests
