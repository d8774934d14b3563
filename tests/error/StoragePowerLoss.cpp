// Guards against a member that refuses to start, or lacks what it acknowledged,
// after a loss of power that keeps some of the unsynced changes of its folder.
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace dogwooddrum::state {

namespace {

namespace consensus = coordination::consensus;
using support::FakeFileSystem;

const base::MemberId kSelf(3);

base::Outcome<std::unique_ptr<Storage>>
OpenStorage(FakeFileSystem& aFiles)
{
  constexpr std::uint64_t kSegmentBytes = 200; // two blocks of one entry each
  return Storage::Open(aFiles, { "data", false, kSegmentBytes }, kSelf);
}

/** State that a member has acknowledged to others. */
struct MemberState
{
  std::map<std::uint64_t, std::uint64_t> mEntryTerms; ///< by index
  std::uint64_t mSnapshotIndex = 0;
  consensus::HardState mHardState;

  std::uint64_t LastIndex() const
  {
    return mEntryTerms.empty() ? 0 : mEntryTerms.rbegin()->first;
  }
  bool HasEntry(std::uint64_t aIndex, std::uint64_t aTerm) const
  {
    const auto it = mEntryTerms.find(aIndex);
    return it != mEntryTerms.end() && it->second == aTerm;
  }
};

/** One call of Storage and the state after it. */
struct StorageCall
{
  std::function<base::Outcome<bool>(Storage&)> mRun;
  MemberState mAfter;
};

/** Collects the calls of a run. */
class Script
{
public:
  void Append(std::uint64_t aFrom, std::uint64_t aTo, std::uint64_t aTerm)
  {
    for (std::uint64_t i = aFrom; i <= aTo; ++i) {
      consensus::PersistWork work;
      AddEntry(work, i, aTerm);
      AddPersist(work);
    }
  }
  void Vote(std::uint64_t aTerm, std::uint64_t aCandidate)
  {
    consensus::PersistWork work;
    work.mHardState = { base::Term(aTerm), base::MemberId(aCandidate) };
    mState.mHardState = *work.mHardState;
    AddPersist(work);
  }
  /** Replaces the entries from aFrom on, after a received snapshot if
   * aSnapshotIndex is not 0. */
  void Replace(std::uint64_t aSnapshotIndex,
               std::uint64_t aFrom,
               std::uint64_t aTo,
               std::uint64_t aTerm)
  {
    consensus::PersistWork work;
    work.mTruncateFrom = base::LogIndex(aFrom);
    mState.mEntryTerms.erase(mState.mEntryTerms.lower_bound(aFrom),
                             mState.mEntryTerms.end());
    if (aSnapshotIndex != 0) {
      work.mSnapshot = MakeSnapshot(aSnapshotIndex, aTerm);
    }
    for (std::uint64_t i = aFrom; i <= aTo; ++i) {
      AddEntry(work, i, aTerm);
    }
    AddPersist(work);
  }
  void Snapshot(std::uint64_t aIndex)
  {
    const auto snapshot = MakeSnapshot(aIndex, mState.mEntryTerms.at(aIndex));
    mCalls.push_back({ [snapshot](Storage& aStorage) {
                        return aStorage.SaveSnapshot(snapshot);
                      },
                       mState });
  }
  const std::vector<StorageCall>& Calls() const { return mCalls; }

private:
  consensus::Snapshot MakeSnapshot(std::uint64_t aIndex, std::uint64_t aTerm)
  {
    mState.mSnapshotIndex = aIndex;
    for (std::uint64_t i = 1; i <= aIndex; ++i) {
      mState.mEntryTerms.emplace(i, aTerm);
    }
    return { base::LogIndex(aIndex), base::Term(aTerm), {}, "state" };
  }
  void AddEntry(consensus::PersistWork& aWork,
                std::uint64_t aIndex,
                std::uint64_t aTerm)
  {
    aWork.mEntries.push_back({ base::Term(aTerm),
                               base::LogIndex(aIndex),
                               consensus::EntryKind::Command,
                               "payload " + std::to_string(aIndex) });
    mState.mEntryTerms[aIndex] = aTerm;
  }
  void AddPersist(const consensus::PersistWork& aWork)
  {
    mCalls.push_back(
      { [aWork](Storage& aStorage) { return aStorage.Persist({ aWork }); },
        mState });
  }

  MemberState mState;
  std::vector<StorageCall> mCalls;
};

/** Snapshots that cover several segments, votes, a removed end of the log and a
 * received snapshot beyond the log. */
Script
MakeScript()
{
  Script script;
  script.Vote(1, 3);
  script.Append(1, 12, 1);
  script.Snapshot(11);
  script.Vote(2, 5);
  script.Replace(0, 12, 13, 2);
  script.Append(14, 20, 2);
  script.Snapshot(16);
  script.Snapshot(20);
  script.Append(21, 28, 2);
  script.Vote(3, 4);
  script.Replace(40, 41, 42, 3);
  script.Append(43, 44, 3);
  return script;
}

/** Result of a run that ended early. */
struct Progress
{
  MemberState mBefore; ///< after the last call that returned
  MemberState mAfter;  ///< after the call that was interrupted
  bool mIsComplete = false;
};

/** Runs the calls of aScript until one fails. */
Progress
RunScript(FakeFileSystem& aFiles, const Script& aScript)
{
  Progress progress;
  auto storage = OpenStorage(aFiles);
  if (!storage) {
    return progress;
  }
  for (const StorageCall& call : aScript.Calls()) {
    progress.mAfter = call.mAfter;
    if (!call.mRun(**storage)) {
      return progress;
    }
    progress.mBefore = call.mAfter;
  }
  progress.mIsComplete = true;
  return progress;
}

/** Returns what is wrong with a recovered state, or an empty text. */
std::string
FindLoss(const consensus::RecoveredState& aState, const Progress& aProgress)
{
  const MemberState& before = aProgress.mBefore;
  const MemberState& after = aProgress.mAfter;
  const std::uint64_t snapshot =
    aState.mSnapshot ? aState.mSnapshot->mIndex.Value() : 0;
  if (snapshot != before.mSnapshotIndex && snapshot != after.mSnapshotIndex) {
    return "snapshot at " + std::to_string(snapshot);
  }
  for (const auto& entry : aState.mEntries) {
    const std::uint64_t index = entry.mIndex.Value();
    if (!before.HasEntry(index, entry.mTerm.Value()) &&
        !after.HasEntry(index, entry.mTerm.Value())) {
      return "unexpected entry " + std::to_string(index);
    }
  }
  // A call may replace entries; the others are part of the state before and
  // after it.
  const std::uint64_t last = snapshot + aState.mEntries.size();
  for (const auto& [index, term] : before.mEntryTerms) {
    if (after.HasEntry(index, term) && index > last) {
      return "entry " + std::to_string(index) + " is lost";
    }
  }
  const auto isSame = [&aState](const consensus::HardState& aExpected) {
    return aState.mHardState.mTerm == aExpected.mTerm &&
           aState.mHardState.mVote == aExpected.mVote;
  };
  return isSame(before.mHardState) || isSame(after.mHardState)
           ? ""
           : "vote of term " + std::to_string(aState.mHardState.mTerm.Value());
}

/** Starts the member again and appends entries, which must be there at one more
 * start. Returns what is wrong, or an empty text. */
std::string
CheckRestart(FakeFileSystem& aFiles, const Progress& aProgress)
{
  std::uint64_t last = 0;
  {
    auto storage = OpenStorage(aFiles);
    if (!storage) {
      return storage.LastFailure().mMessage;
    }
    const auto state = (*storage)->TakeRecoveredState();
    std::string loss = FindLoss(state, aProgress);
    if (!loss.empty()) {
      return loss;
    }
    last = (state.mSnapshot ? state.mSnapshot->mIndex.Value() : 0) +
           state.mEntries.size();
    Script appended;
    appended.Append(last + 1, last + 6, 9);
    for (const StorageCall& call : appended.Calls()) {
      const auto done = call.mRun(**storage);
      if (!done) {
        return done.LastFailure().mMessage;
      }
    }
  }
  aFiles.LosePower(0, FakeFileSystem::Tail::Lost);
  auto storage = OpenStorage(aFiles);
  if (!storage) {
    return "second start: " + storage.LastFailure().mMessage;
  }
  const auto state = (*storage)->TakeRecoveredState();
  const std::uint64_t found =
    (state.mSnapshot ? state.mSnapshot->mIndex.Value() : 0) +
    state.mEntries.size();
  return found == last + 6 ? ""
                           : "second start: log up to " + std::to_string(found);
}

/** Calls aVisit for each set of the unsynced folder changes of aFiles and each
 * state of the unsynced bytes that a loss of power may leave. */
void
ForEachLoss(
  const FakeFileSystem& aFiles,
  const std::function<void(std::uint64_t, FakeFileSystem::Tail)>& aVisit)
{
  const std::uint64_t sets = 1ULL << aFiles.UnsyncedChanges();
  for (std::uint64_t kept = 0; kept < sets; ++kept) {
    for (const auto tail : { FakeFileSystem::Tail::Lost,
                             FakeFileSystem::Tail::Torn,
                             FakeFileSystem::Tail::Kept }) {
      aVisit(kept, tail);
    }
  }
}

} // namespace

// A snapshot that covers several segments removes them; a member refused to
// start if a later removal was kept and an earlier one was lost.
TEST(StoragePowerLoss, MemberStartsWithAnySetOfUnsyncedFolderChanges)
{
  const Script script = MakeScript();
  std::size_t losses = 0;
  bool isComplete = false;
  for (std::uint64_t changes = 0; !isComplete; ++changes) {
    const auto run = [&](FakeFileSystem& aFiles) {
      aFiles.mRemainingChanges = changes;
      return RunScript(aFiles, script);
    };
    FakeFileSystem files;
    isComplete = run(files).mIsComplete;
    ASSERT_LE(files.UnsyncedChanges(), 10U);
    ForEachLoss(files, [&](std::uint64_t aKept, FakeFileSystem::Tail aTail) {
      FakeFileSystem again;
      const Progress progress = run(again);
      again.LosePower(aKept, aTail);
      EXPECT_EQ(CheckRestart(again, progress), "")
        << "after " << changes << " changes, kept " << aKept << ", tail "
        << static_cast<int>(aTail);
      ++losses;
    });
  }
  EXPECT_GT(losses, 500U);
}

// A start after a loss of power removes files and the torn end of the log; a
// loss of power during this start must not make the next one fail.
TEST(StoragePowerLoss, MemberStartsAfterAnInterruptedStart)
{
  constexpr std::uint64_t kMaxChanges = 30; // more than one start makes
  const Script script = MakeScript();
  bool isComplete = false;
  for (std::uint64_t changes = 0; !isComplete; ++changes) {
    FakeFileSystem probe;
    probe.mRemainingChanges = changes;
    isComplete = RunScript(probe, script).mIsComplete;
    ForEachLoss(probe, [&](std::uint64_t aKept, FakeFileSystem::Tail aTail) {
      bool isStarted = false;
      for (std::uint64_t more = 0; !isStarted && more < kMaxChanges; ++more) {
        Progress progress;
        const auto run = [&](FakeFileSystem& aFiles) {
          aFiles.mRemainingChanges = changes;
          progress = RunScript(aFiles, script);
          aFiles.LosePower(aKept, aTail);
          aFiles.mRemainingChanges = more;
          isStarted = static_cast<bool>(OpenStorage(aFiles));
        };
        FakeFileSystem second;
        run(second);
        const std::uint64_t sets = 1ULL << second.UnsyncedChanges();
        for (std::uint64_t kept = 0; kept < sets; ++kept) {
          FakeFileSystem files;
          run(files);
          files.LosePower(kept, FakeFileSystem::Tail::Torn);
          EXPECT_EQ(CheckRestart(files, progress), "")
            << "after " << changes << " changes, kept " << aKept << ", tail "
            << static_cast<int>(aTail) << "; then " << more << " changes, kept "
            << kept;
        }
      }
      EXPECT_TRUE(isStarted)
        << "after " << changes << " changes, kept " << aKept;
    });
  }
}

} // namespace dogwooddrum::state
