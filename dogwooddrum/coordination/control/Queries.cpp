#include "dogwooddrum/coordination/control/Requests.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using base::Reason;
using protocol::JobState;

namespace {

/** Largest part of an answer in one reply. */
constexpr std::size_t kMaxReplyAnswerBytes = 256U << 10;
/** Largest number of jobs in one list reply. */
constexpr std::uint32_t kMaxListedJobs = 1000;

/** Answers a submission whose idempotency key is known. Returns false if the
 * key is not known. */
bool
JoinByKey(CoordinatorCore& aCore,
          const Caller& aCaller,
          const protocol::SubmitRequest& aRequest)
{
  const jobs::KeyRecord* key =
    aCore.mState.FindKey({ aRequest.mSpec.mAccount, aRequest.mSpec.mKey });
  if (key == nullptr) {
    return false;
  }
  if (key->mSpecChecksum != jobs::SpecChecksum(aRequest.mSpec)) {
    RefuseKeyReused(aCore, aCaller, aRequest.mSpec.mKey, key->mJob);
  } else if (const jobs::JobRecord* job = aCore.mState.Find(key->mJob)) {
    Reply(aCore, aCaller, ViewOf(aCore, *job, false));
  } else {
    RefuseUnknownJob(aCore, aCaller, key->mJob);
  }
  return true;
}

struct QueryHandler
{
  CoordinatorCore& mCore;
  const Caller& mCaller;

  const jobs::JobRecord* FindOrRefuse(base::JobId aJob) const
  {
    const jobs::JobRecord* job = mCore.mState.Find(aJob);
    if (job == nullptr) {
      RefuseUnknownJob(mCore, mCaller, aJob);
    }
    return job;
  }

  void operator()(const protocol::SubmitRequest& aRequest) const
  {
    if (JoinByKey(mCore, mCaller, aRequest)) {
      return;
    }
    const base::Failure refused = CheckAllowed(mCore, aRequest.mSpec);
    if (refused.mReason != Reason::None) {
      Refuse(mCore, mCaller, refused.mReason, refused.mMessage);
      return;
    }
    OnRequest(mCore, mCaller, aRequest); // The submission has become allowed.
  }

  void operator()(const protocol::PollRequest& aRequest) const
  {
    if (const auto* job = FindOrRefuse(aRequest.mJob)) {
      Reply(mCore, mCaller, ViewOf(mCore, *job, true));
    }
  }

  void operator()(const protocol::AnswerRequest& aRequest) const
  {
    const jobs::JobRecord* job = FindOrRefuse(aRequest.mJob);
    if (job == nullptr) {
      return;
    }
    if (job->mPhase != jobs::JobPhase::Finished) {
      Reply(mCore, mCaller, ViewOf(mCore, *job, true));
      return;
    }
    if (job->mAcknowledged) {
      Refuse(mCore,
             mCaller,
             Reason::AnswerExpired,
             "the answer of " + DescribeJob(aRequest.mJob) +
               " was acknowledged and dropped");
      return;
    }
    if (aRequest.mOffset > job->mAnswer.size()) {
      Refuse(mCore,
             mCaller,
             Reason::InvalidRequest,
             "offset " + std::to_string(aRequest.mOffset) +
               " is beyond the answer's " +
               std::to_string(job->mAnswer.size()) + " bytes");
      return;
    }
    protocol::AnswerPart part;
    part.mOffset = aRequest.mOffset;
    part.mTotalBytes = job->mAnswer.size();
    part.mChecksum = job->mAnswerChecksum;
    part.mBytes = job->mAnswer.substr(aRequest.mOffset, kMaxReplyAnswerBytes);
    Reply(mCore, mCaller, std::move(part));
  }

  void operator()(const protocol::CancelRequest& aRequest) const
  {
    if (FindOrRefuse(aRequest.mJob) != nullptr) {
      OnRequest(mCore, mCaller, aRequest);
    }
  }

  void operator()(const protocol::AcknowledgeRequest& aRequest) const
  {
    const jobs::JobRecord* job = mCore.mState.Find(aRequest.mJob);
    if (job == nullptr ? aRequest.mJob <= mCore.mState.LastJob()
                       : job->mAcknowledged) {
      Reply(mCore, mCaller, protocol::Done{}); // It was acknowledged before.
    } else if (job == nullptr) {
      RefuseUnknownJob(mCore, mCaller, aRequest.mJob);
    } else if (jobs::HasEnded(job->mPhase)) {
      OnRequest(mCore, mCaller, aRequest);
    } else {
      Reply(mCore, mCaller, ViewOf(mCore, *job, false));
    }
  }

  void operator()(const protocol::ListRequest& aRequest) const
  {
    protocol::JobList list;
    const std::uint32_t limit = std::min(aRequest.mLimit, kMaxListedJobs);
    const auto add = [&](const jobs::JobRecord& aJob) {
      list.mJobs.push_back(ViewOf(mCore, aJob, false));
    };
    if (aRequest.mAccount.Value().empty()) {
      const auto& jobs = mCore.mState.Jobs();
      for (auto it = jobs.upper_bound(aRequest.mAfter);
           it != jobs.end() && list.mJobs.size() < limit;
           ++it) {
        add(it->second);
      }
    } else if (const auto* ids = mCore.mState.JobsOf(aRequest.mAccount)) {
      for (auto it = ids->upper_bound(aRequest.mAfter);
           it != ids->end() && list.mJobs.size() < limit;
           ++it) {
        add(*mCore.mState.Find(*it));
      }
    }
    Reply(mCore, mCaller, std::move(list));
  }

