/** \file
 * Defines workload mixes and the scripts of jobs and worker failures that are
 * drawn from them.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Placer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dogwooddrum::bench {

/** One kind of job in a mix. Times are in seconds. */
struct MixClass
{
  std::string mName;
  std::string mProfile;
  std::vector<std::string> mAccounts; ///< drawn with equal probability
  std::vector<std::uint32_t> mTasks;  ///< drawn with equal probability
  std::vector<std::uint32_t> mAcceleratorsPerTask;
  protocol::Adjacency mAdjacency = protocol::Adjacency::None;
  double mLoadShare = 0;  ///< share of the offered accelerator seconds
  double mMedianRun = 60; ///< median of the log-normal run time
  double mSigma = 0.5;    ///< sigma of the log-normal run time
  double mMaxRun = 3600;
  double mDeadline = 0; ///< time after submission; 0: none
  bool mRepeatable = true;
  bool mCheckpoints = true; ///< false: a stop loses all work done
};

/** A workload mix: the cluster, its accounts and the kinds of jobs. */
struct JobMix
{
  std::string mName;
  std::uint32_t mWorkers = 10;
  std::uint32_t mAccelerators = 8;
  std::uint32_t mWorkersPerRack = 3;
  double mHorizon = 14400;           ///< end of the arrivals, in seconds
  double mCancelShare = 0;           ///< share of jobs that are cancelled
  std::uint32_t mWorkerFailures = 0; ///< number over the horizon
  double mRestartSeconds = 5; ///< delay until a resumed job makes progress
  double mStopSeconds = 0.8;  ///< delay from the order to stop to the stop
  protocol::Configuration mConfiguration;
  std::vector<MixClass> mClasses;
};

/** One job of a script, with properties that the policy does not see. */
struct ScriptJob
{
  coordination::placement::JobRequest mRequest;
  std::size_t mClass = 0;
  double mRun = 0;    ///< true run time, in seconds
  double mCancel = 0; ///< seconds after submission; 0: never
};

/** A worker that fails and later returns. Times are in seconds. */
struct ScriptFailure
{
  std::uint32_t mWorker = 0;
  double mDownAt = 0;
  double mUpAt = 0;
};

/** The jobs and worker failures of one replay. */
struct Script
{
  std::vector<ScriptJob> mJobs; ///< ordered by submission
  std::vector<ScriptFailure> mFailures;
};

/** Reads a mix from an INI file; throws std::runtime_error if it is invalid. */
JobMix
ReadMix(const std::string& aPath);
/** Draws a script whose jobs need the fraction aLoad of the capacity over the
 * horizon. */
Script
DrawScript(const JobMix& aMix, double aLoad, std::uint64_t aSeed);
/** Returns the time aSeconds after the start of the replay. */
base::Time
AtSeconds(double aSeconds);
/** Returns the seconds since the start of the replay. */
double
SecondsOf(base::Time aTime);
/** Returns the workers of a mix. */
std::vector<coordination::placement::WorkerDescription>
WorkersOf(const JobMix& aMix);

} // namespace dogwooddrum::bench
