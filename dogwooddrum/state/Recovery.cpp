#include "dogwooddrum/state/Recovery.h"

#include "dogwooddrum/coordination/consensus/Codec.h"
#include "dogwooddrum/state/AtomicFiles.h"
#include "dogwooddrum/state/LogFormat.h"

#include <charconv>
#include <cstdio>
#include <optional>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::size_t kNumberDigits = 16;

std::string
NumberedName(std::string_view aPrefix, std::uint64_t aNumber)
{
  char digits[kNumberDigits + 1];
  std::snprintf(
    digits, sizeof digits, "%016llx", static_cast<unsigned long long>(aNumber));
  return std::string(aPrefix) + digits;
}

std::optional<std::uint64_t>
ParseNumberedName(std::string_view aPrefix, std::string_view aName)
{
  if (aName.size() != aPrefix.size() + kNumberDigits ||
      aName.substr(0, aPrefix.size()) != aPrefix) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* last = aName.data() + aName.size();
  const auto result =
    std::from_chars(aName.data() + aPrefix.size(), last, number, 16);
  if (result.ec != std::errc() || result.ptr != last) {
    return std::nullopt;
  }
  return number;
}

bool
EndsWith(std::string_view aName, std::string_view aSuffix)
{
  return aName.size() >= aSuffix.size() &&
         aName.substr(aName.size() - aSuffix.size()) == aSuffix;
}

base::Failure
CorruptLogFailure(const std::string& aPath,
                  std::uint64_t aOffset,
                  std::string_view aProblem)
{
  return { base::Reason::CorruptLog,
           aPath + ": offset " + std::to_string(aOffset) + ": " +
             std::string(aProblem) };
}

/** Applies the records of all segments, in file order, to a state. */
class LogReplayer
{
public:
  explicit LogReplayer(consensus::RecoveredState& aState)
    : mState(aState)
  {
    if (mState.mSnapshot) {
      mSnapshotIndex = mState.mSnapshot->mIndex;
    }
  }

  /** Applies a record. Returns its error, or an empty text if it is valid. */
  std::string Apply(Record aRecord)
  {
    return std::visit([this](auto& aAny) { return ApplyRecord(aAny); },
                      aRecord);
  }

  /**
   * Drops the entries after the snapshot if the log had an entry of another
   * term at the index of the snapshot. Returns whether entries were dropped.
   */
  bool DropConflictingSuffix()
  {
    if (mState.mEntries.empty() || mTermAtSnapshotIndex == base::Term() ||
        mTermAtSnapshotIndex == mState.mSnapshot->mTerm) {
      return false;
    }
    mState.mEntries.clear();
    return true;
  }

private:
  std::string ApplyRecord(consensus::LogEntry& aEntry)
  {
    if (mState.mSnapshot && aEntry.mIndex == mSnapshotIndex) {
      mTermAtSnapshotIndex = aEntry.mTerm;
    }
    if (aEntry.mIndex <= mSnapshotIndex) {
      return {};
    }
    const std::uint64_t expected =
      mSnapshotIndex.Value() + mState.mEntries.size() + 1;
    if (aEntry.mIndex.Value() != expected) {
      return "entry " + std::to_string(aEntry.mIndex.Value()) + " instead of " +
             std::to_string(expected);
    }
    mState.mEntries.push_back(std::move(aEntry));
    return {};
  }
  std::string ApplyRecord(const consensus::HardState& aState)
  {
    mState.mHardState = aState;
    return {};
  }
  std::string ApplyRecord(const TruncateRecord& aRecord)
  {
    if (aRecord.mFrom <= mSnapshotIndex) {
      mTermAtSnapshotIndex = base::Term();
    }
    auto& entries = mState.mEntries;
    while (!entries.empty() && entries.back().mIndex >= aRecord.mFrom) {
      entries.pop_back();
    }
    return {};
  }
  std::string ApplyRecord(const SnapshotRecord& aRecord)
  {
    if (aRecord.mIndex == mSnapshotIndex) {
      mTermAtSnapshotIndex = aRecord.mTerm;
    }
    return {};
  }

  consensus::RecoveredState& mState;
  base::LogIndex mSnapshotIndex;   ///< 0: no snapshot
  base::Term mTermAtSnapshotIndex; ///< of the log's entry; 0: unknown
};

base::LogIndex
HighestIndex(const std::vector<Record>& aRecords, base::LogIndex aHighest)
{
  for (const Record& record : aRecords) {
    if (const auto* entry = std::get_if<consensus::LogEntry>(&record)) {
      aHighest = std::max(aHighest, entry->mIndex);
    }
  }
  return aHighest;
}

/** Reads one data folder. */
class FolderReader
{
public:
  FolderReader(FileSystem& aFiles, const std::string& aFolder)
    : mFiles(aFiles)
    , mFolder(aFolder)
  {
  }

  base::Outcome<RecoveredFolder> Run()
  {
    auto done = ScanFolder();
    if (done) {
      done = ReadSnapshot();
    }
    LogReplayer replayer(mResult.mState);
    for (std::size_t i = 0; done && i < mSegments.size(); ++i) {
      done = ReadSegment(mSegments[i], i + 1 == mSegments.size(), replayer);
    }
    if (!done) {
      return done.LastFailure();
    }
    mResult.mMustDropSuffix = replayer.DropConflictingSuffix();
    return std::move(mResult);
  }

private:
  std::string Path(const std::string& aName) const
  {
    return mFolder + "/" + aName;
  }