  void operator()(const protocol::ShowConfigurationRequest&) const
  {
    Reply(mCore, mCaller, mCore.mState.Configuration());
  }

  void operator()(const protocol::StatusRequest&) const
  {
    Reply(mCore, mCaller, protocol::Report{ StatusJson(mCore) });
  }

  void operator()(const protocol::ExplainRequest& aRequest) const
  {
    if (const auto* job = FindOrRefuse(aRequest.mJob)) {
      Reply(mCore, mCaller, protocol::Report{ ExplainJson(mCore, *job) });
    }
  }

  /** Changes are decided by the log and need no read. */
  template<typename Request>
  void operator()(const Request&) const
  {
  }
};

} // namespace

std::string
DescribeJob(base::JobId aJob)
{
  return "job " + std::to_string(aJob.Value());
}

base::Failure
CheckAllowed(const CoordinatorCore& aCore, const protocol::JobSpec& aSpec)
{
  const protocol::Configuration& configuration = aCore.mState.Configuration();
  if (jobs::FindAccount(configuration, aSpec.mAccount) == nullptr) {
    return { Reason::UnknownAccount,
             "account \"" + aSpec.mAccount.Value() + "\" does not exist" };
  }
  if (jobs::FindProfile(configuration, aSpec.mProfile) == nullptr) {
    return { Reason::UnknownProfile,
             "profile \"" + aSpec.mProfile.Value() + "\" does not exist" };
  }
  return {};
}

void
RefuseKeyReused(CoordinatorCore& aCore,
                const Caller& aCaller,
                const base::IdempotencyKey& aKey,
                base::JobId aJob)
{
  Refuse(aCore,
         aCaller,
         Reason::KeyReused,
         "key \"" + aKey.Value() + "\" was used with another request by " +
           DescribeJob(aJob));
}

void
RefuseUnknownJob(CoordinatorCore& aCore,
                 const Caller& aCaller,
                 base::JobId aJob)
{
  protocol::Refusal refusal;
  refusal.mReason = Reason::UnknownJob;
  const bool dropped = aJob.Value() > 0 && aJob <= aCore.mState.LastJob();
  refusal.mRan = dropped ? base::Ran::MayHaveRun : base::Ran::NotRun;
  refusal.mMessage = DescribeJob(aJob) + (dropped ? " was dropped after its end"
                                                  : " does not exist");
  Refuse(aCore, aCaller, std::move(refusal));
}

void
AnswerQuery(CoordinatorCore& aCore, const DeferredQuery& aQuery)
{
  std::visit(QueryHandler{ aCore, aQuery.mCaller }, aQuery.mBody);
}

void
AnswerPoll(CoordinatorCore& aCore, const DeferredPoll& aQuery)
{
  const protocol::Configuration& configuration = aCore.mState.Configuration();
  protocol::FreshnessReply reply;
  reply.mSequence = aQuery.mPoll.mSequence;
  reply.mTerm = aCore.mTerm;
  reply.mVersion = configuration.mVersion;
  if (aQuery.mPoll.mHeldVersion < configuration.mVersion) {
    reply.mBody = configuration;
  }
  Send(aCore, aQuery.mSession, std::move(reply));
}

protocol::JobView
ViewOf(CoordinatorCore& aCore, const jobs::JobRecord& aJob, bool aExplain)
{
  protocol::JobView view;
  view.mJob = aJob.mJob;
  view.mAccount = aJob.mSpec.mAccount;
  view.mProfile = aJob.mSpec.mProfile;
  view.mKey = aJob.mSpec.mKey;
  view.mReason = aJob.mReason;
  view.mRan = aJob.mRan;
  view.mMessage = aJob.mMessage;
  view.mAttempt = aJob.mLastAttempt;
  switch (aJob.mPhase) {
    case jobs::JobPhase::Queued:
      view.mState = JobState::Queued;
      if (aExplain) {
        const auto wait = aCore.mPlacer.Explain(aJob.mJob, aCore.mNow);
        view.mReason = wait.mReason;
        view.mMessage = wait.mMessage;
      }
      break;
    case jobs::JobPhase::Preparing:
      view.mState = JobState::Starting;
      break;
    case jobs::JobPhase::Active:
    case jobs::JobPhase::Stopping: {
      const auto it = aCore.mAttempts.find(aJob.mJob);
      const bool running =
        it != aCore.mAttempts.end() && it->second.mHasStarted;
      view.mState = running ? JobState::Running : JobState::Starting;
      break;
    }
    case jobs::JobPhase::Finished:
      view.mState = JobState::Finished;
      view.mAnswerBytes = aJob.mAnswerBytes;
      view.mAnswerChecksum = aJob.mAnswerChecksum;
      break;
    case jobs::JobPhase::Cancelled:
      view.mState = JobState::Cancelled;
      break;
    default:
      view.mState = JobState::Failed;
      break;
  }
  return view;
}

} // namespace dogwooddrum::coordination::control
