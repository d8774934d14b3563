#include "dogwooddrum/state/Storage.h"

#include "dogwooddrum/coordination/consensus/Codec.h"
#include "dogwooddrum/state/AtomicFiles.h"
#include "dogwooddrum/state/LogFormat.h"
#include "dogwooddrum/state/Recovery.h"

#include <charconv>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kIdentityPrefix = "dogwooddrum member ";

base::Failure
StorageFailure(std::string aMessage)
{
  return { base::Reason::StorageFailed, std::move(aMessage) };
}

std::string
IdentityBody(base::MemberId aSelf)
{
  return std::string(kIdentityPrefix) + std::to_string(aSelf.Value()) + "\n";
}

base::Outcome<std::optional<base::MemberId>>
ParseIdentity(const std::string& aBody, const std::string& aFolder)
{
  std::uint64_t number = 0;
  if (aBody.rfind(kIdentityPrefix, 0) == 0) {
    std::from_chars(aBody.data() + kIdentityPrefix.size(),
                    aBody.data() + aBody.size(),
                    number);
  }
  const base::MemberId id(number);
  if (number == 0 || aBody != IdentityBody(id)) {
    return StorageFailure(aFolder + "/identity: \"" + aBody +
                          "\" does not name a member");
  }
  return std::optional<base::MemberId>(id);
}

/**
 * Checks that the folder belongs to aSelf; writes the identity file if the
 * folder is empty.
 */
base::Outcome<bool>
CheckOrWriteIdentity(FileSystem& aFiles,
                     const StorageOptions& aOptions,
                     base::MemberId aSelf)
{
  const std::string& folder = aOptions.mFolder;
  if (aSelf == base::MemberId()) {
    return StorageFailure(folder + ": member id 0 is reserved for \"none\"");
  }
  auto created = aFiles.CreateFolder(folder);
  if (!created) {
    return created;
  }
  const auto owner = ReadIdentity(aFiles, folder);
  if (!owner) {
    return owner.LastFailure();
  }
  const std::string self = std::to_string(aSelf.Value());
  if (!*owner) {
    if (aOptions.mIsExistingMember) {
      return StorageFailure(folder + ": is empty, but member " + self +
                            " is an existing member; rejoin with a new "
                            "member id");
    }
    return WriteFileAtomically(
      aFiles, folder, std::string(kIdentityName), IdentityBody(aSelf));
  }
  if (**owner != aSelf) {
    return StorageFailure(folder + ": belongs to member " +
                          std::to_string((*owner)->Value()) + ", not " + self);
  }
  return true;
}

class FileStorage : public Storage
{
public:
  FileStorage(FileSystem& aFiles,
              const StorageOptions& aOptions,
              RecoveredFolder aFolderState)
    : mFiles(aFiles)
    , mOptions(aOptions)
    , mRecovered(std::move(aFolderState.mState))
    , mHardState(mRecovered.mHardState)
    , mSegments(std::move(aFolderState.mSegments))
    , mMustDropSuffix(aFolderState.mMustDropSuffix)
    , mTornTail(std::move(aFolderState.mTornTail))
  {
    if (mRecovered.mSnapshot) {
      mSnapshotIndex = mRecovered.mSnapshot->mIndex;
    }
  }

  const std::optional<TornTail>& TruncatedTail() const override
  {
    return mTornTail;
  }

  /**
   * Opens the newest segment for appending, or creates the first one. Writes
   * the newest segment again and syncs the folder, because what recovery read
   * may be in the page cache only: after a crash of the process alone, or after
   * a failed sync, which a later sync of the same file does not make good.
   */
  base::Outcome<bool> Start()
  {
    if (mSegments.empty()) {
      return StartSegment(1);
    }
    // The snapshot has to be durable before segments that it covers are gone.
    auto done = mFiles.SyncFolder(mOptions.mFolder);
    if (done) {
      done = RemoveCoveredSegments();
    }
    if (done) {
      done = RewriteNewestSegment();
    }
    if (done) {
      done = mFiles.SyncFolder(mOptions.mFolder);
    }
    if (done) {
      done = OpenSegment();
    }
    return done && mMustDropSuffix ? RecordSuffixRemoval() : done;
  }

  consensus::RecoveredState TakeRecoveredState() override
  {
    return std::move(mRecovered);
  }

  base::Outcome<bool> Persist(
    const std::vector<consensus::PersistWork>& aWork) override
  {
    return RunUnlessFailed([&] { return PersistAll(aWork); });
  }

