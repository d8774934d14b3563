/** \file
 * Defines the passes that start queued jobs: first inside guarantees, then on
 * borrowed capacity. Also moves running jobs under guarantees that have become
 * unused.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Maximum domains examined for a placement without victims. */
constexpr std::size_t kMaxPlacementDomains = 6;
/** Maximum domains examined for a placement with victims. Each needs a table
 * per worker, so this bounds the time of a decision. */
constexpr std::size_t kMaxVictimDomains = 10;
/** Maximum zones examined for a placement with victims. */
constexpr std::size_t kMaxVictimZones = 2;
/** Maximum workers of a zone or region examined for a placement with victims.
 */
constexpr std::size_t kMaxVictimWorkers = 160;

/** Returns how many domains to examine for a placement with victims. */
std::size_t
MaxVictimDomains(const protocol::GangShape& aShape);
/** Starts a queued job. Precondition: the accelerators of the plan are free,
 * and the account's unused cells cover the plan if aKind is Covered. */
void
StartOnFree(State& aState,
            JobHandle aJob,
            const Plan& aPlan,
            HoldKind aKind,
            base::Time aNow);
/** Starts a queued job inside its account's guarantee, or makes a claim for it.
 * Returns whether it did either. */
bool
TryStartGuaranteed(State& aState, JobHandle aJob, base::Time aNow);
/** Starts jobs of classes whose account may have enough unused cells. Stops at
 * aMaxDecisions pending decisions. */
void
StartGuaranteedJobs(State& aState, base::Time aNow, std::size_t aMaxDecisions);
/** Starts jobs on free accelerators in the order of OrderOf. Stops at
 * aMaxDecisions pending decisions. */
void
StartBorrowedJobs(State& aState, base::Time aNow, std::size_t aMaxDecisions);
/** Moves held jobs into cells of their account that have become unused. */
void
PromoteHeldJobs(State& aState, base::Time aNow);
/** Assigns cells again to jobs that a former leader started inside guarantees,
 * before other jobs can use the cells. */
void
PromoteAdoptedJobs(State& aState);
/** Moves a held job into its account's unused cells without changing its
 * workers. Returns false if the cells cannot cover its workers. */
bool
PromoteJob(State& aState, JobHandle aJob);

} // namespace dogwooddrum::coordination::placement
