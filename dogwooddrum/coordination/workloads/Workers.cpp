#include "dogwooddrum/coordination/workloads/Evacuations.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A report whose list of the target's runs is older than this renews no lease:
 * the target may be dead, and leases renewed by its agent's reports would keep
 * its tasks from starting elsewhere forever. Shorter than a lease, and longer
 * than a few lost calls take. */
constexpr std::uint64_t kMaxListAgeForGrantMs = 2000;
/** Processes of an agent whose late reports are recognized. */
constexpr std::size_t kMaxAgentProcesses = 16;

/** Returns the time after the newest grant by which the target has ended all of
 * its runs, also with the slowest clock allowed. */
base::Duration
LeaseExpiryDelay(const WorkloadSchedulerOptions& aOptions)
{
  const auto lease = static_cast<double>(aOptions.mTaskLease.count());
  return base::Duration(
           static_cast<std::int64_t>(lease * (1 + aOptions.mClockDrift))) +
         aOptions.mLeaseMargin;
}

EndProof
MakeProof(const protocol::WorkerReport& aReport, std::string aText)
{
  return {
    std::move(aText), aReport.mAgentName, aReport.mAgent, aReport.mSequence
  };
}

/** Returns the proof of an end by a missing renewal; names the last report. */
EndProof
MakeProof(const Worker& aWorker, std::string aText)
{
  return { std::move(aText),
           aWorker.mAgentName,
           aWorker.mAgentIncarnation,
           aWorker.mReportSequence };
}

std::string
FormatAge(const LeaderContext& aLeader, base::Time aTime)
{
  return std::to_string(base::ToMilliseconds(aLeader.mNow - aTime)) + " ms ago";
}

std::string
FormatGone(const TargetIncarnation* aNext)
{
  return aNext == nullptr ? "target gone: left"
                          : "target gone: replaced by " + aNext->mInstance +
                              "/" + std::to_string(aNext->mStartMs);
}

std::string
FormatListed(const protocol::EndedTask& aEnded)
{
  return aEnded.mEnd == RunEnd::NeverRan
           ? "never ran: " + aEnded.mMessage
           : "listed by the target, number " + std::to_string(aEnded.mNumber);
}

/** Proposes aEnd for all open runs of an incarnation that has ended. */
void
EndAllRuns(LeaderContext& aLeader,
           const TargetIncarnation& aTargetIncarnation,
           RunEnd aEnd,
           const EndProof& aProof)
{
  std::vector<std::pair<RunId, std::string>> ends;
  for (const auto& [run, open] : aLeader.mRuns) {
    if (open.mTarget == aTargetIncarnation && open.mCommitted &&
        !open.mEnding) {
      ends.emplace_back(run, open.mCheckpoint);
    }
  }
  for (const auto& [run, checkpoint] : ends) {
    ProposeEnd(aLeader, run, aEnd, checkpoint, aProof);
  }
}

/** Moves the open runs of an incarnation to the next incarnation of the same
 * instance, to be stopped there. An order names only the instance, so that the
 * new incarnation may have executed, or may still execute, a start that was in
 * flight; an answered stop there rules this out. */
void
StopRunsInNextIncarnation(LeaderContext& aLeader,
                          const TargetIncarnation& aPast,
                          const TargetIncarnation& aNext)
{
  for (auto& [run, open] : aLeader.mRuns) {
    if (open.mTarget == aPast && open.mCommitted && !open.mEnding) {
      open.mTarget = aNext;
      open.mStopping = true;
    }
  }
}

/** Moves the open runs of all other incarnations of the same instance to
 * aTargetIncarnation, which has answered. A new leader has these incarnations
 * only in the replicated runs. Their start times may be higher, as the clock of
 * the VM may have been set back. */
void
StopRunsOfEarlierIncarnations(LeaderContext& aLeader,
                              const TargetIncarnation& aTargetIncarnation)
{
  std::set<TargetIncarnation> earlier;
  for (const auto& [run, open] : aLeader.mRuns) {
    if (open.mTarget.mInstance == aTargetIncarnation.mInstance &&
        open.mTarget != aTargetIncarnation) {
      earlier.insert(open.mTarget);
    }
  }
  for (const TargetIncarnation& incarnation : earlier) {
    StopRunsInNextIncarnation(aLeader, incarnation, aTargetIncarnation);
  }
}

