/** \file
 * Defines the entry points of a daemon process: running it from its settings
 * to its exit status, and creating the data folder of a new group.
 */
#pragma once

#include "dogwooddrum/daemon/Adapters.h"

#include <string>

namespace dogwooddrum::daemon {

/**
 * Runs the daemon of the settings in aSettingsFile until SIGTERM or SIGINT and
 * a complete drain. Returns the exit status: 0 after a drain, 2 for wrong
 * settings, 1 if the process cannot start. Call once, from main, before other
 * threads exist.
 */
int
RunDaemon(const std::string& aSettingsFile, const Adapters& aAdapters);

/**
 * Creates the data folder of a control member of a new group. Returns the
 * same exit statuses as RunDaemon. Call once for each first member.
 */
int
BootstrapGroup(const std::string& aSettingsFile);

} // namespace dogwooddrum::daemon
