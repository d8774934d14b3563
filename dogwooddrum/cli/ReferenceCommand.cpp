// Prints the reference pages that are generated from tables in the source.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/Reference.h"

#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/service/Settings.h"

#include <iostream>
#include <map>
#include <sstream>

namespace dogwooddrum::cli {

namespace {

/** Returns the explanation of aReason for the reference page; empty if there is
 * none. */
std::string_view
DescribeReason(base::Reason aReason)
{
  using base::Reason;
  static const std::map<Reason, std::string_view> meanings = {
    { Reason::RateLimited, "The client account's request rate is used up." },
    { Reason::ConcurrencyLimited,
      "The client account has its limit of requests in progress." },
    { Reason::QueueFull, "A bounded queue is full." },
    { Reason::LoadShed,
      "The queue is nearly full and the profile's work may not wait." },
    { Reason::DeadlinePassed, "The deadline passed before the work started." },
    { Reason::ConfigurationStale,
      "The process could not confirm its configuration within 3 s." },
    { Reason::Draining, "The process or worker is leaving." },
    { Reason::NoLeader, "No control leader answered in time." },
    { Reason::Unauthorized, "The operators' key is missing or wrong." },
    { Reason::InvalidRequest,
      "A field is missing or wrong; the message names it." },
    { Reason::UnknownAccount, "No client account has this name." },
    { Reason::UnknownProfile, "No profile has this name." },
    { Reason::UnknownJob, "No job has this number, or it was forgotten." },
    { Reason::PayloadTooLarge, "The payload is larger than 256 KiB." },
    { Reason::KeyReused, "The key was used before with another request." },
    { Reason::CanNeverRun,
      "The shape is larger than any that the cluster can form." },
    { Reason::VersionConflict, "Another change was accepted first." },
    { Reason::GuaranteesDoNotFit,
      "The guaranteed shapes do not fit side by side." },
    { Reason::WrongIncarnation,
      "The start named an agent process that no longer exists." },
    { Reason::OldTerm, "The start came from a leader that was replaced." },
    { Reason::AttemptFenced,
      "The attempt was released at the agent before it started." },
    { Reason::SlotsFull, "All slots of the target are in use." },
    { Reason::ConnectionsFull, "All connections to the target are in use." },
    { Reason::Cancelled, "The caller cancelled the job." },
    { Reason::Preempted, "Borrowed capacity was reclaimed by its owner." },
    { Reason::GangMemberLost,
      "Another task of the gang failed or disappeared." },
    { Reason::StartTimeout,
      "Not all tasks of the gang were prepared in time, or a connection was "
      "not made in time." },
    { Reason::WorkerLost, "The worker's heartbeats stopped." },
    { Reason::LeaseExpired, "The task's lease could not be renewed." },
    { Reason::TargetFailed, "The target answered with an error." },
    { Reason::TargetUnreachable, "No connection to the target could be made." },
    { Reason::TargetSlow,
      "The target answered too slowly and was ejected for a while." },
    { Reason::RetryBudgetExhausted,
      "All attempts that the profile allows have failed." },
    { Reason::AnswerTooLarge,
      "The answer is larger than 8 MiB, or than the space for answers." },
    { Reason::AnswerExpired,
      "The answer was acknowledged or kept for its retention time, and then "
      "dropped." },
    { Reason::OutcomeUnknown,
      "The work was sent to an agent that disappeared, and is not "
      "repeatable." },
    { Reason::MalformedFrame, "A message was damaged." },
    { Reason::LinkSilent, "A peer did not answer in time." },
    { Reason::LinkClosed,
      "A connection closed before the answer was complete." },
    { Reason::StorageFailed, "A control member's disk failed." },
    { Reason::CorruptLog, "A control member's log is damaged." },
  };
  const auto it = meanings.find(aReason);
  return it == meanings.end() ? std::string_view() : it->second;
}

} // namespace

std::string
RefusalReference()
{
  std::ostringstream out;
  out << "| reason | ran | retry | meaning |\n|---|---|---|---|\n";
  for (std::size_t i = 1; i < base::kReasonCount; ++i) {
    const auto reason = static_cast<base::Reason>(i);
    const base::ReasonInfo& info = ReasonInfoOf(reason);
    out << "| `" << info.mName << "` | " << ToString(info.mRan) << " | "
        << (info.mRetryable ? "yes" : "no") << " | " << DescribeReason(reason)
        << " |\n";
  }
  return out.str();
}

ExitCode
RunReference(const Arguments& aArguments)
{
  const CommandHelp help{ "reference",
                          "PAGE",
                          "Prints a reference page in Markdown: settings, "
                          "log-events or refusals.",
                          { "settings", "log-events", "refusals" } };
  const auto parsed = ParseArguments(help, {}, aArguments);
  if (!parsed) {
    return PrintUsageError(help.mName, parsed.LastFailure().mMessage);
  }
  if (parsed->mHelpShown) {
    return ExitCode::Ok;
  }
  const std::string page =
    parsed->mPositional.size() == 1 ? parsed->mPositional[0] : "";
  if (page == "settings") {
    std::cout << service::SettingsReference();
  } else if (page == "log-events") {
    std::cout << service::LogEventReference();
  } else if (page == "refusals") {
    std::cout << RefusalReference();
  } else {
    return PrintUsageError(help.mName,
                           "page \"" + page +
                             "\" is not settings, log-events or refusals");
  }
  return ExitCode::Ok;
}

} // namespace dogwooddrum::cli