  base::Outcome<bool> SaveSnapshot(
    const consensus::Snapshot& aSnapshot) override
  {
    return RunUnlessFailed([&]() -> base::Outcome<bool> {
      if (aSnapshot.mIndex <= mSnapshotIndex) {
        return true;
      }
      auto written = WriteSnapshot(aSnapshot);
      return written ? RemoveCoveredSegments() : written;
    });
  }

private:
  /** Runs aWork unless an earlier call failed, and records a failure. */
  template<typename Work>
  base::Outcome<bool> RunUnlessFailed(Work aWork)
  {
    if (mFailure) {
      return *mFailure;
    }
    auto done = aWork();
    if (!done) {
      mFailure = done.LastFailure();
    }
    return done;
  }

  std::string Path(const std::string& aName) const
  {
    return mOptions.mFolder + "/" + aName;
  }

  /**
   * Writes the record that removes the entries after the snapshot, which
   * recovery dropped.
   */
  base::Outcome<bool> RecordSuffixRemoval()
  {
    const auto& snapshot = *mRecovered.mSnapshot;
    std::string body;
    AddRecord(body,
              TruncateRecord{ base::LogIndex(mSnapshotIndex.Value() + 1) });
    AddRecord(body, SnapshotRecord{ mSnapshotIndex, snapshot.mTerm });
    return WriteBlock(body, base::LogIndex());
  }

  base::Outcome<bool> StartSegment(std::uint64_t aNumber)
  {
    mSegments.push_back({ aNumber, 0, {} });
    auto opened = OpenSegment();
    return opened ? mFiles.SyncFolder(mOptions.mFolder) : opened;
  }

  /** Replaces the newest segment by a synced copy. The copy also shows that the
   * disk takes writes. */
  base::Outcome<bool> RewriteNewestSegment()
  {
    const std::string path = Path(SegmentName(mSegments.back().mNumber));
    const std::string temporary = path + std::string(kTemporarySuffix);
    const auto bytes = mFiles.Read(path);
    if (!bytes) {
      return bytes.LastFailure();
    }
    auto copy = mFiles.OpenAppend(temporary);
    if (!copy) {
      return copy.LastFailure();
    }
    auto done = (*copy)->Append(*bytes);
    if (done) {
      done = (*copy)->Sync();
    }
    if (!done) {
      mFiles.Remove(temporary); // a part of the copy would take up the room
      return done;
    }
    return mFiles.Rename(temporary, path);
  }

  base::Outcome<bool> OpenSegment()
  {
    auto file = mFiles.OpenAppend(Path(SegmentName(mSegments.back().mNumber)));
    if (!file) {
      return file.LastFailure();
    }
    mFile = std::move(*file);
    return true;
  }

  base::Outcome<bool> PersistAll(
    const std::vector<consensus::PersistWork>& aWork)
  {
    std::string body;
    base::LogIndex last;
    base::Outcome<bool> done = true;
    for (const consensus::PersistWork& work : aWork) {
      if (work.mSnapshot && work.mSnapshot->mIndex > mSnapshotIndex) {
        // The records of earlier work must be durable before the snapshot,
        // which is durable as soon as its file is renamed.
        done = WriteBlock(body, last);
        body.clear();
        if (done) {
          done = WriteSnapshot(*work.mSnapshot);
        }
      }
      if (!done) {
        return done;
      }
      AddWorkRecords(body, last, work);
    }
    done = WriteBlock(body, last);
    return done ? RemoveCoveredSegments() : done;
  }

  void AddWorkRecords(std::string& aBody,
                      base::LogIndex& aLast,
                      const consensus::PersistWork& aWork)
  {
    if (aWork.mTruncateFrom) {
      AddRecord(aBody, TruncateRecord{ *aWork.mTruncateFrom });
    }
    if (aWork.mSnapshot) {
      AddRecord(
        aBody,
        SnapshotRecord{ aWork.mSnapshot->mIndex, aWork.mSnapshot->mTerm });
    }
    for (const consensus::LogEntry& entry : aWork.mEntries) {
      AddRecord(aBody, entry);
      aLast = std::max(aLast, entry.mIndex);
    }
    if (aWork.mHardState) {
      mHardState = *aWork.mHardState;
      AddRecord(aBody, mHardState);
    }
  }

  /**
   * Appends one block and syncs; starts a new segment if the newest one is
   * full. aLast is the highest entry index in aBody, 0 if there is none.
   */
  base::Outcome<bool> WriteBlock(const std::string& aBody, base::LogIndex aLast)
  {
    if (aBody.empty()) {
      return true;
    }
    if (mSegments.back().mBytes >= mOptions.mSegmentBytes) {
      auto opened = StartSegment(mSegments.back().mNumber + 1);
      if (!opened) {
        return opened;
      }
    }
    Segment& segment = mSegments.back();
    std::string body;
    if (segment.mBytes == 0) {
      // Each segment starts with the term and vote: the older segment that
      // holds the last vote may be removed.
      AddRecord(body, mHardState);
    }
    body += aBody;
    const std::string block =
      MakeBlock(body, { segment.mNumber, segment.mBytes });
    auto appended = mFile->Append(block);
    if (!appended) {
      return appended;
    }
    segment.mBytes += block.size();
    segment.mLastIndex = std::max(segment.mLastIndex, aLast);
    return mFile->Sync();
  }

