/** \file
 * Defines the messages between control and agents.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/protocol/ConfigurationMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwooddrum::protocol {

/** Identifies one task of one attempt of a job. */
struct TaskKey
{
  base::JobId mJob;
  base::AttemptId mAttempt;
  base::TaskIndex mTask;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mAttempt, mTask);
  }
  friend bool operator==(const TaskKey& aLeft, const TaskKey& aRight)
  {
    return aLeft.mJob == aRight.mJob && aLeft.mAttempt == aRight.mAttempt &&
           aLeft.mTask == aRight.mTask;
  }
  friend bool operator<(const TaskKey& aLeft, const TaskKey& aRight)
  {
    if (aLeft.mJob != aRight.mJob) {
      return aLeft.mJob < aRight.mJob;
    }
    if (aLeft.mAttempt != aRight.mAttempt) {
      return aLeft.mAttempt < aRight.mAttempt;
    }
    return aLeft.mTask < aRight.mTask;
  }
};

/** Returns the name under which a task of an attempt saves its checkpoint.
 * Thread safe. */
std::string
CheckpointName(const TaskKey& aKey);

/** State of a task at its agent. */
enum class TaskState : std::uint8_t
{
  Prepared, ///< reserved, not started
  Refused,  ///< not run; this attempt is fenced at this agent
  Running,
  Checkpointed, ///< still running; a checkpoint was saved
  Finished,     ///< the agent has the answer
  Failed,       ///< the target reported an error
  Stopped,      ///< stopped on request or at the end of its lease
  Released,     ///< fenced before it ran
};

/** Returns the lower-case name of a task state. Thread safe. */
const char*
ToString(TaskState aState);

/** Sent by an agent to control in each heartbeat until acknowledged. */
struct TaskReport
{
  TaskKey mKey;
  TaskState mState = TaskState::Refused;
  base::Reason mReason = base::Reason::None;
  bool mDispatched = false;       ///< whether the target may have received it
  std::uint64_t mAnswerBytes = 0; ///< for Finished
  std::uint64_t mAnswerChecksum = 0; ///< for Finished
  std::string mMessage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey,
             mState,
             mReason,
             mDispatched,
             mAnswerBytes,
             mAnswerChecksum,
             mMessage);
  }
};

/** Location and capacity of a worker. */
struct WorkerInfo
{
  base::WorkerId mWorker;
  base::RackId mRack;
  base::ZoneId mZone;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mSlots = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mRack, mZone, mAccelerators, mSlots);
  }
};

/** Sent by an agent to control once a second; also asks for a newer
 * configuration than mHeldVersion. */
struct AgentHeartbeat
{
  base::Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  base::ConfigurationVersion mHeldVersion;
  WorkerInfo mWorkerInfo;
  bool mLeaving = false;
  std::uint32_t mBusyAccelerators = 0; ///< measured, so delayed
  std::vector<TaskReport> mTasks;      ///< all held or unacknowledged tasks
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIncarnation,
             mSequence,
             mHeldVersion,
             mWorkerInfo,
             mLeaving,
             mBusyAccelerators,
             mTasks);
  }
};

/**
 * Sent by control to an agent. Renews the leases of mRenewedLeases, counted
 * from the time at which the agent sent the heartbeat with mSequence.
 * mAcknowledgedReports lists tasks whose final reports are durable; the agent
 * can drop them.
 */
struct HeartbeatReply
{
  std::uint64_t mSequence = 0;
  base::Incarnation mIncarnation;
  base::Term mTerm;
  base::ConfigurationVersion mVersion;
  std::optional<Configuration> mBody;
  std::vector<TaskKey> mRenewedLeases;
  std::vector<TaskKey> mAcknowledgedReports;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence,
             mIncarnation,
             mTerm,
             mVersion,
             mBody,
             mRenewedLeases,
             mAcknowledgedReports);
  }
};

/** Action that control requests from an agent for one task. */
enum class TaskAction : std::uint8_t
{
  Prepare,    ///< reserve slots and accelerators; do not start
  Run,        ///< start; implies Prepare
  Release,    ///< fence the attempt; never start it
  Checkpoint, ///< save progress and continue
  Throttle,   ///< release accelerators if the platform can
  Stop,       ///< stop and fence
};

/** Returns the lower-case name of an action. Thread safe. */
const char*
ToString(TaskAction aVerb);

/** Sent by control to an agent. */
struct TaskCommand
{
  TaskAction mTaskAction = TaskAction::Run;
  base::Term mTerm;
  base::Incarnation mIncarnation;
  base::ConfigurationVersion mVersion; ///< configuration used for the decision
  TaskKey mKey;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mGangTasks = 1;
  bool mRepeatable = true;
  std::string mResumeFrom; ///< checkpoint name of an earlier attempt, or empty
  std::string mPayload;    ///< for Prepare and Run
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTaskAction,
             mTerm,
             mIncarnation,
             mVersion,
             mKey,
             mAccelerators,
             mGangTasks,
             mRepeatable,
             mResumeFrom,
             mPayload);
  }
};

/** Part of a task's answer; sent by an agent to control. */
struct AnswerChunk
{
  base::Incarnation mIncarnation;
  TaskKey mKey;
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0; ///< xxhash64 of the task's whole answer
  std::string mBytes;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIncarnation, mKey, mOffset, mTotalBytes, mChecksum, mBytes);
  }
};

/**
 * Sent by control to an agent. If mDurable is set, the task's answer is durable
 * and the agent may drop it. Otherwise the leader has received the first
 * mReceived bytes, and the agent may send more.
 */
struct AnswerAck
{
  base::Term mTerm;
  TaskKey mKey;
  bool mDurable = true;
  std::uint64_t mReceived = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mKey, mDurable, mReceived);
  }
};

} // namespace dogwooddrum::protocol
