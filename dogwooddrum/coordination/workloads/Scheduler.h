/** \file
 * Defines Scheduler, the leader's decisions about workloads: it answers
 * callers and operators, keeps the workers' leases and places tasks. Pure:
 * events and the current time go in, TakeOutput returns what to do.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Headroom.h"
#include "dogwooddrum/coordination/workloads/Placement.h"
#include "dogwooddrum/coordination/workloads/State.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Identifies the link of an entry or agent, or a local caller. */
using Session = base::StrongType<struct WorkloadSessionTag, std::uint64_t>;

struct SchedulerOptions
{
  /** Longest lease of a target's runs, from the agent's report on. */
  base::Duration mTaskLease = base::Milliseconds(6000);
  /** How much slower than this process's clock a target's may run. */
  double mClockDrift = 0.03;
  /** Rounding and the delivery of a grant at the agent. */
  base::Duration mLeaseMargin = base::Milliseconds(250);
  /** Longest time that a target takes to stop a run. */
  base::Duration mStopTime = base::Milliseconds(900);
  /** What a stopped task needs to be at work again. */
  base::Duration mRestoreTime = base::Milliseconds(600);
  /** How long an ended workload can be read. */
  base::Duration mRetention = std::chrono::seconds(180);
  /** Failed runs in a row after which a worker is suspected. */
  std::uint32_t mSuspectAfter = 2;
  /** Time for which a suspected worker gets work last. */
  base::Duration mSuspectTime = std::chrono::seconds(8);
  /** Most workloads that have not ended. */
  std::size_t mMaxActive = 20000;
  PlacementOptions mPlacement;
  HeadroomOptions mHeadroom;
};

/** A fact for the log; the host adds the event's number. */
struct Note
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
    CatalogAdopted,
  };
  Kind mKind = Kind::Accepted;
  std::vector<std::pair<std::string_view, std::string>> mFields;
};

struct SchedulerMessage
{
  Session mSession;
  std::variant<protocol::WorkloadReply, protocol::WorkerOrders> mBody;
};

struct SchedulerOutput
{
  std::vector<Change> mChanges; ///< to commit, in this order
  std::vector<SchedulerMessage> mMessages;
  std::vector<Session> mRedirects; ///< leadership ended before the answer
  std::vector<Note> mNotes;
};

/**
 * The leader's decisions. aState is the replicated state of this member and
 * outlives the object; the owner applies committed changes to it and then
 * calls OnApplied. Thread safety: none.
 */
class Scheduler
{
public:
  Scheduler(const SchedulerOptions& aOptions, const State& aState);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /** Sets the link addresses of the group, which entries and agents learn. */
  void SetMembers(std::vector<std::string> aAddresses);
  /** Sets Unix time minus local time, in ms. */
  void SetUnixOffset(std::int64_t aOffsetMs);

  void BecomeLeader(base::Term aTerm, base::Time aNow);
  void StepDown();

  // Precondition of the following: this member leads.

  /** Returns whether the request must wait for a quorum round. */
  static bool NeedsConfirmedRead(const protocol::WorkloadRequest& aRequest);
  /** Handles a request; a read only after its quorum round. */
  void OnRequest(Session aSession,
                 const protocol::WorkloadRequest& aRequest,
                 base::Time aNow);
  /** Handles a report after a quorum round that began after it arrived. */
  void OnReport(Session aSession,
                const protocol::WorkerReport& aReport,
                base::Time aNow);
  void OnApplied(const Change& aChange, base::Time aNow);
  void OnSessionClosed(Session aSession);
  void Tick(base::Time aNow);

  /** Decides what is due, and returns and clears the work. */
  SchedulerOutput TakeOutput(base::Time aNow);

  /** Returns the workloads that have not ended. */
  std::uint64_t ActiveWorkloads() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Returns a task as WORKLOAD.OCCURRENCE.STEP.INDEX for logs. */
std::string
ToString(const TaskId& aTask);

} // namespace dogwooddrum::coordination::workloads
