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

/** Results of one thread of a load run, or of the whole run after merging. */
struct LoadResults
{
  /** Completion times of correct answers in milliseconds, by profile. */
  std::map<std::string, std::vector<double>> mCompletionMs;
  std::map<std::string, std::uint64_t> mRefusals; ///< by reason
  std::map<std::string, std::uint64_t> mFailures; ///< ended jobs, by reason
  std::uint64_t mSent = 0;
  std::uint64_t mResends = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mNoAnswer = 0; ///< submissions without a response
  std::uint64_t mLost = 0;     ///< accepted jobs without an end or answer
  std::uint64_t mDoubled = 0;  ///< duplicate runs or jobs
  std::uint64_t mMismatchedAnswers =
    0;                                ///< answers with wrong bytes or checksum
  std::vector<std::string> mExamples; ///< descriptions of some errors
  double mSeconds = 0;                ///< duration of the load run
};

/** Maximum number of examples that are kept. */
constexpr std::size_t kMaxExamples = 10;

/** Adds aFrom to aTo, except mSeconds. */
void
MergeResults(const LoadResults& aFrom, LoadResults& aTo);

/**
 * Returns the quantile aQuantile (0 to 1) of sorted values by the nearest-rank
 * method; 0 if there are no values.
 */
double
Quantile(const std::vector<double>& aSorted, double aQuantile);

/** Prints the report as tables, or as one JSON object. */
void
PrintLoadReport(const LoadResults& aResults, bool aJson);

} // namespace dogwooddrum::cli
