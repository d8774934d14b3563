#include "dogwooddrum/service/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace dogwooddrum::service {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kMaxProfiles = 64;
/**
 * Up to this number of values the quantiles are exact: the estimator needs more
 * values than it has markers.
 */
constexpr std::size_t kMaxExactValues = 128;
constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

struct MetricInfo
{
  const char* mName;
  const char* mHelp;
};

constexpr std::array<MetricInfo, static_cast<std::size_t>(Counter::Count)>
  kCounters = {
    { { "requests_received", "Requests of callers and operators" },
      { "requests_accepted", "Requests that were not refused" },
      { "jobs_finished", "Jobs with a stored answer" },
      { "jobs_failed", "Jobs that ended without an answer" },
      { "jobs_cancelled", "Jobs cancelled by callers" },
      { "attempts_started", "Attempts that were committed" },
      { "tasks_started", "Tasks sent to targets" },
      { "tasks_finished", "Tasks that targets answered" },
      { "tasks_failed", "Tasks that failed at targets" },
      { "preemptions", "Preempted jobs" },
      { "elections", "Elections won by this member" },
      { "configuration_changes", "Accepted configuration changes" },
      { "links_opened", "Links that were established" },
      { "log_syncs", "Syncs of the log" },
      { "log_synced_entries", "Log entries covered by syncs" },
      { "workers_lost", "Workers whose heartbeats stopped" },
      { "workers_quarantined", "Workers put into quarantine" },
      { "join_requests_sent", "Requests to join the group sent to members" },
      { "join_requests_received", "Requests to join the group received" },
      { "queue_heads_overdue",
        "First units of a priority that could not start in time" },
      { "target_crashes", "Targets that crashed with runs on them" },
      { "zone_evacuations", "Committed evacuations of availability zones" },
      { "run_times_as_expected",
        "Finished runs whose expected time was wrong by up to 2 times" },
      { "run_times_off",
        "Finished runs whose expected time was wrong by 2 to 4 times" },
      { "run_times_far_off",
        "Finished runs whose expected time was wrong by more than 4 "
        "times" } }
  };

constexpr std::array<const char*,
                     static_cast<std::size_t>(PreVoteRefusal::Count)>
  kPreVoteRefusals = { "hears_leader", "old_term", "own_log_is_newer" };

constexpr std::array<MetricInfo, static_cast<std::size_t>(Gauge::Count)>
  kGauges = { {
    { "fragmentation_unusable_share",
      "Share of free accelerators that the demanded shapes cannot use" },
    { "accelerators_free", "Free accelerators" },
    { "accelerators_total", "Accelerators on usable workers" },
    { "largest_shape_on_worker", "Largest shape on one worker" },
    { "largest_shape_in_rack", "Largest shape in one rack" },
    { "largest_shape_in_zone", "Largest shape in one availability zone" },
    { "term", "Current term" },
    { "is_leader", "1 on the leader" },
    { "commit_index", "Last committed log entry" },
    { "applied_index", "Last applied log entry" },
    { "replication_lag_entries", "Entries that the slowest voter lacks" },
    { "configuration_version", "Version of the configuration in use" },
    { "active_jobs", "Queued, starting and running jobs" },
    { "requests_in_progress", "Requests in progress" },
    { "queued_requests", "Requests that wait for the leader" },
    { "held_tasks", "Tasks at the target" },
    { "storage_withdrawn", "1 after a storage error" },
    { "ready", "1 while /readyz succeeds" },
    { "leaderless_seconds",
      "Time for which this member has known no leader; 0 if it knows one" },
    { "routeless_seconds",
      "Time without a route to a leader; 0 if there is one" },
    { "evacuated_zones", "Availability zones in which nothing is started" },
  } };

constexpr std::array<MetricInfo, static_cast<std::size_t>(Distribution::Count)>
  kDistributions = { {
    { "queue_time_seconds", "Time from submission to start" },
    { "completion_time_seconds", "Time from submission to end" },
    { "request_time_seconds", "Time of an HTTP request" },
    { "target_time_seconds", "Time of a call of the target" },
    { "sync_time_seconds", "Time of a log sync" },
    { "queue_head_wait_seconds",
      "Wait of the first unit of a priority, by pool, priority and cause" },
  } };

