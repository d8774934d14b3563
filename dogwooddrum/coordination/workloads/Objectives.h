/** \file
 * Defines what the catalog promises a workload: its queue and priority, the
 * time by which it should be complete, and whether its client account
 * guarantees it. Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

namespace dogwooddrum::coordination::workloads {

/** Returns the queue of the workload, as it was last defined if it has been
 * removed; null if it is unknown. */
const protocol::Queue*
QueueOf(const LeaderContext& aLeader, const WorkloadRecord& aWorkload);

/** Returns the priority of the queue; 0 if it is unknown. */
std::uint32_t
PriorityOf(const LeaderContext& aLeader, const QueueKey& aQueue);

/** Returns the time in ms, from acceptance or from when an occurrence is due,
 * within which the work should be complete. */
std::int64_t
AllowedTimeMs(const protocol::WorkloadSpec& aSpec,
              const protocol::Queue& aQueue);

/** Returns the Unix time, in ms, by which the occurrence should be complete. */
std::int64_t
DueAtMs(const WorkloadRecord& aWorkload,
        const protocol::Queue& aQueue,
        const OccurrenceRecord& aOccurrence);

/** Which urgent work (priority 0) the guarantees of client accounts cover. */
struct Guarantees
{
  /** Workloads that fit into their accounts' guarantees, the oldest first. */
  std::set<WorkloadId> mCovered;
  /** Accounts with urgent work that have more of it than their guarantees. */
  std::set<base::AccountId> mExceeded;
};

/** Returns what the guarantees cover of all urgent work that has not ended. */
Guarantees
FindGuarantees(const LeaderContext& aLeader);

} // namespace dogwooddrum::coordination::workloads
