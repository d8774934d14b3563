#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/jobs/JobState.h"

#include <algorithm>

namespace dogwooddrum::coordination::jobs {

namespace {

using Kind = Effect::Kind;

/** Applies an event to the job's phase; returns false if there is no such
 * transition. */
bool
ApplyEvent(JobRecord& aJob, JobEvent aEvent)
{
  const auto next = NextPhase(aJob.mPhase, aEvent);
  if (next) {
    aJob.mPhase = *next;
  }
  return next.has_value();
}

} // namespace

/** Applies one command at a time and collects the effects. */
struct JobState::Applier
{
  JobState& mState;
  std::vector<Effect> mEffects;

  StateImage& Image() { return mState.mImage; }

  JobRecord* FindJob(base::JobId aJob)
  {
    const auto it = Image().mJobs.find(aJob);
    return it == Image().mJobs.end() ? nullptr : &it->second;
  }

  /** Returns the job if aAttempt is its current attempt. */
  JobRecord* FindJobByAttempt(base::JobId aJob, base::AttemptId aAttempt)
  {
    JobRecord* job = FindJob(aJob);
    return job != nullptr && job->mAttempt &&
               job->mAttempt->mAttempt == aAttempt
             ? job
             : nullptr;
  }

  void AddEffect(Kind aKind, base::JobId aJob, base::AttemptId aAttempt = {})
  {
    Effect effect;
    effect.mKind = aKind;
    effect.mJob = aJob;
    effect.mAttempt = aAttempt;
    mEffects.push_back(effect);
  }

  void Start(JobRecord& aJob, const AttemptStart& aStart)
  {
    const bool gang = aStart.mTasks.size() > 1;
    if (aStart.mTasks.empty() || aJob.mAttempt ||
        aStart.mAttempt.Value() != aJob.mLastAttempt.Value() + 1 ||
        !ApplyEvent(aJob, gang ? JobEvent::StartGang : JobEvent::StartSingle)) {
      return;
    }
    AttemptRecord attempt;
    attempt.mAttempt = aStart.mAttempt;
    attempt.mTerm = aStart.mTerm;
    attempt.mBorrowed = aStart.mBorrowed;
    attempt.mGang = gang;
    attempt.mMayRun = !gang;
    for (const Assignment& assignment : aStart.mTasks) {
      TaskRecord task;
      task.mAssignment = assignment;
      attempt.mTasks.push_back(std::move(task));
    }
    aJob.mLastAttempt = aStart.mAttempt;
    aJob.mAttempt = std::move(attempt);
    AddEffect(Kind::AttemptStarted, aJob.mJob, aStart.mAttempt);
  }

  /** Updates the records of a job that has just entered an ended phase. */
  void FinishJob(JobRecord& aJob)
  {
    aJob.mEndedMs = Image().mClockMs;
    aJob.mSpec.mPayload.clear();
    aJob.mSpec.mPayload.shrink_to_fit();
    mState.mEndedJobsByTime.emplace(aJob.mEndedMs, aJob.mJob);
    --mState.mActiveJobs;
    AddEffect(Kind::JobEnded, aJob.mJob, aJob.mLastAttempt);
  }

  void DropAnswers(AttemptRecord& aAttempt)
  {
    for (TaskRecord& task : aAttempt.mTasks) {
      mState.mAnswerBytes -= task.mAnswer.size();
      task.mAnswer = std::string();
    }
  }

