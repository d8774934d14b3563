// Guards against durable state that differs after a restart, and against a
// group commit that needs more or less than one sync.
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;

consensus::PersistWork
MakeWork(std::uint64_t aFrom, std::uint64_t aTo, std::uint64_t aTerm)
{
  consensus::PersistWork work;
  for (std::uint64_t i = aFrom; i <= aTo; ++i) {
    work.mEntries.push_back({ base::Term(aTerm),
                              base::LogIndex(i),
                              consensus::EntryKind::Command,
                              std::string(100, 'x') });
  }
  work.mHardState = { base::Term(aTerm), base::MemberId(2) };
  return work;
}

void
WriteAndReadBack(FileSystem& aFiles, const std::string& aFolder)
{
  const StorageOptions options{ aFolder, false, 1000 };
  const base::MemberId self(1);
  {
    auto storage = Storage::Open(aFiles, options, self);
    ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
    consensus::PersistWork replacement = MakeWork(31, 40, 2);
    replacement.mTruncateFrom = base::LogIndex(31);
    ASSERT_TRUE((*storage)->Persist({ MakeWork(1, 50, 1), replacement }));
    ASSERT_TRUE((*storage)->Persist({ MakeWork(41, 60, 3) }));
    ASSERT_TRUE((*storage)->SaveSnapshot(
      { base::LogIndex(45), base::Term(3), {}, "state" }));
  }
  auto storage = Storage::Open(aFiles, options, self);
  ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
  const auto state = (*storage)->TakeRecoveredState();
  EXPECT_EQ(state.mHardState.mTerm, base::Term(3));
  EXPECT_EQ(state.mHardState.mVote, base::MemberId(2));
  EXPECT_EQ(state.mSnapshot->mState, "state");
  ASSERT_EQ(state.mEntries.size(), 15U);
  EXPECT_EQ(state.mEntries.front().mIndex, base::LogIndex(46));
  EXPECT_EQ(state.mEntries.back().mTerm, base::Term(3));
}

} // namespace

TEST(StorageRoundTrip, FakeDisk)
{
  support::FakeFileSystem files;
  WriteAndReadBack(files, "data");
}

TEST(StorageRoundTrip, RealDisk)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "dogwooddrum-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const auto files = MakePosixFileSystem();
  WriteAndReadBack(*files, folder + "/data");
  std::filesystem::remove_all(folder);
}

TEST(StorageRoundTrip, OnePersistCallIsOneSync)
{
  support::FakeFileSystem files;
  auto storage = Storage::Open(files, { "data", false, 1U << 20 }, {});
  ASSERT_FALSE(storage) << "member id 0";
  storage =
    Storage::Open(files, { "data", false, 1U << 20 }, base::MemberId(1));
  const std::uint64_t before = files.mSyncs;
  EXPECT_TRUE((*storage)->Persist({ MakeWork(1, 10, 1), MakeWork(11, 20, 1) }));
  EXPECT_EQ(files.mSyncs, before + 1);
}

TEST(StorageRoundTrip, CoveredSegmentsAreRemoved)
{
  support::FakeFileSystem files;
  auto storage =
    Storage::Open(files, { "data", false, 1000 }, base::MemberId(1));
  for (std::uint64_t i = 1; i <= 100; ++i) {
    ASSERT_TRUE((*storage)->Persist({ MakeWork(i, i, 1) }));
  }
  const std::size_t before = files.mFiles.size();
  ASSERT_TRUE((*storage)->SaveSnapshot(
    { base::LogIndex(100), base::Term(1), {}, "state" }));
  EXPECT_GT(before, 10U);
  EXPECT_EQ(files.mFiles.size(), 3U) << "identity, snapshot, last segment";
}

} // namespace dogwooddrum::state
