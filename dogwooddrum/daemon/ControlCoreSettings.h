/** \file
 * Defines the translation of a control member's settings to the options of its
 * core.
 */
#pragma once

#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/service/Settings.h"

namespace dogwooddrum::daemon {

/** Returns the options of a core that follows aSettings, with new random
 * seeds. Thread safe. */
ControlCoreOptions
MakeCoreOptions(const service::ControlSettings& aSettings);

} // namespace dogwooddrum::daemon
