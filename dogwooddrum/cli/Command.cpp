#include "dogwooddrum/cli/Command.h"

#include "dogwooddrum/transport/KeyFile.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace dogwooddrum::cli {

namespace {

constexpr const char* kEntriesVariable = "DOGWOODDRUM_ENTRIES";
constexpr const char* kKeyFileVariable = "DOGWOODDRUM_OPERATOR_KEY_FILE";

std::string
ReadEnvironment(const char* aName)
{
  const char* const value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

} // namespace

bool
Session::HasOption(std::string_view aName) const
{
  const auto& names = mArguments.mGivenOptions;
  return std::find(names.begin(), names.end(), aName) != names.end();
}

base::Outcome<std::vector<service::Address>>
ReadEntries(const std::vector<std::string>& aTexts)
{
  std::vector<std::string> texts = aTexts;
  if (texts.empty()) {
    texts.push_back(ReadEnvironment(kEntriesVariable));
  }
  std::vector<service::Address> entries;
  for (const std::string& text : texts) {
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
      const auto address = service::ParseAddress(part);
      if (!address) {
        return address.LastFailure();
      }
      entries.push_back(*address);
    }
  }
  if (entries.empty()) {
    return base::Failure{
      base::Reason::InvalidRequest,
      std::string("no entry: give --entry IP:PORT or set ") + kEntriesVariable
    };
  }
  return entries;
}

std::vector<Option>
MakeServiceOptionTable(ServiceOptions& aService)
{
  return {
    { "entry",
      'e',
      &aService.mEntries,
      "Entry to use; may be repeated (default: DOGWOODDRUM_ENTRIES)",
      "IP:PORT" },
    { "operator-key-file",
      0,
      &aService.mOperatorKeyFile,
      "File with the operators' key (default: DOGWOODDRUM_OPERATOR_KEY_FILE)",
      "FILE" },
    { "json", 'j', &aService.mJson, "Print JSON instead of a table", "" },
    { "timeout-ms",
      0,
      &aService.mTimeoutMs,
      "Longest time for a request with its resends (default: 30000)",
      "MS" },
  };
}

Session
OpenSession(const CommandHelp& aHelp,
            std::vector<Option> aOptions,
            ServiceOptions& aService,
            const Arguments& aArguments,
            std::size_t aPositionalCount)
{
  Session session;
  for (Option& option : MakeServiceOptionTable(aService)) {
    aOptions.push_back(std::move(option));
  }
  const auto parsed = ParseArguments(aHelp, aOptions, aArguments);
  if (!parsed) {
    session.mExitCode =
      PrintUsageError(aHelp.mName, parsed.LastFailure().mMessage);
    return session;
  }
  session.mArguments = *parsed;
  if (parsed->mHelpShown) {
    session.mExitCode = ExitCode::Ok;
    return session;
  }
  if (parsed->mPositional.size() != aPositionalCount) {
    session.mExitCode =
      PrintUsageError(aHelp.mName,
                      "needs " + std::to_string(aPositionalCount) +
                        " arguments (" + aHelp.mArguments + "), got " +
                        std::to_string(parsed->mPositional.size()));
    return session;
  }
  const auto entries = ReadEntries(aService.mEntries);
  if (!entries) {
    session.mExitCode =
      PrintUsageError(aHelp.mName, entries.LastFailure().mMessage);
    return session;
  }
  ApiOptions options;
  options.mEntries = *entries;
  std::random_device random;
  options.mSeed = random();
  std::string keyFile = aService.mOperatorKeyFile;
  if (keyFile.empty()) {
    keyFile = ReadEnvironment(kKeyFileVariable);
  }
  if (!keyFile.empty()) {
    const auto key = transport::LoadKeyFile(keyFile);
    if (!key) {
      session.mExitCode =
        PrintUsageError(aHelp.mName, key.LastFailure().mMessage);
      return session;
    }
    options.mOperatorKey = *key;
  }
  session.mClient.emplace(options);
  session.mPolicy.mTotalTimeout =
    base::Milliseconds(static_cast<std::int64_t>(aService.mTimeoutMs));
  return session;
}

transport::HttpRequest
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody)
{
  transport::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  return request;
}

std::string
EscapeUrl(std::string_view aText)
{
  std::ostringstream out;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
        c == '~') {
      out << c;
    } else {
      out << '%' << std::uppercase << std::hex << std::setw(2)
          << std::setfill('0') << static_cast<int>(byte);
    }
  }
  return out.str();
}

std::string
MakeRandomId()
{
  std::random_device random;
  std::ostringstream out;
  for (int i = 0; i < 3; ++i) {
    out << std::hex << std::setw(8) << std::setfill('0') << random();
  }
  return out.str();
}

ExitCode
PrintUsageError(const std::string& aCommand, const std::string& aMessage)
{
  std::cerr << "dogwooddrum " << aCommand << ": " << aMessage
            << "\nTry: dogwooddrum " << aCommand << " --help\n";
  return ExitCode::Usage;
}

ExitCode
PrintFailure(const ApiResult& aResult, bool aJson)
{
  const bool refused = aResult.mKind == ApiResult::Kind::Refused;
  if (aJson) {
    const nlohmann::json body = { { "reason", aResult.mReason },
                                  { "ran", aResult.mRan },
                                  { "retry", aResult.mRetryable },
                                  { "retry_after_ms", aResult.mRetryAfterMs },
                                  { "message", aResult.mMessage },
                                  { "answered", refused } };
    std::cout << body.dump(
                   2, ' ', false, nlohmann::json::error_handler_t::replace)
              << '\n';
  } else {
    std::cerr << (refused ? "refused: " : "no answer: ") << aResult.mReason
              << " (" << aResult.mRan << "): " << aResult.mMessage << '\n';
  }
  return refused ? ExitCode::Failed : ExitCode::NoAnswer;
}

void
PrintTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    std::cout << line << '\n';
  }
}

} // namespace dogwooddrum::cli
