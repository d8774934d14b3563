#include "dogwooddrum/cli/LogLines.h"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace dogwooddrum::cli {

namespace {

constexpr std::string_view kLevelField = " level=";
/** Length of a time such as 2026-12-04T16:35:07.123Z. */
constexpr std::size_t kTimeLength = 24;
/** Longest line that a process writes; a longer one is a mix of lines. */
constexpr std::size_t kMaxLineBytes = 64U << 10;

/** Returns the number that takes all of aText, or none. */
std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

/** Returns the Unix time in ms of 2026-12-04T16:35:07.123Z, or none. */
std::optional<std::int64_t>
ParseTime(const std::string& aText)
{
  std::tm parts{};
  const char* rest = ::strptime(aText.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr || *rest != '.') {
    return std::nullopt;
  }
  const std::string_view fraction(rest + 1);
  if (fraction.size() != 4 || fraction.back() != 'Z') {
    return std::nullopt;
  }
  const auto ms = ParseNumber(fraction.substr(0, 3));
  if (!ms) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(::timegm(&parts)) * 1000 + *ms;
}

/** Reads a value up to the next space and removes it from aRest. Returns none
 * if a quoted value has no end. */
std::optional<std::string>
ReadValue(std::string_view& aRest)
{
  std::string value;
  if (aRest.empty() || aRest.front() != '"') {
    const auto end = std::min(aRest.find(' '), aRest.size());
    value = aRest.substr(0, end);
    aRest.remove_prefix(end);
    return value;
  }
  for (std::size_t i = 1; i < aRest.size(); ++i) {
    if (aRest[i] == '"') {
      aRest.remove_prefix(i + 1);
      return value;
    }
    if (aRest[i] == '\\' && i + 1 < aRest.size()) {
      ++i;
      value += aRest[i] == 'n' ? '\n' : aRest[i];
    } else {
      value += aRest[i];
    }
  }
  return std::nullopt;
}

} // namespace

std::string
LogLine::Text(const std::string& aField) const
{
  const auto it = mFields.find(aField);
  return it == mFields.end() ? "" : it->second;
}

std::optional<std::int64_t>
LogLine::Number(const std::string& aField) const
{
  return ParseNumber(Text(aField));
}

std::optional<LogLine>
ParseLogLine(std::string_view aLine)
{
  const auto level = aLine.find(kLevelField);
  if (level == std::string_view::npos || level < kTimeLength ||
      aLine.size() > kMaxLineBytes) {
    return std::nullopt;
  }
  const auto time =
    ParseTime(std::string(aLine.substr(level - kTimeLength, kTimeLength)));
  if (!time) {
    return std::nullopt;
  }
  LogLine line;
  line.mUnixMs = *time;
  auto rest = aLine.substr(level);
  while (!rest.empty()) {
    if (rest.front() != ' ') {
      return std::nullopt;
    }
    rest.remove_prefix(1);
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string field(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    auto value = ReadValue(rest);
    if (!value || field.find(' ') != std::string::npos) {
      return std::nullopt;
    }
    const bool isNew = line.mFields.emplace(field, std::move(*value)).second;
    // A second level shows that two lines are mixed. Other fields of an event
    // may have the name of a field of every line.
    if (!isNew && field == "level") {
      return std::nullopt;
    }
  }
  line.mName = line.Text("name");
  return line.mName.empty() ? std::nullopt : std::make_optional(line);
}

void
ReadLogLines(std::istream& aInput, LogLines& aLines)
{
  std::string text;
  while (std::getline(aInput, text)) {
    if (text.empty()) {
      continue;
    }
    if (auto line = ParseLogLine(text)) {
      aLines.mLines.push_back(std::move(*line));
      continue;
    }
    if (aLines.mUnreadable == 0) {
      aLines.mFirstUnreadable = text;
    }
    ++aLines.mUnreadable;
  }
  std::stable_sort(aLines.mLines.begin(),
                   aLines.mLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.mUnixMs < aRight.mUnixMs;
                   });
}

} // namespace dogwooddrum::cli
