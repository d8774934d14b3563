// Commands that evacuate availability zones and take them back.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JsonTable.h"

#include "dogwooddrum/protocol/ZoneNames.h"

#include <iostream>

namespace dogwooddrum::cli {

namespace {

constexpr const char* kNote =
  " --entry names the HTTP addresses of control members; the one that leads "
  "executes the command. Needs the operators' key.";

/** Sends the request that begins an evacuation (POST) or withdraws it (DELETE).
 */
ExitCode
ChangeZone(const CommandHelp& aHelp,
           const Arguments& aArguments,
           const char* aMethod,
           const char* aOutcome)
{
  ServiceOptions service;
  Session session = OpenSession(aHelp, {}, service, aArguments, 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const auto& zone = session.mArguments.mPositional[0];
  if (!protocol::IsZoneName(zone)) {
    return PrintUsageError(aHelp.mName,
                           "\"" + zone +
                             "\" is not the name of an availability zone: 1 to "
                             "128 letters, digits, '-', '_' or '.'");
  }
  const ApiResult result = session.mClient->Call(
    MakeRequest(aMethod, "/v1/zones/" + zone + "/evacuation"), session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  if (service.mJson) {
    std::cout << result.mBody << '\n';
  } else {
    std::cout << "zone " << zone << ": " << aOutcome << '\n';
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunZoneEvacuate(const Arguments& aArguments)
{
  return ChangeZone({ "zone evacuate",
                      "ZONE",
                      std::string("Starts no more workloads in an availability "
                                  "zone. What is at work there ends by "
                                  "itself.") +
                        kNote,
                      { "north" } },
                    aArguments,
                    "POST",
                    "evacuated");
}

ExitCode
RunZoneRestore(const Arguments& aArguments)
{
  return ChangeZone(
    { "zone restore",
      "ZONE",
      std::string("Withdraws the evacuation of a zone.") + kNote,
      { "north" } },
    aArguments,
    "DELETE",
    "in use");
}

ExitCode
RunZoneList(const Arguments& aArguments)
{
  const CommandHelp help{ "zone list",
                          "",
                          std::string("Shows the evacuated zones.") + kNote,
                          { "", "--json" } };
  ServiceOptions service;
  Session session = OpenSession(help, {}, service, aArguments, 0);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const ApiResult result =
    session.mClient->Call(MakeRequest("GET", "/v1/zones"), session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  PrintReport(result.mBody, service.mJson);
  return ExitCode::Ok;
}

} // namespace dogwooddrum::cli
