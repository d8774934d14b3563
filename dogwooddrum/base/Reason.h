/** \file
 * Defines the reasons for refusals, failures and retries. Each reason implies
 * whether the work ran and whether a retry can succeed.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dogwooddrum::base {

/** Whether the work of a refused or failed request ran. */
enum class Ran : std::uint8_t
{
  NotRun,
  MayHaveRun,
  Ran,
};

/** Why a request was refused, a job failed or a retry was made. */
enum class Reason : std::uint8_t
{
  None,
  // Admission.
  RateLimited,
  ConcurrencyLimited,
  QueueFull,
  LoadShed,
  DeadlinePassed,
  ConfigurationStale,
  Draining,
  NoLeader,
  Unauthorized,
  // Request content.
  InvalidRequest,
  UnknownAccount,
  UnknownProfile,
  UnknownJob,
  PayloadTooLarge,
  KeyReused,
  CanNeverRun,
  // Configuration.
  VersionConflict,
  GuaranteesDoNotFit,
  // Agent refusals.
  WrongIncarnation,
  OldTerm,
  AttemptFenced,
  SlotsFull,
  ConnectionsFull,
  // Execution of an attempt.
  Cancelled,
  Preempted,
  GangMemberLost,
  StartTimeout,
  WorkerLost,
  LeaseExpired,
  TargetFailed,
  TargetUnreachable,
  TargetSlow,
  RetryBudgetExhausted,
  AnswerTooLarge,
  AnswerExpired,
  OutcomeUnknown,
  // Links and storage.
  MalformedFrame,
  LinkSilent,
  LinkClosed,
  StorageFailed,
  CorruptLog,
  // Keep last: number of reasons.
  Count,
};

/** Number of reasons, for tables indexed by Reason. */
constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::Count);

/** Properties of a reason. */
struct ReasonInfo
{
  std::string_view mName; ///< snake_case name used on the wire and in metrics
  Ran mRan;               ///< default if no more specific information exists
  bool mRetryable;        ///< whether a later retry can succeed
};

/** Returns the properties of aReason. Thread safe. */
const ReasonInfo&
ReasonInfoOf(Reason aReason);

/** Returns the snake_case name of aReason. Thread safe. */
std::string_view
ToString(Reason aReason);

/** Returns "not_run", "may_have_run" or "ran". Thread safe. */
std::string_view
ToString(Ran aRan);

/** Returns the reason with the snake_case name aName. Thread safe. */
std::optional<Reason>
ParseReason(std::string_view aName);

} // namespace dogwooddrum::base
