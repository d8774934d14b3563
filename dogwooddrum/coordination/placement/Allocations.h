/** \file
 * Defines the allocation of accelerators: functions that hold and free tasks
 * and shares of guarantee cells, and update the capacity indexes accordingly.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Updates the capacity indexes after a change of a worker's amounts. */
void
RefreshWorker(State& aState, WorkerIndex aWorker);
/** Returns the account's index; adds the account if it does not exist. */
AccountIndex
FindOrAddAccount(State& aState, const base::AccountId& aAccount);
/** Returns the rules of a profile, or the defaults if it is unknown. */
ProfileRules
RulesOf(const State& aState, const base::ProfileId& aProfile);
/** Returns whether the job may run only inside its account's guarantee:
 * it is not repeatable or not preemptible. */
bool
RequiresGuarantee(const JobEntry& aJob);
/** Returns a job by id, or nullptr. */
JobEntry*
FindJob(State& aState, base::JobId aJob);
/** Returns the handle of a job by id, or kNoIndex. */
JobHandle
FindHandle(const State& aState, base::JobId aJob);
/** Returns the gang of the job to search workers for. Workers on which the
 * job failed are excluded if enough others remain. */
GangNeed
MakeGangNeed(const State& aState, const JobEntry& aJob);

/** Holds the accelerators of a plan for a job. Precondition: they are free,
 * and the shares of a covered job are allocated. */
void
HoldPlan(State& aState, JobHandle aJob, const Plan& aPlan, base::Time aNow);
/** Holds the accelerators of one task. */
void
AdoptTask(State& aState, JobHandle aJob, const HeldTask& aTask);
/** Allocates shares of the account's cells for a plan. Precondition:
 * CoverPlan returned true. */
void
AllocateShares(State& aState, JobHandle aJob, const Plan& aPlan);
/** Releases all cell shares of a job. */
void
ReleaseShares(State& aState, JobHandle aJob);
/** Frees the accelerators of one held task and its cell shares. */
void
FreeTask(State& aState, JobHandle aJob, std::size_t aIndex);
/** Frees the accelerators of all held tasks of a job and their cell shares. */
void
FreeTasks(State& aState, JobHandle aJob);
/** Changes a held job's kind and updates the sums that depend on it. */
void
SetHoldKind(State& aState, JobHandle aJob, HoldKind aKind);
/** Returns where the job's tasks run, as reported in a decision. */
std::vector<TaskPlacement>
PlacementsOf(const State& aState, const JobEntry& aJob);

} // namespace dogwooddrum::coordination::placement
