/** \file
 * Defines the numbered log events of all daemons and the functions that write
 * each event as one structured line.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dogwooddrum::service {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/**
 * Log events. The numbers are stable: the number of an event that is no longer
 * used is never assigned to another one.
 */
enum class LogEvent : std::uint16_t
{
  // Process.
  Started = 100,
  Listening = 101,
  Ready = 102,
  DrainStarted = 103,
  ListenersClosed = 104,
  Stopped = 105,
  ShutdownLimitReached = 106,
  StartRefused = 107,
  Reloaded = 108,
  ReloadFailed = 109,
  ControlAddresses = 110,
  // Links and requests.
  LinkUp = 200,
  LinkDown = 201,
  LinkRefused = 202,
  FrameRejected = 203,
  RequestRefused = 204,
  ConfigurationStale = 205,
  ConfigurationFresh = 206,
  NoRoute = 207,
  // Consensus and storage.
  LeaderElected = 300,
  LeaderLost = 301,
  LeadershipTransferred = 302,
  MembershipChanged = 303,
  SnapshotWritten = 304,
  SnapshotInstalled = 305,
  LogRecovered = 306,
  TornTailTruncated = 307,
  LogCorrupt = 308,
  StorageFailed = 309,
  SyncSlow = 310,
  LeaderUnknown = 311,
  VoteRefused = 312,
  RepairProposed = 313,
  JoinNotServed = 314,
  SeekingGroup = 315,
  StorageReopened = 316,
  MemberLeft = 317,
  // Jobs and configuration.
  JobEnded = 400,
  AttemptStarted = 401,
  AttemptRetried = 402,
  JobPreempted = 403,
  ConfigurationChanged = 404,
  ConfigurationConflict = 405,
  // Workers and targets.
  WorkerUp = 500,
  WorkerLost = 501,
  WorkerQuarantined = 502,
  LeaseEnded = 503,
  TargetUnreachable = 504,
  TaskFailed = 505,
  TaskRefused = 506,
  AgentResumed = 507,
  TargetAnnounced = 508,
  TargetMessageRejected = 509,
  OrderSent = 510,
  OrderFailed = 511,
  ListingFailed = 512,
  IncarnationEnded = 513,
  AnnouncementDropped = 514,
  // Workloads.
  WorkloadAccepted = 600,
  WorkloadRejected = 601,
  WorkloadCancelled = 602,
  RunStarted = 603,
  RunStopped = 604,
  RunEnded = 605,
  WorkloadEnded = 606,
  WorkerJoined = 607,
  WorkerLeft = 608,
  WorkerLeaseEnded = 609,
  WorkerSuspected = 610,
  CatalogAdopted = 611,
  CallAnswered = 612,
  CatalogReceived = 613,
  OperatorAnswered = 614,
  QueueHeadWaited = 615,
  QueueHeadOverdue = 616,
  TargetCrashed = 617,
  ZoneEvacuated = 618,
  ZoneRestored = 619,
  TargetQuarantined = 620,
};

/** Definition of one event. */
struct LogEventInfo
{
  LogEvent mEvent;
  LogLevel mLevel;
  std::string_view mName; ///< snake_case
  std::string_view mText; ///< each {field} is replaced by the field's value
  std::string_view mMeaning;
  std::string_view mAction; ///< what an operator should do
};

/** Returns all events in the order of their numbers. Thread safe. */
const std::vector<LogEventInfo>&
LogEventTable();

/** Returns the definition of aEvent. Thread safe. */
const LogEventInfo&
Describe(LogEvent aEvent);

/** Name and value of one field of an event. */
struct LogField
{
  LogField(std::string_view aName, std::string aValue)
    : mName(aName)
    , mValue(std::move(aValue))
  {
  }
  LogField(std::string_view aName, std::string_view aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }
  template<typename T,
           typename = std::enable_if_t<std::is_arithmetic<T>::value>>
  LogField(std::string_view aName, T aValue)
    : mName(aName)
    , mValue(std::to_string(aValue))
  {
  }

  std::string_view mName;
  std::string mValue;
};

/**
 * Opens the process's log. Before the first call, log lines go to standard
 * error at level info; after a failure, the earlier log stays in use. aLevel is
 * a value of [common] log_level; an empty aFile means standard error. Returns
 * StorageFailed if the file cannot be opened. Call before other threads log.
 */
base::Outcome<bool>
OpenLog(const std::string& aLevel, const std::string& aFile);

/**
 * Writes one line: time, level, event number, event name, text, fields.
 * aFields must hold every field of the event's text, and may hold others.
 * Thread safe.
 */
void
Log(LogEvent aEvent, const std::vector<LogField>& aFields);

/** Returns the line that Log writes, without its time. Thread safe. */
std::string
FormatLogLine(LogEvent aEvent, const std::vector<LogField>& aFields);

/** Returns the reference of all events as Markdown (docs/log-events.md). */
std::string
LogEventReference();

} // namespace dogwooddrum::service
