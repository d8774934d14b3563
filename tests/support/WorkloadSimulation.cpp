#include "tests/support/WorkloadSimulationState.h"

#include "dogwooddrum/protocol/Limits.h"

namespace dogwooddrum::tests {

namespace {

Catalog
MakeCatalog(const WorkloadSimulationOptions& aOptions)
{
  Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(1);
  catalog.mPools.push_back({ protocol::PoolName("pool"), false, false });
  for (std::uint32_t priority = 0; priority < 3; ++priority) {
    protocol::Queue queue;
    queue.mName = protocol::QueueName("p" + std::to_string(priority));
    queue.mHost = "host";
    queue.mPathPrefix = "/p" + std::to_string(priority) + "/";
    queue.mPool = protocol::PoolName("pool");
    queue.mPriority = priority;
    queue.mMaxAttempts = kMaxAttempts;
    queue.mTimeoutMs = 3000;
    queue.mSlackPermille = aOptions.mSlackPermille;
    queue.mTargetRunTimeMs = aOptions.mTargetRunTimeMs;
    catalog.mQueues.push_back(queue);
  }
  catalog.mAccounts.push_back(
    { base::AccountId("tenant"), { "key" }, aOptions.mGuaranteed });
  return catalog;
}

} // namespace

WorkloadSimulation::WorkloadSimulation(
  const WorkloadSimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  mNow = base::Time(base::Milliseconds(mNowMs));
  mState = std::make_unique<State>();
  mState->Apply(Change{ AdoptCatalog{ MakeCatalog(aOptions) } });
  for (std::size_t i = 0; i < aOptions.mWorkers; ++i) {
    mWorkers.push_back(std::make_unique<Worker>());
    RestartTarget(i);
    mWorkers[i]->mIncarnation = i * 1000;
    StartAgent(i);
  }
  Lead();
}

WorkloadSimulation::~WorkloadSimulation() = default;

std::int64_t
WorkloadSimulation::Between(std::int64_t aLeastMs, std::int64_t aMostMs)
{
  return std::uniform_int_distribution<std::int64_t>(aLeastMs,
                                                     aMostMs)(mRandom);
}

bool
WorkloadSimulation::HappensWith(double aShare)
{
  return aShare > 0 &&
         std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

void
WorkloadSimulation::ScheduleAfter(std::int64_t aMs, std::function<void()> aWork)
{
  mScheduledWork.emplace(mNowMs + aMs, std::move(aWork));
}

void
WorkloadSimulation::AddViolation(const std::string& aWhat)
{
  mViolations.push_back(std::to_string(mNowMs) + " ms: " + aWhat);
}

void
WorkloadSimulation::Submit(const std::string& aId,
                           const std::string& aQueue,
                           protocol::WorkloadSpec aSpec,
                           const std::string& aAccount)
{
  mSpecs[aId] = aSpec;
  mSubmittedAt[aId] = mNowMs;
  protocol::WorkloadRequest request;
  protocol::SubmitWorkload submit;
  submit.mId = WorkloadId(aId);
  submit.mQueue.mName = protocol::QueueName(aQueue);
  submit.mAccount = base::AccountId(aAccount);
  submit.mSpec = std::move(aSpec);
  request.mBody = std::move(submit);
  mScheduler->OnRequest(Session(1), request, mNow);
  Commit();
}

void
WorkloadSimulation::Cancel(const std::string& aId)
{
  protocol::WorkloadRequest request;
  const auto* workload = mState->Find(WorkloadId(aId));
  request.mBody = protocol::CancelWorkload{
    WorkloadId(aId), protocol::ReferenceTo(*mState->FindQueue(workload->mQueue))
  };
  mScheduler->OnRequest(Session(1), request, mNow);
  Commit();
}

void
WorkloadSimulation::SetRunTime(const std::string& aId, std::int64_t aMs)
{
  mRunTimes[aId] = aMs;
}

void
WorkloadSimulation::MakeRunsFail(const std::string& aId)
{
  mFailing.insert(aId);
}

void
WorkloadSimulation::MakeStartsCrash(const std::string& aId)
{
  mCrashing.insert(aId);
}

void
WorkloadSimulation::CrashTarget(std::size_t aWorker,
                                std::int64_t aDownMs,
                                bool aKeepsInstance)
{
  constexpr std::int64_t kSilentMs = 10;
  RestartTargetSlowly(aWorker, aDownMs, kSilentMs);
  if (!aKeepsInstance) {
    mWorkers[aWorker]->mTarget->mTargetInfo.mTargetIncarnation.mInstance +=
      "-" + std::to_string(mNowMs);
  }
}

int
WorkloadSimulation::CrashCount(const std::string& aId) const
{
  const auto it = mCrashes.find(aId);
  return it == mCrashes.end() ? 0 : it->second;
}

void
WorkloadSimulation::MakeWorkerFail(std::size_t aWorker, std::int64_t aAfterMs)
{
  mWorkers[aWorker]->mFailing = true;
  mWorkers[aWorker]->mFailsAfterMs = aAfterMs;
}

void
WorkloadSimulation::DisconnectAgent(std::size_t aWorker, std::int64_t aForMs)
{
  mWorkers[aWorker]->mDisconnectedUntil = mNowMs + aForMs;
}

void
WorkloadSimulation::RestartTarget(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  auto target = std::make_unique<Target>();
  const auto errorMs =
    HappensWith(mOptions.mFaults.mWrongClocks) ? Between(-3000, 3000) : 0;
  target->mTargetInfo.mTargetIncarnation = { "i-" + std::to_string(aWorker),
                                             mNowMs + errorMs };
  target->mTargetInfo.mPool = protocol::PoolName("pool");
  target->mTargetInfo.mZone = base::ZoneId(ZoneOf(aWorker));
  target->mTargetInfo.mRack =
    base::RackId("r" + std::to_string(aWorker / mOptions.mWorkersPerRack));
  target->mTargetInfo.mCapacity = mOptions.mCapacity;
  target->mClockZero = mNowMs - 500;
  worker.mTarget = std::move(target);
  worker.mIsEnding = false;
  worker.mTargetDownUntil = 0;
  worker.mNextAnnounce = mNowMs + kStepMs;
  worker.mSequence = 0;
}

void
WorkloadSimulation::RestartTargetSlowly(std::size_t aWorker,
                                        std::int64_t aDownMs,
                                        std::int64_t aSilentMs)
{
  RestartTarget(aWorker);
  Worker& worker = *mWorkers[aWorker];
  worker.mTargetDownUntil = mNowMs + aDownMs;
  worker.mTarget->mClockZero += aDownMs;
  worker.mTarget->mTargetInfo.mTargetIncarnation.mStartMs += aDownMs;
  worker.mNextAnnounce = mNowMs + aDownMs + aSilentMs;
}

void
WorkloadSimulation::RestartVm(std::size_t aWorker)
{
  RestartTarget(aWorker);
  auto& target = *mWorkers[aWorker]->mTarget;
  target.mTargetInfo.mTargetIncarnation.mInstance +=
    "-" + std::to_string(mNowMs);
  StartAgent(aWorker);
}

/** Starts a new process of the agent, without the memory of the last one. */
void
WorkloadSimulation::StartAgent(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  WorkerAgentOptions options;
  options.mIncarnation = base::Incarnation(++worker.mIncarnation);
  options.mName = "agent-" + std::to_string(aWorker);
  worker.mAgent = std::make_unique<WorkerAgent>(options);
  worker.mPausedUntil = 0;
}

void
WorkloadSimulation::AnnounceLeave(std::size_t aWorker)
{
  mWorkers[aWorker]->mTarget->mTargetInfo.mLeaving = true;
  mWorkers[aWorker]->mNextAnnounce = mNowMs;
}

void
WorkloadSimulation::DeliverDelete(std::size_t aWorker)
{
  RunAtAgent(
    aWorker,
    [this,
     aWorker,
     instance =
       mWorkers[aWorker]->mTarget->mTargetInfo.mTargetIncarnation.mInstance] {
      mWorkers[aWorker]->mAgent->OnLeaveMessage(instance, mNow);
    });
}

void
WorkloadSimulation::RunAtAgent(std::size_t aWorker, std::function<void()> aWork)
{
  const auto waitMs = mWorkers[aWorker]->mPausedUntil - mNowMs;
  if (waitMs <= 0) {
    aWork();
  } else {
    ScheduleAfter(waitMs, std::move(aWork));
  }
}

void
WorkloadSimulation::BeginPlannedEnd(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  if (worker.mIsEnding || worker.mIsTargetDead) {
    return;
  }
  worker.mIsEnding = true;
  const auto incarnation = worker.mTarget->mTargetInfo.mTargetIncarnation;
  // Runs aWork unless the target has restarted for another reason.
  const auto after = [this, aWorker, incarnation](std::int64_t aMs,
                                                  std::function<void()> aWork) {
    ScheduleAfter(aMs, [this, aWorker, incarnation, work = std::move(aWork)] {
      Worker& ending = *mWorkers[aWorker];
      if (ending.mTarget->mTargetInfo.mTargetIncarnation == incarnation) {
        work();
      }
    });
  };
  const auto drainMs = Between(500, 3000);
  const auto endMs = drainMs + (HappensWith(0.5) ? 10 : Between(500, 5000));
  AnnounceLeave(aWorker);
  after(drainMs, [this, aWorker] { DeliverDelete(aWorker); });
  after(endMs, [this, aWorker] {
    RestartTargetSlowly(aWorker, Between(0, 2000), Between(10, 1500));
  });
  if (HappensWith(0.5)) {
    ScheduleAfter(drainMs + Between(10, 6000), [this, aWorker, incarnation] {
      RunAtAgent(aWorker, [this, aWorker, incarnation] {
        mWorkers[aWorker]->mAgent->OnLeaveMessage(incarnation.mInstance, mNow);
      });
    });
  }
}

void
WorkloadSimulation::PauseAgent(std::size_t aWorker, std::int64_t aForMs)
{
  Worker& worker = *mWorkers[aWorker];
  const Target& target = *worker.mTarget;
  worker.mPausedUntil = mNowMs + aForMs;
  std::vector<protocol::RunningTask> running;
  for (const auto& [task, run] : target.mRuns) {
    running.push_back({ run.mRun, "", 0 });
  }
  ScheduleAfter(aForMs,
                [this,
                 aWorker,
                 running,
                 ended = target.mEnded,
                 listed = target.mTargetInfo.mTargetIncarnation,
                 clock = target.Clock(mNowMs),
                 agent = worker.mIncarnation,
                 calledAt = mNow] {
                  Worker& paused = *mWorkers[aWorker];
                  if (paused.mIncarnation == agent) {
                    paused.mAgent->OnListing(
                      listed, clock, running, ended, calledAt, mNow);
                  }
                });
}

void
WorkloadSimulation::Shrink(std::size_t aWorker,
                           double aShare,
                           std::int64_t aForMs)
{
  Target& target = *mWorkers[aWorker]->mTarget;
  const auto scale = [aShare](std::uint64_t aAmount) {
    return static_cast<std::uint64_t>(static_cast<double>(aAmount) * aShare);
  };
  target.mTargetInfo.mCapacity = { scale(mOptions.mCapacity.mMilliCores),
                                   scale(mOptions.mCapacity.mMemoryMb),
                                   scale(mOptions.mCapacity.mAccelerators) };
  target.mShrunkAt = mNowMs;
  ScheduleAfter(
    aForMs,
    [this, aWorker, incarnation = target.mTargetInfo.mTargetIncarnation] {
      Target& present = *mWorkers[aWorker]->mTarget;
      if (present.mTargetInfo.mTargetIncarnation == incarnation) {
        present.mTargetInfo.mCapacity = mOptions.mCapacity;
        present.mShrunkAt.reset();
      }
    });
}

void
WorkloadSimulation::ReclaimVm(std::size_t aWorker, std::int64_t aStaysMs)
{
  mWorkers[aWorker]->mTarget->mTargetInfo.mRemainingMs =
    static_cast<std::uint64_t>(aStaysMs);
  mWorkers[aWorker]->mVmGoneAt = mNowMs + aStaysMs;
  AnnounceLeave(aWorker);
}

void
WorkloadSimulation::KillTarget(std::size_t aWorker)
{
  mWorkers[aWorker]->mIsTargetDead = true;
  mWorkers[aWorker]->mTarget->mRuns.clear();
}

void
WorkloadSimulation::Stall(std::size_t aWorker, std::int64_t aForMs)
{
  mWorkers[aWorker]->mStalledUntil = mNowMs + aForMs;
}

void
WorkloadSimulation::SetSlowness(std::size_t aWorker, double aSlowness)
{
  mWorkers[aWorker]->mSlowness = aSlowness;
}

void
WorkloadSimulation::ChangeLeader()
{
  ++mTerm;
  if (HappensWith(mOptions.mFaults.mDeposedLeaders)) {
    mDeposed = std::make_unique<DeposedLeader>();
    mDeposed->mDeposedAt = mNowMs;
    mDeposed->mUntil = mNowMs + Between(100, 1500);
    for (const auto& worker : mWorkers) {
      mDeposed->mAgents.push_back(worker->mIncarnation);
    }
    mDeposed->mScheduler = std::move(mScheduler);
    mDeposed->mState = std::move(mState);
    mState = std::make_unique<State>(*mDeposed->mState);
  }
  Lead();
}

void
WorkloadSimulation::SetEvacuation(const std::string& aZone, bool aEvacuated)
{
  protocol::WorkloadRequest request;
  request.mBody =
    protocol::SetZoneEvacuation{ base::ZoneId(aZone), aEvacuated };
  mScheduler->OnRequest(Session(1), request, mNow);
  Commit();
}

void
WorkloadSimulation::DelayOrders(std::size_t aWorker, std::int64_t aForMs)
{
  mWorkers[aWorker]->mOrderDelayMs = aForMs;
}

std::uint64_t
WorkloadSimulation::WaitingCount(const std::string& aQueue)
{
  return Request(protocol::CountWaitingWorkloads{
                   { protocol::QueueName(aQueue), {} } })
    .mWaitingCount;
}

void
WorkloadSimulation::EditCatalog(
  const std::function<void(protocol::Catalog&)>& aEdit)
{
  Catalog next = mState->CurrentCatalog();
  next.mVersion = protocol::CatalogVersion(next.mVersion.Value() + 1);
  aEdit(next);
  Request(protocol::ReplaceCatalog{ next });
}

protocol::WorkloadReply
WorkloadSimulation::Request(protocol::WorkloadRequestBody aBody)
{
  protocol::WorkloadRequest request;
  request.mBody = std::move(aBody);
  mReply = {};
  mScheduler->OnRequest(Session(1), request, mNow);
  Commit();
  return mReply;
}

std::set<base::ZoneId>
WorkloadSimulation::EvacuatedZones() const
{
  return mState->EvacuatedZones();
}

std::string
WorkloadSimulation::ZoneOf(std::size_t aWorker) const
{
  const auto perZone = mOptions.mWorkersPerZone;
  return "z" + std::to_string(perZone == 0 ? 0 : aWorker / perZone);
}

void
WorkloadSimulation::RunDeposedLeader()
{
  if (!mDeposed) {
    return;
  }
  if (mNowMs >= mDeposed->mUntil) {
    mDeposed.reset();
    return;
  }
  mDeposed->mScheduler->Tick(mNow);
  auto output = mDeposed->mScheduler->TakeOutput(mNow);
  for (const auto& message : output.mMessages) {
    const auto* orders = std::get_if<protocol::WorkerOrders>(&message.mBody);
    if (orders == nullptr) {
      continue;
    }
    const auto worker = message.mSession.Value() - 100;
    ScheduleAfter(
      Between(10, 1000),
      [this, worker, received = *orders, agent = mDeposed->mAgents[worker]] {
        if (mWorkers[worker]->mIncarnation == agent) {
          RunAtAgent(worker, [this, worker, received] {
            mWorkers[worker]->mAgent->OnOrders(received, mNow);
          });
        }
      });
  }
}

/** Starts the leadership of mTerm with a scheduler that knows only mState-> */
void
WorkloadSimulation::Lead()
{
  WorkloadSchedulerOptions options;
  options.mPolicies = mOptions.mPolicies;
  options.mEvacuationTime = base::Milliseconds(mOptions.mEvacuationMs);
  mScheduler = std::make_unique<WorkloadScheduler>(options, *mState);
  mScheduler->BecomeLeader(base::Term(mTerm), mNow);
}

void
WorkloadSimulation::Commit()
{
  for (int round = 0; round < 100; ++round) {
    auto output = mScheduler->TakeOutput(mNow);
    for (auto& message : output.mMessages) {
      Deliver(std::move(message));
    }
    for (const WorkloadEvent& event : output.mWorkloadEvents) {
      for (const auto& [name, value] : event.mFields) {
        if (event.mKind == WorkloadEvent::Kind::RunStopped &&
            name == "reason") {
          ++mStops[value];
        }
      }
    }
    if (output.mChanges.empty()) {
      return;
    }
    for (const Change& change : output.mChanges) {
      mState->Apply(change);
      if (const auto* end = std::get_if<EndRun>(&change.mBody)) {
        if (end->mEnd == RunEnd::Done) {
          mCommittedDone.insert(end->mRun.mTask);
        }
        const auto& id = end->mRun.mTask.mWorkload.Value();
        if (Phase(id) == protocol::WorkloadPhase::Complete) {
          mCompletedAt.try_emplace(id, mNowMs);
        }
      }
      if (const auto* evacuation =
            std::get_if<RecordEvacuation>(&change.mBody)) {
        if (evacuation->mEvacuated) {
          mEvacuatedAt.try_emplace(evacuation->mZone, mNowMs);
        } else {
          mEvacuatedAt.erase(evacuation->mZone);
        }
      }
      mScheduler->OnApplied(change, mNow);
    }
  }
  AddViolation("the scheduler still proposes changes after 100 rounds");
}

/** Returns whether the link drops the orders. Only starts make them large. */
static bool
ExceedsFrame(const protocol::WorkerOrders& aOrders)
{
  std::size_t bytes = 0;
  for (const auto& start : aOrders.mStarts) {
    bytes += start.mPayload.size() + start.mCheckpoint.size();
  }
  return bytes > protocol::kMaxFrameBytes;
}

void
WorkloadSimulation::Deliver(WorkloadSchedulerMessage aMessage)
{
  if (const auto* reply =
        std::get_if<protocol::WorkloadReply>(&aMessage.mBody)) {
    mReply = *reply;
  }
  const auto* orders = std::get_if<protocol::WorkerOrders>(&aMessage.mBody);
  if (orders == nullptr || HappensWith(mOptions.mFaults.mLostMessages) ||
      ExceedsFrame(*orders)) {
    return;
  }
  // The session of an agent is its index plus 100.
  const auto worker = aMessage.mSession.Value() - 100;
  const auto delayMs = kStepMs + mWorkers[worker]->mOrderDelayMs;
  ScheduleAfter(delayMs, [this, worker, received = *orders] {
    if (mWorkers[worker]->mDisconnectedUntil <= mNowMs) {
      RunAtAgent(
        worker,
        [this, worker, received, agent = mWorkers[worker]->mIncarnation] {
          if (mWorkers[worker]->mIncarnation == agent) {
            mWorkers[worker]->mAgent->OnOrders(received, mNow);
          }
        });
    }
  });
}

const protocol::WorkloadStep&
WorkloadSimulation::StepOf(const protocol::TaskId& aTask) const
{
  return mSpecs.at(aTask.mWorkload.Value()).mSteps.at(aTask.mStep);
}

void
WorkloadSimulation::Report(std::size_t aWorker)
{
  Worker& worker = *mWorkers[aWorker];
  worker.mNextRenewal = mNowMs + kRenewalMs / 5;
  const auto report = worker.mAgent->MakeReport(mNow);
  if (worker.mDisconnectedUntil > mNowMs ||
      HappensWith(mOptions.mFaults.mLostMessages)) {
    return;
  }
  const auto delayMs =
    HappensWith(mOptions.mFaults.mLateReports) ? Between(10, 3000) : kStepMs;
  ScheduleAfter(delayMs, [this, aWorker, report, sentMs = mNowMs] {
    if (mWorkers[aWorker]->mDisconnectedUntil <= mNowMs) {
      // A round that confirms the report may have ended before the election.
      if (mDeposed && sentMs < mDeposed->mDeposedAt && HappensWith(0.5)) {
        mDeposed->mScheduler->OnReport(Session(100 + aWorker), report, mNow);
        return;
      }
      mScheduler->OnReport(Session(100 + aWorker), report, mNow);
      Commit();
    }
  });
}

void
WorkloadSimulation::InjectFaults(std::size_t aWorker)
{
  const WorkloadFaults& faults = mOptions.mFaults;
  if (HappensWith(faults.mSlowTargetRestart)) {
    RestartTargetSlowly(aWorker, Between(0, 4000), Between(10, 1500));
  }
  if (HappensWith(faults.mPlannedEnd)) {
    BeginPlannedEnd(aWorker);
  }
  if (HappensWith(faults.mCapacityChange) &&
      !mWorkers[aWorker]->mTarget->mShrunkAt) {
    Shrink(aWorker, HappensWith(0.5) ? 0.5 : 0.25, Between(1000, 15000));
  }
  if (HappensWith(faults.mAgentPause)) {
    PauseAgent(aWorker, Between(500, 8000));
  }
}

void
WorkloadSimulation::Advance()
{
  mNowMs += kStepMs;
  mNow = base::Time(base::Milliseconds(mNowMs));
  while (!mScheduledWork.empty() && mScheduledWork.begin()->first <= mNowMs) {
    const auto work = std::move(mScheduledWork.begin()->second);
    mScheduledWork.erase(mScheduledWork.begin());
    work();
  }
  const WorkloadFaults& faults = mOptions.mFaults;
  if (HappensWith(faults.mLeaderChange)) {
    ChangeLeader();
  }
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    Worker& worker = *mWorkers[i];
    if (HappensWith(faults.mAgentRestart)) {
      StartAgent(i);
      worker.mNextAnnounce = mNowMs + kAnnounceMs;
    }
    if (HappensWith(faults.mTargetRestart)) {
      RestartTarget(i);
    }
    if (HappensWith(faults.mVmRestart)) {
      RestartVm(i);
    }
    if (HappensWith(faults.mAgentDisconnect)) {
      DisconnectAgent(
        i, std::uniform_int_distribution<std::int64_t>(500, 10000)(mRandom));
    }
    InjectFaults(i);
    RunWorker(i);
  }
  RunDeposedLeader();
  mScheduler->Tick(mNow);
  Commit();
}

void
WorkloadSimulation::RunFor(std::int64_t aMs)
{
  const std::int64_t end = mNowMs + aMs;
  while (mNowMs < end) {
    Advance();
  }
}

protocol::WorkloadPhase
WorkloadSimulation::Phase(const std::string& aId) const
{
  const auto* workload = mState->Find(WorkloadId(aId));
  return workload == nullptr ? protocol::WorkloadPhase::Queued
                             : workload->mPhase;
}

int
WorkloadSimulation::StartCount(const std::string& aId) const
{
  const auto it = mStarts.find(aId);
  return it == mStarts.end() ? 0 : it->second;
}

int
WorkloadSimulation::StopCount(const std::string& aReason) const
{
  const auto it = mStops.find(aReason);
  return it == mStops.end() ? 0 : it->second;
}

std::int64_t
WorkloadSimulation::FirstStartMs(const std::string& aId) const
{
  const auto it = mFirstStartedAt.find(aId);
  return it == mFirstStartedAt.end() ? -1 : it->second - mSubmittedAt.at(aId);
}

std::int64_t
WorkloadSimulation::CompleteMs(const std::string& aId) const
{
  const auto it = mCompletedAt.find(aId);
  return it == mCompletedAt.end() ? -1 : it->second - mSubmittedAt.at(aId);
}

std::set<std::size_t>
WorkloadSimulation::WorkersOf(const std::string& aId) const
{
  const auto it = mStartedOn.find(aId);
  return it == mStartedOn.end() ? std::set<std::size_t>() : it->second;
}

protocol::WorkloadSpec
OneStepSpec(std::uint32_t aCount,
            std::uint64_t aMilliCores,
            std::uint64_t aAccelerators,
            bool aGang)
{
  protocol::WorkloadSpec spec;
  protocol::WorkloadStep step;
  step.mCount = aCount;
  step.mTaskResources = { aMilliCores, 1000, aAccelerators };
  step.mEstimateMs = kDefaultRunMs;
  step.mGang = aGang;
  spec.mSteps.push_back(step);
  return spec;
}

} // namespace dogwooddrum::tests
