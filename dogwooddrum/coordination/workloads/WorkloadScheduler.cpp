#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"

#include "dogwooddrum/coordination/workloads/Evacuations.h"
#include "dogwooddrum/coordination/workloads/ObservationPublisher.h"

#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Catalogs that are kept as bases for deltas. Entries poll several times a
 * second and are rarely further behind. */
constexpr std::size_t kMaxCatalogs = 12;
constexpr base::Duration kPurgeInterval = base::Milliseconds(10000);

/** Calls aVisit with the id and record of each task of the workload. */
template<typename F>
void
ForEachTask(const WorkloadId& aId,
            const WorkloadRecord& aWorkload,
            const F& aVisit)
{
  for (const OccurrenceRecord& occurrence : aWorkload.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        aVisit(TaskId{ aId, occurrence.mNumber, s, i }, tasks[i]);
      }
    }
  }
}

/** Stops the open runs of a workload if it has ended. */
void
StopRunsOfEndedWorkload(LeaderContext& aLeader, const WorkloadId& aId)
{
  const WorkloadRecord* workload = aLeader.mState->Find(aId);
  if (workload == nullptr || !HasEnded(*workload)) {
    return;
  }
  const RunId first{ TaskId{ aId, 0, 0, 0 }, RunNumber(0) };
  for (auto it = aLeader.mRuns.lower_bound(first);
       it != aLeader.mRuns.end() && it->first.mTask.mWorkload == aId;
       ++it) {
    // A run whose end was applied in the same batch is not open any more.
    const TaskRecord* task = aLeader.mState->Find(it->first.mTask);
    if (task != nullptr && task->mPhase == TaskPhase::Running) {
      StopRun(aLeader, it->first, ToString(workload->mPhase));
    }
  }
}

void
PurgeExpiredWorkloads(LeaderContext& aLeader)
{
  const std::int64_t before =
    UnixMs(aLeader) - base::ToMilliseconds(aLeader.mOptions.mRetention);
  for (const auto& [id, workload] : aLeader.mState->Workloads()) {
    if (HasEnded(workload) && workload.mEndedMs < before) {
      Propose(aLeader, PurgeEnded{ before });
      return;
    }
  }
}

/** Removes the bindings of agents that have not reported for as long as ended
 * workloads are kept, and whose targets have no open run. */
void
PurgeUnusedBindings(LeaderContext& aLeader)
{
  if (aLeader.mNow - aLeader.mLeadingSince < aLeader.mOptions.mRetention) {
    return;
  }
  std::set<TargetIncarnation> used;
  for (const auto& [run, open] : aLeader.mRuns) {
    used.insert(open.mTarget);
  }
  for (const auto& [incarnation, worker] : aLeader.mWorkers) {
    if (aLeader.mNow - worker.mListedAt < aLeader.mOptions.mRetention) {
      used.insert(incarnation);
    }
  }
  for (const auto& [agent, target] : aLeader.mState->BoundTargets()) {
    if (used.count(target) == 0) {
      Propose(aLeader, BindTarget{ agent, {} });
    }
  }
}

void
PurgeExpiredState(LeaderContext& aLeader)
{
  if (aLeader.mNow < aLeader.mNextPurge) {
    return;
  }
  aLeader.mNextPurge = aLeader.mNow + kPurgeInterval;
  PurgeExpiredWorkloads(aLeader);
  PurgeUnusedBindings(aLeader);
}

void
StoreCatalogForDeltas(LeaderContext& aLeader)
{
  const Catalog& current = aLeader.mState->CurrentCatalog();
  Catalog& copy = aLeader.mCatalogs[current.mVersion];
  copy = current;
  copy.mSource.clear();
  if (aLeader.mCatalogs.size() > kMaxCatalogs) {
    aLeader.mCatalogs.erase(aLeader.mCatalogs.begin());
  }
}

/** Returns the number of queues that the catalog does not have and that have
 * unfinished workloads. */
std::size_t
CountRemovedQueues(const LeaderContext& aLeader)
{
  std::set<QueueKey> removed;
  for (const WorkloadId& id : aLeader.mState->Active()) {
    const WorkloadRecord* workload = aLeader.mState->Find(id);
    if (workload != nullptr &&
        !aLeader.mState->Queues().IsInCatalog(workload->mQueue)) {
      removed.insert(workload->mQueue);
    }
  }
  return removed.size();
}

/** Updates the leader's state after a committed change. */
struct AppliedVisitor
{
  LeaderContext& mLeader;

