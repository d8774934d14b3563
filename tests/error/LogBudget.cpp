// Guards against a log of large entries that fills the disk before a snapshot
// is due by their number, and against a start that fails for want of room which
// it could free.
#include "dogwooddrum/state/SnapshotTrigger.h"
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

namespace dogwooddrum::state {
namespace {

namespace consensus = coordination::consensus;

constexpr base::MemberId kSelf(1);
constexpr std::uint64_t kDiskBytes = 128ULL << 20;

consensus::LogEntry
EntryOf(std::uint64_t aIndex, std::size_t aBytes)
{
  return { base::Term(1),
           base::LogIndex(aIndex),
           consensus::EntryKind::Command,
           std::string(aBytes, 'x') };
}

consensus::PersistWork
WorkOf(const consensus::LogEntry& aEntry)
{
  consensus::PersistWork work;
  work.mEntries.push_back(aEntry);
  work.mHardState = { base::Term(1), kSelf };
  return work;
}

// Configurations of 1 MB filled the disks of all members at the same byte; no
// member started again.
TEST(LogBudget, LargeEntriesTakeHalfOfTheDiskAtMost)
{
  constexpr std::size_t kEntryBytes = 1U << 20;
  support::FakeFileSystem files;
  files.mCapacityBytes = kDiskBytes / 2;
  StorageOptions options;
  options.mFolder = "data";
  auto storage = Storage::Open(files, options, kSelf);
  SnapshotTrigger trigger({});
  for (std::uint64_t i = 1; i <= 300; ++i) {
    const auto entry = EntryOf(i, kEntryBytes);
    const auto written = (*storage)->Persist({ WorkOf(entry) });
    ASSERT_TRUE(written) << written.LastFailure().mMessage;
    trigger.OnApplied({ entry });
    if (trigger.IsDue()) {
      trigger.Reset();
      const auto saved = (*storage)->SaveSnapshot(
        { entry.mIndex, entry.mTerm, {}, std::string(2 * kEntryBytes, 's') });
      ASSERT_TRUE(saved) << saved.LastFailure().mMessage;
    }
    if (i % 50 == 0) {
      storage = Storage::Open(files, options, kSelf);
      ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
    }
  }
}

TEST(LogBudget, SmallEntriesAreCountedByNumber)
{
  SnapshotTrigger trigger({ 10, 1000 });
  for (std::uint64_t i = 1; i <= 9; ++i) {
    trigger.OnApplied({ EntryOf(i, 1) });
    EXPECT_FALSE(trigger.IsDue());
  }
  trigger.OnApplied({ EntryOf(10, 1) });
  EXPECT_TRUE(trigger.IsDue());
  trigger.Reset();
  EXPECT_FALSE(trigger.IsDue());
  trigger.OnApplied({ EntryOf(11, 1000) });
  EXPECT_TRUE(trigger.IsDue());
}

// A member that ended between its snapshot and the removal of the segments
// copied its newest segment first, for which a full disk has no room.
TEST(LogBudget, StartFreesCoveredSegmentsBeforeItNeedsRoom)
{
  support::FakeFileSystem files;
  StorageOptions options;
  options.mFolder = "data";
  options.mSegmentBytes = 10000;
  auto storage = Storage::Open(files, options, kSelf);
  for (std::uint64_t i = 1; i <= 50; ++i) {
    ASSERT_TRUE((*storage)->Persist({ WorkOf(EntryOf(i, 1000)) }));
  }
  // Four changes write the snapshot; the process ends before the next one.
  files.mRemainingChanges = 4;
  EXPECT_FALSE((*storage)->SaveSnapshot(
    { base::LogIndex(50), base::Term(1), {}, "state" }));
  files.mRemainingChanges = std::numeric_limits<std::uint64_t>::max();
  files.mCapacityBytes = files.UsedBytes();
  storage = Storage::Open(files, options, kSelf);
  ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
  const auto state = (*storage)->TakeRecoveredState();
  ASSERT_TRUE(state.mSnapshot);
  EXPECT_EQ(state.mSnapshot->mIndex, base::LogIndex(50));
  EXPECT_TRUE(state.mEntries.empty());
}

// A start that had no room for its copy left a part of it, so that less room
// was left than before.
TEST(LogBudget, StartWithoutRoomLeavesNoPartOfACopy)
{
  support::FakeFileSystem files;
  StorageOptions options;
  options.mFolder = "data";
  auto storage = Storage::Open(files, options, kSelf);
  for (std::uint64_t i = 1; i <= 50; ++i) {
    ASSERT_TRUE((*storage)->Persist({ WorkOf(EntryOf(i, 1000)) }));
  }
  const auto used = files.UsedBytes();
  files.mCapacityBytes = used + 10000;
  EXPECT_FALSE(Storage::Open(files, options, kSelf));
  EXPECT_EQ(files.UsedBytes(), used);
  files.mCapacityBytes = 2 * used + 10000;
  EXPECT_TRUE(Storage::Open(files, options, kSelf));
}

} // namespace
} // namespace dogwooddrum::state
