/** \file
 * Defines WorkloadSimulation, a leader's workload scheduler with agents and
 * fake targets in virtual time, over messages and orders that may be lost,
 * delayed and repeated. It records each violation of an invariant that a target
 * can observe.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

/** Probabilities of faults, from 0 to 1. */
struct WorkloadFaults
{
  double mLostMessages = 0;     ///< between agents and leader
  double mUnansweredOrders = 0; ///< half of them are executed late
  double mFailingRuns = 0;
  double mRefusedStarts = 0; ///< by an unhealthy target
  /** Probability in each step of 10 ms, as for the faults below. */
  double mLeaderChange = 0;
  double mAgentRestart = 0;
  double mTargetRestart = 0;
  double mAgentDisconnect = 0;   ///< cut off from the leader for up to 10 s
  double mVmRestart = 0;         ///< see RestartVm
  double mSlowTargetRestart = 0; ///< see RestartTargetSlowly
  double mPlannedEnd = 0;        ///< see BeginPlannedEnd
  double mAgentPause = 0;        ///< its process is stopped for up to 8 s
  double mCapacityChange = 0;    ///< it is less for up to 8 s, see Shrink
  /** Probabilities for each message. */
  double mLateAnnouncements = 0; ///< a copy arrives up to 5 s later
  double mLateReports = 0;       ///< arrives up to 3 s later
  /** Probability that the clock of a VM is wrong by up to 3 s when its target
   * starts, so that start times do not rise. */
  double mWrongClocks = 0;
  /** Whether a late order may reach the next incarnation of its target. */
  bool mLateOrdersOutliveTarget = true;
  /** Probability that a deposed leader goes on for up to 1.5 s. */
  double mDeposedLeaders = 0;
};

struct WorkloadSimulationOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 4;
  protocol::Resources mCapacity{ 64000, 131072, 8 };
  std::size_t mWorkersPerRack = 2;
  std::uint64_t mGuaranteed = 16; ///< of the account "tenant"
  /** Objective of all queues: the slack factor times the estimate, and a fixed
   * time. */
  std::uint32_t mSlackPermille = 1000;
  std::uint64_t mTargetRunTimeMs = 0;
  /** Whether a crashed target returns under its id. */
  bool mCrashesKeepInstance = false;
  WorkloadFaults mFaults;
  /** Workers of each of the zones "z0", "z1" and so on; 0: all are in "z0".
   */
  std::size_t mWorkersPerZone = 0;
  std::int64_t mEvacuationMs = 0; ///< see WorkloadSchedulerOptions
  coordination::workloads::Policies mPolicies;
};

/** Simulates one leader with its workers. Thread safety: none. */
class WorkloadSimulation
{
public:
  explicit WorkloadSimulation(const WorkloadSimulationOptions& aOptions);
  ~WorkloadSimulation();