  void operator()(const SubmitJob& aCommand)
  {
    const protocol::JobSpec& spec = aCommand.mSpec;
    const std::uint64_t checksum = SpecChecksum(spec);
    if (!spec.mKey.Value().empty()) {
      const KeyName name(spec.mAccount, spec.mKey);
      const auto it = Image().mKeys.find(name);
      if (it != Image().mKeys.end()) {
        AddEffect(it->second.mSpecChecksum == checksum ? Kind::Joined
                                                       : Kind::KeyReused,
                  aCommand.mJob);
        mEffects.back().mExistingJob = it->second.mJob;
        return;
      }
      if (aCommand.mJob > Image().mLastJob) {
        Image().mKeys[name] = KeyRecord{ aCommand.mJob, checksum, 0 };
      }
    }
    if (aCommand.mJob <= Image().mLastJob) {
      return;
    }
    Image().mLastJob = aCommand.mJob;
    JobRecord& job = Image().mJobs[aCommand.mJob];
    job.mJob = aCommand.mJob;
    job.mSpec = spec;
    job.mSubmittedMs = Image().mClockMs;
    mState.mJobsByAccount[spec.mAccount].insert(job.mJob);
    ++mState.mActiveJobs;
    AddEffect(Kind::Submitted, job.mJob);
    if (aCommand.mStart) {
      Start(job, *aCommand.mStart);
    }
  }

  void operator()(const StartAttempt& aCommand)
  {
    if (JobRecord* job = FindJob(aCommand.mJob)) {
      Start(*job, aCommand.mStart);
    }
  }

  void operator()(const CommitGang& aCommand)
  {
    JobRecord* job = FindJobByAttempt(aCommand.mJob, aCommand.mAttempt);
    if (job != nullptr && ApplyEvent(*job, JobEvent::CommitGang)) {
      job->mAttempt->mMayRun = true;
      AddEffect(Kind::GangCommitted, job->mJob, aCommand.mAttempt);
    }
  }

  void operator()(const AbortAttempt& aCommand)
  {
    JobRecord* job = FindJobByAttempt(aCommand.mJob, aCommand.mAttempt);
    if (job != nullptr && ApplyEvent(*job, JobEvent::Abort)) {
      job->mAttempt->mStopping = true;
      job->mAttempt->mStopReason = aCommand.mReason;
      AddEffect(Kind::AttemptAborted, job->mJob, aCommand.mAttempt);
    }
  }

  void operator()(const StoreAnswerPart& aCommand)
  {
    JobRecord* job =
      FindJobByAttempt(aCommand.mKey.mJob, aCommand.mKey.mAttempt);
    if (job == nullptr || HasEnded(job->mPhase) || !job->mAttempt->mMayRun ||
        aCommand.mKey.mTask.Value() >= job->mAttempt->mTasks.size()) {
      return;
    }
    TaskRecord& task = job->mAttempt->mTasks[aCommand.mKey.mTask.Value()];
    if (task.mComplete || aCommand.mOffset != task.mAnswer.size() ||
        aCommand.mOffset + aCommand.mBytes.size() > aCommand.mTotalBytes) {
      return;
    }
    task.mAnswer += aCommand.mBytes;
    task.mTotalBytes = aCommand.mTotalBytes;
    task.mChecksum = aCommand.mChecksum;
    mState.mAnswerBytes += aCommand.mBytes.size();
    AddEffect(Kind::PartStored, job->mJob, aCommand.mKey.mAttempt);
    mEffects.back().mTask = aCommand.mKey.mTask;
    if (task.mAnswer.size() < task.mTotalBytes) {
      return;
    }
    if (base::Checksum(task.mAnswer) != task.mChecksum) {
      // The agent resends the whole answer.
      mState.mAnswerBytes -= task.mAnswer.size();
      task.mAnswer.clear();
      return;
    }
    task.mComplete = true;
    AddEffect(Kind::TaskCompleted, job->mJob, aCommand.mKey.mAttempt);
    mEffects.back().mTask = aCommand.mKey.mTask;
    CompleteJob(*job);
  }

  void CompleteJob(JobRecord& aJob)
  {
    AttemptRecord& attempt = *aJob.mAttempt;
    const bool complete =
      std::all_of(attempt.mTasks.begin(),
                  attempt.mTasks.end(),
                  [](const TaskRecord& aTask) { return aTask.mComplete; });
    if (!complete || !ApplyEvent(aJob, JobEvent::Complete)) {
      return;
    }
    for (TaskRecord& task : attempt.mTasks) {
      if (aJob.mAnswer.empty()) {
        aJob.mAnswer = std::move(task.mAnswer);
      } else {
        aJob.mAnswer += task.mAnswer;
      }
      task.mAnswer = std::string();
    }
    aJob.mAnswerBytes = aJob.mAnswer.size();
    aJob.mAnswerChecksum = base::Checksum(aJob.mAnswer);
    aJob.mRan = base::Ran::Ran;
    aJob.mReason = base::Reason::None;
    aJob.mMessage.clear();
    const base::AttemptId id = attempt.mAttempt;
    aJob.mAttempt.reset();
    AddEffect(Kind::AttemptEnded, aJob.mJob, id);
    FinishJob(aJob);
  }

