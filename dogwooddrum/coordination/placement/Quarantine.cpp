/** \file
 * Implements the quarantine of workers.
 */
#include "dogwooddrum/coordination/placement/Quarantine.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Claims.h"
#include "dogwooddrum/coordination/placement/Queue.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

/** At most one in this many workers is quarantined, so that a fault outside the
 * workers cannot take the fleet out of service. */
constexpr std::size_t kWorkersPerQuarantine = 2;
/** Longest quarantine as a multiple of PlacerOptions::mQuarantineTime. */
constexpr std::uint32_t kMaxQuarantineFactor = 16;
/** Number of quarantine times after which a worker is readmitted without a
 * successful probe. */
constexpr int kReadmitFactor = 4;

void
SetQuarantined(State& aState, WorkerIndex aWorker, bool aQuarantined)
{
  auto& node = aState.mTopology.mWorkers[aWorker];
  if (node.mQuarantined == aQuarantined) {
    return;
  }
  aState.mUsableTotal -= UsableTotal(node);
  node.mQuarantined = aQuarantined;
  aState.mUsableTotal += UsableTotal(node);
  RefreshWorker(aState, aWorker);
  const std::vector<ClaimHandle> claims = node.mClaims;
  for (const ClaimHandle claim : claims) {
    if (aQuarantined && aState.mClaims[claim].mLive) {
      CancelClaim(aState, claim);
    }
  }
}

std::size_t
CountQuarantined(const State& aState)
{
  return static_cast<std::size_t>(std::count_if(
    aState.mHealth.begin(), aState.mHealth.end(), [](const auto& aEach) {
      return aEach.second.mQuarantined;
    }));
}

/** Attributes failures to the worker: they no longer count against the jobs. */
void
ClearJobFailures(State& aState,
                 WorkerIndex aWorker,
                 const std::vector<base::JobId>& aJobs)
{
  for (const auto& id : aJobs) {
    if (auto* job = FindJob(aState, id)) {
      auto& failed = job->mFailedOn;
      failed.erase(std::remove(failed.begin(), failed.end(), aWorker),
                   failed.end());
    }
  }
}

void
StartQuarantine(State& aState, WorkerIndex aWorker, base::Time aNow)
{
  auto& health = aState.mHealth[aWorker];
  const std::uint32_t factor = std::min(
    1U << std::min(health.mConsecutiveQuarantines, 8U), kMaxQuarantineFactor);
  const base::Duration time = aState.mOptions.mQuarantineTime * factor;
  ++health.mConsecutiveQuarantines;
  health.mQuarantined = true;
  health.mProbing = false;
  health.mProbeAt = aNow + time;
  health.mReadmitAt = aNow + time * kReadmitFactor;
  ClearJobFailures(aState, aWorker, health.mFailedJobs);
  SetQuarantined(aState, aWorker, true);
  aState.mDecisions.emplace_back(Quarantine{
    aState.mTopology.mWorkers[aWorker].mDescription.mWorker, health.mProbeAt });
}

/** Marks a job as failing everywhere: its failures no longer count against
 * workers, and workers in a first quarantine that lacks enough other failures
 * are readmitted. */
void
AttributeFailuresToJob(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  job.mFailsEverywhere = true;
  for (auto& [worker, health] : aState.mHealth) {
    auto& failures = health.mFailedJobs;
    failures.erase(
      std::remove(failures.begin(), failures.end(), job.mRequest.mJob),
      failures.end());
    if (health.mQuarantined && health.mConsecutiveQuarantines <= 1 &&
        failures.size() < aState.mOptions.mFailuresToQuarantine) {
      health.mQuarantined = false;
      health.mConsecutiveQuarantines = 0;
      SetQuarantined(aState, worker, false);
    }
  }
}

/** Returns a queued job that can be repeated, is not interactive and fits on
 * the worker, or kNoIndex. */