  void operator()(const Accept& aChange) const
  {
    RecordUrgentDemand(mLeader, aChange.mRequest.mId);
    mLeader.mDecisionDue = true;
  }
  void operator()(const Cancel& aChange) const
  {
    StopRunsOfEndedWorkload(mLeader, aChange.mWorkload);
    mLeader.mDecisionDue = true;
  }
  void operator()(const BeginOccurrence& aChange) const
  {
    mLeader.mOccurrenceProposed.erase(aChange.mWorkload);
    mLeader.mDecisionDue = true;
  }
  void operator()(const StartRuns& aChange) const
  {
    for (const auto& start : aChange.mStarts) {
      const TaskRecord* task = mLeader.mState->Find(start.mRun.mTask);
      if (task != nullptr && task->mPhase == TaskPhase::Running &&
          task->mRun == start.mRun.mRun) {
        AddOpenRun(mLeader, start.mRun, *task);
      } else {
        mLeader.mRuns.erase(start.mRun);
        mLeader.mDecisionDue = true;
      }
    }
  }
  void operator()(const EndRun& aChange) const
  {
    const auto& id = aChange.mRun.mTask.mWorkload;
    const auto it = mLeader.mRuns.find(aChange.mRun);
    if (it != mLeader.mRuns.end()) {
      LearnRunTime(mLeader, aChange, it->second);
      const auto worker = mLeader.mWorkers.find(it->second.mTarget);
      if (worker != mLeader.mWorkers.end()) {
        Worker& reporting = worker->second;
        reporting.mPendingEnds.erase(aChange.mRun);
        if (reporting.mPendingEnds.empty()) {
          reporting.mAcknowledged = reporting.mLastProposedEnd;
        }
        reporting.mOrdersChanged = true;
      }
      mLeader.mRuns.erase(it);
    }
    OnWorkloadChanged(id);
    mLeader.mDecisionDue = true;
  }
  /** Logs the end of a workload, and stops its remaining runs. */
  void OnWorkloadChanged(const WorkloadId& aId) const
  {
    const WorkloadRecord* workload = mLeader.mState->Find(aId);
    if (workload == nullptr || !HasEnded(*workload)) {
      return;
    }
    if (mLeader.mState->Active().count(aId) == 0) {
      mLeader.mRunTimeEstimator.RemoveWorkload(aId);
      AddEvent(mLeader,
               WorkloadEvent::Kind::WorkloadEnded,
               { { "workload", aId.Value() },
                 { "phase", ToString(workload->mPhase) },
                 { "age_ms",
                   std::to_string(workload->mEndedMs - workload->mAcceptedMs) },
                 { "reason", workload->mFailure } });
    }
    StopRunsOfEndedWorkload(mLeader, aId);
  }
  void operator()(const PurgeEnded&) const {}
  void operator()(const BindTarget&) const {}
  void operator()(const RecordEvacuation& aChange) const
  {
    OnEvacuationApplied(mLeader, aChange);
  }
  void operator()(const RecordObservations&) const {}
  void operator()(const RecordCrash& aChange) const
  {
    std::set<WorkloadId> affected;
    for (const RunId& run : aChange.mRuns) {
      // The end of an open run, which follows, ends the workload.
      if (mLeader.mRuns.count(run) == 0) {
        affected.insert(run.mTask.mWorkload);
      }
    }
    for (const WorkloadId& id : affected) {
      OnWorkloadChanged(id);
    }
    mLeader.mDecisionDue = true;
  }
  void operator()(const AdoptCatalog& aChange) const
  {
    StoreCatalogForDeltas(mLeader);
    AddEvent(
      mLeader,
      WorkloadEvent::Kind::CatalogAdopted,
      { { "version", std::to_string(aChange.mCatalog.mVersion.Value()) },
        { "removed_queues", std::to_string(CountRemovedQueues(mLeader)) } });
    mLeader.mDecisionDue = true;
  }
};

} // namespace

struct WorkloadScheduler::Impl : public LeaderContext
{
  using LeaderContext::LeaderContext;
};

WorkloadScheduler::WorkloadScheduler(const WorkloadSchedulerOptions& aOptions,
                                     const State& aState)
  : mImpl(std::make_unique<Impl>(aOptions, aState))
{
}
WorkloadScheduler::~WorkloadScheduler() = default;
WorkloadScheduler::WorkloadScheduler(WorkloadScheduler&&) noexcept = default;
WorkloadScheduler&
WorkloadScheduler::operator=(WorkloadScheduler&&) noexcept = default;

void
WorkloadScheduler::SetMembers(std::vector<std::string> aAddresses)
{
  mImpl->mMembers = std::move(aAddresses);
}

void
WorkloadScheduler::SetUnixOffset(std::int64_t aOffsetMs)
{
  mImpl->mUnixOffsetMs = aOffsetMs;
}

