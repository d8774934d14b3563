/** \file
 * Defines recovery, which reads the snapshot file and the log segments of a
 * data folder when a control member starts.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/state/FileSystem.h"
#include "dogwooddrum/state/Storage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwooddrum::state {

/** One file of the log. */
struct Segment
{
  std::uint64_t mNumber = 0; ///< increases by one with each new segment
  std::uint64_t mBytes = 0;
  base::LogIndex mLastIndex; ///< highest entry index in the segment
};

/** Contents of a data folder after recovery. */
struct RecoveredFolder
{
  coordination::consensus::RecoveredState mState;
  std::vector<Segment> mSegments;    ///< oldest first
  std::optional<TornTail> mTornTail; ///< set if a torn tail was truncated
  /**
   * Set if the process ended after a received snapshot was renamed, but before
   * the record was written that removes the entries that conflict with the
   * snapshot. Such a record must be written before new entries.
   */
  bool mMustDropSuffix = false;
};

/** Returns the file name of a segment. */
std::string
SegmentName(std::uint64_t aNumber);

/** Returns the file name of a snapshot. */
std::string
SnapshotName(base::LogIndex aIndex);

/**
 * Reads the folder, truncates a torn tail and removes temporary files and
 * older snapshots. Fails with StorageFailed, or with CorruptLog, naming file
 * and offset.
 */
base::Outcome<RecoveredFolder>
Recover(FileSystem& aFiles, const std::string& aFolder);

} // namespace dogwooddrum::state
