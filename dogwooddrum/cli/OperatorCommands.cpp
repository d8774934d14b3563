// Commands for operators: explain, status, members.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JsonTable.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>

namespace dogwooddrum::cli {

namespace {

/** Requests the report at the URL path that aPathOf returns and prints it. */
ExitCode
ShowReport(const CommandHelp& aHelp,
           const Arguments& aArguments,
           std::size_t aPositionalCount,
           std::string (*aPathOf)(const ParsedArguments&))
{
  ServiceOptions service;
  Session session =
    OpenSession(aHelp, {}, service, aArguments, aPositionalCount);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const ApiResult result = session.mClient->Call(
    MakeRequest("GET", aPathOf(session.mArguments)), session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  PrintReport(result.mBody, service.mJson);
  return ExitCode::Ok;
}

ExitCode
ChangeMember(const CommandHelp& aHelp,
             const Arguments& aArguments,
             const std::string& aAction)
{
  const bool add = aAction == "add";
  ServiceOptions service;
  Session session = OpenSession(aHelp, {}, service, aArguments, add ? 2 : 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const auto& values = session.mArguments.mPositional;
  std::uint64_t member = 0;
  const char* const end = values[0].data() + values[0].size();
  const auto parsed = std::from_chars(values[0].data(), end, member);
  if (parsed.ec != std::errc() || parsed.ptr != end || member == 0) {
    return PrintUsageError(
      aHelp.mName, "member \"" + values[0] + "\" is not a number above 0");
  }
  nlohmann::json body = { { "action", aAction }, { "member", member } };
  if (add) {
    const auto address = service::ParseAddress(values[1]);
    if (!address) {
      return PrintUsageError(aHelp.mName, address.LastFailure().mMessage);
    }
    body["address"] = values[1];
  }
  // A member change has no id by which the service could detect a resend.
  session.mPolicy.mIsIdempotent = false;
  const ApiResult result = session.mClient->Call(
    MakeRequest("POST", "/v1/members", body.dump()), session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  if (service.mJson) {
    std::cout << result.mBody << '\n';
  } else {
    std::cout << "member " << member << ": " << aAction << " accepted\n";
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunExplain(const Arguments& aArguments)
{
  return ShowReport({ "explain",
                      "JOB",
                      "Tells why a job waits or how it ended. Needs the "
                      "operators' key.",
                      { "17" } },
                    aArguments,
                    1,
                    [](const ParsedArguments& aParsed) {
                      return "/v1/jobs/" + EscapeUrl(aParsed.mPositional[0]) +
                             "/explain";
                    });
}

ExitCode
RunStatus(const Arguments& aArguments)
{
  return ShowReport(
    { "status",
      "",
      "Shows the control members, the workers and what runs on them. Needs "
      "the operators' key.",
      { "", "--json" } },
    aArguments,
    0,
    [](const ParsedArguments&) -> std::string { return "/v1/status"; });
}

ExitCode
RunMembersAdd(const Arguments& aArguments)
{
  return ChangeMember({ "members add",
                        "MEMBER IP:PORT",
                        "Adds a control member as a learner, by its new id "
                        "and link address. Needs the operators' key.",
                        { "4 10.0.0.4:7100" } },
                      aArguments,
                      "add");
}

ExitCode
RunMembersPromote(const Arguments& aArguments)
{
  return ChangeMember({ "members promote",
                        "MEMBER",
                        "Makes a learner a voter once its log is current. "
                        "Needs the operators' key.",
                        { "4" } },
                      aArguments,
                      "promote");
}

ExitCode
RunMembersRemove(const Arguments& aArguments)
{
  return ChangeMember({ "members remove",
                        "MEMBER",
                        "Removes a control member; its id is never used "
                        "again. Needs the operators' key.",
                        { "2" } },
                      aArguments,
                      "remove");
}

} // namespace dogwooddrum::cli
