#include "dogwooddrum/cli/LoadReport.h"

#include "dogwooddrum/cli/Command.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

namespace dogwooddrum::cli {

namespace {

struct Summary
{
  std::size_t mCount = 0;
  double mMean = 0;
  double mP50 = 0;
  double mP95 = 0;
  double mP99 = 0;
};

Summary
Summarise(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  Summary summary;
  summary.mCount = aValues.size();
  if (!aValues.empty()) {
    summary.mMean = std::accumulate(aValues.begin(), aValues.end(), 0.0) /
                    static_cast<double>(aValues.size());
  }
  summary.mP50 = Quantile(aValues, 0.5);
  summary.mP95 = Quantile(aValues, 0.95);
  summary.mP99 = Quantile(aValues, 0.99);
  return summary;
}

std::string
FormatFixed(double aValue)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << aValue;
  return out.str();
}

void
AddCounts(const std::map<std::string, std::uint64_t>& aFrom,
          std::map<std::string, std::uint64_t>& aTo)
{
  for (const auto& [name, count] : aFrom) {
    aTo[name] += count;
  }
}

double
FinishedPerSecond(const LoadResults& aResults)
{
  return aResults.mSeconds > 0
           ? static_cast<double>(aResults.mFinished) / aResults.mSeconds
           : 0;
}

void
PrintJson(const LoadResults& aResults)
{
  nlohmann::json profiles = nlohmann::json::object();
  for (const auto& [profile, values] : aResults.mCompletionMs) {
    const Summary summary = Summarise(values);
    profiles[profile] = { { "count", summary.mCount },
                          { "mean_ms", summary.mMean },
                          { "p50_ms", summary.mP50 },
                          { "p95_ms", summary.mP95 },
                          { "p99_ms", summary.mP99 } };
  }
  const nlohmann::json report = { { "profiles", profiles },
                                  { "refusals", aResults.mRefusals },
                                  { "failures", aResults.mFailures },
                                  { "sent", aResults.mSent },
                                  { "resends", aResults.mResends },
                                  { "finished", aResults.mFinished },
                                  { "no_answer", aResults.mNoAnswer },
                                  { "lost", aResults.mLost },
                                  { "doubled", aResults.mDoubled },
                                  { "wrong", aResults.mMismatchedAnswers },
                                  { "examples", aResults.mExamples },
                                  { "seconds", aResults.mSeconds },
                                  { "rate", FinishedPerSecond(aResults) } };
  std::cout << report.dump(2) << '\n';
}

void
PrintCounts(const char* aHeading,
            const std::map<std::string, std::uint64_t>& aCounts)
{
  if (aCounts.empty()) {
    return;
  }
  std::vector<std::vector<std::string>> rows = { { aHeading, "COUNT" } };
  for (const auto& [name, count] : aCounts) {
    rows.push_back({ name, std::to_string(count) });
  }
  PrintTable(rows);
  std::cout << '\n';
}

} // namespace

void
MergeResults(const LoadResults& aFrom, LoadResults& aTo)
{
  for (const auto& [profile, values] : aFrom.mCompletionMs) {
    auto& all = aTo.mCompletionMs[profile];
    all.insert(all.end(), values.begin(), values.end());
  }
  AddCounts(aFrom.mRefusals, aTo.mRefusals);
  AddCounts(aFrom.mFailures, aTo.mFailures);
  aTo.mSent += aFrom.mSent;
  aTo.mResends += aFrom.mResends;
  aTo.mFinished += aFrom.mFinished;
  aTo.mNoAnswer += aFrom.mNoAnswer;
  aTo.mLost += aFrom.mLost;
  aTo.mDoubled += aFrom.mDoubled;
  aTo.mMismatchedAnswers += aFrom.mMismatchedAnswers;
  for (const std::string& example : aFrom.mExamples) {
    if (aTo.mExamples.size() < kMaxExamples) {
      aTo.mExamples.push_back(example);
    }
  }
}

double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const double rank =
    std::ceil(aQuantile * static_cast<double>(aSorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return aSorted[std::min(index, aSorted.size() - 1)];
}

void
PrintLoadReport(const LoadResults& aResults, bool aJson)
{
  if (aJson) {
    PrintJson(aResults);
    return;
  }
  std::vector<std::vector<std::string>> rows = {
    { "PROFILE", "COUNT", "MEAN_MS", "P50_MS", "P95_MS", "P99_MS" }
  };
  for (const auto& [profile, values] : aResults.mCompletionMs) {
    const Summary summary = Summarise(values);
    rows.push_back({ profile,
                     std::to_string(summary.mCount),
                     FormatFixed(summary.mMean),
                     FormatFixed(summary.mP50),
                     FormatFixed(summary.mP95),
                     FormatFixed(summary.mP99) });
  }
  PrintTable(rows);
  std::cout << '\n';
  PrintCounts("REFUSAL", aResults.mRefusals);
  PrintCounts("FAILURE", aResults.mFailures);
  for (const std::string& example : aResults.mExamples) {
    std::cout << example << '\n';
  }
  std::cout << "sent=" << aResults.mSent << " resends=" << aResults.mResends
            << " finished=" << aResults.mFinished
            << " no_answer=" << aResults.mNoAnswer
            << " seconds=" << FormatFixed(aResults.mSeconds)
            << " rate=" << FormatFixed(FinishedPerSecond(aResults))
            << " lost=" << aResults.mLost << " doubled=" << aResults.mDoubled
            << " wrong=" << aResults.mMismatchedAnswers << '\n';
}

} // namespace dogwooddrum::cli
