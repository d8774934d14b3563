#include "dogwooddrum/state/LogFormat.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/consensus/Codec.h"

#include <cstring>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;

constexpr std::uint32_t kMagic = 0x6c646464; // "dddl"
constexpr std::size_t kRecordHeaderBytes = 21;
/**
 * Most bytes that the search for a later block hashes per byte of a damaged
 * segment. Beyond this limit the damage counts as corruption. Without a limit,
 * a file full of block headers would take quadratic time.
 */
constexpr std::uint64_t kMaxHashedBytesPerByte = 64;

template<typename T>
void
AppendRaw(std::string& aOut, T aValue)
{
  aOut.append(reinterpret_cast<const char*>(&aValue), sizeof aValue);
}

template<typename T>
T
ReadRaw(std::string_view aBytes, std::size_t aOffset)
{
  T value{};
  std::memcpy(&value, aBytes.data() + aOffset, sizeof value);
  return value;
}

std::uint64_t
BlockChecksum(std::string_view aBody, BlockPosition aPosition)
{
  std::string header;
  AppendRaw(header, aPosition.mSegment);
  AppendRaw(header, aPosition.mOffset);
  AppendRaw(header, static_cast<std::uint64_t>(aBody.size()));
  return base::Checksum(aBody) ^ base::Checksum(header);
}

/** Record header: kind u8 | payload length u32 | term u64 | index u64. */
struct RecordHeader
{
  std::uint8_t mKind = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
};

constexpr std::uint8_t kHardStateKind = 16;
constexpr std::uint8_t kTruncateKind = 17;
constexpr std::uint8_t kSnapshotKind = 18;

void
AppendHeaderAndPayload(std::string& aBody,
                       const RecordHeader& aHeader,
                       std::string_view aPayload)
{
  AppendRaw(aBody, aHeader.mKind);
  AppendRaw(aBody, static_cast<std::uint32_t>(aPayload.size()));
  AppendRaw(aBody, aHeader.mTerm);
  AppendRaw(aBody, aHeader.mIndex);
  aBody.append(aPayload);
}

std::optional<Record>
MakeRecord(const RecordHeader& aHeader, std::string_view aPayload)
{
  const base::Term term(aHeader.mTerm);
  const base::LogIndex index(aHeader.mIndex);
  switch (aHeader.mKind) {
    case kHardStateKind:
      return consensus::HardState{ term, base::MemberId(aHeader.mIndex) };
    case kTruncateKind:
      return TruncateRecord{ index };
    case kSnapshotKind:
      return SnapshotRecord{ index, term };
    default:
      break;
  }
  if (aHeader.mKind > static_cast<std::uint8_t>(consensus::EntryKind::Noop)) {
    return std::nullopt;
  }
  return consensus::LogEntry{ term,
                              index,
                              static_cast<consensus::EntryKind>(aHeader.mKind),
                              std::string(aPayload) };
}

struct RecordWriter
{
  std::string& mBody;

  void operator()(const consensus::LogEntry& aEntry) const
  {
    AppendHeaderAndPayload(mBody,
                           { static_cast<std::uint8_t>(aEntry.mKind),
                             aEntry.mTerm.Value(),
                             aEntry.mIndex.Value() },
                           aEntry.mPayload);
  }
  void operator()(const consensus::HardState& aState) const
  {
    AppendHeaderAndPayload(
      mBody,
      { kHardStateKind, aState.mTerm.Value(), aState.mVote.Value() },
      {});
  }
  void operator()(const TruncateRecord& aRecord) const
  {
    AppendHeaderAndPayload(
      mBody, { kTruncateKind, 0, aRecord.mFrom.Value() }, {});
  }
  void operator()(const SnapshotRecord& aRecord) const
  {
    AppendHeaderAndPayload(
      mBody,
      { kSnapshotKind, aRecord.mTerm.Value(), aRecord.mIndex.Value() },
      {});
  }
};

} // namespace

void
AddRecord(std::string& aBody, const Record& aRecord)
{
  std::visit(RecordWriter{ aBody }, aRecord);
}

std::string
MakeBlock(std::string_view aBody, BlockPosition aPosition)
{
  std::string block;
  block.reserve(kBlockHeaderBytes + aBody.size());
  AppendRaw(block, kMagic);
  AppendRaw(block, static_cast<std::uint32_t>(aBody.size()));
  AppendRaw(block, BlockChecksum(aBody, aPosition));
  block.append(aBody);
  return block;
}

std::optional<std::string_view>
ReadBlock(std::string_view aSegment, BlockPosition aPosition)
{
  const std::string_view bytes = aSegment.substr(aPosition.mOffset);
  if (bytes.size() < kBlockHeaderBytes ||
      ReadRaw<std::uint32_t>(bytes, 0) != kMagic) {
    return std::nullopt;
  }
  const auto length = ReadRaw<std::uint32_t>(bytes, 4);
  if (length > bytes.size() - kBlockHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kBlockHeaderBytes, length);
  if (ReadRaw<std::uint64_t>(bytes, 8) != BlockChecksum(body, aPosition)) {
    return std::nullopt;
  }
  return body;
}

base::Outcome<std::vector<Record>>
ReadRecords(std::string_view aBody)
{
  std::vector<Record> records;
  while (!aBody.empty()) {
    if (aBody.size() < kRecordHeaderBytes) {
      return base::Failure{ base::Reason::CorruptLog,
                            "record header is cut off after " +
                              std::to_string(aBody.size()) + " bytes" };
    }
    const auto length = ReadRaw<std::uint32_t>(aBody, 1);
    if (length > aBody.size() - kRecordHeaderBytes) {
      return base::Failure{ base::Reason::CorruptLog,
                            "record of " + std::to_string(length) +
                              " bytes is longer than the rest of its block" };
    }
    const RecordHeader header{ ReadRaw<std::uint8_t>(aBody, 0),
                               ReadRaw<std::uint64_t>(aBody, 5),
                               ReadRaw<std::uint64_t>(aBody, 13) };
    auto record = MakeRecord(header, aBody.substr(kRecordHeaderBytes, length));
    if (!record) {
      return base::Failure{ base::Reason::CorruptLog,
                            "unknown record kind " +
                              std::to_string(header.mKind) };
    }
    records.push_back(std::move(*record));
    aBody.remove_prefix(kRecordHeaderBytes + length);
  }
  return records;
}

bool
ContainsBlock(std::string_view aSegment, BlockPosition aPosition)
{
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic),
                               sizeof kMagic);
  std::uint64_t remainingHashBytes = kMaxHashedBytesPerByte * aSegment.size();
  for (std::size_t at = aSegment.find(magic, aPosition.mOffset);
       at != std::string_view::npos;
       at = aSegment.find(magic, at + 1)) {
    if (ReadBlock(aSegment, { aPosition.mSegment, at })) {
      return true;
    }
    if (aSegment.size() - at < kBlockHeaderBytes) {
      return false;
    }
    const std::uint64_t length = ReadRaw<std::uint32_t>(aSegment, at + 4);
    if (length <= aSegment.size() - at - kBlockHeaderBytes) {
      if (length > remainingHashBytes) {
        return true;
      }
      remainingHashBytes -= length;
    }
  }
  return false;
}

} // namespace dogwooddrum::state
