/** \file
 * Defines the leader's part in the evacuation of availability zones: while a
 * zone is evacuated, nothing is started on its targets. Runs that are at work
 * there end by themselves. The evacuated zones are replicated.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

namespace dogwooddrum::coordination::workloads {

/** Returns whether nothing may be started in the zone. */
bool
IsEvacuated(const LeaderContext& aLeader, const base::ZoneId& aZone);

/** Returns whether an operator may name the zone: it is in the settings, or
 * known from workers or an evacuation. Without zones in the settings each name
 * is known, since a new leader has not heard the workers yet. */
bool
IsKnownZone(const LeaderContext& aLeader, const base::ZoneId& aZone);

/** Proposes the change, and stores the request until it is committed. The
 * change is proposed even if it changes nothing, so that its commit confirms
 * the leadership. Precondition: the zone is known. */
void
ProposeEvacuation(LeaderContext& aLeader,
                  const PendingRequest& aPending,
                  const protocol::SetZoneEvacuation& aRequest);

/** Returns the request that a committed change answers, and removes it. */
std::optional<PendingRequest>
TakeEvacuationWaiter(LeaderContext& aLeader, const RecordEvacuation& aChange);

/** Adds the event of a committed change, and removes the start orders of the
 * zone from the orders of its workers. */
void
OnEvacuationApplied(LeaderContext& aLeader, const RecordEvacuation& aChange);

/** Returns the time on the agent's clock up to which it may begin starts that
 * answer the report; 0: no limit. An evacuation that is acknowledged after the
 * report was sent is then observed in time, whichever orders are on their way.
 * Precondition: a quorum round that began after the report's arrival is
 * complete. */
std::int64_t
StartsUntilUs(const LeaderContext& aLeader,
              const protocol::WorkerReport& aReport);

/** Stops the runs in evacuated zones that their targets have not listed, whose
 * starts are not ordered any more, with their gangs. An answered stop excludes
 * a late start, so that the tasks can start elsewhere. */
void
StopUnstartedRunsInEvacuatedZones(LeaderContext& aLeader);

} // namespace dogwooddrum::coordination::workloads