/** Removes the worker of an incarnation that has ended, and ends or moves its
 * runs. aNext: the target's present incarnation, or null if it has none. */
void
RemoveEndedWorker(LeaderContext& aLeader,
                  const TargetIncarnation& aTargetIncarnation,
                  const TargetIncarnation* aNext,
                  const protocol::WorkerReport& aReport)
{
  if (aNext != nullptr && aNext->mInstance == aTargetIncarnation.mInstance) {
    StopRunsInNextIncarnation(aLeader, aTargetIncarnation, *aNext);
  } else {
    EndAllRuns(aLeader,
               aTargetIncarnation,
               RunEnd::TargetGone,
               MakeProof(aReport, FormatGone(aNext)));
  }
  const auto it = aLeader.mWorkers.find(aTargetIncarnation);
  if (it == aLeader.mWorkers.end()) {
    return;
  }
  AddEvent(aLeader,
           WorkloadEvent::Kind::WorkerLeft,
           { { "target", aTargetIncarnation.mInstance },
             { "agent", it->second.mAgentName } });
  aLeader.mWorkers.erase(it);
  aLeader.mDecisionDue = true;
}

/** Returns a token above those of all earlier leaders and incarnations, for an
 * incarnation whose start time is unknown. */
protocol::FencingToken
NextFencingToken(LeaderContext& aLeader)
{
  constexpr unsigned kTermShift = 32;
  // Agents increment a token for each incarnation that begins; short
  // incarnations may never be reported to the leader.
  constexpr std::uint64_t kStep = 1000;
  aLeader.mFencingTokenCounter += kStep;
  return protocol::FencingToken((aLeader.mTerm.Value() << kTermShift) +
                                aLeader.mFencingTokenCounter);
}

/** Records which target the agent speaks for, so that the next leader knows
 * whose runs are over once the agent reports another target. */
void
ProposeBinding(LeaderContext& aLeader,
               const std::string& aAgentName,
               const TargetIncarnation& aTargetIncarnation)
{
  const auto& bound = aLeader.mState->BoundTargets();
  const auto it = bound.find(aAgentName);
  if (it == bound.end() || it->second != aTargetIncarnation) {
    Propose(aLeader, BindTarget{ aAgentName, aTargetIncarnation });
  }
}

/** How a report relates to the ones of the same agent before. */
enum class ReportOrder : std::uint8_t
{
  Newest,
  Outdated,
  /** Of a process that has not reported before. It may also be an ended one
   * whose report was delayed. */
  UnknownProcess,
};

/** Orders a report by its process and sequence, as reports may overtake each
 * other. A process becomes the current one with a report that shows orders of
 * this leader. It got them for an earlier report, so that the order of first
 * reports is that of the processes. */
ReportOrder
OrderReport(LeaderContext& aLeader, const protocol::WorkerReport& aReport)
{
  AgentView& agent = aLeader.mAgents[aReport.mAgentName];
  auto& processes = agent.mProcesses;
  auto it = std::find(processes.begin(), processes.end(), aReport.mAgent);
  if (it == processes.end()) {
    if (processes.size() == kMaxAgentProcesses) {
      const bool isPast = agent.mCurrent > 0;
      processes.erase(processes.begin() + (isPast ? 0 : 1));
      agent.mCurrent -= isPast ? 1 : 0;
    }
    processes.push_back(aReport.mAgent);
    it = std::prev(processes.end());
  }
  const auto index = static_cast<std::size_t>(it - processes.begin());
  if (index < agent.mCurrent ||
      (index == agent.mCurrent && aReport.mSequence <= agent.mReportSequence)) {
    return ReportOrder::Outdated;
  }
  if (index > agent.mCurrent && aReport.mOrdersTerm != aLeader.mTerm) {
    return ReportOrder::UnknownProcess;
  }
  agent.mCurrent = index;
  agent.mReportSequence = aReport.mSequence;
  return ReportOrder::Newest;
}

/** Returns whether the target of the report has a lease through the agent of
 * another VM. Its announcement has then reached the wrong agent. */
