/** \file
 * Measures the cost of placement decisions against the number of workers.
 * Usage: PlacementScale [--seed=N] [Google Benchmark options]
 */
#include "dogwooddrum/coordination/placement/Placer.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace dogwooddrum;
using namespace dogwooddrum::coordination::placement;

/** Processor time of this thread. On a shared machine, wall time includes the
 * time slices of other processes, which are much longer than a decision. */
struct Clock
{
  using duration = std::chrono::nanoseconds;
  static duration Now()
  {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + duration(time.tv_nsec);
  }
};

constexpr std::uint32_t kWorkersPerRack = 20;
constexpr std::uint32_t kZones = 16;
constexpr std::uint32_t kAccounts = 70;
/** Share of the accelerators that jobs hold while decisions are measured. */
constexpr double kFillShare = 0.9;
constexpr int kDecisions = 4000;
constexpr std::uint64_t kBurstJobs = 2000;
constexpr std::uint64_t kCancelledJobs = 10000;

std::uint64_t gSeed = 1;

struct ScaleFigures
{
  double mP50Us = 0;
  double mP99Us = 0;
  double mBytesPerWorker = 0;
  double mBurstStallMs = 0;
  double mCancelStallMs = 0;
};

std::map<std::int64_t, ScaleFigures> gFigures;

double
Microseconds(Clock::duration aTime)
{
  return std::chrono::duration<double, std::micro>(aTime).count();
}

/** A placer with a fixed mix of single tasks and gangs up to share kFillShare.
 */
class FilledCluster
{
public:
  explicit FilledCluster(std::uint32_t aWorkers)
    : mRandom(gSeed)
    , mPlacer(std::make_unique<Placer>(PlacerOptions{}))
  {
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint32_t k = 0; k < aWorkers; ++k) {
      // 2.36 accelerators per worker, that is, 66,000 on 28,000 workers.
      const std::uint32_t accelerators = k % 25 < 3 ? 8 : k % 25 < 8 ? 4 : 1;
      const std::uint32_t rack = k / kWorkersPerRack;
      mPlacer->AddOrUpdateWorker(
        { base::WorkerId("w" + std::to_string(k)),
          base::RackId("r" + std::to_string(rack)),
          base::ZoneId("z" + std::to_string(rack % kZones)),
          accelerators },
        mNow);
      mTotalAccelerators += accelerators;
    }
    Configure();
    mPlacer->Decide(mNow);
    mBytesPerWorker =
      static_cast<double>(mallinfo2().uordblks - before) / aWorkers;
    Fill();
  }

  /** Submits one job and returns the time of the decision, in microseconds.
   * Before, ends jobs until the cluster is filled to at most kFillShare. */
  double MeasureDecision()
  {
    mNow += base::Milliseconds(700);
    while (HeldAccelerators() > mTotalAccelerators * kFillShare) {
      EndOldestJob();
    }
    mPlacer->Submit(DrawJob(), mNow);
    const auto start = Clock::Now();
    const auto decisions = mPlacer->Decide(mNow);
    const double time = Microseconds(Clock::Now() - start);
    ApplyDecisions(decisions);
    return time;
  }

  /** Submits a burst of jobs and returns the time of the whole submission or of
   * the longest Decide call, whichever is longer, in milliseconds. */
  double MeasureBurstStall()
  {
    double worst = 0;
    auto start = Clock::Now();
    for (std::uint64_t k = 0; k < kBurstJobs; ++k) {
      mPlacer->Submit(DrawJob(), mNow);
    }
    worst = Microseconds(Clock::Now() - start);
    for (int round = 0; round < 64; ++round) {
      start = Clock::Now();
      const auto decisions = mPlacer->Decide(mNow);
      worst = std::max(worst, Microseconds(Clock::Now() - start));
      ApplyDecisions(decisions);
      const auto next = mPlacer->NextDecisionTime();
      if (!next || *next > mNow) {
        break;
      }
    }
    return worst / 1000;
  }

  /** Cancels queued jobs and returns the time of all cancellations and the next
   * decision, in milliseconds. */
  double MeasureCancelStall()
  {
    std::vector<base::JobId> jobs;
    for (std::uint64_t k = 0; k < kCancelledJobs; ++k) {
      const JobRequest job = DrawJob();
      jobs.push_back(job.mJob);
      mPlacer->Submit(job, mNow);
    }
    ApplyDecisions(mPlacer->Decide(mNow));
    const auto start = Clock::Now();
    for (const auto job : jobs) {
      mPlacer->Remove(job, mNow);
    }
    const auto decisions = mPlacer->Decide(mNow);
    return Microseconds(Clock::Now() - start) / 1000;
  }

  double BytesPerWorker() const { return mBytesPerWorker; }

