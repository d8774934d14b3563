// Guards against a member that counts entries or a vote as durable after a sync
// of them has failed. Linux keeps such bytes in its cache as if they were
// written: they can be read, and the next sync succeeds without writing them.
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

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

} // namespace

// A member opens its folder again after a storage error, and acknowledges and
// votes from what it recovers.
TEST(FailedSync, WhatIsRecoveredAfterItSurvivesALossOfPower)
{
  support::FakeFileSystem files;
  const StorageOptions options{ "/data", false, 1 << 20 };
  const base::MemberId self(1);
  {
    auto storage = Storage::Open(files, options, self);
    ASSERT_TRUE(storage);
    ASSERT_TRUE((*storage)->Persist({ MakeWork(1, 10, 1) }));
    files.mFailsNextSync = true;
    ASSERT_FALSE((*storage)->Persist({ MakeWork(11, 20, 2) }));
  }
  consensus::RecoveredState recovered;
  {
    auto storage = Storage::Open(files, options, self);
    if (!storage) {
      return; // the member stays withdrawn
    }
    recovered = (*storage)->TakeRecoveredState();
  }
  files.LosePower(0, support::FakeFileSystem::Tail::Lost);
  auto storage = Storage::Open(files, options, self);
  ASSERT_TRUE(storage) << storage.LastFailure().mMessage;
  const auto kept = (*storage)->TakeRecoveredState();
  EXPECT_EQ(kept.mEntries.size(), recovered.mEntries.size());
  EXPECT_EQ(kept.mHardState.mTerm, recovered.mHardState.mTerm);
}

} // namespace dogwooddrum::state
