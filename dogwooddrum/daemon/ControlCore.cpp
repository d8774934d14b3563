#include "dogwooddrum/daemon/ControlCore.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ElectionLog.h"
#include "dogwooddrum/daemon/LogLimit.h"
#include "dogwooddrum/service/LogEvents.h"

#include <algorithm>
#include <map>

namespace dogwooddrum::daemon {

namespace {

using coordination::consensus::LogEntry;
using coordination::consensus::Membership;
using coordination::consensus::Raft;
using coordination::consensus::Ready;
using coordination::consensus::Role;
using coordination::consensus::Snapshot;
using coordination::control::Coordinator;
using service::LogEvent;

/** Longer syncs are logged, since a sync delays every request. */
constexpr base::Duration kSlowSync = base::Milliseconds(250);
/** Measuring visits every worker, so it is not done on each change. */
constexpr base::Duration kFragmentationInterval = base::Milliseconds(5000);
/** Shortest time between repair steps. A step also waits until the one before
 * it is committed. */
constexpr base::Duration kRepairInterval = base::Milliseconds(50);
/** Older join requests are ignored. A process repeats its request several
 * times within this time. */
constexpr base::Duration kMaxJoinRequestAge = base::Milliseconds(2000);
constexpr std::size_t kMaxJoinCandidates = 64;
constexpr base::Duration kSnapshotLoopTick = base::Milliseconds(1000);
/** Longer than most elections and repairs, which are not logged. */
constexpr base::Duration kLongWait = base::Milliseconds(1000);
/** Bounds one call of ProcessOutput: an endless loop of outputs would stop the
 * timers. */
constexpr int kMaxOutputRounds = 1000;

} // namespace

struct ControlCore::Impl
{
  Impl(const ControlCoreOptions& aOptions,
       const coordination::consensus::RecoveredState& aRecovered,
       std::unique_ptr<state::Storage> aStorage,
       ControlCoreHooks aHooks,
       ControlStatus& aStatus,
       EventLoop& aLoop)
    : mOptions(aOptions)
    , mHooks(std::move(aHooks))
    , mLoop(aLoop)
    , mStatus(aStatus)
    , mRaft(aOptions.mRaft, aRecovered, Now())
    , mCoordinator(aOptions.mCoordinator)
    , mReplica(aOptions.mCoordinator)
    , mLog(std::move(aStorage), MakeLogEvents())
    , mSnapshotTrigger(aOptions.mSnapshots)
    , mSnapshotLoop(kSnapshotLoopTick, { [](base::Time) {}, [] {} })
  {
    mStatus.mStorageFailed = false;
    mStatus.mLeaderId = 0;
    mStatus.mIsVoter = false;
    if (aRecovered.mSnapshot) {
      DOGWOODDRUM_INVARIANT(
        mCoordinator.Restore(aRecovered.mSnapshot->mState) &&
          mReplica.Restore(aRecovered.mSnapshot->mState),
        "recovered snapshot cannot be decoded");
      SetApplied(aRecovered.mSnapshot->mIndex);
      mSnapshotIndex = aRecovered.mSnapshot->mIndex;
    }
  }

  StorageThreadEvents MakeLogEvents()
  {
    StorageThreadEvents events;
    events.mSynced = [this](const SyncResult& aSynced) {
      if (aSynced.mDuration > kSlowSync) {
        service::Log(
          LogEvent::SyncSlow,
          { { "duration_ms", base::ToMilliseconds(aSynced.mDuration) } });
      }
      mHooks.mSynced(aSynced);
      mLoop.Post([this, id = aSynced.mId] { mRaft.OnPersisted(id, Now()); });
    };
    events.mSnapshotSaved = [this](const Snapshot& aSnapshot) {
      service::Log(LogEvent::SnapshotWritten,
                   { { "index", aSnapshot.mIndex.Value() },
                     { "bytes", aSnapshot.mState.size() } });
      mLoop.Post([this, aSnapshot] {
        mSnapshotInProgress = false;
        // A snapshot from the leader may have arrived in the meantime.
        if (aSnapshot.mIndex > mSnapshotIndex) {
          mSnapshotIndex = aSnapshot.mIndex;
          mRaft.Compact(aSnapshot);
        }
      });
    };
    events.mFailed = [this](const base::Failure& aFailure) {
      service::Log(LogEvent::StorageFailed,
                   { { "message", aFailure.mMessage } });
      mStatus.mStorageFailed = true;
      mLoop.Post([this] { mRaft.OnStorageFailed(Now()); });
    };
    return events;
  }

