/** \file
 * Defines the binary format of log segments.
 *
 * A block is the unit that one sync makes durable: magic u32 | length u32 |
 * xxhash64 of position, length and body | body. The body is a sequence of
 * records. One checksum covers the whole block, because the pages of a block
 * that was not synced reach the disk in any order: a record in its middle can
 * be torn while a later record is whole. The checksum includes the position, so
 * that a payload that contains the bytes of a block is not read as a block.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/coordination/consensus/Raft.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dogwooddrum::state {

/** Size of the header that precedes the body of a block. */
constexpr std::size_t kBlockHeaderBytes = 16;

/** Removes the entry at mFrom and all later ones from the log. */
struct TruncateRecord
{
  base::LogIndex mFrom;
};

/** Records that a received snapshot replaced the log up to mIndex. */
struct SnapshotRecord
{
  base::LogIndex mIndex;
  base::Term mTerm;
};

using Record = std::variant<coordination::consensus::LogEntry,
                            coordination::consensus::HardState,
                            TruncateRecord,
                            SnapshotRecord>;

/** Position at which a block starts. */
struct BlockPosition
{
  std::uint64_t mSegment = 0;
  std::uint64_t mOffset = 0;
};

/** Appends a record to the body of a block. Thread safe. */
void
AddRecord(std::string& aBody, const Record& aRecord);

/**
 * Returns the block with the body aBody. Precondition: aBody is shorter than
 * 4 GiB. Thread safe.
 */
std::string
MakeBlock(std::string_view aBody, BlockPosition aPosition);

/**
 * Returns the body of the block that starts at aPosition in aSegment, or an
 * empty optional if no valid block starts there. Thread safe.
 */
std::optional<std::string_view>
ReadBlock(std::string_view aSegment, BlockPosition aPosition);

/** Returns the records of a block's body, or CorruptLog. Thread safe. */
base::Outcome<std::vector<Record>>
ReadRecords(std::string_view aBody);

/**
 * Returns whether a valid block starts at or after aPosition. Also returns true
 * if the search reaches its limit. Thread safe.
 */
bool
ContainsBlock(std::string_view aSegment, BlockPosition aPosition);

} // namespace dogwooddrum::state
