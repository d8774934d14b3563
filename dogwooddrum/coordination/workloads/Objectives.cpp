#include "dogwooddrum/coordination/workloads/Objectives.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Returns the sum of estimates along the longest chain of dependent steps, in
 * ms. */
std::int64_t
CriticalPathMs(const protocol::WorkloadSpec& aSpec)
{
  std::vector<std::int64_t> ends;
  std::int64_t longest = 0;
  for (const WorkloadStep& step : aSpec.mSteps) {
    std::int64_t begin = 0;
    for (const std::uint32_t earlier : step.mDependsOn) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + static_cast<std::int64_t>(step.mEstimateMs));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

/** Returns the accelerators that the largest step of a workload uses. */
std::uint64_t
PeakAccelerators(const protocol::WorkloadSpec& aSpec)
{
  std::uint64_t need = 0;
  for (const WorkloadStep& step : aSpec.mSteps) {
    need = std::max(need, step.mCount * step.mTaskResources.mAccelerators);
  }
  return need;
}

} // namespace

const protocol::Queue*
QueueOf(const LeaderContext& aLeader, const WorkloadRecord& aWorkload)
{
  return aLeader.mState->FindQueue(aWorkload.mQueue);
}

std::uint32_t
PriorityOf(const LeaderContext& aLeader, const QueueKey& aQueue)
{
  const auto* queue = aLeader.mState->FindQueue(aQueue);
  return queue == nullptr ? 0 : queue->mPriority;
}

std::int64_t
AllowedTimeMs(const protocol::WorkloadSpec& aSpec,
              const protocol::Queue& aQueue)
{
  return static_cast<std::int64_t>(aQueue.mTargetRunTimeMs) +
         CriticalPathMs(aSpec) * aQueue.mSlackPermille / 1000;
}

std::int64_t
DueAtMs(const WorkloadRecord& aWorkload,
        const protocol::Queue& aQueue,
        const OccurrenceRecord& aOccurrence)
{
  const auto& spec = aWorkload.mSpec;
  const std::int64_t begin =
    spec.mRepeatCount == 0
      ? aWorkload.mAcceptedMs
      : spec.mFirstMs + spec.mIntervalMs * aOccurrence.mNumber;
  return begin + AllowedTimeMs(spec, aQueue);
}

Guarantees
FindGuarantees(const LeaderContext& aLeader)
{
  std::vector<std::pair<std::int64_t, WorkloadId>> urgent;
  for (const WorkloadId& id : aLeader.mState->Active()) {
    const auto* workload = aLeader.mState->Find(id);
    const auto* queue =
      workload == nullptr ? nullptr : QueueOf(aLeader, *workload);
    if (queue != nullptr && queue->mPriority == 0 && !HasEnded(*workload)) {
      urgent.emplace_back(workload->mAcceptedMs, id);
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<base::AccountId, std::uint64_t> used;
  Guarantees guarantees;
  for (const auto& [accepted, id] : urgent) {
    const auto* workload = aLeader.mState->Find(id);
    const auto* account =
      FindCatalogAccount(aLeader.mState->CurrentCatalog(), workload->mAccount);
    const std::uint64_t need = PeakAccelerators(workload->mSpec);
    auto& sum = used[workload->mAccount];
    if (account != nullptr && sum + need <= account->mGuaranteedAccelerators) {
      sum += need;
      guarantees.mCovered.insert(id);
    } else {
      guarantees.mExceeded.insert(workload->mAccount);
    }
  }
  return guarantees;
}

} // namespace dogwooddrum::coordination::workloads
