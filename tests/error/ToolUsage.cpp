// Guards against exit codes that do not distinguish usage errors, unreachable
// services and refusals, and against commands without help.
#include "dogwooddrum/cli/Command.h"

#include <gtest/gtest.h>

namespace dogwooddrum::cli {

TEST(ToolUsage, WrongArgumentsEndWithUsage)
{
  const std::vector<Arguments> wrong = {
    {},
    { "submitt" },
    { "config" },
    { "submit", "--no-such-option" },
    { "submit", "--entry", "127.0.0.1:1" },
    { "submit", "--entry", "host:1", "--account", "a", "--profile", "p" },
    { "submit",
      "--entry",
      "127.0.0.1:1",
      "--account",
      "a",
      "--profile",
      "p",
      "--tasks",
      "many" },
    { "wait", "--entry", "127.0.0.1:1" },
    { "wait", "--entry", "127.0.0.1:1", "x" },
    { "members", "add", "--entry", "127.0.0.1:1", "0", "127.0.0.1:2" },
    { "config", "account", "--entry", "127.0.0.1:1", "a", "--guarantee", "x8" },
    { "zone", "evacuate", "--entry", "127.0.0.1:1" },
    { "zone", "evacuate", "--entry", "127.0.0.1:1", "a/b" },
    { "zone", "restore", "--entry", "127.0.0.1:1", "" },
    { "zone", "list", "--entry", "127.0.0.1:1", "a" },
    { "load", "--entry", "127.0.0.1:1" },
    { "load", "--entry", "127.0.0.1:1", "--class", "account=a" },
    { "reference", "nothing" },
  };
  for (const Arguments& arguments : wrong) {
    EXPECT_EQ(RunTool(arguments), ExitCode::Usage)
      << testing::PrintToString(arguments);
  }
}

TEST(ToolUsage, EveryCommandHasHelpWithExamples)
{
  for (const Command& command : Commands()) {
    testing::internal::CaptureStdout();
    EXPECT_EQ(command.mRun({ "--help" }), ExitCode::Ok) << command.mName;
    std::fflush(stdout);
    const std::string help = testing::internal::GetCapturedStdout();
    EXPECT_NE(help.find("Examples:\n  dogwooddrum " + command.mName),
              std::string::npos)
      << command.mName << ":\n"
      << help;
    EXPECT_NE(help.find("Exit codes:"), std::string::npos) << command.mName;
  }
}

TEST(ToolUsage, UnreachableEntryEndsWithNoAnswer)
{
  EXPECT_EQ(
    RunTool({ "list", "--entry", "127.0.0.1:1", "--timeout-ms", "200" }),
    ExitCode::NoAnswer);
}

} // namespace dogwooddrum::cli
