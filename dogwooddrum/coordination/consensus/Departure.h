/** \file
 * Defines the planned end of a member. The member announces it to the leader
 * and waits, still voting, until a successor has its vote or none is there. No
 * side effects.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

namespace dogwooddrum::coordination::consensus {

/**
 * The leader's record of members that have announced their end. It is kept in
 * memory only: members repeat their request, also to a later leader.
 * Thread safety: none.
 */
class LeavingMembers
{
public:
  /**
   * Records or drops the request of aMember, and returns its answer. aView is
   * the group without this request. aCommitted is the newest committed
   * membership.
   */
  protocol::LeaveAnswer OnRequest(const GroupView& aView,
                                  const GroupRepairOptions& aOptions,
                                  const Membership& aCommitted,
                                  base::MemberId aMember,
                                  base::Time aNow);
  /** Returns the members with a recent request. */
  std::set<base::MemberId> Recent(base::Time aNow) const;

private:
  std::map<base::MemberId, base::Time> mAskedAt;
};

/**
 * Announces the end of this member. Thread safety: none.
 */
class Departure
{
public:
  /** aLimit: longest wait after Begin. */
  explicit Departure(base::Duration aLimit);

  void Begin(base::Time aNow);
  /** Returns whether to send a request to the other members now. Call often,
   * but not while this member leads. */
  bool TakeRequest(base::Time aNow);
  /** aIsFromLeader: the sender is the leader that this member follows. Another
   * one may be deposed and not know the present learners, so that only its word
   * on a committed removal counts. */
  void OnAnswer(protocol::LeaveAnswer aAnswer, bool aIsFromLeader);
  bool HasBegun() const { return mBegunAt.has_value(); }
  /** Returns whether the process may end. */
  bool IsDone(base::Time aNow) const;
  /** Returns how long the process has waited; 0 before Begin. */
  base::Duration Waited(base::Time aNow) const;
  /** Returns the newest answer; empty if none has arrived. */
  std::optional<protocol::LeaveAnswer> Answer() const { return mAnswer; }

private:
  const base::Duration mLimit;
  std::optional<base::Time> mBegunAt;
  base::Time mNextRequest;
  std::optional<protocol::LeaveAnswer> mAnswer;
};

/** Returns the lower-case name for the log. Thread safe. */
const char*
ToString(protocol::LeaveAnswer aAnswer);

} // namespace dogwooddrum::coordination::consensus
