/** \file
 * Defines WholeSystem, one region in one process and virtual time: control
 * nodes with Raft, Storage and Coordinator, agents with a target that records
 * each start, callers and operators, under faults drawn from a seed.
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

/** Coordinator as the replicated application of a control node. */
class CoordinatorHost : public Application
{
public:
  CoordinatorHost(WholeSystem& aSystem, ControlNode& aNode);
  void Apply(const consensus::LogEntry& aEntry) override;
  void Restore(const std::string& aState) override;
  std::string Save() const override { return mCoordinator.SaveState(); }
  void ReadDone(consensus::ReadId aRead, bool aConfirmed) override;
  bool ProcessOutput() override;
  control::Coordinator& Get() { return mCoordinator; }

private:
  void FollowLeadership();

  WholeSystem& mSystem;
  ControlNode& mNode;
  control::Coordinator mCoordinator;
  bool mIsLeaderReady = false;
  base::Time mTicked;
  base::ConfigurationVersion mVersion;
};

/** A client's link to one control node; moves on when it is silent. */
class Link
{
public:
  Link(WholeSystem& aSystem, std::string aName);
  /** Connects to aNode, or to the next one, under a new session. */
  void Reconnect(ControlNode* aNode = nullptr);
  /** Calls aHandle on the node's coordinator after the network's delay. */
  void Send(
    std::function<void(control::Coordinator&, control::SessionId)> aHandle);
  void Heard();
  /** Reconnects if nothing was heard for a while. Returns whether it did. */
  bool Tick();

  std::string mName;
  control::SessionId mSession;

private:
  WholeSystem& mSystem;
  std::size_t mNode = 0;
  base::Time mHeard;
};

/** An agent with its target. */
struct AgentSite
{
  std::unique_ptr<Link> mLink;
  std::unique_ptr<agent::Agent> mAgent;
  base::Incarnation mIncarnation;
  bool mFrozen = false;
  std::vector<std::function<void()>> mWaiting;
  std::set<protocol::TaskKey> mRunning;
  base::ConfigurationVersion mVersion;
};

/** A caller's job. */
struct CallerJob
{
  protocol::JobSpec mSpec;
  base::JobId mJob; ///< 0: not acknowledged
  bool mCancel = false;
  bool mRefused = false;
  protocol::JobView mView; ///< newest
  std::optional<protocol::JobView> mEnd;
  std::string mAnswer;
  bool mChecked = false; ///< the whole answer was compared
  base::Time mAskAt;
};

/** An operator's change. */
struct OperatorChange
{
  protocol::ChangeRequest mRequest;
  std::optional<protocol::ChangeOutcome> mOutcome;
  base::Time mAskAt;
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
  /** Plants a fault named as in scripts, to show that the checks catch it. */
  void PlantFault(const std::string& aName)
  {
    mCluster.Run({ "plant " + aName });
  }
  /** Runs the scenario of the seed and checks it. */
  SystemCounts Run();
  /** Returns violations and history, or empty. */
  std::string Report() const { return mCluster.Report(); }

private:
  friend class CoordinatorHost;
  friend class Link;

  base::Time Now() { return mCluster.GetSimulation().Now(); }
  std::mt19937_64& Random() { return mCluster.GetSimulation().Random(); }
  void Violate(const std::string& aText);

  // Agents and targets.
  void StartAgent(std::size_t aSite);
  void StepAgent(AgentSite& aSite, const std::function<void()>& aEvent);
  void PumpAgent(AgentSite& aSite);
  void Perform(AgentSite& aSite, const agent::PlatformCall& aCall);
  void StartOnTarget(AgentSite& aSite, const agent::StartTask& aStart);
  void FinishOnTarget(AgentSite& aSite, const agent::StartTask& aStart);
  void DisturbAgents();
  void CheckGangStart(const protocol::TaskKey& aKey);

  // Messages from control.
  void Route(ControlNode& aNode, const control::Outgoing& aOut);
  void ToAgent(AgentSite& aSite, const control::Outgoing& aOut);
  void ToCaller(const protocol::ClientReply& aReply);

  // Callers and operators.
  std::uint64_t Ask(const protocol::ClientRequestBody& aBody);
  void SubmitSome(base::Duration aPeriod);
  void TickJob(std::size_t aJob);
  void OnJobReply(std::size_t aJob, const protocol::ClientReplyBody& aBody);
  void ChangeSome(base::Duration aPeriod);
  void OnChangeReply(std::size_t aChange,
                     const protocol::ClientReplyBody& aBody);
  void Configure();

  void Tick();
  bool Settled() const;
  void CheckEnd();
  void CheckJob(const CallerJob& aJob);
  void CheckConfiguration();
  void NoteCommitted(const consensus::LogEntry& aEntry);

  Cluster mCluster;
  std::size_t mNodes;
  SystemCounts mCounts;
  std::uint64_t mLastId = 1000; ///< of sessions and incarnations
  std::vector<std::unique_ptr<AgentSite>> mSites;
  std::unique_ptr<Link> mCallerLink;
  std::vector<CallerJob> mJobs;
  std::vector<OperatorChange> mChanges;
  std::map<base::RequestId,
           std::function<void(const protocol::ClientReplyBody&)>>
    mReplies;
  std::uint64_t mLastRequest = 0;
  bool mDisturbing = true;
  base::ConfigurationVersion mSeenVersion;
  /** Starts at targets, by job and task. */
  std::map<std::pair<base::JobId, base::TaskIndex>, std::uint32_t> mStarts;
  std::set<base::JobId> mStartedJobs;
  std::set<protocol::TaskKey> mPrepared;
  std::set<std::pair<base::JobId, base::AttemptId>> mGangsCommitted;
  std::map<std::pair<base::JobId, base::AttemptId>, std::uint32_t> mGangSizes;
};

/** Returns the answer of a job that the targets produce. */
std::string
ExpectedAnswer(const protocol::JobSpec& aSpec);

} // namespace dogwooddrum::support
