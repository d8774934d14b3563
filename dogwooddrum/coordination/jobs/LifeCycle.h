/** \file
 * Defines the life cycles of a job and of a task lease as transition
 * functions. The tables are Boost.MSM machines in the source file.
 */
#pragma once

#include <cstdint>
#include <optional>

namespace dogwooddrum::coordination::jobs {

/** Replicated phase of a job. Keep the order: it is part of snapshots. */
enum class JobPhase : std::uint8_t
{
  Queued,    ///< no attempt
  Preparing, ///< a gang attempt reserves; no task runs
  Active,    ///< the attempt may run
  Stopping,  ///< the attempt is being fenced at every agent
  Finished,
  Failed,
  Cancelled,
  Count,
};

enum class JobEvent : std::uint8_t
{
  StartSingle,
  StartGang,
  CommitGang,
  Abort,
  Complete,
  Requeue,
  Fail,
  Cancel,
  Count,
};

/** Returns whether a job in aPhase has ended. Thread safe. */
constexpr bool
HasEnded(JobPhase aPhase)
{
  return aPhase >= JobPhase::Finished;
}

/** Returns the phase after aEvent, or an empty optional if the life cycle has
 * no such transition. Thread safe. */
std::optional<JobPhase>
NextPhase(JobPhase aPhase, JobEvent aEvent);

/** State of a task lease at the leader. */
enum class LeasePhase : std::uint8_t
{
  Granted,  ///< decided; no report from the agent yet
  Prepared, ///< the agent has reserved
  Running,
  Finished, ///< the agent holds the answer
  Fenced,   ///< the agent cannot start the task again
  Expired,  ///< the agent is lost and its lease has ended
  Count,
};

enum class LeaseEvent : std::uint8_t
{
  ReportPrepared,
  ReportRunning,
  ReportFinished,
  ReportFenced, ///< refused, released, stopped or failed
  Expire,
  Count,
};

/** Returns whether a lease in aPhase no longer uses accelerators. */
constexpr bool
IsVacant(LeasePhase aPhase)
{
  return aPhase >= LeasePhase::Finished;
}

/** Returns the phase after aEvent, or an empty optional if the report is late
 * or repeated and changes nothing. Thread safe. */
std::optional<LeasePhase>
NextPhase(LeasePhase aPhase, LeaseEvent aEvent);

} // namespace dogwooddrum::coordination::jobs
