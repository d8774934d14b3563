/** \file
 * Defines SlowTargetDetector, which ejects workers whose targets take much
 * longer than others for the same profile: they get no new work for a while.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dogwooddrum::coordination::control {

struct SlowTargetDetectorOptions
{
  /** Mean run time that ejects a worker, as a multiple of the median over
   * workers. */
  double mFactor = 4;
  /** Fewest runs on a worker before it is compared or counts for the median. */
  std::uint32_t mMinRuns = 10;
  /** Fewest workers with that many runs of a profile before any is compared. */
  std::uint32_t mMinWorkers = 4;
  /** Largest share of known workers that is ejected at a time. A cluster of
   * fewer than ten workers ejects none, because its gangs need all of them. */
  double mMaxEjectedShare = 0.1;
  base::Duration mFirstEjection = base::Milliseconds(30000);
  base::Duration mLongestEjection = base::Milliseconds(600000);
};

/**
 * Compares workers by the geometric mean of their run times, because a few very
 * long runs of a heavy-tailed mix change that mean little.
 * Thread safety: none.
 */
class SlowTargetDetector
{
public:
  explicit SlowTargetDetector(const SlowTargetDetectorOptions& aOptions);

  /**
   * Records a run. Returns the end of the ejection if this run makes the worker
   * an outlier.
   */
  std::optional<base::Time> RecordRun(const base::WorkerId& aWorker,
                                      const base::ProfileId& aProfile,
                                      base::Duration aRun,
                                      base::Time aNow);
  /** Readmits and returns the workers whose ejection has ended. */
  std::vector<base::WorkerId> Readmit(base::Time aNow);
  bool IsEjected(const base::WorkerId& aWorker) const;
  /** Discards all data on a worker, which also ends its ejection. */
  void Forget(const base::WorkerId& aWorker);

private:
  struct RunTimeMean
  {
    double mLogMicroseconds = 0;
    std::uint32_t mRuns = 0;
  };
  using Profiles = std::map<base::ProfileId, RunTimeMean>;
  struct CachedMedian
  {
    base::Time mRefreshAt{ base::Time::min() };
    std::optional<double> mLogMicroseconds;
  };

  std::optional<double> GetMedian(const base::ProfileId& aProfile,
                                  base::Time aNow);
  std::optional<double> ComputeMedian(const base::ProfileId& aProfile) const;
  bool CanEject() const;

  SlowTargetDetectorOptions mOptions;
  std::map<base::WorkerId, Profiles> mRunTimes;
  std::map<base::ProfileId, CachedMedian> mMedians;
  std::map<base::WorkerId, base::Time> mEjectedUntil;
  /** Ejections of each worker so far; each one doubles the time of the next. */
  std::map<base::WorkerId, std::uint32_t> mEjectionCounts;
};

} // namespace dogwooddrum::coordination::control
