// Implements the load command.
#include "dogwooddrum/cli/Command.h"
#include "dogwooddrum/cli/LoadRun.h"

#include <iostream>

namespace dogwooddrum::cli {

namespace {

/** Bounded because each request in progress has a thread. */
constexpr std::uint64_t kMaxConcurrency = 512;
constexpr std::uint64_t kMaxCount = 10000000;
constexpr std::uint64_t kMaxSeconds = 3600;

struct LoadArguments
{
  std::vector<std::string> mEntries;
  std::vector<std::string> mClasses;
  std::vector<std::string> mTargets;
  std::string mArrivals = "closed";
  std::string mRunId;
  double mRate = 100;
  std::uint64_t mCount = 1000;
  std::uint64_t mSeconds = 60;
  std::uint64_t mDrainSeconds = 60;
  std::uint64_t mConcurrency = 16;
  std::uint64_t mSeed = 1;
  bool mDirect = false;
  bool mNoAcknowledge = false;
  bool mJson = false;
};

std::vector<Option>
MakeLoadOptionTable(LoadArguments& aArguments)
{
  return {
    { "entry",
      'e',
      &aArguments.mEntries,
      "Entry to use; may be repeated (default: DOGWOODDRUM_ENTRIES)",
      "IP:PORT" },
    { "class",
      'c',
      &aArguments.mClasses,
      "Kind of request in the mix; may be repeated. Names: account, profile, "
      "weight, tasks, accelerators, adjacency, repeatable, run_ms, bytes",
      "NAME=VALUE,..." },
    { "arrivals",
      0,
      &aArguments.mArrivals,
      "closed: each worker sends after its last answer; poisson: at random "
      "times (default: closed)",
      "closed|poisson" },
    { "rate",
      'r',
      &aArguments.mRate,
      "Requests a second for poisson (default: 100)",
      "N" },
    { "count", 'n', &aArguments.mCount, "Most requests (default: 1000)", "N" },
    { "seconds",
      't',
      &aArguments.mSeconds,
      "No arrivals after this time (default: 60)",
      "S" },
    { "drain-seconds",
      0,
      &aArguments.mDrainSeconds,
      "Time for the last answers; what is open then is lost (default: 60)",
      "S" },
    { "concurrency",
      0,
      &aArguments.mConcurrency,
      "Most requests in progress (default: 16)",
      "N" },
    { "seed",
      's',
      &aArguments.mSeed,
      "Seed of the mix, the payloads and the arrivals (default: 1)",
      "N" },
    { "target",
      0,
      &aArguments.mTargets,
      "Stand-in target whose runs are checked at the end; may be repeated",
      "IP:PORT" },
    { "run-id",
      0,
      &aArguments.mRunId,
      "Part of every idempotency key (default: random)",
      "TEXT" },
    { "direct",
      0,
      &aArguments.mDirect,
      "Call a stand-in target, given as --entry, without the service",
      "" },
    { "no-acknowledge",
      0,
      &aArguments.mNoAcknowledge,
      "Leave the answers stored",
      "" },
    { "json", 'j', &aArguments.mJson, "Print JSON instead of tables", "" },
  };
}

base::Outcome<LoadOptions>
MakeLoadOptions(const LoadArguments& aArguments)
{
  const auto invalid = [](const std::string& aMessage) {
    return base::Failure{ base::Reason::InvalidRequest, aMessage };
  };
  LoadOptions options;
  for (const std::string& text : aArguments.mClasses) {
    const auto loadClass = ParseLoadClass(text);
    if (!loadClass) {
      return loadClass.LastFailure();
    }
    options.mPlan.mMix.push_back(*loadClass);
  }
  if (options.mPlan.mMix.empty()) {
    return invalid("needs at least one --class");
  }
  const auto entries = ReadEntries(aArguments.mEntries);
  if (!entries) {
    return entries.LastFailure();
  }
  options.mEntries = *entries;
  if (!aArguments.mTargets.empty()) {
    const auto targets = ReadEntries(aArguments.mTargets);
    if (!targets) {
      return targets.LastFailure();
    }
    options.mTargets = *targets;
  }
  if (aArguments.mArrivals != "closed" && aArguments.mArrivals != "poisson") {
    return invalid("--arrivals \"" + aArguments.mArrivals +
                   "\" is not closed or poisson");
  }
  if (aArguments.mConcurrency == 0 ||
      aArguments.mConcurrency > kMaxConcurrency) {
    return invalid("--concurrency " + std::to_string(aArguments.mConcurrency) +
                   " is not from 1 to " + std::to_string(kMaxConcurrency));
  }
  if (!(aArguments.mRate > 0)) {
    return invalid("--rate " + std::to_string(aArguments.mRate) +
                   " is not above 0");
  }
  if (aArguments.mCount > kMaxCount || aArguments.mSeconds > kMaxSeconds ||
      aArguments.mDrainSeconds > kMaxSeconds) {
    return invalid("at most --count " + std::to_string(kMaxCount) +
                   ", --seconds and --drain-seconds " +
                   std::to_string(kMaxSeconds));
  }
  options.mPlan.mArrivals =
    aArguments.mArrivals == "poisson" ? Arrivals::Poisson : Arrivals::Closed;
  options.mPlan.mRate = aArguments.mRate;
  options.mPlan.mCount = aArguments.mCount;
  options.mPlan.mSeed = aArguments.mSeed;
  options.mDirect = aArguments.mDirect;
  options.mAcknowledge = !aArguments.mNoAcknowledge;
  options.mConcurrency = aArguments.mConcurrency;
  options.mMaxTime = std::chrono::seconds(aArguments.mSeconds);
  options.mDrainTime = std::chrono::seconds(aArguments.mDrainSeconds);
  options.mRunId =
    aArguments.mRunId.empty() ? MakeRandomId() : aArguments.mRunId;
  return options;
}

} // namespace

ExitCode
RunLoadCommand(const Arguments& aArguments)
{
  const CommandHelp help{
    "load",
    "",
    "Sends requests to entries, checks every answer against its payload and "
    "reports completion times, refusals and lost, doubled or wrong answers. "
    "The targets must be stand-in targets. Ends with 1 if an answer was lost, "
    "doubled or wrong, and with 3 if a submission got no answer.",
    { "--entry 127.0.0.1:8001 --class account=yard,profile=interactive "
      "--count 1000 --concurrency 32",
      "--entry 127.0.0.1:8001,127.0.0.1:8002 --class "
      "account=yard,profile=interactive,weight=9 --class "
      "account=yard,profile=batch,tasks=4,run_ms=50 --arrivals poisson --rate "
      "200 --seconds 30 --count 100000 --seed 7",
      "--direct --entry 127.0.0.1:9001 --class account=a,profile=direct" }
  };
  LoadArguments arguments;
  const auto parsed =
    ParseArguments(help, MakeLoadOptionTable(arguments), aArguments);
  if (!parsed) {
    return PrintUsageError(help.mName, parsed.LastFailure().mMessage);
  }
  if (parsed->mHelpShown) {
    return ExitCode::Ok;
  }
  if (!parsed->mPositional.empty()) {
    return PrintUsageError(
      help.mName, "unknown argument \"" + parsed->mPositional[0] + "\"");
  }
  const auto options = MakeLoadOptions(arguments);
  if (!options) {
    return PrintUsageError(help.mName, options.LastFailure().mMessage);
  }
  const LoadResults results = RunLoad(*options);
  PrintLoadReport(results, arguments.mJson);
  if (results.mLost + results.mDoubled + results.mMismatchedAnswers > 0) {
    return ExitCode::Failed;
  }
  return results.mNoAnswer > 0 ? ExitCode::NoAnswer : ExitCode::Ok;
}

} // namespace dogwooddrum::cli
