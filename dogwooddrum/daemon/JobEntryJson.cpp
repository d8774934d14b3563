#include "dogwooddrum/daemon/JobEntryJson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace dogwooddrum::daemon {

namespace {

using nlohmann::json;

base::Failure
MakeInvalidRequest(std::string aMessage)
{
  return { base::Reason::InvalidRequest, std::move(aMessage) };
}

/** Checks the nesting before parsing, so that deep nesting uses no memory. */
bool
IsDepthWithin(const std::string& aText, unsigned aLimit)
{
  unsigned depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      if (++depth > aLimit) {
        return false;
      }
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return true;
}

base::Outcome<json>
ParseObject(const std::string& aBody)
{
  if (!IsDepthWithin(aBody, kMaxJsonDepth)) {
    return MakeInvalidRequest("JSON is nested deeper than " +
                              std::to_string(kMaxJsonDepth));
  }
  auto body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return MakeInvalidRequest("body is not a JSON object");
  }
  return body;
}

/** Reads the members of one JSON object and keeps the first error. */
class FieldReader
{
public:
  explicit FieldReader(const json& aObject, const char* aErrorPrefix)
    : mObject(aObject)
    , mErrorPrefix(aErrorPrefix)
  {
  }

  template<typename Int>
  FieldReader& ReadNumber(const char* aName,
                          Int& aTarget,
                          bool aRequired = false)
  {
    const json* value = Find(aName, aRequired);
    if (value == nullptr) {
      return *this;
    }
    const bool fits =
      value->is_number_integer() &&
      (value->is_number_unsigned()
         ? value->get<std::uint64_t>() <=
             static_cast<std::uint64_t>(std::numeric_limits<Int>::max())
         : std::is_signed<Int>::value &&
             value->get<std::int64_t>() >=
               static_cast<std::int64_t>(std::numeric_limits<Int>::min()));
    if (!fits) {
      return RecordError(aName,
                         std::is_signed<Int>::value
                           ? "an integer in range"
                           : "a natural number in range");
    }
    aTarget = value->get<Int>();
    return *this;
  }

  FieldReader& ReadBool(const char* aName, bool& aTarget)
  {
    const json* value = Find(aName, false);
    if (value == nullptr) {
      return *this;
    }
    if (!value->is_boolean()) {
      return RecordError(aName, "true or false");
    }
    aTarget = value->get<bool>();
    return *this;
  }

  template<typename Id>
  FieldReader& ReadName(const char* aName, Id& aTarget, bool aRequired = true)
  {
    const json* value = Find(aName, aRequired);
    if (value == nullptr) {
      return *this;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty() ||
        value->get_ref<const std::string&>().size() > protocol::kMaxNameBytes) {
      return RecordError(aName, "a text of 1 to 128 bytes");
    }
    aTarget = Id(value->get<std::string>());
    return *this;
  }

  FieldReader& ReadAdjacency(const char* aName, protocol::Adjacency& aTarget)
  {
    const json* value = Find(aName, false);
    if (value == nullptr) {
      return *this;
    }
    const auto level = value->is_string()
                         ? protocol::ParseAdjacency(value->get<std::string>())
                         : std::nullopt;
    if (!level) {
      return RecordError(aName, "one of none, worker, rack and zone");
    }
    aTarget = *level;
    return *this;
  }

  /** Returns the member, or null if it is absent or null. Records an error if
   * it is required. */
  const json* Find(const char* aName, bool aRequired)
  {
    const auto it = mObject.find(aName);
    if (it == mObject.end() || it->is_null()) {
      if (aRequired) {
        RecordError(aName, "present");
      }
      return nullptr;
    }
    return &*it;
  }

  /** Keeps the error only if none was recorded before. */
  FieldReader& RecordError(const char* aName, const char* aAllowed)
  {
    if (!mFailure) {
      mFailure = MakeInvalidRequest(std::string(mErrorPrefix) + "field \"" +
                                    aName + "\" must be " + aAllowed);
    }
    return *this;
  }

  const std::optional<base::Failure>& FirstError() const { return mFailure; }

private:
  const json& mObject;
  const char* mErrorPrefix;
  std::optional<base::Failure> mFailure;
};

/** Returns the value as text. Bytes that are not UTF-8 are replaced, because
 * messages of targets may contain them. */
std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
ToJsonObject(const protocol::JobView& aView)
{
  return { { "job", aView.mJob.Value() },
           { "account", aView.mAccount.Value() },
           { "profile", aView.mProfile.Value() },
           { "key", aView.mKey.Value() },
           { "state", protocol::ToString(aView.mState) },
           { "reason", base::ToString(aView.mReason) },
           { "ran", base::ToString(aView.mRan) },
           { "message", aView.mMessage },
           { "attempt", aView.mAttempt.Value() },
           { "answer_bytes", aView.mAnswerBytes },
           { "answer_checksum", ChecksumText(aView.mAnswerChecksum) } };
}

