#include "tests/support/WorkloadSimulation.h"

#include <algorithm>
#include <limits>

namespace dogwooddrum::tests {

using namespace coordination::workloads;
using protocol::EndedTask;
using protocol::RunEnd;

namespace {

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kDefaultRunMs = 1000;
constexpr std::int64_t kRenewalMs = 500;
constexpr std::int64_t kAnnounceMs = 1500;
constexpr std::int64_t kMaxOrderDelayMs = 12000;
constexpr std::uint32_t kMaxAttempts = 3;
/** Longest lease that a target grants. */
constexpr std::int64_t kMaxLeaseMs = 6000;

Catalog
MakeCatalog(std::uint64_t aGuaranteed)
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
    catalog.mQueues.push_back(queue);
  }
  catalog.mAccounts.push_back(
    { base::AccountId("tenant"), { "key" }, aGuaranteed });
  return catalog;
}

} // namespace

/** A simulated target that follows the platform's specification. */
struct WorkloadSimulation::Target
{
  struct Running
  {
    RunId mRun;
    std::int64_t mBeganAt = 0; ///< simulation time
    std::int64_t mEndsAt = 0;  ///< simulation time
    RunEnd mEnd = RunEnd::Done;
  };
  protocol::TargetInfo mTargetInfo;
  std::int64_t mClockZero = 0; ///< simulation time at which its clock is 0
  std::map<TaskId, Running> mRuns;
  std::map<TaskId, RunNumber> mClosed; ///< highest run stopped or ended
  std::vector<EndedTask> mEnded;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntil = 0;           ///< on its clock
  std::map<RunId, std::int64_t> mEndedAt; ///< ends since the lease last lapsed

  /** Returns the target's time; its clock runs 2% slow. */
  std::int64_t Clock(std::int64_t aNowMs) const
  {
    return (aNowMs - mClockZero) * 98 / 100;
  }
  void End(const TaskId& aTask, RunEnd aEnd, std::int64_t aNowMs)
  {
    const auto it = mRuns.find(aTask);
    EndedTask ended;
    ended.mNumber = ++mLastEnd;
    ended.mRun = it->second.mRun;
    ended.mEnd = aEnd;
    mEnded.push_back(ended);
    mEndedAt[ended.mRun] = aNowMs;
    auto& closed = mClosed[aTask];
    closed = std::max(closed, ended.mRun.mRun);
    mRuns.erase(it);
  }
};

struct WorkloadSimulation::Worker
{
  std::unique_ptr<WorkerAgent> mAgent;
  std::unique_ptr<Target> mTarget;
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSequence = 0;
  std::int64_t mNextAnnounce = 0;
  std::int64_t mNextRenewal = 0;
  std::int64_t mDisconnectedUntil = 0;
  std::int64_t mBusyUntil = 0; ///< waits for the answer to an order
  bool mFailing = false;
  std::int64_t mVmGoneAt = std::numeric_limits<std::int64_t>::max();
  std::int64_t mStalledUntil = 0;
  std::int64_t mTargetDownUntil = 0;
  bool mIsTargetDead = false;
  std::int64_t mPausedUntil = 0; ///< of the agent
  bool mIsEnding = false;        ///< a planned end is in progress
};

/** A leader that does not know yet that another one was elected. It has the
 * state of that moment and commits nothing. */
struct WorkloadSimulation::DeposedLeader
{
  std::unique_ptr<State> mState;
  std::unique_ptr<WorkloadScheduler> mScheduler;
  std::int64_t mDeposedAt = 0;
  std::int64_t mUntil = 0;
  std::vector<std::uint64_t> mAgents; ///< incarnations that have a link to it
};

WorkloadSimulation::WorkloadSimulation(
  const WorkloadSimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  mNow = base::Time(base::Milliseconds(mNowMs));
  mState = std::make_unique<State>();
  mState->Apply(Change{ AdoptCatalog{ MakeCatalog(aOptions.mGuaranteed) } });
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
  submit.mQueue = protocol::QueueName(aQueue);
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
  request.mBody =
    protocol::CancelWorkload{ WorkloadId(aId), workload->mQueueName };
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
WorkloadSimulation::MakeWorkerFail(std::size_t aWorker)
{
  mWorkers[aWorker]->mFailing = true;
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
  target->mTargetInfo.mTargetIncarnation = { "i-" + std::to_string(aWorker),
                                             mNowMs };
  target->mTargetInfo.mPool = protocol::PoolName("pool");
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
    if (output.mChanges.empty()) {
      return;
    }
    for (const Change& change : output.mChanges) {
      mState->Apply(change);
      if (const auto* end = std::get_if<EndRun>(&change.mBody)) {
        if (end->mEnd == RunEnd::Done) {
          mCommittedDone.insert(end->mRun.mTask);
        }
      }
      mScheduler->OnApplied(change, mNow);
    }
  }
  AddViolation("the scheduler still proposes changes after 100 rounds");
}

void
WorkloadSimulation::Deliver(WorkloadSchedulerMessage aMessage)
{
  const auto* orders = std::get_if<protocol::WorkerOrders>(&aMessage.mBody);
  if (orders == nullptr || HappensWith(mOptions.mFaults.mLostMessages)) {
    return;
  }
  // The session of an agent is its index plus 100.
  const auto worker = aMessage.mSession.Value() - 100;
  ScheduleAfter(kStepMs, [this, worker, received = *orders] {
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
  ResourceVector used = ResourcesOf(StepOf(task));
  for (const auto& [other, running] : mWorkers[aWorker]->mTarget->mRuns) {
    used = used + ResourcesOf(StepOf(other));
  }
  const ResourceVector capacity{
    static_cast<std::int64_t>(mOptions.mCapacity.mMilliCores),
    static_cast<std::int64_t>(mOptions.mCapacity.mMemoryMb),
    static_cast<std::int64_t>(mOptions.mCapacity.mAccelerators)
  };
  if (!Fits(used, capacity)) {
    AddViolation("resource limit: " + name + " does not fit on worker " +
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
  Target::Running running;
  running.mRun = run;
  running.mBeganAt = mNowMs;
  const auto time = mRunTimes.find(id);
  running.mEndsAt =
    mNowMs + (time == mRunTimes.end() ? kDefaultRunMs : time->second);
  const bool fails = mFailing.count(id) > 0 || mWorkers[aWorker]->mFailing ||
                     HappensWith(mOptions.mFaults.mFailingRuns);
  running.mEnd = fails ? RunEnd::Failed : RunEnd::Done;
  target.mRuns[run.mTask] = running;
  ++mStarts[id];
  mFirstStartedAt.emplace(id, mNowMs);
  mStartedOn[id].insert(aWorker);
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
    if (running.mEndsAt <= mNowMs) {
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
  SendOrders(aWorker);
  if (mNowMs >= worker.mNextRenewal) {
    Renew(aWorker);
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
      const auto percent =
        100 * (mNowMs - run.mBeganAt) /
        std::max<std::int64_t>(run.mEndsAt - run.mBeganAt, 1);
      running.push_back({ run.mRun, "", static_cast<std::uint32_t>(percent) });
    }
    worker.mAgent->OnListing(target.mTargetInfo.mTargetIncarnation,
                             target.Clock(mNowMs),
                             running,
                             target.mEnded,
                             mNow,
                             mNow);
  }
  Report(aWorker);
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

std::int64_t
WorkloadSimulation::FirstStartMs(const std::string& aId) const
{
  const auto it = mFirstStartedAt.find(aId);
  return it == mFirstStartedAt.end() ? -1 : it->second - mSubmittedAt.at(aId);
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
