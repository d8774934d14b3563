// Prints where workloads lost time, from the logs of control and entries.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/JsonTable.h"
#include "dogwooddrum/cli/Timeline.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace dogwooddrum::cli {

namespace {

/** Reads the files, or standard input if there is none. Returns false and names
 * the file on standard error if one can't be read. */
bool
ReadInputs(const std::vector<std::string>& aFiles, LogLines& aLines)
{
  if (aFiles.empty()) {
    ReadLogLines(std::cin, aLines);
  }
  for (const std::string& file : aFiles) {
    std::ifstream input(file);
    if (!input) {
      std::cerr << "timeline: cannot read " << file << '\n';
      return false;
    }
    ReadLogLines(input, aLines);
  }
  if (aLines.mUnreadable > 0) {
    std::cerr << "timeline: " << aLines.mUnreadable
              << " unreadable lines, the first is: " << aLines.mFirstUnreadable
              << '\n';
  }
  return true;
}

ExitCode
PrintPath(const std::vector<WorkloadTimeline>& aTimelines,
          const std::string& aWorkload)
{
  const auto it = std::find_if(
    aTimelines.begin(), aTimelines.end(), [&](const WorkloadTimeline& aEach) {
      return aEach.mId == aWorkload;
    });
  if (it == aTimelines.end()) {
    std::cerr << "timeline: no line names workload " << aWorkload << '\n';
    return ExitCode::Failed;
  }
  std::cout << RenderPath(*it);
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunTimeline(const Arguments& aArguments)
{
  std::string workload;
  bool csv = false;
  bool json = false;
  const auto parsed = ParseArguments(
    { "timeline",
      "[FILE]...",
      "Tells from the logs of control and entries (files, or standard input) "
      "how long workloads waited or ran in vain, and why.",
      { "control-1.log control-2.log control-3.log entry-1.log",
        "--workload 2f34b25efaae2a71 control-1.log" } },
    { { "workload",
        'w',
        &workload,
        "Print the path of this workload instead",
        "ID" },
      { "csv", 0, &csv, "Print one row per workload", "" },
      { "json", 0, &json, "Print JSON", "" } },
    aArguments);
  if (!parsed) {
    return PrintUsageError("timeline", parsed.LastFailure().mMessage);
  }
  if (parsed->mHelpShown) {
    return ExitCode::Ok;
  }
  LogLines lines;
  if (!ReadInputs(parsed->mPositional, lines)) {
    return ExitCode::Usage;
  }
  const auto timelines = BuildTimelines(lines);
  if (!workload.empty()) {
    return PrintPath(timelines, workload);
  }
  if (csv) {
    std::cout << RenderCsv(timelines);
  } else {
    PrintReport(RenderSummary(timelines, lines), json);
  }
  return ExitCode::Ok;
}

} // namespace dogwooddrum::cli