  base::Outcome<bool> ScanFolder()
  {
    const auto names = mFiles.List(mFolder);
    if (!names) {
      return names.LastFailure();
    }
    for (const std::string& name : *names) {
      if (EndsWith(name, kTemporarySuffix)) {
        auto removed = mFiles.Remove(Path(name));
        if (!removed) {
          return removed;
        }
      } else if (const auto segment = ParseNumberedName(kSegmentPrefix, name)) {
        mSegments.push_back(*segment);
      } else if (const auto index = ParseNumberedName(kSnapshotPrefix, name)) {
        mSnapshots.push_back(base::LogIndex(*index));
      }
    }
    for (std::size_t i = 1; i < mSegments.size(); ++i) {
      if (mSegments[i] != mSegments[i - 1] + 1) {
        return CorruptLogFailure(
          Path(SegmentName(mSegments[i - 1] + 1)), 0, "segment is missing");
      }
    }
    return true;
  }

  base::Outcome<bool> ReadSnapshot()
  {
    if (mSnapshots.empty()) {
      return true;
    }
    const std::string name = SnapshotName(mSnapshots.back());
    const auto bytes = ReadChecksummedFile(mFiles, mFolder, name);
    if (!bytes) {
      return bytes.LastFailure();
    }
    auto snapshot = protocol::Decode<consensus::Snapshot>(*bytes);
    if (!snapshot || snapshot->mIndex != mSnapshots.back()) {
      return CorruptLogFailure(Path(name), 0, "snapshot cannot be decoded");
    }
    mResult.mState.mSnapshot = std::move(*snapshot);
    mSnapshots.pop_back();
    for (const base::LogIndex older : mSnapshots) {
      auto removed = mFiles.Remove(Path(SnapshotName(older)));
      if (!removed) {
        return removed;
      }
    }
    return true;
  }

  base::Outcome<bool> ReadSegment(std::uint64_t aNumber,
                                  bool aIsLast,
                                  LogReplayer& aReplayer)
  {
    const std::string path = Path(SegmentName(aNumber));
    const auto bytes = mFiles.Read(path);
    if (!bytes) {
      return bytes.LastFailure();
    }
    Segment segment{ aNumber, 0, {} };
    while (segment.mBytes < bytes->size()) {
      const BlockPosition position{ aNumber, segment.mBytes };
      const auto body = ReadBlock(*bytes, position);
      if (!body) {
        if (!aIsLast || ContainsBlock(*bytes, position)) {
          return CorruptLogFailure(
            path, segment.mBytes, "invalid block before valid blocks");
        }
        auto truncated = TruncateTornTail(path, segment.mBytes);
        if (!truncated) {
          return truncated;
        }
        break;
      }
      auto applied = ApplyBlock(path, *body, aReplayer, segment);
      if (!applied) {
        return applied;
      }
      segment.mBytes += kBlockHeaderBytes + body->size();
    }
    mResult.mSegments.push_back(segment);
    return true;
  }

  base::Outcome<bool> ApplyBlock(const std::string& aPath,
                                 std::string_view aBody,
                                 LogReplayer& aReplayer,
                                 Segment& aSegment)
  {
    auto records = ReadRecords(aBody);
    if (!records) {
      return CorruptLogFailure(
        aPath, aSegment.mBytes, records.LastFailure().mMessage);
    }
    aSegment.mLastIndex = HighestIndex(*records, aSegment.mLastIndex);
    for (Record& record : *records) {
      const std::string problem = aReplayer.Apply(std::move(record));
      if (!problem.empty()) {
        return CorruptLogFailure(aPath, aSegment.mBytes, problem);
      }
    }
    return true;
  }

  /**
   * Truncates the segment and syncs it, so that no new block follows a damaged
   * one.
   */
  base::Outcome<bool> TruncateTornTail(const std::string& aPath,
                                       std::uint64_t aBytes)
  {
    mResult.mTornTail = TornTail{ aPath, aBytes };
    auto truncated = mFiles.Truncate(aPath, aBytes);
    if (!truncated) {
      return truncated;
    }
    auto file = mFiles.OpenAppend(aPath);
    if (!file) {
      return file.LastFailure();
    }
    return (*file)->Sync();
  }

  FileSystem& mFiles;
  std::string mFolder;
  RecoveredFolder mResult;
  std::vector<std::uint64_t> mSegments;
  std::vector<base::LogIndex> mSnapshots;
};

} // namespace

std::string
SegmentName(std::uint64_t aNumber)
{
  return NumberedName(kSegmentPrefix, aNumber);
}

std::string
SnapshotName(base::LogIndex aIndex)
{
  return NumberedName(kSnapshotPrefix, aIndex.Value());
}

base::Outcome<RecoveredFolder>
Recover(FileSystem& aFiles, const std::string& aFolder)
{
  return FolderReader(aFiles, aFolder).Run();
}

} // namespace dogwooddrum::state