  void SetApplied(base::LogIndex aIndex)
  {
    mAppliedIndex = aIndex;
    mStatus.mAppliedIndex = aIndex.Value();
  }

  /** Returns whether the batch held work other than messages. */
  bool HandleReady(Ready aReady)
  {
    bool hasWorked = false;
    LogVoteRefusals(aReady.mVoteRefusals);
    if (aReady.mPersist) {
      mLog.Persist(std::move(*aReady.mPersist));
      hasWorked = true;
    }
    for (const auto& message : aReady.mMessages) {
      mHooks.mSendToPeer(message);
    }
    if (aReady.mRestore) {
      InstallSnapshot(std::move(*aReady.mRestore));
      hasWorked = true;
    }
    if (!aReady.mCommitted.empty()) {
      ApplyEntries(std::move(aReady.mCommitted));
      hasWorked = true;
    }
    for (const auto read : aReady.mConfirmedReads) {
      mCoordinator.OnReadConfirmed(read, Now());
      hasWorked = true;
    }
    for (const auto read : aReady.mFailedReads) {
      mCoordinator.OnReadFailed(read, Now());
      hasWorked = true;
    }
    return hasWorked;
  }

  void InstallSnapshot(Snapshot aSnapshot)
  {
    DOGWOODDRUM_INVARIANT(mCoordinator.Restore(aSnapshot.mState),
                          "received snapshot cannot be decoded");
    SetApplied(aSnapshot.mIndex);
    mSnapshotIndex = aSnapshot.mIndex;
    mSnapshotTrigger.Reset();
    service::Log(LogEvent::SnapshotInstalled,
                 { { "index", aSnapshot.mIndex.Value() } });
    mSnapshotLoop.Post(
      [this, state = std::move(aSnapshot.mState)] { mReplica.Restore(state); });
  }

  void ApplyEntries(std::vector<LogEntry> aEntries)
  {
    const auto now = Now();
    for (const auto& entry : aEntries) {
      mCoordinator.Apply(entry, now);
    }
    SetApplied(aEntries.back().mIndex);
    mAppliedTerm = aEntries.back().mTerm;
    mSnapshotTrigger.OnApplied(aEntries);
    mSnapshotLoop.Post([this, entries = std::move(aEntries), now] {
      for (const auto& entry : entries) {
        mReplica.Apply(entry, now);
      }
      mReplica.TakeOutput();
    });
    StartSnapshot();
  }

  /** Saves the replica's state on the snapshot thread, so that saving does not
   * delay decisions. Does nothing before enough is applied. */
  void StartSnapshot()
  {
    if (mSnapshotInProgress || mStatus.mStorageFailed ||
        !mSnapshotTrigger.IsDue()) {
      return;
    }
    mSnapshotInProgress = true;
    mSnapshotTrigger.Reset();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->mIndex = mAppliedIndex;
    snapshot->mTerm = mAppliedTerm;
    snapshot->mMembership = mRaft.MembershipAt(mAppliedIndex);
    mSnapshotLoop.Post([this, snapshot] {
      snapshot->mState = mReplica.SaveState();
      mLog.SaveSnapshot(snapshot);
    });
  }

