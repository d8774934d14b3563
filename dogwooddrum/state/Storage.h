/** \file
 * Defines Storage, the durable state of one control member: its identity,
 * term and vote, log and snapshot, all under one data folder.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/state/FileSystem.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwooddrum::state {

/** Options of Storage::Open. */
struct StorageOptions
{
  std::string mFolder;
  /**
   * Set if this member already takes part in a group. Open then refuses an
   * empty folder: a member that lost its disk has lost its vote and log, and
   * could vote twice in a term, or elect a leader that lacks entries which this
   * member acknowledged, if it voted again under its old id.
   */
  bool mIsExistingMember = false;
  /** Once a segment has this size, the next block starts a new segment. A start
   * needs room for a copy of the newest segment, and a snapshot frees whole
   * segments only. */
  std::uint64_t mSegmentBytes = 4ULL << 20;
};

/**
 * Returns the member that the data folder belongs to, or an empty optional if
 * the folder holds no state; a member that already takes part in a group must
 * then rejoin under a new id. Creates the folder if it is missing. Fails with
 * StorageFailed if the folder cannot be read or has files but no identity.
 * Thread safe.
 */
base::Outcome<std::optional<base::MemberId>>
ReadIdentity(FileSystem& aFiles, const std::string& aFolder);

/**
 * Removes the log and the identity from a data folder whose member has never
 * voted and never acknowledged an entry; the folder may then get a new member
 * id. Durable when it returns. Fails with StorageFailed if the log has a term,
 * entries or a snapshot. Thread safe.
 */
base::Outcome<bool>
RemoveUnusedIdentity(FileSystem& aFiles, const std::string& aFolder);

/** Truncated end of a log whose last write was interrupted by a crash. */
struct TornTail
{
  std::string mFile;
  std::uint64_t mOffset = 0; ///< size of the file after the truncation, bytes
};

/**
 * Durable state of one control member.
 * Not thread safe; the log thread owns the object.
 */
class Storage
{
public:
  /**
   * Opens the data folder and reads the member's state for a restart.
   *
   * Creates the folder's identity file if the folder is empty. Fails with
   * StorageFailed if the folder belongs to another member, is empty although
   * mIsExistingMember is set, or cannot be read, and with CorruptLog, naming
   * file and offset, if a block in the middle of the log is damaged. A torn
   * tail is truncated, and segments that the snapshot covers are removed, which
   * frees the room that Open needs. aFiles must outlive the result.
   */
  static base::Outcome<std::unique_ptr<Storage>> Open(
    FileSystem& aFiles,
    const StorageOptions& aOptions,
    base::MemberId aSelf);

  virtual ~Storage() = default;

  /**
   * Returns the state that Open read, without mInitialMembership. Call it once:
   * the state is moved out.
   */
  virtual coordination::consensus::RecoveredState TakeRecoveredState() = 0;
  /** Returns the torn tail that Open truncated, if there was one. */
  virtual const std::optional<TornTail>& TruncatedTail() const = 0;
  /**
   * Writes all of aWork with one sync (group commit); a received snapshot and a
   * full segment need further syncs. After a failure no further call succeeds.
   */
  virtual base::Outcome<bool> Persist(
    const std::vector<coordination::consensus::PersistWork>& aWork) = 0;
  /**
   * Writes a snapshot of the local state machine and removes the log segments
   * that the snapshot covers.
   * Precondition: entries up to its index are persisted or in an earlier
   * snapshot. After a failure no further call succeeds.
   */
  virtual base::Outcome<bool> SaveSnapshot(
    const coordination::consensus::Snapshot& aSnapshot) = 0;
};

} // namespace dogwooddrum::state
