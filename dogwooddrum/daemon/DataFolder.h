/** \file
 * Defines the functions that initialize and open a control member's data
 * folder, and decide whether the member may start as a voter or a learner.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/service/Settings.h"
#include "dogwooddrum/state/Storage.h"

#include <memory>

namespace dogwooddrum::daemon {

struct OpenedDataFolder
{
  std::unique_ptr<state::Storage> mStorage;
  coordination::consensus::RecoveredState mRecovered;
};

/**
 * Initializes an empty data folder for a member of a new group: writes the
 * initial membership, all peers as voters, to the file "founding". Fails with
 * StorageFailed if the folder is not empty.
 *
 * This is a separate command and not a setting, so that a member whose disk
 * was lost cannot bootstrap its group again and vote twice in a term.
 */
base::Outcome<bool>
BootstrapDataFolder(state::FileSystem& aFiles,
                    const service::ControlSettings& aSettings);

/** Returns whether the data folder holds a founding file. Creates the folder if
 * it does not exist. */
base::Outcome<bool>
HasFoundingFile(state::FileSystem& aFiles,
                const service::ControlSettings& aSettings);

/**
 * Opens the data folder of aSettings and sets the initial membership.
 *
 * A folder without a founding file is set up for a learner that waits to be
 * added to the group; the caller must have checked that the member is not a
 * voter of the group. A folder with a founding file but without its log is
 * refused: the member has lost the record of its votes and must rejoin under a
 * new id. Failures name the file. aFiles must outlive the result.
 */
base::Outcome<OpenedDataFolder>
OpenDataFolder(state::FileSystem& aFiles,
               const service::ControlSettings& aSettings);

/**
 * Returns aSettings with the member id, and the initial members if this member
 * bootstraps the group. The id is the one on the disk if there is one. A seed
 * with bootstrap and an empty disk gets an id derived from its address, and its
 * data folder is initialized. Any other member gets a random id, with which it
 * must ask to join. Precondition: aSettings has a list of seeds, which may be
 * empty.
 */
base::Outcome<service::ControlSettings>
ResolveMemberSettings(state::FileSystem& aFiles,
                      const service::CommonSettings& aCommon,
                      const service::ControlSettings& aSettings);

} // namespace dogwooddrum::daemon
