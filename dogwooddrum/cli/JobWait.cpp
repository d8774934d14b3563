#include "dogwooddrum/cli/JobWait.h"

#include "dogwooddrum/base/Checksum.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace dogwooddrum::cli {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

/** Longest wait of one poll, so that progress is updated at least this often.
 */
constexpr std::int64_t kPollIntervalMs = 1000;

std::string
MemberText(const json& aView, const char* aName)
{
  const auto value = aView.find(aName);
  if (value == aView.end()) {
    return "";
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

std::vector<std::string>
MakeJobRow(const json& aView)
{
  return { MemberText(aView, "job"),     MemberText(aView, "account"),
           MemberText(aView, "profile"), MemberText(aView, "key"),
           MemberText(aView, "state"),   MemberText(aView, "attempt"),
           MemberText(aView, "ran"),     MemberText(aView, "answer_bytes"),
           MemberText(aView, "reason"),  MemberText(aView, "message") };
}

const std::vector<std::string> kJobColumns = { "JOB",    "ACCOUNT", "PROFILE",
                                               "KEY",    "STATE",   "ATTEMPT",
                                               "RAN",    "BYTES",   "REASON",
                                               "MESSAGE" };

/** Shows the state of a job that has not ended. On a terminal one line is
 * redrawn; otherwise a line is printed for each change. */
class ProgressPrinter
{
public:
  void Show(const json& aView, steady_clock::duration aElapsed)
  {
    const std::string state = MemberText(aView, "state");
    const std::string text = "job " + MemberText(aView, "job") + ' ' + state +
                             ' ' + MemberText(aView, "message");
    if (mTerminal) {
      std::fprintf(
        stderr,
        "\r\033[K%s (%lld s)",
        text.substr(0, 100).c_str(),
        static_cast<long long>(
          std::chrono::duration_cast<std::chrono::seconds>(aElapsed).count()));
    } else if (text != mLast) {
      std::fprintf(stderr, "%s\n", text.c_str());
    }
    mLast = text;
  }
  void Clear() const
  {
    if (mTerminal && !mLast.empty()) {
      std::fprintf(stderr, "\r\033[K");
    }
  }

private:
  const bool mTerminal = ::isatty(STDERR_FILENO) == 1;
  std::string mLast;
};

} // namespace

std::string
ChecksumText(std::string_view aBytes)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(base::Checksum(aBytes)));
  return text.data();
}

void
PrintJob(const std::string& aBody, bool aJson)
{
  const auto view = json::parse(aBody, nullptr, false);
  if (aJson || !view.is_object()) {
    std::cout << aBody << '\n';
    return;
  }
  PrintTable({ kJobColumns, MakeJobRow(view) });
}

void
PrintJobs(const std::string& aBody, bool aJson)
{
  const auto list = json::parse(aBody, nullptr, false);
  if (aJson || !list.is_object() || !list.contains("jobs")) {
    std::cout << aBody << '\n';
    return;
  }
  std::vector<std::vector<std::string>> rows = { kJobColumns };
  for (const json& view : list["jobs"]) {
    rows.push_back(MakeJobRow(view));
  }
  PrintTable(rows);
}

ExitCode
WaitForJob(Session& aSession,
           std::uint64_t aJob,
           std::uint64_t aWaitMs,
           bool aJson)
{
  const auto begin = steady_clock::now();
  const auto end =
    begin + std::chrono::milliseconds(static_cast<std::int64_t>(aWaitMs));
  const std::string job = std::to_string(aJob);
  ProgressPrinter progress;
  for (;;) {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        end - steady_clock::now());
    const std::int64_t wait =
      std::clamp<std::int64_t>(remaining.count(), 0, kPollIntervalMs);
    const ApiResult result = aSession.mClient->Call(
      MakeRequest("GET",
                  "/v1/jobs/" + job + "?wait_ms=" + std::to_string(wait)),
      aSession.mPolicy);
    if (result.mKind != ApiResult::Kind::Ok) {
      progress.Clear();
      return PrintFailure(result, aJson);
    }
    const auto view = json::parse(result.mBody, nullptr, false);
    const std::string state = view.is_object() ? MemberText(view, "state") : "";
    if (state == "finished" || state == "failed" || state == "cancelled") {
      progress.Clear();
      PrintJob(result.mBody, aJson);
      return state == "finished" ? ExitCode::Ok : ExitCode::Failed;
    }
    if (steady_clock::now() >= end) {
      progress.Clear();
      PrintJob(result.mBody, aJson);
      std::cerr << "job " << job << " has not ended after " << aWaitMs
                << " ms\n";
      return ExitCode::TimedOut;
    }
    if (view.is_object()) {
      progress.Show(view, steady_clock::now() - begin);
    }
  }
}

ExitCode
RunWait(const Arguments& aArguments)
{
  const CommandHelp help{ "wait",
                          "JOB",
                          "Waits until a job has ended and shows its progress.",
                          { "17", "17 --wait-ms 5000 --json" } };
  std::uint64_t wait = 600000;
  ServiceOptions service;
  Session session = OpenSession(
    help,
    { { "wait-ms", 'w', &wait, "Longest wait (default: 600000)", "MS" } },
    service,
    aArguments,
    1);
  if (session.mExitCode) {
    return *session.mExitCode;
  }
  const std::string& text = session.mArguments.mPositional[0];
  std::uint64_t job = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), job);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return PrintUsageError(help.mName, "job \"" + text + "\" is not a number");
  }
  return WaitForJob(session, job, wait, service.mJson);
}

} // namespace dogwooddrum::cli
