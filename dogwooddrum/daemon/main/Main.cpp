// dogwooddrumd: one daemon of the role named in its settings file.
#include "dogwooddrum/daemon/Daemon.h"
#include "dogwooddrum/service/Settings.h"
#include "platform/Platform.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

/** Reads the settings and opens nothing. */
int
CheckSettings(const char* aFile)
{
  const auto settings = dogwooddrum::service::LoadSettings(aFile);
  if (!settings) {
    std::fprintf(
      stderr, "dogwooddrumd: %s\n", settings.LastFailure().mMessage.c_str());
    return dogwooddrum::service::kUsageErrorExitStatus;
  }
  std::printf("%s: the settings are valid\n", aFile);
  return 0;
}

} // namespace

int
main(int aCount, const char** aArguments)
{
  char* settingsFile = nullptr;
  int checkOnly = 0;
  int bootstrap = 0;
  const poptOption options[] = { // NOLINT(modernize-avoid-c-arrays)
                                 { "settings",
                                   's',
                                   POPT_ARG_STRING,
                                   &settingsFile,
                                   0,
                                   "Settings file (INI)",
                                   "FILE" },
                                 { "check-config",
                                   0,
                                   POPT_ARG_NONE,
                                   &checkOnly,
                                   0,
                                   "Check the settings and exit",
                                   nullptr },
                                 { "found",
                                   0,
                                   POPT_ARG_NONE,
                                   &bootstrap,
                                   0,
                                   "Prepare the empty data folder of a first "
                                   "member of a new group and exit",
                                   nullptr },
                                 POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
    poptGetContext("dogwooddrumd", aCount, aArguments, options, 0),
    poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1 || settingsFile == nullptr || poptPeekArg(context.get())) {
    std::fprintf(stderr,
                 "dogwooddrumd: %s\nusage: dogwooddrumd --settings FILE "
                 "[--check-config | --found]\n",
                 rc < -1
                   ? poptStrerror(rc)
                   : "--settings is required, and no arguments are allowed");
    return 2;
  }
  const std::unique_ptr<char, void (*)(void*)> ownedSettingsFile(settingsFile,
                                                                 std::free);
  if (checkOnly != 0) {
    return CheckSettings(settingsFile);
  }
  return bootstrap != 0
           ? dogwooddrum::daemon::BootstrapGroup(settingsFile)
           : dogwooddrum::daemon::RunDaemon(
               settingsFile, dogwooddrum::platform::MakeAdapters());
}
