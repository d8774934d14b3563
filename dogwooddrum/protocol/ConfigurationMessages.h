/** \file
 * Defines the configuration of a region, its changes and their outcome, and
 * the polls with which an entry checks that its configuration is current.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/protocol/JobMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::protocol {

/** One guaranteed shape: mCount blocks of mAccelerators each; the accelerators
 * of a block are adjacent at mLevel. */
struct GuaranteedShape
{
  std::uint32_t mCount = 1;
  std::uint32_t mAccelerators = 0;
  Adjacency mLevel = Adjacency::Worker;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCount, mAccelerators, mLevel);
  }
};

/** A client account with its guarantees and limits. */
struct ClientAccount
{
  base::AccountId mName;
  std::vector<GuaranteedShape> mGuarantees;
  std::uint32_t mRequestsPerSecond = 1000; ///< token bucket rate and burst
  std::uint32_t mConcurrentRequests = 1000;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mGuarantees, mRequestsPerSecond, mConcurrentRequests);
  }
};

/** A named set of scheduling rules that callers select for their jobs. */
struct Profile
{
  base::ProfileId mName;
  std::int32_t mPriority = 0; ///< higher values are placed first
  bool mPreemptible = true;
  bool mInteractive = false; ///< may borrow a bounded share only
  bool mMayWait = true; ///< false: refuse instead of queueing when shedding
  std::uint32_t mRetryBudget = 2;  ///< attempts after the first
  std::uint64_t mDeadlineMs = 0;   ///< default deadline; 0 means none
  std::uint64_t mMaxReserveMs = 0; ///< reservation age limit; 0: default
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName,
             mPriority,
             mPreemptible,
             mInteractive,
             mMayWait,
             mRetryBudget,
             mDeadlineMs,
             mMaxReserveMs);
  }
};

/** The accepted configuration of a region. */
struct Configuration
{
  base::ConfigurationVersion mVersion;
  std::vector<ClientAccount> mAccounts; ///< sorted by name
  std::vector<Profile> mProfiles;       ///< sorted by name
  std::vector<base::WorkerId> mDrained; ///< sorted
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mAccounts, mProfiles, mDrained);
  }
};

struct RemoveAccount
{
  base::AccountId mName;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName);
  }
};

struct RemoveProfile
{
  base::ProfileId mName;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName);
  }
};

/** Stops or allows new work on a worker. */
struct DrainWorker
{
  base::WorkerId mWorker;
  bool mDrain = true;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mDrain);
  }
};

/** One change; accounts and profiles are inserted or replaced by name. */
using ConfigurationEdit = std::
  variant<ClientAccount, Profile, RemoveAccount, RemoveProfile, DrainWorker>;

/**
 * A change requested by an operator. Accepted only if mBaseVersion is the
 * current version; a resend with the same mChangeId gets the first outcome.
 */
struct ChangeRequest
{
  base::ChangeId mChangeId;
  base::ConfigurationVersion mBaseVersion;
  ConfigurationEdit mEdit;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mChangeId, mBaseVersion, mEdit);
  }
};

/** Outcome of a change: accepted with its new version, or refused with the
 * version of the current configuration and, after a conflict, the id of the
 * change that produced that version. */
struct ChangeOutcome
{
  bool mAccepted = false;
  base::ConfigurationVersion mVersion;
  base::Reason mReason = base::Reason::None;
  base::ChangeId
    mWinningChange; ///< for VersionConflict: change that made mVersion
  std::string mMessage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccepted, mVersion, mReason, mWinningChange, mMessage);
  }
};

// Freshness of configuration at entries.

struct FreshnessPoll
{
  std::uint64_t mSequence = 0;
  base::ConfigurationVersion mHeldVersion;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mHeldVersion);
  }
};

struct FreshnessReply
{
  std::uint64_t mSequence = 0;
  base::Term mTerm;
  base::ConfigurationVersion mVersion;
  std::optional<Configuration> mBody; ///< set if newer than mHeldVersion
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mTerm, mVersion, mBody);
  }
};

} // namespace dogwooddrum::protocol