private:
  void Configure()
  {
    protocol::Configuration configuration;
    const std::uint64_t each = mTotalAccelerators / 2 / kAccounts;
    for (std::uint32_t k = 0; k < kAccounts; ++k) {
      protocol::ClientAccount account;
      account.mName = base::AccountId("team-" + std::to_string(k));
      const auto count = static_cast<std::uint32_t>(each / 4);
      if (count > 0) {
        account.mGuarantees.push_back(
          { count / 2, 4, protocol::Adjacency::Worker });
        account.mGuarantees.push_back(
          { count - count / 2, 4, protocol::Adjacency::Rack });
      }
      configuration.mAccounts.push_back(account);
    }
    const char* names[] = { "batch", "interactive", "must-finish" };
    for (int k = 0; k < 3; ++k) {
      protocol::Profile profile;
      profile.mName = base::ProfileId(names[k]);
      profile.mPriority = k;
      profile.mInteractive = k == 1;
      configuration.mProfiles.push_back(profile);
    }
    if (mPlacer->CheckConfiguration(configuration)) {
      mPlacer->SetConfiguration(configuration);
    }
  }

  JobRequest DrawJob()
  {
    const std::uint64_t draw = mRandom();
    JobRequest job;
    job.mJob = base::JobId(++mLastJob);
    job.mAccount = base::AccountId("team-" + std::to_string(draw % kAccounts));
    job.mProfile = base::ProfileId(draw % 3 == 0 ? "interactive" : "batch");
    job.mSubmitted = mNow;
    const std::uint64_t kind = (draw >> 20) % 100;
    if (kind < 60) {
      job.mShape = { 1, 1, protocol::Adjacency::None };
    } else if (kind < 80) {
      job.mShape = { 1, 4, protocol::Adjacency::Worker };
    } else if (kind < 92) {
      job.mShape = { 4, 2, protocol::Adjacency::Rack };
    } else if (kind < 98) {
      job.mShape = { 16, 1, protocol::Adjacency::Zone };
    } else {
      job.mShape = { 128, 1, protocol::Adjacency::None };
    }
    return job;
  }

  void Fill()
  {
    for (int idle = 0;
         HeldAccelerators() < mTotalAccelerators * kFillShare && idle < 200;) {
      const double before = HeldAccelerators();
      for (int k = 0; k < 64; ++k) {
        mPlacer->Submit(DrawJob(), mNow);
      }
      ApplyDecisions(mPlacer->Decide(mNow));
      idle = HeldAccelerators() > before ? 0 : idle + 1;
    }
    // Jobs that wait after the fill stay queued, as in a loaded cluster.
  }

  double HeldAccelerators() const
  {
    return static_cast<double>(mHeldAccelerators);
  }

  void EndOldestJob()
  {
    if (mStartOrder.empty()) {
      return;
    }
    const base::JobId job = mStartOrder.front();
    mStartOrder.pop_front();
    const auto it = mHeldByJob.find(job);
    if (it != mHeldByJob.end()) {
      mHeldAccelerators -= it->second;
      mHeldByJob.erase(it);
      mPlacer->Remove(job, mNow);
    }
  }

  void ApplyDecisions(const std::vector<Decision>& aDecisions)
  {
    for (const auto& decision : aDecisions) {
      if (const auto* start = std::get_if<Start>(&decision)) {
        std::uint64_t sum = 0;
        for (const auto& task : start->mTasks) {
          sum += task.mAccelerators;
        }
        mHeldByJob[start->mJob] = sum;
        mHeldAccelerators += sum;
        mStartOrder.push_back(start->mJob);
      } else if (const auto* preempt = std::get_if<Preempt>(&decision)) {
        RequeueStoppedJob(preempt->mJob);
      } else if (const auto* move = std::get_if<Move>(&decision)) {
        RequeueStoppedJob(move->mJob);
      }
    }
  }

  void RequeueStoppedJob(base::JobId aJob)
  {
    mHeldAccelerators -= mHeldByJob[aJob];
    mHeldByJob.erase(aJob);
    mPlacer->Requeue(aJob, mNow);
  }

  std::mt19937_64 mRandom;
  std::unique_ptr<Placer> mPlacer;
  base::Time mNow;
  std::uint64_t mTotalAccelerators = 0;
  std::uint64_t mHeldAccelerators = 0;
  std::uint64_t mLastJob = 0;
  std::map<base::JobId, std::uint64_t> mHeldByJob;
  std::deque<base::JobId> mStartOrder;
  double mBytesPerWorker = 0;
};

