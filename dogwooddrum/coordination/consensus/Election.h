/** \file
 * Defines elections: timers, pre-vote, votes and role changes.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/RaftState.h"

namespace dogwooddrum::coordination::consensus {

/**
 * Sets the election deadline to a random time between the minimum and maximum
 * election timeout from now.
 */
void
ResetElectionTimer(RaftState& aState);

/**
 * Sets the deadline of the next pre-vote, which is early while this member has
 * just started and has heard no leader: the group is then likely to have none.
 */
void
ResetPreVoteTimer(RaftState& aState);

/** Records the newer term of aMessage as the reason why a leader steps down. */
void
RecordNewerTerm(RaftState& aState, const Message& aMessage);

/** Records a member's message for CurrentElectionStatus. */
void
RecordMessage(RaftState& aState, const Message& aMessage);

/**
 * Becomes a follower of aLeader (0: unknown) in aTerm. If this member was the
 * leader, its pending reads fail. Precondition: aTerm is not below the current
 * term.
 */
void
BecomeFollower(RaftState& aState, base::Term aTerm, base::MemberId aLeader);

/** Records a valid message from the leader of the current term. */
void
RecordLeaderContact(RaftState& aState, base::MemberId aLeader);

/** Starts a pre-vote if a voter's election timer has run out. */
void
TickElection(RaftState& aState);

/**
 * Starts an election in the next term. aTransfer: the leader requested it to
 * transfer leadership.
 */
void
StartElection(RaftState& aState, bool aTransfer);

/** Handles a vote or pre-vote request of any term. */
void
OnVoteRequest(RaftState& aState,
              const Message& aMessage,
              const VoteRequest& aRequest);

/** Handles a reply that is not of an old term. */
void
OnVoteReply(RaftState& aState,
            const Message& aMessage,
            const VoteReply& aReply);

/** Counts a candidate's vote for itself once that vote is durable. */
void
CountOwnVote(RaftState& aState);

} // namespace dogwooddrum::coordination::consensus
