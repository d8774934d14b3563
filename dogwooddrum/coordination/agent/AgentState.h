/** \file
 * Defines the private state of Agent, shared by the package's source files.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/agent/Agent.h"

#include <map>
#include <set>

namespace dogwooddrum::coordination::agent {

/** A task that holds resources, or whose end control has not confirmed. */
struct AgentTask
{
  protocol::TaskReport mReport; ///< state as reported to control
  std::uint32_t mAccelerators = 0;
  base::Time mLeaseEnd;
  std::string mResumeFrom;
  std::string mPayload; ///< moved out when the task starts
  bool mStopCalled = false;
  base::Reason mStopReason = base::Reason::None;

  // Delivery of the answer, once Finished.
  std::string mAnswer;
  std::uint64_t mNextOffset = 0;    ///< offset of the next chunk to send
  std::uint64_t mReceivedBytes = 0; ///< length of the leader's prefix
  bool mSending = false;            ///< has unsent chunks or waits for an ack
  base::Time mLastSent;
};

/** Returns whether the task uses a slot, a connection and accelerators. */
bool
HoldsResources(const AgentTask& aTask);

/** An attempt that this agent must not start again. */
struct FencedAttempt
{
  protocol::TaskReport mReport; ///< sent again for each further command
  base::Time mExpiresAt;
};

struct Agent::Impl
{
  explicit Impl(const AgentOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  // Commands.cpp
  void HandleCommand(const protocol::TaskCommand& aCommand, base::Time aNow);
  void Reserve(const protocol::TaskCommand& aCommand, base::Time aNow);
  /** Returns why a new task cannot be accepted; Reason::None if it can. */
  base::Failure CheckNewTask(const protocol::TaskCommand& aCommand,
                             base::Time aNow) const;
  void Start(AgentTask& aTask);
  /** Stops or releases the task and fences its attempt. */
  void StopOrRelease(AgentTask& aTask, base::Reason aReason);
  void ExpireLeases(base::Time aNow);
  /** Removes an ended task but keeps its fence. */
  void Forget(const protocol::TaskKey& aKey, base::Time aNow);
  /** Puts a task into a final state and reports it. */
  void SetFinalState(AgentTask& aTask,
                     protocol::TaskState aState,
                     base::Reason aReason);
  void SendReport(const AgentTask& aTask);
  AgentTask* FindTask(const protocol::TaskKey& aKey);

  // Answers.cpp
  void QueueAnswer(AgentTask& aTask);
  void SendAnswerChunks(base::Time aNow);
  void ResendAnswers(base::Time aNow);
  void DropAnswer(AgentTask& aTask);

  // Agent.cpp
  void SendHeartbeat(base::Time aNow);
  bool IsFresh(base::Time aNow) const { return aNow < mFreshUntil; }

  AgentOptions mOptions;
  Output mOutput;
  std::map<protocol::TaskKey, AgentTask> mTasks;
  std::map<protocol::TaskKey, FencedAttempt> mFences;
  std::multimap<base::Time, protocol::TaskKey> mFencesByTime;

  base::Term mHighestTerm;
  base::ConfigurationVersion mVersion;
  base::Time mFreshUntil;
  /** End of a lease that starts now. Leases are counted from the send time of
   * the newest answered heartbeat. */
  base::Time mNewLeaseEnd;
  std::uint64_t mHeartbeatSequence = 0;
  /** Send times of the newest heartbeats by their sequence. */
  std::map<std::uint64_t, base::Time> mHeartbeatSentAt;
  base::Time mNextHeartbeat;
  bool mLeaving = false;
  std::uint32_t mBusyAccelerators = 0;

  std::set<protocol::TaskKey> mHeldTasks; ///< tasks that use a slot
  std::uint32_t mHeldAccelerators = 0;
  std::uint64_t mHeldAnswerBytes = 0;
  std::uint64_t mInFlightAnswerBytes = 0;      ///< sent and not received
  std::set<protocol::TaskKey> mAnswersToSend;  ///< answers with unsent chunks
  std::set<protocol::TaskKey> mUnackedAnswers; ///< answers that are not durable
};

} // namespace dogwooddrum::coordination::agent
