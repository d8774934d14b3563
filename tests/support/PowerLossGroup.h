/** \file
 * Defines PowerLossGroup, a control group in virtual time that repairs itself
 * while its machines are replaced, paused, and lose power or their disks.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Departure.h"
#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "tests/support/Cluster.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace dogwooddrum::support {

/** Stores the set of applied commands. */
class AppliedCommands : public Application
{
public:
  void Apply(const consensus::LogEntry& aEntry) override
  {
    if (aEntry.mKind == consensus::EntryKind::Command) {
      mCommands.insert(std::stoull(aEntry.mPayload));
    }
  }
  void Restore(const std::string& aState) override
  {
    mCommands.clear();
    std::istringstream in(aState);
    for (std::uint64_t command = 0; in >> command;) {
      mCommands.insert(command);
    }
  }
  std::string Save() const override
  {
    std::ostringstream out;
    for (const auto command : mCommands) {
      out << command << ' ';
    }
    return out.str();
  }
  void ReadDone(consensus::ReadId, bool) override {}

  std::set<std::uint64_t> mCommands;
};

/** A VM of the control group and the state of its process outside of Raft. */
struct Machine
{
  struct Link
  {
    std::string mAddress;
    std::uint64_t mTargetProcess = 0; ///< 0: not connected
    base::Time mOpenAt;
  };
  struct Candidate
  {
    base::MemberId mId;
    base::Time mAskedAt;
  };

  std::string mAddress;
  std::unique_ptr<ControlNode> mNode;
  bool mIsRemoved = false;
  bool mIsCut = false;  ///< from all machines that are not cut
  bool mIsSlow = false; ///< messages and steps are delayed
  std::vector<std::string> mSeeds;
  std::uint64_t mProcess = 0; ///< increased at each start and end
  // State of the process, reset at each start.
  consensus::Membership mMembership; ///< that the links follow
  std::map<base::MemberId, Link> mLinks;
  /** Sender and its process of the newest message of each member. */
  std::map<base::MemberId, std::pair<Machine*, std::uint64_t>> mIncoming;
  std::map<std::string, Candidate> mCandidates;
  std::set<std::string> mKnownAddresses;
  base::Time mNextJoin;
  base::Time mNextRepair;
  base::Time mLeaderKnownAt;
  consensus::LeavingMembers mLeavingMembers;
  std::optional<consensus::Departure> mDeparture; ///< after SIGTERM
  base::Time mNextTransfer;
};

/** Returns the members for the history. */
std::string
FormatMembership(const consensus::Membership& aMembership);

/** The kinds of faults that a day draws from. */
enum class FaultMix : std::uint8_t
{
  Any,     ///< members leave without an announcement
  Planned, ///< replacements as planned, each followed by lost disks, and others
};

/** A control group that repairs itself, and the faults of one day. */
class PowerLossGroup
{
public:
  PowerLossGroup(std::uint64_t aSeed,
                 std::size_t aTolerated,
                 FaultMix aMix = FaultMix::Any);
  /** Plays the day. Returns the violations with the history, or nothing. */
  std::string Run();

private:
  using FaultHandler = void (PowerLossGroup::*)();

  // Processes and their messages.
  Machine& AddMachine(base::MemberId aId, consensus::Membership aInitial);
  Machine* Find(const std::string& aAddress);
  Machine& MachineOf(const ControlNode& aNode);
  /** Draws an id that no member has had, as the 64-bit ids of members. */
  base::MemberId NewId();
  void StartProcess(Machine& aMachine);
  void EndProcess(Machine& aMachine, const std::function<void()>& aEnd);
  void Transfer(Machine& aFrom, Machine& aTo, std::function<void()> aDeliver);
  Machine* FindReceiver(Machine& aFrom, base::MemberId aTo);
  void SendToMember(Machine& aFrom, const consensus::Message& aMessage);
  void UpdateLinks(Machine& aMachine, const consensus::Membership& aMembership);
  void Tick();
  void TickMachine(Machine& aMachine);
  void OpenLinks(Machine& aMachine);
  void JoinIfNeeded(Machine& aMachine);
  void RequestJoin(Machine& aMachine, Machine& aTo);
  consensus::GroupView ViewGroup(Machine& aMachine);
  consensus::GroupRepairOptions RepairOptions() const;
  void Repair(Machine& aMachine);
  void ContinueDeparture(Machine& aMachine);
  void RequestLeave(Machine& aMachine, Machine& aTo);
  void DelaySteps(Machine& aMachine, base::Time aEnd);
  void ProposeCommand();
  Machine* Leader();

  // Faults.
  std::vector<std::size_t> DrawSlots(std::size_t aCount);
  std::size_t DrawDiskLosses();
  void LoseDisk(std::size_t aSlot, base::Duration aDown);
  void LosePower(std::size_t aSlot, base::Duration aDown);
  void WipeDisks();
  void WipeDisksAndLosePower();
  void LosePowerOfAll();
  void LosePowerOfOne();
  void Replace();
  void ReplacePlanned();
  void ReplaceAnnounced();
  void Pause();
  void CutMinority();
  void SlowDown();
  base::Duration Draw(int aMinMs, int aMaxMs);
  void Disturb(base::Duration aUntil);

  // Checks.
  void CheckCommit();
  void CheckTolerance();
  void CountCurrentVoters();
  void AddToHistory(const std::string& aText);

  const std::uint64_t mSeed;
  const std::size_t mTolerated;
  const FaultMix mMix;
  const base::Duration mCatchUp;
  Simulation mSimulation;
  NodeHooks mHooks;
  LogChecker mChecker;
  std::vector<std::unique_ptr<Machine>> mMachines;
  std::set<base::MemberId> mUsedIds;
  std::vector<Machine*> mSlots; ///< the machines that are part of the system
  std::set<std::size_t> mLostDisks; ///< slots that have not caught up since
  base::Time mCalmFrom;
  std::map<std::pair<Machine*, Machine*>, base::Time> mLastArrival;
  std::uint64_t mNextCommand = 0;
  std::set<std::uint64_t> mCommitted;
  base::LogIndex mNewestCommitted;
  std::string mCurrentVoters; ///< as last added to the history
  std::vector<std::string> mHistory;
};

} // namespace dogwooddrum::support
