/** \file
 * Defines the publishing of Observations, so that a new leader starts with what
 * the earlier ones have learned. Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

namespace dogwooddrum::coordination::workloads {

/** Proposes what this leader has learned, at intervals, and only when it
 * differs clearly from what is published. Thread safety: as the leader's. */
void
PublishObservations(LeaderContext& aLeader);
/** Starts the leadership with what is published. */
void
AdoptObservations(LeaderContext& aLeader);

} // namespace dogwooddrum::coordination::workloads
