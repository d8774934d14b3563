/** \file
 * Defines ControlCore, which connects Raft, the Coordinator and the disk of a
 * control member on its decision thread.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Departure.h"
#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/StorageThread.h"
#include "dogwooddrum/state/SnapshotTrigger.h"

#include <atomic>
#include <functional>
#include <memory>

namespace dogwooddrum::daemon {

struct ControlCoreOptions
{
  coordination::consensus::RaftOptions mRaft;
  coordination::control::CoordinatorOptions mCoordinator;
  state::SnapshotLimits mSnapshots;
  /** If set, lost members are replaced without an operator. */
  std::optional<coordination::consensus::GroupRepairOptions> mRepair;
};

/** Callbacks to the host. Called on the decision thread unless noted. */
struct ControlCoreHooks
{
  std::function<void(const coordination::consensus::Message&)> mSendToPeer;
  std::function<void(const coordination::control::Outgoing&)> mSendToSession;
  std::function<void(const coordination::consensus::Membership&)>
    mMembershipChanged;
  std::function<void(const coordination::control::Notice&)> mNotice;
  std::function<void(const coordination::workloads::WorkloadEvent&)>
    mWorkloadEvent;
  std::function<void(const SyncResult&)> mSynced; ///< called on the log thread
  std::function<void(const coordination::consensus::VoteRefusal&)> mVoteRefused;
  /** Returns whether messages to this member can be sent at present. */
  std::function<bool(base::MemberId)> mIsPeerLinkOpen;
};

/** State for /readyz and /metrics. The host owns it, since a core may be
 * replaced while the process runs. Thread safe. */
struct ControlStatus
{
  std::atomic<std::uint64_t> mTerm{ 0 };
  std::atomic<std::uint64_t> mLeaderId{ 0 }; ///< 0: unknown
  /** Is the leader and has applied all entries of earlier terms. */
  std::atomic<bool> mIsLeaderReady{ false };
  std::atomic<std::uint64_t> mCommitIndex{ 0 };
  std::atomic<std::uint64_t> mLastIndex{ 0 };
  /** Number of entries that the slowest voter lacks. */
  std::atomic<std::uint64_t> mReplicationLag{ 0 };
  std::atomic<std::uint64_t> mAppliedIndex{ 0 };
  std::atomic<std::uint64_t> mConfigurationVersion{ 0 };
  std::atomic<std::uint64_t> mActiveJobs{ 0 };
  std::atomic<std::uint64_t> mEvacuatedZones{ 0 };
  std::atomic<bool> mStorageFailed{ false };
  std::atomic<bool> mIsVoter{ false };
  std::atomic<bool> mHasOtherVoters{ false };
  /** Since when no leader is known; the epoch: one is known. */
  std::atomic<base::Time> mLeaderlessSince{ base::Time{} };
  // Free capacity, measured by the leader every 5 s.
  std::atomic<double> mUnusableShare{ 0 };
  std::atomic<std::uint32_t> mFreeAccelerators{ 0 };
  std::atomic<std::uint32_t> mTotalAccelerators{ 0 };
  std::atomic<std::uint32_t> mLargestOnWorker{ 0 };
  std::atomic<std::uint32_t> mLargestInRack{ 0 };
  std::atomic<std::uint32_t> mLargestInZone{ 0 };

  /** Returns for how long no leader has been known; 0 if one is known. */
  base::Duration LeaderlessTime(base::Time aNow) const
  {
    const base::Time since = mLeaderlessSince;
    return since == base::Time{} || aNow < since ? base::Duration::zero()
                                                 : aNow - since;
  }
};

/**
 * Runs one control member: passes messages to Raft, committed entries to the
 * Coordinator, and writes to the log thread.
 * Thread safety: all members belong to the thread of aLoop, which must run Tick
 * and ProcessOutput as its hooks. Events that the core has posted to aLoop
 * refer to it: after Stop, it must be kept until these have run.
 */
class ControlCore
{
public:
  /** Restores the state machine. aStatus and aLoop must outlive the core. A
   * snapshot that cannot be decoded breaks an invariant, since its checksum was
   * verified. */
  ControlCore(const ControlCoreOptions& aOptions,
              const coordination::consensus::RecoveredState& aRecovered,
              std::unique_ptr<state::Storage> aStorage,
              ControlCoreHooks aHooks,
              ControlStatus& aStatus,
              EventLoop& aLoop);
  ~ControlCore();

  /** Starts the log and the snapshot thread. */
  void Start();
  /** Ends these threads. Call after the event loop has stopped. */
  void Stop();

  void Receive(const coordination::consensus::Message& aMessage);
  /** Returns whether aMember votes in the newest membership. */
  bool IsVoter(base::MemberId aMember) const;
  /** Records a process that asks to join the group, for the next repair. */
  void OnJoinRequest(const protocol::JoinRequest& aRequest);
  /** Records a member that is about to end, for the next repair. Returns the
   * answer to it; empty if this member does not lead, and so sends none. */
  std::optional<protocol::LeaveAnswer> OnLeaveRequest(
    const protocol::LeaveRequest& aRequest);
  /** Redirects entries and agents to the member at aAddress. Precondition: this
   * process is not a member, so that it has no leader to name. */
  void SetRedirectHint(const std::string& aAddress);
  /** Returns the newest membership, committed or not. */
  const coordination::consensus::Membership& CurrentMembership() const;
  /** Returns the coordinator, which takes requests and reports. */
  coordination::control::Coordinator& GetCoordinator();
  void TransferLeadership();
  void Tick(base::Time aNow);
  /** Carries out the outputs of Raft and the Coordinator until none is
   * left. */
  void ProcessOutput();
  const ControlStatus& Status() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
