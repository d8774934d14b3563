#include "dogwooddrum/daemon/RequestTable.h"

#include "dogwooddrum/coordination/admission/WaitQueue.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/protocol/Codec.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <unordered_map>

namespace dogwooddrum::daemon {

namespace {

using coordination::admission::ShedRequest;
using coordination::admission::WaitQueue;

/** Resends that a quiet entry may make at once; a change of leader finds at
 * most this many requests in progress at the target rate of 2,000 requests a
 * second and an election time of one second. */
constexpr double kRetryBurst = 2000;
/** Resends for each second that the budget grows by without requests. */
constexpr double kRetryFloorPerSecond = 50;
constexpr std::uint64_t kRetryAfterMs = 500;

/** One request without a reply. */
struct Pending
{
  std::shared_ptr<const std::string> mPayload;
  RequestTerms mTerms;
  RequestTable::Reply mReply;
  RouteId mSentOn = 0;    ///< 0: not sent, or known not to have arrived
  bool mEverSent = false; ///< may have reached a leader
  bool mActive = false;   ///< false: in the wait queue
};

/** A request to send once the lock is released. */
struct ToSend
{
  std::uint64_t mId = 0;
  std::shared_ptr<const std::string> mPayload;
};

protocol::Refusal
MakeRefusal(const Pending& aPending, base::Reason aReason)
{
  protocol::Refusal refusal;
  refusal.mReason = aReason;
  refusal.mRan = aPending.mTerms.mStartsWork && !aPending.mEverSent
                   ? base::Ran::NotRun
                   : base::Ran::MayHaveRun;
  refusal.mRetry = true;
  refusal.mRetryAfterMs = kRetryAfterMs;
  switch (aReason) {
    case base::Reason::NoLeader:
      refusal.mMessage = "no control leader answered in time";
      break;
    case base::Reason::DeadlinePassed:
      refusal.mMessage = "the control leader did not answer in time";
      break;
    default:
      refusal.mMessage = "too many requests wait for the control leader";
      break;
  }
  return refusal;
}

} // namespace

struct RequestTable::Impl
{
  Impl(ControlLinks& aLinks, const RequestTableOptions& aOptions)
    : mLinks(aLinks)
    , mOptions(aOptions)
    , mQueue(aOptions.mQueueBound)
  {
    // Another entry, or this one after a restart, must not use the same ids.
    std::random_device device;
    mNextId = (static_cast<std::uint64_t>(device()) << 32) + 1;
  }

  /** Takes a request out. Precondition: mMutex is held. */
  std::optional<Pending> Remove(std::uint64_t aId)
  {
    const auto it = mPending.find(aId);
    if (it == mPending.end()) {
      return std::nullopt;
    }
    Pending pending = std::move(it->second);
    mPending.erase(it);
    mDeadlines.erase({ pending.mTerms.mDeadline, aId });
    if (pending.mActive) {
      --mActive;
    } else {
      mQueue.Remove(base::RequestId(aId));
    }
    return pending;
  }

  /** Precondition: mMutex is held. */
  void Activate(std::uint64_t aId, std::vector<ToSend>& aSend)
  {
    ++mActive;
    auto& pending = mPending.at(aId);
    pending.mActive = true;
    if (mConfirmed != 0) {
      pending.mSentOn = mConfirmed;
      pending.mEverSent = true;
      aSend.push_back({ aId, pending.mPayload });
    } else {
      mResend.push_back(aId);
    }
  }

  /** Precondition: mMutex is held. */
  void ActivateQueued(std::vector<ToSend>& aSend)
  {
    while (mActive < mOptions.mConcurrentRequests) {
      const auto next = mQueue.Pop();
      if (!next) {
        return;
      }
      Activate(next->mRequest.Value(), aSend);
    }
  }

  /** Collects what is due on the confirmed route, within the budget.
   * Precondition: mMutex is held. */
  void CollectResends(std::vector<ToSend>& aSend)
  {
    while (mConfirmed != 0 && !mResend.empty()) {
      const auto it = mPending.find(mResend.back());
      if (it == mPending.end() || it->second.mSentOn == mConfirmed) {
        mResend.pop_back();
        continue;
      }
      if (it->second.mEverSent) {
        if (mTokens < 1) {
          return;
        }
        mTokens -= 1;
        ++mResends;
      }
      it->second.mSentOn = mConfirmed;
      it->second.mEverSent = true;
      aSend.push_back({ it->first, it->second.mPayload });
      mResend.pop_back();
    }
  }

  void Send(const std::vector<ToSend>& aSend)
  {
    for (const auto& request : aSend) {
      mLinks.Send(protocol::MessageType::ClientRequest, *request.mPayload);
    }
  }

