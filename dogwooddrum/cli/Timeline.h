/** \file
 * Defines the account of lost time that the logs of control and entries give:
 * the path of each workload, and how long work waited or ran in vain for which
 * cause.
 */
#pragma once

#include "dogwooddrum/cli/LogLines.h"

#include <array>

namespace dogwooddrum::cli {

/** Why a task waited for its next run, or a run's work was lost. */
enum class LossCause : std::uint8_t
{
  Refused,      ///< an entry refused the caller before the acceptance
  Room,         ///< waited for its first run
  Preempted,    ///< stopped for more urgent work
  Stalled,      ///< stopped without progress
  TargetLeaves, ///< stopped before its target left
  Failed,       ///< the run failed
  Gang,         ///< another member of its gang ended
  TargetLost,   ///< its target disappeared
  Lease,        ///< the lease ended without a report
};
constexpr std::size_t kLossCauseCount = 9;

const char*
ToString(LossCause aCause);

/** How a workload ended, compared to the time that its queue allows. */
enum class ServiceLevel : std::uint8_t
{
  OnTime,
  Late,       ///< after the allowed time
  VeryLate,   ///< after three times the allowed time
  Unfinished, ///< not ended in these logs
  Cancelled,
  Failed,
};
constexpr std::size_t kServiceLevelCount = 6;

const char*
ToString(ServiceLevel aLevel);

/** One step on a workload's path. */
struct PathEntry
{
  std::int64_t mUnixMs = 0;
  std::string mWhat;
};

/** What the logs tell of one workload. */
struct WorkloadTimeline
{
  std::string mId;
  std::string mQueue;
  std::int64_t mPriority = 0;
  std::int64_t mFirstTryMs =
    0; ///< Unix time of the first refusal or acceptance
  std::optional<std::int64_t> mAcceptedMs; ///< Unix time; none: never accepted
  std::int64_t mAllowedMs = 0;             ///< 0: not in the logs
  std::optional<std::int64_t> mEndedMs;    ///< Unix time
  std::string mPhase;                      ///< as logged; empty: not ended
  /** Longest wait of one task, by cause. Tasks wait at the same time, so that
   * the longest wait is what the workload loses. */
  std::array<std::int64_t, kLossCauseCount> mWaitedMs{};
  /** Run time of runs that did not end as done, summed over tasks. */
  std::array<std::int64_t, kLossCauseCount> mLostRunMs{};
  std::vector<PathEntry> mPath;
};

/** Returns the account of each workload that the lines name, in the order of
 * their first lines. Precondition: the lines are in order of time. Thread safe.
 */
std::vector<WorkloadTimeline>
BuildTimelines(const LogLines& aLines);

ServiceLevel
ServiceLevelOf(const WorkloadTimeline& aTimeline);

/** Returns the cause with the longest wait; none if nothing waited. */
std::optional<LossCause>
MainCause(const WorkloadTimeline& aTimeline);

/** Returns the account of all workloads as JSON: "summary", "levels" by
 * priority and "causes" by priority. */
std::string
RenderSummary(const std::vector<WorkloadTimeline>& aTimelines,
              const LogLines& aLines);

/** Returns one row per workload with its times in ms, with a header. */
std::string
RenderCsv(const std::vector<WorkloadTimeline>& aTimelines);

/** Returns the path of one workload as text, one entry a line. */
std::string
RenderPath(const WorkloadTimeline& aTimeline);

} // namespace dogwooddrum::cli
