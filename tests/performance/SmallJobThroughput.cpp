// Guards against a leader whose cost per small job grows with the number of
// jobs it holds, or that cannot decide several thousand jobs a second.
#include "tests/support/JobSimulation.h"

#include <gtest/gtest.h>

#include <chrono>

namespace dogwooddrum::tests {

namespace {

/** Jobs a second that the leader must reach on one core, which the simulated
 * agents use as well. */
constexpr double kMinJobsPerSecond = 2000;

} // namespace

TEST(SmallJobThroughput, ThousandsOfJobsASecondThroughOneLeader)
{
  constexpr int kJobs = 20000;
  JobSimulationOptions options;
  options.mWorkers = 50;
  options.mRunTime = base::Milliseconds(10);
  JobSimulation simulation(options);
  simulation.Boot();
  const auto begin = std::chrono::steady_clock::now();
  int sent = 0;
  while (sent < kJobs) {
    // 4,000 jobs a second of virtual time.
    for (int i = 0; i < 20; ++i, ++sent) {
      simulation.Send(
        protocol::SubmitRequest{ MakeSmallJob(std::to_string(sent)) });
    }
    simulation.Run(base::Milliseconds(5));
  }
  ASSERT_TRUE(
    simulation.RunUntil([&] { return simulation.Leader().ActiveJobs() == 0; }));
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - begin;
  const double rate = kJobs / elapsed.count();
  RecordProperty("jobs_per_second", static_cast<int>(rate));
  std::cout << "jobs per second: " << static_cast<int>(rate) << "\n";
  EXPECT_GT(rate, kMinJobsPerSecond);
  EXPECT_EQ(simulation.mExecutions.size(), static_cast<std::size_t>(kJobs));
}

} // namespace dogwooddrum::tests
