/** \file
 * Defines Policies, the mechanisms of WorkloadScheduler that can be switched
 * off by a setting: by operators, and to measure what each is worth. None of
 * them is needed for an invariant.
 */
#pragma once

namespace dogwooddrum::coordination::workloads {

/** Whether the scheduler uses each mechanism. */
struct Policies
{
  /** Keeps resources free for urgent work. */
  bool mUrgentHeadroom = true;
  /** Waits for a rack with the data or with room for the whole gang. */
  bool mLocalityWait = true;
  /** Uses workers last whose runs failed or stalled. */
  bool mWorkerSuspicion = true;
  /** Stops runs that make no progress. */
  bool mStallStops = true;
  /** Stops nothing for resources that come free soon. */
  bool mAwaitSoonEnds = true;
  /** Limits what a preemption without a guarantee may lose. */
  bool mLossLimit = true;
  /** Weighs lost work by its priority. */
  bool mPriorityWeight = true;
  /** Corrects estimates by observed run times. */
  bool mLearnedRunTimes = true;
  /** Places long-running tasks before other work that is not urgent. */
  bool mLongRunningFirst = true;
  /** Places guaranteed work before other urgent work. */
  bool mGuaranteedFirst = true;
  /** Holds workers for the first waiting unit of a priority. */
  bool mReservations = true;
  /** Divides a pool between priorities that are not urgent; otherwise the more
   * urgent ones may use all of it. */
  bool mFairShares = true;
  /** Places work by the observed speeds of the workers. */
  bool mWorkerSpeeds = true;
  /** Expects run times by the distribution of finished runs. */
  bool mRunTimeDistributions = true;
  /** Divides what a priority that is not urgent uses of a pool between client
   * accounts. */
  bool mAccountShares = false;
  /** Lets a new leader end the runs of targets that their VMs have replaced. */
  bool mTargetBindings = true;
};

} // namespace dogwooddrum::coordination::workloads
