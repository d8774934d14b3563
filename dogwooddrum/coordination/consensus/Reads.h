/** \file
 * Defines read-index reads: a read is confirmed once a quorum has answered a
 * heartbeat round that started after the read arrived.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

/** Adds a read to the next round, or fails it if this member does not lead. */
void
AddRead(RaftState& aState, ReadId aRead);

/** Starts a heartbeat round if a pending read needs one. */
void
StartRoundIfDue(RaftState& aState);

/**
 * Moves confirmed and failed reads into aReady. Precondition: all
 * committed entries are in aReady or were returned before.
 */
void
CollectReads(RaftState& aState, Ready& aReady);

/** Fails all pending reads. */
void
FailReads(RaftState& aState);

} // namespace dogwooddrum::coordination::consensus
