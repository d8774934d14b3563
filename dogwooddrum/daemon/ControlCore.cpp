#include "dogwooddrum/daemon/ControlCore.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/daemon/Clock.h"
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

/** A sync longer than this delays every request and is logged. */
constexpr base::Duration kSlowSync = base::Milliseconds(250);
/** The measure visits every worker, so it is not taken for each change. */
constexpr base::Duration kFragmentationInterval = base::Milliseconds(5000);
/** Repair steps wait for commits; this only bounds the pause between them. */
constexpr base::Duration kRepairInterval = base::Milliseconds(50);
/** A candidate asks several times within this time. */
constexpr base::Duration kCandidateAge = base::Milliseconds(2000);
constexpr std::size_t kMaxCandidates = 64;
constexpr base::Duration kSnapshotLoopTick = base::Milliseconds(1000);
/** A failed or endless loop of outputs would stop the timers. */
constexpr int kMaxPumpRounds = 1000;

std::string
MemberText(const Membership& aMembership)
{
  std::string text;
  for (const auto& member : aMembership.mMembers) {
    text += (text.empty() ? "" : " ") + std::to_string(member.mId.Value()) +
            (member.mVoter ? "=" : "(learner)=") + member.mAddress;
  }
  return text;
}

} // namespace

struct ControlCore::Impl
{
  Impl(const ControlCoreOptions& aOptions,
       const coordination::consensus::RecoveredState& aRecovered,
       std::unique_ptr<state::Storage> aStorage,
       ControlCoreHooks aHooks,
       EventLoop& aLoop)
    : mOptions(aOptions)
    , mHooks(std::move(aHooks))
    , mLoop(aLoop)
    , mRaft(aOptions.mRaft, aRecovered, Now())
    , mCoordinator(aOptions.mCoordinator)
    , mReplica(aOptions.mCoordinator)
    , mLog(std::move(aStorage), MakeLogEvents())
    , mSnapshotLoop(kSnapshotLoopTick, { [](base::Time) {}, [] {} })
  {
    if (aRecovered.mSnapshot) {
      DOGWOODDRUM_INVARIANT(
        mCoordinator.Restore(aRecovered.mSnapshot->mState) &&
          mReplica.Restore(aRecovered.mSnapshot->mState),
        "recovered snapshot cannot be decoded");
      SetApplied(aRecovered.mSnapshot->mIndex);
      mSnapshotIndex = aRecovered.mSnapshot->mIndex;
    }
  }

