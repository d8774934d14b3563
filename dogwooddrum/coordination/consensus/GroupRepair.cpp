#include "dogwooddrum/coordination/consensus/GroupRepair.h"

#include <algorithm>

namespace dogwooddrum::coordination::consensus {

namespace {

base::Duration
SilenceOf(const GroupView& aView, base::MemberId aMember)
{
  const auto it = aView.mSilence.find(aMember);
  return aMember == aView.mSelf || it == aView.mSilence.end()
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
Without(const Membership& aMembership, base::MemberId aMember)
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
WithLearner(Membership aMembership, const Candidate& aCandidate)
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

/** Returns the member whose address a newcomer has: its disk is lost. */
const Member*
FindLostDisk(const GroupView& aView)
{
  for (const Member& member : aView.mMembership.mMembers) {
    for (const Candidate& candidate : aView.mCandidates) {
      if (member.mId != aView.mSelf && candidate.mId != member.mId &&
          candidate.mAddress == member.mAddress) {
        return &member;
      }
    }
  }
  return nullptr;
}

/** Returns the voter that has been silent longest, if long enough. */
const Member*
FindSilentVoter(const GroupView& aView, base::Duration aLimit)
{
  const Member* silent = nullptr;
  for (const Member& member : aView.mMembership.mMembers) {
    if (member.mVoter && SilenceOf(aView, member.mId) >= aLimit &&
        (silent == nullptr ||
         SilenceOf(aView, member.mId) > SilenceOf(aView, silent->mId))) {
      silent = &member;
    }
  }
  return silent;
}

} // namespace

std::optional<Membership>
NextRepair(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const Membership& current = aView.mMembership;
  if (const Member* lost = FindLostDisk(aView)) {
    return Without(current, lost->mId);
  }
  const Member* learner = nullptr;
  for (const Member& member : current.mMembers) {
    if (!member.mVoter) {
      if (SilenceOf(aView, member.mId) >= aOptions.mDropLearnerAfter) {
        return Without(current, member.mId);
      }
      learner = &member;
    }
  }
  const std::size_t voters = CountVoters(current);
  const Member* silent = FindSilentVoter(aView, aOptions.mReplaceAfter);
  if (learner != nullptr && voters < aOptions.mVoters) {
    Membership next = current;
    for (Member& member : next.mMembers) {
      member.mVoter = member.mVoter || member.mId == learner->mId;
    }
    return next;
  }
  // The lost voter goes first: with it, promoting the learner would leave a
  // group of even size that needs one more live member.
  if (learner != nullptr && silent != nullptr) {
    return Without(current, silent->mId);
  }
  if (learner == nullptr && (voters < aOptions.mVoters || silent != nullptr)) {
    for (const Candidate& candidate : aView.mCandidates) {
      if (!IsMember(aView, candidate.mId)) {
        return WithLearner(current, candidate);
      }
    }
  }
  return std::nullopt;
}

} // namespace dogwooddrum::coordination::consensus
