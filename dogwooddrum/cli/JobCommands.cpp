// Commands for callers: submit, answer, cancel, acknowledge, list.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JobWait.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/protocol/Messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace dogwooddrum::cli {

namespace {

using nlohmann::json;

constexpr const char* kChecksumHeader = "x-dogwooddrum-checksum";

struct SubmitOptions
{
  std::string mAccount;
  std::string mProfile;
  std::string mKey;
  std::string mAdjacency = "none";
  std::string mPayload;
  std::string mPayloadFile;
  std::uint64_t mTasks = 1;
  std::uint64_t mAccelerators = 1;
  std::uint64_t mDeclaredRunMs = 0;
  std::uint64_t mDeadlineMs = 0;
  std::uint64_t mWaitMs = 0;
  bool mNotRepeatable = false;
};

std::vector<Option>
MakeSubmitOptionTable(SubmitOptions& aOptions)
{
  return {
    { "account", 'a', &aOptions.mAccount, "Client account", "NAME" },
    { "profile", 'p', &aOptions.mProfile, "Profile", "NAME" },
    { "key",
      'k',
      &aOptions.mKey,
      "Idempotency key; a second submission with it joins the first (default: "
      "random, printed before sending)",
      "TEXT" },
    { "tasks", 't', &aOptions.mTasks, "Tasks of the gang (default: 1)", "N" },
    { "accelerators",
      0,
      &aOptions.mAccelerators,
      "Accelerators for each task (default: 1)",
      "N" },
    { "adjacency",
      0,
      &aOptions.mAdjacency,
      "How close the accelerators must be: none, worker, rack or zone",
      "LEVEL" },
    { "declared-run-ms",
      0,
      &aOptions.mDeclaredRunMs,
      "Expected run time (default: not declared)",
      "MS" },
    { "deadline-ms",
      0,
      &aOptions.mDeadlineMs,
      "Latest start after submission (default: the profile's)",
      "MS" },
    { "not-repeatable",
      0,
      &aOptions.mNotRepeatable,
      "Run at most once, even if the outcome becomes unknown",
      "" },
    { "payload", 0, &aOptions.mPayload, "What the target receives", "TEXT" },
    { "payload-file",
      0,
      &aOptions.mPayloadFile,
      "File with the payload; - reads standard input",
      "FILE" },
    { "wait-ms",
      'w',
      &aOptions.mWaitMs,
      "Wait for the end, at most this long (default: do not wait)",
      "MS" },
  };
}

base::Outcome<std::string>
ReadPayload(const SubmitOptions& aOptions)
{
  std::string payload = aOptions.mPayload;
  if (!aOptions.mPayloadFile.empty()) {
    if (!payload.empty()) {
      return base::Failure{ base::Reason::InvalidRequest,
                            "--payload and --payload-file exclude each other" };
    }
    std::ifstream file;
    const bool standard = aOptions.mPayloadFile == "-";
    if (!standard) {
      file.open(aOptions.mPayloadFile, std::ios::binary);
    }
    std::istream& in = standard ? std::cin : file;
    if (!in) {
      return base::Failure{ base::Reason::InvalidRequest,
                            "--payload-file \"" + aOptions.mPayloadFile +
                              "\" cannot be read" };
    }
    payload.assign(std::istreambuf_iterator<char>(in), {});
  }
  if (payload.size() > protocol::kMaxJobPayloadBytes) {
    return base::Failure{ base::Reason::InvalidRequest,
                          "payload of " + std::to_string(payload.size()) +
                            " bytes is larger than the limit of " +
                            std::to_string(protocol::kMaxJobPayloadBytes) };
  }
  return payload;
}

/** Sends a request without a body for one job and prints its outcome. */
ExitCode
RunForJob(const CommandHelp& aHelp,
          const Arguments& aArguments,
          const std::string& aMethod,
          const std::string& aSuffix,
          const std::string& aDone)
{
  ServiceOptions service;
  Session session = OpenSession(aHelp, {}, service, aArguments, 1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const std::string job = session.mArguments.mPositional[0];
  const ApiResult result = session.mClient->Call(
    MakeRequest(aMethod, "/v1/jobs/" + EscapeUrl(job) + aSuffix),
    session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  if (service.mJson) {
    std::cout << result.mBody << '\n';
  } else {
    std::cout << "job " << job << ' ' << aDone << '\n';
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunSubmit(const Arguments& aArguments)
{
  const CommandHelp help{
    "submit",
    "",
    "Submits a job: one task, or a gang whose tasks all start together.",
    { "--account yard --profile interactive --payload hello --wait-ms 60000",
      "--account yard --profile batch --tasks 4 --accelerators 2 --adjacency "
      "rack --payload-file scan.json",
      "--account yard --profile must-finish --key leak-test-17 "
      "--not-repeatable --payload drum-17" }
  };
  SubmitOptions options;
  ServiceOptions service;
  Session session =
    OpenSession(help, MakeSubmitOptionTable(options), service, aArguments, 0);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  if (options.mAccount.empty() || options.mProfile.empty()) {
    return PrintUsageError(help.mName, "needs --account and --profile");
  }
  if (!protocol::ParseAdjacency(options.mAdjacency)) {
    return PrintUsageError(help.mName,
                           "--adjacency \"" + options.mAdjacency +
                             "\" is not none, worker, rack or zone");
  }
  const auto payload = ReadPayload(options);
  if (!payload) {
    return PrintUsageError(help.mName, payload.LastFailure().mMessage);
  }
  if (options.mKey.empty()) {
    options.mKey = MakeRandomId();
    // Printed before the request is sent, so that a user whose terminal closes
    // can submit again with this key without running the work twice.
    std::cerr << "key " << options.mKey << '\n';
  }
  const json body = { { "account", options.mAccount },
                      { "profile", options.mProfile },
                      { "key", options.mKey },
                      { "tasks", options.mTasks },
                      { "accelerators_per_task", options.mAccelerators },
                      { "adjacency", options.mAdjacency },
                      { "declared_run_ms", options.mDeclaredRunMs },
                      { "deadline_ms", options.mDeadlineMs },
                      { "repeatable", !options.mNotRepeatable },
                      { "payload", *payload } };
  const ApiResult result = session.mClient->Call(
    MakeRequest("POST",
                "/v1/jobs",
                body.dump(-1, ' ', false, json::error_handler_t::replace)),
    session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  if (options.mWaitMs == 0) {
    PrintJob(result.mBody, service.mJson);
    return ExitCode::Ok;
  }
  const auto view = json::parse(result.mBody, nullptr, false);
  const std::uint64_t job =
    view.is_object() ? view.value("job", std::uint64_t{ 0 }) : 0;
  return WaitForJob(session, job, options.mWaitMs, service.mJson);
}

ExitCode
RunAnswer(const Arguments& aArguments)
{
  const CommandHelp help{
    "answer",
    "JOB",
    "Writes the whole answer of a finished job, checked against its checksum. "
    "Nothing is written unless all of it arrived.",
    { "17", "17 --output answer.bin" }
  };
  std::string output;
  ServiceOptions service;
  Session session = OpenSession(help,
                                { { "output",
                                    'o',
                                    &output,
                                    "File to write (default: standard output)",
                                    "FILE" } },
                                service,
                                aArguments,
                                1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const ApiResult result = session.mClient->Call(
    MakeRequest("GET",
                "/v1/jobs/" + EscapeUrl(session.mArguments.mPositional[0]) +
                  "/answer"),
    session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  const auto checksum = result.mHeaders.find(kChecksumHeader);
  const std::string actual = ChecksumText(result.mBody);
  if (checksum == result.mHeaders.end() || checksum->second != actual) {
    std::cerr << "answer of " << result.mBody.size() << " bytes has checksum "
              << actual << ", not the stated "
              << (checksum == result.mHeaders.end() ? "(none)"
                                                    : checksum->second)
              << '\n';
    return ExitCode::Failed;
  }
  if (output.empty()) {
    std::cout.write(result.mBody.data(),
                    static_cast<std::streamsize>(result.mBody.size()));
    std::cout.flush();
    return std::cout ? ExitCode::Ok : ExitCode::Failed;
  }
  std::ofstream file(output, std::ios::binary | std::ios::trunc);
  file.write(result.mBody.data(),
             static_cast<std::streamsize>(result.mBody.size()));
  file.close();
  if (!file) {
    std::cerr << "cannot write " << output << '\n';
    return ExitCode::Failed;
  }
  return ExitCode::Ok;
}

ExitCode
RunCancel(const Arguments& aArguments)
{
  return RunForJob({ "cancel",
                     "JOB",
                     "Cancels a job. Work that already runs is stopped.",
                     { "17" } },
                   aArguments,
                   "DELETE",
                   "",
                   "cancelled");
}

ExitCode
RunAcknowledge(const Arguments& aArguments)
{
  return RunForJob({ "acknowledge",
                     "JOB",
                     "Tells that the whole answer was received; the service "
                     "may then drop it.",
                     { "17" } },
                   aArguments,
                   "POST",
                   "/acknowledge",
                   "acknowledged");
}

ExitCode
RunList(const Arguments& aArguments)
{
  const CommandHelp help{ "list",
                          "",
                          "Lists jobs in the order of their numbers.",
                          { "--account yard",
                            "--after 100 --limit 20 --json" } };
  std::string account;
  std::uint64_t after = 0;
  std::uint64_t limit = 100;
  ServiceOptions service;
  Session session = OpenSession(
    help,
    { { "account", 'a', &account, "Only jobs of this account", "NAME" },
      { "after", 0, &after, "Only jobs with a higher number", "JOB" },
      { "limit", 0, &limit, "Most jobs to list (default: 100)", "N" } },
    service,
    aArguments,
    0);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  std::string target = "/v1/jobs?after=" + std::to_string(after) +
                       "&limit=" + std::to_string(limit);
  if (!account.empty()) {
    target += "&account=" + EscapeUrl(account);
  }
  const ApiResult result =
    session.mClient->Call(MakeRequest("GET", target), session.mPolicy);
  if (result.mKind != ApiResult::Kind::Ok) {
    return PrintFailure(result, service.mJson);
  }
  PrintJobs(result.mBody, service.mJson);
  return ExitCode::Ok;
}

} // namespace dogwooddrum::cli