bool
IsTargetOfOtherAgent(const LeaderContext& aLeader,
                     const protocol::WorkerReport& aReport)
{
  const auto it = aLeader.mWorkers.find(aReport.mTarget->mTargetIncarnation);
  return it != aLeader.mWorkers.end() && it->second.mHasLease &&
         it->second.mAgentName != aReport.mAgentName;
}

/** Returns whether the report shows that its target is the present one of the
 * agent's VM, so that the runs of another one are over. An announcement alone
 * may be late or of another writer: the target has to have answered a call. A
 * report from before the election shows nothing about a target that an earlier
 * leader has bound, as it may have been delayed. */
bool
IsPresentTarget(const LeaderContext& aLeader,
                const protocol::WorkerReport& aReport)
{
  const AgentView& agent = aLeader.mAgents.at(aReport.mAgentName);
  const auto& incarnation = aReport.mTarget->mTargetIncarnation;
  if (agent.mTarget == incarnation) {
    return true;
  }
  return aReport.mHasRunLists &&
         (agent.mTarget.mInstance.empty() || agent.mIsReported ||
          aReport.mOrdersTerm == aLeader.mTerm);
}

/** Ends the runs of the target that the agent had before aReport, if it is
 * another one. Precondition: IsPresentTarget. */
void
ReplaceTargetOfAgent(LeaderContext& aLeader,
                     const protocol::WorkerReport& aReport)
{
  const auto& incarnation = aReport.mTarget->mTargetIncarnation;
  AgentView& agent = aLeader.mAgents[aReport.mAgentName];
  const auto previous = agent.mTarget;
  if (previous == incarnation && agent.mIsReported) {
    return;
  }
  agent.mTarget = incarnation;
  agent.mIsReported = true;
  if (previous != incarnation && !previous.mInstance.empty()) {
    RemoveEndedWorker(aLeader, previous, &incarnation, aReport);
  }
  StopRunsOfEarlierIncarnations(aLeader, incarnation);
}

/** Returns the worker of the report's target, which is added if it is new, and
 * sends its orders to the session of the report. */
Worker&
AddWorker(LeaderContext& aLeader,
          Session aSession,
          const protocol::WorkerReport& aReport)
{
  const TargetIncarnation& incarnation = aReport.mTarget->mTargetIncarnation;
  const auto [it, isNew] = aLeader.mWorkers.try_emplace(incarnation);
  Worker& worker = it->second;
  if (isNew) {
    worker.mFirstReportAt = aLeader.mNow;
    worker.mAgentName = aReport.mAgentName;
    worker.mTargetInfo = *aReport.mTarget;
    worker.mFencingToken = incarnation.mStartMs > 0
                             ? protocol::FencingTokenOf(incarnation)
                             : NextFencingToken(aLeader);
  }
  worker.mSession = aSession;
  worker.mOrdersChanged = true;
  return worker;
}

void
UpdateWorker(LeaderContext& aLeader,
             Worker& aWorker,
             const protocol::WorkerReport& aReport)
{
  if (aWorker.mTargetInfo.mLeaving != aReport.mTarget->mLeaving ||
      !(aWorker.mTargetInfo.mCapacity == aReport.mTarget->mCapacity)) {
    aLeader.mDecisionDue = true;
  }
  aWorker.mAgentIncarnation = aReport.mAgent;
  aWorker.mAgentName = aReport.mAgentName;
  aWorker.mReportSequence = aReport.mSequence;
  aWorker.mTargetInfo = *aReport.mTarget;
  aWorker.mLeavesAt.reset();
  if (aWorker.mTargetInfo.mLeaving && aWorker.mTargetInfo.mRemainingMs > 0) {
    aWorker.mLeavesAt =
      aLeader.mNow + base::Milliseconds(static_cast<std::int64_t>(
                       aWorker.mTargetInfo.mRemainingMs));
  }
}

