/** \file
 * Defines workloads::State, the replicated state of workloads and of the
 * catalog, and the changes that are applied to it. Deterministic: it reads no
 * clock and no option.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Observations.h"
#include "dogwooddrum/coordination/workloads/QueueRegistry.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::workloads {

using protocol::Catalog;
using protocol::RunEnd;
using protocol::RunId;
using protocol::RunNumber;
using protocol::TargetIncarnation;
using protocol::TaskId;
using protocol::WorkloadId;
using protocol::WorkloadPhase;
using protocol::WorkloadStep;

// Changes.

/** Adds a workload; no effect if its id exists already, or if its queue has
 * been removed since it was proposed. */
struct Accept
{
  /** Its queue is named by key. Versions without keys name it by its name. */
  protocol::SubmitWorkload mRequest;
  std::int64_t mAcceptedMs = 0; ///< Unix time
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequest, mAcceptedMs);
  }
};

/** Ends a workload as cancelled; its open runs still have to be stopped. */
struct Cancel
{
  WorkloadId mWorkload;
  std::int64_t mNowMs = 0; ///< Unix time
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkload, mNowMs);
  }
};

/** Opens the next occurrence of a repeated workload. */
struct BeginOccurrence
{
  WorkloadId mWorkload;
  std::uint32_t mOccurrence = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkload, mOccurrence);
  }
};

/** Starts tasks; the members of a gang start in one change and have the same
 * run number. */
struct StartRuns
{
  struct Start
  {
    RunId mRun;
    TargetIncarnation mTarget;
    template<class Archive>
    void serialize(Archive& aArchive)
    {
      aArchive(mRun, mTarget);
    }
  };
  std::vector<Start> mStarts;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStarts);
  }
};

/** Ends a run. */
struct EndRun
{
  RunId mRun;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint; ///< to resume from; empty: keeps the earlier one
  std::int64_t mNowMs = 0; ///< Unix time
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRun, mEnd, mCheckpoint, mNowMs);
  }
};

/** Removes workloads that ended before mBeforeMs (Unix time). */
struct PurgeEnded
{
  std::int64_t mBeforeMs = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBeforeMs);
  }
};

/** Replaces the catalog if the version is higher. */
struct AdoptCatalog
{
  Catalog mCatalog;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCatalog);
  }
};

/** Records the target that an agent speaks for. A leader proposes it when
 * it grants the target a lease, and thus before the first start there. An empty
 * instance removes the agent. */
struct BindTarget
{
  std::string mAgentName;
  TargetIncarnation mTarget;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAgentName, mTarget);
  }
};

/** Records that an incarnation of a target has crashed during runs of these
 * tasks. Each task counts an incarnation once. */
struct RecordCrash
{
  TargetIncarnation mTarget;
  std::vector<RunId> mRuns;
  std::int64_t mNowMs = 0; ///< Unix time
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mRuns, mNowMs);
  }
};

/** Begins or ends the evacuation of an availability zone. */
struct RecordEvacuation
{
  base::ZoneId mZone;
  bool mEvacuated = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mEvacuated);
  }
};

/** Replaces the observations of earlier leaders. */
struct RecordObservations
{
  Observations mObservations;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mObservations);
  }
};

using ChangeBody = std::variant<Accept,
                                Cancel,
                                BeginOccurrence,
                                StartRuns,
                                EndRun,
                                PurgeEnded,
                                AdoptCatalog,
                                BindTarget,
                                RecordCrash,
                                RecordEvacuation,
                                RecordObservations>;

/** One command of the replicated log. */
struct Change
{
  ChangeBody mBody;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBody);
  }
};

// Records.

enum class TaskPhase : std::uint8_t
{
  Waiting,      ///< may start once its step is due
  Running,      ///< a run is open
  AwaitingGang, ///< its run ended, other members of its gang still run
  Done,
  Failed, ///< no attempt left
};

/** A task is given up after this many crashes of targets during its runs,
 * unless it runs until its workload is cancelled; the platform's contract
 * allows three. */
constexpr std::size_t kMaxCrashes = 3;

struct TaskRecord
{
  TaskPhase mPhase = TaskPhase::Waiting;
  RunNumber mRun;            ///< of the newest run; 0: none yet
  TargetIncarnation mTarget; ///< of the newest run
  std::uint32_t mFailures = 0;
  std::string mCheckpoint;
  /** Incarnations that crashed while the task ran there, or may have run. */
  std::vector<TargetIncarnation> mCrashedTargets;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPhase, mRun, mTarget, mFailures, mCheckpoint, mCrashedTargets);
  }
};

