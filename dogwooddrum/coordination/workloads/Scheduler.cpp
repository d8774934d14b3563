#include "dogwooddrum/coordination/workloads/Scheduler.h"

#include "dogwooddrum/coordination/workloads/Leading.h"

#include <utility>

namespace dogwooddrum::coordination::workloads {

namespace {

/** An entry that polls several times a second is rarely further behind. */
constexpr std::size_t kMaxCatalogs = 12;
constexpr base::Duration kForgetInterval = base::Milliseconds(10000);

/** Calls aDo with each task of the workload. */
template<typename F>
void
ForEachTask(const WorkloadId& aId,
            const WorkloadRecord& aWorkload,
            const F& aDo)
{
  for (const OccurrenceRecord& occurrence : aWorkload.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& tasks = occurrence.mSteps[s].mTasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        aDo(TaskId{ aId, occurrence.mNumber, s, i }, tasks[i]);
      }
    }
  }
}

/** Stops what still runs of a workload that has ended. */
void
StopEnded(Leading& aLeading, const WorkloadId& aId)
{
  const WorkloadRecord* workload = aLeading.mState->Find(aId);
  if (workload == nullptr || !HasEnded(*workload)) {
    return;
  }
  const RunId first{ TaskId{ aId, 0, 0, 0 }, RunNumber(0) };
  for (auto it = aLeading.mRuns.lower_bound(first);
       it != aLeading.mRuns.end() && it->first.mTask.mWorkload == aId;
       ++it) {
    // A run whose end was applied in the same batch is not open any more.
    const TaskRecord* task = aLeading.mState->Find(it->first.mTask);
    if (task != nullptr && task->mPhase == TaskPhase::Running) {
      StopRun(aLeading, it->first, ToString(workload->mPhase));
    }
  }
}

void
ForgetOld(Leading& aLeading)
{
  if (aLeading.mNow < aLeading.mNextForget) {
    return;
  }
  aLeading.mNextForget = aLeading.mNow + kForgetInterval;
  const std::int64_t before =
    UnixMs(aLeading) - base::ToMilliseconds(aLeading.mOptions.mRetention);
  for (const auto& [id, workload] : aLeading.mState->Workloads()) {
    if (HasEnded(workload) && workload.mEndedMs < before) {
      Propose(aLeading, Forget{ before });
      return;
    }
  }
}

void
RememberCatalog(Leading& aLeading)
{
  const Catalog& current = aLeading.mState->CurrentCatalog();
  Catalog& copy = aLeading.mCatalogs[current.mVersion];
  copy = current;
  copy.mSource.clear();
  if (aLeading.mCatalogs.size() > kMaxCatalogs) {
    aLeading.mCatalogs.erase(aLeading.mCatalogs.begin());
  }
}

/** Reacts to a committed change on the leader. */
struct AppliedVisitor
{
  Leading& mLeading;

  void operator()(const Accept& aChange) const
  {
    CountDemand(mLeading, aChange.mRequest.mId);
    mLeading.mDecide = true;
  }
  void operator()(const Cancel& aChange) const
  {
    StopEnded(mLeading, aChange.mWorkload);
    mLeading.mDecide = true;
  }
  void operator()(const BeginOccurrence& aChange) const
  {
    mLeading.mOccurrenceProposed.erase(aChange.mWorkload);
    mLeading.mDecide = true;
  }
  void operator()(const StartRuns& aChange) const
  {
    for (const auto& start : aChange.mStarts) {
      const TaskRecord* task = mLeading.mState->Find(start.mRun.mTask);
      if (task != nullptr && task->mPhase == TaskPhase::Running &&
          task->mRun == start.mRun.mRun) {
        AddOpenRun(mLeading, start.mRun, *task);
      } else {
        mLeading.mRuns.erase(start.mRun);
        mLeading.mDecide = true;
      }
    }
  }
  void operator()(const EndRun& aChange) const
  {
    const auto& id = aChange.mRun.mTask.mWorkload;
    const auto it = mLeading.mRuns.find(aChange.mRun);
    if (it != mLeading.mRuns.end()) {
      LearnRunTime(aChange, it->second);
      const auto worker = mLeading.mWorkers.find(it->second.mTarget);
      if (worker != mLeading.mWorkers.end()) {
        Worker& at = worker->second;
        at.mPendingEnds.erase(aChange.mRun);
        if (at.mPendingEnds.empty()) {
          at.mAcknowledged = at.mProposedEnds;
        }
        at.mDirty = true;
      }
      mLeading.mRuns.erase(it);
    }
    const WorkloadRecord* workload = mLeading.mState->Find(id);
    if (workload != nullptr && HasEnded(*workload)) {
      if (mLeading.mState->Active().count(id) == 0) {
        mLeading.mRunTimes.Forget(id);
        Tell(
          mLeading,
          Note::Kind::WorkloadEnded,
          { { "workload", id.Value() },
            { "phase", ToString(workload->mPhase) },
            { "age_ms",
              std::to_string(workload->mEndedMs - workload->mAcceptedMs) } });
      }
      StopEnded(mLeading, id);
    }
    mLeading.mDecide = true;
  }
  void LearnRunTime(const EndRun& aChange, const OpenRun& aOpen) const
  {
    const TaskId& task = aChange.mRun.mTask;
    const auto* workload = mLeading.mState->Find(task.mWorkload);
    // A resumed run did a part of the work only.
    if (aChange.mEnd == RunEnd::Done && workload != nullptr &&
        aOpen.mResumedFrom.empty()) {
      mLeading.mRunTimes.AddDone(workload->mQueueName,
                                 StepOf(*workload, task).mEstimateMs,
                                 mLeading.mNow - aOpen.mStartedAt);
    }
  }
  void operator()(const Forget&) const {}
  void operator()(const AdoptCatalog& aChange) const
  {
    RememberCatalog(mLeading);
    Tell(mLeading,
         Note::Kind::CatalogAdopted,
         { { "version", std::to_string(aChange.mCatalog.mVersion.Value()) } });
    mLeading.mDecide = true;
  }
};

} // namespace

