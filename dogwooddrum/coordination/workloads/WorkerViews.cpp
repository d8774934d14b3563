#include "dogwooddrum/coordination/workloads/WorkerViews.h"

#include "dogwooddrum/coordination/workloads/Evacuations.h"

#include <algorithm>
#include <cmath>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A worker gets no new work if its newest list is older: several lists are
 * missing, and a gang with a member there would be delayed. */
constexpr base::Duration kMaxListAgeForStarts = base::Milliseconds(1500);

/** At most one in so many workers of a pool is quarantined. */
constexpr std::size_t kQuarantineDivisor = 4;

/** Returns the core-seconds of work that a stop of the run loses. */
double
PreemptionLoss(const LeaderContext& aLeader,
               const RunId& aId,
               const OpenRun& aRun)
{
  const auto since = std::max(aRun.mStartedAt, aRun.mCheckpointedAt);
  const auto restore = aLeader.mOptions.mRestoreTime;
  const auto lost =
    IsCheckpointing(aLeader, aId) ? restore : aLeader.mNow - since + restore;
  return static_cast<double>(base::ToMilliseconds(lost)) / 1000 *
         CoreEquivalents(aRun.mResources);
}

/** Returns the highest (least urgent) priority number of all queues, also of
 * removed ones, and open runs. */
std::uint32_t
LeastUrgentPriority(const LeaderContext& aLeader)
{
  std::uint32_t least = 0;
  for (const auto& queue : aLeader.mState->CurrentCatalog().mQueues) {
    least = std::max(least, queue.mPriority);
  }
  for (const auto& [key, queue] : aLeader.mState->Queues().Retired()) {
    least = std::max(least, queue.mPriority);
  }
  for (const auto& [run, open] : aLeader.mRuns) {
    least = std::max(least, open.mPriority);
  }
  return least;
}

/** Returns whether a run that a target lists is not open there in the
 * replicated state: it was started by an order that the target executed late.
 * The run uses resources, and its task must not start elsewhere, until the
 * target lists its end. */
bool
IsUnexpectedRun(const LeaderContext& aLeader,
                const TargetIncarnation& aTargetIncarnation,
                const RunId& aRun)
{
  const auto it = aLeader.mRuns.find(aRun);
  return it == aLeader.mRuns.end() || it->second.mTarget != aTargetIncarnation;
}

/** Returns the longest time in which a stopped run frees its resources. */
base::Duration
StopDelay(const LeaderContext& aLeader)
{
  return aLeader.mOptions.mStopTime + kOrderRoundTrip;
}

/** Returns whether a run will end before the resources of another run could be
 * freed by stopping that. */
bool
EndsSoon(const LeaderContext& aLeader, const RunId& aRun, const OpenRun& aOpen)
{
  // Uses listed progress only: an estimate may be wrong by any factor.
  return aLeader.mOptions.mPolicies.mAwaitSoonEnds &&
         aOpen.mProgress.mPercentPerSecond > 0 &&
         ExpectedTimeLeft(aLeader, aRun, aOpen) <= StopDelay(aLeader);
}

/** Returns whether a run may be stopped for other work: urgent work only beyond
 * its account's guarantee. */
bool
IsStoppable(const RunId& aRun,
            const OpenRun& aOpen,
            const Guarantees& aGuarantees)
{
  return aOpen.mPriority > 0 ||
         aGuarantees.mCovered.count(aRun.mTask.mWorkload) == 0;
}

bool
IsSuspect(const LeaderContext& aLeader, const Worker& aWorker)
{
  const auto& options = aLeader.mOptions;
  if (!options.mPolicies.mWorkerSuspicion) {
    return false;
  }
  const auto isRecent = [&](base::Time aTime) {
    return aTime != base::Time() && aLeader.mNow - aTime < options.mSuspectTime;
  };
  return (aWorker.mConsecutiveFailures >= options.mSuspectAfter &&
          isRecent(aWorker.mLastFailure)) ||
         isRecent(aWorker.mStalledAt);
}

/** Returns whether the worker itself is the likely cause of its failed runs. */
bool
IsQuarantined(const LeaderContext& aLeader, const Worker& aWorker)
{
  const auto& options = aLeader.mOptions;
  return options.mPolicies.mWorkerSuspicion &&
         aWorker.mFailedWorkloads.size() >= kFailedWorkloadsForQuarantine &&
         aLeader.mNow - aWorker.mLastFailedRun < options.mSuspectTime;
}

/** Ends the quarantine of all workers of a pool if it holds too many of them:
 * then the work is the likely cause. */
void
LimitQuarantine(std::vector<WorkerView>& aViews)
{
  std::map<protocol::PoolName, std::pair<std::size_t, std::size_t>> counts;
  for (const WorkerView& view : aViews) {
    auto& [quarantined, all] = counts[view.mPool];
    quarantined += view.mIsQuarantined ? 1 : 0;
    ++all;
  }
  for (WorkerView& view : aViews) {
    const auto& [quarantined, all] = counts.at(view.mPool);
    view.mIsQuarantined =
      view.mIsQuarantined && quarantined <= all / kQuarantineDivisor;
  }
}

} // namespace