struct StepRecord
{
  std::vector<TaskRecord> mTasks;
  // State of a gang's open run.
  bool mRunDone = false;   ///< a member ended as done, which ends all
  bool mRunFailed = false; ///< a member ended as failed
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTasks, mRunDone, mRunFailed);
  }
};

struct OccurrenceRecord
{
  std::uint32_t mNumber = 0;
  std::vector<StepRecord> mSteps;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mSteps);
  }
};

struct WorkloadRecord
{
  QueueKey mQueue;
  base::AccountId mAccount;
  protocol::WorkloadSpec mSpec; ///< the payload is dropped at the end
  std::int64_t mAcceptedMs = 0; ///< Unix time
  WorkloadPhase mPhase = WorkloadPhase::Queued;
  bool mStarted = false;          ///< a task has been started
  std::int64_t mEndedMs = 0;      ///< Unix time; 0: not ended
  std::uint32_t mMaxAttempts = 1; ///< of its queue, when accepted
  std::uint32_t mNextOccurrence = 0;
  std::vector<OccurrenceRecord> mOccurrences; ///< begun and not complete
  std::string mFailure; ///< why it failed, for its owner; empty: it has not
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mQueue,
             mAccount,
             mSpec,
             mAcceptedMs,
             mPhase,
             mStarted,
             mEndedMs,
             mMaxAttempts,
             mNextOccurrence,
             mOccurrences,
             mFailure);
  }
};

/** Returns whether the workload is complete, failed or cancelled, so that no
 * task of it may start any more. */
bool
HasEnded(const WorkloadRecord& aWorkload);

/** Replicated workloads and catalog. Thread safety: none. */
class State
{
public:
  /** Applies a committed change. A change that does not match the current
   * state, such as the end of a run that is not open, has no effect. */
  void Apply(const Change& aChange);

  /** Returns the workload, or null. Valid until the next Apply. */
  const WorkloadRecord* Find(const WorkloadId& aWorkload) const;
  /** Returns the task, or null if its occurrence is not open. */
  const TaskRecord* Find(const TaskId& aTask) const;
  const std::map<WorkloadId, WorkloadRecord>& Workloads() const
  {
    return mWorkloads;
  }
  /** Returns the workloads that have not ended or still have an open run. */
  const std::set<WorkloadId>& Active() const { return mActive; }
  const Catalog& CurrentCatalog() const { return mCatalog; }
  /** Returns the queue's definition in the catalog, else the last one that it
   * had; null if it is unknown. Valid until the next Apply. */
  const protocol::Queue* FindQueue(const QueueKey& aQueue) const
  {
    return mQueues.Find(mCatalog, aQueue);
  }
  /** Returns the queue of a request, which may have been removed. */
  std::optional<QueueKey> ResolveQueue(
    const protocol::QueueReference& aReference) const
  {
    return mQueues.Resolve(mCatalog, aReference);
  }
  const QueueRegistry& Queues() const { return mQueues; }
  /** Registers the queues of the catalog, after a snapshot without a registry
   * was read. Precondition: the registry is empty. */
  void RegisterQueues() { mQueues.Adopt(Catalog(), mCatalog, {}); }
  /** Returns the newest bound target of each agent, by the agent's name. An
   * agent runs on one VM, so that its next target proves that the runs of this
   * one are over. */
  const std::map<std::string, TargetIncarnation>& BoundTargets() const
  {
    return mBoundTargets;
  }
  /** Returns the availability zones in which nothing may be started. */
  const std::set<base::ZoneId>& EvacuatedZones() const
  {
    return mEvacuatedZones;
  }
  /** Returns what the newest leader that published has learned. */
  const Observations& LatestObservations() const { return mObservations; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkloads,
             mActive,
             mCatalog,
             mBoundTargets,
             mEvacuatedZones,
             mObservations,
             mQueues);
  }

private:
  struct Applier;

  std::map<WorkloadId, WorkloadRecord> mWorkloads;
  std::set<WorkloadId> mActive;
  Catalog mCatalog;
  std::map<std::string, TargetIncarnation> mBoundTargets;
  std::set<base::ZoneId> mEvacuatedZones;
  Observations mObservations;
  QueueRegistry mQueues;
};

/** Returns the spec's step of a task. Precondition: it exists. */
inline const WorkloadStep&
StepOf(const WorkloadRecord& aWorkload, const TaskId& aTask)
{
  return aWorkload.mSpec.mSteps[aTask.mStep];
}

/** Returns whether all tasks of a step are done. */
bool
IsDone(const StepRecord& aStep);
/** Returns whether all steps that aStep depends on are done. */
bool
DependenciesDone(const WorkloadRecord& aWorkload,
                 const OccurrenceRecord& aOccurrence,
                 std::size_t aStep);

} // namespace dogwooddrum::coordination::workloads
