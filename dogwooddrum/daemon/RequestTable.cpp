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

/** Resends that an idle entry may make at once. At the target rate of 2,000
 * requests a second and an election time of one second, at most this many
 * requests are in progress when the leader changes. */
constexpr double kMaxResendTokens = 2000;
/** Resends that the budget grows by each second, also without requests. */
constexpr double kResendTokensPerSecond = 50;
constexpr std::uint64_t kRetryAfterMs = 500;

/** A request that has no reply yet. */
struct PendingRequest
{
  std::shared_ptr<const std::string> mPayload;
  RequestAttributes mAttributes;
  RequestTable::Reply mReply;
  RouteId mSentOn = 0;    ///< 0: not sent
  bool mEverSent = false; ///< may have reached a leader
  bool mIsActive = false; ///< false: in the wait queue
};

/** A request to send after the lock is released. */
struct OutgoingRequest
{
  std::uint64_t mId = 0;
  std::shared_ptr<const std::string> mPayload;
};

protocol::Refusal
MakeRefusal(const PendingRequest& aPending, base::Reason aReason)
{
  protocol::Refusal refusal;
  refusal.mReason = aReason;
  refusal.mRan = aPending.mAttributes.mStartsWork && !aPending.mEverSent
                   ? base::Ran::NotRun
                   : base::Ran::MayHaveRun;
  refusal.mRetryable = true;
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
    // The random upper half keeps the ids apart from those of other entries and
    // of this entry before a restart.
    std::random_device device;
    mNextId = (static_cast<std::uint64_t>(device()) << 32) + 1;
  }

  /** Removes a request from the table and its wait queue. Precondition: mMutex
   * is held. */
  std::optional<PendingRequest> Remove(std::uint64_t aId)
  {
    const auto it = mPending.find(aId);
    if (it == mPending.end()) {
      return std::nullopt;
    }
    PendingRequest pending = std::move(it->second);
    mPending.erase(it);
    mDeadlines.erase({ pending.mAttributes.mDeadline, aId });
    if (pending.mIsActive) {
      --mActiveCount;
    } else {
      mQueue.Remove(base::RequestId(aId));
    }
    return pending;
  }

  /** Takes a request into the number of concurrent requests: appends it to
   * aSend if the leader's route is confirmed, else marks it to be sent later.
   * Precondition: mMutex is held. */
  void Activate(std::uint64_t aId, std::vector<OutgoingRequest>& aSend)
  {
    ++mActiveCount;
    auto& pending = mPending.at(aId);
    pending.mIsActive = true;
    if (mLeaderRoute != 0) {
      pending.mSentOn = mLeaderRoute;
      pending.mEverSent = true;
      aSend.push_back({ aId, pending.mPayload });
    } else {
      mResendIds.push_back(aId);
    }
  }

  /** Activates queued requests up to the limit of concurrent requests.
   * Precondition: mMutex is held. */
  void ActivateQueued(std::vector<OutgoingRequest>& aSend)
  {
    while (mActiveCount < mOptions.mConcurrentRequests) {
      const auto next = mQueue.Pop();
      if (!next) {
        return;
      }
      Activate(next->mRequest.Value(), aSend);
    }
  }

  /** Appends the requests to send or resend on the leader's route to aSend, as
   * far as the budget allows. Precondition: mMutex is held. */
  void CollectResends(std::vector<OutgoingRequest>& aSend)
  {
    while (mLeaderRoute != 0 && !mResendIds.empty()) {
      const auto it = mPending.find(mResendIds.back());
      if (it == mPending.end() || it->second.mSentOn == mLeaderRoute) {
        mResendIds.pop_back();
        continue;
      }
      if (it->second.mEverSent) {
        if (mResendTokens < 1) {
          return;
        }
        mResendTokens -= 1;
        ++mResendCount;
      }
      it->second.mSentOn = mLeaderRoute;
      it->second.mEverSent = true;
      aSend.push_back({ it->first, it->second.mPayload });
      mResendIds.pop_back();
    }
  }

  void Send(const std::vector<OutgoingRequest>& aSend)
  {
    for (const auto& request : aSend) {
      mLinks.Send(protocol::MessageType::ClientRequest, *request.mPayload);
    }
  }

  ControlLinks& mLinks;
  const RequestTableOptions mOptions;
  mutable std::mutex mMutex; ///< guards the members below
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, PendingRequest> mPending;
  std::set<std::pair<base::Time, std::uint64_t>> mDeadlines;
  WaitQueue mQueue;
  std::size_t mActiveCount = 0;
  RouteId mLeaderRoute = 0; ///< 0: no member has answered as the leader
  std::vector<std::uint64_t> mResendIds;
  double mResendTokens = kMaxResendTokens;
  base::Time mLastTick{};
  std::uint64_t mResendCount = 0;
};

