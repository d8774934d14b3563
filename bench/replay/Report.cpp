/** \file
 * Implements the figures of replays and their tables.
 */
#include "bench/replay/Report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace dogwooddrum::bench {

namespace {

/** Least run time in seconds that a slowdown is computed with. */
constexpr double kMinSlowdownRun = 10;

double
MeanOf(const std::vector<double>& aValues)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += value;
  }
  return aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
}

void
AddCompletion(Figures& aFigures,
              const std::string& aName,
              const std::vector<double>& aTimes)
{
  aFigures[aName + ".mean"] = MeanOf(aTimes);
  aFigures[aName + ".p50"] = Quantile(aTimes, 0.5);
  aFigures[aName + ".p95"] = Quantile(aTimes, 0.95);
  aFigures[aName + ".p99"] = Quantile(aTimes, 0.99);
}

std::string
FormatFigure(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), aValue >= 100 ? "%.0f" : "%.2f", aValue);
  return text;
}

/** Formats the median, minimum and maximum of one figure over the seeds. */
std::string
FormatCell(const std::vector<Figures>& aSeeds, const std::string& aName)
{
  std::vector<double> values;
  for (const auto& seed : aSeeds) {
    const auto it = seed.find(aName);
    values.push_back(it == seed.end() ? 0 : it->second);
  }
  return FormatFigure(Quantile(values, 0.5)) + " [" +
         FormatFigure(Quantile(values, 0)) + " " +
         FormatFigure(Quantile(values, 1)) + "]";
}

} // namespace

double
Quantile(std::vector<double> aValues, double aQ)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double rank = std::ceil(aQ * static_cast<double>(aValues.size()));
  return aValues[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

Figures
FiguresOf(const JobMix& aMix, const ReplayResult& aResult)
{
  Figures figures;
  std::map<std::string, std::vector<double>> times;
  std::map<std::string, std::vector<double>> slowdowns;
  std::vector<double> starts;
  for (const auto& job : aResult.mJobs) {
    const auto& entry = aMix.mClasses[job.mClass];
    if (job.mCancelled) {
      continue;
    }
    if (job.mWithinGuarantee && entry.mProfile == "interactive") {
      starts.push_back(job.mFirstStart - job.mSubmitted);
    }
    const bool late =
      job.mEnd < 0 || job.mEnd > job.mSubmitted + entry.mDeadline;
    if (entry.mDeadline > 0 && late && job.mRun <= entry.mDeadline) {
      ++figures["late"];
    }
    if (job.mEnd < 0) {
      ++figures["unfinished"];
      continue;
    }
    const double time = job.mEnd - job.mSubmitted;
    const double slowdown = time / std::max(job.mRun, kMinSlowdownRun);
    times["all"].push_back(time);
    times[entry.mProfile].push_back(time);
    slowdowns["all"].push_back(slowdown);
    slowdowns[entry.mProfile].push_back(slowdown);
    if (job.mWaitBound > 0) {
      const double wait = job.mFirstStart - job.mSubmitted;
      figures["gang_wait"] = std::max(figures["gang_wait"], wait);
      figures["gang_wait/bound"] = std::max(figures["gang_wait/bound"],
                                            job.mFeasibleWait / job.mWaitBound);
    }
    auto& worst = figures[entry.mProfile + ".worst_wait"];
    worst = std::max(worst, job.mWorstWait);
  }
  for (const auto& [name, values] : times) {
    AddCompletion(figures, name, values);
    figures[name + ".slowdown"] = MeanOf(slowdowns[name]);
  }
  figures["start_p99"] = Quantile(starts, 0.99);
  figures["starts_inside"] = static_cast<double>(starts.size());
  figures["fragmentation"] = aResult.mFragmentation;
  figures["waste"] = aResult.mWaste;
  figures["utilisation"] = aResult.mUtilisation;
  figures["work_lost"] = aResult.mWorkLost;
  figures["preemptions"] = static_cast<double>(aResult.mPreemptions);
  figures["moves"] = static_cast<double>(aResult.mMoves);
  figures["breaches"] = static_cast<double>(aResult.mGuaranteeBreaches);
  figures["urgent_worst"] = aResult.mLongestUrgentStart;
  return figures;
}

void
PrintTable(
  const std::string& aTitle,
  const std::vector<std::string>& aColumns,
  const std::vector<std::pair<std::string, std::vector<Figures>>>& aPolicies)
{
  std::printf("\n%s\n%-26s", aTitle.c_str(), "policy");
  for (const auto& column : aColumns) {
    std::printf(" | %-22s", column.c_str());
  }
  std::printf("\n");
  for (const auto& [name, seeds] : aPolicies) {
    std::printf("%-26s", name.c_str());
    for (const auto& column : aColumns) {
      std::printf(" | %-22s", FormatCell(seeds, column).c_str());
    }
    std::printf("\n");
  }
}

double
MedianOf(const std::vector<Figures>& aSeeds, const std::string& aName)
{
  std::vector<double> values;
  for (const auto& seed : aSeeds) {
    const auto it = seed.find(aName);
    values.push_back(it == seed.end() ? 0 : it->second);
  }
  return Quantile(values, 0.5);
}

} // namespace dogwooddrum::bench
