/** \file
 * Implements the scripted host for a placer.
 */
#include "tests/support/PlacementScenario.h"

#include <algorithm>

namespace dogwooddrum::tests {

PlacementScenario::PlacementScenario(const pl::PlacerOptions& aOptions,
                                     std::uint32_t aWorkers,
                                     std::uint32_t aAccelerators,
                                     std::uint32_t aPerRack)
  : mPlacer(aOptions)
{
  for (std::uint32_t k = 0; k < aWorkers; ++k) {
    mPlacer.AddOrUpdateWorker(
      { base::WorkerId("w" + std::to_string(k)),
        base::RackId("r" + std::to_string(k / aPerRack)),
        base::ZoneId("z"),
        aAccelerators },
      mNow);
  }
}

void
PlacementScenario::AddGuarantee(const std::string& aAccount,
                                std::uint32_t aCount,
                                std::uint32_t aAccelerators,
                                protocol::Adjacency aLevel)
{
  protocol::ClientAccount account;
  account.mName = base::AccountId(aAccount);
  account.mGuarantees = { { aCount, aAccelerators, aLevel } };
  mConfiguration.mAccounts.push_back(account);
}

std::string
PlacementScenario::ApplyConfiguration()
{
  for (const char* name : { "batch", "interactive", "must-finish" }) {
    protocol::Profile profile;
    profile.mName = base::ProfileId(name);
    profile.mInteractive = profile.mName.Value() == "interactive";
    profile.mPreemptible = profile.mName.Value() != "must-finish";
    profile.mPriority = profile.mInteractive ? 10 : 0;
    mConfiguration.mProfiles.push_back(profile);
  }
  const auto accepted = mPlacer.CheckConfiguration(mConfiguration);
  if (!accepted) {
    return accepted.LastFailure().mMessage;
  }
  mPlacer.SetConfiguration(mConfiguration);
  return {};
}

std::uint64_t
PlacementScenario::Submit(const std::string& aAccount,
                          const std::string& aProfile,
                          const protocol::GangShape& aShape,
                          std::int64_t aDeadlineMs)
{
  pl::JobRequest request;
  request.mJob = base::JobId(++mLastJob);
  request.mAccount = base::AccountId(aAccount);
  request.mProfile = base::ProfileId(aProfile);
  request.mShape = aShape;
  request.mSubmitted = mNow;
  if (aDeadlineMs > 0) {
    request.mDeadline = mNow + base::Milliseconds(aDeadlineMs);
  }
  mPlacer.Submit(request, mNow);
  return mLastJob;
}

void
PlacementScenario::AdvanceTime(std::int64_t aMs)
{
  const base::Time end = mNow + base::Milliseconds(aMs);
  Decide();
  while (mNow < end) {
    mNow += base::Milliseconds(100);
    for (auto it = mStopAt.begin(); it != mStopAt.end();) {
      if (it->second > mNow) {
        ++it;
        continue;
      }
      mHeld.erase(it->first);
      mPlacer.RecordCheckpoint(base::JobId(it->first), mNow);
      mPlacer.Requeue(base::JobId(it->first), mNow);
      it = mStopAt.erase(it);
    }
    Decide();
  }
}

void
PlacementScenario::Finish(std::uint64_t aJob)
{
  mHeld.erase(aJob);
  mStopAt.erase(aJob);
  mPlacer.Remove(base::JobId(aJob), mNow);
}

void
PlacementScenario::FailTask(std::uint64_t aJob)
{
  const auto worker = mHeld.at(aJob).mTasks.front().mWorker;
  mHeld.erase(aJob);
  mPlacer.RecordTaskFailure(base::JobId(aJob), worker, mNow);
  mPlacer.Requeue(base::JobId(aJob), mNow);
}

std::string
PlacementScenario::WorkerOf(std::uint64_t aJob) const
{
  return mHeld.at(aJob).mTasks.front().mWorker.Value();
}

void
PlacementScenario::Decide()
{
  for (int k = 0; k < 64; ++k) {
    for (const auto& decision : mPlacer.Decide(mNow)) {
      std::visit([this](const auto& aEach) { Execute(aEach); }, decision);
    }
    const auto next = mPlacer.NextDecisionTime();
    if (!next || *next > mNow) {
      return;
    }
  }
}

void
PlacementScenario::Execute(const pl::Start& aStart)
{
  mHeld[aStart.mJob.Value()] = aStart;
  mStartedMs[aStart.mJob.Value()] = base::ToMilliseconds(mNow);
  ++mStarts;
}

void
PlacementScenario::Execute(const pl::Preempt& aPreempt)
{
  mStopped.push_back(aPreempt.mJob.Value());
  mStopAt[aPreempt.mJob.Value()] = aPreempt.mStopBy;
}

void
PlacementScenario::Execute(const pl::Move& aMove)
{
  mMoved.push_back(aMove.mJob.Value());
  mStopAt[aMove.mJob.Value()] = aMove.mStopBy;
}

void
PlacementScenario::Execute(const pl::Reject& aReject)
{
  mRejects[aReject.mJob.Value()] = aReject;
}

void
PlacementScenario::Execute(const pl::Quarantine& aQuarantine)
{
  mQuarantined.push_back(aQuarantine.mWorker.Value());
}

} // namespace dogwooddrum::tests
