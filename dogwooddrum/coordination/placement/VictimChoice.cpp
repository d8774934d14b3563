/** \file
 * Implements the choice of victims. Each worker gets a table of the least
 * cost for each number of tasks; a second table combines the workers.
 */
#include "dogwooddrum/coordination/placement/VictimChoice.h"

#include "dogwooddrum/coordination/placement/Allocations.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace dogwooddrum::coordination::placement {

namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
/** Seconds that a stopped job needs until it works again. */
constexpr double kRestartSeconds = 5;
/** Cost of touching a job at all, in accelerator seconds. */
constexpr double kTouchCost = 1;
/** Stopping work of higher priority than the requester's costs this much
 * more, so that it happens only where nothing else forms the gang. */
constexpr double kHigherPriorityFactor = 8;
/** A reservation stops jobs of its own size or larger, or for a job on one
 * worker, only after they ran for this many reservation ages; otherwise equal
 * jobs take turns and lose work at each turn. */
constexpr int kEqualSizeAges = 10;

struct Victim
{
  JobHandle mJob = kNoIndex;
  std::uint32_t mAmount = 0; ///< on the worker in question
  double mCost = 0;
};

/** Least cost to host 0, 1, ... tasks on a worker, and who stops for it. */
struct WorkerOptions
{
  WorkerIndex mWorker = kNoIndex;
  std::vector<double> mCost;
  std::vector<std::vector<JobHandle>> mVictims;
};

std::uint32_t
HeldTotal(const JobEntry& aJob)
{
  std::uint32_t sum = 0;
  for (const auto& task : aJob.mTasks) {
    sum += task.mAmount;
  }
  return sum;
}

bool
Eligible(const State& aState, JobHandle aVictim, const VictimRequest& aRequest)
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
    HeldTotal(victim) < TotalAccelerators(job.mRequest.mShape);
  if (aRequest.mMove) {
    return smaller;
  }
  // A job on one worker finds a place whenever one of its size ends there.
  const bool gang = !RequiresOneWorker(job.mRequest.mShape) ||
                    job.mRequest.mDeadline.has_value();
  const base::Duration ran = aRequest.mNow - victim.mStarted;
  return smaller && gang
           ? aRequest.mNow >= victim.mProtectedUntil
           : ran >= aState.mOptions.mReservationAge * kEqualSizeAges;
}

std::vector<Victim>
VictimsOn(const State& aState,
          WorkerIndex aWorker,
          const VictimRequest& aRequest)
{
  std::vector<Victim> victims;
  for (const JobHandle handle : aState.mTopology.mWorkers[aWorker].mJobs) {
    const bool seen =
      std::any_of(victims.begin(), victims.end(), [&](const Victim& aEach) {
        return aEach.mJob == handle;
      });
    if (seen || !Eligible(aState, handle, aRequest)) {
      continue;
    }
    Victim victim{ handle, 0, 0 };
    for (const auto& task : aState.mJobs[handle].mTasks) {
      victim.mAmount += task.mWorker == aWorker ? task.mAmount : 0;
    }
    victim.mCost = StopCost(aState, aState.mJobs[handle], aRequest);
    victims.push_back(victim);
  }
  return victims;
}

/** Least cost to free at least 0, 1, ... accelerators, with who stops. */
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

WorkerOptions
OptionsOn(const State& aState,
          WorkerIndex aWorker,
          const VictimRequest& aRequest)
{
  const auto& shape = aState.mJobs[aRequest.mJob].mRequest.mShape;
  WorkerOptions options;
  options.mWorker = aWorker;
  const std::uint32_t open = OpenOn(aState, aWorker, aRequest.mGuaranteed);
  const auto table = TabulateFreeing(VictimsOn(aState, aWorker, aRequest));
  const auto most = static_cast<std::uint32_t>(table.mCost.size()) - 1 + open;
  for (std::uint32_t tasks = 0; tasks <= shape.mTasks; ++tasks) {
    const std::uint32_t need = tasks * shape.mAcceleratorsPerTask;
    if (need > most) {
      break;
    }
    const std::uint32_t freed = need > open ? need - open : 0;
    options.mCost.push_back(table.mCost[freed]);
    options.mVictims.push_back(table.mVictims[freed]);
  }
  return options;
}

