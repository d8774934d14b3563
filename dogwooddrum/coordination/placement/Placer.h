/** \file
 * Defines Placer, which decides where and when jobs run under the guarantees
 * of client accounts. Placer is deterministic: it takes events and the current
 * time and returns decisions with reasons; it does no I/O.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::placement {

/** A worker and its place in the failure and adjacency hierarchy. */
struct WorkerDescription
{
  base::WorkerId mWorker;
  base::RackId mRack;
  base::ZoneId mZone;
  std::uint32_t mAccelerators = 0;
};

/** The properties of a job that placement uses. */
struct JobRequest
{
  base::JobId mJob;
  base::AccountId mAccount;
  base::ProfileId mProfile;
  protocol::GangShape mShape;
  bool mRepeatable = true;
  base::Time mSubmitted;
  base::Duration mDeclaredRun{}; ///< 0: not declared; may be wrong
  std::optional<base::Time> mDeadline;
};

/** The worker and accelerators of one task. */
struct TaskPlacement
{
  base::TaskIndex mTask;
  base::WorkerId mWorker;
  std::uint32_t mAccelerators = 0;
};

/** Start all tasks of the gang now. The placer counts them as held at once. */
struct Start
{
  base::JobId mJob;
  std::vector<TaskPlacement> mTasks;
  /** The job runs outside its account's guarantee and may be preempted. The
   * placer moves the job into the guarantee later, without a decision, if
   * cells become unused where the job runs. */
  bool mBorrowed = false;
};

/**
 * Checkpoint and throttle the job at once and stop it by mStopBy, to make room
 * for job mForJob. The caller calls Requeue or Remove once the job has stopped.
 */
struct Preempt
{
  base::JobId mJob;
  base::JobId mForJob;
  base::Time mStopBy;
  base::Reason mReason = base::Reason::Preempted;
};

/** Checkpoint and stop the job by mStopBy so that it starts elsewhere, for
 * compaction. The caller calls Requeue or Remove once the job has stopped. */
struct Move
{
  base::JobId mJob;
  base::Time mStopBy;
};

/** The job can never run, or its deadline has passed. */
struct Reject
{
  base::JobId mJob;
  base::Reason mReason = base::Reason::CanNeverRun;
  std::string mMessage; ///< names the shape and the largest that could run
  protocol::GangShape mLargest;
};

/** No new jobs start on this worker; a probe job may start from mProbeAt on. */
struct Quarantine
{
  base::WorkerId mWorker;
  base::Time mProbeAt;
};

using Decision = std::variant<Start, Preempt, Move, Reject, Quarantine>;

/** Why a job waits or how it runs, for operators. */
struct WaitReason
{
  base::Reason mReason = base::Reason::None;
  std::string mMessage;
};

/** Free accelerators of the cluster and how they are fragmented. */
struct FragmentationReport
{
  std::uint32_t mFree = 0;  ///< free accelerators on usable workers
  std::uint32_t mTotal = 0; ///< accelerators on usable workers
  /** Expected share of free accelerators that a shape drawn from the current
   * demand mix cannot use, 0 to 1. */
  double mUnusableShare = 0;
  std::uint32_t mLargestOnWorker = 0;
  std::uint32_t mLargestInRack = 0;
  std::uint32_t mLargestInZone = 0;
};

/** Limits, and flags that turn mechanisms off for comparison. */
struct PlacerOptions
{
  bool mPreemption = true;
  bool mReservations = true;
  bool mFragmentationScore = true;
  bool mCompaction = true;
  bool mGuaranteeCells = true;
  bool mFairness = true;
  bool mQuarantine = true;
  base::Duration mPreemptionGrace = base::Milliseconds(1000);
  base::Duration mReservationAge = base::Milliseconds(60000);
  std::uint32_t mCompactionMovesPerMinute = 2;
  std::uint32_t mFailuresToQuarantine = 3;
  std::uint32_t mWorkersToFailJob = 3;
  base::Duration mQuarantineTime = base::Milliseconds(60000);
  double mInteractiveBorrowShare = 0.5;
};

/**
 * Placement state of one region.
 * Thread safety: none; one thread owns the object.
 */
class Placer
{
public:
  explicit Placer(const PlacerOptions& aOptions);
  ~Placer();
  Placer(Placer&&) noexcept;
  Placer& operator=(Placer&&) noexcept;

  /**
   * Returns true if all guaranteed shapes of aConfiguration fit on the usable
   * workers at the same time, else GuaranteesDoNotFit with the sum of the
   * guarantees. While no worker is known, every configuration is accepted.
   */
  base::Outcome<bool> CheckConfiguration(
    const protocol::Configuration& aConfiguration) const;
  /** Replaces accounts, profiles and drained workers. */
  void SetConfiguration(const protocol::Configuration& aConfiguration);

  /** Adds a worker or updates its description. */
  void AddOrUpdateWorker(const WorkerDescription& aWorker, base::Time aNow);
  /** Excludes a worker from new placements; tasks on it stay held. */
  void MarkWorkerDown(const base::WorkerId& aWorker, base::Time aNow);

  /** Queues a job. */
  void Submit(const JobRequest& aRequest, base::Time aNow);
  /**
   * Adds a job that already runs on the given workers, after a change of
   * leader. aBorrowed is Start::mBorrowed of the job's start; a job that was
   * started inside its guarantee is assigned cells again.
   */
  void Adopt(const JobRequest& aRequest,
             const std::vector<TaskPlacement>& aTasks,
             base::Time aStarted,
             bool aBorrowed = false);
  /** Frees all accelerators of the job and queues it again. */
  void Requeue(base::JobId aJob, base::Time aNow);
  /** Frees all accelerators of the job and removes it. */
  void Remove(base::JobId aJob, base::Time aNow);
  /** Frees one task's accelerators; the other tasks stay held. */
  void ReleaseTask(base::JobId aJob, base::TaskIndex aTask, base::Time aNow);
  /** Records that the job's work up to aNow is checkpointed. */
  void RecordCheckpoint(base::JobId aJob, base::Time aNow);
  /** Records that a task of the job failed to start or failed on a worker. */
  void RecordTaskFailure(base::JobId aJob,
                         const base::WorkerId& aWorker,
                         base::Time aNow);
  /** Records that a task of the job succeeded on a worker. */
  void RecordTaskSuccess(base::JobId aJob, const base::WorkerId& aWorker);

  /** Decides after changes or when a timer is due. Returns the decisions in the
   * order to execute; ends early at a limit, then NextDecisionTime is due at
   * once. */
  std::vector<Decision> Decide(base::Time aNow);
  /** Returns when Decide must be called next if nothing else happens. */
  std::optional<base::Time> NextDecisionTime() const;

  /** Returns why a queued job waits, or how a held job runs. */
  WaitReason Explain(base::JobId aJob, base::Time aNow) const;
  FragmentationReport Fragmentation() const;
  /** Returns free accelerators of a worker; 0 if unknown. */
  std::uint32_t FreeOn(const base::WorkerId& aWorker) const;
  /**
   * Returns true if the unused part of every account's guarantee can be freed
   * by stopping only borrowed work, else a failure that names the account.
   */
  base::Outcome<bool> CheckReclaimable() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::coordination::placement
