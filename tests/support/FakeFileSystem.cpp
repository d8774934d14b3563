#include "tests/support/FakeFileSystem.h"

namespace dogwooddrum::support {

namespace {

/** Small, so that short blocks can be torn too. */
constexpr std::size_t kSectorBytes = 64;

base::Failure
StorageFailure(const std::string& aPath, const char* aError)
{
  return { base::Reason::StorageFailed, aPath + ": " + aError };
}

class FakeAppendFile : public state::AppendFile
{
public:
  FakeAppendFile(FakeFileSystem& aFiles,
                 std::string aPath,
                 std::shared_ptr<FakeFileSystem::File> aFile)
    : mFiles(aFiles)
    , mPath(std::move(aPath))
    , mFile(std::move(aFile))
  {
  }
  base::Outcome<bool> Append(std::string_view aBytes) override
  {
    auto done = mFiles.FailOrCountChange(mPath);
    // A full disk and a process that ends leave half of the bytes.
    if (done || mFiles.mFull || mFiles.mRemainingChanges == 0) {
      mFile->mBytes +=
        aBytes.substr(0, done ? aBytes.size() : aBytes.size() / 2);
    }
    return done;
  }
  base::Outcome<bool> Sync() override
  {
    auto done = mFiles.FailOrCountChange(mPath);
    if (done && !mFiles.mSkipsSyncs) {
      mFile->mDurableBytes = mFile->mBytes;
      ++mFiles.mSyncs;
    }
    return done;
  }

private:
  FakeFileSystem& mFiles;
  std::string mPath;
  std::shared_ptr<FakeFileSystem::File> mFile;
};

/** Loses the unsynced bytes, or keeps a torn part of them half of the time. */
void
SimulatePowerLoss(FakeFileSystem::File& aFile, std::mt19937_64& aRandom)
{
  std::string bytes = aFile.mDurableBytes;
  if (aRandom() % 2 == 0) {
    const std::size_t from =
      std::min(aFile.mDurableBytes.size(), aFile.mBytes.size());
    const std::size_t to = from + aRandom() % (aFile.mBytes.size() - from + 1);
    bytes = aFile.mBytes.substr(0, to);
    for (std::size_t at = from; at < to; at += kSectorBytes) {
      if (aRandom() % 4 == 0) {
        bytes.replace(at,
                      std::min(kSectorBytes, to - at),
                      std::min(kSectorBytes, to - at),
                      '\0');
      }
    }
  }
  aFile.mBytes = bytes;
  aFile.mDurableBytes = bytes;
}

} // namespace

base::Outcome<bool>
FakeFileSystem::FailOrCountChange(const std::string& aPath)
{
  if (mReadOnly) {
    return StorageFailure(aPath, "read-only file system");
  }
  if (mFull) {
    return StorageFailure(aPath, "no space left on device");
  }
  if (mRemainingChanges == 0) {
    return StorageFailure(aPath, "the process has ended");
  }
  --mRemainingChanges;
  return true;
}

void
FakeFileSystem::ApplyChange(std::function<void(Folder&)> aChange)
{
  aChange(mFiles);
  mUnsyncedChanges.push_back(std::move(aChange));
}

base::Outcome<bool>
FakeFileSystem::CreateFolder(const std::string&)
{
  return true;
}

base::Outcome<std::vector<std::string>>
FakeFileSystem::List(const std::string& aPath)
{
  std::vector<std::string> names;
  for (const auto& [path, file] : mFiles) {
    if (path.rfind(aPath + "/", 0) == 0) {
      names.push_back(path.substr(aPath.size() + 1));
    }
  }
  return names;
}

base::Outcome<std::string>
FakeFileSystem::Read(const std::string& aPath)
{
  const auto it = mFiles.find(aPath);
  if (it == mFiles.end()) {
    return StorageFailure(aPath, "no such file");
  }
  return it->second->mBytes;
}

base::Outcome<std::unique_ptr<state::AppendFile>>
FakeFileSystem::OpenAppend(const std::string& aPath)
{
  if (mFiles.count(aPath) == 0) {
    const auto done = FailOrCountChange(aPath);
    if (!done) {
      return done.LastFailure();
    }
    ApplyChange([aPath, file = std::make_shared<File>()](Folder& aFolder) {
      aFolder[aPath] = file;
    });
  }
  return std::unique_ptr<state::AppendFile>(
    std::make_unique<FakeAppendFile>(*this, aPath, mFiles[aPath]));
}

base::Outcome<bool>
FakeFileSystem::Truncate(const std::string& aPath, std::uint64_t aBytes)
{
  auto done = FailOrCountChange(aPath);
  if (done) {
    mFiles[aPath]->mBytes.resize(aBytes);
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  auto done = FailOrCountChange(aFrom);
  if (done) {
    ApplyChange([aFrom, aTo](Folder& aFolder) {
      aFolder[aTo] = aFolder[aFrom];
      aFolder.erase(aFrom);
    });
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::Remove(const std::string& aPath)
{
  auto done = FailOrCountChange(aPath);
  if (done) {
    ApplyChange([aPath](Folder& aFolder) { aFolder.erase(aPath); });
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::SyncFolder(const std::string& aPath)
{
  auto done = FailOrCountChange(aPath);
  if (done && !mSkipsSyncs) {
    mDurableFiles = mFiles;
    mUnsyncedChanges.clear();
  }
  return done;
}

void
FakeFileSystem::Crash(std::mt19937_64& aRandom, bool aPowerLoss)
{
  mRemainingChanges = std::numeric_limits<std::uint64_t>::max();
  if (!aPowerLoss) {
    return;
  }
  const std::size_t kept = aRandom() % (mUnsyncedChanges.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) {
    mUnsyncedChanges[i](mDurableFiles);
  }
  mUnsyncedChanges.clear();
  mFiles = mDurableFiles;
  for (auto& [path, file] : mFiles) {
    SimulatePowerLoss(*file, aRandom);
  }
}

} // namespace dogwooddrum::support