base::Outcome<protocol::ConfigurationEdit>
ParseAccount(const json& aObject)
{
  protocol::ClientAccount account;
  FieldReader fields(aObject, "account: ");
  fields.ReadName("name", account.mName)
    .ReadNumber("requests_per_second", account.mRequestsPerSecond)
    .ReadNumber("concurrent_requests", account.mConcurrentRequests);
  if (const json* shapes = fields.Find("guarantees", false)) {
    if (!shapes->is_array()) {
      fields.RecordError("guarantees", "an array");
    } else {
      for (const auto& shape : *shapes) {
        if (!shape.is_object()) {
          fields.RecordError("guarantees", "an array of objects");
          break;
        }
        protocol::GuaranteedShape guarantee;
        FieldReader shapeFields(shape, "account: guarantees: ");
        shapeFields.ReadNumber("count", guarantee.mCount)
          .ReadNumber("accelerators", guarantee.mAccelerators, true)
          .ReadAdjacency("level", guarantee.mLevel);
        if (shapeFields.FirstError()) {
          return *shapeFields.FirstError();
        }
        account.mGuarantees.push_back(guarantee);
      }
    }
  }
  if (fields.FirstError()) {
    return *fields.FirstError();
  }
  return protocol::ConfigurationEdit(std::move(account));
}

base::Outcome<protocol::ConfigurationEdit>
ParseProfile(const json& aObject)
{
  protocol::Profile profile;
  FieldReader fields(aObject, "profile: ");
  fields.ReadName("name", profile.mName)
    .ReadNumber("priority", profile.mPriority)
    .ReadBool("preemptible", profile.mPreemptible)
    .ReadBool("interactive", profile.mInteractive)
    .ReadBool("may_wait", profile.mMayWait)
    .ReadNumber("retry_budget", profile.mRetryBudget)
    .ReadNumber("deadline_ms", profile.mDeadlineMs)
    .ReadNumber("max_reserve_ms", profile.mMaxReserveMs);
  if (fields.FirstError()) {
    return *fields.FirstError();
  }
  return protocol::ConfigurationEdit(std::move(profile));
}

base::Outcome<protocol::ConfigurationEdit>
ParseEdit(const json& aChange)
{
  if (!aChange.is_object() || aChange.size() != 1) {
    return MakeInvalidRequest("change must be an object with one member");
  }
  const auto& name = aChange.begin().key();
  const auto& value = aChange.begin().value();
  FieldReader fields(aChange, "change: ");
  if (name == "account" && value.is_object()) {
    return ParseAccount(value);
  }
  if (name == "profile" && value.is_object()) {
    return ParseProfile(value);
  }
  if (name == "remove_account") {
    protocol::RemoveAccount remove;
    fields.ReadName("remove_account", remove.mName);
    return fields.FirstError()
             ? base::Outcome<protocol::ConfigurationEdit>(*fields.FirstError())
             : protocol::ConfigurationEdit(remove);
  }
  if (name == "remove_profile") {
    protocol::RemoveProfile remove;
    fields.ReadName("remove_profile", remove.mName);
    return fields.FirstError()
             ? base::Outcome<protocol::ConfigurationEdit>(*fields.FirstError())
             : protocol::ConfigurationEdit(remove);
  }
  return MakeInvalidRequest(
    "change \"" + name +
    "\" is not one of account, profile, remove_account and "
    "remove_profile");
}

std::optional<base::Failure>
ParseChangeHeader(const json& aBody, protocol::ChangeRequest& aRequest)
{
  std::uint64_t version = 0;
  FieldReader fields(aBody, "");
  fields.ReadName("change_id", aRequest.mChangeId)
    .ReadNumber("base_version", version, true);
  aRequest.mBaseVersion = base::ConfigurationVersion(version);
  return fields.FirstError();
}

} // namespace

base::Outcome<protocol::JobSpec>
ParseJobSpec(const std::string& aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return body.LastFailure();
  }
  protocol::JobSpec spec;
  FieldReader fields(*body, "");
  fields.ReadName("account", spec.mAccount)
    .ReadName("profile", spec.mProfile)
    .ReadName("key", spec.mKey)
    .ReadNumber("tasks", spec.mShape.mTasks)
    .ReadNumber("accelerators_per_task", spec.mShape.mAcceleratorsPerTask)
    .ReadAdjacency("adjacency", spec.mShape.mAdjacency)
    .ReadNumber("declared_run_ms", spec.mDeclaredRunMs)
    .ReadNumber("deadline_ms", spec.mDeadlineMs)
    .ReadBool("repeatable", spec.mRepeatable);
  if (const json* payload = fields.Find("payload", false)) {
    spec.mPayload =
      payload->is_string() ? payload->get<std::string>() : Dump(*payload);
  }
  if (fields.FirstError()) {
    return *fields.FirstError();
  }
  return spec;
}

