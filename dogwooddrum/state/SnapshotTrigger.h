/** \file
 * Defines SnapshotTrigger, which decides when a member saves a snapshot. The
 * log on disk and in memory grows until then.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <cstdint>
#include <vector>

namespace dogwooddrum::state {

struct SnapshotLimits
{
  std::uint64_t mEntries = 20000;
  /** A log of this size and the segments that a snapshot leaves behind fit into
   * a fraction of a disk of 128 MB, beside two snapshots. */
  std::uint64_t mBytes = 8ULL << 20;
};

/** Counts what was applied since the last snapshot. Thread safety: none. */
class SnapshotTrigger
{
public:
  explicit SnapshotTrigger(const SnapshotLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  void OnApplied(const std::vector<coordination::consensus::LogEntry>& aEntries)
  {
    mEntries += aEntries.size();
    for (const auto& entry : aEntries) {
      mBytes += entry.mPayload.size();
    }
  }
  /** Returns whether the entries since the last snapshot reach a limit. */
  bool IsDue() const
  {
    return mEntries >= mLimits.mEntries || mBytes >= mLimits.mBytes;
  }
  /** Begins anew: a snapshot of all that was applied is saved or installed. */
  void Reset()
  {
    mEntries = 0;
    mBytes = 0;
  }

private:
  SnapshotLimits mLimits;
  std::uint64_t mEntries = 0;
  std::uint64_t mBytes = 0;
};

} // namespace dogwooddrum::state