struct Scheduler::Impl : public Leading
{
  using Leading::Leading;
};

Scheduler::Scheduler(const SchedulerOptions& aOptions, const State& aState)
  : mImpl(std::make_unique<Impl>(aOptions, aState))
{
}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler&
Scheduler::operator=(Scheduler&&) noexcept = default;

void
Scheduler::SetMembers(std::vector<std::string> aAddresses)
{
  mImpl->mMembers = std::move(aAddresses);
}

void
Scheduler::SetUnixOffset(std::int64_t aOffsetMs)
{
  mImpl->mUnixOffsetMs = aOffsetMs;
}

void
Scheduler::BecomeLeader(base::Term aTerm, base::Time aNow)
{
  Leading next(mImpl->mOptions, *mImpl->mState);
  next.mUnixOffsetMs = mImpl->mUnixOffsetMs;
  next.mMembers = mImpl->mMembers;
  Leading& leading = *mImpl;
  leading = std::move(next);
  leading.mLeads = true;
  leading.mDecide = true;
  leading.mTerm = aTerm;
  leading.mNow = aNow;
  leading.mLeadingSince = aNow;
  leading.mNextForget = aNow + kForgetInterval;
  RememberCatalog(leading);
  for (const WorkloadId& id : leading.mState->Active()) {
    const WorkloadRecord* workload = leading.mState->Find(id);
    if (workload == nullptr) {
      continue;
    }
    ForEachTask(id, *workload, [&](const TaskId& aTask, const auto& aRecord) {
      if (aRecord.mPhase == TaskPhase::Running) {
        AddOpenRun(leading, RunId{ aTask, aRecord.mRun }, aRecord);
      }
    });
    StopEnded(leading, id);
  }
}

void
Scheduler::StepDown()
{
  Leading& leading = *mImpl;
  leading.mLeads = false;
  std::set<Session> sessions;
  for (const auto* waiting : { &leading.mSubmits, &leading.mCancels }) {
    for (const auto& [id, waiters] : *waiting) {
      for (const Waiter& waiter : waiters) {
        sessions.insert(waiter.mSession);
      }
    }
  }
  for (const auto& [version, waiter] : leading.mCatalogWaiters) {
    sessions.insert(waiter.mSession);
  }
  leading.mOutput = SchedulerOutput{};
  leading.mOutput.mRedirects.assign(sessions.begin(), sessions.end());
  leading.mSubmits.clear();
  leading.mCancels.clear();
  leading.mCatalogWaiters.clear();
}

bool
Scheduler::NeedsConfirmedRead(const protocol::WorkloadRequest& aRequest)
{
  const auto& body = aRequest.mBody;
  return std::holds_alternative<protocol::ReadWorkload>(body) ||
         std::holds_alternative<protocol::CountWaiting>(body) ||
         std::holds_alternative<protocol::ReadCatalog>(body);
}

void
Scheduler::OnRequest(Session aSession,
                     const protocol::WorkloadRequest& aRequest,
                     base::Time aNow)
{
  mImpl->mNow = aNow;
  HandleRequest(*mImpl, aSession, aRequest);
}

void
Scheduler::OnReport(Session aSession,
                    const protocol::WorkerReport& aReport,
                    base::Time aNow)
{
  mImpl->mNow = aNow;
  HandleReport(*mImpl, aSession, aReport);
}

void
Scheduler::OnApplied(const Change& aChange, base::Time aNow)
{
  mImpl->mNow = aNow;
  std::visit(AppliedVisitor{ *mImpl }, aChange.mBody);
  AnswerCommitted(*mImpl, aChange);
}

void
Scheduler::OnSessionClosed(Session aSession)
{
  for (auto& [life, worker] : mImpl->mWorkers) {
    if (worker.mSession == aSession) {
      worker.mSession = Session();
    }
  }
}

void
Scheduler::Tick(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mLeads) {
    CheckLeases(*mImpl);
    ForgetOld(*mImpl);
  }
}

SchedulerOutput
Scheduler::TakeOutput(base::Time aNow)
{
  Leading& leading = *mImpl;
  if (leading.mLeads) {
    leading.mNow = aNow;
    if (leading.mDecide || aNow >= leading.mNextDecision) {
      Decide(leading);
    }
    SendOrders(leading);
  }
  return std::exchange(leading.mOutput, SchedulerOutput{});
}

std::uint64_t
Scheduler::ActiveWorkloads() const
{
  return mImpl->mState->Active().size();
}

void
Tell(Leading& aLeading,
     Note::Kind aKind,
     std::vector<std::pair<std::string_view, std::string>> aFields)
{
  aLeading.mOutput.mNotes.push_back(Note{ aKind, std::move(aFields) });
}

std::string
ToString(const TaskId& aTask)
{
  return aTask.mWorkload.Value() + "." + std::to_string(aTask.mOccurrence) +
         "." + std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

} // namespace dogwooddrum::coordination::workloads
