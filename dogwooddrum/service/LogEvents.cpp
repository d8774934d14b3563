#include "dogwooddrum/service/LogEvents.h"

#include "dogwooddrum/base/Check.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <sstream>

namespace dogwooddrum::service {

namespace {

constexpr const char* kLinePattern = "%Y-%m-%dT%H:%M:%S.%eZ %v";

std::shared_ptr<spdlog::logger>
MakeLogger(const spdlog::sink_ptr& aSink, spdlog::level::level_enum aLevel)
{
  auto logger = std::make_shared<spdlog::logger>("dogwooddrum", aSink);
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
    kLinePattern, spdlog::pattern_time_type::utc));
  logger->set_level(aLevel);
  logger->flush_on(spdlog::level::info);
  return logger;
}

/** Returns the process's logger, which only OpenLog replaces. */
std::shared_ptr<spdlog::logger>&
Logger()
{
  static std::shared_ptr<spdlog::logger> logger = MakeLogger(
    std::make_shared<spdlog::sinks::stderr_sink_mt>(), spdlog::level::info);
  return logger;
}

spdlog::level::level_enum
ToSpdlogLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

std::string_view
ToString(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

/**
 * Quotes a value that is empty or holds a space, quote, equals sign, backslash
 * or control character.
 */
std::string
QuoteIfNeeded(std::string_view aValue)
{
  const auto needsQuotes = [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte <= ' ' || byte == 0x7f || aChar == '"' || aChar == '=' ||
           aChar == '\\';
  };
  if (!aValue.empty() &&
      std::none_of(aValue.begin(), aValue.end(), needsQuotes)) {
    return std::string(aValue);
  }
  std::string out = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      out += '?';
    } else {
      out += c;
    }
  }
  return out + "\"";
}

/** Replaces each {field} by its value, or by ? if aFields lacks the field. */
std::string
FillPlaceholders(std::string_view aText, const std::vector<LogField>& aFields)
{
  std::string out;
  while (!aText.empty()) {
    const auto open = aText.find('{');
    out += aText.substr(0, open);
    if (open == std::string_view::npos) {
      break;
    }
    const auto close = aText.find('}', open);
    const auto name = aText.substr(open + 1, close - open - 1);
    const auto field =
      std::find_if(aFields.begin(), aFields.end(), [&](const LogField& aField) {
        return aField.mName == name;
      });
    out += field == aFields.end() ? "?" : field->mValue;
    aText.remove_prefix(close + 1);
  }
  return out;
}

} // namespace

const LogEventInfo&
Describe(LogEvent aEvent)
{
  const auto& table = LogEventTable();
  const auto info =
    std::find_if(table.begin(), table.end(), [&](const LogEventInfo& aInfo) {
      return aInfo.mEvent == aEvent;
    });
  DOGWOODDRUM_INVARIANT(info != table.end(),
                        "log event " +
                          std::to_string(static_cast<int>(aEvent)) +
                          " is not in the table");
  return *info;
}

base::Outcome<bool>
OpenLog(const std::string& aLevel, const std::string& aFile)
{
  const auto level = spdlog::level::from_str(aLevel);
  try {
    spdlog::sink_ptr sink;
    if (aFile.empty()) {
      sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(aFile);
    }
    Logger() = MakeLogger(sink, level);
  } catch (const spdlog::spdlog_ex& e) {
    return base::Failure{ base::Reason::StorageFailed,
                          "log file " + aFile + ": " + e.what() };
  }
  return true;
}

std::string
FormatLogLine(LogEvent aEvent, const std::vector<LogField>& aFields)
{
  const LogEventInfo& info = Describe(aEvent);
  std::ostringstream out;
  out << "level=" << ToString(info.mLevel)
      << " event=" << static_cast<int>(aEvent) << " name=" << info.mName
      << " text=" << QuoteIfNeeded(FillPlaceholders(info.mText, aFields));
  for (const LogField& field : aFields) {
    out << ' ' << field.mName << '=' << QuoteIfNeeded(field.mValue);
  }
  return out.str();
}

void
Log(LogEvent aEvent, const std::vector<LogField>& aFields)
{
  const auto level = ToSpdlogLevel(Describe(aEvent).mLevel);
  const auto& logger = Logger();
  if (logger->should_log(level)) {
    // The line is an argument, not the format string: values may hold braces.
    logger->log(level, "{}", FormatLogLine(aEvent, aFields));
  }
}

std::string
LogEventReference()
{
  std::ostringstream out;
  out << "# Log events\n\nThis page is printed by `dogwooddrum reference "
         "log-events`.\n\nEach line holds the time in UTC, the level, the "
         "event's number and name, a text, and the fields as key=value "
         "pairs.\n\n| number | name | level | text | meaning | what to do "
         "|\n|---|---|---|---|---|---|\n";
  for (const LogEventInfo& info : LogEventTable()) {
    out << "| " << static_cast<int>(info.mEvent) << " | `" << info.mName
        << "` | " << ToString(info.mLevel) << " | " << info.mText << " | "
        << info.mMeaning << " | " << info.mAction << " |\n";
  }
  return out.str();
}

} // namespace dogwooddrum::service