using QuantileEstimator =
  acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

/** Distribution of the durations of one profile. Thread safe. */
class Series
{
public:
  Series()
    : mEstimator(acc::tag::extended_p_square::probabilities = kQuantiles)
  {
  }

  void Add(double aSeconds)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEstimator(aSeconds);
    if (mFirstValues.size() < kMaxExactValues) {
      mFirstValues.push_back(aSeconds);
    }
    mSum += aSeconds;
    ++mCount;
  }

  void Render(const std::string& aName,
              const std::string& aProfile,
              std::ostream& aOut) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<double> sorted = mFirstValues;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      double value = 0;
      if (mCount > kMaxExactValues) {
        value = acc::extended_p_square(mEstimator)[i];
      } else if (!sorted.empty()) {
        value = sorted[static_cast<std::size_t>(
          std::lround(kQuantiles[i] * static_cast<double>(sorted.size() - 1)))];
      }
      aOut << aName << "{profile=\"" << aProfile << "\",quantile=\""
           << kQuantiles[i] << "\"} " << value << '\n';
    }
    aOut << aName << "_sum{profile=\"" << aProfile << "\"} " << mSum << '\n'
         << aName << "_count{profile=\"" << aProfile << "\"} " << mCount
         << '\n';
  }

private:
  mutable std::mutex mMutex;
  QuantileEstimator mEstimator;
  std::vector<double> mFirstValues;
  double mSum = 0;
  std::uint64_t mCount = 0;
};

/** Escapes a label value as the Prometheus text format requires. */
std::string
EscapeLabel(const std::string& aText)
{
  std::string out;
  for (const char c : aText) {
    if (c == '\\' || c == '"') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

/** Series of one distribution, by profile. Thread safe. */
class SeriesByProfile
{
public:
  /** Returns the series of aProfile, or of "other" if the map is full. */
  Series& FindOrAdd(const std::string& aProfile)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const bool isFull = mSeries.size() >= kMaxProfiles;
    const bool isKnown = mSeries.count(aProfile) > 0;
    return mSeries[isFull && !isKnown ? "other" : aProfile];
  }
  void Render(const MetricInfo& aInfo, std::ostream& aOut) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mSeries.empty()) {
      return;
    }
    const std::string name = std::string("dogwooddrum_") + aInfo.mName;
    aOut << "# HELP " << name << ' ' << aInfo.mHelp << "\n# TYPE " << name
         << " summary\n";
    for (const auto& [profile, series] : mSeries) {
      series.Render(name, EscapeLabel(profile), aOut);
    }
  }

private:
  mutable std::mutex mMutex;
  /** The elements of a map keep their addresses, which FindOrAdd relies on. */
  std::map<std::string, Series> mSeries;
};

using ReasonCounters =
  std::array<std::atomic<std::uint64_t>, base::kReasonCount>;

void
RenderReasonCounters(const char* aName,
                     const char* aHelp,
                     const ReasonCounters& aCounters,
                     std::ostream& aOut)
{
  aOut << "# HELP " << aName << ' ' << aHelp << "\n# TYPE " << aName
       << " counter\n";
  for (std::size_t i = 1; i < aCounters.size(); ++i) {
    aOut << aName << "{reason=\"" << ToString(static_cast<base::Reason>(i))
         << "\"} " << aCounters[i].load(std::memory_order_relaxed) << '\n';
  }
}

} // namespace

struct Metrics::Impl
{
  Impl()
  {
    // NaN marks a gauge that was never set: a gauge that a role does not use
    // must not be reported as 0.
    for (auto& gauge : mGauges) {
      gauge = std::numeric_limits<double>::quiet_NaN();
    }
  }

  std::array<std::atomic<std::uint64_t>, kCounters.size()> mCounters{};
  ReasonCounters mRefusals{};
  ReasonCounters mRetries{};
  std::array<std::atomic<std::uint64_t>, kPreVoteRefusals.size()>
    mPreVoteRefusals{};
  std::array<std::atomic<double>, kGauges.size()> mGauges{};
  std::array<SeriesByProfile, kDistributions.size()> mDistributions;
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}
Metrics::~Metrics() = default;

