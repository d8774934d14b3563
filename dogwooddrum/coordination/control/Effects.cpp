#include "dogwooddrum/coordination/control/Effects.h"

#include "dogwooddrum/coordination/control/AgentRegistry.h"
#include "dogwooddrum/coordination/control/AnswerAssembly.h"
#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Requests.h"

#include <utility>

namespace dogwooddrum::coordination::control {

using jobs::Effect;

namespace {

/** Interval at which ended jobs and old keys are dropped. */
constexpr base::Duration kExpireEvery = base::Milliseconds(1000);
/** Largest number of jobs and keys that one command drops. */
constexpr std::uint32_t kExpireLimit = 5000;

void
OnAttemptStarted(CoordinatorCore& aCore, const Effect& aEffect)
{
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  SendCommands(aCore, CreateLiveAttempt(aCore, *job, aCore.mNow));
}

void
OnGangCommitted(CoordinatorCore& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->mHasPendingProposal = false;
  attempt->mMayRun = true;
  AdvanceAttempt(aCore, *attempt); // A task may be lost already.
  SendCommands(aCore, *attempt);
}

void
OnAttemptAborted(CoordinatorCore& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->mHasPendingProposal = false;
  attempt->mStopping = true;
  AdvanceAttempt(aCore, *attempt);
  SendCommands(aCore, *attempt);
}

void
OnTaskCompleted(CoordinatorCore& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  const std::size_t index = aEffect.mTask.Value();
  if (attempt == nullptr || index >= attempt->mTasks.size()) {
    return;
  }
  const jobs::Assignment& assignment = attempt->mTasks[index].mAssignment;
  aCore.mPlacer.RecordTaskSuccess(aEffect.mJob, assignment.mWorker);
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  if (job != nullptr && !attempt->mGang) {
    RecordRunTime(
      aCore, assignment, job->mSpec.mProfile, aCore.mNow - attempt->mCreatedAt);
  }
  protocol::TaskReport report;
  report.mKey = TaskKeyOf(*attempt, index);
  report.mState = protocol::TaskState::Finished;
  OnTaskReport(aCore, *attempt, index, report);
  AcknowledgeAnswer(aCore, report.mKey, assignment.mIncarnation);
}

void
OnAttemptEnded(CoordinatorCore& aCore, const Effect& aEffect)
{
  RemoveLiveAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  if (job == nullptr || jobs::HasEnded(job->mPhase)) {
    aCore.mPlacer.Remove(aEffect.mJob, aCore.mNow);
  }
  aCore.mNeedsPlacement = true;
}

void
OnJobEnded(CoordinatorCore& aCore, const Effect& aEffect)
{
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  aCore.mPendingCancels.erase(aEffect.mJob);
  if (!job->mAttempt) {
    aCore.mPlacer.Remove(aEffect.mJob, aCore.mNow);
    aCore.mNeedsPlacement = true;
  }
  Notice notice;
  notice.mKind = Notice::Kind::JobEnded;
  notice.mReason = job->mReason;
  notice.mProfile = job->mSpec.mProfile;
  notice.mDuration = base::Milliseconds(
    static_cast<std::int64_t>(job->mEndedMs - job->mSubmittedMs));
  notice.mText = "job " + std::to_string(aEffect.mJob.Value());
  aCore.mOutput.mNotices.push_back(std::move(notice));
  AnswerWaiters(aCore, aEffect.mJob);
}

void
RunTimer(CoordinatorCore& aCore, const Timer& aTimer)
{
  LiveAttempt* attempt = FindAttempt(aCore, aTimer.mJob, aTimer.mAttempt);
  switch (aTimer.mKind) {
    case Timer::Kind::ResendCommands:
      if (attempt != nullptr) {
        SendCommands(aCore, *attempt);
      }
      break;
    case Timer::Kind::PrepareTimeout:
      if (attempt != nullptr && !attempt->mMayRun) {
        ProposeAbort(aCore, *attempt, base::Reason::StartTimeout);
      }
      break;
    case Timer::Kind::StopPreempted:
      if (attempt != nullptr) {
        ProposeAbort(aCore, *attempt, base::Reason::Preempted);
      }
      break;
    case Timer::Kind::RequeueJob: {
      const jobs::JobRecord* job = aCore.mState.Find(aTimer.mJob);
      if (job != nullptr && job->mPhase == jobs::JobPhase::Queued) {
        QueueJob(aCore, *job, aTimer.mId != 0);
      }
      break;
    }
    case Timer::Kind::CheckAgent:
      CheckAgent(aCore, base::Incarnation(aTimer.mId));
      break;
    case Timer::Kind::WaiterDeadline:
      ExpireWaiter(aCore, aTimer.mId);
      break;
    case Timer::Kind::EndWarmUp:
      aCore.mWarmedUp = true;
      aCore.mNeedsPlacement = true;
      break;
    case Timer::Kind::ExpireJobs: {
      const auto answerRetention = static_cast<std::uint64_t>(
        base::ToMilliseconds(aCore.mOptions.mAnswerRetention));
      const auto keyRetention = static_cast<std::uint64_t>(
        base::ToMilliseconds(aCore.mOptions.mKeyRetention));
      if (aCore.mState.CanExpire(ReplicatedClockMs(aCore, aCore.mNow),
                                 answerRetention,
                                 keyRetention)) {
        Propose(aCore,
                jobs::Expire{ answerRetention, keyRetention, kExpireLimit });
      }
      AddTimer(aCore, aCore.mNow + kExpireEvery, aTimer);
      break;
    }
    case Timer::Kind::CheckMemberRequests:
      AdvanceMemberRequests(aCore);
      break;
  }
}

/** Adds a job to the placer if it is queued or has an attempt. */
void
ResumeJob(CoordinatorCore& aCore, const jobs::JobRecord& aJob)
{
  if (!aJob.mAttempt) {
    if (aJob.mPhase == jobs::JobPhase::Queued) {
      QueueJob(aCore, aJob, false);
    }
    return;
  }
  const LiveAttempt& attempt =
    CreateLiveAttempt(aCore, aJob, aCore.mLeadingSince);
  std::vector<placement::TaskPlacement> tasks;
  for (std::size_t i = 0; i < attempt.mTasks.size(); ++i) {
    const LiveTask& task = attempt.mTasks[i];
    if (!task.mReleased) {
      tasks.push_back({ TaskKeyOf(attempt, i).mTask,
                        task.mAssignment.mWorker,
                        task.mAssignment.mAccelerators });
    }
  }
  aCore.mPlacer.Adopt(
    MakePlacementRequest(
      aCore, aJob.mJob, aJob.mSpec, ToLocalTime(aCore, aJob.mSubmittedMs)),
    tasks,
    aCore.mNow,
    aJob.mAttempt->mBorrowed);
  Timer timer;
  timer.mKind = Timer::Kind::ResendCommands;
  timer.mJob = aJob.mJob;
  timer.mAttempt = attempt.mAttempt;
  AddTimer(aCore, aCore.mNow + aCore.mOptions.mCommandResend, timer);
}

} // namespace

void
OnEffect(CoordinatorCore& aCore, const Effect& aEffect)
{
  switch (aEffect.mKind) {
    case Effect::Kind::Submitted:
    case Effect::Kind::Joined:
    case Effect::Kind::KeyReused:
      OnSubmitted(aCore, aEffect);
      break;
    case Effect::Kind::AttemptStarted:
      OnAttemptStarted(aCore, aEffect);
      break;
    case Effect::Kind::GangCommitted:
      OnGangCommitted(aCore, aEffect);
      break;
    case Effect::Kind::AttemptAborted:
      OnAttemptAborted(aCore, aEffect);
      break;
    case Effect::Kind::PartStored:
      OnPartStored(aCore, { aEffect.mJob, aEffect.mAttempt, aEffect.mTask });
      break;
    case Effect::Kind::TaskCompleted:
      OnTaskCompleted(aCore, aEffect);
      break;
    case Effect::Kind::AttemptEnded:
      OnAttemptEnded(aCore, aEffect);
      break;
    case Effect::Kind::Requeued:
      if (const auto* job = aCore.mState.Find(aEffect.mJob)) {
        QueueJob(aCore, *job, true);
      }
      break;
    case Effect::Kind::JobEnded:
      OnJobEnded(aCore, aEffect);
      break;
    case Effect::Kind::Acknowledged:
      AnswerWaiters(aCore, aEffect.mJob);
      break;
    case Effect::Kind::Dropped:
      break;
    case Effect::Kind::ChangeDecided:
      OnChangeDecided(aCore, aEffect.mChange);
      break;
  }
}

void
RunTimers(CoordinatorCore& aCore)
{
  while (!aCore.mTimers.empty() && aCore.mTimers.begin()->first <= aCore.mNow) {
    const Timer timer = aCore.mTimers.begin()->second;
    aCore.mTimers.erase(aCore.mTimers.begin());
    RunTimer(aCore, timer);
  }
}

protocol::NotLeader
MakeRedirect(const CoordinatorCore& aCore)
{
  return { aCore.mLeader, aCore.mLeaderAddress };
}

void
RedirectDeferredReads(CoordinatorCore& aCore,
                      const std::vector<DeferredRead>& aReads)
{
  for (const DeferredRead& query : aReads) {
    if (const auto* client = std::get_if<DeferredQuery>(&query)) {
      Reply(aCore, client->mCaller, MakeRedirect(aCore));
    } else if (const auto* poll = std::get_if<DeferredPoll>(&query)) {
      Send(aCore, poll->mSession, MakeRedirect(aCore));
    } else if (const auto* read = std::get_if<DeferredWorkloadRead>(&query)) {
      Send(aCore, read->mSession, MakeRedirect(aCore));
    } else if (const auto* report = std::get_if<DeferredWorkerReport>(&query)) {
      Send(aCore, report->mSession, MakeRedirect(aCore));
    } else {
      const auto& heartbeat = std::get<DeferredHeartbeat>(query);
      Send(aCore, heartbeat.mSession, MakeRedirect(aCore));
    }
  }
}

void
StartLeading(CoordinatorCore& aCore, base::Term aTerm)
{
  if (aCore.mIsLeader) {
    StopLeading(aCore);
  }
  aCore.mIsLeader = true;
  aCore.mTerm = aTerm;
  aCore.mLeadingSince = aCore.mNow;
  aCore.mLeadingSinceClockMs = aCore.mState.ClockMs();
  aCore.mLastJob = aCore.mState.LastJob();
  aCore.mRetryTokensAt = aCore.mNow;
  aCore.mWarmedUp = false;
  aCore.mPlacer = placement::Placer(aCore.mOptions.mPlacer);
  aCore.mPlacer.SetConfiguration(aCore.mState.Configuration());
  for (const auto& [id, job] : aCore.mState.Jobs()) {
    ResumeJob(aCore, job);
  }
  Timer timer;
  timer.mKind = Timer::Kind::EndWarmUp;
  AddTimer(aCore, aCore.mNow + aCore.mOptions.mWarmUp, timer);
  timer.mKind = Timer::Kind::ExpireJobs;
  AddTimer(aCore, aCore.mNow + kExpireEvery, timer);
  AddNotice(aCore,
            Notice::Kind::BecameLeader,
            base::Reason::None,
            "term " + std::to_string(aTerm.Value()));
}

void
StopLeading(CoordinatorCore& aCore)
{
  for (const auto& [id, waiter] : aCore.mWaiters) {
    Reply(aCore, waiter.mCaller, MakeRedirect(aCore));
  }
  for (const PendingChange& change : aCore.mPendingChanges) {
    for (const Caller& caller : change.mCallers) {
      Reply(aCore, caller, MakeRedirect(aCore));
    }
  }
  for (const PendingMemberRequest& member : aCore.mMemberRequests) {
    Reply(aCore, member.mCaller, MakeRedirect(aCore));
  }
  RedirectDeferredReads(aCore, aCore.mNextReadBatch);
  for (const auto& [id, queries] : aCore.mUnconfirmedReads) {
    RedirectDeferredReads(aCore, queries);
  }
  AddNotice(aCore, Notice::Kind::SteppedDown, base::Reason::None, "");
  // Keep only what is replicated or does not depend on leadership.
  CoordinatorCore next(aCore.mOptions);
  next.mState = std::move(aCore.mState);
  next.mOutput = std::move(aCore.mOutput);
  next.mOutput.mProposals.clear();
  next.mOutput.mReads.clear();
  next.mNow = aCore.mNow;
  next.mTerm = aCore.mTerm;
  next.mLeader = aCore.mLeader;
  next.mLeaderAddress = std::move(aCore.mLeaderAddress);
  next.mMembership = std::move(aCore.mMembership);
  next.mCommittedMembership = std::move(aCore.mCommittedMembership);
  next.mLastReadId = aCore.mLastReadId; // So that read ids are never reused.
  next.mJitter = aCore.mJitter;
  aCore = std::move(next);
}

} // namespace dogwooddrum::coordination::control