void
WorkloadScheduler::BecomeLeader(base::Term aTerm, base::Time aNow)
{
  LeaderContext next(mImpl->mOptions, *mImpl->mState);
  next.mUnixOffsetMs = mImpl->mUnixOffsetMs;
  next.mMembers = mImpl->mMembers;
  LeaderContext& leader = *mImpl;
  leader = std::move(next);
  leader.mIsLeader = true;
  leader.mDecisionDue = true;
  leader.mTerm = aTerm;
  leader.mNow = aNow;
  leader.mLeadingSince = aNow;
  leader.mNextPurge = aNow + kPurgeInterval;
  if (leader.mOptions.mPolicies.mTargetBindings) {
    for (const auto& [agent, target] : leader.mState->BoundTargets()) {
      leader.mAgents[agent].mTarget = target;
    }
  }
  AdoptObservations(leader);
  StoreCatalogForDeltas(leader);
  for (const WorkloadId& id : leader.mState->Active()) {
    const WorkloadRecord* workload = leader.mState->Find(id);
    if (workload == nullptr) {
      continue;
    }
    ForEachTask(id, *workload, [&](const TaskId& aTask, const auto& aRecord) {
      if (aRecord.mPhase == TaskPhase::Running) {
        AddOpenRun(leader, RunId{ aTask, aRecord.mRun }, aRecord);
      }
    });
    StopRunsOfEndedWorkload(leader, id);
  }
}

void
WorkloadScheduler::StepDown()
{
  LeaderContext& leader = *mImpl;
  leader.mIsLeader = false;
  std::set<Session> sessions;
  for (const auto* waiting :
       { &leader.mPendingSubmits, &leader.mPendingCancels }) {
    for (const auto& [id, waiters] : *waiting) {
      for (const PendingRequest& waiter : waiters) {
        sessions.insert(waiter.mSession);
      }
    }
  }
  for (const auto& [version, waiter] : leader.mCatalogWaiters) {
    sessions.insert(waiter.mSession);
  }
  for (const auto& [change, waiter] : leader.mEvacuationWaiters) {
    sessions.insert(waiter.mSession);
  }
  leader.mOutput = WorkloadSchedulerOutput{};
  leader.mOutput.mRedirects.assign(sessions.begin(), sessions.end());
  leader.mPendingSubmits.clear();
  leader.mPendingCancels.clear();
  leader.mCatalogWaiters.clear();
  leader.mEvacuationWaiters.clear();
}

bool
WorkloadScheduler::NeedsConfirmedRead(
  const protocol::WorkloadRequest& aRequest) const
{
  return workloads::NeedsConfirmedRead(*mImpl, aRequest);
}

void
WorkloadScheduler::OnRequest(Session aSession,
                             const protocol::WorkloadRequest& aRequest,
                             base::Time aNow)
{
  mImpl->mNow = aNow;
  HandleRequest(*mImpl, aSession, aRequest);
}

void
WorkloadScheduler::OnReport(Session aSession,
                            const protocol::WorkerReport& aReport,
                            base::Time aNow)
{
  mImpl->mNow = aNow;
  HandleReport(*mImpl, aSession, aReport);
}

void
WorkloadScheduler::OnApplied(const Change& aChange, base::Time aNow)
{
  mImpl->mNow = aNow;
  std::visit(AppliedVisitor{ *mImpl }, aChange.mBody);
  AnswerCommitted(*mImpl, aChange);
}

void
WorkloadScheduler::OnSessionClosed(Session aSession)
{
  for (auto& [incarnation, worker] : mImpl->mWorkers) {
    if (worker.mSession == aSession) {
      worker.mSession = Session();
    }
  }
}

void
WorkloadScheduler::Tick(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mIsLeader) {
    CheckLeases(*mImpl);
    PurgeExpiredState(*mImpl);
  }
}

WorkloadSchedulerOutput
WorkloadScheduler::TakeOutput(base::Time aNow)
{
  LeaderContext& leader = *mImpl;
  if (leader.mIsLeader) {
    leader.mNow = aNow;
    if (leader.mDecisionDue || aNow >= leader.mNextDecision) {
      Decide(leader);
    }
    SendOrders(leader);
    PublishObservations(leader);
  }
  return std::exchange(leader.mOutput, WorkloadSchedulerOutput{});
}

std::uint64_t
WorkloadScheduler::ActiveWorkloads() const
{
  return mImpl->mState->Active().size();
}

void
AddEvent(LeaderContext& aLeader,
         WorkloadEvent::Kind aKind,
         std::vector<std::pair<std::string_view, std::string>> aFields)
{
  aLeader.mOutput.mWorkloadEvents.push_back(
    WorkloadEvent{ aKind, std::move(aFields), {} });
}

std::string
ToString(const TaskId& aTask)
{
  return aTask.mWorkload.Value() + "." + std::to_string(aTask.mOccurrence) +
         "." + std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

} // namespace dogwooddrum::coordination::workloads
