/** \file
 * Defines the reading of the log lines that the processes write.
 */
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwooddrum::cli {

/** One line of a process's log. */
struct LogLine
{
  std::int64_t mUnixMs = 0; ///< by the clock of the process that wrote it
  std::string mName;        ///< of the event
  std::map<std::string, std::string> mFields;

  /** Returns the field, or an empty text. */
  std::string Text(const std::string& aField) const;
  /** Returns the field as a number, or none if it is absent or no number. */
  std::optional<std::int64_t> Number(const std::string& aField) const;
};

/** Lines of one or more logs. */
struct LogLines
{
  std::vector<LogLine> mLines;   ///< in order of time
  std::uint64_t mUnreadable = 0; ///< lines that are cut, mixed or damaged
  std::string mFirstUnreadable;  ///< empty: none
};

/** Returns the parsed line, or none if it is not a whole log line. Text before
 * the time, such as a name that a log collector adds, is ignored. Thread safe.
 */
std::optional<LogLine>
ParseLogLine(std::string_view aLine);

/** Adds all lines of aInput and restores the order of time. Empty lines are
 * ignored, unreadable ones counted. Not thread safe for the same aLines. */
void
ReadLogLines(std::istream& aInput, LogLines& aLines);

} // namespace dogwooddrum::cli