  LogThreadEvents MakeLogEvents()
  {
    LogThreadEvents events;
    events.mSynced = [this](const Synced& aSynced) {
      if (aSynced.mDuration > kSlowSync) {
        service::Log(
          LogEvent::SyncSlow,
          { { "duration_ms", base::ToMilliseconds(aSynced.mDuration) } });
      }
      mHooks.mSynced(aSynced);
      mLoop.Post([this, id = aSynced.mId] { mRaft.Persisted(id, Now()); });
    };
    events.mSnapshotSaved = [this](const Snapshot& aSnapshot) {
      service::Log(LogEvent::SnapshotWritten,
                   { { "index", aSnapshot.mIndex.Value() },
                     { "bytes", aSnapshot.mState.size() } });
      mLoop.Post([this, aSnapshot] {
        mSnapshotBusy = false;
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
      mLoop.Post([this] { mRaft.StorageFailed(Now()); });
    };
    return events;
  }

  void SetApplied(base::LogIndex aIndex)
  {
    mApplied = aIndex;
    mStatus.mApplied = aIndex.Value();
  }

  /** Returns whether there was anything to do. */
  bool HandleReady(Ready aReady)
  {
    bool worked = false;
    if (aReady.mPersist) {
      mLog.Persist(std::move(*aReady.mPersist));
      worked = true;
    }
    for (const auto& message : aReady.mMessages) {
      mHooks.mSendPeer(message);
    }
    if (aReady.mRestore) {
      Install(std::move(*aReady.mRestore));
      worked = true;
    }
    if (!aReady.mCommitted.empty()) {
      Apply(std::move(aReady.mCommitted));
      worked = true;
    }
    for (const auto read : aReady.mConfirmedReads) {
      mCoordinator.OnReadConfirmed(read, Now());
      worked = true;
    }
    for (const auto read : aReady.mFailedReads) {
      mCoordinator.OnReadFailed(read, Now());
      worked = true;
    }
    return worked;
  }

  void Install(Snapshot aSnapshot)
  {
    DOGWOODDRUM_INVARIANT(mCoordinator.Restore(aSnapshot.mState),
                          "received snapshot cannot be decoded");
    SetApplied(aSnapshot.mIndex);
    mSnapshotIndex = aSnapshot.mIndex;
    service::Log(LogEvent::SnapshotInstalled,
                 { { "index", aSnapshot.mIndex.Value() } });
    mSnapshotLoop.Post(
      [this, state = std::move(aSnapshot.mState)] { mReplica.Restore(state); });
  }

  void Apply(std::vector<LogEntry> aEntries)
  {
    const auto now = Now();
    for (const auto& entry : aEntries) {
      mCoordinator.Apply(entry, now);
    }
    SetApplied(aEntries.back().mIndex);
    mAppliedTerm = aEntries.back().mTerm;
    mSnapshotLoop.Post([this, entries = std::move(aEntries), now] {
      for (const auto& entry : entries) {
        mReplica.Apply(entry, now);
      }
      mReplica.TakeOutput();
    });
    StartSnapshot();
  }

  /** The replica applies the same entries on its own thread, so that saving
   * the state holds up no decision. */
  void StartSnapshot()
  {
    if (mSnapshotBusy || mStatus.mStorageFailed ||
        mApplied.Value() - mSnapshotIndex.Value() < mOptions.mSnapshotEntries) {
      return;
    }
    mSnapshotBusy = true;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->mIndex = mApplied;
    snapshot->mTerm = mAppliedTerm;
    snapshot->mMembership = mRaft.MembershipAt(mApplied);
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
    if (mLeads && (!leads || term != mLedTerm)) {
      mLeads = false;
      service::Log(LogEvent::LeaderLost,
                   { { "member", mOptions.mRaft.mSelf.Value() },
                     { "term", mLedTerm.Value() } });
      mCoordinator.StepDown(now);
    }
    UpdateMembership();
    UpdateLeader();
    if (leads && !mLeads) {
      mLeads = true;
      mLedTerm = term;
      service::Log(LogEvent::LeaderElected,
                   { { "member", mOptions.mRaft.mSelf.Value() },
                     { "term", term.Value() } });
      mCoordinator.BecomeLeader(term, now);
    }
    mStatus.mLeads = mLeads;
    mStatus.mTerm = term.Value();
    mStatus.mCommit = mRaft.CommitIndex().Value();
    mStatus.mLast = mRaft.LastIndex().Value();
    mStatus.mLag = Lag();
    mStatus.mVersion = mCoordinator.Configuration().mVersion.Value();
    mStatus.mActiveJobs = mCoordinator.ActiveJobs();
  }

  /** Returns the entries that the slowest voter lacks; 0 if not leading. */
  std::uint64_t Lag() const
  {
    std::uint64_t lag = 0;
    if (mLeads) {
      const std::uint64_t last = mRaft.LastIndex().Value();
      for (const auto& member : mRaft.CurrentMembership().mMembers) {
        if (member.mVoter) {
          lag = std::max(lag, last - mRaft.MatchIndex(member.mId).Value());
        }
      }
    }
    return lag;
  }

  void UpdateMembership()
  {
    const Membership& membership = mRaft.CurrentMembership();
    auto text = MemberText(membership);
    if (text == mMemberText) {
      return;
    }
    mMemberText = std::move(text);
    service::Log(LogEvent::MembershipChanged, { { "members", mMemberText } });
    mStatus.mOtherVoters = std::any_of(
      membership.mMembers.begin(),
      membership.mMembers.end(),
      [this](const auto& aMember) {
        return aMember.mVoter && aMember.mId != mOptions.mRaft.mSelf;
      });
    mCoordinator.SetMembership(membership);
    mHooks.mMembership(membership);
    mLeader = base::MemberId();
  }

  void UpdateLeader()
  {
    const auto leader = mRaft.Leader();
    if (leader == mLeader) {
      return;
    }
    mLeader = leader;
    mStatus.mLeader = leader.Value();
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
    if (!mLeads || aNow < mNextFragmentation) {
      return;
    }
    mNextFragmentation = aNow + kFragmentationInterval;
    const auto report = mCoordinator.Fragmentation();
    mStatus.mUnusableShare = report.mUnusableShare;
    mStatus.mFree = report.mFree;
    mStatus.mTotal = report.mTotal;
    mStatus.mLargestOnWorker = report.mLargestOnWorker;
    mStatus.mLargestInRack = report.mLargestInRack;
    mStatus.mLargestInZone = report.mLargestInZone;
  }

  /** Proposes the next change that the group needs. */
  void Repair(base::Time aNow)
  {
    if (!mLeads || !mOptions.mRepair || aNow < mNextRepair) {
      return;
    }
    mNextRepair = aNow + kRepairInterval;
    coordination::consensus::GroupView view;
    view.mMembership = mRaft.CurrentMembership();
    view.mSelf = mOptions.mRaft.mSelf;
    for (const auto& member : view.mMembership.mMembers) {
      if (const auto heard = mRaft.LastContact(member.mId)) {
        view.mTimeSinceContact[member.mId] = aNow - *heard;
      }
    }
    for (const auto& [address, asked] : mJoinCandidates) {
      if (aNow - asked.mWhen <= kCandidateAge) {
        view.mJoinCandidates.push_back({ asked.mMember, address });
      }
    }
    if (const auto next =
          coordination::consensus::PlanNextRepair(view, *mOptions.mRepair)) {
      mRaft.ProposeMembership(*next, aNow);
    }
  }

  bool HandleOutput(coordination::control::Output aOutput)
  {
    const auto now = Now();
    bool worked = !aOutput.mProposals.empty() || !aOutput.mReads.empty() ||
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
      mHooks.mSendSession(message);
    }
    for (const auto& notice : aOutput.mNotices) {
      mHooks.mNotice(notice);
    }
    for (const auto& note : aOutput.mWorkloadEvents) {
      mHooks.mNote(note);
    }
    return worked;
  }

  void Pump()
  {
    for (int round = 0; round < kMaxPumpRounds; ++round) {
      bool worked = HandleReady(mRaft.TakeReady());
      UpdateLeadership();
      worked = HandleOutput(mCoordinator.TakeOutput()) || worked;
      if (!worked) {
        return;
      }
    }
  }

  const ControlCoreOptions mOptions;
  const ControlCoreHooks mHooks;
  EventLoop& mLoop;
  Raft mRaft;
  Coordinator mCoordinator;
  /** Applies the same entries; used by the snapshot loop only. */
  Coordinator mReplica;
  LogThread mLog;
  EventLoop mSnapshotLoop;
  ControlStatus mStatus;
  base::LogIndex mApplied;
  base::Term mAppliedTerm;
  base::LogIndex mSnapshotIndex;
  bool mSnapshotBusy = false;
  bool mLeads = false;
  base::Term mLedTerm;
  base::MemberId mLeader;
  base::Time mNextFragmentation{};
  std::string mMemberText;
  /** A process that asked to join, by its address; the newest one counts. */
  struct Asked
  {
    base::MemberId mMember;
    base::Time mWhen;
  };
  std::map<std::string, Asked> mJoinCandidates;
  base::Time mNextRepair{};
};

ControlCore::ControlCore(
  const ControlCoreOptions& aOptions,
  const coordination::consensus::RecoveredState& aRecovered,
  std::unique_ptr<state::Storage> aStorage,
  ControlCoreHooks aHooks,
  EventLoop& aLoop)
  : mImpl(std::make_unique<Impl>(aOptions,
                                 aRecovered,
                                 std::move(aStorage),
                                 std::move(aHooks),
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
ControlCore::Decisions()
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
  if (candidates.size() >= kMaxCandidates &&
      candidates.count(aRequest.mAddress) == 0) {
    candidates.erase(candidates.begin());
  }
  candidates[aRequest.mAddress] = { aRequest.mMember, Now() };
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
  mImpl->Repair(aNow);
}

void
ControlCore::Pump()
{
  mImpl->Pump();
}

const ControlStatus&
ControlCore::Status() const
{
  return mImpl->mStatus;
}

} // namespace dogwooddrum::daemon