  void UpdateLeadership()
  {
    const auto now = Now();
    const bool leads =
      mRaft.CurrentRole() == Role::Leader && mRaft.IsLeaderReady();
    const auto term = mRaft.CurrentTerm();
    if (mIsLeaderReady && (!leads || term != mLedTerm)) {
      mIsLeaderReady = false;
      service::Log(LogEvent::LeaderLost,
                   { { "member", mOptions.mRaft.mSelf.Value() },
                     { "term", mLedTerm.Value() },
                     { "reason", StepDownReason() } });
      mCoordinator.StepDown(now);
    }
    UpdateMembership();
    UpdateLeader();
    if (leads && !mIsLeaderReady) {
      mIsLeaderReady = true;
      mLedTerm = term;
      service::Log(LogEvent::LeaderElected,
                   { { "member", mOptions.mRaft.mSelf.Value() },
                     { "term", term.Value() } });
      mCoordinator.BecomeLeader(term, now);
    }
    mStatus.mIsLeaderReady = mIsLeaderReady;
    mStatus.mTerm = term.Value();
    mStatus.mCommitIndex = mRaft.CommitIndex().Value();
    mStatus.mLastIndex = mRaft.LastIndex().Value();
    mStatus.mReplicationLag = ComputeLag();
    mStatus.mConfigurationVersion =
      mCoordinator.Configuration().mVersion.Value();
    mStatus.mActiveJobs = mCoordinator.ActiveJobs();
    mStatus.mEvacuatedZones = mCoordinator.Workloads().EvacuatedZones().size();
  }

  /** Returns the number of entries that the slowest voter lacks; 0 if this
   * member does not lead. */
  std::uint64_t ComputeLag() const
  {
    std::uint64_t lag = 0;
    if (mIsLeaderReady) {
      const std::uint64_t last = mRaft.LastIndex().Value();
      for (const auto& member : mRaft.CurrentMembership().mMembers) {
        if (member.mVoter) {
          lag = std::max(lag, last - mRaft.MatchIndex(member.mId).Value());
        }
      }
    }
    return lag;
  }

  std::string StepDownReason() const
  {
    return mRaft.CurrentRole() == Role::Leader &&
               mRaft.CurrentTerm() == mLedTerm
             ? "leadership is transferred"
             : mRaft.CurrentElectionStatus().mStepDownReason;
  }

  void LogVoteRefusals(
    const std::vector<coordination::consensus::VoteRefusal>& aRefusals)
  {
    for (const auto& refusal : aRefusals) {
      mHooks.mVoteRefused(refusal);
      if (mVoteRefusalLimit.Take(refusal.mCandidate, Now())) {
        service::Log(LogEvent::VoteRefused,
                     DescribeVoteRefusal(
                       refusal, mRaft.CurrentElectionStatus(), mRaft.Leader()));
      }
    }
  }

  /** Records and logs for how long this member has known no leader. */
  void UpdateLeaderless(base::Time aNow)
  {
    if (mRaft.Leader() != base::MemberId()) {
      mLeaderlessSince = base::Time{};
    } else if (mLeaderlessSince == base::Time{}) {
      mLeaderlessSince = aNow;
    }
    mStatus.mLeaderlessSince = mLeaderlessSince;
    const auto leaderless = mStatus.LeaderlessTime(aNow);
    // Without a seat in the group, a process with seeds logs seeking_group.
    if (leaderless <= kLongWait ||
        (mOptions.mRepair && !IsMember(mOptions.mRaft.mSelf)) ||
        !mLeaderlessLimit.Take(aNow)) {
      return;
    }
    LeaderlessView view;
    view.mSelf = mOptions.mRaft.mSelf;
    view.mNow = aNow;
    view.mFor = leaderless;
    view.mStatus = mRaft.CurrentElectionStatus();
    view.mMembership = mRaft.CurrentMembership();
    view.mIsLinkOpen = mHooks.mIsPeerLinkOpen;
    service::Log(LogEvent::LeaderUnknown, DescribeLeaderless(view));
  }

  bool IsMember(base::MemberId aMember) const
  {
    const auto& members = mRaft.CurrentMembership().mMembers;
    return std::any_of(members.begin(), members.end(), [&](const auto& aEach) {
      return aEach.mId == aMember;
    });
  }

