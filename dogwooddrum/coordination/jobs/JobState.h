/** \file
 * Defines JobState, the replicated state machine: jobs, attempts, answers,
 * idempotency keys and the configuration. Apply is deterministic: it reads no
 * clock and no option, so that all members reach the same state.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/jobs/Commands.h"
#include "dogwooddrum/coordination/jobs/LifeCycle.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::jobs {

/** Number of change outcomes kept for resent changes; at 78,000 changes a day
 * they cover more than an hour and a half. */
constexpr std::size_t kMaxChangeOutcomes = 5000;

struct TaskRecord
{
  Assignment mAssignment;
  std::string mAnswer; ///< contiguous prefix; moved to the job at its end
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0;
  bool mComplete = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAssignment, mAnswer, mTotalBytes, mChecksum, mComplete);
  }
};

/** The attempt that may still hold accelerators. */
struct AttemptRecord
{
  base::AttemptId mAttempt;
  base::Term mTerm;
  bool mBorrowed = false;
  bool mGang = false;
  bool mMayRun = false; ///< the gang was committed, or it is a single task
  bool mStopping = false;
  base::Reason mStopReason = base::Reason::None;
  std::vector<TaskRecord> mTasks;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAttempt,
             mTerm,
             mBorrowed,
             mGang,
             mMayRun,
             mStopping,
             mStopReason,
             mTasks);
  }
};

struct JobRecord
{
  base::JobId mJob;
  protocol::JobSpec mSpec; ///< the payload is dropped when the job ends
  JobPhase mPhase = JobPhase::Queued;
  base::AttemptId mLastAttempt;
  /** Present until every agent has fenced it, also after the job ended. */
  std::optional<AttemptRecord> mAttempt;
  base::Reason mReason = base::Reason::None;
  base::Ran mRan = base::Ran::NotRun; ///< over all attempts so far
  std::string mMessage;
  std::uint32_t mRetries = 0;  ///< attempts that count against the budget
  base::AttemptId mCheckpoint; ///< attempt to resume from; 0: none
  std::uint64_t mNotBeforeMs = 0;
  std::uint64_t mSubmittedMs = 0;
  std::uint64_t mEndedMs = 0;
  bool mAcknowledged = false;
  std::string mAnswer; ///< of all tasks in order; empty if acknowledged
  std::uint64_t mAnswerBytes = 0;
  std::uint64_t mAnswerChecksum = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob,
             mSpec,
             mPhase,
             mLastAttempt,
             mAttempt,
             mReason,
             mRan,
             mMessage,
             mRetries,
             mCheckpoint,
             mNotBeforeMs,
             mSubmittedMs,
             mEndedMs,
             mAcknowledged,
             mAnswer,
             mAnswerBytes,
             mAnswerChecksum);
  }
};

/** First use of an idempotency key. */
struct KeyRecord
{
  base::JobId mJob;
  std::uint64_t mSpecChecksum = 0;
  std::uint64_t mDroppedMs = 0; ///< when its job was dropped; 0: job present
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mSpecChecksum, mDroppedMs);
  }
};

using KeyName = std::pair<base::AccountId, base::IdempotencyKey>;

/** Content of a snapshot. Ordered containers keep its bytes deterministic. */
struct StateImage
{
  std::uint64_t mClockMs = 0;
  base::JobId mLastJob;
  std::map<base::JobId, JobRecord> mJobs;
  std::map<KeyName, KeyRecord> mKeys;
  protocol::Configuration mConfiguration;
  base::ChangeId mLastChange; ///< that made the current version
  std::map<base::ChangeId, protocol::ChangeOutcome> mOutcomes;
  std::deque<base::ChangeId> mOutcomeOrder; ///< oldest first
  workloads::State mWorkloads;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mClockMs,
             mLastJob,
             mJobs,
             mKeys,
             mConfiguration,
             mLastChange,
             mOutcomes,
             mOutcomeOrder,
             mWorkloads);
  }
};

