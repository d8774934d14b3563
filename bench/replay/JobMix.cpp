/** \file
 * Implements reading mixes and drawing scripts.
 */
#include "bench/replay/JobMix.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <sstream>
#include <stdexcept>

namespace dogwooddrum::bench {

namespace {

using boost::property_tree::ptree;

/** Declared run times are wrong by up to this factor in either direction. */
constexpr double kMaxDeclarationError = 10;

std::vector<std::string>
SplitWords(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

std::vector<std::uint32_t>
ParseNumbers(const std::string& aText)
{
  std::vector<std::uint32_t> numbers;
  for (const auto& word : SplitWords(aText)) {
    numbers.push_back(static_cast<std::uint32_t>(std::stoul(word)));
  }
  return numbers;
}

protocol::Adjacency
ParseAdjacencyName(const std::string& aName)
{
  const auto adjacency = protocol::ParseAdjacency(aName);
  if (!adjacency) {
    throw std::runtime_error("adjacency \"" + aName + "\" is not known");
  }
  return *adjacency;
}

/** Parses guaranteed shapes such as "1x24@rack 2x8@worker"; throws
 * std::runtime_error if the text is invalid. */
std::vector<protocol::GuaranteedShape>
ParseGuarantees(const std::string& aText)
{
  std::vector<protocol::GuaranteedShape> shapes;
  for (const auto& word : SplitWords(aText)) {
    const auto cross = word.find('x');
    const auto at = word.find('@');
    if (cross == std::string::npos || at == std::string::npos) {
      throw std::runtime_error("guarantee \"" + word + "\" is not NxM@level");
    }
    shapes.push_back(
      { static_cast<std::uint32_t>(std::stoul(word.substr(0, cross))),
        static_cast<std::uint32_t>(std::stoul(word.substr(cross + 1))),
        ParseAdjacencyName(word.substr(at + 1)) });
  }
  return shapes;
}

MixClass
ReadClass(const std::string& aName, const ptree& aTree)
{
  MixClass entry;
  entry.mName = aName;
  entry.mProfile = aTree.get<std::string>("profile");
  entry.mAccounts = SplitWords(aTree.get<std::string>("accounts"));
  entry.mTasks = ParseNumbers(aTree.get<std::string>("tasks"));
  entry.mAcceleratorsPerTask =
    ParseNumbers(aTree.get<std::string>("accelerators_per_task"));
  entry.mAdjacency = ParseAdjacencyName(aTree.get<std::string>("adjacency"));
  entry.mLoadShare = aTree.get<double>("load_share");
  entry.mMedianRun = aTree.get<double>("median_run_s");
  entry.mSigma = aTree.get<double>("sigma");
  entry.mMaxRun = aTree.get<double>("longest_run_s");
  entry.mDeadline = aTree.get<double>("deadline_s", 0);
  entry.mRepeatable = aTree.get<bool>("repeatable", true);
  entry.mCheckpoints = aTree.get<bool>("checkpoints", true);
  return entry;
}

protocol::Profile
ReadProfile(const std::string& aName, const ptree& aTree)
{
  protocol::Profile profile;
  profile.mName = base::ProfileId(aName);
  profile.mPriority = aTree.get<std::int32_t>("priority");
  profile.mPreemptible = aTree.get<bool>("preemptible", true);
  profile.mInteractive = aTree.get<bool>("interactive", false);
  profile.mMaxReserveMs = aTree.get<std::uint64_t>("max_reserve_ms", 0);
  return profile;
}

void
ReadSection(JobMix& aMix, const std::string& aName, const ptree& aTree)
{
  const auto words = SplitWords(aName);
  if (words.front() == "account") {
    aMix.mConfiguration.mAccounts.push_back(
      { base::AccountId(words.at(1)),
        ParseGuarantees(aTree.get<std::string>("guarantees", "")),
        1000,
        1000 });
  } else if (words.front() == "profile") {
    aMix.mConfiguration.mProfiles.push_back(ReadProfile(words.at(1), aTree));
  } else if (words.front() == "class") {
    aMix.mClasses.push_back(ReadClass(words.at(1), aTree));
  } else {
    aMix.mHorizon = aTree.get<double>("horizon_s");
    aMix.mCancelShare = aTree.get<double>("cancel_share");
    aMix.mWorkerFailures = aTree.get<std::uint32_t>("worker_failures");
    aMix.mRestartSeconds = aTree.get<double>("restart_s");
    aMix.mStopSeconds = aTree.get<double>("stop_s");
  }
}

using RandomEngine = std::mt19937_64;

template<typename T>
const T&
PickOne(const std::vector<T>& aValues, RandomEngine& aRandom)
{
  std::uniform_int_distribution<std::size_t> index(0, aValues.size() - 1);
  return aValues[index(aRandom)];
}

ScriptJob
DrawJob(const JobMix& aMix, std::size_t aClass, RandomEngine& aRandom)
{
  const auto& entry = aMix.mClasses[aClass];
  std::lognormal_distribution<double> run(std::log(entry.mMedianRun),
                                          entry.mSigma);
  std::uniform_real_distribution<double> unit(0, 1);
  ScriptJob job;
  job.mClass = aClass;
  job.mRun = std::clamp(run(aRandom), 0.2, entry.mMaxRun);
  const double at = unit(aRandom) * aMix.mHorizon;
  const double error = std::pow(kMaxDeclarationError, 2 * unit(aRandom) - 1);
  auto& request = job.mRequest;
  request.mAccount = base::AccountId(PickOne(entry.mAccounts, aRandom));
  request.mProfile = base::ProfileId(entry.mProfile);
  request.mShape = { PickOne(entry.mTasks, aRandom),
                     PickOne(entry.mAcceleratorsPerTask, aRandom),
                     entry.mAdjacency };
  request.mRepeatable = entry.mRepeatable;
  request.mSubmitted = AtSeconds(at);
  request.mDeclaredRun = AtSeconds(job.mRun * error).time_since_epoch();
  if (entry.mDeadline > 0) {
    request.mDeadline = AtSeconds(at + entry.mDeadline);
  }
  if (unit(aRandom) < aMix.mCancelShare) {
    job.mCancel = 1 + unit(aRandom) * 60;
  }
  return job;
}

} // namespace

base::Time
AtSeconds(double aSeconds)
{
  return base::Time(base::Duration(std::llround(aSeconds * 1e6)));
}

double
SecondsOf(base::Time aTime)
{
  return std::chrono::duration<double>(aTime.time_since_epoch()).count();
}

JobMix
ReadMix(const std::string& aPath)
{
  ptree tree;
  boost::property_tree::read_ini(aPath, tree);
  JobMix mix;
  mix.mName = aPath.substr(aPath.find_last_of('/') + 1);
  mix.mName = mix.mName.substr(0, mix.mName.find('.'));
  for (const auto& [name, section] : tree) {
    ReadSection(mix, name, section);
  }
  return mix;
}

Script
DrawScript(const JobMix& aMix, double aLoad, std::uint64_t aSeed)
{
  RandomEngine random(aSeed);
  Script script;
  const double capacity = aMix.mWorkers * aMix.mAccelerators * aMix.mHorizon;
  for (std::size_t k = 0; k < aMix.mClasses.size(); ++k) {
    double left = capacity * aLoad * aMix.mClasses[k].mLoadShare;
    while (left > 0) {
      script.mJobs.push_back(DrawJob(aMix, k, random));
      const auto& shape = script.mJobs.back().mRequest.mShape;
      left -=
        script.mJobs.back().mRun * shape.mTasks * shape.mAcceleratorsPerTask;
    }
  }
  std::stable_sort(script.mJobs.begin(),
                   script.mJobs.end(),
                   [](const ScriptJob& aLeft, const ScriptJob& aRight) {
                     return aLeft.mRequest.mSubmitted <
                            aRight.mRequest.mSubmitted;
                   });
  for (std::size_t k = 0; k < script.mJobs.size(); ++k) {
    script.mJobs[k].mRequest.mJob = base::JobId(k + 1);
  }
  std::uniform_real_distribution<double> unit(0, 1);
  for (std::uint32_t k = 0; k < aMix.mWorkerFailures; ++k) {
    const double down = unit(random) * aMix.mHorizon;
    const auto worker =
      static_cast<std::uint32_t>(unit(random) * aMix.mWorkers);
    script.mFailures.push_back({ worker, down, down + 120 });
  }
  return script;
}

std::vector<coordination::placement::WorkerDescription>
WorkersOf(const JobMix& aMix)
{
  std::vector<coordination::placement::WorkerDescription> workers;
  for (std::uint32_t k = 0; k < aMix.mWorkers; ++k) {
    const std::uint32_t rack = k / aMix.mWorkersPerRack;
    workers.push_back({ base::WorkerId("worker-" + std::to_string(k)),
                        base::RackId("rack-" + std::to_string(rack)),
                        base::ZoneId("zone-" + std::to_string(rack % 3)),
                        aMix.mAccelerators });
  }
  return workers;
}

} // namespace dogwooddrum::bench
