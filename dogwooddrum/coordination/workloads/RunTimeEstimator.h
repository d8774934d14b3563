/** \file
 * Defines RunProgress and RunTimeEstimator, which estimate when open runs will
 * end, from the progress that targets report and from the error of earlier
 * estimates by callers.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/QueueRegistry.h"
#include "dogwooddrum/protocol/Workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

namespace dogwooddrum::coordination::workloads {

/** Progress of a run, from its target's lists. */
struct RunProgress
{
  std::uint32_t mPercent = 0;            ///< of the task's work, as listed last
  base::Time mListedAt;                  ///< newest list; zero: none yet
  base::Time mAdvancedAt;                ///< when mPercent last rose
  double mPercentPerSecond = 0;          ///< smoothed rate; 0: not known yet
  std::uint32_t mSampleStartPercent = 0; ///< mPercent at mSampleStartedAt
  base::Time mSampleStartedAt;
};

/** Records the progress of a run as listed at aNow. Precondition: aNow does not
 * decrease between calls. Thread safety: none. */
void
UpdateProgress(RunProgress& aProgress, std::uint32_t aPercent, base::Time aNow);

/** Returns the time until the run ends at its present rate; none while the rate
 * is not known. Thread safe. */
std::optional<base::Duration>
ProjectedTimeLeft(const RunProgress& aProgress, base::Time aNow);

/** Returns the run time of the whole task at the present rate; none while the
 * rate is not known. Thread safe. */
std::optional<base::Duration>
ProjectedRunTime(const RunProgress& aProgress);

/**
 * Estimates the run times of tasks from progress and completed runs. Callers'
 * estimates are wrong by a factor that is the same for all tasks of a step, and
 * that varies less between the workloads of a queue than estimates differ from
 * run times. Not replicated: a new leader starts without samples, and adds them
 * from the first lists on. Thread safety: none.
 */
class RunTimeEstimator
{
public:
  /** Adds the run time of a whole task of a step, measured or projected. */
  void AddStepSample(const protocol::TaskId& aTask, base::Duration aWhole);
  /** Adds the run time of a task of the queue that ended as done. aEstimateMs:
   * the caller's estimate; 0: none. */
  void AddQueueSample(const QueueKey& aQueue,
                      std::uint64_t aEstimateMs,
                      base::Duration aWhole);
  /** Returns the expected run time of a whole task. */
  base::Duration ExpectedRunTime(const protocol::TaskId& aTask,
                                 const QueueKey& aQueue,
                                 std::uint64_t aEstimateMs) const;
  /** Returns the run time of the step's other tasks; none if not known. */
  std::optional<base::Duration> StepRunTime(
    const protocol::TaskId& aTask) const;
  void RemoveWorkload(const protocol::WorkloadId& aWorkload);

private:
  using Step = std::tuple<protocol::WorkloadId, std::uint32_t, std::uint32_t>;
  static Step StepOf(const protocol::TaskId& aTask);

  std::map<Step, base::Duration> mSteps;
  /** Moving average of the logarithm of run time over estimate. */
  std::map<QueueKey, double> mRatios;
};

} // namespace dogwooddrum::coordination::workloads
