#include "dogwooddrum/coordination/control/Requests.h"

#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Retries.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using base::Reason;

namespace {

/** Longest time for which a poll waits for a job's end. */
constexpr std::uint64_t kMaxWaitMs = 60000;
/** Largest number of cancellations proposed at a time, so that many of them do
 * not delay other work. kCancelInterval bounds their rate as well, because a
 * host may take the output after every event. */
constexpr std::size_t kMaxCancelsAtOnce = 256;
constexpr base::Duration kCancelInterval = base::Milliseconds(5);

void
QueueForConfirmedRead(CoordinatorCore& aCore,
                      const Caller& aCaller,
                      const protocol::ClientRequestBody& aBody)
{
  aCore.mNextReadBatch.emplace_back(DeferredQuery{ aCaller, aBody });
}

std::uint64_t
AddWaiter(CoordinatorCore& aCore, Waiter aWaiter)
{
  const std::uint64_t id = ++aCore.mLastWaiter;
  aCore.mWaitersOfJob[aWaiter.mJob].insert(id);
  aCore.mWaitersOfSession[aWaiter.mCaller.mSession].insert(id);
  aCore.mWaiters.emplace(id, std::move(aWaiter));
  return id;
}

template<typename Index, typename Key>
void
EraseWaiter(Index& aIndex, const Key& aKey, std::uint64_t aWaiter)
{
  const auto it = aIndex.find(aKey);
  if (it != aIndex.end()) {
    it->second.erase(aWaiter);
    if (it->second.empty()) {
      aIndex.erase(it);
    }
  }
}

std::optional<Waiter>
TakeWaiter(CoordinatorCore& aCore, std::uint64_t aWaiter)
{
  const auto it = aCore.mWaiters.find(aWaiter);
  if (it == aCore.mWaiters.end()) {
    return std::nullopt;
  }
  Waiter waiter = std::move(it->second);
  aCore.mWaiters.erase(it);
  EraseWaiter(aCore.mWaitersOfJob, waiter.mJob, aWaiter);
  EraseWaiter(aCore.mWaitersOfSession, waiter.mCaller.mSession, aWaiter);
  return waiter;
}

/** Returns why a submission is invalid in any state; the reason is None if it
 * is valid. */
base::Failure
CheckSpec(const protocol::JobSpec& aSpec)
{
  const auto& shape = aSpec.mShape;
  if (aSpec.mPayload.size() > protocol::kMaxJobPayloadBytes) {
    return { Reason::PayloadTooLarge,
             "payload of " + std::to_string(aSpec.mPayload.size()) +
               " bytes, at most " +
               std::to_string(protocol::kMaxJobPayloadBytes) + " are allowed" };
  }
  if (shape.mTasks == 0 || shape.mTasks > protocol::kMaxGangTasks) {
    return { Reason::InvalidRequest,
             std::to_string(shape.mTasks) + " tasks, 1 to " +
               std::to_string(protocol::kMaxGangTasks) + " are allowed" };
  }
  if (aSpec.mKey.Value().size() > protocol::kMaxNameBytes) {
    return { Reason::InvalidRequest,
             "key of " + std::to_string(aSpec.mKey.Value().size()) +
               " bytes, at most " + std::to_string(protocol::kMaxNameBytes) +
               " are allowed" };
  }
  return {};
}

base::Failure
CheckCapacity(const CoordinatorCore& aCore)
{
  const std::uint64_t jobs =
    aCore.mState.ActiveJobs() + aCore.mPendingSubmits.size();
  if (jobs >= aCore.mOptions.mMaxQueuedJobs) {
    return { Reason::QueueFull,
             std::to_string(jobs) + " jobs are active, at most " +
               std::to_string(aCore.mOptions.mMaxQueuedJobs) + " are allowed" };
  }
  const std::uint64_t bytes =
    aCore.mState.AnswerBytes() + aCore.mReservedAnswerBytes;
  if (bytes >= aCore.mOptions.mMaxStoredAnswerBytes) {
    return { Reason::LoadShed,
             std::to_string(bytes) +
               " bytes of answers wait for acknowledgement, at most " +
               std::to_string(aCore.mOptions.mMaxStoredAnswerBytes) +
               " are stored" };
  }
  return {};
}

struct RequestHandler
{
  CoordinatorCore& mCore;
  const Caller& mCaller;

