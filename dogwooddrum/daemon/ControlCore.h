/** \file
 * Defines ControlCore, the decision thread's part of a control member: it
 * joins Raft, the Coordinator and the disk.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/LogThread.h"

#include <atomic>
#include <functional>
#include <memory>

namespace dogwooddrum::daemon {

struct ControlCoreOptions
{
  coordination::consensus::RaftOptions mRaft;
  coordination::control::CoordinatorOptions mCoordinator;
  std::uint64_t mSnapshotEntries = 20000;
  /** Present: lost members are replaced without an operator. */
  std::optional<coordination::consensus::GroupRepairOptions> mRepair;
};

/** What the core needs from its host. Called on the decision thread. */
struct ControlCoreHooks
{
  std::function<void(const coordination::consensus::Message&)> mSendPeer;
  std::function<void(const coordination::control::Outgoing&)> mSendSession;
  std::function<void(const coordination::consensus::Membership&)> mMembership;
  std::function<void(const coordination::control::Notice&)> mNotice;
  std::function<void(const coordination::workloads::WorkloadEvent&)> mNote;
  std::function<void(const Synced&)> mSynced; ///< on the log thread
};

/** Facts for /readyz and /metrics. Thread safe. */
struct ControlStatus
{
  std::atomic<std::uint64_t> mTerm{ 0 };
  std::atomic<std::uint64_t> mLeader{ 0 }; ///< member id; 0: unknown
  std::atomic<bool> mLeads{ false };       ///< and has applied earlier terms
  std::atomic<std::uint64_t> mCommit{ 0 };
  std::atomic<std::uint64_t> mLast{ 0 };
  std::atomic<std::uint64_t> mLag{ 0 }; ///< entries the slowest voter lacks
  std::atomic<std::uint64_t> mApplied{ 0 };
  std::atomic<std::uint64_t> mVersion{ 0 };
  std::atomic<std::uint64_t> mActiveJobs{ 0 };
  std::atomic<bool> mStorageFailed{ false };
  std::atomic<bool> mOtherVoters{ false };
  // Free space as the leader sees it, a few seconds old.
  std::atomic<double> mUnusableShare{ 0 };
  std::atomic<std::uint32_t> mFree{ 0 };
  std::atomic<std::uint32_t> mTotal{ 0 };
  std::atomic<std::uint32_t> mLargestOnWorker{ 0 };
  std::atomic<std::uint32_t> mLargestInRack{ 0 };
  std::atomic<std::uint32_t> mLargestInZone{ 0 };
};

/**
 * Thread safety: Status is; everything else belongs to the thread of aLoop,
 * which must run Tick and Pump as its hooks.
 */
class ControlCore
{
public:
  /** aLoop must outlive Stop. Restores the state machine; a snapshot that
   * cannot be read breaks an invariant, since its checksum was verified. */
  ControlCore(const ControlCoreOptions& aOptions,
              const coordination::consensus::RecoveredState& aRecovered,
              std::unique_ptr<state::Storage> aStorage,
              ControlCoreHooks aHooks,
              EventLoop& aLoop);
  ~ControlCore();

  /** Starts the log and the snapshot thread. */
  void Start();
  /** Ends them. Call after the event loop has stopped. */
  void Stop();

  void Receive(const coordination::consensus::Message& aMessage);
  /** Returns whether aMember votes in the newest membership. */
  bool IsVoter(base::MemberId aMember) const;
  /** Notes that a process wants to join. */
  void OnJoinRequest(const protocol::JoinRequest& aRequest);
  /** Returns the newest membership, committed or not. */
  const coordination::consensus::Membership& CurrentMembership() const;
  /** Returns the coordinator, to pass events in. */
  coordination::control::Coordinator& Decisions();
  void TransferLeadership();
  void Tick(base::Time aNow);
  /** Carries out all outputs until there are none. */
  void Pump();
  const ControlStatus& Status() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
