/** \file
 * Defines a scripted host for a placer, which executes decisions in virtual
 * time, stops victims at their deadlines and records starts and stops.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Placer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

namespace pl = coordination::placement;

/** Steps of a test script; times are in milliseconds. */
class PlacementScenario
{
public:
  /** Adds aWorkers workers of aAccelerators each, aPerRack in each rack, in one
   * zone. */
  PlacementScenario(const pl::PlacerOptions& aOptions,
                    std::uint32_t aWorkers,
                    std::uint32_t aAccelerators,
                    std::uint32_t aPerRack);

  /** Adds an account with a guarantee; call before ApplyConfiguration. */
  void AddGuarantee(const std::string& aAccount,
                    std::uint32_t aCount,
                    std::uint32_t aAccelerators,
                    protocol::Adjacency aLevel);
  /** Sets the profiles "batch", "interactive" and "must-finish" and the
   * guarantees. Returns the refusal, or an empty string if accepted. */
  std::string ApplyConfiguration();
  /** Submits a job and returns its number. */
  std::uint64_t Submit(const std::string& aAccount,
                       const std::string& aProfile,
                       const protocol::GangShape& aShape,
                       std::int64_t aDeadlineMs = 0);
  /** Advances time in steps of 100 ms; victims stop at Preempt::mStopBy or
   * Move::mStopBy. */
  void AdvanceTime(std::int64_t aMs);
  void Finish(std::uint64_t aJob);
  /** Fails a task of the job on its first worker and requeues the job. */
  void FailTask(std::uint64_t aJob);

  bool IsHeld(std::uint64_t aJob) const { return mHeld.count(aJob) > 0; }
  /** Returns the first worker of a held job. */
  std::string WorkerOf(std::uint64_t aJob) const;
  bool IsRejected(std::uint64_t aJob) const { return mRejects.count(aJob) > 0; }

  pl::Placer mPlacer;
  base::Time mNow;
  std::map<std::uint64_t, pl::Start> mHeld;
  std::map<std::uint64_t, std::int64_t> mStartedMs; ///< last start
  std::map<std::uint64_t, pl::Reject> mRejects;
  std::vector<std::uint64_t> mStopped; ///< victims, in order
  std::vector<std::uint64_t> mMoved;
  std::vector<std::string> mQuarantined;
  std::uint64_t mStarts = 0;

private:
  void Decide();
  void Execute(const pl::Start& aStart);
  void Execute(const pl::Preempt& aPreempt);
  void Execute(const pl::Move& aMove);
  void Execute(const pl::Reject& aReject);
  void Execute(const pl::Quarantine& aQuarantine);

  protocol::Configuration mConfiguration;
  std::map<std::uint64_t, base::Time> mStopAt;
  std::uint64_t mLastJob = 0;
};

} // namespace dogwooddrum::tests
