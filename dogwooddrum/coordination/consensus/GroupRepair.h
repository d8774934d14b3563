/** \file
 * Defines the repair of a control group: which change of one member replaces
 * a lost member or adds a new one. No side effects.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <map>
#include <optional>
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
};

struct GroupRepairOptions
{
  std::size_t mIntendedVoters = 3; ///< intended number of voters
  /** Time without contact after which a join candidate may replace a voter.
   * Longer than an election, so that a restart does not count as a loss. */
  base::Duration mReplaceAfter = base::Milliseconds(2000);
  /** Time without contact after which a learner is removed. */
  base::Duration mDropLearnerAfter = base::Milliseconds(5000);
};

/**
 * Returns the next membership to propose, which differs in one member, or an
 * empty optional if the group needs no change. Raft may refuse a
 * promotion while the learner is behind; call again later. Thread safe.
 */
std::optional<Membership>
PlanNextRepair(const GroupView& aView, const GroupRepairOptions& aOptions);

/** Returns which member the change from aView's membership to aNext concerns,
 * and why, for the log. Thread safe. */
std::string
DescribeRepair(const GroupView& aView, const Membership& aNext);

} // namespace dogwooddrum::coordination::consensus
