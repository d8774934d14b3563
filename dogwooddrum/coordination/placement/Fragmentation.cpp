/** \file
 * Implements the measure of fragmentation.
 */
#include "dogwooddrum/coordination/placement/Fragmentation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dogwooddrum::coordination::placement {

using protocol::Adjacency;

namespace {

/** Shapes in the demand mix; a new one replaces the one of least weight. */
constexpr std::size_t kMaxDemandShapes = 8;
constexpr double kDemandHalfLifeSeconds = 600;
/** Weight of the loss of reclaimable accelerators relative to the loss of free
 * ones. */
constexpr double kReclaimWeight = 4;

double
DecayedWeightAt(const DemandShape& aDemand, base::Time aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aDemand.mAt).count();
  return aDemand.mWeight *
         std::exp2(-std::max(seconds, 0.0) / kDemandHalfLifeSeconds);
}

bool
IsSameShape(const protocol::GangShape& aLeft, const protocol::GangShape& aRight)
{
  return aLeft.mTasks == aRight.mTasks &&
         aLeft.mAcceleratorsPerTask == aRight.mAcceleratorsPerTask &&
         aLeft.mAdjacency == aRight.mAdjacency;
}

/** Returns how many accelerators of one rack copies of a shape can use. */
std::uint32_t
UsableInRack(const std::vector<std::uint32_t>& aFree,
             const protocol::GangShape& aShape)
{
  const std::uint32_t unitSize = RequiresOneWorker(aShape)
                                   ? TotalAccelerators(aShape)
                                   : aShape.mAcceleratorsPerTask;
  std::uint32_t slots = 0;
  for (const std::uint32_t free : aFree) {
    slots += free / unitSize;
  }
  if (!RequiresOneWorker(aShape) && aShape.mAdjacency == Adjacency::Rack) {
    return slots / aShape.mTasks * TotalAccelerators(aShape);
  }
  return slots * unitSize;
}

std::vector<std::uint32_t>
AmountsInRack(const CapacityIndex& aIndex, RackIndex aRack)
{
  std::vector<std::uint32_t> free;
  for (const WorkerIndex worker : aIndex.GetTopology().mRacks[aRack].mWorkers) {
    free.push_back(aIndex.Get(worker));
  }
  return free;
}

/** Subtracts the accelerators of a plan from the amounts of one rack. */
void
SubtractPlan(const State& aState,
             const Plan& aPlan,
             std::uint32_t aPerTask,
             RackIndex aRack,
             std::vector<std::uint32_t>& aFree)
{
  const auto& workers = aState.mTopology.mRacks[aRack].mWorkers;
  for (const auto& part : aPlan) {
    const auto it =
      std::lower_bound(workers.begin(), workers.end(), part.mWorker);
    if (it != workers.end() && *it == part.mWorker) {
      auto& free = aFree[static_cast<std::size_t>(it - workers.begin())];
      free -= std::min(free, part.mTasks * aPerTask);
    }
  }
}

std::vector<RackIndex>
RacksOf(const State& aState, const Plan& aPlan)
{
  std::vector<RackIndex> racks;
  for (const auto& part : aPlan) {
    racks.push_back(aState.mTopology.mWorkers[part.mWorker].mRack);
  }
  std::sort(racks.begin(), racks.end());
  racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
  return racks;
}

/** Returns the usable accelerators of one rack, summed over the demand mix by
 * weight. */
double
ExpectedUsable(const State& aState, const std::vector<std::uint32_t>& aFree)
{
  double sum = 0;
  for (const auto& demand : aState.mDemand) {
    sum += demand.mWeight * UsableInRack(aFree, demand.mShape);
  }
  return sum;
}

} // namespace

void
RecordDemand(State& aState, const protocol::GangShape& aShape, base::Time aNow)
{
  auto& mix = aState.mDemand;
  for (auto& demand : mix) {
    demand.mWeight = DecayedWeightAt(demand, aNow);
    demand.mAt = aNow;
  }
  auto it = std::find_if(mix.begin(), mix.end(), [&](const auto& aEach) {
    return IsSameShape(aEach.mShape, aShape);
  });
  if (it == mix.end()) {
    if (mix.size() < kMaxDemandShapes) {
      it = mix.insert(mix.end(), DemandShape{});
    } else {
      it = std::min_element(
        mix.begin(), mix.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.mWeight < aRight.mWeight;
        });
    }
    *it = { aShape, 0, aNow };
  }
  it->mWeight += TotalAccelerators(aShape);
}

double
ExpectedUsableLoss(const State& aState,
                   const CapacityIndex& aIndex,
                   const Plan& aPlan,
                   std::uint32_t aPerTask)
{
  double loss = 0;
  for (const RackIndex rack : RacksOf(aState, aPlan)) {
    auto free = AmountsInRack(aIndex, rack);
    loss += ExpectedUsable(aState, free);
    SubtractPlan(aState, aPlan, aPerTask, rack, free);
    loss -= ExpectedUsable(aState, free);
  }
  return loss;
}

double
ExpectedUsableInRack(const State& aState, RackIndex aRack)
{
  return ExpectedUsable(aState, AmountsInRack(aState.mFree, aRack));
}

std::size_t
ChooseBestPlan(const State& aState,
               const std::vector<Plan>& aPlans,
               std::uint32_t aPerTask,
               bool aCovered)
{
  std::size_t best = 0;
  double leastLoss = 0;
  for (std::size_t k = 0; k < aPlans.size(); ++k) {
    double loss = ExpectedUsableLoss(aState, aState.mFree, aPlans[k], aPerTask);
    if (aCovered) {
      loss +=
        kReclaimWeight *
        ExpectedUsableLoss(aState, aState.mReclaimable, aPlans[k], aPerTask);
    }
    if (k == 0 || loss < leastLoss) {
      best = k;
      leastLoss = loss;
    }
  }
  return best;
}

FragmentationReport
MeasureFragmentation(const State& aState)
{
  FragmentationReport report;
  report.mFree = static_cast<std::uint32_t>(aState.mFree.Sum());
  report.mTotal = static_cast<std::uint32_t>(aState.mUsableTotal);
  report.mLargestOnWorker = aState.mFree.Largest();
  std::vector<std::uint32_t> freeByZone(aState.mTopology.mZones.size(), 0);
  double usable = 0;
  double weight = 0;
  for (RackIndex rack = 0; rack < aState.mTopology.mRacks.size(); ++rack) {
    const auto free = AmountsInRack(aState.mFree, rack);
    std::uint32_t sum = 0;
    for (const std::uint32_t amount : free) {
      sum += amount;
    }
    report.mLargestInRack = std::max(report.mLargestInRack, sum);
    usable += ExpectedUsable(aState, free);
  }
  for (const auto& worker : aState.mTopology.mWorkers) {
    if (worker.mKnown) {
      freeByZone[worker.mZone] += aState.mFree.Get(
        static_cast<WorkerIndex>(&worker - aState.mTopology.mWorkers.data()));
    }
  }
  for (const std::uint32_t zone : freeByZone) {
    report.mLargestInZone = std::max(report.mLargestInZone, zone);
  }
  for (const auto& demand : aState.mDemand) {
    weight += demand.mWeight;
  }
  if (report.mFree > 0 && weight > 0) {
    report.mUnusableShare = 1 - usable / weight / report.mFree;
  }
  return report;
}

} // namespace dogwooddrum::coordination::placement
