/** \file
 * Defines the fields of the log events that tell why a control member does not
 * lead and why a process is not taken into its group. No side effects.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/service/LogEvents.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dogwooddrum::daemon {

using LogFields = std::vector<service::LogField>;

/** Returns the members as "ID=ADDRESS ID(learner)=ADDRESS"; during a swap, two
 * are marked as "(entering)" and "(leaving)". */
std::string
FormatMembership(const coordination::consensus::Membership& aMembership);

/** State of a member that knows no leader. */
struct LeaderlessView
{
  base::MemberId mSelf;
  base::Time mNow;
  base::Duration mFor; ///< time without a known leader
  coordination::consensus::ElectionStatus mStatus;
  coordination::consensus::Membership mMembership;
  std::function<bool(base::MemberId)> mIsLinkOpen;
};

/** Returns the fields of leader_unknown. */
LogFields
DescribeLeaderless(const LeaderlessView& aView);

const char*
ToString(coordination::consensus::VoteRefusalReason aReason);

/** Returns the fields of vote_refused; aOwn is the refusing member's status. */
LogFields
DescribeVoteRefusal(const coordination::consensus::VoteRefusal& aRefusal,
                    const coordination::consensus::ElectionStatus& aOwn,
                    base::MemberId aLeader);

/** Role of a member in the handling of join requests. */
struct JoinView
{
  base::MemberId mLeader; ///< 0: unknown
  bool mIsLeader = false;
  bool mIsLeaderReady = false;
  /** On the leader; empty if it does not repair its group. */
  std::optional<coordination::consensus::GroupRepairOptions> mRepair;
  coordination::consensus::GroupView mGroup;
};

/** Returns why aCandidate's request is not served, or an empty text if that
 * needs no attention: another member leads, or the group is complete. */
std::string
WhyNotServed(const JoinView& aView,
             const coordination::consensus::JoinCandidate& aCandidate);

/** State of a process that seeks its group. */
struct SeekingView
{
  struct Link
  {
    std::string mAddress;
    std::string mSource; ///< settings or members
    bool mIsOpen = false;
    std::optional<base::Time> mAnsweredAt;
  };
  base::Time mNow;
  base::MemberId mSelf;
  bool mIsVoter = false;
  base::Duration mLeaderless{};
  coordination::consensus::Membership mMembership; ///< its own
  /** From the newest reply; empty: none. */
  coordination::consensus::Membership mAnsweredMembership;
  std::vector<Link> mLinks;
};

/** Returns the fields of seeking_group. */
LogFields
DescribeSeeking(const SeekingView& aView);

/** Returns the part of the state that does not change with time alone. */
std::string
FormatSeekingState(const SeekingView& aView);

/** Returns whether the group has answered within kLogInterval that it has
 * aIntendedVoters other voters, no member at aSelfAddress but this process, and
 * no vote for it, so that it waits as a spare.
 */
bool
IsSpare(const SeekingView& aView,
        const std::string& aSelfAddress,
        std::size_t aIntendedVoters);

} // namespace dogwooddrum::daemon
