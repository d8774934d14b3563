/** \file
 * Defines the commands of the replicated job state. One log entry holds one
 * Batch. The codec is instantiated in Commands.cpp.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/coordination/workloads/State.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::jobs {

/** Largest part of an answer in one command, in bytes. */
constexpr std::uint32_t kMaxAnswerPartBytes = 256U << 10;

/** The worker on which one task of an attempt runs. */
struct Assignment
{
  base::WorkerId mWorker;
  base::Incarnation mIncarnation;
  std::uint32_t mAccelerators = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mIncarnation, mAccelerators);
  }
};

/** The decision to start an attempt; committed before any command is sent. */
struct AttemptStart
{
  base::AttemptId mAttempt;
  base::Term mTerm; ///< term of the leader that decided
  bool mBorrowed = false;
  std::vector<Assignment> mTasks; ///< by task index
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAttempt, mTerm, mBorrowed, mTasks);
  }
};

/** Accepts a job, or finds the existing one with the same account and key. */
struct SubmitJob
{
  base::JobId mJob; ///< chosen by the leader, above all earlier ids
  protocol::JobSpec mSpec;
  std::optional<AttemptStart> mStart;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mSpec, mStart);
  }
};

struct StartAttempt
{
  base::JobId mJob;
  AttemptStart mStart;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mStart);
  }
};

/** Every task of the gang is reserved at its agent; the gang may now run. */
struct CommitGang
{
  base::JobId mJob;
  base::AttemptId mAttempt;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mAttempt);
  }
};

/** The attempt must be fenced at every agent. */
struct AbortAttempt
{
  base::JobId mJob;
  base::AttemptId mAttempt;
  base::Reason mReason = base::Reason::None;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mAttempt, mReason);
  }
};

/** The next bytes of a task's answer. The last part completes the task. */
struct StoreAnswerPart
{
  protocol::TaskKey mKey;
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0; ///< of the task's whole answer
  std::string mBytes;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mOffset, mTotalBytes, mChecksum, mBytes);
  }
};

/** No task of the attempt can run any more; requeues or fails the job. */
struct EndAttempt
{
  base::JobId mJob;
  base::AttemptId mAttempt;
  bool mRequeue = false; ///< false: the job fails
  base::Reason mReason = base::Reason::None;
  base::Ran mRan = base::Ran::MayHaveRun; ///< of this attempt
  std::string mMessage;
  std::uint64_t mNotBeforeMs = 0; ///< earliest next attempt, replicated clock
  bool mUsesRetry = false;        ///< counts against the profile's budget
  bool mCheckpointed = false;     ///< the next attempt resumes from this one
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob,
             mAttempt,
             mRequeue,
             mReason,
             mRan,
             mMessage,
             mNotBeforeMs,
             mUsesRetry,
             mCheckpointed);
  }
};

/** Ends a queued job that can never run. */
struct FailQueued
{
  base::JobId mJob;
  base::Reason mReason = base::Reason::None;
  std::string mMessage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mReason, mMessage);
  }
};

struct CancelJob
{
  base::JobId mJob;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob);
  }
};

/** The caller has received the whole answer or the job's final state. */
struct AcknowledgeJob
{
  base::JobId mJob;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob);
  }
};

/** Drops at most mLimit ended jobs and keys whose retention has passed. */
struct Expire
{
  std::uint64_t mRetentionMs = 0;    ///< of ended, unacknowledged jobs
  std::uint64_t mKeyRetentionMs = 0; ///< of keys after their job was dropped
  std::uint32_t mLimit = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRetentionMs, mKeyRetentionMs, mLimit);
  }
};

/** An operator's change. mRefusal is set if the leader found that it cannot be
 * accepted on the base version; the outcome is stored in either case. */
struct ChangeConfiguration
{
  protocol::ChangeRequest mRequest;
  base::Reason mRefusal = base::Reason::None;
  std::string mMessage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mRefusal, mMessage);
  }
};

using Command = std::variant<SubmitJob,
                             StartAttempt,
                             CommitGang,
                             AbortAttempt,
                             StoreAnswerPart,
                             EndAttempt,
                             FailQueued,
                             CancelJob,
                             AcknowledgeJob,
                             Expire,
                             ChangeConfiguration,
                             workloads::Change>;

/** Payload of one log entry. */
struct Batch
{
  /** Replicated clock: the value at the leader's election plus the time since
   * then. Does not advance while there is no leader. */
  std::uint64_t mClockMs = 0;
  std::vector<Command> mCommands;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mClockMs, mCommands);
  }
};

} // namespace dogwooddrum::coordination::jobs
