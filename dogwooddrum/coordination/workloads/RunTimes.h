/** \file
 * Defines RunProgress and RunTimes: when open runs will end, from the share of
 * their work that targets report, and how far callers' estimates are off.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

/** How far a run has come, from its target's lists. */
struct RunProgress
{
  std::uint32_t mPercent = 0;     ///< of the task's work, in the newest list
  base::Time mListedAt;           ///< newest list; zero: none yet
  base::Time mMovedAt;            ///< when the share last rose
  double mPercentPerSecond = 0;   ///< 0: not known yet
  std::uint32_t mSampleBegin = 0; ///< share at mSampleBeganAt
  base::Time mSampleBeganAt;
};

/** Takes a listed share of the work into aProgress. Precondition: aNow does
 * not go back. Thread safety: none. */
void
Observe(RunProgress& aProgress, std::uint32_t aPercent, base::Time aNow);

/** Returns the time to the end at the present rate; none while the rate is not
 * known. Thread safe. */
std::optional<base::Duration>
TimeLeft(const RunProgress& aProgress, base::Time aNow);

/** Returns the time of the whole task at the present rate; none while the rate
 * is not known. Thread safe. */
std::optional<base::Duration>
WholeTime(const RunProgress& aProgress);

/**
 * Run times of tasks, learned from progress and ends. Callers' estimates are
 * off by a factor that tasks of one step share, and that differs less between
 * the workloads of one queue than estimates do from run times. Kept by the
 * leader only: a new one learns again from the first lists. Thread safety:
 * none.
 */
class RunTimes
{
public:
  /** Takes the whole time of a task, measured or projected. */
  void AddStep(const protocol::TaskId& aTask, base::Duration aWhole);
  /** Takes the run time of a task that ended as done. aEstimateMs: as its
   * caller said; 0: not said. */
  void AddDone(const protocol::QueueName& aQueue,
               std::uint64_t aEstimateMs,
               base::Duration aWhole);
  /** Returns the expected time of a whole task. */
  base::Duration Expect(const protocol::TaskId& aTask,
                        const protocol::QueueName& aQueue,
                        std::uint64_t aEstimateMs) const;
  void Forget(const protocol::WorkloadId& aWorkload);

private:
  using Step = std::tuple<protocol::WorkloadId, std::uint32_t, std::uint32_t>;
  static Step StepOf(const protocol::TaskId& aTask);

  std::map<Step, base::Duration> mSteps;
  /** Mean logarithm of run time over estimate. */
  std::map<protocol::QueueName, double> mRatios;
};

} // namespace dogwooddrum::coordination::workloads
