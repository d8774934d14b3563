#include "dogwooddrum/coordination/workloads/Leading.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** An agent that has not had a list of its target for longer than this gets no
 * new lease: its target may be dead, and a lease that is renewed on its behalf
 * would keep its runs from starting elsewhere for good. Shorter than a lease,
 * and longer than a few lost calls. */
constexpr std::uint64_t kGrantListAgeMs = 2000;

/** Time after the newest grant at which the target has ended everything. */
base::Duration
LeaseBound(const SchedulerOptions& aOptions)
{
  const auto lease = static_cast<double>(aOptions.mTaskLease.count());
  return base::Duration(
           static_cast<std::int64_t>(lease * (1 + aOptions.mClockDrift))) +
         aOptions.mLeaseMargin;
}

/** Ends all open runs of a life that is over. */
void
EndAllRuns(Leading& aLeading, const TargetLife& aLife, RunEnd aEnd)
{
  std::vector<std::pair<RunId, std::string>> ends;
  for (const auto& [run, open] : aLeading.mRuns) {
    if (open.mTarget == aLife && open.mCommitted && !open.mEnding) {
      ends.emplace_back(run, open.mCheckpoint);
    }
  }
  for (const auto& [run, checkpoint] : ends) {
    ProposeEnd(aLeading, run, aEnd, checkpoint);
  }
}

/** Moves the open runs of a life to the next life under the same id, to be
 * stopped there. An order names the id only, so that a start which was under
 * way may have been, or may still be, carried out by the new life; an answered
 * stop there rules it out. */
void
StopRunsInNextLife(Leading& aLeading,
                   const TargetLife& aPast,
                   const TargetLife& aNext)
{
  for (auto& [run, open] : aLeading.mRuns) {
    if (open.mTarget == aPast && open.mCommitted && !open.mEnding) {
      open.mTarget = aNext;
      open.mStopping = true;
    }
  }
}

/** Moves the open runs of all earlier lives under the id of aLife to it. A new
 * leader knows these lives from the replicated runs only. */
void
StopRunsOfEarlierLives(Leading& aLeading, const TargetLife& aLife)
{
  std::set<TargetLife> earlier;
  for (const auto& [run, open] : aLeading.mRuns) {
    if (open.mTarget.mInstance == aLife.mInstance &&
        open.mTarget.mBornMs < aLife.mBornMs) {
      earlier.insert(open.mTarget);
    }
  }
  for (const TargetLife& life : earlier) {
    StopRunsInNextLife(aLeading, life, aLife);
  }
}

/** aNext: the target's present life, or null if it has none. */
void
RemoveLife(Leading& aLeading, const TargetLife& aLife, const TargetLife* aNext)
{
  if (aNext != nullptr && aNext->mInstance == aLife.mInstance) {
    StopRunsInNextLife(aLeading, aLife, *aNext);
  } else {
    EndAllRuns(aLeading, aLife, RunEnd::TargetGone);
  }
  const auto it = aLeading.mWorkers.find(aLife);
  if (it == aLeading.mWorkers.end()) {
    return;
  }
  Tell(aLeading,
       Note::Kind::WorkerLeft,
       { { "target", aLife.mInstance }, { "agent", it->second.mAgentName } });
  aLeading.mWorkers.erase(it);
  aLeading.mDecide = true;
}

/** Returns a token above all that earlier leaders and earlier lives had, for a
 * life whose start is not known. */
protocol::FencingToken
NextFence(Leading& aLeading)
{
  constexpr unsigned kTermShift = 32;
  // Agents raise a token by one for each life that begins; the leader may miss
  // lives that follow each other quickly.
  constexpr std::uint64_t kStep = 1000;
  aLeading.mLives += kStep;
  return protocol::FencingToken((aLeading.mTerm.Value() << kTermShift) +
                                aLeading.mLives);
}

