/** \file
 * Defines the run of one daemon process from its settings to its exit status.
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
 * Prepares the data folder of a control member for a new group and returns
 * the exit status, as RunDaemon. To be called once for each first member.
 */
int
FoundGroup(const std::string& aSettingsFile);

} // namespace dogwooddrum::daemon
