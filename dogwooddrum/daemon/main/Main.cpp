// dogwooddrumd: one daemon of the role named in its settings file.
#include "dogwooddrum/daemon/Daemon.h"
#include "dogwooddrum/service/Settings.h"
#include "platform/Platform.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

using dogwooddrum::daemon::SettingsSource;

/** Returned by poptGetNextOpt for each --set. */
constexpr int kSetOption = 1;

/** Reads the settings and opens nothing. */
int
CheckSettings(const SettingsSource& aSource)
{
  const auto settings =
    dogwooddrum::service::LoadSettings(aSource.mFile, aSource.mOverrides);
  if (!settings) {
    std::fprintf(
      stderr, "dogwooddrumd: %s\n", settings.LastFailure().mMessage.c_str());
    return dogwooddrum::service::kUsageErrorExitStatus;
  }
  std::printf("%s: the settings are valid\n", aSource.mFile.c_str());
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
                                 { "set",
                                   0,
                                   POPT_ARG_STRING,
                                   nullptr,
                                   kSetOption,
                                   "Replace a setting of the file; may be "
                                   "given several times",
                                   "SECTION.KEY=VALUE" },
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
  SettingsSource source;
  int rc = poptGetNextOpt(context.get());
  for (; rc == kSetOption; rc = poptGetNextOpt(context.get())) {
    const std::unique_ptr<char, void (*)(void*)> text(
      poptGetOptArg(context.get()), std::free);
    const auto setting = dogwooddrum::service::ParseSettingOverride(text.get());
    if (!setting) {
      std::fprintf(stderr,
                   "dogwooddrumd: --set: %s\n",
                   setting.LastFailure().mMessage.c_str());
      return dogwooddrum::service::kUsageErrorExitStatus;
    }
    source.mOverrides.push_back(*setting);
  }
  if (rc < -1 || settingsFile == nullptr || poptPeekArg(context.get())) {
    std::fprintf(stderr,
                 "dogwooddrumd: %s\nusage: dogwooddrumd --settings FILE "
                 "[--set SECTION.KEY=VALUE]... [--check-config | --found]\n",
                 rc < -1
                   ? poptStrerror(rc)
                   : "--settings is required, and no arguments are allowed");
    return 2;
  }
  const std::unique_ptr<char, void (*)(void*)> ownedSettingsFile(settingsFile,
                                                                 std::free);
  source.mFile = settingsFile;
  if (checkOnly != 0) {
    return CheckSettings(source);
  }
  return bootstrap != 0 ? dogwooddrum::daemon::BootstrapGroup(source)
                        : dogwooddrum::daemon::RunDaemon(
                            source, dogwooddrum::platform::MakeAdapters());
}
