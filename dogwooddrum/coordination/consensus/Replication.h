/** \file
 * Defines log replication: what the leader sends and tracks, and how a
 * follower appends entries.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

// Leader.

/** Adds and removes followers to match the newest membership. */
void
UpdateProgressTable(RaftState& aState);

/** Sends a heartbeat of the current round to every member. */
void
BroadcastHeartbeat(RaftState& aState);

/** Sends each follower the entries that its window or probe allows. */
void
FlushAppends(RaftState& aState);

/** Commits entries of the current term that are durable on a quorum. */
void
AdvanceCommit(RaftState& aState);

/** Handles a reply of the current term. */
void
OnAppendReply(RaftState& aState,
              base::MemberId aFrom,
              const AppendReply& aReply);

// Follower.

/** Handles a request of the current term's leader. */
void
OnAppendRequest(RaftState& aState,
                base::MemberId aFrom,
                const AppendRequest& aRequest);

/** Rejects a request of an old term with a reply of the current term. */
void
RejectOldTerm(RaftState& aState, base::MemberId aTo);

} // namespace dogwooddrum::coordination::consensus
