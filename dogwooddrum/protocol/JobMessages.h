/** \file
 * Defines the specification of a job and its state as shown to callers.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dogwooddrum::protocol {

/** How close together the accelerators of a gang or guarantee must be. */
enum class Adjacency : std::uint8_t
{
  None,
  Worker,
  Rack,
  Zone,
};

/** Shape of a gang: all tasks start together or not at all. */
struct GangShape
{
  std::uint32_t mTasks = 1;
  std::uint32_t mAcceleratorsPerTask = 1;
  Adjacency mAdjacency = Adjacency::None;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTasks, mAcceleratorsPerTask, mAdjacency);
  }
};

/** Specification of a submitted job. Times are in milliseconds. */
struct JobSpec
{
  base::AccountId mAccount;
  base::ProfileId mProfile;
  base::IdempotencyKey mKey;
  GangShape mShape;
  std::uint64_t mDeclaredRunMs = 0; ///< 0 means not declared
  std::uint64_t mDeadlineMs = 0;    ///< after submission; 0 means none
  bool mRepeatable = true;
  std::string mPayload;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount,
             mProfile,
             mKey,
             mShape,
             mDeclaredRunMs,
             mDeadlineMs,
             mRepeatable,
             mPayload);
  }
};

/** Public state of a job; the life cycle table is in coordination/jobs. */
enum class JobState : std::uint8_t
{
  Queued,    ///< accepted, not dispatched
  Starting,  ///< an attempt is placed, not confirmed as running
  Running,   ///< all tasks are running
  Finished,  ///< the whole answer is stored
  Failed,    ///< ended without an answer; see mReason and mRan
  Cancelled, ///< cancelled before it finished
};

/** Returns the lower-case name of a state. Thread safe. */
const char*
ToString(JobState aState);
/** Returns the lower-case name of an adjacency. Thread safe. */
const char*
ToString(Adjacency aAdjacency);
/** Returns the adjacency with the given lower-case name. Thread safe. */
std::optional<Adjacency>
ParseAdjacency(const std::string& aName);

/** Status of a job, as shown to callers. */
struct JobView
{
  base::JobId mJob;
  base::AccountId mAccount;
  base::ProfileId mProfile;
  base::IdempotencyKey mKey;
  JobState mState = JobState::Queued;
  base::Reason mReason = base::Reason::None;
  base::Ran mRan = base::Ran::NotRun;
  std::string mMessage; ///< readable text: why the job waits or failed
  base::AttemptId mAttempt;
  std::uint64_t mAnswerBytes = 0;    ///< total over all tasks, once Finished
  std::uint64_t mAnswerChecksum = 0; ///< xxhash64 of the whole answer

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob,
             mAccount,
             mProfile,
             mKey,
             mState,
             mReason,
             mRan,
             mMessage,
             mAttempt,
             mAnswerBytes,
             mAnswerChecksum);
  }
};

} // namespace dogwooddrum::protocol
