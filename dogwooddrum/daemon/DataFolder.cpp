#include "dogwooddrum/daemon/DataFolder.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/protocol/Codec.h"

#include <algorithm>
#include <random>

namespace dogwooddrum::daemon {

namespace {

using coordination::consensus::Member;
using coordination::consensus::Membership;

constexpr const char* kFoundingName = "founding";
constexpr const char* kLogFolder = "/log";

Membership
FirstMembership(const service::ControlSettings& aSettings, bool aSelfVotes)
{
  Membership membership;
  for (const auto& peer : aSettings.mPeers) {
    Member member;
    member.mId = peer.mId;
    member.mAddress = service::ToString(peer.mAddress);
    member.mVoter = aSelfVotes || peer.mId != aSettings.mMemberId;
    membership.mMembers.push_back(std::move(member));
  }
  std::sort(membership.mMembers.begin(),
            membership.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mId < aRight.mId;
            });
  return membership;
}

/** Writes the file so that it is whole or absent after a crash. */
base::Outcome<bool>
WriteFounding(state::FileSystem& aFiles,
              const std::string& aFolder,
              const Membership& aMembership)
{
  const std::string temporary = aFolder + "/" + kFoundingName + ".tmp";
  aFiles.Remove(temporary); // may be left from a crash, or not exist
  auto file = aFiles.OpenAppend(temporary);
  if (!file) {
    return file.LastFailure();
  }
  auto done = (*file)->Append(protocol::Encode(aMembership));
  if (done) {
    done = (*file)->Sync();
  }
  if (done) {
    done = aFiles.Rename(temporary, aFolder + "/" + kFoundingName);
  }
  return done ? aFiles.SyncFolder(aFolder) : done;
}

base::Outcome<Membership>
ReadFounding(state::FileSystem& aFiles, const std::string& aPath)
{
  const auto bytes = aFiles.Read(aPath);
  if (!bytes) {
    return bytes.LastFailure();
  }
  auto membership = protocol::Decode<Membership>(*bytes);
  if (!membership) {
    return base::Failure{ base::Reason::CorruptLog,
                          aPath + ": " + membership.LastFailure().mMessage };
  }
  return membership;
}

/** All first members derive the same ids from the seeds' addresses. */
base::MemberId
SeedMemberId(const std::string& aIp)
{
  constexpr std::uint64_t kIdMask = (1ULL << 62) - 1;
  return base::MemberId((base::Checksum(aIp) & kIdMask) | 1U);
}

base::MemberId
RandomMemberId()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw(1, (1ULL << 62) - 1);
  return base::MemberId(draw(device));
}

bool
Empty(const coordination::consensus::RecoveredState& aState)
{
  return aState.mEntries.empty() && !aState.mSnapshot &&
         aState.mHardState.mTerm.Value() == 0;
}

} // namespace

base::Outcome<bool>
FoundDataFolder(state::FileSystem& aFiles,
                const service::ControlSettings& aSettings)
{
  const std::string& folder = aSettings.mDataFolder;
  const auto created = aFiles.CreateFolder(folder);
  if (!created) {
    return created.LastFailure();
  }
  const auto names = aFiles.List(folder);
  if (!names) {
    return names.LastFailure();
  }
  if (!names->empty()) {
    return base::Failure{ base::Reason::StorageFailed,
                          "data folder " + folder + " is not empty, it holds " +
                            names->front() };
  }
  // Creates the log's identity; a later start refuses a log that is gone.
  state::StorageOptions options;
  options.mFolder = folder + kLogFolder;
  const auto log = state::Storage::Open(aFiles, options, aSettings.mMemberId);
  if (!log) {
    return log.LastFailure();
  }
  return WriteFounding(aFiles, folder, FirstMembership(aSettings, true));
}

base::Outcome<bool>
IsFounded(state::FileSystem& aFiles, const service::ControlSettings& aSettings)
{
  const auto created = aFiles.CreateFolder(aSettings.mDataFolder);
  if (!created) {
    return created.LastFailure();
  }
  const auto names = aFiles.List(aSettings.mDataFolder);
  if (!names) {
    return names.LastFailure();
  }
  return std::count(names->begin(), names->end(), kFoundingName) > 0;
}

base::Outcome<service::ControlSettings>
ResolveMember(state::FileSystem& aFiles,
              const service::CommonSettings& aCommon,
              const service::ControlSettings& aSettings)
{
  service::ControlSettings settings = aSettings;
  bool isSeed = false;
  for (const auto& seed : settings.mSeeds) {
    const service::Address address{ seed.mIp, aCommon.mLinkPort };
    isSeed = isSeed || seed.mIp == aCommon.mBindAddress;
    settings.mPeers.push_back({ SeedMemberId(seed.mIp), address });
  }
  const auto founded = IsFounded(aFiles, settings);
  if (!founded) {
    return founded.LastFailure();
  }
  const auto identity =
    state::ReadIdentity(aFiles, settings.mDataFolder + kLogFolder);
  if (!identity) {
    return identity.LastFailure();
  }
  const bool founds = !*founded && settings.mBootstrap && isSeed;
  if (!founds) {
    settings.mPeers.clear();
  }
  if (*identity) {
    settings.mMemberId = **identity;
  } else {
    settings.mMemberId =
      founds ? SeedMemberId(aCommon.mBindAddress) : RandomMemberId();
  }
  if (founds) {
    state::StorageOptions options;
    options.mFolder = settings.mDataFolder + kLogFolder;
    const auto log = state::Storage::Open(aFiles, options, settings.mMemberId);
    if (!log) {
      return log.LastFailure();
    }
    const auto written = WriteFounding(
      aFiles, settings.mDataFolder, FirstMembership(settings, true));
    if (!written) {
      return written.LastFailure();
    }
  }
  return settings;
}

base::Outcome<OpenedFolder>
OpenDataFolder(state::FileSystem& aFiles,
               const service::ControlSettings& aSettings)
{
  const std::string& folder = aSettings.mDataFolder;
  const auto isFounded = IsFounded(aFiles, aSettings);
  if (!isFounded) {
    return isFounded.LastFailure();
  }
  const bool founded = *isFounded;
  state::StorageOptions options;
  options.mFolder = folder + kLogFolder;
  options.mExpectExisting = founded;
  auto storage = state::Storage::Open(aFiles, options, aSettings.mMemberId);
  if (!storage) {
    return storage.LastFailure();
  }
  OpenedFolder opened;
  opened.mStorage = std::move(*storage);
  opened.mRecovered = opened.mStorage->TakeRecovered();
  if (founded) {
    auto membership = ReadFounding(aFiles, folder + "/" + kFoundingName);
    if (!membership) {
      return membership.LastFailure();
    }
    opened.mRecovered.mInitialMembership = std::move(*membership);
    return opened;
  }
  if (!Empty(opened.mRecovered)) {
    return base::Failure{ base::Reason::StorageFailed,
                          folder + "/" + kFoundingName +
                            " is missing although the log has entries" };
  }
  opened.mRecovered.mInitialMembership = FirstMembership(aSettings, false);
  const auto written =
    WriteFounding(aFiles, folder, opened.mRecovered.mInitialMembership);
  if (!written) {
    return written.LastFailure();
  }
  return opened;
}

} // namespace dogwooddrum::daemon
