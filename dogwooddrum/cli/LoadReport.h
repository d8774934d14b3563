/** \file
 * Defines the results of a load run and their report.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwooddrum::cli {

/** Results of one worker thread; merged at the end. */
struct LoadResults
{
  /** Completion times by profile, in milliseconds, of right answers. */
  std::map<std::string, std::vector<double>> mCompletionMs;
  std::map<std::string, std::uint64_t> mRefusals; ///< by reason
  std::map<std::string, std::uint64_t> mFailures; ///< ended jobs, by reason
  std::uint64_t mSent = 0;
  std::uint64_t mResends = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mNoAnswer = 0;          ///< no entry answered the submission
  std::uint64_t mLost = 0;              ///< accepted, but no end or answer came
  std::uint64_t mDoubled = 0;           ///< a run or job more than there may be
  std::uint64_t mMismatchedAnswers = 0; ///< an answer that is not the request's
  std::vector<std::string> mExamples;   ///< a few lost, doubled, wrong ones
  double mSeconds = 0;                  ///< length of the run
};

/** Most examples that are kept. */
constexpr std::size_t kMaxExamples = 10;

/** Adds aFrom to aTo, but not its length. */
void
Merge(const LoadResults& aFrom, LoadResults& aTo);

/**
 * Returns the quantile aQuantile (0 to 1) of sorted values by the nearest
 * rank; 0 without values.
 */
double
Quantile(const std::vector<double>& aSorted, double aQuantile);

/** Prints tables, or one JSON object. */
void
PrintLoadReport(const LoadResults& aResults, bool aJson);

} // namespace dogwooddrum::cli