  coordination::consensus::GroupView ViewGroup(base::Time aNow) const
  {
    coordination::consensus::GroupView view;
    view.mMembership = mRaft.CurrentMembership();
    view.mSelf = mOptions.mRaft.mSelf;
    view.mLeaving = mLeaving.Recent(aNow);
    for (const auto& member : view.mMembership.mMembers) {
      if (const auto lastContact = mRaft.LastContact(member.mId)) {
        view.mTimeSinceContact[member.mId] = aNow - *lastContact;
      }
      if (!member.mVoter && !mRaft.IsCaughtUp(member.mId)) {
        view.mLearnersBehind.insert(member.mId);
      }
      if (!mRaft.HasAnswered(member.mId)) {
        view.mUnanswered.insert(member.mId);
      }
    }
    for (const auto& [address, candidate] : mJoinCandidates) {
      if (aNow - candidate.mAskedAt <= kMaxJoinRequestAge) {
        view.mJoinCandidates.push_back({ candidate.mMember, address });
      }
    }
    return view;
  }

  /** Logs the processes that have asked to join for long, and why they are not
   * served. */
  void LogWaitingJoins(base::Time aNow)
  {
    if (mJoinCandidates.empty() || !mWaitingJoinLimit.Take(aNow)) {
      return;
    }
    JoinView view;
    view.mGroup = ViewGroup(aNow);
    view.mLeader = mRaft.Leader();
    view.mIsLeader = mRaft.CurrentRole() == Role::Leader;
    view.mIsLeaderReady = mIsLeaderReady;
    view.mRepair = mOptions.mRepair;
    std::string requests;
    for (const auto& [address, candidate] : mJoinCandidates) {
      if (aNow - candidate.mAskedAt > kMaxJoinRequestAge ||
          aNow - candidate.mFirstAskedAt <= kLongWait) {
        continue;
      }
      const auto reason = WhyNotServed(view, { candidate.mMember, address });
      if (!reason.empty()) {
        const auto waitedMs =
          base::ToMilliseconds(aNow - candidate.mFirstAskedAt);
        requests += requests.empty() ? "" : "; ";
        requests += "member " + std::to_string(candidate.mMember.Value());
        requests += " at " + address;
        requests += " for " + std::to_string(waitedMs) + " ms: ";
        requests += reason;
      }
    }
    if (!requests.empty()) {
      service::Log(LogEvent::JoinNotServed, { { "requests", requests } });
    }
  }

  void UpdateMembership()
  {
    const Membership& membership = mRaft.CurrentMembership();
    auto text = FormatMembership(membership);
    if (text == mMembershipText) {
      return;
    }
    mMembershipText = std::move(text);
    service::Log(LogEvent::MembershipChanged,
                 { { "members", mMembershipText } });
    mStatus.mIsVoter = std::any_of(membership.mMembers.begin(),
                                   membership.mMembers.end(),
                                   [this](const auto& aMember) {
                                     return aMember.mVoter &&
                                            aMember.mId == mOptions.mRaft.mSelf;
                                   });
    mStatus.mHasOtherVoters = std::any_of(
      membership.mMembers.begin(),
      membership.mMembers.end(),
      [this](const auto& aMember) {
        return aMember.mVoter && aMember.mId != mOptions.mRaft.mSelf;
      });
    mCoordinator.SetMembership(membership);
    mHooks.mMembershipChanged(membership);
    mLeaderId = base::MemberId();
  }

  void UpdateLeader()
  {
    const auto leader = mRaft.Leader();
    if (leader == mLeaderId) {
      return;
    }
    mLeaderId = leader;
    mStatus.mLeaderId = leader.Value();
    std::string address;
    for (const auto& member : mRaft.CurrentMembership().mMembers) {
      if (member.mId == leader) {
        address = member.mAddress;
      }
    }
    mCoordinator.SetLeader(leader, address);
  }