/** Returns the worker of the report, or null if the report is an old one. */
Worker*
FindReporter(Leading& aLeading,
             Session aSession,
             const protocol::WorkerReport& aReport)
{
  const TargetLife& life = aReport.mTarget->mLife;
  auto& known = aLeading.mByAgent[aReport.mAgentName];
  if (known != life && !known.mInstance.empty()) {
    if (life.mBornMs < known.mBornMs) {
      return nullptr;
    }
    RemoveLife(aLeading, known, &life);
  }
  known = life;
  const auto [it, isNew] = aLeading.mWorkers.try_emplace(life);
  Worker& worker = it->second;
  if (isNew) {
    worker.mHeardSince = aLeading.mNow;
    worker.mFence =
      life.mBornMs > 0 ? protocol::FenceOf(life) : NextFence(aLeading);
    StopRunsOfEarlierLives(aLeading, life);
  }
  if (worker.mAgent == aReport.mAgent &&
      aReport.mSequence <= worker.mReportSequence) {
    return nullptr;
  }
  if (worker.mFacts.mLeaving != aReport.mTarget->mLeaving) {
    aLeading.mDecide = true;
  }
  worker.mAgent = aReport.mAgent;
  worker.mAgentName = aReport.mAgentName;
  worker.mReportSequence = aReport.mSequence;
  worker.mSession = aSession;
  worker.mFacts = *aReport.mTarget;
  worker.mLeavesAt.reset();
  if (worker.mFacts.mLeaving && worker.mFacts.mRemainingMs > 0) {
    worker.mLeavesAt =
      aLeading.mNow +
      base::Milliseconds(static_cast<std::int64_t>(worker.mFacts.mRemainingMs));
  }
  return &worker;
}

/** Judges a worker by how its runs end. */
void
CountResult(Leading& aLeading,
            const TargetLife& aLife,
            Worker& aWorker,
            const RunId& aRun,
            RunEnd aEnd)
{
  if (aEnd == RunEnd::Done) {
    aWorker.mFailuresInARow = 0;
    return;
  }
  if (aEnd != RunEnd::Failed && aEnd != RunEnd::NeverRan) {
    return;
  }
  auto& failedOn = aLeading.mFailedOn[aRun.mTask];
  // A task that failed elsewhere too says little about this worker.
  if (failedOn.empty()) {
    ++aWorker.mFailuresInARow;
    aWorker.mLastFailure = aLeading.mNow;
    if (aWorker.mFailuresInARow == aLeading.mOptions.mSuspectAfter) {
      Tell(aLeading,
           Note::Kind::WorkerSuspected,
           { { "target", aLife.mInstance },
             { "failures", std::to_string(aWorker.mFailuresInARow) } });
    }
  }
  failedOn.insert(aLife);
}

void
TakeEnds(Leading& aLeading,
         const TargetLife& aLife,
         Worker& aWorker,
         const protocol::WorkerReport& aReport)
{
  for (const auto& ended : aReport.mEnded) {
    const bool numbered = ended.mNumber != 0;
    if (numbered && ended.mNumber <= aWorker.mProposedEnds) {
      continue;
    }
    if (numbered) {
      aWorker.mProposedEnds = ended.mNumber;
    }
    const auto it = aLeading.mRuns.find(ended.mRun);
    if (it == aLeading.mRuns.end() || it->second.mTarget != aLife ||
        !it->second.mCommitted || it->second.mEnding) {
      continue;
    }
    if (!it->second.mStopping) {
      CountResult(aLeading, aLife, aWorker, ended.mRun, ended.mEnd);
    }
    if (numbered) {
      aWorker.mPendingEnds.insert(ended.mRun);
    }
    ProposeEnd(aLeading, ended.mRun, ended.mEnd, ended.mCheckpoint);
  }
  if (aWorker.mPendingEnds.empty() &&
      aWorker.mAcknowledged != aWorker.mProposedEnds) {
    aWorker.mAcknowledged = aWorker.mProposedEnds;
  }
}

