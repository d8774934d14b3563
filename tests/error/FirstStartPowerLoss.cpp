// Guards against a control member that refuses to start, or takes part under
// the id of a founding member without its membership, after its first start was
// interrupted.
#include "dogwooddrum/daemon/DataFolder.h"
#include "tests/support/FakeFileSystem.h"

#include <gtest/gtest.h>

#include <functional>

namespace dogwooddrum::daemon {

namespace {

using support::FakeFileSystem;

const char* const kSeedIps[] = { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
const char* const kDataFolder = "disk/data";
// More than the file operations of one start.
constexpr std::uint64_t kMaxChanges = 60;
constexpr std::uint64_t kAllChanges = ~0ULL;

/** Result of a start: the state with which consensus would run. */
struct Started
{
  base::MemberId mId;
  OpenedDataFolder mFolder;
};

/** Starts the member at the first seed as ControlHost does. */
base::Outcome<Started>
Start(FakeFileSystem& aFiles, bool aBootstrap)
{
  service::CommonSettings common;
  common.mBindAddress = kSeedIps[0];
  common.mLinkPort = 9000;
  service::ControlSettings settings;
  settings.mDataFolder = kDataFolder;
  settings.mBootstrap = aBootstrap;
  settings.mSeeds.emplace();
  for (const char* ip : kSeedIps) {
    settings.mSeeds->push_back({ ip, 9000 });
  }
  const auto resolved = ResolveMemberSettings(aFiles, common, settings);
  if (!resolved) {
    return resolved.LastFailure();
  }
  auto opened = OpenDataFolder(aFiles, *resolved);
  if (!opened) {
    return opened.LastFailure();
  }
  return Started{ resolved->mMemberId, std::move(*opened) };
}

/** Returns the id of the first seed in a new group. */
base::MemberId
SeedId()
{
  FakeFileSystem files;
  const auto started = Start(files, true);
  EXPECT_TRUE(started) << started.LastFailure().mMessage;
  return started ? started->mId : base::MemberId();
}

/** Returns what is wrong with a start, or an empty text: a member has either
 * the seed id and the initial membership, or a new id and no membership. */
std::string
FindMismatch(const base::Outcome<Started>& aStarted, base::MemberId aSeed)
{
  if (!aStarted) {
    return aStarted.LastFailure().mMessage;
  }
  const auto& members =
    aStarted->mFolder.mRecovered.mInitialMembership.mMembers;
  const bool isSeed = aStarted->mId == aSeed;
  return members.size() == (isSeed ? std::size(kSeedIps) : 0)
           ? ""
           : std::string(isSeed ? "seed" : "new") + " id with " +
               std::to_string(members.size()) + " members";
}

} // namespace

// A seed that stopped before its founding file was written came back under its
// seed id, which the others count as a voter, but with an empty membership.
TEST(FirstStartPowerLoss, SeedThatIsNotFoundedRejoinsUnderNewId)
{
  const base::MemberId seed = SeedId();
  std::size_t unfounded = 0;
  for (std::uint64_t changes = 0; changes < kMaxChanges; ++changes) {
    FakeFileSystem files;
    files.mRemainingChanges = changes;
    Start(files, true);
    files.LosePower(kAllChanges, FakeFileSystem::Tail::Kept);
    base::MemberId id;
    {
      const auto started = Start(files, false);
      ASSERT_EQ(FindMismatch(started, seed), "") << changes;
      id = started->mId;
    }
    unfounded += id == seed ? 0 : 1;
    const auto again = Start(files, false);
    ASSERT_TRUE(again) << again.LastFailure().mMessage;
    EXPECT_EQ(again->mId, id) << changes;
  }
  EXPECT_GT(unfounded, 5U);
  EXPECT_LT(unfounded, kMaxChanges);
}

// A vote binds the id under which it was given, even if the founding file is
// gone: such a member must not come back under a new id on the same disk.
TEST(FirstStartPowerLoss, LogWithVoteButNoFoundingFileIsRefused)
{
  FakeFileSystem files;
  {
    const auto started = Start(files, true);
    ASSERT_TRUE(started) << started.LastFailure().mMessage;
    coordination::consensus::PersistWork work;
    work.mHardState = { base::Term(1), started->mId };
    ASSERT_TRUE(started->mFolder.mStorage->Persist({ work }));
  }
  files.mFiles.erase(std::string(kDataFolder) + "/founding");
  EXPECT_FALSE(Start(files, false));
  EXPECT_FALSE(Start(files, false)) << "the first refusal changed the folder";
}

// The founding file could survive a loss of power that lost the folder of the
// log, and the data folder could be lost with the votes in it: the first is
// refused for good, the second lets a founding member come back as a new one.
TEST(FirstStartPowerLoss, LossOfAnyUnsyncedChangeLeavesAMemberThatStarts)
{
  const base::MemberId seed = SeedId();
  for (const bool bootstrapsAgain : { false, true }) {
    for (std::uint64_t changes = 0; changes < kMaxChanges; ++changes) {
      const auto interrupt = [changes](FakeFileSystem& aFiles) {
        aFiles.mRemainingChanges = changes;
        return static_cast<bool>(Start(aFiles, true));
      };
      FakeFileSystem probe;
      interrupt(probe);
      ASSERT_LE(probe.UnsyncedChanges(), 10U);
      const std::uint64_t sets = 1ULL << probe.UnsyncedChanges();
      for (std::uint64_t kept = 0; kept < sets; ++kept) {
        for (const auto tail : { FakeFileSystem::Tail::Lost,
                                 FakeFileSystem::Tail::Torn,
                                 FakeFileSystem::Tail::Kept }) {
          FakeFileSystem files;
          const bool isStarted = interrupt(files);
          files.LosePower(kept, tail);
          const auto next = Start(files, bootstrapsAgain);
          const std::string mismatch = FindMismatch(next, seed);
          EXPECT_EQ(mismatch, "") << changes << " changes, kept " << kept;
          if (mismatch.empty() && (isStarted || bootstrapsAgain)) {
            EXPECT_EQ(next->mId, seed) << changes << " changes, kept " << kept;
          }
        }
      }
    }
  }
}

// The removal of the id of an interrupted first start can itself be
// interrupted.
TEST(FirstStartPowerLoss, InterruptedRejoinLeavesAMemberThatStarts)
{
  const base::MemberId seed = SeedId();
  for (std::uint64_t changes = 0; changes < kMaxChanges; ++changes) {
    for (std::uint64_t more = 0; more < kMaxChanges; ++more) {
      bool isStarted = false;
      base::MemberId id;
      const auto interrupt = [&](FakeFileSystem& aFiles) {
        aFiles.mRemainingChanges = changes;
        Start(aFiles, true);
        aFiles.LosePower(kAllChanges, FakeFileSystem::Tail::Kept);
        aFiles.mRemainingChanges = more;
        const auto started = Start(aFiles, false);
        isStarted = static_cast<bool>(started);
        id = started ? started->mId : base::MemberId();
      };
      FakeFileSystem probe;
      interrupt(probe);
      ASSERT_LE(probe.UnsyncedChanges(), 10U);
      const std::uint64_t sets = 1ULL << probe.UnsyncedChanges();
      for (std::uint64_t kept = 0; kept < sets; ++kept) {
        FakeFileSystem files;
        interrupt(files);
        files.LosePower(kept, FakeFileSystem::Tail::Torn);
        const auto next = Start(files, false);
        const std::string mismatch = FindMismatch(next, seed);
        EXPECT_EQ(mismatch, "") << changes << ", " << more << ", " << kept;
        if (mismatch.empty() && isStarted) {
          EXPECT_EQ(next->mId, id) << changes << ", " << more << ", " << kept;
        }
      }
    }
  }
}

} // namespace dogwooddrum::daemon
