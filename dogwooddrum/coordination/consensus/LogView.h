/** \file
 * Defines LogView, the in-memory part of the replicated log with the newest
 * snapshot and the memberships that the log contains.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/** Returns the index after aIndex. */
inline base::LogIndex
After(base::LogIndex aIndex)
{
  return base::LogIndex(aIndex.Value() + 1);
}

/** Returns the index before aIndex. Precondition: aIndex is not 0. */
inline base::LogIndex
Before(base::LogIndex aIndex)
{
  return base::LogIndex(aIndex.Value() - 1);
}

/**
 * Holds the entries after a base index. Entries that the snapshot covers may
 * be kept for followers that are slightly behind.
 * Thread safety: none.
 */
class LogView
{
public:
  explicit LogView(const RecoveredState& aRecovered);

  base::LogIndex LastIndex() const;
  base::Term LastTerm() const;
  /** Returns the term of an entry, or empty if it is compacted or missing. */
  std::optional<base::Term> TermAt(base::LogIndex aIndex) const;
  /** Returns whether aIndex can be the mPreviousIndex of an AppendRequest. */
  bool CanSendAfter(base::LogIndex aIndex) const;
  /**
   * Returns entries aFrom to aTo, as many as fit into aMaxBytes but at least
   * the first. Precondition: CanSendAfter(Before(aFrom)).
   */
  std::vector<LogEntry> EntriesInRange(base::LogIndex aFrom,
                                       base::LogIndex aTo,
                                       std::uint64_t aMaxBytes) const;
  /** Returns the payload bytes after aIndex, counted up to aLimit. */
  std::uint64_t BytesAfter(base::LogIndex aIndex, std::uint64_t aLimit) const;

  /** Appends at After(LastIndex()). */
  void Append(LogEntry aEntry);
  /** Removes the entry at aFrom and all later ones. */
  void TruncateFrom(base::LogIndex aFrom);
  /**
   * Replaces the log up to the snapshot's index. Returns whether later
   * entries were kept because the entry at its index matches.
   */
  bool Install(std::shared_ptr<const Snapshot> aSnapshot);
  /** Drops entries covered by aSnapshot except the last aTailBytes. */
  void Compact(std::shared_ptr<const Snapshot> aSnapshot,
               std::uint64_t aTailBytes);

  const Membership& CurrentMembership() const;
  /** Returns the index of the entry that set the current membership. */
  base::LogIndex MembershipIndex() const;
  /** Returns the membership in force after the entry at aIndex. */
  const Membership& MembershipAt(base::LogIndex aIndex) const;
  /** Returns the newest snapshot, or null. */
  const std::shared_ptr<const Snapshot>& LatestSnapshot() const;

private:
  const LogEntry& EntryAt(base::LogIndex aIndex) const;
  void SetSnapshot(std::shared_ptr<const Snapshot> aSnapshot);
  void DropUpTo(base::LogIndex aIndex);

  base::LogIndex mBaseIndex;
  base::Term mBaseTerm;
  std::deque<LogEntry> mEntries;
  /** Memberships by the index that set them, oldest first; never empty. */
  std::vector<std::pair<base::LogIndex, Membership>> mMemberships;
  std::shared_ptr<const Snapshot> mSnapshot;
};

} // namespace dogwooddrum::coordination::consensus