/** A run that a target listed as ended before it left did end so: it must
 * not count as lost with the target and be run again. */
void
TakeLastEnds(Leading& aLeading, const protocol::PastLife& aPast)
{
  for (const auto& ended : aPast.mEnded) {
    const auto it = aLeading.mRuns.find(ended.mRun);
    if (it != aLeading.mRuns.end() && it->second.mTarget == aPast.mLife &&
        it->second.mCommitted) {
      ProposeEnd(aLeading, ended.mRun, ended.mEnd, ended.mCheckpoint);
    }
  }
}

void
TakeRunning(Leading& aLeading,
            Worker& aWorker,
            const protocol::WorkerReport& aReport)
{
  aWorker.mReported.clear();
  for (const auto& running : aReport.mRunning) {
    aWorker.mReported.emplace(running.mRun, running);
    const auto it = aLeading.mRuns.find(running.mRun);
    if (it == aLeading.mRuns.end()) {
      continue;
    }
    OpenRun& open = it->second;
    if (open.mCheckpoint != running.mCheckpoint) {
      open.mCheckpoint = running.mCheckpoint;
      open.mSavedAt = aLeading.mNow;
    }
    Observe(open.mProgress, running.mPercent, aLeading.mNow);
    if (const auto whole = WholeTime(open.mProgress)) {
      aLeading.mRunTimes.AddStep(running.mRun.mTask, *whole);
    }
  }
}

protocol::WorkerOrders
MakeOrders(Leading& aLeading, const TargetLife& aLife, const Worker& aWorker)
{
  protocol::WorkerOrders orders;
  orders.mTerm = aLeading.mTerm;
  orders.mFence = aWorker.mFence;
  orders.mSequence = ++aLeading.mOrderSequence;
  orders.mLife = aLife;
  orders.mLeaseUntilUs = aWorker.mLeaseUntilUs;
  orders.mAcknowledged = aWorker.mAcknowledged;
  orders.mMembers = aLeading.mMembers;
  for (const auto& [run, open] : aLeading.mRuns) {
    if (open.mTarget != aLife || !open.mCommitted || open.mEnding) {
      continue;
    }
    if (open.mStopping) {
      orders.mStops.push_back(run);
      continue;
    }
    const auto* workload = aLeading.mState->Find(run.mTask.mWorkload);
    const auto* task = aLeading.mState->Find(run.mTask);
    if (aWorker.mReported.count(run) == 0 && workload != nullptr &&
        task != nullptr) {
      orders.mStarts.push_back(
        { run, workload->mSpec.mPayload, task->mCheckpoint });
    }
  }
  for (const auto& [run, running] : aWorker.mReported) {
    const auto it = aLeading.mRuns.find(run);
    if (it == aLeading.mRuns.end() || it->second.mTarget != aLife) {
      orders.mStops.push_back(run);
    }
  }
  return orders;
}

} // namespace

void
ProposeEnd(Leading& aLeading,
           const RunId& aRun,
           RunEnd aEnd,
           const std::string& aCheckpoint)
{
  const auto it = aLeading.mRuns.find(aRun);
  if (it == aLeading.mRuns.end() || it->second.mEnding) {
    return;
  }
  it->second.mEnding = true;
  Tell(aLeading,
       Note::Kind::RunEnded,
       { { "task", ToString(aRun.mTask) },
         { "run", std::to_string(aRun.mRun.Value()) },
         { "target", it->second.mTarget.mInstance },
         { "end", ToString(aEnd) },
         { "ran_ms",
           std::to_string(
             base::ToMilliseconds(aLeading.mNow - it->second.mStartedAt)) } });
  Propose(aLeading, EndRun{ aRun, aEnd, aCheckpoint, UnixMs(aLeading) });
}