  base::Outcome<bool> WriteSnapshot(const consensus::Snapshot& aSnapshot)
  {
    auto written = WriteFileAtomically(mFiles,
                                       mOptions.mFolder,
                                       SnapshotName(aSnapshot.mIndex),
                                       protocol::Encode(aSnapshot));
    if (!written) {
      return written;
    }
    const base::LogIndex previous = mSnapshotIndex;
    mSnapshotIndex = aSnapshot.mIndex;
    if (previous == base::LogIndex() || previous == mSnapshotIndex) {
      return true;
    }
    return mFiles.Remove(Path(SnapshotName(previous)));
  }

  /**
   * Removes leading segments whose entries the snapshot covers. Each removal is
   * synced before the next one: a loss of power could otherwise keep the
   * removal of a segment and lose that of an older one, and recovery refuses
   * such a gap.
   */
  base::Outcome<bool> RemoveCoveredSegments()
  {
    while (mSegments.size() > 1 &&
           mSegments.front().mLastIndex <= mSnapshotIndex) {
      auto removed =
        mFiles.Remove(Path(SegmentName(mSegments.front().mNumber)));
      if (removed) {
        removed = mFiles.SyncFolder(mOptions.mFolder);
      }
      if (!removed) {
        return removed;
      }
      mSegments.erase(mSegments.begin());
    }
    return true;
  }

  FileSystem& mFiles;
  StorageOptions mOptions;
  consensus::RecoveredState mRecovered;
  consensus::HardState mHardState;
  base::LogIndex mSnapshotIndex;
  std::vector<Segment> mSegments; ///< never empty after Start
  bool mMustDropSuffix = false;
  std::optional<TornTail> mTornTail;
  std::unique_ptr<AppendFile> mFile;
  std::optional<base::Failure> mFailure;
};

} // namespace

base::Outcome<std::optional<base::MemberId>>
ReadIdentity(FileSystem& aFiles, const std::string& aFolder)
{
  auto created = aFiles.CreateFolder(aFolder);
  if (!created) {
    return created.LastFailure();
  }
  const auto names = aFiles.List(aFolder);
  if (!names) {
    return names.LastFailure();
  }
  const std::string temporary =
    std::string(kIdentityName) + std::string(kTemporarySuffix);
  std::string unexpectedName;
  for (const std::string& name : *names) {
    if (name == kIdentityName) {
      const auto body = ReadChecksummedFile(aFiles, aFolder, name);
      if (!body) {
        return body.LastFailure();
      }
      return ParseIdentity(*body, aFolder);
    }
    if (name != temporary) {
      unexpectedName = name;
    }
  }
  if (!unexpectedName.empty()) {
    return StorageFailure(aFolder + ": has " + unexpectedName +
                          " but no identity file");
  }
  return std::optional<base::MemberId>();
}

base::Outcome<bool>
RemoveUnusedIdentity(FileSystem& aFiles, const std::string& aFolder)
{
  const auto recovered = Recover(aFiles, aFolder);
  if (!recovered) {
    return recovered.LastFailure();
  }
  // A member writes its term before it votes and before it acknowledges an
  // entry, so a log without a term proves that it has done neither.
  const consensus::RecoveredState& state = recovered->mState;
  if (state.mHardState.mTerm != base::Term() || !state.mEntries.empty() ||
      state.mSnapshot) {
    return StorageFailure(aFolder + ": the log is in use by its member");
  }
  // The identity goes last: a log without it is refused.
  base::Outcome<bool> done = true;
  for (const Segment& segment : recovered->mSegments) {
    if (done) {
      done = aFiles.Remove(aFolder + "/" + SegmentName(segment.mNumber));
    }
  }
  if (done) {
    done = aFiles.SyncFolder(aFolder);
  }
  if (done) {
    done = aFiles.Remove(aFolder + "/" + std::string(kIdentityName));
  }
  return done ? aFiles.SyncFolder(aFolder) : done;
}

base::Outcome<std::unique_ptr<Storage>>
Storage::Open(FileSystem& aFiles,
              const StorageOptions& aOptions,
              base::MemberId aSelf)
{
  const auto checked = CheckOrWriteIdentity(aFiles, aOptions, aSelf);
  if (!checked) {
    return checked.LastFailure();
  }
  auto recovered = Recover(aFiles, aOptions.mFolder);
  if (!recovered) {
    return recovered.LastFailure();
  }
  auto storage =
    std::make_unique<FileStorage>(aFiles, aOptions, std::move(*recovered));
  const auto started = storage->Start();
  if (!started) {
    return started.LastFailure();
  }
  return std::unique_ptr<Storage>(std::move(storage));
}

} // namespace dogwooddrum::state