/** Counts consecutive failures of a worker from how its runs end. */
void
RecordRunResult(LeaderContext& aLeader,
                const TargetIncarnation& aTargetIncarnation,
                Worker& aWorker,
                const RunId& aRun,
                RunEnd aEnd)
{
  if (aEnd == RunEnd::Done) {
    aWorker.mConsecutiveFailures = 0;
    aWorker.mFailedWorkloads.clear();
    return;
  }
  if (aEnd != RunEnd::Failed && aEnd != RunEnd::NeverRan) {
    return;
  }
  if (aWorker.mFailedWorkloads.size() < kFailedWorkloadsForQuarantine &&
      aWorker.mFailedWorkloads.insert(aRun.mTask.mWorkload).second &&
      aWorker.mFailedWorkloads.size() == kFailedWorkloadsForQuarantine) {
    AddEvent(aLeader,
             WorkloadEvent::Kind::TargetQuarantined,
             { { "target", aTargetIncarnation.mInstance } });
  }
  aWorker.mLastFailedRun = aLeader.mNow;
  auto& failedOn = aLeader.mFailedOn[aRun.mTask];
  // If the task failed elsewhere too, the worker is probably not the cause.
  if (failedOn.empty()) {
    ++aWorker.mConsecutiveFailures;
    aWorker.mLastFailure = aLeader.mNow;
    if (aWorker.mConsecutiveFailures == aLeader.mOptions.mSuspectAfter) {
      AddEvent(
        aLeader,
        WorkloadEvent::Kind::WorkerSuspected,
        { { "target", aTargetIncarnation.mInstance },
          { "failures", std::to_string(aWorker.mConsecutiveFailures) } });
    }
  }
  failedOn.insert(aTargetIncarnation);
}

void
ProcessEnds(LeaderContext& aLeader,
            const TargetIncarnation& aTargetIncarnation,
            Worker& aWorker,
            const protocol::WorkerReport& aReport)
{
  for (const auto& ended : aReport.mEnded) {
    const bool isNumbered = ended.mNumber != 0;
    if (isNumbered && ended.mNumber <= aWorker.mLastProposedEnd) {
      continue;
    }
    if (isNumbered) {
      aWorker.mLastProposedEnd = ended.mNumber;
    }
    const auto it = aLeader.mRuns.find(ended.mRun);
    if (it == aLeader.mRuns.end() || it->second.mTarget != aTargetIncarnation ||
        !it->second.mCommitted) {
      continue;
    }
    if (it->second.mEnding) {
      // Another end is proposed. Until it is committed, the next leader may
      // need this one.
      if (isNumbered) {
        aWorker.mPendingEnds.insert(ended.mRun);
      }
      continue;
    }
    if (!it->second.mStopping) {
      RecordRunResult(
        aLeader, aTargetIncarnation, aWorker, ended.mRun, ended.mEnd);
    }
    if (isNumbered) {
      aWorker.mPendingEnds.insert(ended.mRun);
    }
    ProposeEnd(aLeader,
               ended.mRun,
               ended.mEnd,
               ended.mCheckpoint,
               MakeProof(aReport, FormatListed(ended)));
  }
  if (aWorker.mPendingEnds.empty() &&
      aWorker.mAcknowledged != aWorker.mLastProposedEnd) {
    aWorker.mAcknowledged = aWorker.mLastProposedEnd;
  }
}

/** Counts a crash of a target against the tasks that ran there. Agents repeat
 * their reports; each leader proposes a crash once. */
void
CountCrash(LeaderContext& aLeader,
           const protocol::EndedIncarnation& aPast,
           const protocol::WorkerReport& aReport)
{
  if (aPast.mCrashedRuns.empty() ||
      !aLeader.mCountedCrashes.insert(aPast.mTargetIncarnation).second) {
    return;
  }
  AddEvent(
    aLeader,
    WorkloadEvent::Kind::TargetCrashed,
    { { "target", aPast.mTargetIncarnation.mInstance },
      { "target_start_ms", std::to_string(aPast.mTargetIncarnation.mStartMs) },
      { "agent", aReport.mAgentName },
      { "runs", std::to_string(aPast.mCrashedRuns.size()) },
      { "first", ToString(aPast.mCrashedRuns.front().mTask) } });
  Propose(aLeader,
          RecordCrash{
            aPast.mTargetIncarnation, aPast.mCrashedRuns, UnixMs(aLeader) });
}

/** Proposes the ends that a target listed before it left. Otherwise these runs
 * would count as lost with the target, and their tasks would run again. */
