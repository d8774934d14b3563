/** \file
 * Defines the repair of a control group: which change of one member replaces
 * a lost member, gives the vote of one that leaves to its successor, or adds a
 * new one. No side effects.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/** A process that requested to join the group. */
struct JoinCandidate
{
  base::MemberId mId;
  std::string mAddress;
};

/** State of the group as the leader sees it. */
struct GroupView
{
  Membership mMembership;
  /** Time since the leader's last contact with each other member. */
  std::map<base::MemberId, base::Duration> mTimeSinceContact;
  std::vector<JoinCandidate> mJoinCandidates; ///< with a recent request
  base::MemberId mSelf;
  std::set<base::MemberId> mLearnersBehind; ///< may not be promoted yet
  /** Members of which this leader only knows that they are members. */
  std::set<base::MemberId> mUnanswered;
  /** Members that have announced their end and wait for an answer. */
  std::set<base::MemberId> mLeaving;
};

struct GroupRepairOptions
{
  std::size_t mIntendedVoters = 3; ///< intended number of voters
  /** Time without contact after which a learner may replace a voter. Longer
   * than an election, so that a restart does not count as a loss. */
  base::Duration mReplaceAfter = base::Milliseconds(2000);
  /** Time without contact after which a learner is removed. */
  base::Duration mDropLearnerAfter = base::Milliseconds(5000);
  /** Time without contact after which a learner is not promoted, and a member
   * that has announced its end counts as gone. Several heartbeats. */
  base::Duration mSilentAfter = base::Milliseconds(300);
};

/**
 * Returns the next membership to propose: a change of one member, or the begin
 * or the end of a swap. Empty if the group needs no change or if none can be
 * made yet. Thread safe.
 */
std::optional<Membership>
PlanNextRepair(const GroupView& aView, const GroupRepairOptions& aOptions);

/** Returns whether a learner, or a process that becomes one, can take the vote
 * of a member that leaves. Thread safe. */
bool
HasSuccessor(const GroupView& aView, const GroupRepairOptions& aOptions);

/**
 * Returns whether a process asks to be taken into the group: it has no place
 * in it, or may have lost its place while it was paused or cut off.
 * aLeaderless: time for which it has known no leader. Thread safe.
 */
bool
ShouldRequestJoin(const Membership& aMembership,
                  base::MemberId aSelf,
                  base::Duration aLeaderless);

/** Returns which members the change from aView's membership to aNext concerns,
 * and why, for the log. Thread safe. */
std::string
DescribeRepair(const GroupView& aView, const Membership& aNext);

} // namespace dogwooddrum::coordination::consensus