void
StopRun(Leading& aLeading, const RunId& aRun, const char* aWhy)
{
  const auto it = aLeading.mRuns.find(aRun);
  if (it == aLeading.mRuns.end() || it->second.mStopping) {
    return;
  }
  it->second.mStopping = true;
  Tell(aLeading,
       Note::Kind::RunStopped,
       { { "task", ToString(aRun.mTask) },
         { "run", std::to_string(aRun.mRun.Value()) },
         { "target", it->second.mTarget.mInstance },
         { "reason", aWhy } });
  const auto worker = aLeading.mWorkers.find(it->second.mTarget);
  if (worker != aLeading.mWorkers.end()) {
    worker->second.mDirty = true;
  }
}

void
HandleReport(Leading& aLeading,
             Session aSession,
             const protocol::WorkerReport& aReport)
{
  for (const protocol::PastLife& past : aReport.mPastLives) {
    TakeLastEnds(aLeading, past);
    RemoveLife(aLeading,
               past.mLife,
               aReport.mTarget ? &aReport.mTarget->mLife : nullptr);
  }
  if (!aReport.mTarget) {
    return;
  }
  Worker* worker = FindReporter(aLeading, aSession, aReport);
  if (worker == nullptr) {
    return;
  }
  const TargetLife& life = aReport.mTarget->mLife;
  if (aReport.mListed) {
    TakeEnds(aLeading, life, *worker, aReport);
  }
  worker->mDirty = true;
  if (!aReport.mListed || aReport.mListedAgoMs > kGrantListAgeMs) {
    return;
  }
  TakeRunning(aLeading, *worker, aReport);
  if (!worker->mUp) {
    worker->mUp = true;
    Tell(aLeading,
         Note::Kind::WorkerJoined,
         { { "target", life.mInstance },
           { "agent", aReport.mAgentName },
           { "pool", aReport.mTarget->mPool.Value() },
           { "rack", aReport.mTarget->mRack.Value() } });
    aLeading.mDecide = true;
  }
  worker->mListedAt =
    aLeading.mNow -
    base::Milliseconds(static_cast<std::int64_t>(aReport.mListedAgoMs));
  worker->mLastGrant = aLeading.mNow;
  worker->mLeaseUntilUs =
    aReport.mSentAtUs + aLeading.mOptions.mTaskLease.count();
}

void
CheckLeases(Leading& aLeading)
{
  const auto bound = LeaseBound(aLeading.mOptions);
  for (auto& [life, worker] : aLeading.mWorkers) {
    if (worker.mUp && aLeading.mNow - worker.mLastGrant >= bound) {
      worker.mUp = false;
      Tell(aLeading,
           Note::Kind::WorkerLost,
           { { "target", life.mInstance }, { "agent", worker.mAgentName } });
      EndAllRuns(aLeading, life, RunEnd::Lapsed);
      worker.mReported.clear(); // nothing outlasts its lease
      aLeading.mDecide = true;
    }
  }
  // Runs on targets that have had no lease of this leader.
  if (aLeading.mNow - aLeading.mLeadingSince < bound) {
    return;
  }
  std::set<TargetLife> unheard;
  for (const auto& [run, open] : aLeading.mRuns) {
    const auto worker = aLeading.mWorkers.find(open.mTarget);
    const bool leased = worker != aLeading.mWorkers.end() &&
                        (worker->second.mUp ||
                         aLeading.mNow - worker->second.mHeardSince < bound);
    if (open.mCommitted && !open.mEnding && !leased) {
      unheard.insert(open.mTarget);
    }
  }
  for (const TargetLife& life : unheard) {
    EndAllRuns(aLeading, life, RunEnd::Lapsed);
  }
}

void
SendOrders(Leading& aLeading)
{
  for (auto& [life, worker] : aLeading.mWorkers) {
    if (!worker.mDirty || worker.mSession == Session()) {
      continue;
    }
    worker.mDirty = false;
    SchedulerMessage message;
    message.mSession = worker.mSession;
    message.mBody = MakeOrders(aLeading, life, worker);
    aLeading.mOutput.mMessages.push_back(std::move(message));
  }
}

} // namespace dogwooddrum::coordination::workloads