std::vector<WorkerView>
MakeWorkerViews(const LeaderContext& aLeader, const Guarantees& aGuarantees)
{
  const std::uint32_t leastUrgent = LeastUrgentPriority(aLeader);
  std::vector<WorkerView> views;
  std::map<TargetIncarnation, std::size_t> index;
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    WorkerView view;
    view.mTargetIncarnation = incarnation;
    view.mPool = worker.mTargetInfo.mPool;
    view.mZone = worker.mTargetInfo.mZone;
    view.mRack = worker.mTargetInfo.mRack;
    view.mLabels.insert(worker.mTargetInfo.mLabels.begin(),
                        worker.mTargetInfo.mLabels.end());
    const auto& capacity = worker.mTargetInfo.mCapacity;
    view.mCapacity = { static_cast<std::int64_t>(capacity.mMilliCores),
                       static_cast<std::int64_t>(capacity.mMemoryMb),
                       static_cast<std::int64_t>(capacity.mAccelerators) };
    view.mFree = view.mCapacity;
    view.mUsable = worker.mHasLease && !worker.mTargetInfo.mLeaving &&
                   worker.mSession != Session() &&
                   !IsEvacuated(aLeader, view.mZone) &&
                   aLeader.mNow - worker.mListedAt < kMaxListAgeForStarts;
    view.mIsQuarantined = IsQuarantined(aLeader, worker);
    view.mSuspect = view.mIsQuarantined || IsSuspect(aLeader, worker);
    view.mIsProbeDue =
      aLeader.mNow - worker.mLastFailedRun >= aLeader.mOptions.mProbeAfter;
    view.mSlowness = aLeader.mWorkerSpeeds.SlownessOf(worker.mAgentName);
    index.emplace(incarnation, views.size());
    views.push_back(std::move(view));
  }
  LimitQuarantine(views);
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    WorkerView& view = views[index.at(incarnation)];
    for (const auto& [run, running] : worker.mReportedRuns) {
      const auto* workload = aLeader.mState->Find(run.mTask.mWorkload);
      // A target may list a step that its workload does not have.
      const bool isKnown =
        workload != nullptr && run.mTask.mStep < workload->mSpec.mSteps.size();
      if (isKnown && IsUnexpectedRun(aLeader, incarnation, run)) {
        const ResourceVector resources =
          ResourcesOf(StepOf(*workload, run.mTask));
        view.mFree = view.mFree - resources;
        view.mReleasing = view.mReleasing + resources;
        view.mReleases.push_back({ StopDelay(aLeader), resources });
        ++view.mRunCount;
      }
    }
  }
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto it = index.find(open.mTarget);
    if (it == index.end()) {
      continue;
    }
    WorkerView& view = views[it->second];
    view.mFree = view.mFree - open.mResources;
    ++view.mRunCount;
    const auto* task = aLeader.mState->Find(run.mTask);
    const auto crashes = task == nullptr ? 0 : task->mCrashedTargets.size();
    if (crashes > 0) {
      view.mCrashSuspects.push_back({ run.mTask.mWorkload, crashes });
    }
    const bool isStopping = open.mStopping || open.mEnding;
    view.mReleases.push_back(
      { isStopping ? StopDelay(aLeader) : ExpectedTimeLeft(aLeader, run, open),
        open.mResources });
    if (isStopping || EndsSoon(aLeader, run, open)) {
      view.mReleasing = view.mReleasing + open.mResources;
    } else if (open.mCommitted && IsStoppable(run, open, aGuarantees)) {
      Victim victim;
      victim.mRun = run;
      victim.mGang = GangOf(aLeader, run);
      victim.mPriority = open.mPriority;
      victim.mResources = open.mResources;
      // Stopping a member ends the whole gang.
      for (const RunId& member : victim.mGang) {
        const auto other = aLeader.mRuns.find(member);
        victim.mLoss += other == aLeader.mRuns.end()
                          ? 0
                          : PreemptionLoss(aLeader, member, other->second);
      }
      victim.mCost = victim.mLoss;
      if (aLeader.mOptions.mPolicies.mPriorityWeight) {
        victim.mCost *= std::pow(kPriorityWeight, leastUrgent - open.mPriority);
      }
      view.mVictims.push_back(std::move(victim));
    }
  }
  for (WorkerView& view : views) {
    std::sort(view.mReleases.begin(),
              view.mReleases.end(),
              [](const ExpectedRelease& aLeft, const ExpectedRelease& aRight) {
                return aLeft.mIn < aRight.mIn;
              });
  }
  return views;
}

} // namespace dogwooddrum::coordination::workloads
