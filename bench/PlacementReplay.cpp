/** \file
 * Replays seeded workload mixes through two first-fit policies and the placer,
 * and prints their figures in one table. Usage:
 *   PlacementReplay --mixes FOLDER [--seed N] [--seeds N] [--load L] [--quick]
 */
#include "bench/replay/Report.h"

#include <popt.h>

#include <cstdio>
#include <exception>
#include <functional>
#include <future>

namespace {

using namespace dogwooddrum;
using namespace dogwooddrum::bench;
using coordination::placement::PlacerOptions;

struct Arguments
{
  std::string mMixFolder;
  int mSeed = 1;
  int mSeeds = 10;
  double mLoad = 0;    ///< 0: loads 0.7, 0.9 and 1.1
  bool mQuick = false; ///< without the rows of switched-off mechanisms
};

struct NamedPolicy
{
  std::string mName;
  std::function<std::unique_ptr<Policy>(const JobMix&)> mCreate;
};

using Table = std::vector<std::pair<std::string, std::vector<Figures>>>;

NamedPolicy
MakeNamedPlacer(const std::string& aName, bool PlacerOptions::*aDisabled)
{
  PlacerOptions options;
  if (aDisabled != nullptr) {
    options.*aDisabled = false;
  }
  return { aName, [options](const JobMix& aMix) {
            return MakePlacer(options, aMix.mConfiguration);
          } };
}

std::vector<NamedPolicy>
MakePolicies(bool aQuick)
{
  std::vector<NamedPolicy> policies;
  for (const bool priority : { false, true }) {
    policies.push_back({ priority ? "priority first fit" : "fifo first fit",
                         [priority](const JobMix& aMix) {
                           return MakeFirstFit(priority, aMix.mConfiguration);
                         } });
  }
  policies.push_back(MakeNamedPlacer("placer", nullptr));
  if (!aQuick) {
    using O = PlacerOptions;
    policies.push_back(MakeNamedPlacer("no preemption", &O::mPreemption));
    policies.push_back(MakeNamedPlacer("no reservations", &O::mReservations));
    policies.push_back(MakeNamedPlacer("no score", &O::mFragmentationScore));
    policies.push_back(MakeNamedPlacer("no compaction", &O::mCompaction));
    policies.push_back(MakeNamedPlacer("no cells", &O::mGuaranteeCells));
    policies.push_back(MakeNamedPlacer("no fairness", &O::mFairness));
  }
  return policies;
}

/** Replays all seeds of one mix at one load, each seed in its own thread. */
Table
ReplayAll(const JobMix& aMix, double aLoad, const Arguments& aArguments)
{
  const auto policies = MakePolicies(aArguments.mQuick);
  std::vector<std::future<std::vector<Figures>>> seeds;
  for (int k = 0; k < aArguments.mSeeds; ++k) {
    const auto seed = static_cast<std::uint64_t>(aArguments.mSeed) +
                      static_cast<std::uint64_t>(k);
    seeds.push_back(std::async(std::launch::async, [=, &aMix] {
      const Script script = DrawScript(aMix, aLoad, seed);
      std::vector<Figures> figures;
      for (const auto& policy : policies) {
        const auto instance = policy.mCreate(aMix);
        figures.push_back(FiguresOf(aMix, RunReplay(aMix, script, *instance)));
      }
      figures.push_back({ { "all.mean", LowerBoundMean(aMix, script) } });
      return figures;
    }));
  }
  Table table;
  for (const auto& policy : policies) {
    table.push_back({ policy.mName, {} });
  }
  table.push_back({ "lower bound of the mean", {} });
  for (auto& seed : seeds) {
    const auto figures = seed.get();
    for (std::size_t k = 0; k < figures.size(); ++k) {
      table[k].second.push_back(figures[k]);
    }
  }
  return table;
}

void
PrintMix(const JobMix& aMix, double aLoad, const Table& aTable)
{
  char load[16];
  std::snprintf(load, sizeof(load), "%.1f", aLoad);
  const std::string title = aMix.mName + " at load " + load;
  std::vector<std::string> profiles{ "all" };
  for (const auto& profile : aMix.mConfiguration.mProfiles) {
    profiles.push_back(profile.mName.Value());
  }
  for (const auto& name : profiles) {
    std::vector<std::string> columns;
    for (const char* column :
         { ".mean", ".p50", ".p95", ".p99", ".slowdown" }) {
      columns.push_back(name + column);
    }
    if (name != "all") {
      columns.push_back(name + ".worst_wait");
    }
    std::string heading = title;
    heading.append(": completion of ").append(name).append(" (s)");
    PrintTable(heading, columns, aTable);
  }
  PrintTable(title + ": cluster",
             { "fragmentation",
               "waste",
               "utilisation",
               "work_lost",
               "preemptions",
               "moves",
               "gang_wait",
               "gang_wait/bound",
               "start_p99",
               "starts_inside",
               "urgent_worst",
               "breaches",
               "late",
               "unfinished" },
             aTable);
}

const std::vector<Figures>&
RowOf(const Table& aTable, const std::string& aName)
{
  for (const auto& [name, seeds] : aTable) {
    if (name == aName) {
      return seeds;
    }
  }
  return aTable.front().second;
}

/** Figures of the last output line. The ratios and mStartP99 are those at load
 * 0.9, the others cover all mixes and loads. */
struct Summary
{
  double mNotebookMeanRatio = 0;
  double mStartP99 = 0;
  double mDrumFragmentationRatio = 0;
  double mBatchP99Ratio = 0;
  double mGangWaitOverBound = 0;
  double mGuaranteeBreaches = 0;
  double mLate = 0;
};

/** Returns the placer's median of aFigure over the seeds, divided by that of
 * policy aBase; 0 if the latter is 0. */
double
Ratio(const Table& aTable, const std::string& aFigure, const std::string& aBase)
{
  const double base = MedianOf(RowOf(aTable, aBase), aFigure);
  return base > 0 ? MedianOf(RowOf(aTable, "placer"), aFigure) / base : 0;
}

void
Summarise(const JobMix& aMix,
          double aLoad,
          const Table& aTable,
          Summary& aSummary)
{
  for (const auto& seed : RowOf(aTable, "placer")) {
    const auto get = [&](const char* aName) {
      const auto it = seed.find(aName);
      return it == seed.end() ? 0 : it->second;
    };
    aSummary.mGuaranteeBreaches += get("breaches");
    aSummary.mLate += get("late");
    aSummary.mGangWaitOverBound =
      std::max(aSummary.mGangWaitOverBound, get("gang_wait/bound"));
  }
  if (aLoad < 0.85 || aLoad > 0.95) {
    return;
  }
  if (aMix.mName == "notebook") {
    aSummary.mNotebookMeanRatio = Ratio(aTable, "all.mean", "fifo first fit");
    aSummary.mStartP99 = MedianOf(RowOf(aTable, "placer"), "start_p99");
    aSummary.mBatchP99Ratio = Ratio(aTable, "batch.p99", "fifo first fit");
  } else {
    // The larger ratio is that to the better of the two first-fit baselines.
    aSummary.mDrumFragmentationRatio =
      std::max(Ratio(aTable, "fragmentation", "fifo first fit"),
               Ratio(aTable, "fragmentation", "priority first fit"));
  }
}

Arguments
ParseArguments(int aCount, const char** aValues)
{
  Arguments arguments;
  char* mixes = nullptr;
  int quick = 0;
  const poptOption table[] = {
    { "mixes", 'm', POPT_ARG_STRING, &mixes, 0, "folder of mixes", "FOLDER" },
    { "seed", 's', POPT_ARG_INT, &arguments.mSeed, 0, "first seed", "N" },
    { "seeds", 'n', POPT_ARG_INT, &arguments.mSeeds, 0, "seeds", "N" },
    { "load", 'l', POPT_ARG_DOUBLE, &arguments.mLoad, 0, "one load", "L" },
    { "quick", 'q', POPT_ARG_NONE, &quick, 0, "no switched-off rows", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aCount, aValues, table, 0);
  const int code = poptGetNextOpt(context);
  poptFreeContext(context);
  if (code < -1 || mixes == nullptr) {
    throw std::runtime_error("--mixes FOLDER is needed, see --help");
  }
  arguments.mMixFolder = mixes;
  arguments.mQuick = quick != 0;
  free(mixes);
  return arguments;
}

void
Run(const Arguments& aArguments)
{
  Summary summary;
  std::vector<double> loads{ 0.7, 0.9, 1.1 };
  if (aArguments.mLoad > 0) {
    loads = { aArguments.mLoad };
  }
  for (const char* name : { "notebook", "drum" }) {
    const JobMix mix = ReadMix(aArguments.mMixFolder + "/" + name + ".ini");
    for (const double load : loads) {
      const Table table = ReplayAll(mix, load, aArguments);
      PrintMix(mix, load, table);
      Summarise(mix, load, table, summary);
    }
  }
  std::printf(
    "\nplacement notebook_mean_ratio=%.3f interactive_start_p99_s=%.3f "
    "drum_fragmentation_ratio=%.3f batch_p99_ratio=%.3f "
    "largest_gang_wait_over_bound=%.3f guarantee_breaches=%.0f "
    "late_labels_avoidable=%.0f\n",
    summary.mNotebookMeanRatio,
    summary.mStartP99,
    summary.mDrumFragmentationRatio,
    summary.mBatchP99Ratio,
    summary.mGangWaitOverBound,
    summary.mGuaranteeBreaches,
    summary.mLate);
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    Run(ParseArguments(aCount, const_cast<const char**>(aValues)));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "PlacementReplay: %s\n", error.what());
    return 2;
  }
  return 0;
}
