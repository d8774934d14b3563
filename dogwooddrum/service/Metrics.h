/** \file
 * Defines Metrics, the counters, gauges and distributions of one process, and
 * their text in the Prometheus exposition format.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dogwooddrum::service {

/** Counters without a reason label. */
enum class Counter : std::uint8_t
{
  RequestsReceived,
  RequestsAccepted,
  JobsFinished,
  JobsFailed,
  JobsCancelled,
  AttemptsStarted,
  TasksStarted,
  TasksFinished,
  TasksFailed,
  Preemptions,
  Elections,
  ConfigurationChanges,
  LinksOpened,
  LogSyncs,
  LogSyncedEntries,
  WorkersLost,
  WorkersQuarantined,
  JoinRequestsSent,
  JoinRequestsReceived,
  QueueHeadsOverdue,
  TargetCrashes,
  ZoneEvacuations,
  RunTimesAsExpected,
  RunTimesOff,
  RunTimesFarOff,
  // Number of counters; must stay last.
  Count,
};

/** Reasons for which a control member refuses a pre-vote. */
enum class PreVoteRefusal : std::uint8_t
{
  HearsLeader,
  OldTerm,
  OwnLogIsNewer,
  // Number of reasons; must stay last.
  Count,
};

/** Values that rise and fall; a gauge that was never set is not rendered. */
enum class Gauge : std::uint8_t
{
  FragmentationUnusableShare,
  AcceleratorsFree,
  AcceleratorsTotal,
  LargestShapeOnWorker,
  LargestShapeInRack,
  LargestShapeInZone,
  Term,
  IsLeader,
  CommitIndex,
  AppliedIndex,
  ReplicationLagEntries,
  ConfigurationVersion,
  ActiveJobs,
  RequestsInProgress,
  QueuedRequests,
  HeldTasks,
  StorageWithdrawn,
  Ready,
  LeaderlessSeconds,
  RoutelessSeconds,
  EvacuatedZones,
  // Number of gauges; must stay last.
  Count,
};

/** Durations whose distribution is recorded for each profile. */
enum class Distribution : std::uint8_t
{
  QueueTime,      ///< submission to start
  CompletionTime, ///< submission to end
  RequestTime,    ///< one HTTP request at an entry
  TargetTime,     ///< one call of a target
  SyncTime,       ///< one sync of the log; the profile is empty
  QueueHeadWait,  ///< wait as first of a priority; pool/priority/cause
  // Number of distributions; must stay last.
  Count,
};

/**
 * Metrics of one process.
 * Thread safe. Counters and gauges are atomics; Observe briefly locks the
 * distribution and then its profile.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Adds aCount to a counter. */
  void Add(Counter aCounter, std::uint64_t aCount = 1);
  /** Returns the value of a counter. */
  std::uint64_t Value(Counter aCounter) const;
  /** Counts a refused request. */
  void CountRefusal(base::Reason aReason);
  /** Returns the number of refusals for aReason. */
  std::uint64_t Refusals(base::Reason aReason) const;
  /** Counts a retry. */
  void CountRetry(base::Reason aReason);
  /** Returns the number of retries for aReason. */
  std::uint64_t Retries(base::Reason aReason) const;
  /** Counts a refused pre-vote. */
  void CountPreVoteRefusal(PreVoteRefusal aReason);
  /** Sets a gauge. */
  void Set(Gauge aGauge, double aValue);
  /**
   * Adds one duration to a distribution. A distribution has at most 64 named
   * profiles, which bounds its memory; others are recorded as "other".
   */
  void Observe(Distribution aDistribution,
               const base::ProfileId& aProfile,
               base::Duration aTime);

  /** Returns all metrics in the Prometheus text format, version 0.0.4. */
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::service