  ControlLinks& mLinks;
  const RequestTableOptions mOptions;
  mutable std::mutex mMutex; ///< guards the members below
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Pending> mPending;
  std::set<std::pair<base::Time, std::uint64_t>> mDeadlines;
  WaitQueue mQueue;
  std::size_t mActive = 0;
  RouteId mConfirmed = 0; ///< route whose member answers as the leader
  std::vector<std::uint64_t> mResend;
  double mTokens = kRetryBurst;
  base::Time mLastTick{};
  std::uint64_t mResends = 0;
};

RequestTable::RequestTable(ControlLinks& aLinks,
                           const RequestTableOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aLinks, aOptions))
{
}

RequestTable::~RequestTable() = default;

void
RequestTable::Start(protocol::ClientRequestBody aBody,
                    const RequestTerms& aTerms,
                    Reply aReply)
{
  protocol::ClientRequest request;
  request.mBody = std::move(aBody);
  std::vector<ToSend> send;
  std::optional<ShedRequest> shed;
  std::optional<Pending> victim;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    request.mId = base::RequestId(mImpl->mNextId++);
  }
  Pending pending;
  pending.mPayload =
    std::make_shared<const std::string>(protocol::Encode(request));
  pending.mTerms = aTerms;
  pending.mReply = std::move(aReply);
  const auto id = request.mId.Value();
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mTokens =
      std::min(kRetryBurst,
               mImpl->mTokens + mImpl->mOptions.mRetryBudgetPercent / 100.0);
    mImpl->mPending.emplace(id, std::move(pending));
    mImpl->mDeadlines.emplace(aTerms.mDeadline, id);
    if (mImpl->mActive < mImpl->mOptions.mConcurrentRequests) {
      mImpl->Activate(id, send);
    } else {
      shed = mImpl->mQueue.Push(
        { request.mId, aTerms.mPriority, aTerms.mMayWait, aTerms.mDeadline });
      if (shed) {
        victim = mImpl->Remove(shed->mRequest.Value());
      }
    }
  }
  mImpl->Send(send);
  if (victim) {
    victim->mReply(MakeRefusal(*victim, shed->mReason));
  }
}

void
RequestTable::OnReply(RouteId aRoute, protocol::ClientReply aReply)
{
  if (const auto* notLeader = std::get_if<protocol::NotLeader>(&aReply.mBody)) {
    {
      const std::lock_guard<std::mutex> lock(mImpl->mMutex);
      if (aRoute != 0 && mImpl->mConfirmed == aRoute) {
        mImpl->mConfirmed = 0;
      }
    }
    mImpl->mLinks.OnNotLeader(aRoute, *notLeader);
    return;
  }
  std::optional<Pending> pending;
  std::vector<ToSend> send;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    pending = mImpl->Remove(aReply.mId.Value());
    mImpl->ActivateQueued(send);
  }
  mImpl->Send(send);
  if (pending) {
    pending->mReply(std::move(aReply.mBody));
  }
}

void
RequestTable::OnRoute(RouteId aRoute)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  if (mImpl->mConfirmed != aRoute) {
    mImpl->mConfirmed = 0;
  }
}

void
RequestTable::OnLeaderAnswered(RouteId aRoute)
{
  std::vector<ToSend> send;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    if (mImpl->mConfirmed == aRoute || aRoute == 0) {
      return;
    }
    mImpl->mConfirmed = aRoute;
    mImpl->mResend.clear();
    for (const auto& [id, pending] : mImpl->mPending) {
      // A request that waits in the queue has its turn later.
      if (pending.mActive && pending.mSentOn != aRoute) {
        mImpl->mResend.push_back(id);
      }
    }
    mImpl->CollectResends(send);
  }
  mImpl->Send(send);
}

void
RequestTable::Tick(base::Time aNow)
{
  std::vector<Pending> expired;
  std::vector<ToSend> send;
  bool confirmed = false;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    const auto elapsed = std::chrono::duration<double>(
      mImpl->mLastTick == base::Time{} ? base::Duration{}
                                       : aNow - mImpl->mLastTick);
    mImpl->mLastTick = aNow;
    mImpl->mTokens = std::min(
      kRetryBurst, mImpl->mTokens + kRetryFloorPerSecond * elapsed.count());
    confirmed = mImpl->mConfirmed != 0;
    while (!mImpl->mDeadlines.empty() &&
           mImpl->mDeadlines.begin()->first <= aNow) {
      auto pending = mImpl->Remove(mImpl->mDeadlines.begin()->second);
      expired.push_back(std::move(*pending));
    }
    mImpl->ActivateQueued(send);
    mImpl->CollectResends(send);
  }
  mImpl->Send(send);
  for (const auto& pending : expired) {
    pending.mReply(MakeRefusal(pending,
                               confirmed ? base::Reason::DeadlinePassed
                                         : base::Reason::NoLeader));
  }
}

std::size_t
RequestTable::InProgress() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mPending.size();
}

std::size_t
RequestTable::Queued() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mQueue.Size();
}

std::uint64_t
RequestTable::Resends() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mResends;
}

} // namespace dogwooddrum::daemon
