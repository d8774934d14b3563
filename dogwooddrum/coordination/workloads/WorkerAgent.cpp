#include "dogwooddrum/coordination/workloads/WorkerAgent.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Ended incarnations that are reported, for leaders that have no report of
 * their end yet. */
constexpr std::size_t kMaxEndedIncarnations = 4;
constexpr unsigned kRefusalsThatShowAnEnd = 2;

/** A target lists at most this many ends at a time; a list of fewer is whole.
 */
constexpr std::size_t kMaxListedEnds = 500;

constexpr std::size_t kMaxCandidates = 4;
/** Candidates are forgotten without an announcement for this long; targets
 * announce themselves about every 1.5 s. */
constexpr base::Duration kMaxCandidateAge = base::Milliseconds(5000);
constexpr base::Duration kProbeInterval = base::Milliseconds(200);
/** A target that has neither been listed nor announced itself for this long is
 * silent; longer than the interval of announcements. */
constexpr base::Duration kSilence = base::Milliseconds(2000);
/** Steps of a fencing token that was rejected; tokens count ms. */
constexpr std::uint64_t kFirstTokenStep = 1000;
constexpr std::uint64_t kMaxTokenStep = 24ULL * 3600 * 1000;
/** By how much the lease of a target may outlast the agent's view of it, as the
 * target's clock may be slow. */
constexpr base::Duration kLeaseSlack = base::Milliseconds(500);

bool
HasSameInfo(const protocol::TargetInfo& aLeft,
            const protocol::TargetInfo& aRight)
{
  return aLeft.mTargetIncarnation == aRight.mTargetIncarnation &&
         aLeft.mLeaving == aRight.mLeaving && aLeft.mPool == aRight.mPool &&
         aLeft.mLabels == aRight.mLabels && aLeft.mCapacity == aRight.mCapacity;
}

/** Returns whether aLeft has less than aRight of any kind of resource. */
bool
IsLess(const protocol::Resources& aLeft, const protocol::Resources& aRight)
{
  return aLeft.mMilliCores < aRight.mMilliCores ||
         aLeft.mMemoryMb < aRight.mMemoryMb ||
         aLeft.mAccelerators < aRight.mAccelerators;
}

/** Returns whether both lists name the same runs in the same order. */
template<typename Row>
bool
HaveSameRuns(const std::vector<Row>& aLeft, const std::vector<Row>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const Row& aOne, const Row& aOther) {
                      return aOne.mRun == aOther.mRun;
                    });
}

} // namespace

WorkerAgent::WorkerAgent(const WorkerAgentOptions& aOptions)
  : mOptions(aOptions)
{
}

const char*
WorkerAgent::WhyDrops(const protocol::TargetInfo& aTargetInfo,
                      std::uint64_t aSequence) const
{
  const auto& incarnation = aTargetInfo.mTargetIncarnation;
  const bool isPast = std::any_of(
    mEndedIncarnations.begin(),
    mEndedIncarnations.end(),
    [&](const auto& aPast) { return aPast.mTargetIncarnation == incarnation; });
  if (isPast) {
    return "this incarnation has ended";
  }
  if (mTarget && mTarget->mTargetIncarnation == incarnation &&
      aSequence <= mAnnounceSequence) {
    return "a newer message has arrived";
  }
  return nullptr;
}

const char*
WorkerAgent::WhyDropsLeaveMessage(const std::string& aInstance) const
{
  if (!mTarget) {
    return "no target is present";
  }
  return mTarget->mTargetIncarnation.mInstance == aInstance
           ? nullptr
           : "another instance is present";
}