/** Chooses how many tasks each worker hosts so that the sum costs least. */
std::vector<std::uint32_t>
Distribute(const std::vector<WorkerOptions>& aOptions, std::uint32_t aTasks)
{
  const std::size_t count = aOptions.size();
  std::vector<std::vector<double>> cost(
    count + 1, std::vector<double>(aTasks + 1, kInfinite));
  std::vector<std::vector<std::uint32_t>> choice(
    count + 1, std::vector<std::uint32_t>(aTasks + 1, 0));
  cost[0][0] = 0;
  for (std::size_t k = 0; k < count; ++k) {
    const auto& options = aOptions[k].mCost;
    for (std::uint32_t done = 0; done <= aTasks; ++done) {
      if (cost[k][done] == kInfinite) {
        continue;
      }
      for (std::uint32_t n = 0; n < options.size() && done + n <= aTasks; ++n) {
        const double sum = cost[k][done] + options[n];
        if (sum < cost[k + 1][done + n]) {
          cost[k + 1][done + n] = sum;
          choice[k + 1][done + n] = n;
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
    tasks[k - 1] = choice[k][left];
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

bool
Forms(const State& aState,
      const VictimPlan& aChoice,
      JobHandle aWithout,
      const VictimRequest& aRequest)
{
  const std::uint32_t amount =
    aState.mJobs[aRequest.mJob].mRequest.mShape.mAcceleratorsPerTask;
  for (const auto& part : aChoice.mPlan) {
    std::uint32_t open = OpenOn(aState, part.mWorker, aRequest.mGuaranteed);
    for (const JobHandle victim : aChoice.mVictims) {
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

/** Spares victims that another victim's departure makes needless. */
void
SpareNeedless(const State& aState,
              VictimPlan& aChoice,
              const VictimRequest& aRequest)
{
  auto& victims = aChoice.mVictims;
  std::sort(victims.begin(), victims.end());
  victims.erase(std::unique(victims.begin(), victims.end()), victims.end());
  const std::vector<JobHandle> all = victims;
  for (const JobHandle victim : all) {
    if (Forms(aState, aChoice, victim, aRequest)) {
      victims.erase(std::find(victims.begin(), victims.end(), victim));
    }
  }
  aChoice.mCost = 0;
  for (const JobHandle victim : victims) {
    aChoice.mCost += StopCost(aState, aState.mJobs[victim], aRequest);
  }
}

} // namespace

std::uint32_t
OpenOn(const State& aState, WorkerIndex aWorker, bool aGuaranteed)
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
StopCost(const State& aState, const JobEntry& aJob, const VictimRequest& aFor)
{
  const base::Duration unsaved =
    aFor.mNow - std::max(aJob.mSaved, aJob.mStarted);
  const double seconds = std::chrono::duration<double>(unsaved).count();
  const auto& asking = aState.mJobs[aFor.mJob];
  const bool higher =
    aJob.mRules.mPriority > asking.mRules.mPriority && !aFor.mMove;
  const double factor = higher ? kHigherPriorityFactor : 1;
  // Accounts that borrow much give back first.
  const double share =
    static_cast<double>(aState.mAccounts[aJob.mAccount].mBorrowed) /
    static_cast<double>(std::max<std::uint64_t>(aState.mUsableTotal, 1));
  return factor * ((seconds + kRestartSeconds) * HeldTotal(aJob) / (1 + share) +
                   kTouchCost);
}

std::optional<VictimPlan>
ChooseVictims(const State& aState,
              const std::vector<WorkerIndex>& aWorkers,
              const VictimRequest& aRequest)
{
  const auto& job = aState.mJobs[aRequest.mJob];
  std::vector<WorkerOptions> options;
  for (const WorkerIndex worker : aWorkers) {
    const auto& failed = job.mFailedOn;
    const GangNeed need = MakeGangNeed(aState, job);
    const bool excluded =
      need.mExcluded != nullptr &&
      std::find(failed.begin(), failed.end(), worker) != failed.end();
    if (!excluded) {
      options.push_back(OptionsOn(aState, worker, aRequest));
    }
  }
  const auto tasks = Distribute(options, job.mRequest.mShape.mTasks);
  if (tasks.empty()) {
    return std::nullopt;
  }
  VictimPlan choice;
  for (std::size_t k = 0; k < tasks.size(); ++k) {
    if (tasks[k] > 0) {
      choice.mPlan.push_back({ options[k].mWorker, tasks[k] });
      const auto& victims = options[k].mVictims[tasks[k]];
      choice.mVictims.insert(
        choice.mVictims.end(), victims.begin(), victims.end());
    }
  }
  SpareNeedless(aState, choice, aRequest);
  return choice;
}

} // namespace dogwooddrum::coordination::placement
