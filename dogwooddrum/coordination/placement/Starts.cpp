/** \file
 * Implements the pass that starts queued jobs.
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

/** Choices that are tested against the cells, cheapest first. */
constexpr std::size_t kCoverTries = 6;
/** Held jobs that one release takes under the freed cells at most. */
constexpr std::size_t kPromotionsPerRelease = 4;
/** Wait before a gang that did not form inside its cells is tried again. */
constexpr base::Duration kGuaranteeRetry = base::Milliseconds(1000);
/** Classes that may fail to form inside their cells in one decision. Each
 * failure looks at all candidates, so the others wait for the next call. */
constexpr std::size_t kMaxGuaranteeFailures = 1;

/** Adds plans on the account's unused cells whose workers are free. */
void
AddPlansOnOwnCells(State& aState,
                   const JobEntry& aJob,
                   const GangNeed& aNeed,
                   std::vector<Plan>& aPlans)
{
  const std::uint32_t amount = aJob.mRequest.mShape.mAcceleratorsPerTask;
  auto& unused = aState.mCells.mAccounts[aJob.mAccount].mUnused;
  for (auto& plan : FindPlans(unused, aNeed, kPlacementCandidates)) {
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
FreePlans(State& aState, const JobEntry& aJob, bool aInside)
{
  const bool score = aState.mOptions.mFragmentationScore;
  const GangNeed need = MakeGangNeed(aState, aJob);
  const std::size_t excluded = need.mExcluded ? need.mExcluded->size() : 0;
  auto plans = FindPlans(
    aState.mFree, need, (score ? kPlacementCandidates : 1) + excluded);
  if (aInside) {
    AddPlansOnOwnCells(aState, aJob, need, plans);
  }
  if (score && plans.size() > 1) {
    const std::uint32_t amount = aJob.mRequest.mShape.mAcceleratorsPerTask;
    std::swap(plans[0], plans[ChooseBestPlan(aState, plans, amount, aInside)]);
  }
  return plans;
}

bool
Covers(State& aState, const JobEntry& aJob, const Plan& aPlan)
{
  return CoverPlan(aState.mCells,
                   aJob.mAccount,
                   aPlan,
                   aJob.mRequest.mShape.mAcceleratorsPerTask);
}

bool
StartFreeInside(State& aState, JobHandle aJob, base::Time aNow)
{
  for (const auto& plan : FreePlans(aState, aState.mJobs[aJob], true)) {
    if (Covers(aState, aState.mJobs[aJob], plan)) {
      StartOn(aState, aJob, plan, HoldKind::Covered, aNow);
      return true;
    }
  }
  return false;
}

/** Returns ways to form the gang by stopping borrowed work, cheapest first. */
std::vector<VictimPlan>
GuaranteedChoices(State& aState, JobHandle aJob, base::Time aNow)
{
  const GangNeed need = MakeGangNeed(aState, aState.mJobs[aJob]);
  auto& unused = aState.mCells.mAccounts[aState.mJobs[aJob].mAccount].mUnused;
  auto nodes = FindDomains(unused, need, kVictimZones * 2, kVictimWorkers);
  auto more = FindDomains(
    aState.mReclaim, need, VictimNodes(need.mShape), kVictimWorkers);
  nodes.insert(nodes.end(), more.begin(), more.end());
  VictimRequest request;
  request.mJob = aJob;
  request.mGuaranteed = true;
  request.mNow = aNow;
  std::vector<VictimPlan> choices;
  for (const auto& node : nodes) {
    if (auto choice = ChooseVictims(aState, node, request)) {
      choices.push_back(std::move(*choice));
    }
  }
  std::stable_sort(choices.begin(),
                   choices.end(),
                   [](const VictimPlan& aLeft, const VictimPlan& aRight) {
                     return aLeft.mCost < aRight.mCost;
                   });
  return choices;
}

bool
ClaimInside(State& aState, JobHandle aJob, base::Time aNow)
{
  const auto choices = GuaranteedChoices(aState, aJob, aNow);
  for (std::size_t k = 0; k < std::min(choices.size(), kCoverTries); ++k) {
    const auto& choice = choices[k];
    if (!Covers(aState, aState.mJobs[aJob], choice.mPlan)) {
      continue;
    }
    MakeClaim(aState, aJob, choice, true, StopKind::Preempt, aNow);
    return true;
  }
  return false;
}

/** A batch job leaves room for protected work of its own account, which
 * could otherwise not start without stopping work inside a guarantee. */
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

struct ByOrder
{
  bool operator()(const ClassOrder& aLeft, const ClassOrder& aRight) const
  {
    return aRight < aLeft;
  }
};

/** Returns the classes whose shape fits the free accelerators, as a heap. */
std::vector<ClassOrder>
FittingClasses(State& aState, base::Time aNow)
{
  std::vector<ClassOrder> heap;
  for (const auto& [key, classes] : aState.mShapes) {
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
  std::make_heap(heap.begin(), heap.end(), ByOrder{});
  return heap;
}

bool
StartBorrowed(State& aState, ClassIndex aClass, base::Time aNow)
{
  const JobHandle handle = HeadOf(aState, aClass);
  const auto plans = FreePlans(aState, aState.mJobs[handle], false);
  if (plans.empty()) {
    return false;
  }
  StartOn(aState, handle, plans.front(), HoldKind::Borrowed, aNow);
  return true;
}

std::vector<ClassIndex>
DirtyInOrder(State& aState, base::Time aNow)
{
  std::vector<std::pair<ClassOrder, ClassIndex>> order;
  for (const ClassIndex index : aState.mGuaranteeDirty) {
    auto key = OrderOf(aState, index, aNow);
    const auto& head = aState.mJobs[HeadOf(aState, index)];
    std::get<0>(key) = IsProtected(head) ? 0 : 1;
    std::get<1>(key) = base::Time{};
    order.emplace_back(key, index);
  }
  aState.mGuaranteeDirty.clear();
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
VictimNodes(const protocol::GangShape& aShape)
{
  const bool wide = !RequiresOneWorker(aShape) &&
                    aShape.mAdjacency != protocol::Adjacency::Rack;
  return wide ? kVictimZones : kVictimCandidates;
}

void
StartOn(State& aState,
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
  aState.mOut.emplace_back(Start{ job.mRequest.mJob,
                                  PlacementsOf(aState, job),
                                  aKind == HoldKind::Borrowed });
}

bool
TryGuaranteed(State& aState, JobHandle aJob, base::Time aNow)
{
  if (UnusedOf(aState.mCells, aState.mJobs[aJob].mAccount) <
      TotalAccelerators(aState.mJobs[aJob].mRequest.mShape)) {
    return false;
  }
  if (StartFreeInside(aState, aJob, aNow)) {
    return true;
  }
  if (!aState.mOptions.mPreemption) {
    return false;
  }
  return ClaimInside(aState, aJob, aNow);
}

void
RunGuaranteed(State& aState, base::Time aNow, std::size_t aMost)
{
  if (aNow >= aState.mGuaranteeLaterAt && !aState.mGuaranteeLater.empty()) {
    aState.mGuaranteeDirty.insert(aState.mGuaranteeLater.begin(),
                                  aState.mGuaranteeLater.end());
    aState.mGuaranteeLater.clear();
  }
  std::size_t failures = 0;
  for (const ClassIndex index : DirtyInOrder(aState, aNow)) {
    while (aState.mClasses[index].mLive) {
      if (aState.mOut.size() >= aMost || failures >= kMaxGuaranteeFailures) {
        aState.mGuaranteeDirty.insert(index);
        aState.mMoreWork = true;
        break;
      }
      const JobHandle head = HeadOf(aState, index);
      const auto& job = aState.mJobs[head];
      if (!LeavesHeadroom(aState, job, aNow)) {
        break;
      }
      if (!TryGuaranteed(aState, head, aNow)) {
        ++failures;
        aState.mGuaranteeLater.insert(index);
        aState.mGuaranteeLaterAt = aNow + kGuaranteeRetry;
        break;
      }
    }
  }
}

void
RunBorrowed(State& aState, base::Time aNow, std::size_t aMost)
{
  auto heap = FittingClasses(aState, aNow);
  while (!heap.empty()) {
    if (aState.mOut.size() >= aMost) {
      aState.mMoreWork = true;
      return;
    }
    std::pop_heap(heap.begin(), heap.end(), ByOrder{});
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
    if (!stale && !StartBorrowed(aState, index, aNow)) {
      continue;
    }
    if (aState.mClasses[index].mLive) {
      heap.push_back(OrderOf(aState, index, aNow));
      std::push_heap(heap.begin(), heap.end(), ByOrder{});
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
    // The pinned amounts may be what keeps the account's cells unbound.
    SetHoldKind(aState, aJob, HoldKind::Borrowed);
    RepairCells(aState.mCells, true);
  }
  const Plan plan = PlanOf(job);
  if (Covers(aState, job, plan)) {
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
PromoteAdopted(State& aState)
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
PromoteHeld(State& aState, base::Time aNow)
{
  const std::set<AccountIndex> accounts = std::move(aState.mPromote);
  aState.mPromote.clear();
  for (const AccountIndex account : accounts) {
    const auto outside = aState.mAccounts[account].mOutside;
    std::size_t tries = 0;
    for (const auto& [started, handle] : outside) {
      if (++tries > kPromotionsPerRelease) {
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
