/** \file
 * Defines Admission, the admission control of an entry: it checks each
 * submission against the account, its limits, the profile and the freshness of
 * the configuration. It runs for every request and takes no lock.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Messages.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace dogwooddrum::coordination::admission {

class AccountLimits;

/**
 * Permission for one request. Releases the account's concurrent request slot
 * on destruction. Thread safety: distinct objects may be used concurrently.
 */
class Ticket
{
public:
  Ticket(std::shared_ptr<AccountLimits> aLimits,
         const protocol::Profile& aProfile);
  ~Ticket();
  Ticket(Ticket&&) noexcept = default;
  Ticket& operator=(Ticket&& aOther) noexcept;
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;

  /** Returns the profile that the request was admitted under. */
  const protocol::Profile& Profile() const { return mProfile; }

private:
  void Release();

  // Shared, since a configuration change may remove the account first.
  std::shared_ptr<AccountLimits> mLimits;
  protocol::Profile mProfile;
};

/** A refusal by admission; the job did not run. */
struct Refused
{
  base::Failure mFailure;
  base::Duration mRetryAfter{};
};

/** A ticket, or the refusal if there is none. */
struct AdmissionResult
{
  std::optional<Ticket> mTicket;
  Refused mRefused;
};

/**
 * Admission state of one entry.
 * Thread safety: Admit from any thread; the setters from one.
 */
class Admission
{
public:
  Admission();
  ~Admission();

  /** Replaces accounts and profiles; unchanged limits keep their state. */
  void SetConfiguration(const protocol::Configuration& aConfiguration);
  /** Allows admission until aUntil on the local clock. */
  void SetFreshUntil(base::Time aUntil);
  /** Refuses all later submissions with Draining. */
  void BeginDrain();

  /**
   * Decides on a submission. Refusals: Draining, ConfigurationStale,
   * UnknownAccount, UnknownProfile, InvalidRequest, PayloadTooLarge,
   * RateLimited, ConcurrencyLimited.
   */
  AdmissionResult Admit(const protocol::JobSpec& aSpec, base::Time aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * Returns an empty optional if the request is well formed, else
 * InvalidRequest or PayloadTooLarge with the offending value. Thread safe.
 */
std::optional<base::Failure>
CheckSpec(const protocol::JobSpec& aSpec);

} // namespace dogwooddrum::coordination::admission
