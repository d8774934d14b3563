#include "dogwooddrum/daemon/DataFolder.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/protocol/Codec.h"

#include <algorithm>
#include <filesystem>
#include <random>

namespace dogwooddrum::daemon {

namespace {

using coordination::consensus::Member;
using coordination::consensus::Membership;

constexpr const char* kFoundingFileName = "founding";
constexpr const char* kLogFolder = "/log";

Membership
MakeInitialMembership(const service::ControlSettings& aSettings,
                      bool aIsSelfVoter)
{
  Membership membership;
  for (const auto& peer : aSettings.mPeers) {
    Member member;
    member.mId = peer.mId;
    member.mAddress = service::ToString(peer.mAddress);
    member.mVoter = aIsSelfVoter || peer.mId != aSettings.mMemberId;
    membership.mMembers.push_back(std::move(member));
  }
  std::sort(membership.mMembers.begin(),
            membership.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mId < aRight.mId;
            });
  return membership;
}

std::string
ParentFolder(const std::string& aFolder)
{
  std::filesystem::path path(aFolder);
  if (!path.has_filename()) {
    path = path.parent_path(); // drops a slash at the end
  }
  const std::string parent = path.parent_path().string();
  return parent.empty() ? "." : parent;
}

/**
 * Writes the founding file atomically: after a crash it is complete or absent.
 * The data folder and the log folder are durable before it. A founding file
 * without a log is refused, and a member whose data folder is lost would come
 * back as one that lost its disk.
 */
base::Outcome<bool>
WriteFoundingFile(state::FileSystem& aFiles,
                  const std::string& aFolder,
                  const Membership& aMembership)
{
  const std::string temporary = aFolder + "/" + kFoundingFileName + ".tmp";
  aFiles.Remove(temporary); // may remain from a crash, or not exist
  auto file = aFiles.OpenAppend(temporary);
  if (!file) {
    return file.LastFailure();
  }
  auto done = (*file)->Append(protocol::Encode(aMembership));
  if (done) {
    done = (*file)->Sync();
  }
  if (done) {
    done = aFiles.SyncFolder(ParentFolder(aFolder));
  }
  if (done) {
    done = aFiles.SyncFolder(aFolder);
  }
  if (done) {
    done = aFiles.Rename(temporary, aFolder + "/" + kFoundingFileName);
  }
  return done ? aFiles.SyncFolder(aFolder) : done;
}

base::Outcome<Membership>
ReadFoundingFile(state::FileSystem& aFiles, const std::string& aPath)
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

/** Derives the id of a seed from its address, so that all initial members
 * compute the same ids. */
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
IsEmpty(const coordination::consensus::RecoveredState& aState)
{
  return aState.mEntries.empty() && !aState.mSnapshot &&
         aState.mHardState.mTerm.Value() == 0;
}

} // namespace

base::Outcome<bool>
BootstrapDataFolder(state::FileSystem& aFiles,
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
  // Creates the log's identity file; a later start fails if the log is gone.
  state::StorageOptions options;
  options.mFolder = folder + kLogFolder;
  const auto log = state::Storage::Open(aFiles, options, aSettings.mMemberId);
  if (!log) {
    return log.LastFailure();
  }
  return WriteFoundingFile(
    aFiles, folder, MakeInitialMembership(aSettings, true));
}

base::Outcome<bool>
HasFoundingFile(state::FileSystem& aFiles,
                const service::ControlSettings& aSettings)
{
  const auto created = aFiles.CreateFolder(aSettings.mDataFolder);
  if (!created) {
    return created.LastFailure();
  }
  const auto names = aFiles.List(aSettings.mDataFolder);
  if (!names) {
    return names.LastFailure();
  }
  return std::count(names->begin(), names->end(), kFoundingFileName) > 0;
}

base::Outcome<service::ControlSettings>
ResolveMemberSettings(state::FileSystem& aFiles,
                      const service::CommonSettings& aCommon,
                      const service::ControlSettings& aSettings)
{
  service::ControlSettings settings = aSettings;
  bool isSeed = false;
  for (const auto& seed : *settings.mSeeds) {
    const service::Address address{ seed.mIp, aCommon.mLinkPort };
    isSeed = isSeed || seed.mIp == aCommon.mBindAddress;
    settings.mPeers.push_back({ SeedMemberId(seed.mIp), address });
  }
  const auto founded = HasFoundingFile(aFiles, settings);
  if (!founded) {
    return founded.LastFailure();
  }
  const std::string logFolder = settings.mDataFolder + kLogFolder;
  auto identity = state::ReadIdentity(aFiles, logFolder);
  if (!identity) {
    return identity.LastFailure();
  }
  const bool isBootstrapping = !*founded && settings.mBootstrap && isSeed;
  if (!isBootstrapping) {
    settings.mPeers.clear();
  }
  const base::MemberId newId =
    isBootstrapping ? SeedMemberId(aCommon.mBindAddress) : RandomMemberId();
  if (*identity && !*founded && **identity != newId) {
    // An earlier start ended before the founding file was written. Under its
    // old id, a seed would count as a voter for the others, but without the
    // initial membership it would never stand for election.
    const auto removed = state::RemoveUnusedIdentity(aFiles, logFolder);
    if (!removed) {
      return removed.LastFailure();
    }
    *identity = std::nullopt;
  }
  settings.mMemberId = *identity ? **identity : newId;
  if (isBootstrapping) {
    state::StorageOptions options;
    options.mFolder = logFolder;
    const auto log = state::Storage::Open(aFiles, options, settings.mMemberId);
    if (!log) {
      return log.LastFailure();
    }
    const auto written = WriteFoundingFile(
      aFiles, settings.mDataFolder, MakeInitialMembership(settings, true));
    if (!written) {
      return written.LastFailure();
    }
  }
  return settings;
}

base::Outcome<OpenedDataFolder>
OpenDataFolder(state::FileSystem& aFiles,
               const service::ControlSettings& aSettings)
{
  const std::string& folder = aSettings.mDataFolder;
  const auto hasFoundingFile = HasFoundingFile(aFiles, aSettings);
  if (!hasFoundingFile) {
    return hasFoundingFile.LastFailure();
  }
  const bool founded = *hasFoundingFile;
  state::StorageOptions options;
  options.mFolder = folder + kLogFolder;
  options.mIsExistingMember = founded;
  auto storage = state::Storage::Open(aFiles, options, aSettings.mMemberId);
  if (!storage) {
    return storage.LastFailure();
  }
  OpenedDataFolder opened;
  opened.mStorage = std::move(*storage);
  opened.mRecovered = opened.mStorage->TakeRecoveredState();
  if (founded) {
    auto membership =
      ReadFoundingFile(aFiles, folder + "/" + kFoundingFileName);
    if (!membership) {
      return membership.LastFailure();
    }
    opened.mRecovered.mInitialMembership = std::move(*membership);
    return opened;
  }
  if (!IsEmpty(opened.mRecovered)) {
    return base::Failure{ base::Reason::StorageFailed,
                          folder + "/" + kFoundingFileName +
                            " is missing although the log has entries" };
  }
  opened.mRecovered.mInitialMembership =
    MakeInitialMembership(aSettings, false);
  const auto written =
    WriteFoundingFile(aFiles, folder, opened.mRecovered.mInitialMembership);
  if (!written) {
    return written.LastFailure();
  }
  return opened;
}

} // namespace dogwooddrum::daemon
