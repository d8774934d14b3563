#include "dogwooddrum/coordination/admission/Admission.h"

#include "dogwooddrum/base/Rcu.h"
#include "dogwooddrum/coordination/admission/AccountLimits.h"

#include <map>
#include <string>
#include <utility>

namespace dogwooddrum::coordination::admission {

namespace {

/** Retry delay at the concurrency limit: about one short request. */
constexpr base::Duration kConcurrencyRetryDelay = base::Milliseconds(50);
/** Retry delay with a stale configuration: long enough for the next freshness
 * poll; a caller may also use another entry. */
constexpr base::Duration kStaleRetryDelay = base::Milliseconds(1000);

/** Read by every request; replaced as a whole on a configuration change. */
struct ConfigurationTable
{
  std::map<base::AccountId, std::shared_ptr<AccountLimits>> mAccounts;
  std::map<base::ProfileId, protocol::Profile> mProfiles;
};

base::Failure
MakeInvalidRequest(std::string aMessage)
{
  return { base::Reason::InvalidRequest, std::move(aMessage) };
}

AdmissionResult
Refuse(base::Reason aReason,
       std::string aMessage,
       base::Duration aRetryAfter = {})
{
  return { std::nullopt, { { aReason, std::move(aMessage) }, aRetryAfter } };
}

bool
IsValidName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= protocol::kMaxNameBytes;
}

} // namespace

Ticket::Ticket(std::shared_ptr<AccountLimits> aLimits,
               const protocol::Profile& aProfile)
  : mLimits(std::move(aLimits))
  , mProfile(aProfile)
{
}

Ticket::~Ticket()
{
  Release();
}

Ticket&
Ticket::operator=(Ticket&& aOther) noexcept
{
  Release();
  mLimits = std::move(aOther.mLimits);
  mProfile = std::move(aOther.mProfile);
  return *this;
}

void
Ticket::Release()
{
  if (mLimits) {
    mLimits->ReleaseSlot();
    mLimits.reset();
  }
}

struct Admission::Impl
{
  base::RcuPointer<ConfigurationTable> mTable{
    std::make_unique<const ConfigurationTable>()
  };
  std::atomic<base::Duration::rep> mFreshUntil{
    base::Time::min().time_since_epoch().count()
  };
  std::atomic<bool> mDraining{ false };
};

Admission::Admission()
  : mImpl(std::make_unique<Impl>())
{
}

Admission::~Admission() = default;

void
Admission::SetConfiguration(const protocol::Configuration& aConfiguration)
{
  auto table = std::make_unique<ConfigurationTable>();
  {
    const base::RcuReadSection section;
    const ConfigurationTable& old = mImpl->mTable.Read(section);
    for (const auto& account : aConfiguration.mAccounts) {
      const auto it = old.mAccounts.find(account.mName);
      const bool keep =
        it != old.mAccounts.end() && it->second->Matches(account);
      table->mAccounts.emplace(account.mName,
                               keep ? it->second
                                    : std::make_shared<AccountLimits>(account));
    }
  }
  for (const auto& profile : aConfiguration.mProfiles) {
    table->mProfiles.emplace(profile.mName, profile);
  }
  mImpl->mTable.Replace(std::move(table));
}

void
Admission::SetFreshUntil(base::Time aUntil)
{
  mImpl->mFreshUntil.store(aUntil.time_since_epoch().count(),
                           std::memory_order_release);
}

void
Admission::BeginDrain()
{
  mImpl->mDraining.store(true, std::memory_order_release);
}

AdmissionResult
Admission::Admit(const protocol::JobSpec& aSpec, base::Time aNow)
{
  if (mImpl->mDraining.load(std::memory_order_acquire)) {
    return Refuse(base::Reason::Draining, "this entry is shutting down");
  }
  const auto freshUntil = mImpl->mFreshUntil.load(std::memory_order_acquire);
  if (aNow.time_since_epoch().count() >= freshUntil) {
    return Refuse(base::Reason::ConfigurationStale,
                  "no control leader has confirmed the configuration",
                  kStaleRetryDelay);
  }
  if (auto failure = CheckSpec(aSpec)) {
    return Refuse(failure->mReason, std::move(failure->mMessage));
  }
  const base::RcuReadSection section;
  const ConfigurationTable& table = mImpl->mTable.Read(section);
  const auto account = table.mAccounts.find(aSpec.mAccount);
  if (account == table.mAccounts.end()) {
    return Refuse(base::Reason::UnknownAccount,
                  "client account '" + aSpec.mAccount.Value() +
                    "' does not exist");
  }
  const auto profile = table.mProfiles.find(aSpec.mProfile);
  if (profile == table.mProfiles.end()) {
    return Refuse(base::Reason::UnknownProfile,
                  "profile '" + aSpec.mProfile.Value() + "' does not exist");
  }
  const auto& limits = account->second;
  if (!limits->TryAcquireSlot()) {
    return Refuse(base::Reason::ConcurrencyLimited,
                  "client account '" + aSpec.mAccount.Value() +
                    "' has reached its concurrent requests",
                  kConcurrencyRetryDelay);
  }
  Ticket ticket(limits, profile->second);
  if (const auto wait = limits->TryTakeToken(aNow)) {
    return Refuse(base::Reason::RateLimited,
                  "client account '" + aSpec.mAccount.Value() +
                    "' has reached its requests per second",
                  *wait);
  }
  return { std::move(ticket), {} };
}

std::optional<base::Failure>
CheckSpec(const protocol::JobSpec& aSpec)
{
  if (!IsValidName(aSpec.mAccount.Value())) {
    return MakeInvalidRequest(
      "account must have 1 to " + std::to_string(protocol::kMaxNameBytes) +
      " bytes, has " + std::to_string(aSpec.mAccount.Value().size()));
  }
  if (!IsValidName(aSpec.mProfile.Value())) {
    return MakeInvalidRequest(
      "profile must have 1 to " + std::to_string(protocol::kMaxNameBytes) +
      " bytes, has " + std::to_string(aSpec.mProfile.Value().size()));
  }
  if (!IsValidName(aSpec.mKey.Value())) {
    return MakeInvalidRequest(
      "key must have 1 to " + std::to_string(protocol::kMaxNameBytes) +
      " bytes, has " + std::to_string(aSpec.mKey.Value().size()));
  }
  const auto& shape = aSpec.mShape;
  if (shape.mTasks == 0 || shape.mTasks > protocol::kMaxGangTasks) {
    return MakeInvalidRequest("tasks must be 1 to " +
                              std::to_string(protocol::kMaxGangTasks) +
                              ", is " + std::to_string(shape.mTasks));
  }
  if (shape.mAcceleratorsPerTask == 0) {
    return MakeInvalidRequest("accelerators_per_task must be at least 1, is 0");
  }
  if (shape.mAdjacency > protocol::Adjacency::Zone) {
    return MakeInvalidRequest(
      "adjacency has the unknown value " +
      std::to_string(static_cast<int>(shape.mAdjacency)));
  }
  if (aSpec.mPayload.size() > protocol::kMaxJobPayloadBytes) {
    return base::Failure{ base::Reason::PayloadTooLarge,
                          "payload of " +
                            std::to_string(aSpec.mPayload.size()) +
                            " bytes exceeds " +
                            std::to_string(protocol::kMaxJobPayloadBytes) };
  }
  return std::nullopt;
}

} // namespace dogwooddrum::coordination::admission
