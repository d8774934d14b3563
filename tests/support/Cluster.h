/** \file
 * Defines Cluster, a simulated control group with a client, membership
 * changes and checks, driven by the lines of a script.
 */
#pragma once

#include "tests/support/ControlNode.h"

#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace dogwooddrum::support {

/**
 * Checks the invariants of a replicated log: one leader per term, equal
 * entries at equal indexes, entries applied in order without gaps, and no
 * return to an older snapshot.
 */
class LogChecker
{
public:
  void OnLeaderAnswered(base::Term aTerm, base::MemberId aMember);
  void OnApplied(const ControlNode& aNode, const consensus::LogEntry& aEntry);
  void OnRestored(const ControlNode& aNode,
                  const consensus::Snapshot& aSnapshot);
  void AddViolation(const std::string& aViolation);
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  std::map<base::Term, base::MemberId> mLeaders;
  std::map<base::LogIndex, consensus::LogEntry> mEntries;
  std::vector<std::string> mViolations;
};

/** Application that stores the set of applied commands. */
class CommandSet : public Application
{
public:
  explicit CommandSet(ControlNode& aNode, class Cluster& aCluster)
    : mNode(aNode)
    , mCluster(aCluster)
  {
  }
  void Apply(const consensus::LogEntry& aEntry) override;
  void Restore(const std::string& aState) override;
  std::string Save() const override;
  void ReadDone(consensus::ReadId aRead, bool aConfirmed) override;
  bool Has(std::uint64_t aCommand) const
  {
    return mCommands.count(aCommand) > 0;
  }

private:
  ControlNode& mNode;
  class Cluster& mCluster;
  std::set<std::uint64_t> mCommands;
};

/** A simulated control group. */
class Cluster
{
public:
  using ApplicationFactory =
    std::function<std::unique_ptr<Application>(ControlNode&)>;

  /** With a factory, its application replaces CommandSet and the client. */
  Cluster(std::uint64_t aSeed,
          std::size_t aNodes,
          ApplicationFactory aFactory = {});

  /** Runs lines such as "at 1.2s kill control-2"; see Script.cpp. */
  void Run(const std::vector<std::string>& aLines);
  /** Returns seed, violations and history, or empty without violations. */
  std::string Report() const;
  const std::vector<std::string>& Violations() const
  {
    return mChecker.Violations();
  }
  /** Returns the running leader of the highest term, or null. */
  ControlNode* Leader();
  Simulation& GetSimulation() { return mSimulation; }
  Network& GetNetwork() { return mNetwork; }
  LogChecker& GetChecker() { return mChecker; }
  const std::vector<std::unique_ptr<ControlNode>>& Nodes() { return mNodes; }
  ControlNode* Find(base::MemberId aId);
  /** Adds a line to the history. */
  void AddToHistory(const std::string& aText);

private:
  friend class CommandSet;
  struct PendingCommand
  {
    base::MemberId mNode; ///< leader that it was last proposed to
    base::LogIndex mIndex;
    base::Term mTerm;
    base::Time mRetryAt;
  };
  struct PendingRead
  {
    std::size_t mAcknowledged = 0; ///< commands, when the read started
  };

  // Script verbs; arguments are the words after the verb.
  using Words = std::vector<std::string>;
  using VerbHandler = void (Cluster::*)(const Words&);
  static const std::map<std::string, VerbHandler>& VerbHandlers();
  void DoKill(const Words& aWords);
  void DoRestart(const Words& aWords);
  void DoFreeze(const Words& aWords);
  void DoThaw(const Words& aWords);
  void DoCut(const Words& aWords);
  void DoHeal(const Words& aWords);
  void DoLoseDisk(const Words& aWords);
  void DoRemove(const Words& aWords);
  void DoDisk(const Words& aWords);
  void DoNetwork(const Words& aWords);
  void DoSubmit(const Words& aWords);
  void DoTransfer(const Words& aWords);
  void DoPlant(const Words& aWords);
  void DoRemember(const Words& aWords);
  void DoExpect(const Words& aWords);
  std::function<bool()> MakeCondition(const Words& aWords);
  /** Calls aAction for the named node, for "leader" or for all ("*"). */
  void ForEach(const std::string& aName,
               const std::function<void(ControlNode&)>& aAction);

  void Tick();
  void Deliver(ControlNode& aFrom, const consensus::Message& aMessage);
  void InjectFaultOnDelivery(ControlNode& aTo, consensus::Message& aMessage);
  void InjectLearnerVote(const consensus::Message& aMessage);
  void ProposePending();
  void StartRead();
  void ProposeNextChange();
  bool IsFullyRepaired();
  void Acknowledge(ControlNode& aNode, const consensus::LogEntry& aEntry);
  bool HasApplied(ControlNode& aNode, std::size_t aCount);

  std::uint64_t mSeed;
  bool mHasClient = true;
  Simulation mSimulation;
  Network mNetwork;
  NodeHooks mHooks;
  LogChecker mChecker;
  std::vector<std::unique_ptr<ControlNode>> mNodes;
  std::vector<std::string> mHistory;
  InjectedFault mInjectedFault = InjectedFault::None;
  std::uint64_t mNextId = 0;
  std::uint64_t mNextCommand = 0;
  std::map<std::uint64_t, PendingCommand> mPendingCommands;
  std::vector<std::uint64_t> mAcknowledged;
  std::uint64_t mNextRead = 0;
  std::map<std::uint64_t, PendingRead> mPendingReads;
  /** Membership changes to propose, in order; a change that has taken effect
   * returns false and is removed. */
  std::deque<std::function<bool(consensus::Membership&)>> mMembershipChanges;
  std::pair<base::Term, base::MemberId> mRememberedLeader;
};

/**
 * Returns a random script for a group of aNodes: aFaults faults, then the end
 * of all faults and the wait for a leader.
 */
std::vector<std::string>
RandomScript(std::uint64_t aSeed,
             std::size_t aNodes,
             int aFaults = 25,
             std::uint64_t aStartMs = 1000);

} // namespace dogwooddrum::support
