#include "dogwooddrum/coordination/workloads/ObservationPublisher.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A change is written to the disks of the control group, and a new leader
 * learns as much again in a few seconds. */
constexpr base::Duration kPublishInterval = std::chrono::seconds(5);

/** One kind of observation. A leader adds what it has learned, and compares and
 * adopts what is published. */
struct Source
{
  void (*mCollect)(const LeaderContext& aLeader, Observations& aObservations);
  /** Returns whether the difference is worth a change. */
  bool (*mDiffers)(const Observations& aPublished, const Observations& aNew);
  void (*mAdopt)(LeaderContext& aLeader, const Observations& aPublished);
};

void
CollectSpeeds(const LeaderContext& aLeader, Observations& aObservations)
{
  aObservations.mSpeeds = aLeader.mWorkerSpeeds.Observed();
}

/** Returns whether a worker's slowness differs by as much as placement
 * heeds. */
bool
SpeedsDiffer(const Observations& aPublished, const Observations& aNew)
{
  constexpr double kWhole = 1000;
  std::map<std::string, std::pair<double, double>> slowness;
  for (const ObservedSpeed& speed : aPublished.mSpeeds) {
    slowness[speed.mAgentName] = { speed.mSlownessPermille, kWhole };
  }
  for (const ObservedSpeed& speed : aNew.mSpeeds) {
    const auto it =
      slowness.try_emplace(speed.mAgentName, kWhole, kWhole).first;
    it->second.second = speed.mSlownessPermille;
  }
  return std::any_of(slowness.begin(), slowness.end(), [](const auto& aSpeed) {
    const auto [before, after] = aSpeed.second;
    return std::max(before, after) >= kLeastSlowness * std::min(before, after);
  });
}

void
AdoptSpeeds(LeaderContext& aLeader, const Observations& aPublished)
{
  if (aLeader.mOptions.mPolicies.mWorkerSpeeds) {
    aLeader.mWorkerSpeeds.Adopt(aPublished.mSpeeds);
  }
}

void
CollectRunTimes(const LeaderContext& aLeader, Observations& aObservations)
{
  aObservations.mRunTimes = aLeader.mRunTimeModel.Export();
}

/** Returns the counts by class. */
std::map<std::tuple<QueueKey, base::AccountId, std::uint32_t>,
         std::vector<std::uint32_t>>
CountsByClass(const Observations& aObservations)
{
  std::map<std::tuple<QueueKey, base::AccountId, std::uint32_t>,
           std::vector<std::uint32_t>>
    counts;
  for (const ObservedRunTimes& each : aObservations.mRunTimes) {
    counts[{ each.mQueue, each.mAccount, each.mWidthClass }] =
      each.mRunTimeCounts;
  }
  return counts;
}

/** Returns whether a quarter of the counts is new. */
bool
RunTimesDiffer(const Observations& aPublished, const Observations& aNew)
{
  constexpr std::uint64_t kLeastShare = 4;
  const auto published = CountsByClass(aPublished);
  std::uint64_t total = 0;
  std::uint64_t changed = 0;
  for (const auto& [key, counts] : CountsByClass(aNew)) {
    const auto it = published.find(key);
    for (std::size_t i = 0; i < counts.size(); ++i) {
      const std::uint64_t before =
        it != published.end() && i < it->second.size() ? it->second[i] : 0;
      total += counts[i];
      changed += std::max<std::uint64_t>(counts[i], before) -
                 std::min<std::uint64_t>(counts[i], before);
    }
  }
  return changed > 0 && changed * kLeastShare >= total;
}

void
AdoptRunTimes(LeaderContext& aLeader, const Observations& /*aPublished*/)
{
  ImportRunTimes(aLeader);
}

void
CollectDebts(const LeaderContext& aLeader, Observations& aObservations)
{
  aObservations.mDebts = aLeader.mAccountShares.Debts();
}

/** Debts decay within seconds, so that any change of who has one counts. */
bool
DebtsDiffer(const Observations& aPublished, const Observations& aNew)
{
  const auto isSameDebtor = [](const ObservedDebt& aLeft,
                               const ObservedDebt& aRight) {
    return aLeft.mPool == aRight.mPool && aLeft.mAccount == aRight.mAccount;
  };
  return !std::equal(aPublished.mDebts.begin(),
                     aPublished.mDebts.end(),
                     aNew.mDebts.begin(),
                     aNew.mDebts.end(),
                     isSameDebtor);
}

void
AdoptDebts(LeaderContext& aLeader, const Observations& aPublished)
{
  if (aLeader.mOptions.mPolicies.mAccountShares) {
    aLeader.mAccountShares.AdoptDebts(aPublished.mDebts);
  }
}

constexpr Source kSources[] = {
  { CollectSpeeds, SpeedsDiffer, AdoptSpeeds },
  { CollectRunTimes, RunTimesDiffer, AdoptRunTimes },
  { CollectDebts, DebtsDiffer, AdoptDebts },
};

} // namespace

void
PublishObservations(LeaderContext& aLeader)
{
  if (aLeader.mNow < aLeader.mNextPublication) {
    return;
  }
  aLeader.mNextPublication = aLeader.mNow + kPublishInterval;
  const Observations& published = aLeader.mState->LatestObservations();
  Observations observations = published;
  bool differs = false;
  for (const Source& source : kSources) {
    source.mCollect(aLeader, observations);
    differs = differs || source.mDiffers(published, observations);
  }
  if (differs) {
    Propose(aLeader, RecordObservations{ std::move(observations) });
  }
}

void
AdoptObservations(LeaderContext& aLeader)
{
  aLeader.mNextPublication = aLeader.mNow + kPublishInterval;
  for (const Source& source : kSources) {
    source.mAdopt(aLeader, aLeader.mState->LatestObservations());
  }
}

} // namespace dogwooddrum::coordination::workloads
