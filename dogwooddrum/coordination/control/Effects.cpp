#include "dogwooddrum/coordination/control/Effects.h"

#include "dogwooddrum/coordination/control/Answers.h"
#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Registry.h"
#include "dogwooddrum/coordination/control/Requests.h"

#include <utility>

namespace dogwooddrum::coordination::control {

using jobs::Effect;

namespace {

/** How often ended jobs and old keys are dropped. */
constexpr base::Duration kExpireEvery = base::Milliseconds(1000);
/** Jobs and keys dropped by one command. */
constexpr std::uint32_t kExpireLimit = 5000;

void
OnAttemptStarted(Core& aCore, const Effect& aEffect)
{
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  SendCommands(aCore, Adopt(aCore, *job, aCore.mNow));
}

void
OnGangCommitted(Core& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->mProposed = false;
  attempt->mMayRun = true;
  Settle(aCore, *attempt); // A member may be lost already.
  SendCommands(aCore, *attempt);
}

void
OnAttemptAborted(Core& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->mProposed = false;
  attempt->mStopping = true;
  Settle(aCore, *attempt);
  SendCommands(aCore, *attempt);
}

void
OnTaskCompleted(Core& aCore, const Effect& aEffect)
{
  LiveAttempt* attempt = FindAttempt(aCore, aEffect.mJob, aEffect.mAttempt);
  const std::size_t index = aEffect.mTask.Value();
  if (attempt == nullptr || index >= attempt->mTasks.size()) {
    return;
  }
  const jobs::Assignment& assignment = attempt->mTasks[index].mAssignment;
  aCore.mPlacer.TaskSucceeded(aEffect.mJob, assignment.mWorker);
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  if (job != nullptr && !attempt->mGang) {
    ObserveRun(
      aCore, assignment, job->mSpec.mProfile, aCore.mNow - attempt->mDecided);
  }
  protocol::TaskReport report;
  report.mKey = KeyOf(*attempt, index);
  report.mState = protocol::TaskState::Finished;
  OnTaskReport(aCore, *attempt, index, report);
  AcknowledgeAnswer(aCore, report.mKey, assignment.mIncarnation);
}

void
OnAttemptEnded(Core& aCore, const Effect& aEffect)
{
  Forget(aCore, aEffect.mJob, aEffect.mAttempt);
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  if (job == nullptr || jobs::Ended(job->mPhase)) {
    aCore.mPlacer.Remove(aEffect.mJob, aCore.mNow);
  }
  aCore.mDecide = true;
}

void
OnJobEnded(Core& aCore, const Effect& aEffect)
{
  const jobs::JobRecord* job = aCore.mState.Find(aEffect.mJob);
  aCore.mCancelsPending.erase(aEffect.mJob);
  if (!job->mAttempt) {
    aCore.mPlacer.Remove(aEffect.mJob, aCore.mNow);
    aCore.mDecide = true;
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
RunTimer(Core& aCore, const Timer& aTimer)
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
        Abort(aCore, *attempt, base::Reason::StartTimeout);
      }
      break;
    case Timer::Kind::StopPreempted:
      if (attempt != nullptr) {
        Abort(aCore, *attempt, base::Reason::Preempted);
      }
      break;
    case Timer::Kind::QueueAgain: {
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
    case Timer::Kind::WarmUpEnds:
      aCore.mWarm = true;
      aCore.mDecide = true;
      break;
    case Timer::Kind::Expire: {
      const auto retention = static_cast<std::uint64_t>(
        base::ToMilliseconds(aCore.mOptions.mAnswerRetention));
      const auto keys = static_cast<std::uint64_t>(
        base::ToMilliseconds(aCore.mOptions.mKeyRetention));
      if (aCore.mState.CanExpire(ClockMs(aCore, aCore.mNow), retention, keys)) {
        Propose(aCore, jobs::Expire{ retention, keys, kExpireLimit });
      }
      AddTimer(aCore, aCore.mNow + kExpireEvery, aTimer);
      break;
    }
    case Timer::Kind::MemberRequests:
      CheckMembers(aCore);
      break;
  }
}

/** Puts a job that has not been fenced or ended into the placer. */
void
ResumeJob(Core& aCore, const jobs::JobRecord& aJob)
{
  if (!aJob.mAttempt) {
    if (aJob.mPhase == jobs::JobPhase::Queued) {
      QueueJob(aCore, aJob, false);
    }
    return;
  }
  const LiveAttempt& attempt = Adopt(aCore, aJob, aCore.mLeadingSince);
  std::vector<placement::TaskPlacement> tasks;
  for (std::size_t i = 0; i < attempt.mTasks.size(); ++i) {
    const LiveTask& task = attempt.mTasks[i];
    if (!task.mReleased) {
      tasks.push_back({ KeyOf(attempt, i).mTask,
                        task.mAssignment.mWorker,
                        task.mAssignment.mAccelerators });
    }
  }
  aCore.mPlacer.Adopt(
    RequestOf(
      aCore, aJob.mJob, aJob.mSpec, LocalTime(aCore, aJob.mSubmittedMs)),
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
OnEffect(Core& aCore, const Effect& aEffect)
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
RunTimers(Core& aCore)
{
  while (!aCore.mTimers.empty() && aCore.mTimers.begin()->first <= aCore.mNow) {
    const Timer timer = aCore.mTimers.begin()->second;
    aCore.mTimers.erase(aCore.mTimers.begin());
    RunTimer(aCore, timer);
  }
}

protocol::NotLeader
Redirect(const Core& aCore)
{
  return { aCore.mLeader, aCore.mLeaderAddress };
}

void
RefuseQueries(Core& aCore, const std::vector<Confirmed>& aQueries)
{
  for (const Confirmed& query : aQueries) {
    if (const auto* client = std::get_if<ConfirmedQuery>(&query)) {
      Reply(aCore, client->mCaller, Redirect(aCore));
    } else if (const auto* poll = std::get_if<ConfirmedPoll>(&query)) {
      Send(aCore, poll->mSession, Redirect(aCore));
    } else if (const auto* read = std::get_if<ConfirmedWorkloadRead>(&query)) {
      Send(aCore, read->mSession, Redirect(aCore));
    } else if (const auto* report = std::get_if<ConfirmedReport>(&query)) {
      Send(aCore, report->mSession, Redirect(aCore));
    } else {
      const auto& heartbeat = std::get<ConfirmedHeartbeat>(query);
      Send(aCore, heartbeat.mSession, Redirect(aCore));
    }
  }
}

void
StartLeading(Core& aCore, base::Term aTerm)
{
  if (aCore.mLeads) {
    StopLeading(aCore);
  }
  aCore.mLeads = true;
  aCore.mTerm = aTerm;
  aCore.mLeadingSince = aCore.mNow;
  aCore.mLeadingSinceClockMs = aCore.mState.ClockMs();
  aCore.mLastJob = aCore.mState.LastJob();
  aCore.mRetryTokensAt = aCore.mNow;
  aCore.mWarm = false;
  aCore.mPlacer = placement::Placer(aCore.mOptions.mPlacer);
  aCore.mPlacer.SetConfiguration(aCore.mState.Configuration());
  for (const auto& [id, job] : aCore.mState.Jobs()) {
    ResumeJob(aCore, job);
  }
  Timer timer;
  timer.mKind = Timer::Kind::WarmUpEnds;
  AddTimer(aCore, aCore.mNow + aCore.mOptions.mWarmUp, timer);
  timer.mKind = Timer::Kind::Expire;
  AddTimer(aCore, aCore.mNow + kExpireEvery, timer);
  Tell(aCore,
       Notice::Kind::BecameLeader,
       base::Reason::None,
       "term " + std::to_string(aTerm.Value()));
}

void
StopLeading(Core& aCore)
{
  for (const auto& [id, waiter] : aCore.mWaiters) {
    Reply(aCore, waiter.mCaller, Redirect(aCore));
  }
  for (const PendingChange& change : aCore.mChanges) {
    for (const Caller& caller : change.mCallers) {
      Reply(aCore, caller, Redirect(aCore));
    }
  }
  for (const PendingMember& member : aCore.mMemberRequests) {
    Reply(aCore, member.mCaller, Redirect(aCore));
  }
  RefuseQueries(aCore, aCore.mForNextRead);
  for (const auto& [id, queries] : aCore.mReads) {
    RefuseQueries(aCore, queries);
  }
  Tell(aCore, Notice::Kind::SteppedDown, base::Reason::None, "");
  // Keeps only what is replicated, or true on every member.
  Core next(aCore.mOptions);
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
  next.mLastRead = aCore.mLastRead; // Ids of old reads are not used again.
  next.mJitter = aCore.mJitter;
  aCore = std::move(next);
}

} // namespace dogwooddrum::coordination::control
