// Measures commits per second with and without group commit, next to the sync
// rate of the disk itself, and the recovery time by log length.
// Usage: CommitRate FOLDER; measures the disk that holds the folder.
#include "dogwooddrum/state/Storage.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <string>

namespace base = dogwooddrum::base;
namespace consensus = dogwooddrum::coordination::consensus;
namespace state = dogwooddrum::state;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kCommandBytes = 200;
constexpr std::uint64_t kConcurrentCallers = 64;
constexpr double kMeasureSeconds = 2; ///< length of each measurement
const base::MemberId kSelf(1);

double
SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

/** Exits with the failure's message if aOutcome failed. */
void
Require(const base::Outcome<bool>& aOutcome)
{
  if (!aOutcome) {
    std::fprintf(stderr, "%s\n", aOutcome.LastFailure().mMessage.c_str());
    std::exit(1);
  }
}

/** Returns the syncs per second of appends of one command's size. */
double
MeasureSyncs(state::FileSystem& aFiles, const std::string& aFolder)
{
  Require(aFiles.CreateFolder(aFolder));
  auto file = aFiles.OpenAppend(aFolder + "/syncs");
  const std::string bytes(kCommandBytes, 'x');
  std::uint64_t syncs = 0;
  const auto start = Clock::now();
  while (SecondsSince(start) < kMeasureSeconds) {
    Require((*file)->Append(bytes));
    Require((*file)->Sync());
    ++syncs;
  }
  return static_cast<double>(syncs) / SecondsSince(start);
}

/** A consensus group of one member on a real disk. */
class SingleMemberGroup
{
public:
  SingleMemberGroup(state::FileSystem& aFiles, const std::string& aFolder)
  {
    auto storage = state::Storage::Open(aFiles, { aFolder }, kSelf);
    if (!storage) {
      Require(storage.LastFailure());
    }
    mStorage = std::move(*storage);
    consensus::RecoveredState recovered = mStorage->TakeRecoveredState();
    recovered.mInitialMembership.mMembers = { { kSelf, "", true } };
    consensus::RaftOptions options;
    options.mSelf = kSelf;
    mRaft = std::make_unique<consensus::Raft>(options, recovered, base::Time());
    mRaft->Tick(base::Time() + 2 * options.mElectionMax);
    PersistAndCommit(); // persists term and vote
    PersistAndCommit(); // persists the first entry of the term
  }

  /** Persists all pending entries with one sync. Returns the number of
   * committed commands. */
  std::uint64_t PersistAndCommit()
  {
    consensus::Ready ready = mRaft->TakeReady();
    if (ready.mPersist) {
      Require(mStorage->Persist({ *ready.mPersist }));
      mRaft->OnPersisted(ready.mPersist->mId, base::Time());
      ready = mRaft->TakeReady();
      if (ready.mPersist) { // a won election appends an entry
        Require(mStorage->Persist({ *ready.mPersist }));
        mRaft->OnPersisted(ready.mPersist->mId, base::Time());
      }
    }
    return ready.mCommitted.size();
  }

  /** Returns the commits per second with aCallers commands in each sync. */
  double MeasureCommits(std::uint64_t aCallers)
  {
    std::uint64_t commits = 0;
    const auto start = Clock::now();
    while (SecondsSince(start) < kMeasureSeconds) {
      for (std::uint64_t i = 0; i < aCallers; ++i) {
        mRaft->Propose(std::string(kCommandBytes, 'x'), base::Time());
      }
      commits += PersistAndCommit();
    }
    return static_cast<double>(commits) / SecondsSince(start);
  }

  /** Appends aEntries commands to the log. */
  void AppendCommands(std::uint64_t aEntries)
  {
    constexpr std::uint64_t kBatch = 1000;
    for (std::uint64_t i = 0; i < aEntries; i += kBatch) {
      for (std::uint64_t j = 0; j < kBatch; ++j) {
        mRaft->Propose(std::string(kCommandBytes, 'x'), base::Time());
      }
      PersistAndCommit();
    }
  }

private:
  std::unique_ptr<state::Storage> mStorage;
  std::unique_ptr<consensus::Raft> mRaft;
};

/** Returns the milliseconds from opening the folder to a recovered member. */
double
MeasureRecovery(state::FileSystem& aFiles,
                const std::string& aFolder,
                std::uint64_t aEntries)
{
  SingleMemberGroup(aFiles, aFolder).AppendCommands(aEntries);
  const auto start = Clock::now();
  auto storage = state::Storage::Open(aFiles, { aFolder }, kSelf);
  const consensus::RecoveredState recovered = (*storage)->TakeRecoveredState();
  consensus::RaftOptions options;
  options.mSelf = kSelf;
  const consensus::Raft raft(options, recovered, base::Time());
  const double milliseconds = SecondsSince(start) * 1e3;
  std::printf("recovery of %8llu entries: %8.1f ms\n",
              static_cast<unsigned long long>(raft.LastIndex().Value()),
              milliseconds);
  return milliseconds;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc != 2) {
    std::fprintf(stderr, "usage: CommitRate FOLDER\n");
    return 2;
  }
  const std::string folder = std::string(aArgv[1]) + "/commit-rate";
  std::filesystem::remove_all(folder);
  const auto files = state::MakePosixFileSystem();
  const double syncs = MeasureSyncs(*files, folder);
  const double single =
    SingleMemberGroup(*files, folder + "/single").MeasureCommits(1);
  const double grouped = SingleMemberGroup(*files, folder + "/grouped")
                           .MeasureCommits(kConcurrentCallers);
  std::printf("syncs a second:                 %10.0f\n", syncs);
  std::printf("commits a second, 1 caller:     %10.0f\n", single);
  std::printf("commits a second, %llu callers:   %10.0f\n",
              static_cast<unsigned long long>(kConcurrentCallers),
              grouped);
  constexpr std::uint64_t kEntriesPerUnit = 10000;
  double longest = 0;
  constexpr std::uint64_t kMaxUnits = 16;
  for (std::uint64_t units = 1; units <= kMaxUnits; units *= 4) {
    longest = MeasureRecovery(*files,
                              folder + "/recovery-" + std::to_string(units),
                              units * kEntriesPerUnit);
  }
  std::filesystem::remove_all(folder);
  std::printf("commit sync_per_s=%.0f single_per_s=%.0f grouped_per_s=%.0f "
              "recovery_ms_per_10k=%.1f\n",
              syncs,
              single,
              grouped,
              longest / kMaxUnits);
  return 0;
}