void
ProcessEndsOfIncarnation(LeaderContext& aLeader,
                         const protocol::EndedIncarnation& aPast,
                         const protocol::WorkerReport& aReport)
{
  for (const auto& ended : aPast.mEnded) {
    const auto it = aLeader.mRuns.find(ended.mRun);
    if (it != aLeader.mRuns.end() &&
        it->second.mTarget == aPast.mTargetIncarnation &&
        it->second.mCommitted) {
      ProposeEnd(
        aLeader,
        ended.mRun,
        ended.mEnd,
        ended.mCheckpoint,
        MakeProof(aReport, FormatListed(ended) + ", before it was gone"));
    }
  }
}

void
UpdateRunningTasks(LeaderContext& aLeader,
                   Worker& aWorker,
                   const protocol::WorkerReport& aReport)
{
  aWorker.mReportedRuns.clear();
  for (const auto& running : aReport.mRunning) {
    aWorker.mReportedRuns.emplace(running.mRun, running);
    const auto it = aLeader.mRuns.find(running.mRun);
    if (it == aLeader.mRuns.end()) {
      continue;
    }
    OpenRun& open = it->second;
    if (open.mCheckpoint != running.mCheckpoint) {
      open.mCheckpoint = running.mCheckpoint;
      open.mCheckpointedAt = aLeader.mNow;
    }
    UpdateProgress(open.mProgress, running.mPercent, aLeader.mNow);
    LearnSpeed(aLeader, aWorker, running);
    const auto whole = ProjectedRunTime(open.mProgress);
    if (whole && aLeader.mOptions.mPolicies.mLearnedRunTimes) {
      aLeader.mRunTimeEstimator.AddStepSample(running.mRun.mTask, *whole);
    }
  }
}

} // namespace

void
ProposeEnd(LeaderContext& aLeader,
           const RunId& aRun,
           RunEnd aEnd,
           const std::string& aCheckpoint,
           const EndProof& aProof)
{
  const auto it = aLeader.mRuns.find(aRun);
  if (it == aLeader.mRuns.end() || it->second.mEnding) {
    return;
  }
  it->second.mEnding = true;
  AddEvent(aLeader,
           WorkloadEvent::Kind::RunEnded,
           { { "task", ToString(aRun.mTask) },
             { "run", std::to_string(aRun.mRun.Value()) },
             { "target", it->second.mTarget.mInstance },
             { "target_start_ms", std::to_string(it->second.mTarget.mStartMs) },
             { "end", ToString(aEnd) },
             { "proof", aProof.mText },
             { "agent", aProof.mAgentName },
             { "agent_incarnation", std::to_string(aProof.mAgent.Value()) },
             { "report_sequence", std::to_string(aProof.mReportSequence) },
             { "term", std::to_string(aLeader.mTerm.Value()) },
             { "ran_ms",
               std::to_string(base::ToMilliseconds(aLeader.mNow -
                                                   it->second.mStartedAt)) } });
  Propose(aLeader, EndRun{ aRun, aEnd, aCheckpoint, UnixMs(aLeader) });
}

void
StopRun(LeaderContext& aLeader, const RunId& aRun, const char* aReason)
{
  const auto it = aLeader.mRuns.find(aRun);
  if (it == aLeader.mRuns.end() || it->second.mStopping) {
    return;
  }
  it->second.mStopping = true;
  AddEvent(aLeader,
           WorkloadEvent::Kind::RunStopped,
           { { "task", ToString(aRun.mTask) },
             { "run", std::to_string(aRun.mRun.Value()) },
             { "target", it->second.mTarget.mInstance },
             { "reason", aReason },
             { "percent", std::to_string(it->second.mProgress.mPercent) } });
  const auto worker = aLeader.mWorkers.find(it->second.mTarget);
  if (worker != aLeader.mWorkers.end()) {
    worker->second.mOrdersChanged = true;
  }
}

