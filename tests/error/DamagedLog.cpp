// Guards against a member that starts with a damaged data folder or that of
// another member, and against one that a torn tail keeps from starting.
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;
using support::FakeFileSystem;

const base::MemberId kSelf(3);
const char* const kSegment = "data/log-0000000000000001";

base::Outcome<std::unique_ptr<Storage>>
OpenStorage(FakeFileSystem& aFiles,
            base::MemberId aSelf = kSelf,
            bool aExpectExisting = false)
{
  return Storage::Open(aFiles, { "data", aExpectExisting, 1000 }, aSelf);
}

consensus::PersistWork
MakeEntries(std::uint64_t aFrom, std::uint64_t aTo, std::uint64_t aTerm = 1)
{
  consensus::PersistWork work;
  for (std::uint64_t i = aFrom; i <= aTo; ++i) {
    work.mEntries.push_back({ base::Term(aTerm),
                              base::LogIndex(i),
                              consensus::EntryKind::Command,
                              "payload " + std::to_string(i) });
  }
  return work;
}

/** Writes aEntries blocks of one entry each. */
void
WriteEntries(FakeFileSystem& aFiles, std::uint64_t aEntries)
{
  auto storage = OpenStorage(aFiles);
  ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
  for (std::uint64_t i = 1; i <= aEntries; ++i) {
    ASSERT_TRUE((*storage)->Persist({ MakeEntries(i, i) }));
  }
}

std::size_t
CountRecoveredEntries(FakeFileSystem& aFiles)
{
  auto storage = OpenStorage(aFiles);
  EXPECT_TRUE(storage) << storage.LastFailure().mMessage;
  return storage ? (*storage)->TakeRecoveredState().mEntries.size() : 0;
}

} // namespace

TEST(DamagedLog, TailTornAtAnyByteIsCutOff)
{
  FakeFileSystem files;
  WriteEntries(files, 3);
  const std::string whole = files.mFiles[kSegment]->mBytes;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    files.mFiles[kSegment]->mBytes = whole.substr(0, size);
    const std::size_t entries = CountRecoveredEntries(files);
    EXPECT_LT(entries, 3U) << size;
    EXPECT_LT(files.mFiles[kSegment]->mBytes.size(), size + 1);
    auto storage = OpenStorage(files);
    EXPECT_TRUE((*storage)->Persist({ MakeEntries(entries + 1, 3) }));
    EXPECT_EQ(CountRecoveredEntries(files), 3U) << size;
  }
}

TEST(DamagedLog, BadBlockBeforeValidOnesIsRefusedWithFileAndOffset)
{
  FakeFileSystem files;
  WriteEntries(files, 3);
  const std::size_t size = files.mFiles[kSegment]->mBytes.size();
  for (std::size_t at = 0; at < size / 2; ++at) {
    files.mFiles[kSegment]->mBytes[at] ^= 1;
    const auto storage = OpenStorage(files);
    ASSERT_FALSE(storage) << at;
    EXPECT_EQ(storage.LastFailure().mReason, base::Reason::CorruptLog);
    EXPECT_NE(storage.LastFailure().mMessage.find(kSegment), std::string::npos);
    EXPECT_NE(storage.LastFailure().mMessage.find("offset "),
              std::string::npos);
    files.mFiles[kSegment]->mBytes[at] ^= 1;
  }
}

TEST(DamagedLog, MissingSegmentAndDamagedSnapshotAreRefused)
{
  FakeFileSystem files;
  WriteEntries(files, 60);
  auto second = files.mFiles.extract("data/log-0000000000000002");
  EXPECT_FALSE(OpenStorage(files));
  files.mFiles.insert(std::move(second));
  EXPECT_TRUE(
    (*OpenStorage(files))
      ->SaveSnapshot({ base::LogIndex(5), base::Term(1), {}, "state" }));
  files.mFiles["data/snapshot-0000000000000005"]->mBytes.back() ^= 1;
  const auto storage = OpenStorage(files);
  ASSERT_FALSE(storage);
  EXPECT_NE(storage.LastFailure().mMessage.find("snapshot-"),
            std::string::npos);
}

TEST(DamagedLog, FolderOfOtherMemberAndLostFolderAreRefused)
{
  FakeFileSystem files;
  EXPECT_FALSE(OpenStorage(files, kSelf, true))
    << "empty folder of a known member";
  EXPECT_TRUE(files.mFiles.empty());
  EXPECT_TRUE(OpenStorage(files));
  EXPECT_TRUE(OpenStorage(files, kSelf, true));
  EXPECT_FALSE(OpenStorage(files, base::MemberId(4)));
  EXPECT_EQ((*ReadIdentity(files, "data"))->Value(), 3U);
  files.mFiles.erase("data/identity");
  EXPECT_FALSE(OpenStorage(files)) << "log without identity";
}

TEST(DamagedLog, NothingSucceedsAfterAFailedWrite)
{
  FakeFileSystem files;
  auto storage = OpenStorage(files);
  files.mFull = true;
  EXPECT_FALSE((*storage)->Persist({ MakeEntries(1, 1) }));
  files.mFull = false;
  EXPECT_FALSE((*storage)->Persist({ MakeEntries(1, 1) }));
  EXPECT_FALSE((*storage)->SaveSnapshot({ base::LogIndex(1), {}, {}, "" }));
  EXPECT_EQ(CountRecoveredEntries(files), 0U);
}

TEST(DamagedLog, CrashWhileStoringReceivedSnapshotLeavesUsableLog)
{
  // Ends the process after each file change of a Persist call that stores a
  // snapshot at 7 in a log of 9 entries and replaces the entries from 8 on, and
  // checks the log that the next start recovers.
  std::mt19937_64 random(1);
  for (std::uint64_t changes = 0; changes < 12; ++changes) {
    FakeFileSystem files;
    WriteEntries(files, 9);
    consensus::PersistWork work = MakeEntries(8, 8, 2);
    work.mTruncateFrom = base::LogIndex(8);
    work.mSnapshot = { base::LogIndex(7), base::Term(2), {}, "state" };
    {
      auto storage = OpenStorage(files);
      files.mRemainingChanges = changes;
      (*storage)->Persist({ work });
    }
    files.Crash(random, changes % 2 == 0);
    auto storage = OpenStorage(files);
    ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
    const auto state = (*storage)->TakeRecoveredState();
    const std::uint64_t last =
      (state.mSnapshot ? 7 : 0) + state.mEntries.size();
    EXPECT_TRUE(state.mSnapshot ? last <= 8 : last == 9) << changes;
    ASSERT_TRUE((*storage)->Persist({ MakeEntries(last + 1, last + 3, 3) }));
    EXPECT_EQ(CountRecoveredEntries(files), state.mEntries.size() + 3)
      << changes;
  }
}

} // namespace dogwooddrum::state
