/** \file
 * Implements the passes that start queued jobs.
 */
#include "dogwooddrum/coordination/placement/Starts.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Claims.h"
#include "dogwooddrum/coordination/placement/Fairness.h"
#include "dogwooddrum/coordination/placement/Fragmentation.h"
#include "dogwooddrum/coordination/placement/Queue.h"

#include <algorithm>
#include <map>

namespace dogwooddrum::coordination::placement {

namespace {

/** Maximum victim plans that are tested against the cells, cheapest first. */
constexpr std::size_t kMaxCoverAttempts = 6;
/** Maximum held jobs that are considered for the cells that a release freed. */
constexpr std::size_t kMaxPromotionsPerRelease = 4;
/** Time before a class that could not start inside its cells is tried again. */
constexpr base::Duration kGuaranteeRetry = base::Milliseconds(1000);
/** Maximum classes that may fail to start inside their cells in one call. Each
 * failure examines all candidate domains, so the other classes wait for the
 * next call of Placer::Decide. */
constexpr std::size_t kMaxGuaranteeFailures = 1;

/** Adds plans on the account's unused cells whose accelerators are free. */
void
AddPlansOnUnusedCells(State& aState,
                      const JobEntry& aJob,
                      const GangNeed& aNeed,
                      std::vector<Plan>& aPlans)
{
  const std::uint32_t amount = aJob.mRequest.mShape.mAcceleratorsPerTask;
  auto& unused = aState.mCells.mAccounts[aJob.mAccount].mUnused;
  for (auto& plan : FindPlans(unused, aNeed, kMaxPlacementDomains)) {
    const bool free =
      std::all_of(plan.begin(), plan.end(), [&](const PlanPart& aPart) {
        return aState.mFree.Get(aPart.mWorker) >= aPart.mTasks * amount;
      });
    if (free) {
      aPlans.push_back(std::move(plan));
    }
  }
}

std::vector<Plan>
FindFreePlans(State& aState, const JobEntry& aJob, bool aInside)
{
  const bool score = aState.mOptions.mFragmentationScore;
  const GangNeed need = MakeGangNeed(aState, aJob);
  const std::size_t excluded = need.mExcluded ? need.mExcluded->size() : 0;
  auto plans = FindPlans(
    aState.mFree, need, (score ? kMaxPlacementDomains : 1) + excluded);
  if (aInside) {
    AddPlansOnUnusedCells(aState, aJob, need, plans);
  }
  if (score && plans.size() > 1) {
    const std::uint32_t amount = aJob.mRequest.mShape.mAcceleratorsPerTask;
    std::swap(plans[0], plans[ChooseBestPlan(aState, plans, amount, aInside)]);
  }
  return plans;
}

bool
CoverJob(State& aState, const JobEntry& aJob, const Plan& aPlan)
{
  return CoverPlan(aState.mCells,
                   aJob.mAccount,
                   aPlan,
                   aJob.mRequest.mShape.mAcceleratorsPerTask);
}

bool
TryStartInGuarantee(State& aState, JobHandle aJob, base::Time aNow)
{
  for (const auto& plan : FindFreePlans(aState, aState.mJobs[aJob], true)) {
    if (CoverJob(aState, aState.mJobs[aJob], plan)) {
      StartOnFree(aState, aJob, plan, HoldKind::Covered, aNow);
      return true;
    }
  }
  return false;
}

/** Returns plans that start the gang by stopping borrowed work, cheapest
 * first. */
std::vector<VictimPlan>
FindGuaranteedVictimPlans(State& aState, JobHandle aJob, base::Time aNow)
{
  const GangNeed need = MakeGangNeed(aState, aState.mJobs[aJob]);
  auto& unused = aState.mCells.mAccounts[aState.mJobs[aJob].mAccount].mUnused;
  auto domains =
    FindDomains(unused, need, kMaxVictimZones * 2, kMaxVictimWorkers);
  auto more = FindDomains(aState.mReclaimable,
                          need,
                          MaxVictimDomains(need.mShape),
                          kMaxVictimWorkers);
  domains.insert(domains.end(), more.begin(), more.end());
  VictimRequest request;
  request.mJob = aJob;
  request.mGuaranteed = true;
  request.mNow = aNow;
  std::vector<VictimPlan> plans;
  for (const auto& domain : domains) {
    if (auto plan = ChooseVictims(aState, domain, request)) {
      plans.push_back(std::move(*plan));
    }
  }
  std::stable_sort(plans.begin(),
                   plans.end(),
                   [](const VictimPlan& aLeft, const VictimPlan& aRight) {
                     return aLeft.mCost < aRight.mCost;
                   });
  return plans;
}

bool
TryClaimInGuarantee(State& aState, JobHandle aJob, base::Time aNow)
{
  const auto plans = FindGuaranteedVictimPlans(aState, aJob, aNow);
  for (std::size_t k = 0; k < std::min(plans.size(), kMaxCoverAttempts); ++k) {
    const auto& plan = plans[k];
    if (!CoverJob(aState, aState.mJobs[aJob], plan.mPlan)) {
      continue;
    }
    MakeClaim(aState, aJob, plan, true, StopKind::Preempt, aNow);
    return true;
  }
  return false;
}

/** Returns whether the account's unused cells hold the job and, for a batch
 * job, still leave the headroom for protected work of the same account. Without
 * the headroom, protected work could start only by stopping work inside a
 * guarantee. */
bool
LeavesHeadroom(const State& aState, const JobEntry& aJob, base::Time aNow)
{
  const std::uint64_t unused = UnusedOf(aState.mCells, aJob.mAccount);
  const std::uint64_t total = TotalAccelerators(aJob.mRequest.mShape);
  if (unused < total) {
    return false;
  }
  return IsProtected(aJob) ||
         unused - total >= HeadroomOf(aState, aJob.mAccount, aNow);
}

/** Heap comparator that puts the least ClassOrder first. */
struct LaterInOrder
{
  bool operator()(const ClassOrder& aLeft, const ClassOrder& aRight) const
  {
    return aRight < aLeft;
  }
};

/** Returns the classes that may borrow and whose shape fits the free
 * accelerators, as a heap. */
std::vector<ClassOrder>
FindFittingClasses(State& aState, base::Time aNow)
{
  std::vector<ClassOrder> heap;
  for (const auto& [key, classes] : aState.mClassesByShape) {
    const auto& [tasks, amount, adjacency] = key;
    if (!Fits(aState.mFree, { tasks, amount, adjacency })) {
      continue;
    }
    for (const ClassIndex index : classes) {
      if (MayBorrow(aState, index)) {
        heap.push_back(OrderOf(aState, index, aNow));
      }
    }
  }
  std::make_heap(heap.begin(), heap.end(), LaterInOrder{});
  return heap;
}

bool
TryStartBorrowed(State& aState, ClassIndex aClass, base::Time aNow)
{
  const JobHandle handle = FirstJobOf(aState, aClass);
  const auto plans = FindFreePlans(aState, aState.mJobs[handle], false);
  if (plans.empty()) {
    return false;
  }
  StartOnFree(aState, handle, plans.front(), HoldKind::Borrowed, aNow);
  return true;
}

/** Empties mGuaranteeCandidates and returns the classes, protected work first,
 * then by priority and fairness. */
std::vector<ClassIndex>
TakeGuaranteeCandidates(State& aState, base::Time aNow)
{
  std::vector<std::pair<ClassOrder, ClassIndex>> order;
  for (const ClassIndex index : aState.mGuaranteeCandidates) {
    auto key = OrderOf(aState, index, aNow);
    const auto& head = aState.mJobs[FirstJobOf(aState, index)];
    std::get<0>(key) = IsProtected(head) ? 0 : 1;
    std::get<1>(key) = base::Time{};
    order.emplace_back(key, index);
  }
  aState.mGuaranteeCandidates.clear();
  std::sort(order.begin(), order.end());
  std::vector<ClassIndex> classes;
  classes.reserve(order.size());
  for (const auto& entry : order) {
    classes.push_back(entry.second);
  }
  return classes;
}

Plan
PlanOf(const JobEntry& aJob)
{
  std::map<WorkerIndex, std::uint32_t> tasks;
  for (const auto& task : aJob.mTasks) {
    ++tasks[task.mWorker];
  }
  Plan plan;
  for (const auto& [worker, count] : tasks) {
    plan.push_back({ worker, count });
  }
  return plan;
}

} // namespace

std::size_t
MaxVictimDomains(const protocol::GangShape& aShape)
{
  const bool wide = !RequiresOneWorker(aShape) &&
                    aShape.mAdjacency != protocol::Adjacency::Rack;
  return wide ? kMaxVictimZones : kMaxVictimDomains;
}

void
StartOnFree(State& aState,
            JobHandle aJob,
            const Plan& aPlan,
            HoldKind aKind,
            base::Time aNow)
{
  auto& job = aState.mJobs[aJob];
  Dequeue(aState, aJob);
  job.mKind = aKind;
  if (aKind == HoldKind::Covered) {
    AllocateShares(aState, aJob, aPlan);
  }
  HoldPlan(aState, aJob, aPlan, aNow);
  job.mProtectedUntil = aNow;
  aState.mDecisions.emplace_back(Start{ job.mRequest.mJob,
                                        PlacementsOf(aState, job),
                                        aKind == HoldKind::Borrowed });
}

bool
TryStartGuaranteed(State& aState, JobHandle aJob, base::Time aNow)
{
  if (UnusedOf(aState.mCells, aState.mJobs[aJob].mAccount) <
      TotalAccelerators(aState.mJobs[aJob].mRequest.mShape)) {
    return false;
  }
  if (TryStartInGuarantee(aState, aJob, aNow)) {
    return true;
  }
  if (!aState.mOptions.mPreemption) {
    return false;
  }
  return TryClaimInGuarantee(aState, aJob, aNow);
}

void
StartGuaranteedJobs(State& aState, base::Time aNow, std::size_t aMaxDecisions)
{
  if (aNow >= aState.mGuaranteeRetryAt && !aState.mDeferredGuarantees.empty()) {
    aState.mGuaranteeCandidates.insert(aState.mDeferredGuarantees.begin(),
                                       aState.mDeferredGuarantees.end());
    aState.mDeferredGuarantees.clear();
  }
  std::size_t failures = 0;
  for (const ClassIndex index : TakeGuaranteeCandidates(aState, aNow)) {
    while (aState.mClasses[index].mLive) {
      if (aState.mDecisions.size() >= aMaxDecisions ||
          failures >= kMaxGuaranteeFailures) {
        aState.mGuaranteeCandidates.insert(index);
        aState.mHasMoreWork = true;
        break;
      }
      const JobHandle head = FirstJobOf(aState, index);
      const auto& job = aState.mJobs[head];
      if (!LeavesHeadroom(aState, job, aNow)) {
        break;
      }
      if (!TryStartGuaranteed(aState, head, aNow)) {
        ++failures;
        aState.mDeferredGuarantees.insert(index);
        aState.mGuaranteeRetryAt = aNow + kGuaranteeRetry;
        break;
      }
    }
  }
}

void
StartBorrowedJobs(State& aState, base::Time aNow, std::size_t aMaxDecisions)
{
  auto heap = FindFittingClasses(aState, aNow);
  while (!heap.empty()) {
    if (aState.mDecisions.size() >= aMaxDecisions) {
      aState.mHasMoreWork = true;
      return;
    }
    std::pop_heap(heap.begin(), heap.end(), LaterInOrder{});
    const ClassIndex index = std::get<6>(heap.back());
    const ClassOrder known = heap.back();
    heap.pop_back();
    const auto& entry = aState.mClasses[index];
    if (!entry.mLive || !Fits(aState.mFree, entry.mShape) ||
        !MayBorrow(aState, index)) {
      continue;
    }
    const ClassOrder order = OrderOf(aState, index, aNow);
    const bool stale = known < order;
    if (!stale && !TryStartBorrowed(aState, index, aNow)) {
      continue;
    }
    if (aState.mClasses[index].mLive) {
      heap.push_back(OrderOf(aState, index, aNow));
      std::push_heap(heap.begin(), heap.end(), LaterInOrder{});
    }
  }
}

bool
PromoteJob(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  if (job.mPhase != JobPhase::Held || job.mKind == HoldKind::Covered ||
      job.mTasks.empty()) {
    return false;
  }
  const bool pinned = job.mKind == HoldKind::Pinned;
  if (pinned) {
    // The pinned amounts may be the reason that the account's cells are
    // unbound, so release them and bind the cells before the test.
    SetHoldKind(aState, aJob, HoldKind::Borrowed);
    RepairCells(aState.mCells, true);
  }
  const Plan plan = PlanOf(job);
  if (CoverJob(aState, job, plan)) {
    AllocateShares(aState, aJob, plan);
    SetHoldKind(aState, aJob, HoldKind::Covered);
    return true;
  }
  if (pinned) {
    SetHoldKind(aState, aJob, HoldKind::Pinned);
  }
  return false;
}

void
PromoteAdoptedJobs(State& aState)
{
  const std::set<JobHandle> adopted = aState.mAdopted;
  for (const JobHandle handle : adopted) {
    const auto& tasks = aState.mJobs[handle].mTasks;
    const bool reported =
      std::all_of(tasks.begin(), tasks.end(), [&](const HeldTask& aTask) {
        return aState.mTopology.mWorkers[aTask.mWorker].mUp;
      });
    if (!reported) {
      continue;
    }
    aState.mAdopted.erase(handle);
    if (!PromoteJob(aState, handle) &&
        !RequiresGuarantee(aState.mJobs[handle])) {
      SetHoldKind(aState, handle, HoldKind::Borrowed);
    }
  }
}

void
PromoteHeldJobs(State& aState, base::Time aNow)
{
  const std::set<AccountIndex> accounts = std::move(aState.mAccountsToPromote);
  aState.mAccountsToPromote.clear();
  for (const AccountIndex account : accounts) {
    const auto outside = aState.mAccounts[account].mUncoveredJobs;
    std::size_t tries = 0;
    for (const auto& [started, handle] : outside) {
      if (++tries > kMaxPromotionsPerRelease) {
        break;
      }
      const auto& job = aState.mJobs[handle];
      if (job.mKind == HoldKind::Pinned || LeavesHeadroom(aState, job, aNow)) {
        PromoteJob(aState, handle);
      }
    }
  }
}

} // namespace dogwooddrum::coordination::placement
