#include "dogwooddrum/daemon/ControlCoreSettings.h"

#include <random>
#include <sstream>

namespace dogwooddrum::daemon {

namespace {

std::set<base::ZoneId>
SplitZones(const std::string& aText)
{
  std::set<base::ZoneId> zones;
  std::istringstream in(aText);
  for (std::string name; std::getline(in, name, ',');) {
    const auto first = name.find_first_not_of(' ');
    if (first != std::string::npos) {
      const auto last = name.find_last_not_of(' ');
      zones.insert(base::ZoneId(name.substr(first, last - first + 1)));
    }
  }
  return zones;
}

} // namespace

ControlCoreOptions
MakeCoreOptions(const service::ControlSettings& aSettings)
{
  std::random_device device;
  ControlCoreOptions options;
  options.mSnapshots.mEntries = aSettings.mSnapshotEntries;
  options.mSnapshots.mBytes =
    static_cast<std::uint64_t>(aSettings.mSnapshotLogMb) << 20;
  options.mRaft.mSelf = aSettings.mMemberId;
  options.mRaft.mSeed = device();
  auto& coordinator = options.mCoordinator;
  coordinator.mSelf = aSettings.mMemberId;
  coordinator.mSeed = device();
  coordinator.mMaxQueuedJobs = aSettings.mMaxQueuedJobs;
  coordinator.mMaxStoredAnswerBytes =
    static_cast<std::uint64_t>(aSettings.mMaxStoredAnswerMb) << 20;
  coordinator.mAnswerRetention = aSettings.mAnswerRetention;
  auto& placer = coordinator.mPlacer;
  placer.mPreemption = aSettings.mPreemption;
  placer.mCompaction = aSettings.mCompaction;
  placer.mPreemptionGrace = aSettings.mPreemptionGrace;
  placer.mReservationAge = aSettings.mReservationAge;
  placer.mCompactionMovesPerMinute = aSettings.mCompactionMovesPerMinute;
  placer.mInteractiveBorrowShare = aSettings.mInteractiveBorrowPercent / 100.0;
  placer.mFailuresToQuarantine = aSettings.mFailuresToQuarantine;
  placer.mQuarantineTime = aSettings.mQuarantineTime;
  auto& workloads = coordinator.mWorkloads;
  workloads.mTaskLease = aSettings.mTaskLease;
  workloads.mStopTime = aSettings.mStopTime;
  workloads.mRestoreTime = aSettings.mRestoreTime;
  workloads.mEvacuationTime = aSettings.mEvacuationTime;
  workloads.mZones = SplitZones(aSettings.mZones);
  workloads.mPolicies = aSettings.mPolicies;
  if (aSettings.mSeeds) {
    options.mRepair.emplace();
    options.mRepair->mIntendedVoters = 2 * aSettings.mToleratedLosses + 1;
  }
  return options;
}

} // namespace dogwooddrum::daemon