  void UpdateFragmentation(base::Time aNow)
  {
    if (!mIsLeaderReady || aNow < mNextFragmentationUpdate) {
      return;
    }
    mNextFragmentationUpdate = aNow + kFragmentationInterval;
    const auto report = mCoordinator.Fragmentation();
    mStatus.mUnusableShare = report.mUnusableShare;
    mStatus.mFreeAccelerators = report.mFree;
    mStatus.mTotalAccelerators = report.mTotal;
    mStatus.mLargestOnWorker = report.mLargestOnWorker;
    mStatus.mLargestInRack = report.mLargestInRack;
    mStatus.mLargestInZone = report.mLargestInZone;
  }

  std::optional<protocol::LeaveAnswer> AnswerLeaveRequest(
    base::MemberId aMember,
    base::Time aNow)
  {
    if (!mIsLeaderReady) {
      return std::nullopt;
    }
    if (!mOptions.mRepair) {
      return protocol::LeaveAnswer::Kept;
    }
    return mLeaving.OnRequest(ViewGroup(aNow),
                              *mOptions.mRepair,
                              mRaft.MembershipAt(mRaft.CommitIndex()),
                              aMember,
                              aNow);
  }

  /** Proposes the next membership change that replaces a member. */
  void RepairGroup(base::Time aNow)
  {
    if (!mIsLeaderReady || !mOptions.mRepair || aNow < mNextRepair) {
      return;
    }
    mNextRepair = aNow + kRepairInterval;
    const auto view = ViewGroup(aNow);
    const auto next =
      coordination::consensus::PlanNextRepair(view, *mOptions.mRepair);
    if (next && mRaft.ProposeMembership(*next, aNow)) {
      service::Log(
        LogEvent::RepairProposed,
        { { "change", coordination::consensus::DescribeRepair(view, *next) },
          { "members", FormatMembership(*next) } });
    }
  }

  bool HandleOutput(coordination::control::Output aOutput)
  {
    const auto now = Now();
    bool hasWorked = !aOutput.mProposals.empty() || !aOutput.mReads.empty() ||
                     !aOutput.mMemberships.empty();
    for (auto& proposal : aOutput.mProposals) {
      mRaft.Propose(std::move(proposal), now);
    }
    for (const auto read : aOutput.mReads) {
      mRaft.ConfirmRead(read, now);
    }
    for (const auto& membership : aOutput.mMemberships) {
      mRaft.ProposeMembership(membership, now);
    }
    for (const auto& message : aOutput.mMessages) {
      mHooks.mSendToSession(message);
    }
    for (const auto& notice : aOutput.mNotices) {
      mHooks.mNotice(notice);
    }
    for (const auto& event : aOutput.mWorkloadEvents) {
      mHooks.mWorkloadEvent(event);
    }
    return hasWorked;
  }

  void ProcessOutput()
  {
    for (int round = 0; round < kMaxOutputRounds; ++round) {
      bool hasWorked = HandleReady(mRaft.TakeReady());
      UpdateLeadership();
      hasWorked = HandleOutput(mCoordinator.TakeOutput()) || hasWorked;
      if (!hasWorked) {
        return;
      }
    }
  }