  void operator()(const EndAttempt& aCommand)
  {
    JobRecord* job = FindJobByAttempt(aCommand.mJob, aCommand.mAttempt);
    if (job == nullptr) {
      return;
    }
    const bool ended = HasEnded(job->mPhase);
    if (!ended &&
        !ApplyEvent(*job,
                    aCommand.mRequeue ? JobEvent::Requeue : JobEvent::Fail)) {
      return;
    }
    DropAnswers(*job->mAttempt);
    job->mAttempt.reset();
    AddEffect(Kind::AttemptEnded, job->mJob, aCommand.mAttempt);
    if (ended) {
      return; // Cancelled earlier; only its accelerators were still held.
    }
    job->mReason = aCommand.mReason;
    job->mMessage = aCommand.mMessage;
    job->mRan = std::max(job->mRan, aCommand.mRan);
    if (aCommand.mRequeue) {
      job->mRetries += aCommand.mUsesRetry ? 1 : 0;
      job->mNotBeforeMs = aCommand.mNotBeforeMs;
      if (aCommand.mCheckpointed) {
        job->mCheckpoint = aCommand.mAttempt;
      }
      AddEffect(Kind::Requeued, job->mJob, aCommand.mAttempt);
    } else {
      FinishJob(*job);
    }
  }

  void operator()(const FailQueued& aCommand)
  {
    JobRecord* job = FindJob(aCommand.mJob);
    if (job != nullptr && job->mPhase == JobPhase::Queued &&
        ApplyEvent(*job, JobEvent::Fail)) {
      job->mReason = aCommand.mReason;
      job->mMessage = aCommand.mMessage;
      FinishJob(*job);
    }
  }

  void operator()(const CancelJob& aCommand)
  {
    JobRecord* job = FindJob(aCommand.mJob);
    if (job == nullptr || !ApplyEvent(*job, JobEvent::Cancel)) {
      return;
    }
    if (job->mAttempt) {
      if (job->mAttempt->mMayRun) {
        job->mRan = std::max(job->mRan, base::Ran::MayHaveRun);
      }
      DropAnswers(*job->mAttempt);
      job->mAttempt->mStopping = true;
      job->mAttempt->mStopReason = base::Reason::Cancelled;
      AddEffect(Kind::AttemptAborted, job->mJob, job->mAttempt->mAttempt);
    }
    job->mReason = base::Reason::Cancelled;
    job->mMessage = "cancelled by its caller";
    FinishJob(*job);
  }

  void operator()(const AcknowledgeJob& aCommand)
  {
    JobRecord* job = FindJob(aCommand.mJob);
    if (job != nullptr && HasEnded(job->mPhase)) {
      job->mAcknowledged = true;
      mState.mAnswerBytes -= job->mAnswer.size();
      job->mAnswer = std::string();
      mState.mAcknowledgedJobs.insert(job->mJob);
    }
    AddEffect(Kind::Acknowledged, aCommand.mJob);
  }

  void Drop(JobRecord& aJob)
  {
    const base::JobId id = aJob.mJob;
    mState.mAnswerBytes -= aJob.mAnswer.size();
    mState.mEndedJobsByTime.erase({ aJob.mEndedMs, id });
    mState.mAcknowledgedJobs.erase(id);
    const auto account = mState.mJobsByAccount.find(aJob.mSpec.mAccount);
    account->second.erase(id);
    if (account->second.empty()) {
      mState.mJobsByAccount.erase(account);
    }
    const KeyName name(aJob.mSpec.mAccount, aJob.mSpec.mKey);
    const auto key = Image().mKeys.find(name);
    if (key != Image().mKeys.end()) {
      // 0 means that the job is present, so the clock's 0 is stored as 1.
      key->second.mDroppedMs = std::max<std::uint64_t>(Image().mClockMs, 1);
      mState.mDroppedKeysByTime.emplace(key->second.mDroppedMs, name);
    }
    Image().mJobs.erase(id);
    AddEffect(Kind::Dropped, id);
  }

