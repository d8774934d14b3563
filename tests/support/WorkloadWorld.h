/** \file
 * Defines WorkloadWorld, a leader's workload scheduler with agents and fake
 * targets in virtual time, over messages and orders that may be lost, delayed
 * and repeated. It records every broken promise that a target can see.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Scheduler.h"
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

/** Shares of things that go wrong, from 0 to 1. */
struct WorkloadFaults
{
  double mLostMessages = 0;     ///< between agents and leader
  double mUnansweredOrders = 0; ///< half of them are carried out late
  double mFailingRuns = 0;
  double mRefusedStarts = 0; ///< by an unhealthy target
  /** Chance in each step of 10 ms. */
  double mLeaderChange = 0;
  double mAgentRestart = 0;
  double mTargetRestart = 0;
  double mAgentCut = 0; ///< from the leader, for up to 10 s
};

struct WorkloadWorldOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 4;
  protocol::Resources mCapacity{ 64000, 131072, 8 };
  std::size_t mWorkersPerRack = 2;
  std::uint64_t mGuaranteed = 16; ///< of the account "tenant"
  WorkloadFaults mFaults;
};

/** Thread safety: none. */
class WorkloadWorld
{
public:
  explicit WorkloadWorld(const WorkloadWorldOptions& aOptions);
  ~WorkloadWorld();

  /** Hands a workload in at a queue "p0", "p1" or "p2" of that priority. */
  void Submit(const std::string& aId,
              const std::string& aQueue,
              protocol::WorkloadSpec aSpec);
  void Cancel(const std::string& aId);
  /** Sets how long a task of that workload runs, in ms. */
  void SetRunTime(const std::string& aId, std::int64_t aMs);
  /** Lets the runs of a workload fail. */
  void SetFailing(const std::string& aId);
  /** Lets all runs on a worker fail. */
  void SetWorkerFailing(std::size_t aWorker);
  void CutAgent(std::size_t aWorker, std::int64_t aForMs);
  void RestartTarget(std::size_t aWorker);
  void Leave(std::size_t aWorker);
  /** Announces that the worker leaves, and takes its VM away after aStaysMs,
   * with its target and its agent. */
  void TakeAway(std::size_t aWorker, std::int64_t aStaysMs);
  /** Ends the target without a word; its agent lives on. */
  void KillTarget(std::size_t aWorker);
  /** Lets the runs on a worker stand still. */
  void Stall(std::size_t aWorker, std::int64_t aForMs);
  void ChangeLeader();
  void Run(std::int64_t aMs);
  /** Stops all random faults. */
  void Calm() { mOptions.mFaults = WorkloadFaults{}; }

  protocol::WorkloadPhase Phase(const std::string& aId) const;
  /** Returns how often a task of the workload was started at a target. */
  int Starts(const std::string& aId) const;
  /** Returns the time from hand-in to the first start in ms, or -1. */
  std::int64_t FirstStartMs(const std::string& aId) const;
  /** Returns the workers on which tasks of the workload were started. */
  std::set<std::size_t> WorkersOf(const std::string& aId) const;
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  struct Target;
  struct Worker;
  struct Later;

  void Step();
  bool Chance(double aShare);
  void Commit();
  void Deliver(coordination::workloads::SchedulerMessage aMessage);
  void RunWorker(std::size_t aWorker);
  void SendOrders(std::size_t aWorker);
  void Renew(std::size_t aWorker);
  void Report(std::size_t aWorker);
  void CallTarget(std::size_t aWorker,
                  const coordination::workloads::OrderCall& aCall);
  coordination::workloads::OrderOutcome Carry(
    std::size_t aWorker,
    const coordination::workloads::OrderCall& aCall);
  coordination::workloads::OrderOutcome Start(
    std::size_t aWorker,
    const coordination::workloads::OrderCall& aCall);
  void CheckStart(std::size_t aWorker, const protocol::RunId& aRun);
  void AdvanceTarget(std::size_t aWorker);
  void Fail(const std::string& aWhat);
  void After(std::int64_t aMs, std::function<void()> aWork);
  const protocol::WorkloadStep& StepOf(const protocol::TaskId& aTask) const;

  WorkloadWorldOptions mOptions;
  std::mt19937_64 mRandom;
  base::Time mNow;
  std::int64_t mNowMs = 1000;
  std::uint64_t mTerm = 1;
  coordination::workloads::State mState;
  std::unique_ptr<coordination::workloads::Scheduler> mScheduler;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::multimap<std::int64_t, std::function<void()>> mLater;
  std::map<std::string, protocol::WorkloadSpec> mSpecs;
  std::map<std::string, std::int64_t> mRunTimes;
  std::map<std::string, std::int64_t> mSubmitted;
  std::map<std::string, std::int64_t> mFirstStarts;
  std::map<std::string, int> mStarts;
  std::map<std::string, std::set<std::size_t>> mPlaces;
  std::set<std::string> mFailing;
  std::map<protocol::TaskId, int> mNotedFailures;
  std::set<protocol::TaskId> mNotedDone;
  std::vector<std::string> mViolations;
  bool mCarriesLate = false; ///< the present order is carried out late
};

/** Returns a spec of one step. */
protocol::WorkloadSpec
OneStep(std::uint32_t aCount,
        std::uint64_t aMilliCores,
        std::uint64_t aAccelerators,
        bool aGang);

} // namespace dogwooddrum::tests