  const ControlCoreOptions mOptions;
  const ControlCoreHooks mHooks;
  EventLoop& mLoop;
  ControlStatus& mStatus;
  Raft mRaft;
  Coordinator mCoordinator;
  /** Applies the same entries as mCoordinator; used by the snapshot thread
   * only. */
  Coordinator mReplica;
  StorageThread mLog;
  state::SnapshotTrigger mSnapshotTrigger;
  EventLoop mSnapshotLoop;
  base::LogIndex mAppliedIndex;
  base::Term mAppliedTerm;
  base::LogIndex mSnapshotIndex;
  bool mSnapshotInProgress = false;
  bool mIsLeaderReady = false;
  base::Term mLedTerm;
  base::MemberId mLeaderId;
  base::Time mNextFragmentationUpdate{};
  std::string mMembershipText;
  /** The newest join request from an address. */
  struct JoinCandidate
  {
    base::MemberId mMember;
    base::Time mAskedAt;
    base::Time mFirstAskedAt; ///< since the last pause in its requests
  };
  std::map<std::string, JoinCandidate> mJoinCandidates;
  coordination::consensus::LeavingMembers mLeaving;
  base::Time mNextRepair{};
  base::Time mLeaderlessSince{}; ///< the epoch: a leader is known
  LogLimit mLeaderlessLimit;
  LogLimit mWaitingJoinLimit;
  LogLimitByKey<base::MemberId> mVoteRefusalLimit;
};

ControlCore::ControlCore(
  const ControlCoreOptions& aOptions,
  const coordination::consensus::RecoveredState& aRecovered,
  std::unique_ptr<state::Storage> aStorage,
  ControlCoreHooks aHooks,
  ControlStatus& aStatus,
  EventLoop& aLoop)
  : mImpl(std::make_unique<Impl>(aOptions,
                                 aRecovered,
                                 std::move(aStorage),
                                 std::move(aHooks),
                                 aStatus,
                                 aLoop))
{
}

ControlCore::~ControlCore() = default;

void
ControlCore::Start()
{
  mImpl->mSnapshotLoop.Start();
  mImpl->mLog.Start();
}

void
ControlCore::Stop()
{
  mImpl->mSnapshotLoop.Stop();
  mImpl->mLog.Stop();
}

void
ControlCore::Receive(const coordination::consensus::Message& aMessage)
{
  mImpl->mRaft.Receive(aMessage, Now());
}

Coordinator&
ControlCore::GetCoordinator()
{
  return mImpl->mCoordinator;
}

bool
ControlCore::IsVoter(base::MemberId aMember) const
{
  const auto& members = mImpl->mRaft.CurrentMembership().mMembers;
  return std::any_of(members.begin(), members.end(), [&](const auto& aOther) {
    return aOther.mId == aMember && aOther.mVoter;
  });
}

void
ControlCore::OnJoinRequest(const protocol::JoinRequest& aRequest)
{
  auto& candidates = mImpl->mJoinCandidates;
  if (candidates.size() >= kMaxJoinCandidates &&
      candidates.count(aRequest.mAddress) == 0) {
    candidates.erase(candidates.begin());
  }
  const auto now = Now();
  auto& candidate = candidates[aRequest.mAddress];
  if (candidate.mMember != aRequest.mMember ||
      now - candidate.mAskedAt > kMaxJoinRequestAge) {
    candidate.mFirstAskedAt = now;
  }
  candidate.mMember = aRequest.mMember;
  candidate.mAskedAt = now;
}

std::optional<protocol::LeaveAnswer>
ControlCore::OnLeaveRequest(const protocol::LeaveRequest& aRequest)
{
  return mImpl->AnswerLeaveRequest(aRequest.mMember, Now());
}

void
ControlCore::SetRedirectHint(const std::string& aAddress)
{
  mImpl->mCoordinator.SetLeader(base::MemberId(), aAddress);
}

const coordination::consensus::Membership&
ControlCore::CurrentMembership() const
{
  return mImpl->mRaft.CurrentMembership();
}

void
ControlCore::TransferLeadership()
{
  mImpl->mRaft.TransferLeadership(Now());
}

void
ControlCore::Tick(base::Time aNow)
{
  mImpl->mRaft.Tick(aNow);
  mImpl->mCoordinator.SetUnixOffset(UnixNowMs() - base::ToMilliseconds(aNow));
  mImpl->mCoordinator.Tick(aNow);
  mImpl->UpdateFragmentation(aNow);
  mImpl->RepairGroup(aNow);
  mImpl->UpdateLeaderless(aNow);
  mImpl->LogWaitingJoins(aNow);
}

void
ControlCore::ProcessOutput()
{
  mImpl->ProcessOutput();
}

const ControlStatus&
ControlCore::Status() const
{
  return mImpl->mStatus;
}

} // namespace dogwooddrum::daemon