JobHandle
FindProbeJob(const State& aState, WorkerIndex aWorker)
{
  const auto& node = aState.mTopology.mWorkers[aWorker];
  const std::uint32_t total = node.mDescription.mAccelerators;
  const std::uint32_t room = total > node.mHeld ? total - node.mHeld : 0;
  for (const auto& [shape, classes] : aState.mClassesByShape) {
    for (const ClassIndex index : classes) {
      const auto& entry = aState.mClasses[index];
      if (entry.mShape.mTasks == 1 && entry.mRepeatable &&
          entry.mRules.mPreemptible && !entry.mRules.mInteractive &&
          entry.mShape.mAcceleratorsPerTask <= room) {
        return FirstJobOf(aState, index);
      }
    }
  }
  return kNoIndex;
}

bool
StartProbe(State& aState, WorkerIndex aWorker, base::Time aNow)
{
  const JobHandle handle = FindProbeJob(aState, aWorker);
  if (handle == kNoIndex) {
    return false;
  }
  auto& job = aState.mJobs[handle];
  Dequeue(aState, handle);
  job.mKind = HoldKind::Borrowed;
  HoldPlan(aState, handle, { { aWorker, 1 } }, aNow);
  aState.mDecisions.emplace_back(
    Start{ job.mRequest.mJob, PlacementsOf(aState, job), true });
  return true;
}

} // namespace

void
RecordFailure(State& aState,
              JobHandle aJob,
              WorkerIndex aWorker,
              base::Time aNow)
{
  if (!aState.mOptions.mQuarantine) {
    return;
  }
  auto& job = aState.mJobs[aJob];
  auto& health = aState.mHealth[aWorker];
  if (health.mQuarantined) {
    if (health.mProbing) {
      StartQuarantine(aState, aWorker, aNow);
    }
    return;
  }
  auto& failedOn = job.mFailedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aWorker) == failedOn.end()) {
    failedOn.push_back(aWorker);
  }
  auto& failures = health.mFailedJobs;
  if (std::find(failures.begin(), failures.end(), job.mRequest.mJob) ==
      failures.end()) {
    failures.push_back(job.mRequest.mJob);
  }
  if (failedOn.size() >= aState.mOptions.mWorkersToFailJob) {
    AttributeFailuresToJob(aState, aJob);
    return;
  }
  const std::size_t workers = aState.mTopology.mWorkerByName.size();
  if (failures.size() >= aState.mOptions.mFailuresToQuarantine &&
      (CountQuarantined(aState) + 1) * kWorkersPerQuarantine <= workers) {
    StartQuarantine(aState, aWorker, aNow);
  }
}

void
RecordSuccess(State& aState, WorkerIndex aWorker)
{
  const auto it = aState.mHealth.find(aWorker);
  if (it == aState.mHealth.end()) {
    return;
  }
  const bool readmit = it->second.mQuarantined;
  if (readmit && !it->second.mProbing) {
    return; // the task started before the quarantine
  }
  aState.mHealth.erase(it);
  if (readmit) {
    SetQuarantined(aState, aWorker, false);
  }
}

void
RunProbes(State& aState, base::Time aNow)
{
  std::vector<WorkerIndex> readmit;
  for (auto& [worker, health] : aState.mHealth) {
    const auto& node = aState.mTopology.mWorkers[worker];
    if (!health.mQuarantined || health.mProbeAt > aNow || !node.mUp ||
        node.mDrained) {
      continue;
    }
    if (health.mReadmitAt <= aNow) {
      readmit.push_back(worker);
    } else if (!health.mProbing) {
      health.mProbing = StartProbe(aState, worker, aNow);
    }
  }
  for (const WorkerIndex worker : readmit) {
    // One more failure starts another, longer quarantine.
    auto& health = aState.mHealth[worker];
    health.mQuarantined = false;
    health.mProbing = false;
    health.mFailedJobs.resize(std::min<std::size_t>(
      health.mFailedJobs.size(), aState.mOptions.mFailuresToQuarantine - 1));
    SetQuarantined(aState, worker, false);
  }
}

base::Time
NextProbeTime(const State& aState)
{
  base::Time next = base::Time::max();
  for (const auto& [worker, health] : aState.mHealth) {
    if (health.mQuarantined) {
      next =
        std::min(next, health.mProbing ? health.mReadmitAt : health.mProbeAt);
    }
  }
  return next;
}

} // namespace dogwooddrum::coordination::placement
