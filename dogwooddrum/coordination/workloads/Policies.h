/** \file
 * Defines Policies, the mechanisms of WorkloadScheduler that can be switched
 * off by a setting: by operators, and to measure what each is worth. None of
 * them is needed for an invariant.
 */
#pragma once

namespace dogwooddrum::coordination::workloads {

/** Whether the scheduler uses a mechanism. */
struct Policies
{
  bool mUrgentHeadroom = true; ///< keeps resources free for urgent work
  bool mLocalityWait =
    true; ///< waits for a rack with the data or the whole gang
  bool mWorkerSuspicion =
    true;                  ///< uses workers last whose runs failed or stalled
  bool mStallStops = true; ///< stops runs that make no progress
  bool mAwaitSoonEnds =
    true; ///< counts resources of runs that end soon as released
  bool mLossLimit = true; ///< limits what a stop without a guarantee may lose
  bool mPriorityWeight = true;  ///< weighs lost work by its priority
  bool mLearnedRunTimes = true; ///< corrects estimates by observed run times
  bool mLongRunningFirst =
    true; ///< places long-running tasks before other work
  bool mGuaranteedFirst =
    true; ///< places guaranteed work before other urgent work
  bool mTargetBindings =
    true; ///< ends the runs of targets that an earlier leader has bound and
          ///< whose VM has another one
};

} // namespace dogwooddrum::coordination::workloads