  void operator()(const protocol::SubmitRequest& aRequest) const
  {
    const protocol::JobSpec& spec = aRequest.mSpec;
    const base::Failure malformed = CheckSpec(spec);
    if (malformed.mReason != Reason::None) {
      Refuse(mCore, mCaller, malformed.mReason, malformed.mMessage);
      return;
    }
    const jobs::KeyName name(spec.mAccount, spec.mKey);
    const bool keyed = !spec.mKey.Value().empty();
    const auto pending = mCore.mPendingKeys.find(name);
    if (keyed && pending != mCore.mPendingKeys.end()) {
      const protocol::JobSpec& first =
        mCore.mPendingSubmits.at(pending->second);
      if (jobs::SpecChecksum(first) != jobs::SpecChecksum(spec)) {
        RefuseKeyReused(mCore, mCaller, spec.mKey, pending->second);
      } else {
        AddWaiter(mCore, { mCaller, aRequest, pending->second });
      }
      return;
    }
    if ((keyed && mCore.mState.FindKey(name) != nullptr) ||
        CheckAllowed(mCore, spec).mReason != Reason::None) {
      QueueForConfirmedRead(mCore, mCaller, aRequest);
      return;
    }
    const base::Failure full = CheckCapacity(mCore);
    if (full.mReason != Reason::None) {
      Refuse(mCore, mCaller, full.mReason, full.mMessage);
      return;
    }
    AcceptSubmission(aRequest, name, keyed);
  }

  void AcceptSubmission(const protocol::SubmitRequest& aRequest,
                        const jobs::KeyName& aName,
                        bool aKeyed) const
  {
    const base::JobId id(mCore.mLastJob.Value() + 1);
    mCore.mLastJob = id;
    if (aKeyed) {
      mCore.mPendingKeys[aName] = id;
    }
    mCore.mPendingSubmits[id] = aRequest.mSpec;
    AddWaiter(mCore, { mCaller, protocol::SubmitRequest{}, id });
    CountSubmission(mCore);
    mCore.mUnsentSubmits[id] = mCore.mCommands.size();
    Propose(mCore, jobs::SubmitJob{ id, aRequest.mSpec, std::nullopt });
    mCore.mPlacer.Submit(
      MakePlacementRequest(mCore, id, aRequest.mSpec, mCore.mNow), mCore.mNow);
    mCore.mNeedsPlacement = true;
  }

  void operator()(const protocol::PollRequest& aRequest) const
  {
    const jobs::JobRecord* job = mCore.mState.Find(aRequest.mJob);
    if (job != nullptr && jobs::HasEnded(job->mPhase)) {
      // The end of a job is final, so it needs no confirmed read.
      Reply(mCore, mCaller, ViewOf(mCore, *job, false));
    } else if (job != nullptr && aRequest.mWaitMs > 0) {
      Timer timer;
      timer.mKind = Timer::Kind::WaiterDeadline;
      timer.mId = AddWaiter(mCore, { mCaller, aRequest, aRequest.mJob });
      AddTimer(mCore,
               mCore.mNow + base::Milliseconds(static_cast<std::int64_t>(
                              std::min(aRequest.mWaitMs, kMaxWaitMs))),
               timer);
    } else {
      QueueForConfirmedRead(mCore, mCaller, aRequest);
    }
  }

  void operator()(const protocol::CancelRequest& aRequest) const
  {
    const jobs::JobRecord* job = mCore.mState.Find(aRequest.mJob);
    if (job == nullptr) {
      QueueForConfirmedRead(mCore, mCaller, aRequest);
    } else if (jobs::HasEnded(job->mPhase)) {
      Reply(mCore, mCaller, ViewOf(mCore, *job, false));
    } else {
      AddWaiter(mCore, { mCaller, aRequest, aRequest.mJob });
      if (mCore.mPendingCancels.insert(aRequest.mJob).second) {
        mCore.mQueuedCancels.push_back(aRequest.mJob);
      }
    }
  }

  void operator()(const protocol::AcknowledgeRequest& aRequest) const
  {
    const jobs::JobRecord* job = mCore.mState.Find(aRequest.mJob);
    if (job == nullptr || job->mAcknowledged || !jobs::HasEnded(job->mPhase)) {
      QueueForConfirmedRead(mCore, mCaller, aRequest);
      return;
    }
    AddWaiter(mCore, { mCaller, aRequest, aRequest.mJob });
    Propose(mCore, jobs::AcknowledgeJob{ aRequest.mJob });
  }

