// Guards against tasks that wait for the lease of a target which is known to be
// gone, and against starting them again while the target may still run them.
#include "tests/support/WorkloadSimulation.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/jobs/JobState.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;
using protocol::TargetIncarnation;

const TargetIncarnation kLost{ "i-lost", 2000 };
const TargetIncarnation kNext{ "i-next", 3000 };
const TargetIncarnation kSetBack{ "i-next", 1000 };
const char* const kAgent = "agent";

/** State with one workload whose only task runs on kLost. */
State
StateWithRun()
{
  State state;
  state.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
  Accept accept;
  accept.mRequest.mId = protocol::WorkloadId("a");
  protocol::WorkloadStep step;
  step.mCount = 1;
  accept.mRequest.mSpec.mSteps.push_back(step);
  state.Apply(Change{ accept });
  const protocol::RunId run{ { protocol::WorkloadId("a"), 0, 0, 0 },
                             protocol::RunNumber(1) };
  state.Apply(Change{ BindTarget{ kAgent, kLost } });
  state.Apply(Change{ StartRuns{ { { run, kLost } } } });
  return state;
}

protocol::WorkerReport
ReportOf(const TargetIncarnation& aTarget,
         std::uint64_t aSequence,
         base::Term aOrdersTerm = {})
{
  protocol::WorkerReport report;
  report.mAgent = base::Incarnation(7);
  report.mAgentName = kAgent;
  report.mSequence = aSequence;
  report.mOrdersTerm = aOrdersTerm;
  report.mTarget = protocol::TargetInfo();
  report.mTarget->mTargetIncarnation = aTarget;
  report.mHasRunLists = true;
  return report;
}

/** Applies the scheduler's changes at aMs; returns the targets that it bound,
 * with an empty instance for a binding that it removed. */
std::vector<std::string>
ApplyBindings(WorkloadScheduler& aScheduler, State& aState, std::int64_t aMs)
{
  std::vector<std::string> bound;
  aScheduler.Tick(At(aMs));
  for (const Change& change : aScheduler.TakeOutput(At(aMs)).mChanges) {
    if (const auto* binding = std::get_if<BindTarget>(&change.mBody)) {
      bound.push_back(binding->mTarget.mInstance);
    }
    aState.Apply(change);
    aScheduler.OnApplied(change, At(aMs));
  }
  return bound;
}

constexpr base::Term kEarlierTerm(1);
constexpr base::Term kTerm(2);

/** Returns how many runs a new leader of aState ends when the agent reports the
 * target after orders of aOrdersTerm. */
std::size_t
EndsAfterReport(const State& aState,
                const TargetIncarnation& aTarget,
                base::Term aOrdersTerm)
{
  WorkloadScheduler scheduler({}, aState);
  scheduler.BecomeLeader(kTerm, At(0));
  scheduler.OnReport(Session(1), ReportOf(aTarget, 1, aOrdersTerm), At(100));
  std::size_t ends = 0;
  for (const Change& change : scheduler.TakeOutput(At(100)).mChanges) {
    ends += std::holds_alternative<EndRun>(change.mBody) ? 1 : 0;
  }
  return ends;
}

// After a power loss of the leader and some VMs, previews waited 13 to 19 s for
// the leases of targets that their VMs had replaced long before.
TEST(LostTargets, TasksRestartUnderANewLeaderBeforeTheLeaseEnds)
{
  WorkloadSimulation sim({});
  sim.RunFor(500);
  sim.SetRunTime("preview", 2500);
  sim.Submit("preview", "p0", OneStepSpec(12, 8000, 2, false));
  sim.RunFor(500);
  ASSERT_EQ(sim.StartCount("preview"), 12);
  sim.RestartVm(0);
  sim.RestartVm(1);
  sim.ChangeLeader();
  sim.RunFor(3500);
  EXPECT_EQ(sim.Phase("preview"), protocol::WorkloadPhase::Complete);
  EXPECT_TRUE(sim.Violations().empty());
}

TEST(LostTargets, ANewLeaderEndsTheRunsOfAReplacedTarget)
{
  EXPECT_EQ(EndsAfterReport(StateWithRun(), kNext, kTerm), 1U);
}

TEST(LostTargets, ANewLeaderKeepsTheRunsOfTheSameTarget)
{
  for (const auto term : { base::Term(), kEarlierTerm, kTerm }) {
    EXPECT_EQ(EndsAfterReport(StateWithRun(), kLost, term), 0U);
  }
}

// The runs of a replaced target whose VM had its clock set back waited for
// their leases.
TEST(LostTargets, TheNextTargetMayHaveAnEarlierStartTime)
{
  EXPECT_EQ(EndsAfterReport(StateWithRun(), kSetBack, kTerm), 1U);
}

// A report from before the election may name an earlier target than the bound
// one, whatever their start times are.
TEST(LostTargets, AReportFromBeforeTheElectionIsNoProof)
{
  for (const auto& target : { kNext, kSetBack }) {
    EXPECT_EQ(EndsAfterReport(StateWithRun(), target, kEarlierTerm), 0U);
    EXPECT_EQ(EndsAfterReport(StateWithRun(), target, base::Term()), 0U);
  }
}

// Bindings of agents that never come back would fill the replicated state.
TEST(LostTargets, BindingOfASilentAgentIsRemovedAndMadeAgain)
{
  using Bound = std::vector<std::string>;
  State state;
  WorkloadScheduler scheduler({}, state);
  scheduler.BecomeLeader(base::Term(1), At(0));
  scheduler.OnReport(Session(1), ReportOf(kLost, 1), At(100));
  EXPECT_EQ(ApplyBindings(scheduler, state, 100), Bound{ kLost.mInstance });
  EXPECT_EQ(ApplyBindings(scheduler, state, 170000), Bound{});
  EXPECT_EQ(ApplyBindings(scheduler, state, 200000), Bound{ "" });
  EXPECT_TRUE(state.BoundTargets().empty());
  scheduler.OnReport(Session(1), ReportOf(kLost, 2), At(210000));
  EXPECT_EQ(ApplyBindings(scheduler, state, 210000), Bound{ kLost.mInstance });
}

TEST(LostTargets, BindingsOutliveASnapshot)
{
  coordination::jobs::JobState state;
  coordination::jobs::Batch batch;
  batch.mCommands.emplace_back(Change{ BindTarget{ kAgent, kLost } });
  state.Apply(batch);
  coordination::jobs::JobState restored;
  ASSERT_TRUE(restored.Restore(state.Save()));
  EXPECT_EQ(restored.Workloads().BoundTargets().at(kAgent), kLost);
}

// A member that is updated starts from the snapshot of an earlier version,
// which ends before the containers that were added since: the bindings, the
// evacuated zones, three of observations and three of the registry of queues.
TEST(LostTargets, SnapshotsOfEarlierVersionsAreRead)
{
  for (const auto& [format, containers] : { std::make_pair("DWDJOBS1", 8U),
                                            std::make_pair("DWDJOBS2", 7U),
                                            std::make_pair("DWDJOBS2", 3U) }) {
    coordination::jobs::JobState state;
    const std::string bytes = state.Save();
    constexpr std::size_t kHeaderBytes = 16; // format name and checksum
    std::string body = bytes.substr(kHeaderBytes);
    body.resize(body.size() - containers * sizeof(std::uint64_t));
    const std::uint64_t checksum = base::Checksum(body);
    std::string earlier = format;
    earlier.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
    earlier += body;
    EXPECT_TRUE(state.Restore(earlier)) << format << " without " << containers;
    EXPECT_EQ(state.Save(), bytes);
  }
}

} // namespace
} // namespace dogwooddrum::tests
