/** \file
 * Implements the choice of victims by two dynamic programs: one computes for
 * each worker the least cost of hosting each number of tasks, the other
 * distributes the tasks over the workers at the least total cost.
 */
#include "dogwooddrum/coordination/placement/VictimChoice.h"

#include "dogwooddrum/coordination/placement/Allocations.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace dogwooddrum::coordination::placement {

namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
/** Seconds from the restart of a stopped job until it makes progress. */
constexpr double kRestartSeconds = 5;
/** Fixed cost of stopping any job, in accelerator seconds. */
constexpr double kVictimBaseCost = 1;
/** Cost factor for victims of higher priority than the requesting job, so that
 * they are stopped only where no other victims make room for the gang. */
constexpr double kHigherPriorityFactor = 8;
/** Number of reservation ages that a job must have run before a reservation may
 * stop it for a gang that is not larger, or for a job on one worker. Without
 * this limit, jobs of equal size preempt each other in turns and lose work each
 * time. */
constexpr int kEqualSizeReservationAges = 10;

struct Victim
{
  JobHandle mJob = kNoIndex;
  std::uint32_t mAmount = 0; ///< accelerators held on the examined worker
  double mCost = 0;
};

/** Least cost of hosting 0, 1, ... tasks on a worker, and the victims. */
struct HostingTable
{
  WorkerIndex mWorker = kNoIndex;
  std::vector<double> mCost;
  std::vector<std::vector<JobHandle>> mVictims;
};

std::uint32_t
HeldTotalOf(const JobEntry& aJob)
{
  std::uint32_t sum = 0;
  for (const auto& task : aJob.mTasks) {
    sum += task.mAmount;
  }
  return sum;
}

bool
IsEligible(const State& aState,
           JobHandle aVictim,
           const VictimRequest& aRequest)
{
  const auto& victim = aState.mJobs[aVictim];
  if (victim.mPhase != JobPhase::Held || victim.mKind != HoldKind::Borrowed) {
    return false;
  }
  if (aRequest.mGuaranteed) {
    return true;
  }
  const auto& job = aState.mJobs[aRequest.mJob];
  const bool smaller =
    HeldTotalOf(victim) < TotalAccelerators(job.mRequest.mShape);
  if (aRequest.mForCompaction) {
    return smaller;
  }
  // A job on one worker can start as soon as one of the same size ends there,
  // so without a deadline it does not preempt early.
  const bool gang = !RequiresOneWorker(job.mRequest.mShape) ||
                    job.mRequest.mDeadline.has_value();
  const base::Duration ran = aRequest.mNow - victim.mStarted;
  return smaller && gang
           ? aRequest.mNow >= victim.mProtectedUntil
           : ran >= aState.mOptions.mReservationAge * kEqualSizeReservationAges;
}

std::vector<Victim>
FindVictimsOn(const State& aState,
              WorkerIndex aWorker,
              const VictimRequest& aRequest)
{
  std::vector<Victim> victims;
  for (const JobHandle handle : aState.mTopology.mWorkers[aWorker].mJobs) {
    const bool seen =
      std::any_of(victims.begin(), victims.end(), [&](const Victim& aEach) {
        return aEach.mJob == handle;
      });
    if (seen || !IsEligible(aState, handle, aRequest)) {
      continue;
    }
    Victim victim{ handle, 0, 0 };
    for (const auto& task : aState.mJobs[handle].mTasks) {
      victim.mAmount += task.mWorker == aWorker ? task.mAmount : 0;
    }
    victim.mCost = ComputeStopCost(aState, aState.mJobs[handle], aRequest);
    victims.push_back(victim);
  }
  return victims;
}

/** Least cost of freeing at least 0, 1, ... accelerators, and the victims. */
struct FreeingTable
{
  std::vector<double> mCost;
  std::vector<std::vector<JobHandle>> mVictims;
};

