/** \file
 * Defines RunTimeModel, which learns from finished runs how run times are
 * distributed, and what follows from that for a task that waits or runs.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Observations.h"
#include "dogwooddrum/coordination/workloads/QueueRegistry.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Tasks whose run times are expected to be alike. */
struct RunTimeClass
{
  QueueKey mQueue;
  base::AccountId mAccount;
  std::uint32_t mWidth = 1; ///< number of tasks of the step
};

/** Number of intervals of equal probability that an expectation has. */
constexpr std::size_t kRunTimeIntervals = 16;

/** Distribution of the run time of a task that has not ended. */
struct RunTimeExpectation
{
  base::Duration mMedian{};
  base::Duration mTail{}; ///< 90th percentile
  double mSamples = 0;    ///< of the class that was used; decayed
  /** Run times, in seconds, at the bounds between the intervals; rising, and
   * all zero if nothing is known. */
  std::array<double, kRunTimeIntervals - 1> mQuantiles{};
};

/** Returns the median of the time left to a task that has run for aElapsed. It
 * is continuous in aElapsed and never negative; beyond the observed run times
 * it grows with aElapsed. Thread safe. */
base::Duration
ExpectedRemaining(const RunTimeExpectation& aExpectation,
                  base::Duration aElapsed);

/** Decayed counts of values in buckets of equal width on a logarithmic scale.
 * Thread safety: none. */
class LogHistogram
{
public:
  /** aLowest: power of 2 at which the first bucket begins. */
  LogHistogram(int aLowest, std::size_t aBuckets);

  /** Adds a positive value. Values outside of the buckets count in the first or
   * last one. */
  void Add(double aValue, double aWeight);
  double Total() const;
  /** Returns the value below which the share of all values lies.
   * Precondition: Total() is positive, and aShare lies between 0 and 1. */
  double Quantile(double aShare) const;
  /** Returns the mean distance from the median, in powers of 2. This is the
   * error of the median as a prediction. Precondition: Total() is positive. */
  double Spread() const;

  /** Returns the counts in hundredths. */
  std::vector<std::uint32_t> Export() const;
  /** Replaces the counts by exported ones; counts of another size are ignored.
   */
  void Import(const std::vector<std::uint32_t>& aCounts);

private:
  std::size_t BucketOf(double aValue) const;

  int mLowest;
  std::vector<double> mCounts;
};

/**
 * Learns run times by queue, client account and number of tasks. For each class
 * it holds the distributions of the run time over the caller's estimate and of
 * the run time itself, and predicts by the one with the smaller spread. A class
 * with too few samples is replaced by the class of all accounts, then by that
 * of the queue. Memory is bounded: the class whose last sample is the oldest is
 * removed first. Thread safety: none.
 */
class RunTimeModel
{
public:
  static constexpr std::size_t kMaxClasses = 256;
  static constexpr std::size_t kMaxExported = 64;

  /** Adds the run time of a task that ended as done. aEstimateMs: the caller's
   * estimate; 0: none. aSlowness: how much longer its worker takes than the
   * median worker. aWeight: positive and at most 1; less for tasks whose run
   * times depend on each other. */
  void Add(const RunTimeClass& aClass,
           std::uint64_t aEstimateMs,
           base::Duration aRunTime,
           double aSlowness,
           double aWeight);
  /** Returns the expectation for a task on a median worker. */
  RunTimeExpectation Expect(const RunTimeClass& aClass,
                            std::uint64_t aEstimateMs) const;

  /** Returns the classes with the newest samples, at most kMaxExported. */
  std::vector<ObservedRunTimes> Export() const;
  /** Replaces all classes by exported ones, of which at most kMaxExported are
   * read. */
  void Import(const std::vector<ObservedRunTimes>& aClasses);
  std::size_t ClassCount() const { return mClasses.size(); }

private:
  struct Class
  {
    Class();
    LogHistogram mRatios;
    LogHistogram mRunTimes;
    std::uint64_t mLastSample = 0; ///< number of its last sample
  };
  using Key = std::tuple<QueueKey, base::AccountId, std::uint32_t>;

  static std::array<Key, 3> KeysOf(const RunTimeClass& aClass);
  Class& Touch(const Key& aKey);
  std::vector<std::map<Key, Class>::const_iterator> ByLastSample() const;

  std::map<Key, Class> mClasses;
  std::uint64_t mSampleCount = 0;
};

} // namespace dogwooddrum::coordination::workloads
