/** \file
 * Defines WorkloadScheduler, the leader's scheduler of workloads: it answers
 * callers and operators, grants leases to workers and places tasks. It does no
 * I/O and reads no clock: events and the current time are passed in, and
 * TakeOutput returns the changes to commit and the messages to send.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "dogwooddrum/coordination/workloads/Placement.h"
#include "dogwooddrum/coordination/workloads/Policies.h"
#include "dogwooddrum/coordination/workloads/State.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Identifies the link to an entry or agent, or a local caller. */
using Session = base::StrongType<struct WorkloadSessionTag, std::uint64_t>;

struct WorkloadSchedulerOptions
{
  /** Lease of a target's runs, counted from when its agent sent the report. */
  base::Duration mTaskLease = base::Milliseconds(6000);
  /** Largest rate by which a target's clock may run slower than this
   * process's. */
  double mClockDrift = 0.03;
  /** Allowance for rounding and for the delivery of a grant to the agent. */
  base::Duration mLeaseMargin = base::Milliseconds(250);
  /** Longest time that a target takes to stop a run. */
  base::Duration mStopTime = base::Milliseconds(900);
  /** Time that a stopped task takes to resume work after its next start. */
  base::Duration mRestoreTime = base::Milliseconds(600);
  /** Time for which an ended workload can be read. */
  base::Duration mRetention = std::chrono::seconds(180);
  /** Consecutive failed runs after which a worker is suspect. */
  std::uint32_t mSuspectAfter = 2;
  /** Time for which a suspect worker is chosen only if no other fits. */
  base::Duration mSuspectTime = std::chrono::seconds(8);
  /** Time without a failed run after which a quarantined worker is probed. */
  base::Duration mProbeAfter = std::chrono::seconds(2);
  /** Most workloads that have not ended. */
  std::size_t mMaxActive = 20000;
  /** Longest time after the acknowledgement of a zone's evacuation in which
   * runs may still begin there; 0: no limit. */
  base::Duration mEvacuationTime{};
  /** Availability zones that operators may evacuate; empty: not known. */
  std::set<base::ZoneId> mZones;
  PlacementOptions mPlacement;
  HeadroomOptions mHeadroom;
  Policies mPolicies;
};

/** An event for the log; the host adds its number. */
struct WorkloadEvent
{
  enum class Kind : std::uint8_t
  {
    Accepted,
    Rejected,
    Cancelled,
    RunStarted,
    RunStopped,
    RunEnded,
    WorkloadEnded,
    WorkerJoined,
    WorkerLeft,
    WorkerLost,
    WorkerSuspected,
    TargetQuarantined,
    CatalogAdopted,
    QueueHeadWaited,
    QueueHeadOverdue,
    TargetCrashed,
    ZoneEvacuated,
    ZoneRestored,
    RunTimeLearned, ///< for the metrics only; not logged
  };
  Kind mKind = Kind::Accepted;
  std::vector<std::pair<std::string_view, std::string>> mFields;
  /** Of QueueHeadWaited, for the metric: pool/priority/cause, and the wait. */
  std::vector<std::pair<std::string, base::Duration>> mHeadWaits;
  /** Of RunTimeLearned: factor, at least 1, by which the expectation differed
   * from the run time. */
  double mRunTimeErrorFactor = 1;
};

struct WorkloadSchedulerMessage
{
  Session mSession;
  std::variant<protocol::WorkloadReply, protocol::WorkerOrders> mBody;
};

struct WorkloadSchedulerOutput
{
  std::vector<Change> mChanges; ///< to be committed in this order
  std::vector<WorkloadSchedulerMessage> mMessages;
  std::vector<Session>
    mRedirects; ///< have requests that leadership ended without an answer
  std::vector<WorkloadEvent> mWorkloadEvents;
};

/**
 * Schedules workloads while this member leads. aState is the replicated state
 * of this member and outlives the object; the owner applies committed changes
 * to it and then calls OnApplied. Thread safety: none.
 */
class WorkloadScheduler
{
public:
  WorkloadScheduler(const WorkloadSchedulerOptions& aOptions,
                    const State& aState);
  ~WorkloadScheduler();
  WorkloadScheduler(WorkloadScheduler&&) noexcept;
  WorkloadScheduler& operator=(WorkloadScheduler&&) noexcept;

  /** Sets the link addresses of the group, which replies and orders contain. */
  void SetMembers(std::vector<std::string> aAddresses);
  /** Sets Unix time minus local time, in ms. */
  void SetUnixOffset(std::int64_t aOffsetMs);

  void BecomeLeader(base::Term aTerm, base::Time aNow);
  void StepDown();

  // Precondition of the following functions: this member leads.

  /** Returns whether the request must wait for a quorum round: it is answered
   * from the state as it is, which is outdated if there is a newer leader. */
  bool NeedsConfirmedRead(const protocol::WorkloadRequest& aRequest) const;
  /** Handles a request. Precondition: its quorum round is complete, if it needs
   * one. */
  void OnRequest(Session aSession,
                 const protocol::WorkloadRequest& aRequest,
                 base::Time aNow);
  /** Handles a report. Precondition: a quorum round that began after the
   * report's arrival is complete. */
  void OnReport(Session aSession,
                const protocol::WorkerReport& aReport,
                base::Time aNow);
  void OnApplied(const Change& aChange, base::Time aNow);
  void OnSessionClosed(Session aSession);
  void Tick(base::Time aNow);

  /** Makes the decisions that are due; returns and clears the output. */
  WorkloadSchedulerOutput TakeOutput(base::Time aNow);

  /** Returns the number of workloads that have not ended, or that still have an
   * open run. */
  std::uint64_t ActiveWorkloads() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Returns a task as WORKLOAD.OCCURRENCE.STEP.INDEX for logs. */
std::string
ToString(const TaskId& aTask);

} // namespace dogwooddrum::coordination::workloads
