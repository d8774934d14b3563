#include "dogwooddrum/coordination/control/Attempts.h"

#include "dogwooddrum/coordination/control/AgentRegistry.h"
#include "dogwooddrum/coordination/control/AnswerAssembly.h"
#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Retries.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using jobs::LeaseEvent;
using jobs::LeasePhase;
using protocol::TaskState;

namespace {

LeaseEvent
ToLeaseEvent(TaskState aState)
{
  switch (aState) {
    case TaskState::Prepared:
      return LeaseEvent::ReportPrepared;
    case TaskState::Running:
    case TaskState::Checkpointed:
      return LeaseEvent::ReportRunning;
    case TaskState::Finished:
      return LeaseEvent::ReportFinished;
    default:
      return LeaseEvent::ReportFenced;
  }
}

void
ReleaseAccelerators(CoordinatorCore& aCore,
                    LiveAttempt& aAttempt,
                    std::size_t aTask)
{
  LiveTask& task = aAttempt.mTasks[aTask];
  if (!task.mReleased) {
    task.mReleased = true;
    aCore.mPlacer.ReleaseTask(
      aAttempt.mJob, TaskKeyOf(aAttempt, aTask).mTask, aCore.mNow);
    aCore.mNeedsPlacement = true;
  }
}

/** Phases of all tasks of an attempt, summarized. */
struct TaskSummary
{
  bool mAllPrepared = true;
  bool mAllRunning = true;
  bool mAllVacant = true;
  const LiveTask* mFirstFencedOrExpired = nullptr;
};

TaskSummary
Summarize(const LiveAttempt& aAttempt)
{
  TaskSummary summary;
  for (const LiveTask& task : aAttempt.mTasks) {
    summary.mAllPrepared &= task.mPhase == LeasePhase::Prepared;
    summary.mAllRunning &= task.mPhase >= LeasePhase::Running;
    summary.mAllVacant &= jobs::IsVacant(task.mPhase);
    if (summary.mFirstFencedOrExpired == nullptr &&
        task.mPhase >= LeasePhase::Fenced) {
      summary.mFirstFencedOrExpired = &task;
    }
  }
  return summary;
}

void
AddStartedNotice(CoordinatorCore& aCore, LiveAttempt& aAttempt)
{
  aAttempt.mHasStarted = true;
  const jobs::JobRecord* job = aCore.mState.Find(aAttempt.mJob);
  Notice notice;
  notice.mKind = Notice::Kind::AttemptStarted;
  if (job != nullptr) {
    notice.mProfile = job->mSpec.mProfile;
    notice.mDuration = aCore.mNow - ToLocalTime(aCore, job->mSubmittedMs);
  }
  aCore.mOutput.mNotices.push_back(std::move(notice));
}

} // namespace

LiveAttempt&
CreateLiveAttempt(CoordinatorCore& aCore,
                  const jobs::JobRecord& aJob,
                  base::Time aGrantedAt)
{
  const jobs::AttemptRecord& record = *aJob.mAttempt;
  LiveAttempt& attempt = aCore.mAttempts[aJob.mJob];
  attempt = LiveAttempt{};
  attempt.mJob = aJob.mJob;
  attempt.mAttempt = record.mAttempt;
  attempt.mGang = record.mGang;
  attempt.mMayRun = record.mMayRun;
  attempt.mStopping = record.mStopping;
  attempt.mCreatedAt = aCore.mNow;
  attempt.mTasks.resize(record.mTasks.size());
  for (std::size_t i = 0; i < record.mTasks.size(); ++i) {
    LiveTask& task = attempt.mTasks[i];
    task.mAssignment = record.mTasks[i].mAssignment;
    if (record.mTasks[i].mComplete) {
      task.mPhase = LeasePhase::Finished;
      task.mReleased = true;
      continue;
    }
    FindOrAddAgent(aCore, task.mAssignment, aGrantedAt)
      .mTasks.insert(TaskKeyOf(attempt, i));
  }
  if (!attempt.mMayRun && !attempt.mStopping) {
    Timer timer;
    timer.mKind = Timer::Kind::PrepareTimeout;
    timer.mJob = attempt.mJob;
    timer.mAttempt = attempt.mAttempt;
    AddTimer(aCore, aCore.mNow + aCore.mOptions.mPrepareTimeout, timer);
  }
  return attempt;
}

void
OnTaskReport(CoordinatorCore& aCore,
             LiveAttempt& aAttempt,
             std::size_t aTask,
             const protocol::TaskReport& aReport)
{
  LiveTask& task = aAttempt.mTasks[aTask];
  if (aReport.mState == TaskState::Checkpointed && !task.mCheckpointed) {
    task.mCheckpointed = true;
    if (std::all_of(
          aAttempt.mTasks.begin(),
          aAttempt.mTasks.end(),
          [](const LiveTask& aEach) { return aEach.mCheckpointed; })) {
      aCore.mPlacer.RecordCheckpoint(aAttempt.mJob, aCore.mNow);
      aCore.mNeedsPlacement = true;
    }
  }
  const auto next = jobs::NextPhase(task.mPhase, ToLeaseEvent(aReport.mState));
  if (!next) {
    return; // A late or repeated report.
  }
  task.mPhase = *next;
  if (jobs::IsVacant(task.mPhase)) {
    ReleaseAccelerators(aCore, aAttempt, aTask);
  }
  if (task.mPhase == LeasePhase::Fenced) {
    task.mFinalReport = aReport;
    if (aReport.mState == TaskState::Failed) {
      aCore.mPlacer.RecordTaskFailure(
        aAttempt.mJob, task.mAssignment.mWorker, aCore.mNow);
      aCore.mNeedsPlacement = true;
    }
  }
  AdvanceAttempt(aCore, aAttempt);
}