FreeingTable
TabulateFreeing(const std::vector<Victim>& aVictims)
{
  std::uint32_t sum = 0;
  for (const auto& victim : aVictims) {
    sum += victim.mAmount;
  }
  FreeingTable table;
  table.mCost.assign(sum + 1, kInfinite);
  table.mVictims.resize(sum + 1);
  table.mCost[0] = 0;
  for (const auto& victim : aVictims) {
    for (std::uint32_t freed = sum; freed > 0; --freed) {
      const std::uint32_t before =
        freed > victim.mAmount ? freed - victim.mAmount : 0;
      const double cost = table.mCost[before] + victim.mCost;
      if (cost < table.mCost[freed]) {
        table.mCost[freed] = cost;
        table.mVictims[freed] = table.mVictims[before];
        table.mVictims[freed].push_back(victim.mJob);
      }
    }
  }
  return table;
}

HostingTable
TabulateHosting(const State& aState,
                WorkerIndex aWorker,
                const VictimRequest& aRequest)
{
  const auto& shape = aState.mJobs[aRequest.mJob].mRequest.mShape;
  HostingTable hosting;
  hosting.mWorker = aWorker;
  const std::uint32_t open = AvailableOn(aState, aWorker, aRequest.mGuaranteed);
  const auto table = TabulateFreeing(FindVictimsOn(aState, aWorker, aRequest));
  const auto most = static_cast<std::uint32_t>(table.mCost.size()) - 1 + open;
  for (std::uint32_t tasks = 0; tasks <= shape.mTasks; ++tasks) {
    const std::uint32_t need = tasks * shape.mAcceleratorsPerTask;
    if (need > most) {
      break;
    }
    const std::uint32_t freed = need > open ? need - open : 0;
    hosting.mCost.push_back(table.mCost[freed]);
    hosting.mVictims.push_back(table.mVictims[freed]);
  }
  return hosting;
}

/** Returns the number of tasks for each worker at the least total cost; empty
 * if the workers cannot host aTasks. */
std::vector<std::uint32_t>
DistributeTasks(const std::vector<HostingTable>& aHostings,
                std::uint32_t aTasks)
{
  const std::size_t count = aHostings.size();
  std::vector<std::vector<double>> cost(
    count + 1, std::vector<double>(aTasks + 1, kInfinite));
  std::vector<std::vector<std::uint32_t>> hosted(
    count + 1, std::vector<std::uint32_t>(aTasks + 1, 0));
  cost[0][0] = 0;
  for (std::size_t k = 0; k < count; ++k) {
    const auto& hostingCost = aHostings[k].mCost;
    for (std::uint32_t done = 0; done <= aTasks; ++done) {
      if (cost[k][done] == kInfinite) {
        continue;
      }
      for (std::uint32_t n = 0; n < hostingCost.size() && done + n <= aTasks;
           ++n) {
        const double sum = cost[k][done] + hostingCost[n];
        if (sum < cost[k + 1][done + n]) {
          cost[k + 1][done + n] = sum;
          hosted[k + 1][done + n] = n;
        }
      }
    }
  }
  std::vector<std::uint32_t> tasks;
  if (cost[count][aTasks] == kInfinite) {
    return tasks;
  }
  tasks.resize(count);
  std::uint32_t left = aTasks;
  for (std::size_t k = count; k > 0; --k) {
    tasks[k - 1] = hosted[k][left];
    left -= tasks[k - 1];
  }
  return tasks;
}

std::uint32_t
AmountOn(const JobEntry& aJob, WorkerIndex aWorker)
{
  std::uint32_t sum = 0;
  for (const auto& task : aJob.mTasks) {
    sum += task.mWorker == aWorker ? task.mAmount : 0;
  }
  return sum;
}

/** Returns whether the gang still fits if aWithout is not stopped. */
bool
FormsWithout(const State& aState,
             const VictimPlan& aPlan,
             JobHandle aWithout,
             const VictimRequest& aRequest)
{
  const std::uint32_t amount =
    aState.mJobs[aRequest.mJob].mRequest.mShape.mAcceleratorsPerTask;
  for (const auto& part : aPlan.mPlan) {
    std::uint32_t open =
      AvailableOn(aState, part.mWorker, aRequest.mGuaranteed);
    for (const JobHandle victim : aPlan.mVictims) {
      if (victim != aWithout) {
        open += AmountOn(aState.mJobs[victim], part.mWorker);
      }
    }
    if (open < part.mTasks * amount) {
      return false;
    }
  }
  return true;
}