RequestTable::RequestTable(ControlLinks& aLinks,
                           const RequestTableOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aLinks, aOptions))
{
}

RequestTable::~RequestTable() = default;

void
RequestTable::Start(protocol::ClientRequestBody aBody,
                    const RequestAttributes& aAttributes,
                    Reply aReply)
{
  protocol::ClientRequest request;
  request.mBody = std::move(aBody);
  std::vector<OutgoingRequest> send;
  std::optional<ShedRequest> shed;
  std::optional<PendingRequest> removed;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    request.mId = base::RequestId(mImpl->mNextId++);
  }
  PendingRequest pending;
  pending.mPayload =
    std::make_shared<const std::string>(protocol::Encode(request));
  pending.mAttributes = aAttributes;
  pending.mReply = std::move(aReply);
  const auto id = request.mId.Value();
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mResendTokens = std::min(
      kMaxResendTokens,
      mImpl->mResendTokens + mImpl->mOptions.mRetryBudgetPercent / 100.0);
    mImpl->mPending.emplace(id, std::move(pending));
    mImpl->mDeadlines.emplace(aAttributes.mDeadline, id);
    if (mImpl->mActiveCount < mImpl->mOptions.mConcurrentRequests) {
      mImpl->Activate(id, send);
    } else {
      shed = mImpl->mQueue.Push({ request.mId,
                                  aAttributes.mPriority,
                                  aAttributes.mMayWait,
                                  aAttributes.mDeadline });
      if (shed) {
        removed = mImpl->Remove(shed->mRequest.Value());
      }
    }
  }
  mImpl->Send(send);
  if (removed) {
    removed->mReply(MakeRefusal(*removed, shed->mReason));
  }
}

void
RequestTable::OnReply(RouteId aRoute, protocol::ClientReply aReply)
{
  if (const auto* notLeader = std::get_if<protocol::NotLeader>(&aReply.mBody)) {
    {
      const std::lock_guard<std::mutex> lock(mImpl->mMutex);
      if (aRoute != 0 && mImpl->mLeaderRoute == aRoute) {
        mImpl->mLeaderRoute = 0;
      }
    }
    mImpl->mLinks.OnNotLeader(aRoute, *notLeader);
    return;
  }
  std::optional<PendingRequest> pending;
  std::vector<OutgoingRequest> send;
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
  if (mImpl->mLeaderRoute != aRoute) {
    mImpl->mLeaderRoute = 0;
  }
}

void
RequestTable::OnLeaderAnswered(RouteId aRoute)
{
  std::vector<OutgoingRequest> send;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    if (mImpl->mLeaderRoute == aRoute || aRoute == 0) {
      return;
    }
    mImpl->mLeaderRoute = aRoute;
    mImpl->mResendIds.clear();
    for (const auto& [id, pending] : mImpl->mPending) {
      // Requests in the wait queue are sent by ActivateQueued.
      if (pending.mIsActive && pending.mSentOn != aRoute) {
        mImpl->mResendIds.push_back(id);
      }
    }
    mImpl->CollectResends(send);
  }
  mImpl->Send(send);
}

void
RequestTable::Tick(base::Time aNow)
{
  std::vector<PendingRequest> expired;
  std::vector<OutgoingRequest> send;
  bool hasLeader = false;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    const auto elapsed = std::chrono::duration<double>(
      mImpl->mLastTick == base::Time{} ? base::Duration{}
                                       : aNow - mImpl->mLastTick);
    mImpl->mLastTick = aNow;
    mImpl->mResendTokens =
      std::min(kMaxResendTokens,
               mImpl->mResendTokens + kResendTokensPerSecond * elapsed.count());
    hasLeader = mImpl->mLeaderRoute != 0;
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
                               hasLeader ? base::Reason::DeadlinePassed
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
RequestTable::ResendCount() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mResendCount;
}

} // namespace dogwooddrum::daemon
