/** \file
 * Defines WorkerSpeeds, which learns how long workers take for the same work.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Observations.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** A slowness is used only if it differs at least by this factor from that of
 * the median worker: smaller differences are not worth other placements. */
constexpr double kLeastSlowness = 1.3;

/**
 * Compares the progress rates of the tasks of a step that run on several VMs.
 * The run time of a task is the work of its step times the slowness of its VM,
 * with errors, since the tasks of a step differ. A VM is known by the name of
 * its agent, so that what was learned outlives its target. Old samples are
 * dropped, so that a VM that changes is learned anew. Thread safety: none.
 */
class WorkerSpeeds
{
public:
  /** Adds a task's progress as listed at aNow. aAgent: the VM that runs it.
   * aIsRemote: it runs away from its data, and is compared only with others
   * that do. Precondition: aNow does not decrease between calls. */
  void Add(const std::string& aAgent,
           const protocol::RunId& aRun,
           std::uint32_t aPercent,
           bool aIsRemote,
           base::Time aNow);
  /** Returns how much longer the VM takes than the median VM; 1 unless it is
   * known to differ clearly. */
  double SlownessOf(const std::string& aAgent) const;
  /** Returns the VMs that differ clearly, by name. */
  std::vector<ObservedSpeed> Observed() const;
  /** Starts with what an earlier leader has learned. */
  void Adopt(const std::vector<ObservedSpeed>& aSpeeds);

private:
  using Step =
    std::tuple<protocol::WorkloadId, std::uint32_t, std::uint32_t, bool>;
  struct Sample
  {
    std::string mAgent;
    std::uint32_t mFirstPercent = 0;
    base::Time mFirstAt;
    std::uint32_t mPercent = 0;
    double mLogTime = 0; ///< of the projected run time in s
    bool mIsValid = false;
  };
  struct StepSamples
  {
    std::map<protocol::RunId, Sample> mRuns;
    base::Time mNewestAt;
  };
  struct Speed
  {
    double mLogSlowness = 0;
    double mSamples = 0;
    double mAdopted = 0;        ///< mLogSlowness that an earlier leader learned
    double mAdoptedSamples = 0; ///< its weight
    bool mIsClear = false;      ///< it differs clearly from the median VM
  };

  void DropOld(base::Time aNow);
  /** Fits the slowness of all VMs to the samples. */
  void Fit(base::Time aNow);
  /** Adds what each sample tells of its VM beside the others of its step, given
   * the present slowness of all, and its weight. Returns the variance of the
   * errors. */
  double SumResiduals(base::Time aNow,
                      std::map<std::string, std::pair<double, double>>& aSums);
  void CenterAtMedian();

  std::map<Step, StepSamples> mSteps;
  std::map<std::string, Speed> mSpeeds;
  base::Time mNextFit;
};

} // namespace dogwooddrum::coordination::workloads