  /** Submits a workload to the queue "p0", "p1" or "p2", of that priority. */
  void Submit(const std::string& aId,
              const std::string& aQueue,
              protocol::WorkloadSpec aSpec,
              const std::string& aAccount = "tenant");
  void Cancel(const std::string& aId);
  /** Sets the run time of each task of the workload, in ms. */
  void SetRunTime(const std::string& aId, std::int64_t aMs);
  /** Makes the runs of a workload fail. */
  void MakeRunsFail(const std::string& aId);
  /** Makes each target crash that starts a task of the workload. See
   * CrashTarget. */
  void MakeStartsCrash(const std::string& aId);
  /** Ends the target without an announcement; after aDownMs it is back without
   * runs, as another instance or under its id. Its agent stays up. */
  void CrashTarget(std::size_t aWorker,
                   std::int64_t aDownMs,
                   bool aKeepsInstance);
  /** Returns the number of targets that crashed when a task of the workload
   * started. */
  int CrashCount(const std::string& aId) const;
  /** Makes all later runs on a worker fail, when they would be done or, if that
   * is earlier, after aAfterMs. */
  void MakeWorkerFail(std::size_t aWorker, std::int64_t aAfterMs = kNever);
  void DisconnectAgent(std::size_t aWorker, std::int64_t aForMs);
  void RestartTarget(std::size_t aWorker);
  /** Restarts a target that answers no call for aDownMs and announces itself
   * aSilentMs after that. */
  void RestartTargetSlowly(std::size_t aWorker,
                           std::int64_t aDownMs,
                           std::int64_t aSilentMs);
  /** Restarts a VM after a power loss: its agent has no memory, and its target
   * has another id and no run. */
  void RestartVm(std::size_t aWorker);
  /** Reduces the target's capacity to a share of it for some time; it announces
   * each change with its next announcement. */
  void Shrink(std::size_t aWorker, double aShare, std::int64_t aForMs);
  /** Begins a planned end: the target announces it, sends a DELETE, of which a
   * copy may come late, ends at once or some seconds later, and starts again
   * under its id. */
  void BeginPlannedEnd(std::size_t aWorker);
  /** Stops the agent's process; messages to it wait. A list that it had called
   * for may be handled when it goes on. */
  void PauseAgent(std::size_t aWorker, std::int64_t aForMs);
  void AnnounceLeave(std::size_t aWorker);
  /** Delivers the message of a target's planned end, which names only the
   * instance, to the agent. The target itself runs on until KillTarget. */
  void DeliverDelete(std::size_t aWorker);
  /** Announces that the worker leaves, and removes its VM with the target and
   * the agent after aStaysMs. */
  void ReclaimVm(std::size_t aWorker, std::int64_t aStaysMs);
  /** Ends the target without an announcement; its agent stays up. */
  void KillTarget(std::size_t aWorker);
  /** Stops the progress of all runs on a worker. */
  void Stall(std::size_t aWorker, std::int64_t aForMs);
  /** Makes later runs on a worker take aSlowness times their run time. */
  void SetSlowness(std::size_t aWorker, double aSlowness);
  void ChangeLeader();
  /** Requests the evacuation of a zone, or withdraws it. A start there later
   * than mEvacuationMs after its commit is a violation. */
  void SetEvacuation(const std::string& aZone, bool aEvacuated);
  /** Makes orders to the agent arrive aForMs late from now on, 0: in time. */
  void DelayOrders(std::size_t aWorker, std::int64_t aForMs);
  /** Returns the number of waiting workloads of a queue. */
  std::uint64_t WaitingCount(const std::string& aQueue);
  /** Makes the leader adopt the next version of the catalog, as aEdit changes
   * it. */
  void EditCatalog(const std::function<void(protocol::Catalog&)>& aEdit);
  /** Returns the leader's reply to a request of an entry. */
  protocol::WorkloadReply Request(protocol::WorkloadRequestBody aBody);
  std::set<base::ZoneId> EvacuatedZones() const;
  std::string ZoneOf(std::size_t aWorker) const;
  void RunFor(std::int64_t aMs);
  /** Sets the probabilities of all faults to 0. */
  void ClearFaults() { mOptions.mFaults = WorkloadFaults{}; }

  protocol::WorkloadPhase Phase(const std::string& aId) const;
  /** Returns the number of starts of tasks of the workload at targets. */
  int StartCount(const std::string& aId) const;
  /** Returns the number of runs that the leader stopped for aReason. */
  int StopCount(const std::string& aReason) const;
  /** Returns the time from submission to the first start in ms, or -1. */
  std::int64_t FirstStartMs(const std::string& aId) const;
  /** Returns the time from submission until Phase was first seen to be complete
   * in ms, or -1. */
  std::int64_t CompleteMs(const std::string& aId) const;
  /** Returns the workers on which tasks of the workload were started. */
  std::set<std::size_t> WorkersOf(const std::string& aId) const;
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  static constexpr std::int64_t kNever =
    std::numeric_limits<std::int64_t>::max();

  struct Target;
  struct RunningTask;
  struct Worker;
  struct Later;
  struct DeposedLeader;

