#include "dogwooddrum/coordination/consensus/GroupRepair.h"

#include <algorithm>

namespace dogwooddrum::coordination::consensus {

namespace {

base::Duration
TimeSinceContact(const GroupView& aView, base::MemberId aMember)
{
  const auto it = aView.mTimeSinceContact.find(aMember);
  return aMember == aView.mSelf || it == aView.mTimeSinceContact.end()
           ? base::Duration::zero()
           : it->second;
}

std::size_t
CountVoters(const Membership& aMembership)
{
  return static_cast<std::size_t>(
    std::count_if(aMembership.mMembers.begin(),
                  aMembership.mMembers.end(),
                  [](const Member& aMember) { return aMember.mVoter; }));
}

Membership
WithoutMember(const Membership& aMembership, base::MemberId aMember)
{
  Membership next;
  for (const Member& member : aMembership.mMembers) {
    if (member.mId != aMember) {
      next.mMembers.push_back(member);
    }
  }
  return next;
}

Membership
WithLearner(Membership aMembership, const JoinCandidate& aCandidate)
{
  aMembership.mMembers.push_back(
    { aCandidate.mId, aCandidate.mAddress, false });
  std::sort(aMembership.mMembers.begin(),
            aMembership.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mId < aRight.mId;
            });
  return aMembership;
}

bool
IsMember(const GroupView& aView, base::MemberId aMember)
{
  const auto& members = aView.mMembership.mMembers;
  return std::any_of(members.begin(), members.end(), [&](const Member& aEach) {
    return aEach.mId == aMember;
  });
}

/**
 * Returns a member whose address a join candidate with another id uses: the
 * process at that address has lost its disk. Returns null if there is none.
 */
const Member*
FindMemberWithLostDisk(const GroupView& aView)
{
  for (const Member& member : aView.mMembership.mMembers) {
    for (const JoinCandidate& candidate : aView.mJoinCandidates) {
      if (member.mId != aView.mSelf && candidate.mId != member.mId &&
          candidate.mAddress == member.mAddress) {
        return &member;
      }
    }
  }
  return nullptr;
}

/** Returns the voter without contact for longest and at least aLimit. */
const Member*
FindUnresponsiveVoter(const GroupView& aView, base::Duration aLimit)
{
  const Member* unresponsive = nullptr;
  for (const Member& member : aView.mMembership.mMembers) {
    if (member.mVoter && TimeSinceContact(aView, member.mId) >= aLimit &&
        (unresponsive == nullptr ||
         TimeSinceContact(aView, member.mId) >
           TimeSinceContact(aView, unresponsive->mId))) {
      unresponsive = &member;
    }
  }
  return unresponsive;
}

} // namespace

std::optional<Membership>
PlanNextRepair(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const Membership& current = aView.mMembership;
  if (const Member* lost = FindMemberWithLostDisk(aView)) {
    return WithoutMember(current, lost->mId);
  }
  const Member* learner = nullptr;
  for (const Member& member : current.mMembers) {
    if (!member.mVoter) {
      if (TimeSinceContact(aView, member.mId) >= aOptions.mDropLearnerAfter) {
        return WithoutMember(current, member.mId);
      }
      learner = &member;
    }
  }
  const std::size_t voters = CountVoters(current);
  const Member* unresponsive =
    FindUnresponsiveVoter(aView, aOptions.mReplaceAfter);
  if (learner != nullptr && voters < aOptions.mIntendedVoters) {
    Membership next = current;
    for (Member& member : next.mMembers) {
      member.mVoter = member.mVoter || member.mId == learner->mId;
    }
    return next;
  }
  // Remove the lost voter before promoting the learner: promoting first would
  // leave an even number of voters, whose quorum needs one more live member.
  if (learner != nullptr && unresponsive != nullptr) {
    return WithoutMember(current, unresponsive->mId);
  }
  if (learner == nullptr &&
      (voters < aOptions.mIntendedVoters || unresponsive != nullptr)) {
    for (const JoinCandidate& candidate : aView.mJoinCandidates) {
      if (!IsMember(aView, candidate.mId)) {
        return WithLearner(current, candidate);
      }
    }
  }
  return std::nullopt;
}

std::string
DescribeRepair(const GroupView& aView, const Membership& aNext)
{
  const auto find = [](const Membership& aMembership, base::MemberId aId) {
    return std::find_if(
      aMembership.mMembers.begin(),
      aMembership.mMembers.end(),
      [&](const Member& aMember) { return aMember.mId == aId; });
  };
  for (const Member& member : aView.mMembership.mMembers) {
    if (find(aNext, member.mId) != aNext.mMembers.end()) {
      continue;
    }
    const std::string what =
      "remove member " + std::to_string(member.mId.Value()) + ": ";
    for (const JoinCandidate& candidate : aView.mJoinCandidates) {
      if (candidate.mId != member.mId &&
          candidate.mAddress == member.mAddress) {
        return what + "lost disk at " + member.mAddress + ", now member " +
               std::to_string(candidate.mId.Value());
      }
    }
    return what + "unresponsive for " +
           std::to_string(
             base::ToMilliseconds(TimeSinceContact(aView, member.mId))) +
           " ms";
  }
  for (const Member& member : aNext.mMembers) {
    const std::string id = std::to_string(member.mId.Value());
    const auto old = find(aView.mMembership, member.mId);
    if (old == aView.mMembership.mMembers.end()) {
      return "add learner " + id + ": join request from " + member.mAddress;
    }
    if (member.mVoter && !old->mVoter) {
      return "promote member " + id + ": learner has caught up";
    }
  }
  return "no change";
}

} // namespace dogwooddrum::coordination::consensus
