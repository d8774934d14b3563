// Implements the callers and operators of WholeSystem and its final checks.
#include "tests/support/WholeSystem.h"

#include "dogwooddrum/base/Checksum.h"

#include <algorithm>

namespace dogwooddrum::support {

namespace {

constexpr base::Duration kResend = base::Milliseconds(700);

bool
HasEnded(const protocol::JobView& aView)
{
  return aView.mState >= protocol::JobState::Finished;
}

} // namespace

std::uint64_t
WholeSystem::SendRequest(const protocol::ClientRequestBody& aBody)
{
  protocol::ClientRequest request;
  request.mId = base::RequestId(++mLastRequest);
  request.mBody = aBody;
  mCallerLink->Send([this, request](control::Coordinator& aCoordinator,
                                    control::SessionId aSession) {
    aCoordinator.OnClientRequest(aSession, request, Now());
  });
  return mLastRequest;
}

void
WholeSystem::Configure()
{
  protocol::ClientAccount account;
  account.mName = base::AccountId("yard");
  account.mGuarantees.push_back({ 4, 4, protocol::Adjacency::Worker });
  protocol::Profile profile;
  profile.mName = base::ProfileId("batch");
  profile.mRetryBudget = 20;
  for (const protocol::ConfigurationEdit& edit :
       { protocol::ConfigurationEdit(account),
         protocol::ConfigurationEdit(profile) }) {
    OperatorChange change;
    change.mRequest.mChangeId =
      base::ChangeId("setup-" + std::to_string(mChanges.size()));
    change.mRequest.mBaseVersion = mSeenVersion;
    change.mRequest.mEdit = edit;
    mChanges.push_back(change);
    mCluster.GetSimulation().RunUntil(Now() + base::Milliseconds(3000));
    const auto& outcome = mChanges.back().mOutcome;
    if (!outcome || !outcome->mAccepted) {
      RecordViolation("setup: " + (outcome ? outcome->mMessage : "no outcome"));
    }
  }
}

void
WholeSystem::ChangePeriodically(base::Duration aPeriod)
{
  if (!mFaultsEnabled) {
    return;
  }
  // Two operators submit changes with the same base version.
  for (int i = 0; i < 2; ++i) {
    OperatorChange change;
    const std::string name = "change-" + std::to_string(mChanges.size());
    protocol::Profile profile;
    profile.mName = base::ProfileId(name);
    change.mRequest.mChangeId = base::ChangeId(name);
    change.mRequest.mBaseVersion = mSeenVersion;
    change.mRequest.mEdit = profile;
    mChanges.push_back(change);
  }
  mCluster.GetSimulation().After(
    aPeriod, [this, aPeriod] { ChangePeriodically(aPeriod); });
}

void
WholeSystem::OnChangeReply(std::size_t aChange,
                           const protocol::ClientReplyBody& aBody)
{
  const auto* outcome = std::get_if<protocol::ChangeOutcome>(&aBody);
  if (outcome == nullptr) {
    return; // refused; Tick sends the change again
  }
  auto& known = mChanges[aChange].mOutcome;
  if (known && known->mAccepted != outcome->mAccepted) {
    RecordViolation("two outcomes of " +
                    mChanges[aChange].mRequest.mChangeId.Value());
  }
  known = *outcome;
  mSeenVersion = std::max(mSeenVersion, outcome->mVersion);
}

void
WholeSystem::SubmitPeriodically(base::Duration aPeriod)
{
  if (!mFaultsEnabled) {
    return;
  }
  CallerJob job;
  const std::string name = "job-" + std::to_string(mJobs.size());
  job.mSpec.mAccount = base::AccountId("yard");
  job.mSpec.mProfile = base::ProfileId("batch");
  job.mSpec.mKey = base::IdempotencyKey(name);
  job.mSpec.mPayload = name;
  job.mSpec.mRepeatable = Random()() % 2 == 0;
  if (Random()() % 4 == 0) {
    job.mSpec.mShape.mTasks = 2 + Random()() % 3;
    job.mSpec.mShape.mAcceleratorsPerTask = 1 + Random()() % 3;
  }
  job.mShouldCancel = Random()() % 8 == 0;
  mJobs.push_back(job);
  mCluster.GetSimulation().After(
    aPeriod, [this, aPeriod] { SubmitPeriodically(aPeriod); });
}

void
WholeSystem::TickJob(std::size_t aJob)
{
  CallerJob& job = mJobs[aJob];
  if (job.mChecked || job.mRefused || Now() < job.mNextRequestTime) {
    return;
  }
  job.mNextRequestTime = Now() + kResend;
  protocol::ClientRequestBody body;
  if (job.mJob == base::JobId()) {
    body = protocol::SubmitRequest{ job.mSpec };
  } else if (!job.mFinalView && job.mShouldCancel && Random()() % 2 == 0) {
    body = protocol::CancelRequest{ job.mJob };
  } else if (!job.mFinalView) {
    body = protocol::PollRequest{ job.mJob, 0 };
  } else {
    body = protocol::AnswerRequest{ job.mJob, job.mAnswer.size() };
  }
  mReplies[base::RequestId(SendRequest(body))] =
    [this, aJob](const auto& aBody) { OnJobReply(aJob, aBody); };
}

void
WholeSystem::OnJobReply(std::size_t aJob,
                        const protocol::ClientReplyBody& aBody)
{
  CallerJob& job = mJobs[aJob];
  const std::string name = job.mSpec.mPayload;
  if (const auto* refusal = std::get_if<protocol::Refusal>(&aBody)) {
    if (refusal->mReason == base::Reason::UnknownJob) {
      RecordViolation("acknowledged " + name + " is unknown");
      job.mRefused = true;
    } else if (job.mJob == base::JobId() && !refusal->mRetryable &&
               refusal->mReason != base::Reason::UnknownAccount &&
               refusal->mReason != base::Reason::UnknownProfile) {
      mCluster.AddToHistory(name + " is refused: " + refusal->mMessage);
      job.mRefused = true;
    }
    return;
  }
  if (const auto* view = std::get_if<protocol::JobView>(&aBody)) {
    if (job.mJob != base::JobId() && view->mJob != job.mJob) {
      RecordViolation(name + " has two ids");
    }
    job.mJob = view->mJob;
    job.mView = *view;
    if (HasEnded(*view)) {
      if (job.mFinalView && job.mFinalView->mState != view->mState) {
        RecordViolation(name + " ends twice");
      }
      job.mFinalView = *view;
      job.mChecked = view->mState != protocol::JobState::Finished;
    }
    job.mNextRequestTime = Now() + base::Milliseconds(100);
    return;
  }
  const auto* part = std::get_if<protocol::AnswerPart>(&aBody);
  if (part == nullptr || job.mChecked || part->mOffset != job.mAnswer.size()) {
    return;
  }
  job.mAnswer += part->mBytes;
  job.mNextRequestTime = Now();
  if (job.mAnswer.size() >= part->mTotalBytes) {
    job.mChecked = true;
    if (job.mAnswer != ExpectedAnswer(job.mSpec) ||
        base::Checksum(job.mAnswer) != part->mChecksum) {
      RecordViolation("wrong answer of " + name);
    }
  }
}

bool
WholeSystem::IsSettled() const
{
  return std::all_of(mJobs.begin(),
                     mJobs.end(),
                     [](const CallerJob& aJob) {
                       return aJob.mChecked || aJob.mRefused;
                     }) &&
         std::all_of(
           mChanges.begin(), mChanges.end(), [](const OperatorChange& aChange) {
             return aChange.mOutcome.has_value();
           });
}

void
WholeSystem::CheckJob(const CallerJob& aJob)
{
  const std::string& name = aJob.mSpec.mPayload;
  ++mCounts.mJobs;
  if (aJob.mRefused) {
    return;
  }
  if (!aJob.mChecked) {
    RecordViolation(name + (aJob.mJob == base::JobId()
                              ? " is never accepted"
                              : std::string(" never ends: ") +
                                  ToString(aJob.mView.mState) + ", " +
                                  aJob.mView.mMessage));
    return;
  }
  const bool finished = aJob.mFinalView->mState == protocol::JobState::Finished;
  mCounts.mFinished += finished ? 1 : 0;
  if (!finished && aJob.mFinalView->mRan == base::Ran::NotRun &&
      mStartedJobs.count(aJob.mJob) > 0) {
    ++mCounts.mFalseNotRun;
    RecordViolation(name + " is told not run, but a target saw it");
  }
  for (std::uint32_t i = 0; i < aJob.mSpec.mShape.mTasks; ++i) {
    const auto it = mTaskStarts.find({ aJob.mJob, base::TaskIndex(i) });
    if (!aJob.mSpec.mRepeatable && it != mTaskStarts.end() && it->second > 1) {
      ++mCounts.mDoubled;
      RecordViolation(name + " is not repeatable and started " +
                      std::to_string(it->second) + " times");
    }
  }
}

void
WholeSystem::CheckConfiguration()
{
  ControlNode* leader = mCluster.Leader();
  if (leader == nullptr) {
    RecordViolation("no leader at the end");
    return;
  }
  const auto& configuration = static_cast<CoordinatorHost&>(leader->App())
                                .GetCoordinator()
                                .Configuration();
  std::set<base::ConfigurationVersion> versions;
  for (const OperatorChange& change : mChanges) {
    if (!change.mOutcome || !change.mOutcome->mAccepted) {
      continue;
    }
    ++mCounts.mChanges;
    const std::string& name = change.mRequest.mChangeId.Value();
    if (!versions.insert(change.mOutcome->mVersion).second) {
      RecordViolation("two changes have the version of " + name);
    }
    const auto* profile =
      std::get_if<protocol::Profile>(&change.mRequest.mEdit);
    if (profile != nullptr &&
        std::none_of(configuration.mProfiles.begin(),
                     configuration.mProfiles.end(),
                     [&](const protocol::Profile& aOther) {
                       return aOther.mName == profile->mName;
                     })) {
      RecordViolation("accepted " + name + " disappeared");
    }
  }
}

void
WholeSystem::CheckEnd()
{
  for (const CallerJob& job : mJobs) {
    CheckJob(job);
  }
  CheckConfiguration();
}

} // namespace dogwooddrum::support
