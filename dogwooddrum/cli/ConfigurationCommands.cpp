// Commands that show and change the configuration, and drain workers.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JsonTable.h"

#include "dogwooddrum/protocol/Messages.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>

namespace dogwooddrum::cli {

namespace {

using nlohmann::json;

constexpr const char* kChangeNote =
  " Needs the operators' key. The change applies to the version that this "
  "command reads, or to --base-version; a resend with the same --change-id "
  "gets the first outcome.";

struct ChangeOptions
{
  std::string mChangeId;
  std::uint64_t mBaseVersion = 0;
};

std::vector<Option>
MakeChangeOptionTable(ChangeOptions& aOptions)
{
  return {
    { "change-id",
      0,
      &aOptions.mChangeId,
      "Id of this change (default: random, printed before sending)",
      "TEXT" },
    { "base-version",
      0,
      &aOptions.mBaseVersion,
      "Version that the change was made for (default: the current one)",
      "N" },
  };
}

/** Returns the element of aList with the name aName, or an empty object. */
json
FindByName(const json& aList, const std::string& aName)
{
  for (const json& item : aList) {
    if (item.value("name", "") == aName) {
      return item;
    }
  }
  return json::object();
}

/** Requests the current configuration; prints the failure and sets the exit
 * code of aSession if that fails. */
std::optional<json>
ReadConfiguration(Session& aSession, bool aJson)
{
  const ApiResult result = aSession.mClient->Call(
    MakeRequest("GET", "/v1/configuration"), aSession.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    aSession.mExitCode = PrintFailure(result, aJson);
    return std::nullopt;
  }
  auto body = json::parse(result.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    std::cerr << "unexpected format of the configuration: " << result.mBody
              << '\n';
    aSession.mExitCode = ExitCode::Failed;
    return std::nullopt;
  }
  return body;
}

/** Sends a configuration change and prints its outcome. */
ExitCode
SendChange(Session& aSession,
           ChangeOptions& aOptions,
           bool aJson,
           const json& aConfiguration,
           const std::string& aTarget,
           json aBody)
{
  if (!aSession.HasOption("base-version")) {
    aOptions.mBaseVersion = aConfiguration["version"].get<std::uint64_t>();
  }
  if (aOptions.mChangeId.empty()) {
    aOptions.mChangeId = MakeRandomId();
    std::cerr << "change-id " << aOptions.mChangeId << '\n';
  }
  aBody["change_id"] = aOptions.mChangeId;
  aBody["base_version"] = aOptions.mBaseVersion;
  const ApiResult result = aSession.mClient->Call(
    MakeRequest("POST", aTarget, aBody.dump()), aSession.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, aJson);
  }
  PrintReport(result.mBody, aJson);
  return ExitCode::Ok;
}

/** Parses "COUNTxACCELERATORS@LEVEL"; COUNT and LEVEL may be absent. */
std::optional<json>
ParseGuarantee(const std::string& aText)
{
  std::string shape = aText;
  std::string level = "worker";
  const auto at = shape.find('@');
  if (at != std::string::npos) {
    level = shape.substr(at + 1);
    shape.resize(at);
  }
  std::string count = "1";
  const auto times = shape.find('x');
  if (times != std::string::npos) {
    count = shape.substr(0, times);
    shape.erase(0, times + 1);
  }
  const auto parseNumber = [](const std::string& aNumber) {
    std::uint32_t value = 0;
    const char* const end = aNumber.data() + aNumber.size();
    const auto result = std::from_chars(aNumber.data(), end, value);
    return result.ec == std::errc() && result.ptr == end ? value : 0;
  };
  if (parseNumber(count) == 0 || parseNumber(shape) == 0 ||
      !protocol::ParseAdjacency(level)) {
    return std::nullopt;
  }
  return json{ { "count", parseNumber(count) },
               { "accelerators", parseNumber(shape) },
               { "level", level } };
}

/** URL path and body of a POST request that changes the configuration. */
struct ConfigurationPost
{
  std::string mPath;
  json mBody;
};

/** Sends the change that aMakeChange builds from the command's only positional
 * argument. */
template<typename F>
ExitCode
SendChangeByName(const CommandHelp& aHelp,
                 const Arguments& aArguments,
                 const F& aMakeChange)
{
  ChangeOptions change;
  ServiceOptions service;
  Session session =
    OpenSession(aHelp, MakeChangeOptionTable(change), service, aArguments, 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const auto current = ReadConfiguration(session, service.mJson);
  if (!current) {
    return *session.mExitCode;
  }
  const ConfigurationPost request =
    aMakeChange(session.mArguments.mPositional[0]);
  return SendChange(
    session, change, service.mJson, *current, request.mPath, request.mBody);
}

ExitCode
DrainOrReadmit(const CommandHelp& aHelp,
               const Arguments& aArguments,
               const std::string& aAction)
{
  return SendChangeByName(aHelp, aArguments, [&](const std::string& aWorker) {
    return ConfigurationPost{
      "/v1/workers/" + EscapeUrl(aWorker) + "/" + aAction, json::object()
    };
  });
}

ExitCode
RemoveByName(const CommandHelp& aHelp,
             const Arguments& aArguments,
             const std::string& aKind)
{
  return SendChangeByName(aHelp, aArguments, [&](const std::string& aName) {
    const json edit = { { aKind, aName } };
    const json body = { { "change", edit } };
    return ConfigurationPost{ "/v1/configuration", body };
  });
}

} // namespace

ExitCode
RunConfigShow(const Arguments& aArguments)
{
  const CommandHelp help{ "config show",
                          "",
                          "Shows the configuration. Needs the operators' key.",
                          { "", "--json" } };
  ServiceOptions service;
  Session session = OpenSession(help, {}, service, aArguments, 0);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const auto current = ReadConfiguration(session, service.mJson);
  if (!current) {
    return *session.mExitCode;
  }
  PrintReport(current->dump(), service.mJson);
  return ExitCode::Ok;
}

ExitCode
RunConfigAccount(const Arguments& aArguments)
{
  const CommandHelp help{
    "config account",
    "NAME",
    std::string("Adds a client account, or changes the given properties of "
                "one.") +
      kChangeNote,
    { "yard --guarantee 2x8@worker --guarantee 24@rack",
      "yard --requests-per-second 500" }
  };
  std::vector<std::string> guarantees;
  bool noGuarantees = false;
  std::uint64_t rate = 0;
  std::uint64_t concurrent = 0;
  ChangeOptions change;
  ServiceOptions service;
  std::vector<Option> options = MakeChangeOptionTable(change);
  options.push_back({ "guarantee",
                      'g',
                      &guarantees,
                      "Guaranteed shape: COUNT blocks of ACCELERATORS, each "
                      "within a worker, rack or zone; may be repeated",
                      "[COUNTx]ACCELERATORS[@LEVEL]" });
  options.push_back(
    { "no-guarantees", 0, &noGuarantees, "Remove all guaranteed shapes", "" });
  options.push_back({ "requests-per-second",
                      0,
                      &rate,
                      "Rate and burst of accepted requests",
                      "N" });
  options.push_back({ "concurrent-requests",
                      0,
                      &concurrent,
                      "Most requests in progress",
                      "N" });
  Session session = OpenSession(help, options, service, aArguments, 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  json shapes = json::array();
  for (const std::string& text : guarantees) {
    const auto shape = ParseGuarantee(text);
    if (!shape) {
      return PrintUsageError(help.mName,
                             "--guarantee \"" + text +
                               "\" is not [COUNTx]ACCELERATORS[@LEVEL] with a "
                               "LEVEL of none, worker, rack or zone");
    }
    shapes.push_back(*shape);
  }
  if (noGuarantees && !guarantees.empty()) {
    return PrintUsageError(
      help.mName, "--guarantee and --no-guarantees exclude each other");
  }
  const auto current = ReadConfiguration(session, service.mJson);
  if (!current) {
    return *session.mExitCode;
  }
  const std::string name = session.mArguments.mPositional[0];
  json account = FindByName((*current)["accounts"], name);
  account["name"] = name;
  if (noGuarantees || !guarantees.empty()) {
    account["guarantees"] = shapes;
  }
  if (session.HasOption("requests-per-second")) {
    account["requests_per_second"] = rate;
  }
  if (session.HasOption("concurrent-requests")) {
    account["concurrent_requests"] = concurrent;
  }
  return SendChange(session,
                    change,
                    service.mJson,
                    *current,
                    "/v1/configuration",
                    { { "change", { { "account", account } } } });
}

ExitCode
RunConfigProfile(const Arguments& aArguments)
{
  const CommandHelp help{
    "config profile",
    "NAME",
    std::string("Adds a profile, or changes the given properties of one.") +
      kChangeNote,
    { "interactive --priority 10 --interactive true --preemptible false",
      "labels --priority 5 --deadline-ms 600000" }
  };
  std::int64_t priority = 0;
  std::string preemptible;
  std::string interactive;
  std::string mayWait;
  std::uint64_t retryBudget = 0;
  std::uint64_t deadline = 0;
  std::uint64_t maxReserve = 0;
  ChangeOptions change;
  ServiceOptions service;
  std::vector<Option> options = MakeChangeOptionTable(change);
  options.push_back({ "priority", 0, &priority, "Higher goes first", "N" });
  options.push_back({ "preemptible",
                      0,
                      &preemptible,
                      "Whether borrowed capacity may be reclaimed from it",
                      "true|false" });
  options.push_back({ "interactive",
                      0,
                      &interactive,
                      "Whether its share of borrowed capacity is bounded",
                      "true|false" });
  options.push_back({ "may-wait",
                      0,
                      &mayWait,
                      "Whether it may wait while work is shed",
                      "true|false" });
  options.push_back(
    { "retry-budget", 0, &retryBudget, "Attempts after the first", "N" });
  options.push_back(
    { "deadline-ms", 0, &deadline, "Default deadline; 0 means none", "MS" });
  options.push_back({ "max-reserve-ms",
                      0,
                      &maxReserve,
                      "Age limit of reservations; 0 means the default",
                      "MS" });
  Session session = OpenSession(help, options, service, aArguments, 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const std::vector<std::tuple<const char*, const char*, std::string>> flags = {
    { "preemptible", "preemptible", preemptible },
    { "interactive", "interactive", interactive },
    { "may-wait", "may_wait", mayWait }
  };
  for (const auto& [option, member, text] : flags) {
    if (session.HasOption(option) && text != "true" && text != "false") {
      return PrintUsageError(help.mName,
                             std::string("--") + option + " \"" + text +
                               "\" is not true or false");
    }
  }
  const auto current = ReadConfiguration(session, service.mJson);
  if (!current) {
    return *session.mExitCode;
  }
  const std::string name = session.mArguments.mPositional[0];
  json profile = FindByName((*current)["profiles"], name);
  profile["name"] = name;
  for (const auto& [option, member, text] : flags) {
    if (session.HasOption(option)) {
      profile[member] = text == "true";
    }
  }
  const std::vector<std::tuple<const char*, const char*, json>> numbers = {
    { "priority", "priority", priority },
    { "retry-budget", "retry_budget", retryBudget },
    { "deadline-ms", "deadline_ms", deadline },
    { "max-reserve-ms", "max_reserve_ms", maxReserve }
  };
  for (const auto& [option, member, value] : numbers) {
    if (session.HasOption(option)) {
      profile[member] = value;
    }
  }
  return SendChange(session,
                    change,
                    service.mJson,
                    *current,
                    "/v1/configuration",
                    { { "change", { { "profile", profile } } } });
}

ExitCode
RunConfigRemoveAccount(const Arguments& aArguments)
{
  return RemoveByName({ "config remove-account",
                        "NAME",
                        std::string("Removes a client account.") + kChangeNote,
                        { "yard" } },
                      aArguments,
                      "remove_account");
}

ExitCode
RunConfigRemoveProfile(const Arguments& aArguments)
{
  return RemoveByName({ "config remove-profile",
                        "NAME",
                        std::string("Removes a profile.") + kChangeNote,
                        { "labels" } },
                      aArguments,
                      "remove_profile");
}

ExitCode
RunDrain(const Arguments& aArguments)
{
  return DrainOrReadmit(
    { "drain",
      "WORKER",
      std::string("Stops new work on a worker; running work goes on.") +
        kChangeNote,
      { "worker-3" } },
    aArguments,
    "drain");
}

ExitCode
RunReadmit(const Arguments& aArguments)
{
  return DrainOrReadmit(
    { "readmit",
      "WORKER",
      std::string("Allows new work on a drained or quarantined worker.") +
        kChangeNote,
      { "worker-3" } },
    aArguments,
    "readmit");
}

} // namespace dogwooddrum::cli