bool
WorkerAgent::OnAnnounced(const protocol::TargetInfo& aTargetInfo,
                         std::uint64_t aSequence,
                         base::Time aNow,
                         const std::string& aAddress)
{
  if (WhyDrops(aTargetInfo, aSequence) != nullptr) {
    return false; // a delayed or repeated message
  }
  const auto& incarnation = aTargetInfo.mTargetIncarnation;
  if (mTarget && mTarget->mTargetIncarnation == incarnation) {
    return UpdatePresent(aTargetInfo, aSequence, aNow);
  }
  Candidate announced;
  announced.mTargetInfo = aTargetInfo;
  announced.mSequence = aSequence;
  announced.mAddress = aAddress;
  announced.mAnnouncedAt = aNow;
  if (!mTarget) {
    SetTarget(announced);
    return true;
  }
  const auto it = std::find_if(
    mCandidates.begin(), mCandidates.end(), [&](const Candidate& aEach) {
      return aEach.mTargetInfo.mTargetIncarnation == incarnation;
    });
  if (it == mCandidates.end()) {
    if (mCandidates.size() == kMaxCandidates) {
      mCandidates.erase(mCandidates.begin());
    }
    mCandidates.push_back(announced);
  } else if (aSequence > it->mSequence) {
    announced.mNextProbe = it->mNextProbe;
    announced.mInFlight = it->mInFlight;
    announced.mHasAnswered = it->mHasAnswered;
    *it = announced;
  }
  return ReplaceByAnyCandidate(aNow);
}

bool
WorkerAgent::UpdatePresent(const protocol::TargetInfo& aTargetInfo,
                           std::uint64_t aSequence,
                           base::Time aNow)
{
  const bool isLateLeaveMessage = mLeaveMessageAt && !aTargetInfo.mLeaving;
  if (isLateLeaveMessage) {
    mLeaveMessageAt.reset(); // it was of an earlier incarnation
  }
  const bool changed =
    isLateLeaveMessage || !HasSameInfo(*mTarget, aTargetInfo);
  mAnnounceSequence = aSequence;
  mAnnouncedAt = aNow;
  // The leader decided on these starts by an earlier capacity. It places the
  // tasks again by the new one.
  if (IsLess(aTargetInfo.mCapacity, mTarget->mCapacity)) {
    RejectPendingStarts("the target's capacity is less than before");
  }
  const bool wasLeaving = mTarget->mLeaving;
  mTarget = aTargetInfo;
  // A target that leaves does not return within the same incarnation.
  mTarget->mLeaving = mTarget->mLeaving || wasLeaving;
  return changed;
}

void
WorkerAgent::SetTarget(const Candidate& aCandidate)
{
  mTarget = aCandidate.mTargetInfo;
  mAddress = aCandidate.mAddress;
  mAnnounceSequence = aCandidate.mSequence;
  mAnnouncedAt = aCandidate.mAnnouncedAt;
  const auto& incarnation = mTarget->mTargetIncarnation;
  if (incarnation.mStartMs > 0) {
    mFencingToken =
      std::max(mFencingToken, protocol::FencingTokenOf(incarnation));
  }
}

std::optional<TargetProbe>
WorkerAgent::NextProbe(base::Time aNow)
{
  mCandidates.erase(std::remove_if(mCandidates.begin(),
                                   mCandidates.end(),
                                   [aNow](const Candidate& aEach) {
                                     return !aEach.mInFlight &&
                                            aNow - aEach.mAnnouncedAt >
                                              kMaxCandidateAge;
                                   }),
                    mCandidates.end());
  for (Candidate& each : mCandidates) {
    if (!each.mInFlight && each.mNextProbe <= aNow) {
      each.mInFlight = true;
      // A target that has started since has seen no token, so that it takes the
      // present one. A higher one would lock this agent out of the present
      // target if the announcement was a late one under its id.
      return TargetProbe{ each.mTargetInfo.mTargetIncarnation,
                          each.mAddress,
                          mFencingToken };
    }
  }
  return std::nullopt;
}

