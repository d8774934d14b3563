/** \file
 * Defines snapshot transfer: a snapshot is sent in chunks, one at a time, and
 * installed when it is complete and its checksum matches.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

// Leader.

/** Starts sending the newest snapshot to a follower. */
void
StartSnapshotTransfer(RaftState& aState,
                      base::MemberId aTo,
                      Progress& aProgress);

/** Repeats the current chunk if it was not answered in time. */
void
ResendChunkIfLate(RaftState& aState, base::MemberId aTo, Progress& aProgress);

/** Ends the transfer; the leader probes from the follower's match index. */
void
EndSnapshotTransfer(Progress& aProgress);

/** Handles a reply of the current term. */
void
OnSnapshotReply(RaftState& aState,
                base::MemberId aFrom,
                const SnapshotReply& aReply);

// Follower.

/** Handles a chunk of the current term's leader. */
void
OnSnapshotChunk(RaftState& aState,
                base::MemberId aFrom,
                const SnapshotChunk& aChunk);

} // namespace dogwooddrum::coordination::consensus