/** One change made by applying a batch, which the leader then handles. */
struct Effect
{
  enum class Kind : std::uint8_t
  {
    Submitted, ///< mJob is new
    Joined,    ///< mJob was not accepted; mExistingJob has the key
    KeyReused, ///< mJob was not accepted; its key belongs to another request
    AttemptStarted,
    GangCommitted,
    AttemptAborted,
    PartStored,
    TaskCompleted, ///< mTask's answer is stored
    AttemptEnded,  ///< its accelerators are free
    Requeued,
    JobEnded,
    Acknowledged, ///< also if the job is unknown or not ended
    Dropped,
    ChangeDecided, ///< mChange has an outcome
  };
  Kind mKind = Kind::Submitted;
  base::JobId mJob;
  base::AttemptId mAttempt;
  base::TaskIndex mTask;
  base::JobId mExistingJob;
  base::ChangeId mChange;
};

/**
 * The replicated state of one region.
 * Thread safety: none; one thread owns the object.
 */
class JobState
{
public:
  /** Applies a committed batch and returns the effects in order. Commands that
   * are not valid in the current state change nothing. */
  std::vector<Effect> Apply(const Batch& aBatch);

  /** Returns the serialized state with a checksum. */
  std::string Save() const;
  /** Replaces the state. Returns false, without a change, if aBytes is
   * damaged. */
  bool Restore(const std::string& aBytes);

  /** Returns the job, or null if it is unknown or dropped. The pointer is
   * valid until the next Apply or Restore. */
  const JobRecord* Find(base::JobId aJob) const;
  /** Returns the first use of a key, or null. */
  const KeyRecord* FindKey(const KeyName& aKey) const;
  const std::map<base::JobId, JobRecord>& Jobs() const { return mImage.mJobs; }
  /** Returns the ids of an account's jobs, or null if it has none. */
  const std::set<base::JobId>* JobsOf(const base::AccountId& aAccount) const;
  const protocol::Configuration& Configuration() const
  {
    return mImage.mConfiguration;
  }
  /** Returns the remembered outcome of a change, or null. */
  const protocol::ChangeOutcome* FindOutcome(
    const base::ChangeId& aChange) const;
  /** Returns the workloads; the reference is valid as long as this object. */
  const workloads::State& Workloads() const { return mImage.mWorkloads; }
  std::uint64_t ClockMs() const { return mImage.mClockMs; }
  base::JobId LastJob() const { return mImage.mLastJob; }
  /** Returns the bytes of all stored answers and answer parts. */
  std::uint64_t AnswerBytes() const { return mAnswerBytes; }
  /** Returns the number of jobs that have not ended. */
  std::uint64_t ActiveJobs() const { return mActiveJobs; }
  /** Returns whether Expire with these times would drop anything if its batch
   * carried aClockMs. */
  bool CanExpire(std::uint64_t aClockMs,
                 std::uint64_t aRetentionMs,
                 std::uint64_t aKeyRetentionMs) const;

private:
  struct Applier;
  void RebuildIndexes();

  StateImage mImage;
  // Derived from mImage.
  std::map<base::AccountId, std::set<base::JobId>> mJobsByAccount;
  std::set<std::pair<std::uint64_t, base::JobId>> mEndedJobsByTime;
  std::set<base::JobId> mAcknowledgedJobs; ///< ended, waiting to be dropped
  std::set<std::pair<std::uint64_t, KeyName>> mDroppedKeysByTime;
  std::uint64_t mAnswerBytes = 0;
  std::uint64_t mActiveJobs = 0;
};

/** Returns the checksum by which requests with the same key are compared. */
std::uint64_t
SpecChecksum(const protocol::JobSpec& aSpec);

/** Returns the account, or null. */
const protocol::ClientAccount*
FindAccount(const protocol::Configuration& aConfiguration,
            const base::AccountId& aName);
/** Returns the profile, or null. */
const protocol::Profile*
FindProfile(const protocol::Configuration& aConfiguration,
            const base::ProfileId& aName);

/** Returns aConfiguration with aEdit and the next version, or why the edit is
 * not valid. */
base::Outcome<protocol::Configuration>
ApplyEdit(const protocol::Configuration& aConfiguration,
          const protocol::ConfigurationEdit& aEdit);

} // namespace dogwooddrum::coordination::jobs
