#include "dogwooddrum/cli/Command.h"

#include <algorithm>
#include <iostream>

namespace dogwooddrum::cli {

namespace {

void
PrintOverview(std::ostream& aOut)
{
  aOut << "Usage: dogwooddrum COMMAND [OPTION...]\n\n"
          "Submits and manages jobs, operates the service and generates "
          "load.\n\nCommands:\n";
  std::size_t width = 0;
  for (const Command& command : Commands()) {
    width = std::max(width, command.mName.size());
  }
  for (const Command& command : Commands()) {
    aOut << "  " << command.mName
         << std::string(width - command.mName.size() + 2, ' ')
         << command.mSummary << '\n';
  }
  aOut << "\nEach command shows its options and examples with --help.\n"
          "Exit codes: 0 ok; 1 refused or failed; 2 wrong arguments or "
          "settings;\n3 no answer from the service; 4 timed out waiting.\n";
}

} // namespace

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> commands = {
    { "submit", "Submit a job", RunSubmit },
    { "wait", "Wait until a job has ended", RunWait },
    { "answer", "Write the answer of a finished job", RunAnswer },
    { "cancel", "Cancel a job", RunCancel },
    { "acknowledge", "Allow the service to drop an answer", RunAcknowledge },
    { "list", "List jobs", RunList },
    { "explain", "Tell why a job waits or how it ended", RunExplain },
    { "timeline", "Tell from logs where workloads lost time", RunTimeline },
    { "status", "Show members and workers", RunStatus },
    { "config show", "Show the configuration", RunConfigShow },
    { "config account", "Add or change a client account", RunConfigAccount },
    { "config profile", "Add or change a profile", RunConfigProfile },
    { "config remove-account", "Remove an account", RunConfigRemoveAccount },
    { "config remove-profile", "Remove a profile", RunConfigRemoveProfile },
    { "drain", "Stop new work on a worker", RunDrain },
    { "readmit", "Allow new work on a worker", RunReadmit },
    { "zone evacuate", "Start no workloads in a zone", RunZoneEvacuate },
    { "zone restore", "Start workloads in a zone again", RunZoneRestore },
    { "zone list", "Show the evacuated zones", RunZoneList },
    { "members add", "Add a control member as a learner", RunMembersAdd },
    { "members promote", "Make a learner a voter", RunMembersPromote },
    { "members remove", "Remove a control member", RunMembersRemove },
    { "load", "Generate load and check the answers", RunLoadCommand },
    { "reference", "Print a reference page", RunReference },
  };
  return commands;
}

ExitCode
RunTool(const Arguments& aArguments)
{
  if (aArguments.empty() || aArguments[0] == "--help" ||
      aArguments[0] == "-h" || aArguments[0] == "help") {
    PrintOverview(aArguments.empty() ? std::cerr : std::cout);
    return aArguments.empty() ? ExitCode::Usage : ExitCode::Ok;
  }
  for (const Command& command : Commands()) {
    const bool group = command.mName.find(' ') != std::string::npos;
    const std::size_t words = group ? 2 : 1;
    if (aArguments.size() < words) {
      continue;
    }
    const std::string name =
      group ? aArguments[0] + " " + aArguments[1] : aArguments[0];
    if (name == command.mName) {
      return command.mRun(
        Arguments(aArguments.begin() + static_cast<std::ptrdiff_t>(words),
                  aArguments.end()));
    }
  }
  std::cerr << "dogwooddrum: no command \"" << aArguments[0]
            << (aArguments.size() > 1 ? " " + aArguments[1] : "") << "\"\n";
  PrintOverview(std::cerr);
  return ExitCode::Usage;
}

} // namespace dogwooddrum::cli
