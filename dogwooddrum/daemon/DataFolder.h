/** \file
 * Defines the opening of a control member's data folder: what the member is
 * allowed to be when it starts.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/service/Settings.h"
#include "dogwooddrum/state/Storage.h"

#include <memory>

namespace dogwooddrum::daemon {

struct OpenedFolder
{
  std::unique_ptr<state::Storage> mStorage;
  coordination::consensus::RecoveredState mRecovered;
};

/**
 * Prepares an empty data folder for a member of a new group: writes the
 * initial membership, all peers as voters, to the file "founding". Fails with
 * StorageFailed if the folder is not empty.
 *
 * This is a step of its own, and not a setting, so that a member whose disk
 * was lost cannot found its group again and vote twice.
 */
base::Outcome<bool>
FoundDataFolder(state::FileSystem& aFiles,
                const service::ControlSettings& aSettings);

/** Returns whether the data folder holds a founding file. */
base::Outcome<bool>
IsFounded(state::FileSystem& aFiles, const service::ControlSettings& aSettings);

/**
 * Opens the data folder of aSettings and sets the initial membership.
 *
 * A folder without a founding file becomes that of a learner that waits to be
 * added; the caller has checked that the group does not know the member as a
 * voter. A folder with a founding file whose log
 * is gone is refused: the member has lost its vote and must rejoin under a new
 * id. Failures name the file. aFiles must outlive the result.
 */
base::Outcome<OpenedFolder>
OpenDataFolder(state::FileSystem& aFiles,
               const service::ControlSettings& aSettings);

/**
 * Returns aSettings with the member id and the first members of a group that
 * is set up from seeds: the id on the disk if there is one; on the empty disk
 * of a seed with bootstrap an id derived from its address, after the folder
 * was prepared for founding; or else a new random id, with which the member
 * has to ask to join. Precondition: aSettings names seeds.
 */
base::Outcome<service::ControlSettings>
ResolveMember(state::FileSystem& aFiles,
              const service::CommonSettings& aCommon,
              const service::ControlSettings& aSettings);

} // namespace dogwooddrum::daemon
