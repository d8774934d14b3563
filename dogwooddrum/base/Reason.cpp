#include "dogwooddrum/base/Reason.h"

#include <array>

namespace dogwooddrum::base {

namespace {

constexpr std::array<ReasonInfo, kReasonCount> kReasons = { {
  { "none", Ran::Ran, false },
  { "rate_limited", Ran::NotRun, true },
  { "concurrency_limited", Ran::NotRun, true },
  { "queue_full", Ran::NotRun, true },
  { "load_shed", Ran::NotRun, true },
  { "deadline_passed", Ran::NotRun, false },
  { "configuration_stale", Ran::NotRun, true },
  { "draining", Ran::NotRun, true },
  { "no_leader", Ran::MayHaveRun, true },
  { "unauthorized", Ran::NotRun, false },
  { "invalid_request", Ran::NotRun, false },
  { "unknown_account", Ran::NotRun, false },
  { "unknown_profile", Ran::NotRun, false },
  { "unknown_job", Ran::NotRun, false },
  { "payload_too_large", Ran::NotRun, false },
  { "key_reused", Ran::NotRun, false },
  { "can_never_run", Ran::NotRun, false },
  { "version_conflict", Ran::NotRun, false },
  { "guarantees_do_not_fit", Ran::NotRun, false },
  { "wrong_incarnation", Ran::NotRun, true },
  { "old_term", Ran::NotRun, true },
  { "attempt_fenced", Ran::NotRun, true },
  { "slots_full", Ran::NotRun, true },
  { "connections_full", Ran::NotRun, true },
  { "cancelled", Ran::MayHaveRun, false },
  { "preempted", Ran::MayHaveRun, true },
  { "gang_member_lost", Ran::MayHaveRun, true },
  { "start_timeout", Ran::MayHaveRun, true },
  { "worker_lost", Ran::MayHaveRun, true },
  { "lease_expired", Ran::MayHaveRun, true },
  { "target_failed", Ran::Ran, true },
  { "target_unreachable", Ran::MayHaveRun, true },
  { "target_slow", Ran::NotRun, true },
  { "retry_budget_exhausted", Ran::MayHaveRun, false },
  { "answer_too_large", Ran::Ran, false },
  { "answer_expired", Ran::Ran, false },
  { "outcome_unknown", Ran::MayHaveRun, false },
  { "malformed_frame", Ran::MayHaveRun, true },
  { "link_silent", Ran::MayHaveRun, true },
  { "link_closed", Ran::MayHaveRun, true },
  { "storage_failed", Ran::MayHaveRun, true },
  { "corrupt_log", Ran::MayHaveRun, false },
} };

} // namespace

const ReasonInfo&
ReasonInfoOf(Reason aReason)
{
  return kReasons.at(static_cast<std::size_t>(aReason));
}

std::string_view
ToString(Reason aReason)
{
  return ReasonInfoOf(aReason).mName;
}

std::string_view
ToString(Ran aRan)
{
  switch (aRan) {
    case Ran::NotRun:
      return "not_run";
    case Ran::MayHaveRun:
      return "may_have_run";
    case Ran::Ran:
      break;
  }
  return "ran";
}

std::optional<Reason>
ParseReason(std::string_view aName)
{
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (kReasons[i].mName == aName) {
      return static_cast<Reason>(i);
    }
  }
  return std::nullopt;
}

} // namespace dogwooddrum::base