bool
WorkerAgent::OnProbed(const protocol::TargetIncarnation& aTargetIncarnation,
                      bool aHasAnswered,
                      base::Time aNow)
{
  for (Candidate& each : mCandidates) {
    if (each.mTargetInfo.mTargetIncarnation == aTargetIncarnation) {
      each.mInFlight = false;
      each.mNextProbe = aNow + kProbeInterval;
      each.mHasAnswered = aHasAnswered;
    }
  }
  return ReplaceByAnyCandidate(aNow);
}

void
WorkerAgent::OnTokenRejected(protocol::FencingToken aRejected)
{
  if (aRejected != mFencingToken) {
    return; // raised since
  }
  mTokenStep =
    std::min(kMaxTokenStep, std::max(kFirstTokenStep, 2 * mTokenStep));
  mFencingToken = protocol::FencingToken(mFencingToken.Value() + mTokenStep);
}

bool
WorkerAgent::HasRefusedConnections() const
{
  return mRefusals >= kRefusalsThatShowAnEnd;
}

bool
WorkerAgent::IsSilent(base::Time aNow) const
{
  return aNow - std::max(mListCalledAt, mAnnouncedAt) > kSilence &&
         (mLeaseUntil == base::Time() || aNow - mLeaseUntil > kLeaseSlack);
}

bool
WorkerAgent::ReplaceByAnyCandidate(base::Time aNow)
{
  const auto candidates = mCandidates; // ReplaceBy clears mCandidates
  return std::any_of(
    candidates.begin(), candidates.end(), [&](const Candidate& aEach) {
      return ReplaceBy(aEach, aNow);
    });
}

/** Replaces the present target if it has ended or is silent. */
bool
WorkerAgent::ReplaceBy(const Candidate& aCandidate, base::Time aNow)
{
  if (!mTarget) {
    return false;
  }
  const bool isSamePlace =
    aCandidate.mAddress == mAddress ||
    aCandidate.mTargetInfo.mTargetIncarnation.mInstance ==
      mTarget->mTargetIncarnation.mInstance;
  const bool hasEnded =
    aCandidate.mHasAnswered && (isSamePlace || HasRefusedConnections());
  if (!hasEnded && !IsSilent(aNow)) {
    return false;
  }
  if (hasEnded) {
    // Without an announcement before, the target has crashed.
    RecordEnd(!mTarget->mLeaving && !mLeaveMessageAt);
  }
  ResetTarget();
  SetTarget(aCandidate);
  return true;
}

void
WorkerAgent::RejectPendingStarts(const std::string& aReason)
{
  for (auto& [run, start] : mStarts) {
    if (!start.mAccepted && !start.mRejected) {
      start.mRejected = true;
      start.mReason = aReason;
      mStops.emplace(run, StopState());
    }
  }
}

void
WorkerAgent::OnLeaveMessage(const std::string& aInstance, base::Time aNow)
{
  if (WhyDropsLeaveMessage(aInstance) == nullptr) {
    mLeaveMessageAt = aNow;
    mRefusals = 0;
  }
}

bool
WorkerAgent::OnConnectionRefused(
  const protocol::TargetIncarnation& aTargetIncarnation,
  base::Time aCalledAt)
{
  if (!mTarget || mTarget->mTargetIncarnation != aTargetIncarnation) {
    return false;
  }
  if (mLeaveMessageAt && aCalledAt < *mLeaveMessageAt) {
    return false;
  }
  ++mRefusals;
  if (ReplaceByAnyCandidate(aCalledAt)) {
    return true;
  }
  if (!mLeaveMessageAt || !HasRefusedConnections()) {
    return false;
  }
  RecordEnd(false);
  ResetTarget();
  return true;
}

std::vector<protocol::RunId>
WorkerAgent::RunsThatMayRun() const
{
  std::set<protocol::RunId> runs;
  for (const auto& running : mRunning) {
    runs.insert(running.mRun);
  }
  for (const auto& [run, start] : mStarts) {
    if (start.mMayRun) {
      runs.insert(run);
    }
  }
  for (const auto& ended : mEnded) {
    runs.erase(ended.mRun);
  }
  return { runs.begin(), runs.end() };
}

