/** \file
 * Implements compaction.
 */
#include "dogwooddrum/coordination/placement/Compaction.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Claims.h"
#include "dogwooddrum/coordination/placement/Fairness.h"
#include "dogwooddrum/coordination/placement/Fragmentation.h"
#include "dogwooddrum/coordination/placement/Queue.h"
#include "dogwooddrum/coordination/placement/Starts.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace dogwooddrum::coordination::placement {

namespace {

constexpr base::Duration kCompactionInterval = base::Milliseconds(1000);
/** Racks considered per attempt, those with the most free accelerators. */
constexpr std::size_t kMaxRacks = 4;
/** Jobs considered for a move per attempt. */
constexpr std::size_t kMaxJobsConsidered = 16;
/** Time for which the gain of a move is expected to last, in seconds. */
constexpr double kGainDurationSeconds = 120;
/** Waiting classes considered per attempt. */
constexpr std::size_t kMaxClasses = 4;

/** Returns how many moves the limit per minute still allows; drops older moves
 * from the record. */
std::size_t
RemainingMoves(State& aState, base::Time aNow)
{
  auto& moves = aState.mRecentMoves;
  moves.erase(std::remove_if(moves.begin(),
                             moves.end(),
                             [&](base::Time aAt) {
                               return aAt + std::chrono::minutes(1) <= aNow;
                             }),
              moves.end());
  const std::size_t limit = aState.mOptions.mCompactionMovesPerMinute;
  return limit > moves.size() ? limit - moves.size() : 0;
}

/** Returns waiting classes that do not fit only because free accelerators are
 * fragmented, in class order. */
std::vector<ClassIndex>
FindFragmentedClasses(State& aState, base::Time aNow)
{
  std::vector<ClassOrder> order;
  for (const auto& [key, classes] : aState.mClassesByShape) {
    const auto& [tasks, amount, adjacency] = key;
    const protocol::GangShape shape{ tasks, amount, adjacency };
    if (TotalAccelerators(shape) > aState.mFree.Sum() ||
        Fits(aState.mFree, shape)) {
      continue;
    }
    for (const ClassIndex index : classes) {
      if (MayBorrow(aState, index)) {
        order.push_back(OrderOf(aState, index, aNow));
      }
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<ClassIndex> classes;
  for (std::size_t k = 0; k < std::min(order.size(), kMaxClasses); ++k) {
    classes.push_back(std::get<6>(order[k]));
  }
  return classes;
}

bool
UsesWorker(const Plan& aPlan, WorkerIndex aWorker)
{
  return std::any_of(aPlan.begin(), aPlan.end(), [&](const PlanPart& aPart) {
    return aPart.mWorker == aWorker;
  });
}

/** Returns whether each victim fits on free workers outside the plan. These
 * workers may overlap between victims; the last victim then waits. */
bool
VictimsFitElsewhere(State& aState, const VictimPlan& aChoice)
{
  std::uint64_t needed = 0;
  for (const JobHandle victim : aChoice.mVictims) {
    GangNeed need;
    need.mShape = aState.mJobs[victim].mRequest.mShape;
    needed += TotalAccelerators(need.mShape);
    const auto plans = FindPlans(aState.mFree, need, kMaxPlacementDomains * 2);
    const bool fits =
      std::any_of(plans.begin(), plans.end(), [&](const Plan& aPlan) {
        return std::none_of(
          aPlan.begin(), aPlan.end(), [&](const PlanPart& aPart) {
            return UsesWorker(aChoice.mPlan, aPart.mWorker);
          });
      });
    if (!fits) {
      return false;
    }
  }
  std::uint64_t freeInPlan = 0;
  for (const auto& part : aChoice.mPlan) {
    freeInPlan += aState.mFree.Get(part.mWorker);
  }
  return needed + freeInPlan <= aState.mFree.Sum();
}

/** Returns the accelerator seconds gained if the gang starts now instead of
 * at its reservation time. */
double
GainFromStart(const State& aState, JobHandle aJob, base::Time aNow)
{
  const auto& job = aState.mJobs[aJob];
  const base::Duration left = ReservationTimeOf(aState, job) - aNow;
  const double seconds =
    std::chrono::duration<double>(std::max(left, base::Duration{})).count();
  return seconds * TotalAccelerators(job.mRequest.mShape);
}

/** Makes the claim with the least cost that forms the gang by at most
 * aMaxMoves moves, if the gain exceeds the cost. */
bool
CompactFor(State& aState,
           JobHandle aJob,
           std::size_t aMaxMoves,
           base::Time aNow)
{
  VictimRequest request;
  request.mJob = aJob;
  request.mForCompaction = true;
  request.mNow = aNow;
  const GangNeed need = MakeGangNeed(aState, aState.mJobs[aJob]);
  std::optional<VictimPlan> best;
  for (const auto& domain : FindDomains(aState.mReclaimable,
                                        need,
                                        MaxVictimDomains(need.mShape),
                                        kMaxVictimWorkers)) {
    auto choice = ChooseVictims(aState, domain, request);
    if (choice && choice->mVictims.size() <= aMaxMoves &&
        (!best || choice->mCost < best->mCost) &&
        VictimsFitElsewhere(aState, *choice)) {
      best = std::move(choice);
    }
  }
  if (!best || best->mCost >= GainFromStart(aState, aJob, aNow)) {
    return false;
  }
  aState.mRecentMoves.insert(
    aState.mRecentMoves.end(), best->mVictims.size(), aNow);
  MakeClaim(aState, aJob, *best, false, StopKind::Move, aNow);
  return true;
}

/** A candidate job whose move makes more free accelerators usable. */
struct Relocation
{
  JobHandle mJob = kNoIndex;
  double mGain = 0; ///< accelerator seconds, less the cost of the move
};

/** Returns the expected usable accelerators that a rack gains without the
 * tasks of a job. Temporarily changes the index of free accelerators. */
double
UsableGainWithout(State& aState, RackIndex aRack, const JobEntry& aJob)
{
  const double before = ExpectedUsableInRack(aState, aRack);
  for (const auto& task : aJob.mTasks) {
    const std::uint32_t free = aState.mFree.Get(task.mWorker);
    aState.mFree.Set(task.mWorker, free + task.mAmount);
  }
  const double after = ExpectedUsableInRack(aState, aRack);
  for (const auto& task : aJob.mTasks) {
    RefreshWorker(aState, task.mWorker);
  }
  return after - before;
}

/** Returns the least expected loss of usable accelerators if the job runs in
 * another rack, or nullopt if none was found. */
std::optional<double>
LeastLossElsewhere(State& aState, RackIndex aRack, const JobEntry& aJob)
{
  GangNeed need;
  need.mShape = aJob.mRequest.mShape;
  std::optional<double> least;
  for (const auto& plan : FindPlans(aState.mFree, need, kMaxPlacementDomains)) {
    if (aState.mTopology.mWorkers[plan.front().mWorker].mRack == aRack) {
      continue;
    }
    const double loss = ExpectedUsableLoss(
      aState, aState.mFree, plan, need.mShape.mAcceleratorsPerTask);
    least = std::min(least.value_or(loss), loss);
  }
  return least;
}

/** Replaces aBest by a move of the job off aRack if that gains more. */
void
EvaluateRelocation(State& aState,
                   RackIndex aRack,
                   JobHandle aJob,
                   base::Time aNow,
                   Relocation& aBest)
{
  const auto& job = aState.mJobs[aJob];
  if (job.mPhase != JobPhase::Held || job.mKind != HoldKind::Borrowed ||
      job.mRules.mInteractive || !RequiresOneWorker(job.mRequest.mShape)) {
    return;
  }
  const auto loss = LeastLossElsewhere(aState, aRack, job);
  if (!loss) {
    return;
  }
  double totalWeight = 0;
  for (const auto& demand : aState.mDemand) {
    totalWeight += demand.mWeight;
  }
  VictimRequest request;
  request.mJob = aJob;
  request.mForCompaction = true;
  request.mNow = aNow;
  const double usableGain = UsableGainWithout(aState, aRack, job) - *loss;
  const double gain =
    usableGain / std::max(totalWeight, 1e-9) * kGainDurationSeconds -
    ComputeStopCost(aState, job, request);
  if (gain > aBest.mGain) {
    aBest = { aJob, gain };
  }
}

/** Moves the job with the largest positive gain, if any. */
void
RelocateBestJob(State& aState, base::Time aNow)
{
  Relocation best;
  std::size_t considered = 0;
  const auto& racks = aState.mFree.TableForTaskSize(1).mRacks;
  std::vector<RackIndex> order;
  for (auto it = racks.rbegin(); it != racks.rend() && order.size() < kMaxRacks;
       ++it) {
    order.push_back(it->second);
  }
  for (const RackIndex rack : order) {
    const auto workers = aState.mTopology.mRacks[rack].mWorkers;
    for (const WorkerIndex worker : workers) {
      const auto jobs = aState.mTopology.mWorkers[worker].mJobs;
      for (const JobHandle job : jobs) {
        if (++considered > kMaxJobsConsidered) {
          break;
        }
        EvaluateRelocation(aState, rack, job, aNow, best);
      }
    }
  }
  if (best.mJob != kNoIndex) {
    auto& job = aState.mJobs[best.mJob];
    job.mPhase = JobPhase::Stopping;
    aState.mRecentMoves.push_back(aNow);
    aState.mDecisions.emplace_back(
      Move{ job.mRequest.mJob, aNow + aState.mOptions.mPreemptionGrace });
  }
}

} // namespace

void
RunCompaction(State& aState, base::Time aNow)
{
  if (!aState.mOptions.mCompaction || aNow < aState.mCompactionAt) {
    return;
  }
  aState.mCompactionAt = aNow + kCompactionInterval;
  const std::size_t moves = RemainingMoves(aState, aNow);
  if (moves == 0) {
    return;
  }
  for (const ClassIndex index : FindFragmentedClasses(aState, aNow)) {
    if (CompactFor(aState, FirstJobOf(aState, index), moves, aNow)) {
      return;
    }
  }
  RelocateBestJob(aState, aNow);
}

} // namespace dogwooddrum::coordination::placement
