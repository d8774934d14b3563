#include "dogwooddrum/service/SettingsFields.h"
#include "dogwooddrum/service/SettingsKeys.h"

namespace dogwooddrum::service {

std::vector<SettingsKey>
PolicyKeys()
{
  using coordination::workloads::Policies;
  const auto policy = [](std::string_view aKey,
                         const AnyFieldAccessor& aAccessor,
                         std::string_view aDescription,
                         std::string_view aDefault = "true") {
    return SettingsKey{ "control", aKey,     aAccessor, "",          0,
                        0,         aDefault, false,     aDescription };
  };
  return {
    policy("urgent_headroom",
           kPolicyField<&Policies::mUrgentHeadroom>,
           "Whether resources are kept free for urgent workloads."),
    policy("locality_wait",
           kPolicyField<&Policies::mLocalityWait>,
           "Whether tasks wait for the rack of their data or gang."),
    policy("worker_suspicion",
           kPolicyField<&Policies::mWorkerSuspicion>,
           "Whether workers whose runs fail or stall are used last."),
    policy("stall_stops",
           kPolicyField<&Policies::mStallStops>,
           "Whether runs without progress are stopped and started elsewhere."),
    policy("await_soon_ends",
           kPolicyField<&Policies::mAwaitSoonEnds>,
           "Whether nothing is stopped for resources that come free soon."),
    policy("loss_limit",
           kPolicyField<&Policies::mLossLimit>,
           "Whether a preemption may lose no more work than it starts."),
    policy("priority_weight",
           kPolicyField<&Policies::mPriorityWeight>,
           "Whether lost work of a more urgent priority costs more."),
    policy("learned_run_times",
           kPolicyField<&Policies::mLearnedRunTimes>,
           "Whether estimates of run times are corrected by observed ones."),
    policy(
      "long_running_first",
      kPolicyField<&Policies::mLongRunningFirst>,
      "Whether long-running tasks come before other work that is not urgent."),
    policy("guaranteed_first",
           kPolicyField<&Policies::mGuaranteedFirst>,
           "Whether work within a guarantee comes before other urgent work."),
    policy("reservations",
           kPolicyField<&Policies::mReservations>,
           "Whether workers are held for the first waiting task or gang of a "
           "priority, so that smaller tasks do not take them one by one."),
    policy("fair_shares",
           kPolicyField<&Policies::mFairShares>,
           "Whether priorities that are not urgent share a pool; otherwise the "
           "more urgent ones may use all of it."),
    policy("worker_speeds",
           kPolicyField<&Policies::mWorkerSpeeds>,
           "Whether work is placed by the observed speeds of the workers."),
    policy(
      "run_time_distributions",
      kPolicyField<&Policies::mRunTimeDistributions>,
      "Whether run times are expected by the distribution of finished runs."),
    policy("account_shares",
           kPolicyField<&Policies::mAccountShares>,
           "Whether the client accounts of a priority that is not urgent share "
           "what it uses of a pool.",
           "false"),
    policy("target_bindings",
           kPolicyField<&Policies::mTargetBindings>,
           "Whether a new leader ends the runs of targets that their VMs have "
           "replaced."),
  };
}

} // namespace dogwooddrum::service