/** Adds the present target to the incarnations that have ended. */
void
WorkerAgent::RecordEnd(bool aHasCrashed)
{
  auto crashedRuns =
    aHasCrashed ? RunsThatMayRun() : std::vector<protocol::RunId>();
  // The last ends may not have been reported to the leader yet.
  mEndedIncarnations.push_back(
    { mTarget->mTargetIncarnation, std::move(mEnded), std::move(crashedRuns) });
  if (mEndedIncarnations.size() > kMaxEndedIncarnations) {
    mEndedIncarnations.erase(mEndedIncarnations.begin());
  }
}

void
WorkerAgent::ResetTarget()
{
  mTarget.reset();
  mAddress.clear();
  mCandidates.clear();
  mLeaveMessageAt.reset();
  mRefusals = 0;
  mAnnounceSequence = 0;
  // With a higher token, the first renewal of the next incarnation fences late
  // orders to this incarnation, before the leader has a report of the next one.
  // The leader's token for the next incarnation is no lower.
  if (mFencingToken.Value() != 0) {
    mFencingToken = protocol::FencingToken(mFencingToken.Value() + 1);
  }
  mLeaseUntil = base::Time();
  mStartsUntil = base::Time();
  mAcknowledged = 0;
  mStarts.clear();
  mStops.clear();
  mInFlight.clear();
  mNeverRan.clear();
  mHasRunLists = false;
  mRunning.clear();
  mEnded.clear();
  mClockAt = base::Time();
  mListCalledAt = base::Time();
}

void
WorkerAgent::OnOrders(const protocol::WorkerOrders& aOrders, base::Time aNow)
{
  if (aOrders.mTerm < mTerm ||
      (aOrders.mTerm == mTerm && aOrders.mSequence <= mOrderSequence)) {
    return;
  }
  mTerm = aOrders.mTerm;
  mOrderSequence = aOrders.mSequence;
  if (!mTarget || mTarget->mTargetIncarnation != aOrders.mTargetIncarnation) {
    return;
  }
  mFencingToken = std::max(mFencingToken, aOrders.mFencingToken);
  mLeaseUntil =
    std::max(mLeaseUntil, base::Time(base::Duration(aOrders.mLeaseUntilUs)));
  mStartsUntil = base::Time(base::Duration(aOrders.mStartsUntilUs));
  mAcknowledged = std::max(mAcknowledged, aOrders.mAcknowledged);
  std::map<protocol::RunId, StartState> starts;
  for (const auto& order : aOrders.mStarts) {
    const auto it = mStarts.find(order.mRun);
    StartState state;
    if (it != mStarts.end()) {
      state = std::move(it->second);
    }
    state.mOrder = order;
    starts.emplace(order.mRun, std::move(state));
  }
  std::map<protocol::RunId, StopState> stops;
  for (const auto& run : aOrders.mStops) {
    const auto it = mStops.find(run);
    StopState state = it == mStops.end() ? StopState() : it->second;
    state.mOrdered = true;
    stops.emplace(run, state);
  }
  for (const auto& [run, state] : mStops) {
    const auto it = starts.find(run);
    if (it != starts.end() && it->second.mRejected) {
      stops.emplace(run, state);
    }
  }
  mStarts = std::move(starts);
  mStops = std::move(stops);
  for (auto it = mNeverRan.begin(); it != mNeverRan.end();) {
    const bool isOpen =
      mStarts.count(it->first) > 0 || mStops.count(it->first) > 0;
    it = isOpen ? std::next(it) : mNeverRan.erase(it);
  }
  static_cast<void>(aNow);
}

