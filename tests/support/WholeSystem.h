/** \file
 * Defines WholeSystem, one region in one process and virtual time: control
 * nodes with Raft, Storage and Coordinator, agents with a target that records
 * each start, callers and operators, under random faults that a seed
 * determines.
 */
#pragma once

#include "dogwooddrum/coordination/agent/Agent.h"
#include "dogwooddrum/coordination/control/Coordinator.h"
#include "tests/support/Cluster.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::support {

namespace agent = coordination::agent;
namespace control = coordination::control;

class WholeSystem;

/** Runs a Coordinator as the replicated application of a control node. */
class CoordinatorHost : public Application
{
public:
  CoordinatorHost(WholeSystem& aSystem, ControlNode& aNode);
  void Apply(const consensus::LogEntry& aEntry) override;
  void Restore(const std::string& aState) override;
  std::string Save() const override { return mCoordinator.SaveState(); }
  void ReadDone(consensus::ReadId aRead, bool aConfirmed) override;
  bool ProcessOutput() override;
  control::Coordinator& GetCoordinator() { return mCoordinator; }

private:
  void FollowLeadership();

  WholeSystem& mSystem;
  ControlNode& mNode;
  control::Coordinator mCoordinator;
  bool mIsLeader = false;
  base::Time mLastTick;
  base::ConfigurationVersion mVersion;
};

/** A client's link to one control node. Connects to the next node if this one
 * sends nothing for a while. */
class ControlLink
{
public:
  ControlLink(WholeSystem& aSystem, std::string aName);
  /** Connects to aNode, or to the next one, under a new session. */
  void Reconnect(ControlNode* aNode = nullptr);
  /** Calls aHandle on the node's coordinator after the network's delay. */
  void Send(
    std::function<void(control::Coordinator&, control::SessionId)> aHandle);
  /** Records that a message arrived from the control node. */
  void RecordContact();
  /** Reconnects if no message arrived for a while. Returns whether it did. */
  bool Tick();

  std::string mName;
  control::SessionId mSession;

private:
  WholeSystem& mSystem;
  std::size_t mNode = 0;
  base::Time mLastContact;
};

/** A simulated agent with its target. */
struct AgentNode
{
  std::unique_ptr<ControlLink> mLink;
  std::unique_ptr<agent::Agent> mAgent;
  base::Incarnation mIncarnation;
  bool mFrozen = false;
  std::vector<std::function<void()>> mDelayedEvents;
  std::set<protocol::TaskKey> mRunning;
  base::ConfigurationVersion mVersion;
};

/** A caller's job. */
struct CallerJob
{
  protocol::JobSpec mSpec;
  base::JobId mJob; ///< 0: submission not acknowledged yet
  bool mShouldCancel = false;
  bool mRefused = false;
  protocol::JobView mView; ///< newest that arrived
  std::optional<protocol::JobView> mFinalView;
  std::string mAnswer;
  bool mChecked = false; ///< ended, and a whole answer was compared
  base::Time mNextRequestTime;
};

/** An operator's change. */
struct OperatorChange
{
  protocol::ChangeRequest mRequest;
  std::optional<protocol::ChangeOutcome> mOutcome;
  base::Time mNextRequestTime;
};

struct SystemCounts
{
  std::uint64_t mViolations = 0;
  std::uint64_t mDoubled = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mVersionReversals = 0;
  std::uint64_t mJobs = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mChanges = 0; ///< accepted
};

class WholeSystem
{
public:
  explicit WholeSystem(std::uint64_t aSeed);
  /** Injects a fault named as in scripts, to test that the checks report
   * it. */
  void InjectFault(const std::string& aName)
  {
    mCluster.Run({ "plant " + aName });
  }
  /** Runs the scenario of the seed and checks its invariants. */
  SystemCounts Run();
  /** Returns violations and history, or empty. */
  std::string Report() const { return mCluster.Report(); }

private:
  friend class CoordinatorHost;
  friend class ControlLink;

  base::Time Now() { return mCluster.GetSimulation().Now(); }
  std::mt19937_64& Random() { return mCluster.GetSimulation().Random(); }
  void RecordViolation(const std::string& aText);

  // Agents and targets.
  void StartAgent(std::size_t aIndex);
  void StepAgent(AgentNode& aAgentNode, const std::function<void()>& aEvent);
  void ProcessAgentOutput(AgentNode& aAgentNode);
  void PerformCall(AgentNode& aAgentNode, const agent::PlatformCall& aCall);
  void StartOnTarget(AgentNode& aAgentNode, const agent::StartTask& aStart);
  void FinishOnTarget(AgentNode& aAgentNode, const agent::StartTask& aStart);
  void InjectAgentFaults();
  void CheckGangStart(const protocol::TaskKey& aKey);

  // Messages from control.
  void Deliver(ControlNode& aNode, const control::Outgoing& aOut);
  void DeliverToAgent(AgentNode& aAgentNode, const control::Outgoing& aOut);
  void DeliverToCaller(const protocol::ClientReply& aReply);

  // Callers and operators.
  std::uint64_t SendRequest(const protocol::ClientRequestBody& aBody);
  void SubmitPeriodically(base::Duration aPeriod);
  void TickJob(std::size_t aJob);
  void OnJobReply(std::size_t aJob, const protocol::ClientReplyBody& aBody);
  void ChangePeriodically(base::Duration aPeriod);
  void OnChangeReply(std::size_t aChange,
                     const protocol::ClientReplyBody& aBody);
  void Configure();

  void Tick();
  bool IsSettled() const;
  void CheckEnd();
  void CheckJob(const CallerJob& aJob);
  void CheckConfiguration();
  void RecordCommitted(const consensus::LogEntry& aEntry);

  Cluster mCluster;
  std::size_t mNodes;
  SystemCounts mCounts;
  std::uint64_t mLastId = 1000; ///< last id of a session or incarnation
  std::vector<std::unique_ptr<AgentNode>> mAgentNodes;
  std::unique_ptr<ControlLink> mCallerLink;
  std::vector<CallerJob> mJobs;
  std::vector<OperatorChange> mChanges;
  std::map<base::RequestId,
           std::function<void(const protocol::ClientReplyBody&)>>
    mReplies;
  std::uint64_t mLastRequest = 0;
  bool mFaultsEnabled = true;
  base::ConfigurationVersion mSeenVersion;
  /** Number of starts at targets, by job and task. */
  std::map<std::pair<base::JobId, base::TaskIndex>, std::uint32_t> mTaskStarts;
  std::set<base::JobId> mStartedJobs;
  std::set<protocol::TaskKey> mPrepared;
  std::set<std::pair<base::JobId, base::AttemptId>> mGangsCommitted;
  std::map<std::pair<base::JobId, base::AttemptId>, std::uint32_t> mGangSizes;
};

/** Returns the answer that the targets must produce for a job. */
std::string
ExpectedAnswer(const protocol::JobSpec& aSpec);

} // namespace dogwooddrum::support