/** Removes victims that need not stop because the other victims free enough. */
void
RemoveNeedlessVictims(const State& aState,
                      VictimPlan& aPlan,
                      const VictimRequest& aRequest)
{
  auto& victims = aPlan.mVictims;
  std::sort(victims.begin(), victims.end());
  victims.erase(std::unique(victims.begin(), victims.end()), victims.end());
  const std::vector<JobHandle> all = victims;
  for (const JobHandle victim : all) {
    if (FormsWithout(aState, aPlan, victim, aRequest)) {
      victims.erase(std::find(victims.begin(), victims.end(), victim));
    }
  }
  aPlan.mCost = 0;
  for (const JobHandle victim : victims) {
    aPlan.mCost += ComputeStopCost(aState, aState.mJobs[victim], aRequest);
  }
}

} // namespace

std::uint32_t
AvailableOn(const State& aState, WorkerIndex aWorker, bool aGuaranteed)
{
  const auto& node = aState.mTopology.mWorkers[aWorker];
  std::uint32_t taken = node.mHeld;
  for (const JobHandle handle : node.mJobs) {
    const auto& job = aState.mJobs[handle];
    if (job.mPhase == JobPhase::Stopping) {
      taken -= job.mRequest.mShape.mAcceleratorsPerTask;
    }
  }
  for (const ClaimHandle handle : node.mClaims) {
    const auto& claim = aState.mClaims[handle];
    for (const auto& part : claim.mParts) {
      if (part.mWorker == aWorker && (claim.mCovered || !aGuaranteed)) {
        taken += part.mAmount;
      }
    }
  }
  const std::uint32_t total = UsableTotal(node);
  return total > taken ? total - taken : 0;
}

double
ComputeStopCost(const State& aState,
                const JobEntry& aJob,
                const VictimRequest& aRequest)
{
  const base::Duration unsaved =
    aRequest.mNow - std::max(aJob.mCheckpointedAt, aJob.mStarted);
  const double seconds = std::chrono::duration<double>(unsaved).count();
  const auto& requester = aState.mJobs[aRequest.mJob];
  const bool higher = aJob.mRules.mPriority > requester.mRules.mPriority &&
                      !aRequest.mForCompaction;
  const double factor = higher ? kHigherPriorityFactor : 1;
  // Jobs of accounts that borrow much cost less, so they are stopped first.
  const double share =
    static_cast<double>(aState.mAccounts[aJob.mAccount].mBorrowed) /
    static_cast<double>(std::max<std::uint64_t>(aState.mUsableTotal, 1));
  return factor *
         ((seconds + kRestartSeconds) * HeldTotalOf(aJob) / (1 + share) +
          kVictimBaseCost);
}

std::optional<VictimPlan>
ChooseVictims(const State& aState,
              const std::vector<WorkerIndex>& aWorkers,
              const VictimRequest& aRequest)
{
  const auto& job = aState.mJobs[aRequest.mJob];
  std::vector<HostingTable> hostings;
  for (const WorkerIndex worker : aWorkers) {
    const auto& failed = job.mFailedOn;
    const GangNeed need = MakeGangNeed(aState, job);
    const bool excluded =
      need.mExcluded != nullptr &&
      std::find(failed.begin(), failed.end(), worker) != failed.end();
    if (!excluded) {
      hostings.push_back(TabulateHosting(aState, worker, aRequest));
    }
  }
  const auto tasks = DistributeTasks(hostings, job.mRequest.mShape.mTasks);
  if (tasks.empty()) {
    return std::nullopt;
  }
  VictimPlan plan;
  for (std::size_t k = 0; k < tasks.size(); ++k) {
    if (tasks[k] > 0) {
      plan.mPlan.push_back({ hostings[k].mWorker, tasks[k] });
      const auto& victims = hostings[k].mVictims[tasks[k]];
      plan.mVictims.insert(plan.mVictims.end(), victims.begin(), victims.end());
    }
  }
  RemoveNeedlessVictims(aState, plan, aRequest);
  return plan;
}

} // namespace dogwooddrum::coordination::placement
