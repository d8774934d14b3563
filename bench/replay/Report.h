/** \file
 * Defines the figures of replays and tables of them over several seeds.
 */
#pragma once

#include "bench/replay/Replay.h"

#include <map>
#include <string>
#include <vector>

namespace dogwooddrum::bench {

/** Figures of one replay by name. */
using Figures = std::map<std::string, double>;

/** Returns the quantile aQ of aValues, 0 if there are none. */
double
Quantile(std::vector<double> aValues, double aQ);
/** Returns the figures of one replay. */
Figures
FiguresOf(const JobMix& aMix, const ReplayResult& aResult);
/** Prints a table of medians, minima and maxima over the seeds, with a row for
 * each policy. */
void
PrintTable(
  const std::string& aTitle,
  const std::vector<std::string>& aColumns,
  const std::vector<std::pair<std::string, std::vector<Figures>>>& aPolicies);
/** Returns the median of one figure over the seeds. */
double
MedianOf(const std::vector<Figures>& aSeeds, const std::string& aName);

} // namespace dogwooddrum::bench
