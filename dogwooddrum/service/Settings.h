/** \file
 * Defines Settings, the typed settings of a daemon, their parser and the
 * generated reference of all keys.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Policies.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwooddrum::service {

/** Exit status of a program whose arguments or settings are wrong. */
constexpr int kUsageErrorExitStatus = 2;

/** Role of a daemon, from the key role in section [common]. */
enum class Role : std::uint8_t
{
  Entry,
  Control,
  Agent,
};

/** Returns "entry", "control" or "agent". Thread safe. */
std::string_view
ToString(Role aRole);

/** Numeric IP address and port. */
struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

/** Returns ip:port, with brackets around an IPv6 address. Thread safe. */
std::string
ToString(const Address& aAddress);

/** Returns the address in ip:port form, or InvalidRequest. Thread safe. */
base::Outcome<Address>
ParseAddress(std::string_view aText);

/** Link address of a control member. */
struct Peer
{
  base::MemberId mId;
  Address mAddress;
};

/** Section [common], for every role. */
struct CommonSettings
{
  Role mRole = Role::Entry;
  std::string mName;
  std::string mRegion;
  base::ZoneId mZone;
  std::string mBindAddress;
  std::uint16_t mHttpPort = 0;
  std::uint16_t mLinkPort = 0; ///< control only; 0 for the other roles
  std::string mKeyFile;
  std::string mKey; ///< used instead of a key file if it is not empty
  std::string mOperatorKeyFile; ///< empty: operator requests are refused
  std::string mLogLevel;
  std::string mLogFile; ///< empty: standard error
  base::Duration mDrainDelay{};
  base::Duration mShutdownLimit{}; ///< 0: none
  std::uint32_t mNetworkThreads = 1;
  std::uint32_t mRequestMemoryMb = 0; ///< of the requests of one HTTP port
  std::uint32_t mMaxFields = 0;       ///< of one HTTP request
  base::Duration mHeaderTimeout{};
  base::Duration mReceiveTimeout{}; ///< of a whole HTTP request
};

/** Section [entry]. */
struct EntrySettings
{
  std::vector<Address> mControlAddresses;
  std::uint32_t mQueueBound = 0; ///< most requests that wait for the leader
  std::uint32_t mConcurrentRequests = 0;
  std::uint32_t mConnections = 0; ///< most open connections of callers
  std::uint32_t mRetryBudgetPercent = 0;
  base::Duration mRequestTimeout{};
  std::uint16_t mControlLinkPort = 0; ///< 0: as in the addresses
  std::optional<Address> mFrontendAddress;
  std::optional<Address> mReadinessAddress;
  base::Duration mCatalogAge{};
  base::Duration mCatalogPoll{};
};

/** Section [control]. */
struct ControlSettings
{
  base::MemberId mMemberId;
  std::vector<Peer> mPeers; ///< in the order of the file, with this member
  std::string mDataFolder;
  std::uint32_t mSnapshotEntries = 0;
  std::uint32_t mSnapshotLogMb = 0;
  std::uint32_t mMaxQueuedJobs = 0;
  std::uint32_t mMaxStoredAnswerMb = 0;
  base::Duration mAnswerRetention{};
  bool mPreemption = true;
  bool mCompaction = true;
  base::Duration mPreemptionGrace{};
  base::Duration mReservationAge{};
  std::uint32_t mCompactionMovesPerMinute = 0;
  std::uint32_t mInteractiveBorrowPercent = 0;
  std::uint32_t mFailuresToQuarantine = 0;
  base::Duration mQuarantineTime{};
  /** None: mMemberId and mPeers define the group. Empty: no member was known
   * when the file was written. */
  std::optional<std::vector<Address>> mSeeds;
  bool mBootstrap = false;
  std::uint32_t mToleratedLosses = 1;
  std::optional<Address> mOperatorAddress;
  base::Duration mTaskLease{};
  base::Duration mStopTime{};
  base::Duration mRestoreTime{};
  base::Duration mEvacuationTime{}; ///< 0: starts have no time limit
  std::string mZones;               ///< separated by commas; empty: not known
  coordination::workloads::Policies mPolicies;
};

/** Section [agent]. */
struct AgentSettings
{
  base::WorkerId mWorker;
  base::RackId mRack;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  Address mTargetAddress;
  std::vector<Address> mControlAddresses;
  std::uint16_t mControlLinkPort = 0; ///< 0: as in the addresses
  /**
   * Address at which the target announces itself; it then replaces mWorker,
   * mRack, mAccelerators and mTargetAddress.
   */
  std::optional<Address> mAnnounceAddress;
};

/** All settings of one daemon; only mCommon and its role's section are set. */
struct Settings
{
  CommonSettings mCommon;
  EntrySettings mEntry;
  ControlSettings mControl;
  AgentSettings mAgent;
};

/** A setting of the command line, which replaces that of the file. An empty
 * value leaves the file's. */
struct SettingOverride
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
};

/** Parses SECTION.KEY=VALUE. The failure is InvalidRequest with a message that
 * names the text. Thread safe. */
base::Outcome<SettingOverride>
ParseSettingOverride(const std::string& aText);

/**
 * Parses settings from INI text, with the overrides in their order. aFile is
 * used in messages only. The failure is InvalidRequest with one message that
 * names the file, section, key, value and the allowed values. Opens no file or
 * socket. Thread safe.
 */
base::Outcome<Settings>
ParseSettings(const std::string& aText,
              const std::string& aFile,
              const std::vector<SettingOverride>& aOverrides = {});

/** Returns the content of a settings file. Thread safe. */
base::Outcome<std::string>
ReadSettingsFile(const std::string& aFile);

/** Reads aFile and parses it with ParseSettings. Thread safe. */
base::Outcome<Settings>
LoadSettings(const std::string& aFile,
             const std::vector<SettingOverride>& aOverrides = {});

/** Returns the reference of all keys as Markdown (docs/settings.md). */
std::string
SettingsReference();

} // namespace dogwooddrum::service
