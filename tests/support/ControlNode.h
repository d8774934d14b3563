/** \file
 * Defines ControlNode, a control process in virtual time: Raft, Storage on a
 * fake disk with a log thread, and a replicated application.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"
#include "tests/support/Simulation.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::support {

namespace consensus = coordination::consensus;

class ControlNode;

/** The replicated state machine of a node, created at each start. */
class Application
{
public:
  virtual ~Application() = default;
  virtual void Apply(const consensus::LogEntry& aEntry) = 0;
  virtual void Restore(const std::string& aState) = 0;
  virtual std::string Save() const = 0;
  virtual void ReadDone(consensus::ReadId aRead, bool aConfirmed) = 0;
  /** Runs after each event. Returns whether it passed work to Raft. */
  virtual bool ProcessOutput() { return false; }
};

/** Faults injected into the harness to show that the checks detect them. */
enum class InjectedFault : std::uint8_t
{
  None,
  SkipSync,         ///< the disk reports syncs that it skipped
  AcceptOldTerm,    ///< messages of old terms count as of the current one
  CountLearnerVote, ///< learners vote, and their votes count as a voter's
  StaleRead,        ///< a leader confirms reads without a quorum
  ReuseIndex,       ///< a restart drops durable entries from the log's end
};

/** Callbacks from a node to its cluster. */
struct NodeHooks
{
  std::function<std::unique_ptr<Application>(ControlNode&)> mMakeApplication;
  std::function<void(ControlNode&, const consensus::Message&)> mSend;
  std::function<void(ControlNode&, const consensus::LogEntry&)> mOnApplied;
  std::function<void(ControlNode&, const consensus::Snapshot&)> mOnRestored;
  std::function<void(ControlNode&)> mOnStepped;
  std::function<void(const std::string&)> mLog;
};

/** A control process that can be killed, restarted, frozen and thawed. */
class ControlNode
{
public:
  ControlNode(Simulation& aSimulation,
              const NodeHooks& aHooks,
              std::string aName,
              base::MemberId aId,
              consensus::Membership aInitial);

  void Start();
  /** Ends the process, often in the middle of a write, and mostly with a loss
   * of power. */
  void Kill();
  /** Ends the process, often in the middle of a write, with a loss of power. */
  void LosePower();
  void Freeze() { mFrozen = true; }
  void Thaw();
  /** Kills the process and empties its disk; Start starts a new member. */
  void LoseDisk(base::MemberId aNewId);
  /** Kills the process, empties its disk and starts it as a new member. */
  void ReplaceDisk(base::MemberId aNewId);
  /** Runs aEvent in the process; if it is frozen, after Thaw. */
  void Step(const std::function<void()>& aEvent);

  const std::string& Name() const { return mName; }
  base::MemberId Id() const { return mId; }
  bool IsRunning() const { return mRaft != nullptr; }
  bool IsResponsive() const { return IsRunning() && !mFrozen; }
  bool IsLeader() const;
  consensus::Raft& GetRaft() { return *mRaft; }
  Application& App() { return *mApplication; }
  base::LogIndex AppliedIndex() const { return mAppliedIndex; }

  FakeFileSystem mFiles;
  base::Duration mDiskDelay{ 200 };
  std::uint64_t mSnapshotInterval = 40; ///< applied entries
  std::uint32_t mChunkBytes = 100;      ///< of snapshots
  InjectedFault mInjectedFault = InjectedFault::None;

private:
  using LogJob = std::variant<consensus::PersistWork, consensus::Snapshot>;

  void EndProcess();
  void Tick(std::uint64_t aGeneration);
  void ProcessReady();
  void HandleReady(consensus::Ready aReady);
  void ApplyEntry(const consensus::LogEntry& aEntry);
  void SnapshotIfDue();
  void StartLogJob();
  void FinishLogJob();
  base::Outcome<bool> RunLogJob(std::vector<consensus::PersistWork>& aDone);

  Simulation& mSimulation;
  const NodeHooks& mHooks;
  std::string mName;
  base::MemberId mId;
  consensus::Membership mInitial;
  std::uint64_t mGeneration = 0; ///< increased at each start and kill
  bool mFrozen = false;
  bool mHasDisk = false; ///< the disk holds this member's identity
  std::deque<std::function<void()>>
    mDeferredEvents; ///< events received while frozen
  std::unique_ptr<state::Storage> mStorage;
  std::unique_ptr<Application> mApplication;
  std::unique_ptr<consensus::Raft> mRaft;
  base::LogIndex mAppliedIndex;
  base::Term mAppliedTerm;
  base::LogIndex mLastSnapshotIndex;
  std::deque<LogJob> mLogJobs;
  bool mLogJobRunning = false;
};

} // namespace dogwooddrum::support
