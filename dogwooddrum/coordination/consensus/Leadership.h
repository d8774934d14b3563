/** \file
 * Defines the leader's duties: becoming leader, check-quorum, proposals,
 * membership changes and leadership transfer.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

/** Becomes leader of the current term and appends the term's no-op. */
void
BecomeLeader(RaftState& aState);

/**
 * Sends heartbeats that are due. Steps down if contact with a quorum is lost
 * or a leadership transfer has timed out.
 */
void
TickLeader(RaftState& aState);

/** Returns whether proposals are accepted. */
bool
AcceptsProposals(const RaftState& aState);

/** Appends an entry of the current term. Precondition: leader. */
base::LogIndex
AppendAsLeader(RaftState& aState, EntryKind aKind, std::string aPayload);

/** Returns whether the leader can propose aMembership, sorted by id, now. */
bool
MayChangeMembership(const RaftState& aState, const Membership& aMembership);

/**
 * Returns whether a learner's log matches to within one batch and holds the
 * newest membership. Without the second condition, a learner that has never
 * replied would be promoted while the whole log is smaller than a batch.
 */
bool
IsCaughtUp(const RaftState& aState, base::MemberId aMember);

/** Starts a leadership transfer to the most current voter. */
void
StartTransfer(RaftState& aState);

/** Sends TimeoutNow to the successor if its log matches to the end. */
void
ContinueTransfer(RaftState& aState);

/** Sends TimeoutNow to the most current voter, if any, and steps down. */
void
ResignToMostCurrentVoter(RaftState& aState);

/** Steps down if the committed membership lacks this member as a voter. */
void
StepDownIfRemoved(RaftState& aState);

/** Returns whether this leader has committed an entry of its own term. */
bool
HasCommittedOwnTerm(const RaftState& aState);

} // namespace dogwooddrum::coordination::consensus
