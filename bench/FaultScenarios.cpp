// Runs whole-system fault scenarios for a range of seeds and prints violations.
// Usage: FaultScenarios [--seeds FIRST..LAST]
#include "tests/support/WholeSystem.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

namespace support = dogwooddrum::support;

namespace {

constexpr std::size_t kThreads = 4; // limited, as the machine is shared
/** Printed part of a long report: its last 4000 bytes and the first 1000. */
constexpr std::size_t kReportTailBytes = 4000;

/** Inclusive range of seeds. */
struct SeedRange
{
  std::uint64_t mFirst = 1;
  std::uint64_t mLast = 100;
};

/** Runs the scenarios of a range and sums their counts. Thread safety:
 * RunUntilDone may run on several threads at once. */
class ScenarioRunner
{
public:
  explicit ScenarioRunner(SeedRange aRange)
    : mNext(aRange.mFirst)
    , mLast(aRange.mLast)
  {
  }

  /** Runs scenarios until no seed of the range is left. */
  void RunUntilDone()
  {
    for (std::uint64_t seed = mNext++; seed <= mLast; seed = mNext++) {
      support::WholeSystem system(seed);
      const support::SystemCounts counts = system.Run();
      AddResult(seed, counts, system.Report());
    }
  }

  support::SystemCounts mTotal;
  std::uint64_t mRuns = 0;

private:
  void AddResult(std::uint64_t aSeed,
                 const support::SystemCounts& aCounts,
                 const std::string& aReport)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRuns;
    using Counts = support::SystemCounts;
    for (const auto field : { &Counts::mViolations,
                              &Counts::mDoubled,
                              &Counts::mFalseNotRun,
                              &Counts::mVersionReversals,
                              &Counts::mJobs,
                              &Counts::mFinished,
                              &Counts::mStarts,
                              &Counts::mChanges }) {
      mTotal.*field += aCounts.*field;
    }
    if (!aReport.empty()) {
      std::printf(
        "failed: scripts/measure faults --seeds %llu..%llu\n%s%s\n",
        static_cast<unsigned long long>(aSeed),
        static_cast<unsigned long long>(aSeed),
        aReport.substr(0, kReportTailBytes / 4).c_str(),
        aReport.size() > kReportTailBytes
          ? ("...\n" + aReport.substr(aReport.size() - kReportTailBytes))
              .c_str()
          : "");
    }
  }

  std::atomic<std::uint64_t> mNext;
  std::uint64_t mLast;
  std::mutex mMutex;
};

/** Parses "FIRST..LAST". */
bool
ParseRange(const std::string& aText, SeedRange& aRange)
{
  const std::size_t dots = aText.find("..");
  if (dots == std::string::npos) {
    return false;
  }
  aRange.mFirst = std::strtoull(aText.c_str(), nullptr, 10);
  aRange.mLast = std::strtoull(aText.c_str() + dots + 2, nullptr, 10);
  return aRange.mFirst > 0 && aRange.mLast >= aRange.mFirst;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  SeedRange range;
  if (aArgc > 1 && (aArgc != 3 || std::string(aArgv[1]) != "--seeds" ||
                    !ParseRange(aArgv[2], range))) {
    std::fprintf(stderr, "usage: FaultScenarios [--seeds FIRST..LAST]\n");
    return 2;
  }
  ScenarioRunner runner(range);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] { runner.RunUntilDone(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto& total = runner.mTotal;
  const auto print = [](const char* aName, std::uint64_t aValue) {
    std::printf(
      "%-24s %10llu\n", aName, static_cast<unsigned long long>(aValue));
  };
  print("scenarios", runner.mRuns);
  print("jobs submitted", total.mJobs);
  print("jobs finished", total.mFinished);
  print("starts at targets", total.mStarts);
  print("changes accepted", total.mChanges);
  std::printf("faults scenarios=%llu violations=%llu "
              "not_repeatable_doubled=%llu false_not_run=%llu "
              "version_reversals=%llu\n",
              static_cast<unsigned long long>(runner.mRuns),
              static_cast<unsigned long long>(total.mViolations),
              static_cast<unsigned long long>(total.mDoubled),
              static_cast<unsigned long long>(total.mFalseNotRun),
              static_cast<unsigned long long>(total.mVersionReversals));
  return 0;
}
