#include "tests/support/FakeFileSystem.h"

#include <algorithm>
#include <iterator>

namespace dogwooddrum::support {

namespace {

/** Small, so that short blocks can be torn too. */
constexpr std::size_t kSectorBytes = 64;

base::Failure
StorageFailure(const std::string& aPath, const char* aError)
{
  return { base::Reason::StorageFailed, aPath + ": " + aError };
}

std::string
ParentOf(const std::string& aPath)
{
  const auto slash = aPath.rfind('/');
  return slash == std::string::npos ? "" : aPath.substr(0, slash);
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
    if (mFiles.UsedBytes() + aBytes.size() > mFiles.mCapacityBytes) {
      const auto used = mFiles.UsedBytes();
      mFile->mBytes += aBytes.substr(0, mFiles.mCapacityBytes - used);
      return StorageFailure(mPath, "no space left on device");
    }
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
    if (done && mFiles.mFailsNextSync) {
      mFiles.mFailsNextSync = false;
      mFile->mUnwrittenFrom = mFile->mDurableBytes.size();
      mFile->mUnwrittenTo = mFile->mBytes.size();
      return StorageFailure(mPath, "input/output error");
    }
    if (done && !mFiles.mSkipsSyncs) {
      mFile->mDurableBytes = mFile->mBytes;
      for (std::size_t i = mFile->mUnwrittenFrom; i < mFile->mUnwrittenTo;
           ++i) {
        mFile->mDurableBytes[i] = '\0';
      }
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

std::uint64_t
FakeFileSystem::UsedBytes() const
{
  std::uint64_t bytes = 0;
  for (const auto& [path, file] : mFiles) {
    bytes += file->mBytes.size();
  }
  return bytes;
}

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
FakeFileSystem::ApplyChange(const std::string& aPath, Change aChange)
{
  Tree tree{ std::move(mFiles), std::move(mFolders) };
  aChange(tree);
  mFiles = std::move(tree.mFiles);
  mFolders = std::move(tree.mFolders);
  mUnsyncedChanges.push_back({ ParentOf(aPath), std::move(aChange) });
}

base::Outcome<bool>
FakeFileSystem::CreateFolder(const std::string& aPath)
{
  const std::string parent = ParentOf(aPath);
  if (parent.empty() || mFolders.count(aPath) > 0) {
    return true; // the first level always exists
  }
  auto done = CreateFolder(parent);
  if (done) {
    done = FailOrCountChange(aPath);
  }
  if (done) {
    ApplyChange(aPath, [aPath](Tree& aTree) { aTree.mFolders.insert(aPath); });
  }
  return done;
}

base::Outcome<std::vector<std::string>>
FakeFileSystem::List(const std::string& aPath)
{
  std::vector<std::string> names;
  for (const auto& [path, file] : mFiles) {
    if (ParentOf(path) == aPath) {
      names.push_back(path.substr(aPath.size() + 1));
    }
  }
  for (const std::string& folder : mFolders) {
    if (ParentOf(folder) == aPath) {
      names.push_back(folder.substr(aPath.size() + 1));
    }
  }
  std::sort(names.begin(), names.end());
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
    ApplyChange(aPath, [aPath, file = std::make_shared<File>()](Tree& aTree) {
      aTree.mFiles[aPath] = file;
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
    File& file = *mFiles[aPath];
    file.mBytes.resize(aBytes);
    // Bytes that are written there again are new ones.
    file.mUnwrittenTo =
      std::min(file.mUnwrittenTo, static_cast<std::size_t>(aBytes));
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  auto done = FailOrCountChange(aFrom);
  if (done && mFiles.count(aFrom) == 0) {
    return StorageFailure(aFrom, "no such file");
  }
  if (done) {
    ApplyChange(aTo, [aFrom, aTo, file = mFiles[aFrom]](Tree& aTree) {
      aTree.mFiles[aTo] = file;
      aTree.mFiles.erase(aFrom);
    });
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::Remove(const std::string& aPath)
{
  auto done = FailOrCountChange(aPath);
  if (done && mFiles.count(aPath) == 0) {
    return StorageFailure(aPath, "no such file");
  }
  if (done) {
    ApplyChange(aPath, [aPath](Tree& aTree) { aTree.mFiles.erase(aPath); });
  }
  return done;
}

base::Outcome<bool>
FakeFileSystem::SyncFolder(const std::string& aPath)
{
  auto done = FailOrCountChange(aPath);
  if (done && !mSkipsSyncs) {
    auto remaining = std::stable_partition(
      mUnsyncedChanges.begin(), mUnsyncedChanges.end(), [&](const auto& aEach) {
        return aEach.mParent == aPath;
      });
    for (auto it = mUnsyncedChanges.begin(); it != remaining; ++it) {
      it->mApply(mDurable);
    }
    mUnsyncedChanges.erase(mUnsyncedChanges.begin(), remaining);
  }
  return done;
}

void
FakeFileSystem::KeepChanges(const std::function<bool(std::size_t)>& aIsKept)
{
  for (std::size_t i = 0; i < mUnsyncedChanges.size(); ++i) {
    if (aIsKept(i)) {
      mUnsyncedChanges[i].mApply(mDurable);
    }
  }
  mUnsyncedChanges.clear();
  // A file in a folder whose creation was lost is lost with the folder.
  const auto isLost = [this](const std::string& aPath) {
    for (std::string folder = ParentOf(aPath); !ParentOf(folder).empty();
         folder = ParentOf(folder)) {
      if (mDurable.mFolders.count(folder) == 0) {
        return true;
      }
    }
    return false;
  };
  for (auto it = mDurable.mFiles.begin(); it != mDurable.mFiles.end();) {
    it = isLost(it->first) ? mDurable.mFiles.erase(it) : std::next(it);
  }
  mFiles = mDurable.mFiles;
  mFolders = mDurable.mFolders;
}

void
FakeFileSystem::Crash(std::mt19937_64& aRandom, bool aPowerLoss)
{
  mRemainingChanges = std::numeric_limits<std::uint64_t>::max();
  if (!aPowerLoss) {
    return;
  }
  KeepChanges([&aRandom](std::size_t) { return aRandom() % 2 == 0; });
  for (auto& [path, file] : mFiles) {
    SimulatePowerLoss(*file, aRandom);
  }
}

void
FakeFileSystem::LosePower(std::uint64_t aKept, Tail aTail)
{
  mRemainingChanges = std::numeric_limits<std::uint64_t>::max();
  KeepChanges([aKept](std::size_t aIndex) { return (aKept >> aIndex) & 1U; });
  for (auto& [path, file] : mFiles) {
    const std::size_t from =
      std::min(file->mDurableBytes.size(), file->mBytes.size());
    const std::size_t unsynced = file->mBytes.size() - from;
    if (aTail == Tail::Lost || unsynced == 0) {
      file->mBytes = file->mDurableBytes;
    } else if (aTail == Tail::Torn) {
      file->mBytes.resize(from + unsynced / 2);
    }
    file->mDurableBytes = file->mBytes;
  }
}

void
FakeFileSystem::Erase()
{
  mFiles.clear();
  mFolders.clear();
  mDurable = {};
  mUnsyncedChanges.clear();
}

} // namespace dogwooddrum::support