void
Metrics::Add(Counter aCounter, std::uint64_t aCount)
{
  mImpl->mCounters.at(static_cast<std::size_t>(aCounter))
    .fetch_add(aCount, std::memory_order_relaxed);
}

std::uint64_t
Metrics::Value(Counter aCounter) const
{
  return mImpl->mCounters.at(static_cast<std::size_t>(aCounter))
    .load(std::memory_order_relaxed);
}

void
Metrics::CountRefusal(base::Reason aReason)
{
  mImpl->mRefusals.at(static_cast<std::size_t>(aReason))
    .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t
Metrics::Refusals(base::Reason aReason) const
{
  return mImpl->mRefusals.at(static_cast<std::size_t>(aReason))
    .load(std::memory_order_relaxed);
}

void
Metrics::CountRetry(base::Reason aReason)
{
  mImpl->mRetries.at(static_cast<std::size_t>(aReason))
    .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t
Metrics::Retries(base::Reason aReason) const
{
  return mImpl->mRetries.at(static_cast<std::size_t>(aReason))
    .load(std::memory_order_relaxed);
}

void
Metrics::CountPreVoteRefusal(PreVoteRefusal aReason)
{
  mImpl->mPreVoteRefusals.at(static_cast<std::size_t>(aReason))
    .fetch_add(1, std::memory_order_relaxed);
}

void
Metrics::Set(Gauge aGauge, double aValue)
{
  mImpl->mGauges.at(static_cast<std::size_t>(aGauge))
    .store(aValue, std::memory_order_relaxed);
}

void
Metrics::Observe(Distribution aDistribution,
                 const base::ProfileId& aProfile,
                 base::Duration aTime)
{
  mImpl->mDistributions.at(static_cast<std::size_t>(aDistribution))
    .FindOrAdd(aProfile.Value())
    .Add(std::chrono::duration<double>(aTime).count());
}

std::string
Metrics::Render() const
{
  std::ostringstream out;
  out.precision(15); // Log indexes and sums must not be rounded.
  for (std::size_t i = 0; i < kCounters.size(); ++i) {
    const std::string name =
      std::string("dogwooddrum_") + kCounters[i].mName + "_total";
    out << "# HELP " << name << ' ' << kCounters[i].mHelp << "\n# TYPE " << name
        << " counter\n"
        << name << ' ' << mImpl->mCounters[i].load(std::memory_order_relaxed)
        << '\n';
  }
  RenderReasonCounters("dogwooddrum_refusals_total",
                       "Refused requests by reason",
                       mImpl->mRefusals,
                       out);
  RenderReasonCounters("dogwooddrum_retries_total",
                       "Retries by the reason of the failure before",
                       mImpl->mRetries,
                       out);
  out << "# HELP dogwooddrum_pre_votes_refused_total Refused pre-votes by "
         "reason\n# TYPE dogwooddrum_pre_votes_refused_total counter\n";
  for (std::size_t i = 0; i < kPreVoteRefusals.size(); ++i) {
    out << "dogwooddrum_pre_votes_refused_total{reason=\""
        << kPreVoteRefusals.at(i) << "\"} "
        << mImpl->mPreVoteRefusals.at(i).load(std::memory_order_relaxed)
        << '\n';
  }
  for (std::size_t i = 0; i < kGauges.size(); ++i) {
    const double value = mImpl->mGauges[i].load(std::memory_order_relaxed);
    if (std::isnan(value)) {
      continue;
    }
    const std::string name = std::string("dogwooddrum_") + kGauges[i].mName;
    out << "# HELP " << name << ' ' << kGauges[i].mHelp << "\n# TYPE " << name
        << " gauge\n"
        << name << ' ' << value << '\n';
  }
  for (std::size_t i = 0; i < kDistributions.size(); ++i) {
    mImpl->mDistributions[i].Render(kDistributions[i], out);
  }
  return out.str();
}

} // namespace dogwooddrum::service
