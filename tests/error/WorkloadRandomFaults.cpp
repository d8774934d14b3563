// Guards against two runs of one task, starts beyond a worker's resources,
// before the steps they depend on or without an attempt left, and workloads
// that never end, under lost messages, late orders and restarts of all
// processes.
#include "tests/support/WorkloadSimulation.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

constexpr std::uint64_t kSeeds = 220;

void
SubmitMix(WorkloadSimulation& aSim, const std::string& aPrefix)
{
  for (int i = 0; i < 4; ++i) {
    const std::string id = aPrefix + std::to_string(i);
    // Some runs outlast a lease, so that ending one too early is detected.
    aSim.SetRunTime(id + "gang", 7000);
    aSim.SetRunTime(id + "many", 5000);
    aSim.Submit(id + "gang", "p1", OneStepSpec(3, 20000, 2, true));
    aSim.Submit(id + "many", "p2", OneStepSpec(9, 5600, 0, false));
    aSim.Submit(id + "fast", "p0", OneStepSpec(3, 7500, 4, false));
    auto chain = OneStepSpec(2, 5000, 1, false);
    chain.mSteps.push_back(chain.mSteps.front());
    chain.mSteps.back().mDependsOn = { 0 };
    aSim.Submit(id + "chain", "p2", chain);
  }
}

WorkloadSimulationOptions
FaultyOptions(std::uint64_t aSeed)
{
  WorkloadSimulationOptions options;
  options.mSeed = aSeed;
  auto& faults = options.mFaults;
  faults.mLostMessages = 0.1;
  faults.mUnansweredOrders = 0.1;
  faults.mFailingRuns = 0.05;
  faults.mRefusedStarts = 0.1;
  faults.mLeaderChange = 0.001;
  faults.mAgentRestart = 0.0005;
  faults.mTargetRestart = 0.0003;
  faults.mAgentDisconnect = 0.0005;
  return options;
}

void
RunUnderFaults(const WorkloadSimulationOptions& aOptions)
{
  WorkloadSimulation sim(aOptions);
  sim.RunFor(500);
  SubmitMix(sim, "a");
  sim.RunFor(15000);
  SubmitMix(sim, "b");
  sim.RunFor(20000);
  sim.ClearFaults();
  sim.RunFor(120000);
  for (const std::string& violation : sim.Violations()) {
    ADD_FAILURE() << "seed " << aOptions.mSeed << " at " << violation;
  }
  for (const char* prefix : { "a", "b" }) {
    for (int i = 0; i < 4; ++i) {
      for (const char* kind : { "gang", "many", "fast", "chain" }) {
        const std::string id = prefix + std::to_string(i) + kind;
        const auto phase = sim.Phase(id);
        EXPECT_TRUE(phase == protocol::WorkloadPhase::Complete ||
                    phase == protocol::WorkloadPhase::Failed)
          << "seed " << aOptions.mSeed << ": " << id << " is "
          << protocol::ToString(phase);
      }
    }
  }
}

class WorkloadFaultSeeds : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(WorkloadFaultSeeds, KeepsInvariantsAndEnds)
{
  RunUnderFaults(FaultyOptions(GetParam()));
}

class WorkloadPowerLossSeeds : public testing::TestWithParam<std::uint64_t>
{};

// A new leader ends the runs of a replaced target without waiting for their
// leases, which must not start a task twice.
TEST_P(WorkloadPowerLossSeeds, KeepsInvariantsAndEnds)
{
  auto options = FaultyOptions(GetParam());
  options.mFaults.mVmRestart = 0.0005;
  options.mFaults.mLeaderChange = 0.003;
  RunUnderFaults(options);
}

class WorkloadProcessFaultSeeds : public testing::TestWithParam<std::uint64_t>
{};

// Messages of earlier processes and incarnations, planned ends, paused agents
// and a leader that does not know that it was deposed must not start a task
// twice.
TEST_P(WorkloadProcessFaultSeeds, KeepsInvariantsAndEnds)
{
  auto options = FaultyOptions(GetParam());
  auto& faults = options.mFaults;
  faults.mLeaderChange = 0.002;
  faults.mAgentRestart = 0.001;
  faults.mSlowTargetRestart = 0.0003;
  faults.mPlannedEnd = 0.0005;
  faults.mAgentPause = 0.0005;
  faults.mLateAnnouncements = 0.2;
  faults.mLateReports = 0.1;
  faults.mDeposedLeaders = 0.7;
  // Else most seeds fail as seed 740 does.
  faults.mLateOrdersOutliveTarget = false;
  RunUnderFaults(options);
}

class WorkloadClockStepSeeds : public testing::TestWithParam<std::uint64_t>
{};

// Late announcements of targets whose start times do not rise must neither end
// the runs of the present target nor hide the next one, and an agent that
// restarts must not stay below the token of its earlier process.
TEST_P(WorkloadClockStepSeeds, KeepsInvariantsAndEnds)
{
  auto options = FaultyOptions(GetParam());
  auto& faults = options.mFaults;
  faults.mWrongClocks = 0.5;
  faults.mAgentRestart = 0.001;
  faults.mTargetRestart = 0.0005;
  faults.mVmRestart = 0.0005;
  faults.mLateAnnouncements = 0.2;
  faults.mLateReports = 0.1;
  faults.mLateOrdersOutliveTarget = false;
  RunUnderFaults(options);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         WorkloadClockStepSeeds,
                         testing::Range<std::uint64_t>(1, 101));
// In these seeds and in 89, a late report of an agent process that had ended
// was taken for one of the process after it.
INSTANTIATE_TEST_SUITE_P(LateReportsOfEndedProcesses,
                         WorkloadClockStepSeeds,
                         testing::Values(203, 956));

INSTANTIATE_TEST_SUITE_P(Seeds,
                         WorkloadProcessFaultSeeds,
                         testing::Range<std::uint64_t>(1, 201));

INSTANTIATE_TEST_SUITE_P(Seeds,
                         WorkloadPowerLossSeeds,
                         testing::Range<std::uint64_t>(1, 61));

INSTANTIATE_TEST_SUITE_P(Seeds,
                         WorkloadFaultSeeds,
                         testing::Range<std::uint64_t>(1, kSeeds + 1));

// With seed 740, a restarted target executed an order to its earlier
// incarnation before it had announced the new one.
INSTANTIATE_TEST_SUITE_P(OrdersToAnEarlierIncarnation,
                         WorkloadFaultSeeds,
                         testing::Values(740));

// In these seeds, a restarted target carries out an order to its earlier
// incarnation before it has announced the new one. No call fences it by then.
INSTANTIATE_TEST_SUITE_P(OpenOrdersToAnEarlierIncarnation,
                         WorkloadFaultSeeds,
                         testing::Values(909, 936, 1151, 1775, 1908));
INSTANTIATE_TEST_SUITE_P(OpenOrdersToAnEarlierIncarnation,
                         WorkloadPowerLossSeeds,
                         testing::Values(1539, 1774));

} // namespace
} // namespace dogwooddrum::tests
