/** \file
 * Defines the repair of a group: which single change of membership replaces a
 * lost member or takes in a new one. Pure.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <map>
#include <optional>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/** A process that asked to become a member. */
struct Candidate
{
  base::MemberId mId;
  std::string mAddress;
};

struct GroupView
{
  Membership mMembership;
  /** Time since the leader last heard from each other member. */
  std::map<base::MemberId, base::Duration> mSilence;
  std::vector<Candidate> mCandidates; ///< that asked recently
  base::MemberId mSelf;
};

struct GroupRepairOptions
{
  std::size_t mVoters = 3; ///< wanted size of the group
  /** Silence after which a voter may be replaced by a newcomer. Longer than
   * an election, so that a restart does not count as a loss. */
  base::Duration mReplaceAfter = base::Milliseconds(2000);
  /** Silence after which a learner is given up. */
  base::Duration mDropLearnerAfter = base::Milliseconds(5000);
};

/**
 * Returns the next membership to propose, which differs in one member, or an
 * empty optional if the group needs no change. Promotions may be refused by
 * Raft while the learner is behind; ask again later. Thread safe.
 */
std::optional<Membership>
NextRepair(const GroupView& aView, const GroupRepairOptions& aOptions);

} // namespace dogwooddrum::coordination::consensus