base::Outcome<protocol::ChangeRequest>
ParseChangeRequest(const std::string& aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return body.LastFailure();
  }
  protocol::ChangeRequest request;
  if (auto failure = ParseChangeHeader(*body, request)) {
    return *failure;
  }
  auto edit = ParseEdit(body->value("change", json()));
  if (!edit) {
    return edit.LastFailure();
  }
  request.mEdit = std::move(*edit);
  return request;
}

base::Outcome<protocol::ChangeRequest>
ParseDrainRequest(const std::string& aBody,
                  const std::string& aWorker,
                  bool aDrain)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return body.LastFailure();
  }
  protocol::ChangeRequest request;
  if (auto failure = ParseChangeHeader(*body, request)) {
    return *failure;
  }
  request.mEdit = protocol::DrainWorker{ base::WorkerId(aWorker), aDrain };
  return request;
}

base::Outcome<protocol::MemberRequest>
ParseMemberRequest(const std::string& aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return body.LastFailure();
  }
  protocol::MemberRequest request;
  std::string action;
  std::uint64_t member = 0;
  FieldReader fields(*body, "");
  fields.ReadName("action", action)
    .ReadNumber("member", member, true)
    .ReadName("address", request.mAddress, action == "add");
  request.mMember = base::MemberId(member);
  using Kind = protocol::MemberRequest::Kind;
  if (action == "add") {
    request.mKind = Kind::AddLearner;
  } else if (action == "promote") {
    request.mKind = Kind::Promote;
  } else if (action == "remove") {
    request.mKind = Kind::Remove;
  } else {
    fields.RecordError("action", "one of add, promote and remove");
  }
  if (fields.FirstError()) {
    return *fields.FirstError();
  }
  return request;
}

std::string
ToJson(const protocol::JobView& aView)
{
  return Dump(ToJsonObject(aView));
}

std::string
ToJson(const protocol::JobList& aList)
{
  json jobs = json::array();
  for (const auto& view : aList.mJobs) {
    jobs.push_back(ToJsonObject(view));
  }
  return Dump({ { "jobs", std::move(jobs) } });
}

std::string
ToJson(const protocol::Refusal& aRefusal)
{
  return Dump({ { "reason", base::ToString(aRefusal.mReason) },
                { "ran", base::ToString(aRefusal.mRan) },
                { "retry", aRefusal.mRetryable },
                { "retry_after_ms", aRefusal.mRetryAfterMs },
                { "message", aRefusal.mMessage } });
}

std::string
ToJson(const protocol::ChangeOutcome& aOutcome)
{
  return Dump({ { "accepted", aOutcome.mAccepted },
                { "version", aOutcome.mVersion.Value() },
                { "reason", base::ToString(aOutcome.mReason) },
                { "winner", aOutcome.mWinningChange.Value() },
                { "message", aOutcome.mMessage } });
}

std::string
ToJson(const protocol::Configuration& aConfiguration)
{
  json accounts = json::array();
  for (const auto& account : aConfiguration.mAccounts) {
    json guarantees = json::array();
    for (const auto& shape : account.mGuarantees) {
      guarantees.push_back({ { "count", shape.mCount },
                             { "accelerators", shape.mAccelerators },
                             { "level", protocol::ToString(shape.mLevel) } });
    }
    accounts.push_back(
      { { "name", account.mName.Value() },
        { "guarantees", std::move(guarantees) },
        { "requests_per_second", account.mRequestsPerSecond },
        { "concurrent_requests", account.mConcurrentRequests } });
  }
  json profiles = json::array();
  for (const auto& profile : aConfiguration.mProfiles) {
    profiles.push_back({ { "name", profile.mName.Value() },
                         { "priority", profile.mPriority },
                         { "preemptible", profile.mPreemptible },
                         { "interactive", profile.mInteractive },
                         { "may_wait", profile.mMayWait },
                         { "retry_budget", profile.mRetryBudget },
                         { "deadline_ms", profile.mDeadlineMs },
                         { "max_reserve_ms", profile.mMaxReserveMs } });
  }
  json drained = json::array();
  for (const auto& worker : aConfiguration.mDrained) {
    drained.push_back(worker.Value());
  }
  return Dump({ { "version", aConfiguration.mVersion.Value() },
                { "accounts", std::move(accounts) },
                { "profiles", std::move(profiles) },
                { "drained", std::move(drained) } });
}

std::string
ChecksumText(std::uint64_t aChecksum)
{
  std::array<char, 17> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx",
                static_cast<unsigned long long>(aChecksum));
  return buf.data();
}

} // namespace dogwooddrum::daemon
