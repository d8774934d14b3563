#include "dogwooddrum/coordination/workloads/Evacuations.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

/** A start may begin up to this part of the evacuation time after the report
 * that it answers. The rest allows for the call to the target. Agents report
 * several times within it. */
constexpr int kStartTimeDivisor = 2;

/** Returns the worker of an open run if its zone is evacuated, else null. */
const Worker*
FindEvacuatedWorker(const LeaderContext& aLeader, const OpenRun& aOpen)
{
  const auto it = aLeader.mWorkers.find(aOpen.mTarget);
  return it != aLeader.mWorkers.end() &&
             IsEvacuated(aLeader, it->second.mTargetInfo.mZone)
           ? &it->second
           : nullptr;
}

} // namespace

bool
IsEvacuated(const LeaderContext& aLeader, const base::ZoneId& aZone)
{
  return aLeader.mState->EvacuatedZones().count(aZone) > 0;
}

bool
IsKnownZone(const LeaderContext& aLeader, const base::ZoneId& aZone)
{
  const auto& zones = aLeader.mOptions.mZones;
  return zones.empty() || zones.count(aZone) > 0 ||
         IsEvacuated(aLeader, aZone) ||
         std::any_of(aLeader.mWorkers.begin(),
                     aLeader.mWorkers.end(),
                     [&aZone](const auto& aEach) {
                       return aEach.second.mTargetInfo.mZone == aZone;
                     });
}

void
ProposeEvacuation(LeaderContext& aLeader,
                  const PendingRequest& aPending,
                  const protocol::SetZoneEvacuation& aRequest)
{
  const RecordEvacuation change{ aRequest.mZone, aRequest.mEvacuated };
  aLeader.mEvacuationWaiters.emplace_back(change, aPending);
  Propose(aLeader, change);
}

std::optional<PendingRequest>
TakeEvacuationWaiter(LeaderContext& aLeader, const RecordEvacuation& aChange)
{
  // Changes are committed in the order in which they were proposed.
  auto& waiting = aLeader.mEvacuationWaiters;
  const auto it =
    std::find_if(waiting.begin(), waiting.end(), [&aChange](const auto& aEach) {
      return aEach.first.mZone == aChange.mZone &&
             aEach.first.mEvacuated == aChange.mEvacuated;
    });
  if (it == waiting.end()) {
    return std::nullopt;
  }
  const PendingRequest pending = it->second;
  waiting.erase(it);
  return pending;
}

void
OnEvacuationApplied(LeaderContext& aLeader, const RecordEvacuation& aChange)
{
  std::size_t runs = 0;
  for (const auto& [run, open] : aLeader.mRuns) {
    const auto it = aLeader.mWorkers.find(open.mTarget);
    if (it != aLeader.mWorkers.end() &&
        it->second.mTargetInfo.mZone == aChange.mZone) {
      ++runs;
    }
  }
  for (auto& [incarnation, worker] : aLeader.mWorkers) {
    if (worker.mTargetInfo.mZone == aChange.mZone) {
      worker.mOrdersChanged = true;
    }
  }
  aLeader.mDecisionDue = true;
  AddEvent(aLeader,
           aChange.mEvacuated ? WorkloadEvent::Kind::ZoneEvacuated
                              : WorkloadEvent::Kind::ZoneRestored,
           { { "zone", aChange.mZone.Value() },
             { "runs", std::to_string(runs) },
             { "evacuated_zones",
               std::to_string(aLeader.mState->EvacuatedZones().size()) } });
}

std::int64_t
StartsUntilUs(const LeaderContext& aLeader,
              const protocol::WorkerReport& aReport)
{
  const auto limit = aLeader.mOptions.mEvacuationTime / kStartTimeDivisor;
  return limit == base::Duration::zero() ? 0
                                         : aReport.mSentAtUs + limit.count();
}

void
StopUnstartedRunsInEvacuatedZones(LeaderContext& aLeader)
{
  if (aLeader.mState->EvacuatedZones().empty()) {
    return;
  }
  std::vector<RunId> unstarted;
  for (const auto& [run, open] : aLeader.mRuns) {
    const Worker* worker = FindEvacuatedWorker(aLeader, open);
    // Without a lease the leader does not know what the target runs.
    if (worker != nullptr && worker->mHasLease && open.mCommitted &&
        !open.mStopping && !open.mEnding &&
        worker->mReportedRuns.count(run) == 0) {
      unstarted.push_back(run);
    }
  }
  for (const RunId& run : unstarted) {
    for (const RunId& member : GangOf(aLeader, run)) {
      StopRun(aLeader, member, "zone_evacuated");
    }
  }
}

} // namespace dogwooddrum::coordination::workloads
