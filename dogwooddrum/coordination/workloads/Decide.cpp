#include "dogwooddrum/coordination/workloads/Decision.h"
#include "dogwooddrum/coordination/workloads/Evacuations.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"

#include <algorithm>
#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Placement also depends on time: the wait for locality, suspect workers and
 * due occurrences. */
constexpr base::Duration kDecisionInterval = base::Milliseconds(250);

void
BeginOccurrences(LeaderContext& aLeader)
{
  for (const WorkloadId& id : aLeader.mState->Active()) {
    const auto* workload = aLeader.mState->Find(id);
    if (workload == nullptr || HasEnded(*workload) ||
        workload->mNextOccurrence >= workload->mSpec.mRepeatCount ||
        aLeader.mOccurrenceProposed.count(id) > 0) {
      continue;
    }
    const auto& spec = workload->mSpec;
    const std::int64_t due =
      spec.mFirstMs + spec.mIntervalMs * workload->mNextOccurrence;
    if (UnixMs(aLeader) >= due) {
      aLeader.mOccurrenceProposed.insert(id);
      Propose(aLeader, BeginOccurrence{ id, workload->mNextOccurrence });
    } else {
      aLeader.mNextDecision =
        std::min(aLeader.mNextDecision,
                 aLeader.mNow + base::Milliseconds(due - UnixMs(aLeader)));
    }
  }
}

} // namespace

void
RecordUrgentDemand(LeaderContext& aLeader, const WorkloadId& aId)
{
  const auto* workload = aLeader.mState->Find(aId);
  const auto* queue =
    workload == nullptr ? nullptr : QueueOf(aLeader, *workload);
  if (queue == nullptr || queue->mPriority > 0) {
    return;
  }
  ResourceVector need;
  const WorkloadStep& first = workload->mSpec.mSteps.front();
  for (std::uint32_t i = 0; i < first.mCount; ++i) {
    need = need + ResourcesOf(first);
  }
  aLeader.mUrgentDemand[queue->mPool].Add(need, aLeader.mNow);
}

void
Decide(LeaderContext& aLeader)
{
  aLeader.mDecisionDue = false;
  aLeader.mNextDecision = aLeader.mNow + kDecisionInterval;
  BeginOccurrences(aLeader);
  StopRunsOnLeavingTargets(aLeader);
  StopUnstartedRunsInEvacuatedZones(aLeader);
  StopStalledRuns(aLeader);
  aLeader.mQueueHeads.Begin(aLeader.mNow);
  Decision(aLeader).Run();
  for (WorkloadEvent& event : aLeader.mQueueHeads.Finish()) {
    aLeader.mOutput.mWorkloadEvents.push_back(std::move(event));
  }
}

} // namespace dogwooddrum::coordination::workloads