double
Quantile(std::vector<double> aValues, double aQ)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aQ * static_cast<double>(aValues.size() - 1))];
}

void
Decisions(benchmark::State& aState)
{
  const auto workers = static_cast<std::uint32_t>(aState.range(0));
  FilledCluster cluster(workers);
  std::vector<double> times;
  for (auto iteration : aState) {
    (void)iteration;
    const double time = cluster.MeasureDecision();
    times.push_back(time);
    aState.SetIterationTime(time / 1e6);
  }
  auto& figures = gFigures[aState.range(0)];
  figures.mP50Us = Quantile(times, 0.5);
  figures.mP99Us = Quantile(times, 0.99);
  figures.mBytesPerWorker = cluster.BytesPerWorker();
  figures.mBurstStallMs = cluster.MeasureBurstStall();
  figures.mCancelStallMs = cluster.MeasureCancelStall();
  aState.counters["p50_us"] = figures.mP50Us;
  aState.counters["p99_us"] = figures.mP99Us;
  aState.counters["bytes_per_worker"] = figures.mBytesPerWorker;
  aState.counters["burst_stall_ms"] = figures.mBurstStallMs;
  aState.counters["cancel_stall_ms"] = figures.mCancelStallMs;
}

BENCHMARK(Decisions)
  ->Arg(10)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(10000)
  ->Arg(28000)
  ->Iterations(kDecisions)
  ->UseManualTime()
  ->Unit(benchmark::kMicrosecond);

/** Returns b of p99 = a * workers^b, fitted by least squares to the sizes from
 * 100 workers on. */
double
GrowthExponent()
{
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& [workers, figures] : gFigures) {
    if (workers < 100) {
      continue;
    }
    const double x = std::log(static_cast<double>(workers));
    const double y = std::log(std::max(figures.mP99Us, 1e-3));
    n += 1;
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  const double spread = n * sxx - sx * sx;
  return spread > 0 ? (n * sxy - sx * sy) / spread : 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  for (int k = 1; k < aCount; ++k) {
    const std::string value = aValues[k];
    if (value.rfind("--seed=", 0) == 0) {
      gSeed = std::strtoull(value.c_str() + 7, nullptr, 10);
    }
  }
  benchmark::Initialize(&aCount, aValues);
  benchmark::RunSpecifiedBenchmarks();
  const auto& largest = gFigures.rbegin()->second;
  std::printf("scale workers=%lld p99_us=%.0f growth_exponent=%.2f "
              "bytes_per_worker=%.0f burst_stall_ms=%.1f\n",
              static_cast<long long>(gFigures.rbegin()->first),
              largest.mP99Us,
              GrowthExponent(),
              largest.mBytesPerWorker,
              std::max(largest.mBurstStallMs, largest.mCancelStallMs));
  return 0;
}
