#include "dogwooddrum/coordination/workloads/Evacuations.h"
#include "dogwooddrum/protocol/Limits.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Bytes of payloads and checkpoints of the starts in one message. */
constexpr std::size_t kMaxStartBytes = protocol::kMaxFrameBytes / 2;

/** Adds the starts that the target has not listed yet, the oldest first, as far
 * as they fit into a message; the next orders have the others. A link drops a
 * message that is too large, with the lease and the stops. */
void
AddStarts(const LeaderContext& aLeader,
          std::vector<std::pair<base::Time, RunId>> aRuns,
          protocol::WorkerOrders& aOrders)
{
  std::sort(aRuns.begin(), aRuns.end());
  std::size_t bytes = 0;
  for (const auto& [startedAt, run] : aRuns) {
    const auto* workload = aLeader.mState->Find(run.mTask.mWorkload);
    const auto* task = aLeader.mState->Find(run.mTask);
    if (workload == nullptr || task == nullptr) {
      continue;
    }
    bytes += workload->mSpec.mPayload.size() + task->mCheckpoint.size();
    if (bytes > kMaxStartBytes && !aOrders.mStarts.empty()) {
      return;
    }
    aOrders.mStarts.push_back(
      { run, workload->mSpec.mPayload, task->mCheckpoint });
  }
}

protocol::WorkerOrders
MakeOrders(LeaderContext& aLeader,
           const TargetIncarnation& aTargetIncarnation,
           const Worker& aWorker)
{
  protocol::WorkerOrders orders;
  orders.mTerm = aLeader.mTerm;
  orders.mFencingToken = aWorker.mFencingToken;
  orders.mSequence = ++aLeader.mOrderSequence;
  orders.mTargetIncarnation = aTargetIncarnation;
  orders.mLeaseUntilUs = aWorker.mLeaseUntilUs;
  orders.mStartsUntilUs = aWorker.mStartsUntilUs;
  orders.mAcknowledged = aWorker.mAcknowledged;
  orders.mMembers = aLeader.mMembers;
  const bool mayStart = !IsEvacuated(aLeader, aWorker.mTargetInfo.mZone);
  std::vector<std::pair<base::Time, RunId>> starts;
  for (const auto& [run, open] : aLeader.mRuns) {
    if (open.mTarget != aTargetIncarnation || !open.mCommitted ||
        open.mEnding) {
      continue;
    }
    if (open.mStopping) {
      orders.mStops.push_back(run);
      continue;
    }
    if (mayStart && aWorker.mReportedRuns.count(run) == 0) {
      starts.emplace_back(open.mStartedAt, run);
    }
  }
  AddStarts(aLeader, std::move(starts), orders);
  for (const auto& [run, running] : aWorker.mReportedRuns) {
    const auto it = aLeader.mRuns.find(run);
    if (it == aLeader.mRuns.end() || it->second.mTarget != aTargetIncarnation) {
      orders.mStops.push_back(run);
    }
  }
  return orders;
}

} // namespace

void
SendOrders(LeaderContext& aLeader)
{
  for (auto& [incarnation, worker] : aLeader.mWorkers) {
    if (!worker.mOrdersChanged || worker.mSession == Session()) {
      continue;
    }
    worker.mOrdersChanged = false;
    WorkloadSchedulerMessage message;
    message.mSession = worker.mSession;
    message.mBody = MakeOrders(aLeader, incarnation, worker);
    aLeader.mOutput.mMessages.push_back(std::move(message));
  }
}

} // namespace dogwooddrum::coordination::workloads
