#include "dogwooddrum/daemon/Notices.h"

#include "dogwooddrum/service/LogEvents.h"

#include <array>

namespace dogwooddrum::daemon {

namespace {

using coordination::control::Notice;
using service::Counter;
using service::Distribution;
using service::LogEvent;

void
CountJobEnd(const Notice& aNotice, service::Metrics& aMetrics)
{
  if (aNotice.mReason == base::Reason::None) {
    aMetrics.Add(Counter::JobsFinished);
  } else if (aNotice.mReason == base::Reason::Cancelled) {
    aMetrics.Add(Counter::JobsCancelled);
  } else {
    aMetrics.Add(Counter::JobsFailed);
  }
  aMetrics.Observe(
    Distribution::CompletionTime, aNotice.mProfile, aNotice.mDuration);
}

/** Updates the metrics. Returns the event to log, or none if the notice is
 * only counted. */
std::optional<LogEvent>
Count(const Notice& aNotice, service::Metrics& aMetrics)
{
  switch (aNotice.mKind) {
    case Notice::Kind::JobEnded:
      CountJobEnd(aNotice, aMetrics);
      return LogEvent::JobEnded;
    case Notice::Kind::AttemptStarted:
      aMetrics.Add(Counter::AttemptsStarted);
      aMetrics.Observe(
        Distribution::QueueTime, aNotice.mProfile, aNotice.mDuration);
      return LogEvent::AttemptStarted;
    case Notice::Kind::AttemptRetried:
      aMetrics.CountRetry(aNotice.mReason);
      return LogEvent::AttemptRetried;
    case Notice::Kind::RequestRefused:
      aMetrics.CountRefusal(aNotice.mReason);
      return LogEvent::RequestRefused;
    case Notice::Kind::WorkerUp:
      return LogEvent::WorkerUp;
    case Notice::Kind::WorkerLost:
      aMetrics.Add(Counter::WorkersLost);
      return LogEvent::WorkerLost;
    case Notice::Kind::WorkerQuarantined:
      aMetrics.Add(Counter::WorkersQuarantined);
      return LogEvent::WorkerQuarantined;
    case Notice::Kind::ConfigurationChanged:
      aMetrics.Add(Counter::ConfigurationChanges);
      return LogEvent::ConfigurationChanged;
    case Notice::Kind::ConfigurationConflict:
      return LogEvent::ConfigurationConflict;
    case Notice::Kind::Preempted:
      aMetrics.Add(Counter::Preemptions);
      return LogEvent::JobPreempted;
    case Notice::Kind::BecameLeader:
      // ControlCore logs this kind and SteppedDown, with the member and term.
      aMetrics.Add(Counter::Elections);
      break;
    case Notice::Kind::SteppedDown:
      break;
  }
  return std::nullopt;
}

Counter
RunTimeErrorCounter(double aFactor)
{
  if (aFactor <= 2) {
    return Counter::RunTimesAsExpected;
  }
  return aFactor <= 4 ? Counter::RunTimesOff : Counter::RunTimesFarOff;
}

} // namespace

void
LogAndCount(const Notice& aNotice, service::Metrics& aMetrics)
{
  const auto event = Count(aNotice, aMetrics);
  if (!event) {
    return;
  }
  service::Log(*event,
               { { "reason", base::ToString(aNotice.mReason) },
                 { "message", aNotice.mText },
                 { "worker", aNotice.mText },
                 { "version", aNotice.mText },
                 { "wait_ms", base::ToMilliseconds(aNotice.mDuration) } });
}

void
LogAndCount(const coordination::workloads::WorkloadEvent& aEvent,
            service::Metrics& aMetrics)
{
  using Kind = coordination::workloads::WorkloadEvent::Kind;
  struct EventMapping
  {
    Kind mKind;
    LogEvent mEvent;
    std::optional<Counter> mCounter;
  };
  static constexpr std::array<EventMapping, 18> kEventMappings{ {
    { Kind::Accepted, LogEvent::WorkloadAccepted, Counter::RequestsAccepted },
    { Kind::Rejected, LogEvent::WorkloadRejected, std::nullopt },
    { Kind::Cancelled, LogEvent::WorkloadCancelled, Counter::JobsCancelled },
    { Kind::RunStarted, LogEvent::RunStarted, Counter::TasksStarted },
    { Kind::RunStopped, LogEvent::RunStopped, Counter::Preemptions },
    { Kind::RunEnded, LogEvent::RunEnded, Counter::TasksFinished },
    { Kind::WorkloadEnded, LogEvent::WorkloadEnded, Counter::JobsFinished },
    { Kind::WorkerJoined, LogEvent::WorkerJoined, std::nullopt },
    { Kind::WorkerLeft, LogEvent::WorkerLeft, std::nullopt },
    { Kind::WorkerLost, LogEvent::WorkerLeaseEnded, Counter::WorkersLost },
    { Kind::WorkerSuspected,
      LogEvent::WorkerSuspected,
      Counter::WorkersQuarantined },
    { Kind::TargetQuarantined, LogEvent::TargetQuarantined, std::nullopt },
    { Kind::CatalogAdopted,
      LogEvent::CatalogAdopted,
      Counter::ConfigurationChanges },
    { Kind::QueueHeadWaited, LogEvent::QueueHeadWaited, std::nullopt },
    { Kind::QueueHeadOverdue,
      LogEvent::QueueHeadOverdue,
      Counter::QueueHeadsOverdue },
    { Kind::TargetCrashed, LogEvent::TargetCrashed, Counter::TargetCrashes },
    { Kind::ZoneEvacuated, LogEvent::ZoneEvacuated, Counter::ZoneEvacuations },
    { Kind::ZoneRestored, LogEvent::ZoneRestored, std::nullopt },
  } };
  if (aEvent.mKind == Kind::RunTimeLearned) {
    aMetrics.Add(RunTimeErrorCounter(aEvent.mRunTimeErrorFactor));
    return;
  }
  for (const auto& [profile, wait] : aEvent.mHeadWaits) {
    aMetrics.Observe(
      Distribution::QueueHeadWait, base::ProfileId(profile), wait);
  }
  for (const EventMapping& mapping : kEventMappings) {
    if (mapping.mKind != aEvent.mKind) {
      continue;
    }
    if (mapping.mCounter) {
      aMetrics.Add(*mapping.mCounter);
    }
    std::vector<service::LogField> fields;
    for (const auto& [name, value] : aEvent.mFields) {
      fields.emplace_back(name, value);
    }
    service::Log(mapping.mEvent, fields);
  }
}

} // namespace dogwooddrum::daemon