bool
WorkerAgent::OnListing(const protocol::TargetIncarnation& aTargetIncarnation,
                       std::int64_t aClockMs,
                       std::vector<protocol::RunningTask> aRunning,
                       std::vector<protocol::EndedTask> aEnded,
                       base::Time aCalledAt,
                       base::Time aNow)
{
  if (!mTarget || mTarget->mTargetIncarnation != aTargetIncarnation) {
    return false;
  }
  const bool changed = !mHasRunLists || !HaveSameRuns(mRunning, aRunning) ||
                       !HaveSameRuns(mEnded, aEnded);
  mClockMs = aClockMs;
  mClockAt = aNow;
  mListCalledAt = aCalledAt;
  mRefusals = 0;
  mTokenStep = 0;
  mRunning = std::move(aRunning);
  mEnded = std::move(aEnded);
  mHasRunLists = true;
  return UpdateNeverRan(aCalledAt) || changed;
}

bool
WorkerAgent::UpdateNeverRan(base::Time aCalledAt)
{
  if (mEnded.size() >= kMaxListedEnds) {
    return false;
  }
  bool found = false;
  for (const auto& [run, stop] : mStops) {
    const auto isRun = [&, &wanted = run](const auto& aEach) {
      return aEach.mRun == wanted;
    };
    if (!stop.mAnsweredAt || *stop.mAnsweredAt > aCalledAt ||
        std::any_of(mRunning.begin(), mRunning.end(), isRun) ||
        std::any_of(mEnded.begin(), mEnded.end(), isRun)) {
      continue;
    }
    const auto start = mStarts.find(run);
    const auto why = start == mStarts.end() ? "stopped before its start"
                                            : start->second.mReason;
    found = mNeverRan.emplace(run, why).second || found;
  }
  return found;
}

/** Returns whether starts may be sent at aNow, as far as the lease, the
 * knowledge of the target's runs and the time limit of the orders allow. */
bool
WorkerAgent::MayStart(base::Time aNow) const
{
  return mClockAt != base::Time() && mLeaseUntil - aNow >= mOptions.mMinLease &&
         aNow - mListCalledAt <= mOptions.mMaxListAge &&
         (mStartsUntil == base::Time() || aNow <= mStartsUntil);
}

std::optional<OrderCall>
WorkerAgent::NextOrder(base::Time aNow)
{
  if (!mTarget || mFencingToken.Value() == 0) {
    return std::nullopt;
  }
  OrderCall call;
  call.mFencingToken = mFencingToken;
  call.mTargetIncarnation = mTarget->mTargetIncarnation;
  for (auto& [run, stop] : mStops) {
    if (!stop.mAnsweredAt && stop.mNextTry <= aNow &&
        mInFlight.count(run) == 0) {
      call.mStart.mRun = run;
      mInFlight.insert(run);
      return call;
    }
  }
  if (!MayStart(aNow)) {
    return std::nullopt;
  }
  for (auto& [run, start] : mStarts) {
    if (start.mAccepted || start.mRejected || start.mNextTry > aNow ||
        mInFlight.count(run) > 0 || mStops.count(run) > 0) {
      continue;
    }
    if (mTarget->mLeaving || mLeaveMessageAt) {
      start.mRejected = true;
      start.mReason = "the target is leaving";
      mStops.emplace(run, StopState());
      return NextOrder(aNow);
    }
    call.mIsStart = true;
    call.mStart = start.mOrder;
    call.mLeaseUntilMs = ToTargetClock(mLeaseUntil);
    start.mMayRun = true;
    mInFlight.insert(run);
    return call;
  }
  return std::nullopt;
}

std::optional<base::Time>
WorkerAgent::NextOrderAt() const
{
  std::optional<base::Time> next;
  const auto consider = [&next](base::Time aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const auto& [run, stop] : mStops) {
    if (!stop.mAnsweredAt) {
      consider(stop.mNextTry);
    }
  }
  for (const auto& [run, start] : mStarts) {
    if (!start.mAccepted && !start.mRejected) {
      consider(start.mNextTry);
    }
  }
  return next;
}