void
ExpireTask(CoordinatorCore& aCore, LiveAttempt& aAttempt, std::size_t aTask)
{
  LiveTask& task = aAttempt.mTasks[aTask];
  const auto next = jobs::NextPhase(task.mPhase, LeaseEvent::Expire);
  if (!next) {
    return;
  }
  const jobs::JobRecord* job = aCore.mState.Find(aAttempt.mJob);
  if (job != nullptr && job->mAttempt &&
      job->mAttempt->mTasks[aTask].mComplete) {
    return; // The task's answer is stored already.
  }
  task.mPhase = *next;
  task.mFinalReport.mReason = base::Reason::WorkerLost;
  task.mFinalReport.mDispatched = true;
  task.mFinalReport.mMessage =
    "worker \"" + task.mAssignment.mWorker.Value() + "\" is lost";
  ReleaseAccelerators(aCore, aAttempt, aTask);
  AdvanceAttempt(aCore, aAttempt);
}

void
AdvanceAttempt(CoordinatorCore& aCore, LiveAttempt& aAttempt)
{
  if (aAttempt.mHasPendingProposal) {
    return; // Called again when the proposal is applied.
  }
  const TaskSummary summary = Summarize(aAttempt);
  if (!aAttempt.mMayRun && !aAttempt.mStopping) {
    if (summary.mFirstFencedOrExpired != nullptr) {
      ProposeAbort(
        aCore, aAttempt, summary.mFirstFencedOrExpired->mFinalReport.mReason);
    } else if (summary.mAllPrepared) {
      aAttempt.mHasPendingProposal = true;
      Propose(aCore, jobs::CommitGang{ aAttempt.mJob, aAttempt.mAttempt });
    }
    return;
  }
  if (summary.mAllRunning && !aAttempt.mHasStarted && !aAttempt.mStopping) {
    AddStartedNotice(aCore, aAttempt);
  }
  const jobs::JobRecord* job = aCore.mState.Find(aAttempt.mJob);
  const bool ended = job == nullptr || jobs::HasEnded(job->mPhase);
  const bool unwanted =
    ended || (job->mAttempt &&
              job->mAttempt->mStopReason == base::Reason::AnswerTooLarge);
  if (summary.mAllVacant &&
      (summary.mFirstFencedOrExpired != nullptr || unwanted)) {
    EndLiveAttempt(aCore, aAttempt);
  } else if (summary.mFirstFencedOrExpired != nullptr && !aAttempt.mStopping) {
    ProposeAbort(aCore, aAttempt, base::Reason::GangMemberLost);
  }
}

void
ProposeAbort(CoordinatorCore& aCore,
             LiveAttempt& aAttempt,
             base::Reason aReason)
{
  if (aAttempt.mHasPendingProposal || aAttempt.mStopping) {
    return;
  }
  aAttempt.mHasPendingProposal = true;
  Propose(aCore,
          jobs::AbortAttempt{ aAttempt.mJob, aAttempt.mAttempt, aReason });
}

void
PreemptJob(CoordinatorCore& aCore,
           base::JobId aJob,
           base::Time aStopBy,
           base::Reason aReason)
{
  const auto it = aCore.mAttempts.find(aJob);
  if (it == aCore.mAttempts.end() || it->second.mPreempting) {
    return;
  }
  LiveAttempt& attempt = it->second;
  AddNotice(aCore,
            Notice::Kind::Preempted,
            aReason,
            "job " + std::to_string(aJob.Value()));
  attempt.mPreempting = true;
  Timer timer;
  timer.mKind = Timer::Kind::StopPreempted;
  timer.mJob = aJob;
  timer.mAttempt = attempt.mAttempt;
  AddTimer(aCore, attempt.mMayRun ? aStopBy : aCore.mNow, timer);
  SendCommands(aCore, attempt);
}

void
RemoveLiveAttempt(CoordinatorCore& aCore,
                  base::JobId aJob,
                  base::AttemptId aAttempt)
{
  LiveAttempt* attempt = FindAttempt(aCore, aJob, aAttempt);
  if (attempt == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < attempt->mTasks.size(); ++i) {
    const protocol::TaskKey key = TaskKeyOf(*attempt, i);
    DropAssembly(aCore, key);
    if (AgentRecord* agent =
          FindAgent(aCore, attempt->mTasks[i].mAssignment.mIncarnation)) {
      agent->mTasks.erase(key);
      if (attempt->mTasks[i].mPhase == LeasePhase::Fenced) {
        agent->mTasksToForget.insert(key);
      }
    }
  }
  aCore.mAttempts.erase(aJob);
}

} // namespace dogwooddrum::coordination::control
