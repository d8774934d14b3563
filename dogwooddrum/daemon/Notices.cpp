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
CountEnd(const Notice& aNotice, service::Metrics& aMetrics)
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

/** Adds to the metrics; returns the event, or none if it is only counted. */
std::optional<LogEvent>
Count(const Notice& aNotice, service::Metrics& aMetrics)
{
  switch (aNotice.mKind) {
    case Notice::Kind::JobEnded:
      CountEnd(aNotice, aMetrics);
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
      // The host logs this and the next itself, with the member and the term.
      aMetrics.Add(Counter::Elections);
      break;
    case Notice::Kind::SteppedDown:
      break;
  }
  return std::nullopt;
}

} // namespace

void
Report(const Notice& aNotice, service::Metrics& aMetrics)
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
Report(const coordination::workloads::WorkloadEvent& aNote,
       service::Metrics& aMetrics)
{
  using Kind = coordination::workloads::WorkloadEvent::Kind;
  struct Row
  {
    Kind mKind;
    LogEvent mEvent;
    std::optional<Counter> mCounter;
  };
  static constexpr std::array<Row, 12> kRows{ {
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
    { Kind::CatalogAdopted,
      LogEvent::CatalogAdopted,
      Counter::ConfigurationChanges },
  } };
  for (const Row& row : kRows) {
    if (row.mKind != aNote.mKind) {
      continue;
    }
    if (row.mCounter) {
      aMetrics.Add(*row.mCounter);
    }
    std::vector<service::LogField> fields;
    for (const auto& [name, value] : aNote.mFields) {
      fields.emplace_back(name, value);
    }
    service::Log(row.mEvent, fields);
  }
}

} // namespace dogwooddrum::daemon
