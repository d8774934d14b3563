#include "tests/support/WorkloadSimulationState.h"

namespace dogwooddrum::tests {

void
WorkloadSimulation::CheckStart(std::size_t aWorker, const RunId& aRun)
{
  const TaskId& task = aRun.mTask;
  std::string name = ToString(task);
  if (mIsLateOrder) {
    name += mWorkers[aWorker]->mSequence == 0
              ? " (late order, before the incarnation announced itself)"
              : " (late order)";
  }
  for (const auto& worker : mWorkers) {
    if (worker->mTarget->mRuns.count(task) > 0) {
      AddViolation("duplicate run: " + name +
                   " starts while it runs elsewhere");
    }
  }
  if (mCommittedDone.count(task) > 0) {
    AddViolation("duplicate run: " + name +
                 " starts after its end was acknowledged");
  }
  if (mAcknowledgedDone.count(task) > 0) {
    AddViolation("duplicate run: " + name +
                 " starts after its end at a target was acknowledged");
  }
  mLastStartAt[task] = mNowMs;
  if (mAcknowledgedFailures[task] >= static_cast<int>(kMaxAttempts)) {
    AddViolation("attempt limit: " + name + " starts without an attempt left");
  }
  for (const std::uint32_t earlier : StepOf(task).mDependsOn) {
    const auto& step = mSpecs.at(task.mWorkload.Value()).mSteps.at(earlier);
    for (std::uint32_t i = 0; i < step.mCount; ++i) {
      if (mCommittedDone.count(
            { task.mWorkload, task.mOccurrence, earlier, i }) == 0 &&
          !step.mGang) {
        AddViolation("step order: " + name + " starts before step " +
                     std::to_string(earlier) + " is done");
      }
    }
  }
  CheckCapacity(aWorker, task, name);
  CheckZone(aWorker, name);
}

void
WorkloadSimulation::CheckZone(std::size_t aWorker, const std::string& aName)
{
  const auto it = mEvacuatedAt.find(base::ZoneId(ZoneOf(aWorker)));
  if (it != mEvacuatedAt.end() && !mIsLateOrder &&
      mNowMs - it->second > mOptions.mEvacuationMs) {
    AddViolation("evacuation: " + aName + " starts in " + it->first.Value() +
                 " " + std::to_string(mNowMs - it->second) + " ms after it");
  }
}

void
WorkloadSimulation::CheckCapacity(std::size_t aWorker,
                                  const TaskId& aTask,
                                  const std::string& aName)
{
  // The platform counts a reduced capacity 3 s and an announcement later, and
  // not for orders that the target executes late.
  constexpr std::int64_t kGraceMs = 3000 + kAnnounceMs;
  const Target& target = *mWorkers[aWorker]->mTarget;
  ResourceVector used = ResourcesOf(StepOf(aTask));
  for (const auto& [other, running] : target.mRuns) {
    used = used + ResourcesOf(StepOf(other));
  }
  const bool isReduced =
    target.mShrunkAt && mNowMs - *target.mShrunkAt > kGraceMs && !mIsLateOrder;
  const auto& room =
    isReduced ? target.mTargetInfo.mCapacity : mOptions.mCapacity;
  const ResourceVector capacity{ static_cast<std::int64_t>(room.mMilliCores),
                                 static_cast<std::int64_t>(room.mMemoryMb),
                                 static_cast<std::int64_t>(
                                   room.mAccelerators) };
  if (!Fits(used, capacity)) {
    AddViolation("resource limit: " + aName + " does not fit on worker " +
                 std::to_string(aWorker));
  }
}

OrderOutcome
WorkloadSimulation::Start(std::size_t aWorker, const OrderCall& aCall)
{
  Target& target = *mWorkers[aWorker]->mTarget;
  const RunId& run = aCall.mStart.mRun;
  const auto it = target.mRuns.find(run.mTask);
  if (it != target.mRuns.end() && it->second.mRun == run) {
    return OrderOutcome::Done;
  }
  if (aCall.mLeaseUntilMs <= target.Clock(mNowMs)) {
    return OrderOutcome::Retryable;
  }
  const auto closed = target.mClosed.find(run.mTask);
  if (closed != target.mClosed.end() && run.mRun <= closed->second) {
    return OrderOutcome::Rejected;
  }
  if (HappensWith(mOptions.mFaults.mRefusedStarts)) {
    return OrderOutcome::Rejected;
  }
  CheckStart(aWorker, run);
  const std::string id = run.mTask.mWorkload.Value();
  target.mLeaseUntil =
    std::max(target.mLeaseUntil,
             std::min(aCall.mLeaseUntilMs, target.Clock(mNowMs) + kMaxLeaseMs));
  RunningTask running;
  running.mRun = run;
  running.mBeganAt = mNowMs;
  const auto time = mRunTimes.find(id);
  running.mEndsAt =
    mNowMs + static_cast<std::int64_t>(
               mWorkers[aWorker]->mSlowness *
               static_cast<double>(time == mRunTimes.end() ? kDefaultRunMs
                                                           : time->second));
  const bool fails = mFailing.count(id) > 0 || mWorkers[aWorker]->mFailing ||
                     HappensWith(mOptions.mFaults.mFailingRuns);
  running.mEnd = fails ? RunEnd::Failed : RunEnd::Done;
  if (mWorkers[aWorker]->mFailing) {
    running.mEndsAt = mNowMs + std::min(running.mEndsAt - mNowMs,
                                        mWorkers[aWorker]->mFailsAfterMs);
  }
  target.mRuns[run.mTask] = running;
  ++mStarts[id];
  mFirstStartedAt.emplace(id, mNowMs);
  mStartedOn[id].insert(aWorker);
  if (mCrashing.count(id) > 0) {
    ++mCrashes[id];
    ScheduleAfter(kStepMs, [this, aWorker] {
      constexpr std::int64_t kDownMs = 3000;
      CrashTarget(aWorker, kDownMs, mOptions.mCrashesKeepInstance);
    });
  }
  return OrderOutcome::Done;
}

OrderOutcome
WorkloadSimulation::ExecuteOrder(std::size_t aWorker, const OrderCall& aCall)
{
  Target& target = *mWorkers[aWorker]->mTarget;
  // An order names only the instance, so that its next incarnation accepts it
  // too.
  if (target.mTargetInfo.mTargetIncarnation.mInstance !=
        aCall.mTargetIncarnation.mInstance ||
      aCall.mFencingToken.Value() < target.mToken) {
    return OrderOutcome::Retryable;
  }
  target.mToken = aCall.mFencingToken.Value();
  if (aCall.mIsStart) {
    return Start(aWorker, aCall);
  }
  const RunId& run = aCall.mStart.mRun;
  auto& closed = target.mClosed[run.mTask];
  closed = std::max(closed, run.mRun);
  const auto it = target.mRuns.find(run.mTask);
  if (it != target.mRuns.end() && it->second.mRun == run) {
    // The run ends 300 ms later, as on a target that writes a checkpoint.
    it->second.mEndsAt = std::min(it->second.mEndsAt, mNowMs + 300);
    it->second.mEnd = RunEnd::Stopped;
  }
  return OrderOutcome::Done;
}

void
WorkloadSimulation::CallTarget(std::size_t aWorker, const OrderCall& aCall)
{
  Worker& worker = *mWorkers[aWorker];
  if (worker.mTargetDownUntil > mNowMs) {
    worker.mAgent->OnAnswered(aCall, OrderOutcome::Retryable, "refused", mNow);
    return;
  }
  if (!HappensWith(mOptions.mFaults.mUnansweredOrders)) {
    const auto outcome = ExecuteOrder(aWorker, aCall);
    worker.mAgent->OnAnswered(aCall, outcome, "rejected", mNow);
    return;
  }
  if (HappensWith(0.5)) {
    const auto delayMs = std::uniform_int_distribution<std::int64_t>(
      2000, kMaxOrderDelayMs)(mRandom);
    ScheduleAfter(
      delayMs,
      [this,
       aWorker,
       aCall,
       outlivesTarget = mOptions.mFaults.mLateOrdersOutliveTarget,
       sentTo = worker.mTarget->mTargetInfo.mTargetIncarnation] {
        if (!outlivesTarget &&
            sentTo !=
              mWorkers[aWorker]->mTarget->mTargetInfo.mTargetIncarnation) {
          return;
        }
        mIsLateOrder = true;
        ExecuteOrder(aWorker, aCall);
        mIsLateOrder = false;
      });
  }
  constexpr std::int64_t kTimeoutMs = 400;
  worker.mBusyUntil = mNowMs + kTimeoutMs;
  ScheduleAfter(kTimeoutMs,
                [this, aWorker, aCall, incarnation = worker.mIncarnation] {
                  if (mWorkers[aWorker]->mIncarnation == incarnation) {
                    mWorkers[aWorker]->mAgent->OnAnswered(
                      aCall, OrderOutcome::Unknown, "", mNow);
                  }
                });
}

bool
WorkloadSimulation::WaitsForGang(const RunningTask& aRunning) const
{
  const TaskId& task = aRunning.mRun.mTask;
  if (aRunning.mEnd == RunEnd::Stopped || !StepOf(task).mGang) {
    return false;
  }
  const auto isBehind = [&](const auto& aEach) {
    const RunId& other = aEach.second.mRun;
    return other.mRun == aRunning.mRun.mRun &&
           other.mTask.mWorkload == task.mWorkload &&
           other.mTask.mOccurrence == task.mOccurrence &&
           other.mTask.mStep == task.mStep && aEach.second.mEndsAt > mNowMs;
  };
  return std::any_of(
    mWorkers.begin(), mWorkers.end(), [&](const auto& aWorker) {
      const auto& runs = aWorker->mTarget->mRuns;
      return std::any_of(runs.begin(), runs.end(), isBehind);
    });
}

void
WorkloadSimulation::AdvanceTarget(std::size_t aWorker)
{
  Target& target = *mWorkers[aWorker]->mTarget;
  if (target.mLeaseUntil <= target.Clock(mNowMs)) {
    while (!target.mRuns.empty()) {
      target.End(target.mRuns.begin()->first, RunEnd::Lapsed, mNowMs);
    }
    target.mEndedAt.clear();
  }
  if (mNowMs < mWorkers[aWorker]->mStalledUntil) {
    for (auto& [task, running] : target.mRuns) {
      if (running.mEnd != RunEnd::Stopped) {
        running.mBeganAt += kStepMs;
        running.mEndsAt += kStepMs;
      }
    }
  }
  std::vector<TaskId> due;
  for (const auto& [task, running] : target.mRuns) {
    if (running.mEndsAt <= mNowMs && !WaitsForGang(running)) {
      due.push_back(task);
    }
  }
  for (const TaskId& task : due) {
    const RunEnd end = target.mRuns.at(task).mEnd;
    target.End(task, end, mNowMs);
  }
}

void
WorkloadSimulation::RunWorker(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  Target& target = *worker.mTarget;
  if (mNowMs >= worker.mVmGoneAt) {
    target.mRuns.clear();
    return;
  }
  if (worker.mIsTargetDead) {
    if (mNowMs >= worker.mNextRenewal) {
      worker.mAgent->OnConnectionRefused(target.mTargetInfo.mTargetIncarnation,
                                         mNow);
      Report(aWorker);
    }
    return;
  }
  AdvanceTarget(aWorker);
  if (mNowMs >= worker.mNextAnnounce) {
    worker.mNextAnnounce = mNowMs + kAnnounceMs;
    AnnounceTarget(aWorker);
    worker.mNextRenewal = mNowMs; // an announcement triggers a renewal
  }
  if (mNowMs < worker.mPausedUntil) {
    return;
  }
  ProbeCandidates(aWorker);
  SendOrders(aWorker);
  if (mNowMs >= worker.mNextRenewal) {
    Renew(aWorker);
  }
}

void
WorkloadSimulation::ProbeCandidates(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  Target& target = *worker.mTarget;
  while (const auto probe = worker.mAgent->NextProbe(mNow)) {
    const bool answers =
      worker.mTargetDownUntil <= mNowMs &&
      probe->mTargetIncarnation == target.mTargetInfo.mTargetIncarnation &&
      probe->mFencingToken.Value() >= target.mToken;
    if (answers) {
      target.mToken = probe->mFencingToken.Value();
    } else if (probe->mFencingToken.Value() < target.mToken) {
      worker.mAgent->OnTokenRejected(probe->mFencingToken);
    }
    worker.mAgent->OnProbed(probe->mTargetIncarnation, answers, mNow);
  }
}

void
WorkloadSimulation::AnnounceTarget(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  const auto announce = [this,
                         aWorker,
                         info = worker.mTarget->mTargetInfo,
                         sequence = ++worker.mSequence] {
    mWorkers[aWorker]->mAgent->OnAnnounced(info, sequence, mNow);
  };
  RunAtAgent(aWorker, announce);
  if (HappensWith(mOptions.mFaults.mLateAnnouncements)) {
    ScheduleAfter(Between(100, 5000),
                  [this, aWorker, announce] { RunAtAgent(aWorker, announce); });
  }
}

void
WorkloadSimulation::SendOrders(std::size_t aWorker)
{
  const Worker& worker = *mWorkers[aWorker];
  while (mNowMs >= worker.mBusyUntil) {
    const auto call = worker.mAgent->NextOrder(mNow);
    if (!call) {
      return;
    }
    CallTarget(aWorker, *call);
  }
}

void
WorkloadSimulation::AcknowledgeEnd(std::size_t aWorker, const EndedTask& aEnded)
{
  const auto& endedAt = mWorkers[aWorker]->mTarget->mEndedAt;
  const auto ended = endedAt.find(aEnded.mRun);
  if (ended == endedAt.end()) {
    return; // a lease that lapsed since then voids the acknowledgement
  }
  const TaskId& task = aEnded.mRun.mTask;
  if (aEnded.mEnd == RunEnd::Failed) {
    ++mAcknowledgedFailures[task];
  }
  if (aEnded.mEnd == RunEnd::Done) {
    mAcknowledgedDone.insert(task);
    if (mLastStartAt[task] > ended->second) {
      AddViolation("duplicate run: the end of " + ToString(task) +
                   " is acknowledged after a later start");
    }
  }
}

/** Renews even while an order has no answer, as the daemon does, which renews
 * on a separate thread. */
void
WorkloadSimulation::Renew(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  Target& target = *worker.mTarget;
  const auto renewal = worker.mAgent->NextRenewal(mNow);
  if (renewal && worker.mTargetDownUntil > mNowMs) {
    worker.mAgent->OnConnectionRefused(renewal->mTargetIncarnation, mNow);
  }
  if (renewal && worker.mTargetDownUntil <= mNowMs &&
      renewal->mTargetIncarnation == target.mTargetInfo.mTargetIncarnation &&
      renewal->mFencingToken.Value() >= target.mToken) {
    target.mToken = renewal->mFencingToken.Value();
    if (renewal->mLeaseUntilMs) {
      target.mLeaseUntil = std::max(
        target.mLeaseUntil,
        std::min(*renewal->mLeaseUntilMs, target.Clock(mNowMs) + kMaxLeaseMs));
    }
    for (const EndedTask& ended : target.mEnded) {
      if (ended.mNumber <= renewal->mAcknowledged &&
          ended.mNumber > target.mAcknowledged) {
        AcknowledgeEnd(aWorker, ended);
      }
    }
    target.mAcknowledged =
      std::max(target.mAcknowledged, renewal->mAcknowledged);
    target.mEnded.erase(std::remove_if(target.mEnded.begin(),
                                       target.mEnded.end(),
                                       [&](const EndedTask& aEnded) {
                                         return aEnded.mNumber <=
                                                target.mAcknowledged;
                                       }),
                        target.mEnded.end());
    std::vector<protocol::RunningTask> running;
    for (const auto& [task, run] : target.mRuns) {
      const auto percent = std::min<std::int64_t>(
        100,
        100 * (mNowMs - run.mBeganAt) /
          std::max<std::int64_t>(run.mEndsAt - run.mBeganAt, 1));
      running.push_back({ run.mRun, "", static_cast<std::uint32_t>(percent) });
    }
    worker.mAgent->OnListing(target.mTargetInfo.mTargetIncarnation,
                             target.Clock(mNowMs),
                             running,
                             target.mEnded,
                             mNow,
                             mNow);
  }
  if (renewal && worker.mTargetDownUntil <= mNowMs &&
      renewal->mFencingToken.Value() < target.mToken) {
    worker.mAgent->OnTokenRejected(renewal->mFencingToken);
  }
  Report(aWorker);
}

} // namespace dogwooddrum::tests
