#include "tests/platform/soak/SoakCallers.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace dogwooddrum::tests {

namespace {

using Json = nlohmann::json;

} // namespace

bool
SoakCallers::PutConfiguration()
{
  const Json route = { { "name", "r" },          { "host", "h" },
                       { "path_prefix", "/p/" }, { "service", "s" },
                       { "timeout_ms", 3000 },   { "max_attempts", 4 } };
  const Json body = {
    { "version", ++mVersion },
    { "routes", Json::array({ route }) },
    { "services", Json::array({ { { "name", "s" } } }) },
    { "tenants", Json::array({ { { "name", "t" }, { "api_keys", { "k" } } } }) }
  };
  mConfigurations.push_back(body.dump());
  for (const int i : mProcesses.Controls()) {
    const auto outcome = mProcesses.Call(
      NodeKind::Control, i, 1, "PUT", "/-/config", mConfigurations.back());
    if (outcome && outcome->mStatus == 200) {
      mConfigurations = { mConfigurations.back() };
      return true;
    }
  }
  return false;
}

void
SoakCallers::SubmitOne()
{
  if (mAccepted.size() >= mMaxOpen) {
    CheckOldest();
    return;
  }
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%016llx", ++mLastId);
  const Json step = { { "count", 1 + mRandom() % 3 },
                      { "cpu", 16000 },
                      { "mem_mb", 100 },
                      { "estimate_ms", 1000 } };
  const Json body = { { "spec", "x" }, { "steps", Json::array({ step }) } };
  const auto entry = static_cast<int>(mRandom() % SoakProcesses::kEntries);
  const auto outcome = mProcesses.Call(NodeKind::Entry,
                                       entry,
                                       0,
                                       "POST",
                                       std::string("/p/") + id.data(),
                                       body.dump());
  if (outcome && outcome->mStatus == 200) {
    mAccepted.insert(id.data());
  } else if (outcome && outcome->mStatus == 503) {
    mRejected.insert(id.data());
  }
}

bool
SoakCallers::CanReadConfiguration() const
{
  const auto controls = mProcesses.Controls();
  return std::any_of(controls.begin(), controls.end(), [this](int aControl) {
    const auto outcome =
      mProcesses.Call(NodeKind::Control, aControl, 1, "GET", "/-/config", "");
    return outcome && std::count(mConfigurations.begin(),
                                 mConfigurations.end(),
                                 outcome->mBody) > 0;
  });
}

std::optional<int>
SoakCallers::FindLeader() const
{
  for (const int control : mProcesses.Controls()) {
    const auto outcome =
      mProcesses.Call(NodeKind::Control, control, 1, "GET", "/-/config", "");
    if (outcome && outcome->mStatus == 200) {
      return control;
    }
  }
  return std::nullopt;
}

bool
SoakCallers::CheckOldest()
{
  const auto it = mAccepted.begin();
  const auto outcome =
    mProcesses.Call(NodeKind::Entry, 0, 0, "GET", "/p/" + *it, "");
  if (outcome && outcome->mStatus == 410) {
    mLost.insert(*it);
    mAccepted.erase(it);
    return true;
  }
  const auto json =
    outcome ? Json::parse(outcome->mBody, nullptr, false) : Json();
  const std::string state =
    json.is_object() ? json.value("state", "") : std::string();
  if (state != "complete" && state != "failed") {
    return false;
  }
  ++mEndedCount;
  mAccepted.erase(it);
  return true;
}

bool
SoakCallers::AllEnded()
{
  while (!mAccepted.empty()) {
    if (!CheckOldest()) {
      return false;
    }
  }
  return true;
}

std::vector<std::string>
SoakCallers::FindViolations(SharedRunRecord& aRecord) const
{
  std::vector<std::string> violations;
  if (!mAccepted.empty()) {
    violations.push_back(*mAccepted.begin() + " and " +
                         std::to_string(mAccepted.size() - 1) +
                         " later workloads have not ended");
  }
  for (const auto& id : mLost) {
    violations.push_back(id + " was accepted but is unknown");
  }
  if (!CanReadConfiguration()) {
    violations.emplace_back("no member shows the accepted configuration");
  }
  const std::lock_guard<std::mutex> lock(aRecord.mMutex);
  violations.insert(
    violations.end(), aRecord.mViolations.begin(), aRecord.mViolations.end());
  for (const auto& id : mRejected) {
    for (const auto& [task, starts] : aRecord.mStarts) {
      if (task.rfind(id, 0) == 0) {
        violations.push_back(id + " was refused as not run but ran");
      }
    }
  }
  return violations;
}

} // namespace dogwooddrum::tests
