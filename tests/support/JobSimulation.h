/** \file
 * Defines JobSimulation, a scripted cluster in virtual time: coordinators over
 * an in-memory stand-in for the replicated log, agents with a stand-in
 * platform, and a network whose messages a test can drop, delay or repeat.
 */
#pragma once

#include "dogwooddrum/coordination/agent/Agent.h"
#include "dogwooddrum/coordination/control/Coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

namespace agent = coordination::agent;
namespace consensus = coordination::consensus;
namespace control = coordination::control;

/** A task start that a platform received. */
struct Execution
{
  protocol::TaskKey mKey;
  std::string mWorker;
  base::Time mAt;
  std::string mResumeFrom;
};

/** One agent process with its platform. */
struct SimulatedAgent
{
  std::string mWorker;
  std::unique_ptr<agent::Agent> mAgent;
  base::Incarnation mIncarnation;
  control::SessionId mSession;
  bool mLinked = true;
  bool mFrozen = false;
  std::map<protocol::TaskKey, agent::StartTask> mRunning;
  std::vector<std::function<void()>> mDeferredEvents; ///< arrived while frozen
};

struct JobSimulationOptions
{
  std::uint32_t mMembers = 1;
  std::uint32_t mWorkers = 2;
  std::uint32_t mAccelerators = 8;
  control::CoordinatorOptions mControl;
  agent::AgentOptions mAgent;
  base::Duration mCommitDelay = base::Milliseconds(2);
  base::Duration mNetworkDelay = base::Milliseconds(1);
  base::Duration mRunTime = base::Milliseconds(50); ///< of every task
  std::string mAnswer = "answer"; ///< of every task, with its index added
};

class JobSimulation
{
public:
  explicit JobSimulation(const JobSimulationOptions& aOptions = {});

  /** Adds an account and a profile and waits until the workers are usable. */
  void Boot();
  /** Advances virtual time. */
  void Run(base::Duration aDuration);
  /** Advances until aDone returns true, at most aLimit; returns whether aDone
   * returned true. */
  bool RunUntil(const std::function<bool()>& aDone,
                base::Duration aLimit = base::Milliseconds(30000));

  // Callers.

  /** Sends a request to the member that leads; returns its id. */
  std::uint64_t Send(const protocol::ClientRequestBody& aBody);
  /** Sends a request and waits for its reply. */
  protocol::ClientReplyBody SendAndWait(
    const protocol::ClientRequestBody& aBody);
  const protocol::ClientReplyBody* ReplyTo(std::uint64_t aRequest) const;
  /** Submits and returns the accepted job. */
  base::JobId Submit(const protocol::JobSpec& aSpec);
  protocol::JobView QueryJob(base::JobId aJob);
  /** Waits for the job's end. */
  protocol::JobView AwaitEnd(base::JobId aJob,
                             base::Duration aLimit = base::Milliseconds(60000));
  /** Fetches the whole answer and checks its checksum. */
  std::string FetchAnswer(base::JobId aJob);

  // Faults.

  SimulatedAgent& Host(std::uint32_t aWorker) { return *mHosts.at(aWorker); }
  /** Ends the agent process and starts a new one. */
  void RestartAgent(std::uint32_t aWorker);
  void KillAgent(std::uint32_t aWorker);
  void Freeze(std::uint32_t aWorker) { Host(aWorker).mFrozen = true; }
  void Resume(std::uint32_t aWorker);
  /** Makes another member the leader. Proposals in flight are lost if
   * aLoseProposals is set. The old leader does not step down if aSilently is
   * set. */
  void ChangeLeader(std::uint32_t aMember,
                    bool aLoseProposals = false,
                    bool aSilently = false);
  /** Replaces a member by one restored from a snapshot of its state. */
  void RestartMember(std::uint32_t aMember);

  /** Called for each message; returns the number of copies to deliver. */
  std::function<int(const agent::MessageToControl&)> mCopiesToControl;
  std::function<int(const control::Outgoing&)> mCopiesToAgent;
  /** Called before the platform starts a task; if it returns true, the platform
   * does not start the task. */
  std::function<bool(SimulatedAgent&, const agent::StartTask&)> mOnStart;
  /** Called for each checkpoint; by default the checkpoint completes at once.
   */
  std::function<void(SimulatedAgent&, const protocol::TaskKey&)> mOnCheckpoint;
  /** Reads are confirmed without a check that the member leads. */
  bool mConfirmReadsUnchecked = false;
  bool mCommitsEnabled = true; ///< false: proposals wait, as without a quorum

  control::Coordinator& Leader() { return *mMembers.at(mLeader); }
  control::Coordinator& Member(std::uint32_t aMember)
  {
    return *mMembers.at(aMember);
  }
  base::Time Now() const { return mNow; }
  /** Schedules an action. */
  void At(base::Time aWhen, std::function<void()> aAction);
  /** Returns the number of task starts of a job over all platforms. */
  std::size_t StartCount(base::JobId aJob) const;
  /** Returns the number of the job's tasks that run now. */
  std::size_t RunningTasks(base::JobId aJob) const;
  /** Ends a running task on its platform with an answer. */
  void FinishTask(SimulatedAgent& aHost,
                  const protocol::TaskKey& aKey,
                  const std::string& aAnswer);

  std::vector<Execution> mExecutions;
  std::vector<control::Notice> mNotices;
  std::vector<std::string> mLog;          ///< committed batches
  std::size_t mMaxProposalsPerOutput = 0; ///< largest number in one output

  /** Returns the session of the entry's link to member aMember. */
  static control::SessionId EntrySession(std::uint32_t aMember)
  {
    return control::SessionId(1 + aMember);
  }
  void Deliver(const std::function<void()>& aAction);
  void ProcessAllOutput();

private:
  void ProcessMemberOutput(std::uint32_t aMember);
  void ProcessAgentOutput(SimulatedAgent& aHost);
  void SendToAgent(const control::Outgoing& aOut);
  void PerformPlatformCall(SimulatedAgent& aHost,
                           const agent::PlatformCall& aCall);
  void ScheduleCommit(std::uint32_t aMember, const std::string& aPayload);
  std::unique_ptr<agent::Agent> MakeAgent(SimulatedAgent& aHost);

  JobSimulationOptions mOptions;
  base::Time mNow;
  std::vector<std::unique_ptr<control::Coordinator>> mMembers;
  std::vector<bool> mActsAsLeader;
  std::uint32_t mLeader = 0;
  base::Term mTerm{ 1 };
  std::uint64_t mProposalEpoch = 0; ///< incremented when proposals are lost
  std::vector<std::unique_ptr<SimulatedAgent>> mHosts;
  std::multimap<base::Time, std::function<void()>> mEvents;
  std::map<std::uint64_t, protocol::ClientReplyBody> mReplies;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastId = 100; ///< of incarnations and agent sessions
};

/** Returns a repeatable job of one task with one accelerator. */
protocol::JobSpec
MakeSmallJob(const std::string& aKey);
/** Returns a job of aTasks tasks with aAccelerators each. */
protocol::JobSpec
MakeGang(const std::string& aKey,
         std::uint32_t aTasks,
         std::uint32_t aAccelerators);

} // namespace dogwooddrum::tests