void
WorkerAgent::OnAnswered(const OrderCall& aCall,
                        OrderOutcome aOutcome,
                        const std::string& aMessage,
                        base::Time aNow)
{
  const auto& run = aCall.mStart.mRun;
  mInFlight.erase(run);
  if (!mTarget || mTarget->mTargetIncarnation != aCall.mTargetIncarnation) {
    return;
  }
  if (!aCall.mIsStart) {
    const auto stop = mStops.find(run);
    if (stop != mStops.end()) {
      if (aOutcome == OrderOutcome::Done) {
        stop->second.mAnsweredAt = aNow;
      } else {
        stop->second.mNextTry = aNow + mOptions.mOrderRetryDelay;
      }
    }
    return;
  }
  const auto start = mStarts.find(run);
  if (start == mStarts.end()) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Done:
      start->second.mAccepted = true;
      break;
    case OrderOutcome::Rejected:
      start->second.mRejected = true;
      start->second.mMayRun = false;
      start->second.mReason = aMessage;
      mStops.emplace(run, StopState());
      break;
    case OrderOutcome::Retryable:
      start->second.mMayRun = false;
      start->second.mNextTry = aNow + mOptions.mOrderRetryDelay;
      break;
    case OrderOutcome::Unknown:
      start->second.mNextTry = aNow + mOptions.mOrderRetryDelay;
      break;
  }
}

std::int64_t
WorkerAgent::ToTargetClock(base::Time aTime) const
{
  return mClockMs + base::ToMilliseconds(aTime - mClockAt);
}

std::optional<Renewal>
WorkerAgent::NextRenewal(base::Time aNow) const
{
  if (!mTarget || mFencingToken.Value() == 0) {
    return std::nullopt;
  }
  Renewal renewal;
  renewal.mFencingToken = mFencingToken;
  renewal.mTargetIncarnation = mTarget->mTargetIncarnation;
  renewal.mAcknowledged = mAcknowledged;
  if (mClockAt != base::Time() && mLeaseUntil > aNow) {
    renewal.mLeaseUntilMs = ToTargetClock(mLeaseUntil);
  }
  return renewal;
}

protocol::WorkerReport
WorkerAgent::MakeReport(base::Time aNow)
{
  protocol::WorkerReport report;
  report.mAgent = mOptions.mIncarnation;
  report.mAgentName = mOptions.mName;
  report.mSequence = ++mReportSequence;
  report.mSentAtUs = aNow.time_since_epoch().count();
  report.mOrdersTerm = mTerm;
  report.mTarget = mTarget;
  if (mLeaveMessageAt) {
    report.mTarget->mLeaving = true;
  }
  if (mTarget && mTarget->mRemainingMs > 0) {
    // The leader counts from the report on, not from the announcement.
    const std::int64_t left = static_cast<std::int64_t>(mTarget->mRemainingMs) -
                              base::ToMilliseconds(aNow - mAnnouncedAt);
    report.mTarget->mRemainingMs =
      static_cast<std::uint64_t>(std::max<std::int64_t>(left, 1));
  }
  report.mEndedIncarnations = mEndedIncarnations;
  report.mHasRunLists = mHasRunLists;
  if (mHasRunLists) {
    report.mListAgeMs =
      static_cast<std::uint64_t>(base::ToMilliseconds(aNow - mClockAt));
  }
  report.mRunning = mRunning;
  report.mEnded = mEnded;
  for (const auto& [run, why] : mNeverRan) {
    protocol::EndedTask ended;
    ended.mRun = run;
    ended.mEnd = protocol::RunEnd::NeverRan;
    ended.mMessage = why;
    report.mEnded.push_back(std::move(ended));
  }
  return report;
}

const protocol::TargetInfo*
WorkerAgent::Target() const
{
  return mTarget ? &*mTarget : nullptr;
}

} // namespace dogwooddrum::coordination::workloads