void
HandleReport(LeaderContext& aLeader,
             Session aSession,
             const protocol::WorkerReport& aReport)
{
  const auto order = OrderReport(aLeader, aReport);
  if (order == ReportOrder::Outdated) {
    return;
  }
  if (order == ReportOrder::UnknownProcess) {
    if (aReport.mTarget && !IsTargetOfOtherAgent(aLeader, aReport)) {
      AddWorker(aLeader, aSession, aReport); // its orders ask for a new report
    }
    return;
  }
  for (const protocol::EndedIncarnation& past : aReport.mEndedIncarnations) {
    ProcessEndsOfIncarnation(aLeader, past, aReport);
    CountCrash(aLeader, past, aReport);
    RemoveEndedWorker(aLeader,
                      past.mTargetIncarnation,
                      aReport.mTarget ? &aReport.mTarget->mTargetIncarnation
                                      : nullptr,
                      aReport);
  }
  if (!aReport.mTarget || IsTargetOfOtherAgent(aLeader, aReport)) {
    return;
  }
  const bool isPresent = IsPresentTarget(aLeader, aReport);
  if (isPresent) {
    ReplaceTargetOfAgent(aLeader, aReport);
  }
  const TargetIncarnation& incarnation = aReport.mTarget->mTargetIncarnation;
  Worker& worker = AddWorker(aLeader, aSession, aReport);
  UpdateWorker(aLeader, worker, aReport);
  if (!isPresent || !aReport.mHasRunLists) {
    return;
  }
  ProcessEnds(aLeader, incarnation, worker, aReport);
  if (aReport.mListAgeMs > kMaxListAgeForGrantMs) {
    return;
  }
  UpdateRunningTasks(aLeader, worker, aReport);
  if (!worker.mHasLease) {
    worker.mHasLease = true;
    ProposeBinding(aLeader, aReport.mAgentName, incarnation);
    AddEvent(aLeader,
             WorkloadEvent::Kind::WorkerJoined,
             { { "target", incarnation.mInstance },
               { "agent", aReport.mAgentName },
               { "pool", aReport.mTarget->mPool.Value() },
               { "rack", aReport.mTarget->mRack.Value() } });
    aLeader.mDecisionDue = true;
  }
  worker.mListedAt =
    aLeader.mNow -
    base::Milliseconds(static_cast<std::int64_t>(aReport.mListAgeMs));
  worker.mLastGrant = aLeader.mNow;
  worker.mLeaseUntilUs =
    aReport.mSentAtUs + aLeader.mOptions.mTaskLease.count();
  worker.mStartsUntilUs = StartsUntilUs(aLeader, aReport);
}

void
CheckLeases(LeaderContext& aLeader)
{
  const auto expiryDelay = LeaseExpiryDelay(aLeader.mOptions);
  for (auto& [incarnation, worker] : aLeader.mWorkers) {
    if (worker.mHasLease && aLeader.mNow - worker.mLastGrant >= expiryDelay) {
      worker.mHasLease = false;
      AddEvent(aLeader,
               WorkloadEvent::Kind::WorkerLost,
               { { "target", incarnation.mInstance },
                 { "agent", worker.mAgentName } });
      EndAllRuns(aLeader,
                 incarnation,
                 RunEnd::Lapsed,
                 MakeProof(worker,
                           "lease expired: last granted " +
                             FormatAge(aLeader, worker.mLastGrant)));
      worker.mReportedRuns.clear(); // no run outlasts its lease
      aLeader.mDecisionDue = true;
    }
  }
  // Ends runs on targets without a lease from this leader. A lease from an
  // earlier leader may last until LeaseExpiryDelay after the election.
  if (aLeader.mNow - aLeader.mLeadingSince < expiryDelay) {
    return;
  }
  std::set<TargetIncarnation> unleased;
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto worker = aLeader.mWorkers.find(open.mTarget);
    const bool isLeased =
      worker != aLeader.mWorkers.end() &&
      (worker->second.mHasLease ||
       aLeader.mNow - worker->second.mFirstReportAt < expiryDelay);
    if (open.mCommitted && !open.mEnding && !isLeased) {
      unleased.insert(open.mTarget);
    }
  }
  for (const TargetIncarnation& incarnation : unleased) {
    const auto worker = aLeader.mWorkers.find(incarnation);
    const std::string text = "lease expired: none granted since the election " +
                             FormatAge(aLeader, aLeader.mLeadingSince);
    EndAllRuns(aLeader,
               incarnation,
               RunEnd::Lapsed,
               worker == aLeader.mWorkers.end()
                 ? EndProof{ text, "", base::Incarnation(), 0 }
                 : MakeProof(worker->second, text));
  }
}

} // namespace dogwooddrum::coordination::workloads
