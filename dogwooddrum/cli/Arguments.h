/** \file
 * Defines the parsing of a command's arguments with popt, and its help text.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::cli {

/** Points to the variable that receives an option's value; the type pointed to
 * is the type of the value. */
using OptionDestination = std::variant<bool*,
                                       std::string*,
                                       std::uint64_t*,
                                       std::int64_t*,
                                       double*,
                                       std::vector<std::string>*>;

struct Option
{
  std::string mName; ///< without dashes
  char mShortName;   ///< 0: no short form
  OptionDestination mDestination;
  std::string mHelp;
  std::string mValueName; ///< empty for a bool
};

/** Texts of a command's help. */
struct CommandHelp
{
  std::string mName;      ///< such as "config show"
  std::string mArguments; ///< such as "JOB"
  std::string mSummary;
  std::vector<std::string> mExamples; ///< arguments after the command's name
};

/** Result of parsing arguments. */
struct ParsedArguments
{
  bool mHelpShown = false;                ///< --help was given and printed
  std::vector<std::string> mPositional;   ///< positional arguments
  std::vector<std::string> mGivenOptions; ///< without dashes
};

/**
 * Parses aArguments, stores the values of options and returns the positional
 * arguments. --help prints the help on standard output. Fails with
 * InvalidRequest and a message that names the argument. Not thread safe.
 */
base::Outcome<ParsedArguments>
ParseArguments(const CommandHelp& aHelp,
               const std::vector<Option>& aOptions,
               const std::vector<std::string>& aArguments);

} // namespace dogwooddrum::cli