  void Advance();
  void InjectFaults(std::size_t aWorker);
  /** Checks that the target has the resources for a start in addition to its
   * runs. A reduced capacity counts from when the leader has to know it. */
  void CheckCapacity(std::size_t aWorker,
                     const protocol::TaskId& aTask,
                     const std::string& aName);
  /** Checks that the zone of a start is not evacuated. */
  void CheckZone(std::size_t aWorker, const std::string& aName);
  void AnnounceTarget(std::size_t aWorker);
  void ProbeCandidates(std::size_t aWorker);
  void RunDeposedLeader();
  /** Runs aWork now, or when the agent's pause is over. */
  void RunAtAgent(std::size_t aWorker, std::function<void()> aWork);
  std::int64_t Between(std::int64_t aLeastMs, std::int64_t aMostMs);
  void AcknowledgeEnd(std::size_t aWorker, const protocol::EndedTask& aEnded);
  void Lead();
  bool HappensWith(double aShare);
  void Commit();
  void Deliver(coordination::workloads::WorkloadSchedulerMessage aMessage);
  void RunWorker(std::size_t aWorker);
  void StartAgent(std::size_t aWorker);
  void SendOrders(std::size_t aWorker);
  void Renew(std::size_t aWorker);
  void Report(std::size_t aWorker);
  void CallTarget(std::size_t aWorker,
                  const coordination::workloads::OrderCall& aCall);
  coordination::workloads::OrderOutcome ExecuteOrder(
    std::size_t aWorker,
    const coordination::workloads::OrderCall& aCall);
  coordination::workloads::OrderOutcome Start(
    std::size_t aWorker,
    const coordination::workloads::OrderCall& aCall);
  void CheckStart(std::size_t aWorker, const protocol::RunId& aRun);
  /** Returns whether a member of a gang has done its share and waits for
   * another member. */
  bool WaitsForGang(const RunningTask& aRunning) const;
  void AdvanceTarget(std::size_t aWorker);
  void AddViolation(const std::string& aWhat);
  void ScheduleAfter(std::int64_t aMs, std::function<void()> aWork);
  const protocol::WorkloadStep& StepOf(const protocol::TaskId& aTask) const;

  WorkloadSimulationOptions mOptions;
  std::mt19937_64 mRandom;
  base::Time mNow;
  std::int64_t mNowMs = 1000;
  std::uint64_t mTerm = 1;
  std::unique_ptr<coordination::workloads::State> mState;
  std::unique_ptr<coordination::workloads::WorkloadScheduler> mScheduler;
  std::unique_ptr<DeposedLeader> mDeposed;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::multimap<std::int64_t, std::function<void()>> mScheduledWork;
  std::map<std::string, protocol::WorkloadSpec> mSpecs;
  std::map<std::string, std::int64_t> mRunTimes;
  std::map<std::string, std::int64_t> mSubmittedAt;
  std::map<std::string, std::int64_t> mFirstStartedAt;
  std::map<std::string, std::int64_t> mCompletedAt;
  std::map<std::string, int> mStarts;
  std::map<std::string, int> mStops;
  std::map<std::string, std::set<std::size_t>> mStartedOn;
  std::set<std::string> mFailing;
  std::set<std::string> mCrashing;
  std::map<std::string, int> mCrashes;
  std::map<protocol::TaskId, int> mAcknowledgedFailures;
  std::set<protocol::TaskId> mCommittedDone;
  std::map<protocol::TaskId, std::int64_t> mLastStartAt;
  std::set<protocol::TaskId> mAcknowledgedDone;
  std::map<base::ZoneId, std::int64_t> mEvacuatedAt;
  protocol::WorkloadReply mReply; ///< the newest
  std::vector<std::string> mViolations;
  bool mIsLateOrder = false; ///< the order being executed is a late copy
};

/** Returns a spec of one step with the default run time as its estimate. */
protocol::WorkloadSpec
OneStepSpec(std::uint32_t aCount,
            std::uint64_t aMilliCores,
            std::uint64_t aAccelerators,
            bool aGang);

} // namespace dogwooddrum::tests
