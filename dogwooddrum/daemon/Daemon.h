/** \file
 * Defines the entry points of a daemon process: running it from its settings
 * to its exit status, and creating the data folder of a new group.
 */
#pragma once

#include "dogwooddrum/daemon/Adapters.h"
#include "dogwooddrum/service/Settings.h"

#include <string>
#include <vector>

namespace dogwooddrum::daemon {

/** Where a process gets its settings from. */
struct SettingsSource
{
  std::string mFile;
  std::vector<service::SettingOverride> mOverrides; ///< of the command line
};

/**
 * Runs the daemon of the settings of aSource until SIGTERM or SIGINT and
 * a complete drain. Returns the exit status: 0 after a drain, 2 for wrong
 * settings, 1 if the process cannot start. Call once, from main, before other
 * threads exist.
 */
int
RunDaemon(const SettingsSource& aSource, const Adapters& aAdapters);

/**
 * Creates the data folder of a control member of a new group. Returns the
 * same exit statuses as RunDaemon. Call once for each first member.
 */
int
BootstrapGroup(const SettingsSource& aSource);

} // namespace dogwooddrum::daemon
