/** \file
 * Defines FakeFileSystem, an in-memory file system that loses unsynced changes
 * when the power fails, and that can be full, read-only or skip syncs.
 */
#pragma once

#include "dogwooddrum/state/FileSystem.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::support {

/** In-memory file system with injected faults. Not thread safe. */
class FakeFileSystem : public state::FileSystem
{
public:
  struct File
  {
    std::string mBytes;
    std::string mDurableBytes; ///< content at the last sync
    /** Bytes that a failed sync could not write, from the first to after the
     * last. Later syncs of the file skip them and succeed, as on Linux. */
    std::size_t mUnwrittenFrom = 0;
    std::size_t mUnwrittenTo = 0;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  base::Outcome<bool> CreateFolder(const std::string& aPath) override;
  base::Outcome<std::vector<std::string>> List(
    const std::string& aPath) override;
  base::Outcome<std::string> Read(const std::string& aPath) override;
  base::Outcome<std::unique_ptr<state::AppendFile>> OpenAppend(
    const std::string& aPath) override;
  base::Outcome<bool> Truncate(const std::string& aPath,
                               std::uint64_t aBytes) override;
  base::Outcome<bool> Rename(const std::string& aFrom,
                             const std::string& aTo) override;
  base::Outcome<bool> Remove(const std::string& aPath) override;
  base::Outcome<bool> SyncFolder(const std::string& aPath) override;

  /**
   * Ends the process; mRemainingChanges is unlimited again. With aPowerLoss,
   * unsynced bytes are lost, kept in part or torn, and each unsynced creation,
   * rename and removal is kept or lost independently.
   */
  void Crash(std::mt19937_64& aRandom, bool aPowerLoss);
  /** Unsynced bytes of each file after LosePower. */
  enum class Tail : std::uint8_t
  {
    Lost,
    Torn, ///< the first half is kept
    Kept,
    Count,
  };
  /**
   * Ends the process and loses power: bit i of aKept says whether the
   * unsynced change i of a folder is kept. Precondition: UnsyncedChanges() is
   * at most 64.
   */
  void LosePower(std::uint64_t aKept, Tail aTail);
  /** Returns the number of creations, renames and removals that no SyncFolder
   * has made durable. */
  std::size_t UnsyncedChanges() const { return mUnsyncedChanges.size(); }
  /** Replaces the disk by an empty one. */
  void Erase();
  /** Returns the sum of the sizes of all files. */
  std::uint64_t UsedBytes() const;
  /** Counts one change, or fails if an injected fault forbids changes. */
  base::Outcome<bool> FailOrCountChange(const std::string& aPath);

  Folder mFiles; ///< by full path
  bool mFull = false;
  /** Appends that would make the sum of all files larger fail as on a full
   * disk. */
  std::uint64_t mCapacityBytes = std::numeric_limits<std::uint64_t>::max();
  bool mReadOnly = false;
  bool mFailsNextSync = false; ///< an I/O error, reported once
  bool mSkipsSyncs = false; ///< injected fault: reports success without a sync
  std::uint64_t mSyncs = 0;
  /** Changes that still succeed; models a process that ends between changes. */
  std::uint64_t mRemainingChanges = std::numeric_limits<std::uint64_t>::max();

private:
  /** Files and folders by full path. */
  struct Tree
  {
    Folder mFiles;
    std::set<std::string> mFolders;
  };
  using Change = std::function<void(Tree&)>;
  struct UnsyncedChange
  {
    std::string mParent; ///< folder whose sync makes the change durable
    Change mApply;
  };

  void ApplyChange(const std::string& aPath, Change aChange);
  void KeepChanges(const std::function<bool(std::size_t)>& aIsKept);

  std::set<std::string> mFolders; ///< below the first level
  Tree mDurable;
  std::vector<UnsyncedChange> mUnsyncedChanges;
};

} // namespace dogwooddrum::support