  void operator()(const protocol::ChangeRequest& aRequest) const
  {
    OnChangeRequest(mCore, mCaller, aRequest);
  }

  void operator()(const protocol::MemberRequest& aRequest) const
  {
    OnMemberRequest(mCore, mCaller, aRequest);
  }

  /** All other requests only read. */
  template<typename Request>
  void operator()(const Request& aRequest) const
  {
    QueueForConfirmedRead(mCore, mCaller, aRequest);
  }
};

} // namespace

void
OnRequest(CoordinatorCore& aCore,
          const Caller& aCaller,
          const protocol::ClientRequestBody& aBody)
{
  std::visit(RequestHandler{ aCore, aCaller }, aBody);
}

void
OnSubmitted(CoordinatorCore& aCore, const jobs::Effect& aEffect)
{
  const auto it = aCore.mPendingSubmits.find(aEffect.mJob);
  if (it == aCore.mPendingSubmits.end()) {
    return;
  }
  const protocol::JobSpec spec = std::move(it->second);
  aCore.mPendingSubmits.erase(it);
  aCore.mPendingKeys.erase({ spec.mAccount, spec.mKey });
  const bool accepted = aEffect.mKind == jobs::Effect::Kind::Submitted;
  if (!accepted) {
    aCore.mPlacer.Remove(aEffect.mJob, aCore.mNow);
  }
  const auto waiters = aCore.mWaitersOfJob.find(aEffect.mJob);
  if (waiters == aCore.mWaitersOfJob.end()) {
    return;
  }
  const std::set<std::uint64_t> ids = waiters->second;
  for (const std::uint64_t id : ids) {
    const auto waiter = TakeWaiter(aCore, id);
    const jobs::JobRecord* job =
      aCore.mState.Find(accepted ? aEffect.mJob : aEffect.mExistingJob);
    if (aEffect.mKind == jobs::Effect::Kind::KeyReused) {
      RefuseKeyReused(aCore, waiter->mCaller, spec.mKey, aEffect.mExistingJob);
    } else if (job != nullptr) {
      Reply(aCore, waiter->mCaller, ViewOf(aCore, *job, false));
    } else {
      RefuseUnknownJob(aCore, waiter->mCaller, aEffect.mExistingJob);
    }
  }
}

void
AnswerWaiters(CoordinatorCore& aCore, base::JobId aJob)
{
  const auto it = aCore.mWaitersOfJob.find(aJob);
  if (it == aCore.mWaitersOfJob.end()) {
    return;
  }
  const jobs::JobRecord* job = aCore.mState.Find(aJob);
  const std::set<std::uint64_t> ids = it->second;
  for (const std::uint64_t id : ids) {
    const auto waiter = TakeWaiter(aCore, id);
    if (std::holds_alternative<protocol::AcknowledgeRequest>(waiter->mBody)) {
      Reply(aCore, waiter->mCaller, protocol::Done{});
    } else if (job != nullptr) {
      Reply(aCore, waiter->mCaller, ViewOf(aCore, *job, false));
    } else {
      RefuseUnknownJob(aCore, waiter->mCaller, aJob);
    }
  }
}

void
ExpireWaiter(CoordinatorCore& aCore, std::uint64_t aWaiter)
{
  if (const auto waiter = TakeWaiter(aCore, aWaiter)) {
    QueueForConfirmedRead(
      aCore, waiter->mCaller, protocol::PollRequest{ waiter->mJob });
  }
}

void
CloseClientSession(CoordinatorCore& aCore, SessionId aSession)
{
  const auto it = aCore.mWaitersOfSession.find(aSession);
  if (it == aCore.mWaitersOfSession.end()) {
    return;
  }
  const std::set<std::uint64_t> ids = it->second;
  for (const std::uint64_t id : ids) {
    TakeWaiter(aCore, id);
  }
}

void
ProposeCancels(CoordinatorCore& aCore)
{
  if (aCore.mNow < aCore.mNextCancelsAt) {
    return;
  }
  std::size_t count = 0;
  for (; count < kMaxCancelsAtOnce && !aCore.mQueuedCancels.empty(); ++count) {
    Propose(aCore, jobs::CancelJob{ aCore.mQueuedCancels.front() });
    aCore.mQueuedCancels.pop_front();
  }
  if (count == kMaxCancelsAtOnce) {
    aCore.mNextCancelsAt = aCore.mNow + kCancelInterval;
  }
}

} // namespace dogwooddrum::coordination::control
