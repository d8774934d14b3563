/** \file
 * Defines Agent, the state machine of the process that runs next to a target.
 * It accepts or refuses task starts, ends leases, reports task states and
 * drains. It does no I/O and reads no clock: callers pass events and the
 * current time, and TakeOutput returns the messages and platform calls to make.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::agent {

struct AgentOptions
{
  protocol::WorkerInfo mWorkerInfo;
  base::Incarnation mIncarnation;
  std::uint32_t mConnections = 60; ///< maximum open to the target
  base::Duration mTaskLease = base::Milliseconds(10000);
  base::Duration mFreshnessPeriod = base::Milliseconds(3000);
  base::Duration mHeartbeatInterval = base::Milliseconds(1000);
  base::Duration mResendInterval = base::Milliseconds(500);
  /** How long a fenced attempt is kept; longer than any message can be in
   * flight. */
  base::Duration mFenceRetention = std::chrono::minutes(10);
  /** Bytes of answers not yet durable at control; from this limit on, new work
   * is refused. */
  std::uint64_t mMaxHeldAnswerBytes = 64ULL << 20;
  /** Limit on answer bytes that are sent and not yet received, over all
   * answers. */
  std::uint64_t mAnswerWindow = 1ULL << 20;
};

// Calls to the platform's task interface.

struct StartTask
{
  protocol::TaskKey mKey;
  std::uint32_t mAccelerators = 0;
  std::string mResumeFrom;
  std::string mPayload;
};
struct CheckpointTask
{
  protocol::TaskKey mKey;
  std::string mName; ///< a later attempt gets it as StartTask::mResumeFrom
};
struct ThrottleTask
{
  protocol::TaskKey mKey;
};
struct StopTask
{
  protocol::TaskKey mKey;
};
using PlatformCall =
  std::variant<StartTask, CheckpointTask, ThrottleTask, StopTask>;

using MessageToControl = std::variant<protocol::AgentHeartbeat,
                                      protocol::TaskReport,
                                      protocol::AnswerChunk>;

/** Messages to send and platform calls to make. */
struct Output
{
  std::vector<MessageToControl>
    mMessages; ///< for the link to the current leader
  std::vector<PlatformCall> mCalls;
};

/**
 * State machine of one agent.
 * Thread safety: none; one thread owns the object.
 */
class Agent
{
public:
  explicit Agent(const AgentOptions& aOptions);
  ~Agent();
  Agent(Agent&&) noexcept;
  Agent& operator=(Agent&&) noexcept;

  // From control.
  void OnLinkUp(base::Time aNow);
  void OnCommand(const protocol::TaskCommand& aCommand, base::Time aNow);
  void OnHeartbeatReply(const protocol::HeartbeatReply& aReply,
                        base::Time aNow);
  void OnAnswerAck(const protocol::AnswerAck& aAck, base::Time aNow);

  // From the platform's task interface.
  void OnTaskStarted(const protocol::TaskKey& aKey, base::Time aNow);
  void OnTaskFinished(const protocol::TaskKey& aKey,
                      std::string aAnswer,
                      base::Time aNow);
  /** aDispatched: whether the task may have reached the target. */
  void OnTaskFailed(const protocol::TaskKey& aKey,
                    base::Reason aReason,
                    bool aDispatched,
                    std::string aMessage,
                    base::Time aNow);
  void OnTaskCheckpointed(const protocol::TaskKey& aKey, base::Time aNow);
  void OnTaskStopped(const protocol::TaskKey& aKey, base::Time aNow);
  void OnUsage(std::uint32_t aBusyAccelerators);

  /** Refuses new work from now on; running tasks continue. */
  void BeginDrain(base::Time aNow);
  /** Returns whether no task holds a slot and every answer is durable at
   * control. */
  bool IsDrained() const;

  /** Advances timers. Call at least every 20 ms, and before any other event
   * after the process was suspended. */
  void Tick(base::Time aNow);

  /** Returns and clears the output collected since the last call. */
  Output TakeOutput();

  /** Returns whether the leader confirmed the configuration in its reply to a
   * heartbeat sent less than AgentOptions::mFreshnessPeriod ago. */
  bool HasFreshConfiguration(base::Time aNow) const;
  base::ConfigurationVersion Version() const;
  base::Term HighestTerm() const;
  std::uint32_t HeldTasks() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::coordination::agent
