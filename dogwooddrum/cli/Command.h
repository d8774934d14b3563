/** \file
 * Defines the commands of the command-line tool and their shared functions.
 */
#pragma once

#include "dogwooddrum/cli/Api.h"
#include "dogwooddrum/cli/Arguments.h"
#include "dogwooddrum/cli/ExitCode.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwooddrum::cli {

using Arguments = std::vector<std::string>;

/** One command; a name of two words is a group and a command in it. */
struct Command
{
  std::string mName;
  std::string mSummary;
  ExitCode (*mRun)(const Arguments&);
};

// Commands for callers (JobCommands.cpp, JobWait.cpp).
ExitCode
RunSubmit(const Arguments& aArguments);
ExitCode
RunWait(const Arguments& aArguments);
ExitCode
RunAnswer(const Arguments& aArguments);
ExitCode
RunCancel(const Arguments& aArguments);
ExitCode
RunAcknowledge(const Arguments& aArguments);
ExitCode
RunList(const Arguments& aArguments);

// Commands for operators (OperatorCommands.cpp, ConfigurationCommands.cpp).
ExitCode
RunExplain(const Arguments& aArguments);
ExitCode
RunStatus(const Arguments& aArguments);
ExitCode
RunDrain(const Arguments& aArguments);
ExitCode
RunReadmit(const Arguments& aArguments);
ExitCode
RunMembersAdd(const Arguments& aArguments);
ExitCode
RunMembersPromote(const Arguments& aArguments);
ExitCode
RunMembersRemove(const Arguments& aArguments);
ExitCode
RunConfigShow(const Arguments& aArguments);
ExitCode
RunConfigAccount(const Arguments& aArguments);
ExitCode
RunConfigProfile(const Arguments& aArguments);
ExitCode
RunConfigRemoveAccount(const Arguments& aArguments);
ExitCode
RunConfigRemoveProfile(const Arguments& aArguments);

// Commands for operators of zones (ZoneCommands.cpp).
ExitCode
RunZoneEvacuate(const Arguments& aArguments);
ExitCode
RunZoneRestore(const Arguments& aArguments);
ExitCode
RunZoneList(const Arguments& aArguments);

// Other commands (LoadCommand.cpp, ReferenceCommand.cpp, TimelineCommand.cpp).
ExitCode
RunLoadCommand(const Arguments& aArguments);
ExitCode
RunReference(const Arguments& aArguments);
ExitCode
RunTimeline(const Arguments& aArguments);

/** Returns all commands in the order in which the help lists them. */
const std::vector<Command>&
Commands();

/** Runs the command that aArguments, without the program's name, select. */
ExitCode
RunTool(const Arguments& aArguments);

/** Options of every command that sends requests to the service. */
struct ServiceOptions
{
  std::vector<std::string> mEntries;
  std::string mOperatorKeyFile;
  bool mJson = false;
  std::uint64_t mTimeoutMs = 30000;
};

/** A command's parsed arguments and the client for its requests. */
struct Session
{
  ParsedArguments mArguments;
  std::optional<ApiClient> mClient; ///< present unless mExitCode is set
  /** If set, the command returns this code without sending a request. */
  std::optional<ExitCode> mExitCode;
  CallPolicy mPolicy;

  /** Returns whether the option aName was given. */
  bool HasOption(std::string_view aName) const;
};

/**
 * Adds the service options to aOptions, parses aArguments and creates a client.
 * Prints usage errors. aPositionalCount is the required number of positional
 * arguments.
 */
Session
OpenSession(const CommandHelp& aHelp,
            std::vector<Option> aOptions,
            ServiceOptions& aService,
            const Arguments& aArguments,
            std::size_t aPositionalCount);

/** Parses comma-separated entry addresses; uses DOGWOODDRUM_ENTRIES if aTexts
 * is empty. */
base::Outcome<std::vector<service::Address>>
ReadEntries(const std::vector<std::string>& aTexts);

/** Returns the options --entry, --operator-key-file, --json and --timeout-ms.
 */
std::vector<Option>
MakeServiceOptionTable(ServiceOptions& aService);

/** Returns an HTTP request; aBody is JSON or empty. */
transport::HttpRequest
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody = "");

/** Percent-encodes aText for a path segment or query value. */
std::string
EscapeUrl(std::string_view aText);

/** Returns a random id of 24 hexadecimal digits. */
std::string
MakeRandomId();

/** Prints a usage error on standard error and returns ExitCode::Usage. */
ExitCode
PrintUsageError(const std::string& aCommand, const std::string& aMessage);

/**
 * Prints the failure in aResult, as text on standard error or as JSON on
 * standard output, and returns its exit code. Precondition: aResult.mKind is
 * not Ok.
 */
ExitCode
PrintFailure(const ApiResult& aResult, bool aJson);

/** Prints rows with aligned columns; the first row is the heading. */
void
PrintTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace dogwooddrum::cli
