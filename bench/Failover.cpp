// Measures the time from SIGKILL of the control leader to the next
// accepted submission, and counts accepted jobs that are lost.
// Usage: Failover KILLS
#include "tests/support/ProcessCluster.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace {

using dogwooddrum::support::Eventually;
using dogwooddrum::support::JsonField;
using dogwooddrum::support::ProcessCluster;
using Clock = std::chrono::steady_clock;

constexpr int kJobsBetweenKills = 20;

/** Submits until the job is accepted; returns the job, or "" after 30 s. */
std::string
SubmitAccepted(const ProcessCluster& aCluster, const std::string& aKey)
{
  std::string job;
  Eventually([&] {
    const auto result =
      aCluster.Submit("entry-1", aKey, 0, R"("payload":"x")", 10000);
    if (result && (result->mStatus == 200 || result->mStatus == 202)) {
      job = JsonField(result->mBody, "job");
    }
    return !job.empty();
  });
  return job;
}

/** Returns whether all three control members report ready. */
bool
AllReady(const ProcessCluster& aCluster)
{
  for (int i = 1; i <= 3; ++i) {
    const auto ready =
      aCluster.Call("control-" + std::to_string(i), "GET", "/readyz", "", 1000);
    if (!ready || ready->mStatus != 200) {
      return false;
    }
  }
  return true;
}

/** Returns how many of the jobs do not finish within 30 s. */
int
CountLost(const ProcessCluster& aCluster, const std::vector<std::string>& aJobs)
{
  int lost = 0;
  for (const auto& job : aJobs) {
    const bool finished = Eventually([&] {
      const auto view =
        aCluster.Call("entry-1", "GET", "/v1/jobs/" + job + "?wait_ms=5000");
      return view && JsonField(view->mBody, "state") == "finished";
    });
    lost += finished ? 0 : 1;
  }
  return lost;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int kills = aCount > 1 ? std::atoi(aArguments[1]) : 50;
  ProcessCluster cluster({});
  cluster.StartAll();
  if (!cluster.WaitReady()) {
    std::fprintf(stderr, "Failover: the cluster is not ready after 30 s\n");
    return 1;
  }
  std::vector<double> times;
  std::vector<std::string> jobs;
  std::printf("kill  leader     seconds\n");
  for (int kill = 0; kill < kills; ++kill) {
    std::string leader;
    Eventually([&] {
      leader = cluster.FindLeader();
      return !leader.empty() && AllReady(cluster);
    });
    for (int i = 0; i < kJobsBetweenKills; ++i) {
      jobs.push_back(SubmitAccepted(
        cluster, "between-" + std::to_string(kill) + "-" + std::to_string(i)));
    }
    const auto begin = Clock::now();
    cluster.Kill(leader);
    jobs.push_back(SubmitAccepted(cluster, "after-" + std::to_string(kill)));
    const std::chrono::duration<double> time = Clock::now() - begin;
    times.push_back(time.count());
    std::printf("%4d  %s  %7.3f\n", kill + 1, leader.c_str(), time.count());
    std::fflush(stdout);
    cluster.Start(leader);
  }
  const int lost = CountLost(cluster, jobs);
  std::sort(times.begin(), times.end());
  std::printf("failover kills=%d p50_s=%.3f max_s=%.3f lost=%d\n",
              kills,
              times.empty() ? 0.0 : times[times.size() / 2],
              times.empty() ? 0.0 : times.back(),
              lost);
  return 0;
}
