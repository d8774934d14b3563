/** \file
 * Defines the check that a control member makes before it starts with an
 * empty data folder: it must not be a voter of its group.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/service/Settings.h"
#include "dogwooddrum/transport/Link.h"
#include "dogwooddrum/transport/Network.h"

namespace dogwooddrum::daemon {

/**
 * Asks the peers of aSettings whether this member is a voter of their group.
 *
 * Returns true once a majority of the other peers has answered no. Fails with
 * StorageFailed if one answers yes: the member has lost its disk, and with it
 * votes that it gave and entries that it acknowledged, and must rejoin under a
 * new id. Fails with LinkClosed if no majority answers within 30 s. Blocks
 * until the result is known.
 */
base::Outcome<bool>
CheckNotVoter(transport::Network& aNetwork,
              const transport::LinkOptions& aOptions,
              transport::LinkCounters& aCounters,
              const service::ControlSettings& aSettings);

} // namespace dogwooddrum::daemon