  void operator()(const Expire& aCommand)
  {
    const std::uint64_t now = Image().mClockMs;
    std::uint32_t left = aCommand.mLimit;
    // A job is kept while its attempt still holds accelerators.
    for (auto it = mState.mAcknowledgedJobs.begin();
         it != mState.mAcknowledgedJobs.end() && left > 0;
         --left) {
      JobRecord* job = FindJob(*it);
      ++it;
      if (!job->mAttempt) {
        Drop(*job);
      }
    }
    for (auto it = mState.mEndedJobsByTime.begin();
         it != mState.mEndedJobsByTime.end() && left > 0 &&
         it->first + aCommand.mRetentionMs <= now;
         --left) {
      JobRecord* job = FindJob(it->second);
      ++it;
      if (!job->mAttempt) {
        Drop(*job);
      }
    }
    for (auto it = mState.mDroppedKeysByTime.begin();
         it != mState.mDroppedKeysByTime.end() && left > 0 &&
         it->first + aCommand.mKeyRetentionMs <= now;
         --left) {
      Image().mKeys.erase(it->second);
      it = mState.mDroppedKeysByTime.erase(it);
    }
  }

  void operator()(const workloads::Change& aChange)
  {
    Image().mWorkloads.Apply(aChange);
  }

  void operator()(const ChangeConfiguration& aCommand)
  {
    const protocol::ChangeRequest& request = aCommand.mRequest;
    AddEffect(Kind::ChangeDecided, {});
    mEffects.back().mChange = request.mChangeId;
    if (Image().mOutcomes.count(request.mChangeId) > 0) {
      return; // A resend gets the first outcome.
    }
    protocol::ChangeOutcome outcome;
    outcome.mVersion = Image().mConfiguration.mVersion;
    if (request.mBaseVersion != outcome.mVersion) {
      outcome.mReason = base::Reason::VersionConflict;
      outcome.mWinningChange = Image().mLastChange;
      outcome.mMessage =
        "base version " + std::to_string(request.mBaseVersion.Value()) +
        " is not the current version " +
        std::to_string(outcome.mVersion.Value()) + ", made by change \"" +
        outcome.mWinningChange.Value() + "\"";
    } else if (aCommand.mRefusal != base::Reason::None) {
      outcome.mReason = aCommand.mRefusal;
      outcome.mMessage = aCommand.mMessage;
    } else if (auto next = ApplyEdit(Image().mConfiguration, request.mEdit)) {
      outcome.mAccepted = true;
      outcome.mVersion = next->mVersion;
      Image().mConfiguration = std::move(*next);
      Image().mLastChange = request.mChangeId;
    } else {
      outcome.mReason = next.LastFailure().mReason;
      outcome.mMessage = next.LastFailure().mMessage;
    }
    Image().mOutcomes[request.mChangeId] = std::move(outcome);
    Image().mOutcomeOrder.push_back(request.mChangeId);
    if (Image().mOutcomeOrder.size() > kMaxChangeOutcomes) {
      Image().mOutcomes.erase(Image().mOutcomeOrder.front());
      Image().mOutcomeOrder.pop_front();
    }
  }
};

std::vector<Effect>
JobState::Apply(const Batch& aBatch)
{
  Applier applier{ *this, {} };
  mImage.mClockMs = std::max(mImage.mClockMs, aBatch.mClockMs);
  for (const Command& command : aBatch.mCommands) {
    std::visit(applier, command);
  }
  return std::move(applier.mEffects);
}

} // namespace dogwooddrum::coordination::jobs
