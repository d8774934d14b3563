#include "dogwooddrum/coordination/consensus/GroupRepair.h"

#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

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

/** Returns whether a join candidate with another id uses the address of a
 * member: the process at that address has lost its disk. */
bool
HasLostDisk(const GroupView& aView, const Member& aMember)
{
  return aMember.mId != aView.mSelf &&
         std::any_of(aView.mJoinCandidates.begin(),
                     aView.mJoinCandidates.end(),
                     [&](const JoinCandidate& aCandidate) {
                       return aCandidate.mId != aMember.mId &&
                              aCandidate.mAddress == aMember.mAddress;
                     });
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

bool
IsLeaving(const GroupView& aView, base::MemberId aMember)
{
  return aView.mLeaving.count(aMember) > 0;
}

/** Returns a voter other than the leader that has announced its end. */
const Member*
FindLeavingVoter(const GroupView& aView)
{
  for (const Member& member : aView.mMembership.mMembers) {
    if (member.mVoter && member.mId != aView.mSelf &&
        IsLeaving(aView, member.mId)) {
      return &member;
    }
  }
  return nullptr;
}

/** Returns a learner that can be promoted now. */
const Member*
FindPromotableLearner(const GroupView& aView,
                      const GroupRepairOptions& aOptions)
{
  for (const Member& member : aView.mMembership.mMembers) {
    if (!member.mVoter && !IsLeaving(aView, member.mId) &&
        aView.mLearnersBehind.count(member.mId) == 0 &&
        TimeSinceContact(aView, member.mId) < aOptions.mSilentAfter &&
        !HasLostDisk(aView, member)) {
      return &member;
    }
  }
  return nullptr;
}

const JoinCandidate*
FindNewCandidate(const GroupView& aView)
{
  for (const JoinCandidate& candidate : aView.mJoinCandidates) {
    if (FindMember(aView.mMembership, candidate.mId) == nullptr) {
      return &candidate;
    }
  }
  return nullptr;
}

bool
IsResponsive(const GroupView& aView,
             const GroupRepairOptions& aOptions,
             const Member& aMember)
{
  return aMember.mId == aView.mSelf ||
         (TimeSinceContact(aView, aMember.mId) < aOptions.mSilentAfter &&
          aView.mUnanswered.count(aMember.mId) == 0 &&
          !HasLostDisk(aView, aMember));
}

/** Ends a swap. It is reverted if the voter that was to leave, such as one that
 * was only paused, answers again; also if its successor does not answer. */
std::optional<Membership>
EndSwap(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const Member* leaving = FindSwapRole(aView.mMembership, SwapRole::Leaving);
  const Member* entering = FindSwapRole(aView.mMembership, SwapRole::Entering);
  if (leaving == nullptr || entering == nullptr) {
    return FinishSwap(aView.mMembership);
  }
  if (IsResponsive(aView, aOptions, *leaving)) {
    return IsLeaving(aView, leaving->mId) &&
               IsResponsive(aView, aOptions, *entering)
             ? FinishSwap(aView.mMembership)
             : RevertSwap(aView.mMembership);
  }
  // A new leader does not know at once which members answer.
  const bool isKnown =
    IsLeaving(aView, leaving->mId) || HasLostDisk(aView, *leaving) ||
    TimeSinceContact(aView, leaving->mId) >= aOptions.mSilentAfter;
  return isKnown ? std::make_optional(FinishSwap(aView.mMembership))
                 : std::nullopt;
}

// The steps of a repair. Each returns the membership to propose, or nothing if
// it does not apply.

/** Gives the vote of a member that has lost its disk to a learner, or removes
 * the member if there is none: its process returns as another member. */
std::optional<Membership>
ReplaceLostDisk(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  for (const Member& member : aView.mMembership.mMembers) {
    if (HasLostDisk(aView, member)) {
      const Member* learner = FindPromotableLearner(aView, aOptions);
      return member.mVoter && learner != nullptr
               ? BeginSwap(aView.mMembership, member.mId, learner->mId)
               : WithoutMember(aView.mMembership, member.mId);
    }
  }
  return std::nullopt;
}

/** Removes a learner that is gone; sooner if another process waits. */
std::optional<Membership>
DropLearner(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const auto limit = FindNewCandidate(aView) == nullptr
                       ? aOptions.mDropLearnerAfter
                       : aOptions.mReplaceAfter;
  for (const Member& member : aView.mMembership.mMembers) {
    if (!member.mVoter && TimeSinceContact(aView, member.mId) >= limit) {
      return WithoutMember(aView.mMembership, member.mId);
    }
  }
  return std::nullopt;
}

std::optional<Membership>
AddMissingVoter(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const Member* learner = FindPromotableLearner(aView, aOptions);
  if (learner == nullptr ||
      CountVoters(aView.mMembership) >= aOptions.mIntendedVoters) {
    return std::nullopt;
  }
  Membership next = aView.mMembership;
  for (Member& member : next.mMembers) {
    member.mVoter = member.mVoter || member.mId == learner->mId;
  }
  return next;
}

/** Swaps a voter that leaves or is gone for a learner. One that has announced
 * its end comes first: another one may only be paused. */
std::optional<Membership>
ReplaceVoter(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const Member* learner = FindPromotableLearner(aView, aOptions);
  const Member* voter = FindLeavingVoter(aView);
  if (voter == nullptr) {
    voter = FindUnresponsiveVoter(aView, aOptions.mReplaceAfter);
  }
  return learner == nullptr || voter == nullptr
           ? std::nullopt
           : std::make_optional(
               BeginSwap(aView.mMembership, voter->mId, learner->mId));
}

/** Adds a learner. As many are kept up to date as voters may be lost at
 * once, so that they can take a vote without delay. */
std::optional<Membership>
AddLearner(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const std::size_t most =
    std::max<std::size_t>(aOptions.mIntendedVoters / 2, 1);
  const std::size_t learners =
    aView.mMembership.mMembers.size() - CountVoters(aView.mMembership);
  const JoinCandidate* candidate = FindNewCandidate(aView);
  return candidate == nullptr || learners >= most
           ? std::nullopt
           : std::make_optional(WithLearner(aView.mMembership, *candidate));
}

using RepairStep = std::optional<Membership> (*)(const GroupView&,
                                                 const GroupRepairOptions&);

/** In order: the first step that applies is taken. */
constexpr RepairStep kRepairSteps[] = {
  ReplaceLostDisk, DropLearner, AddMissingVoter, ReplaceVoter, AddLearner,
};

std::string
NameOf(const Member& aMember)
{
  return "member " + std::to_string(aMember.mId.Value());
}

/** Returns why a member is replaced, for the log. */
std::string
DescribeLoss(const GroupView& aView, const Member& aMember)
{
  for (const JoinCandidate& candidate : aView.mJoinCandidates) {
    if (candidate.mId != aMember.mId &&
        candidate.mAddress == aMember.mAddress) {
      return "lost disk at " + aMember.mAddress + ", now member " +
             std::to_string(candidate.mId.Value());
    }
  }
  if (IsLeaving(aView, aMember.mId)) {
    return "it has announced its end";
  }
  return "unresponsive for " +
         std::to_string(
           base::ToMilliseconds(TimeSinceContact(aView, aMember.mId))) +
         " ms";
}

/** Time without a leader after which a voter asks to join. Longer than most
 * elections; a request of a voter that still has its place changes nothing. */
constexpr base::Duration kLeaderlessTimeBeforeJoin = base::Milliseconds(1500);

} // namespace

std::optional<Membership>
PlanNextRepair(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  if (IsSwapping(aView.mMembership)) {
    return EndSwap(aView, aOptions);
  }
  for (const RepairStep step : kRepairSteps) {
    if (auto next = step(aView, aOptions)) {
      return next;
    }
  }
  return std::nullopt;
}

bool
HasSuccessor(const GroupView& aView, const GroupRepairOptions& aOptions)
{
  const auto& members = aView.mMembership.mMembers;
  return FindNewCandidate(aView) != nullptr ||
         std::any_of(
           members.begin(), members.end(), [&](const Member& aMember) {
             return !aMember.mVoter && !IsLeaving(aView, aMember.mId) &&
                    TimeSinceContact(aView, aMember.mId) <
                      aOptions.mReplaceAfter;
           });
}

bool
ShouldRequestJoin(const Membership& aMembership,
                  base::MemberId aSelf,
                  base::Duration aLeaderless)
{
  const Member* self = FindMember(aMembership, aSelf);
  if (self == nullptr) {
    return true;
  }
  return self->mVoter ? aLeaderless >= kLeaderlessTimeBeforeJoin
                      : aLeaderless > base::Duration::zero();
}

std::string
DescribeRepair(const GroupView& aView, const Membership& aNext)
{
  const Membership& current = aView.mMembership;
  const Member* leaving = FindSwapRole(current, SwapRole::Leaving);
  const Member* entering = FindSwapRole(current, SwapRole::Entering);
  if (leaving != nullptr && entering != nullptr) {
    return FindMember(aNext, leaving->mId) == nullptr
             ? "finish swap: " + NameOf(*entering) + " votes in place of " +
                 NameOf(*leaving)
             : "revert swap: " + NameOf(*leaving) + " keeps its vote";
  }
  leaving = FindSwapRole(aNext, SwapRole::Leaving);
  entering = FindSwapRole(aNext, SwapRole::Entering);
  if (leaving != nullptr && entering != nullptr) {
    return "swap " + NameOf(*leaving) + " for " + NameOf(*entering) + ": " +
           DescribeLoss(aView, *leaving);
  }
  for (const Member& member : current.mMembers) {
    if (FindMember(aNext, member.mId) == nullptr) {
      return "remove " + NameOf(member) + ": " + DescribeLoss(aView, member);
    }
  }
  for (const Member& member : aNext.mMembers) {
    const Member* old = FindMember(current, member.mId);
    if (old == nullptr) {
      return "add learner " + std::to_string(member.mId.Value()) +
             ": join request from " + member.mAddress;
    }
    if (member.mVoter && !old->mVoter) {
      return "promote " + NameOf(member) + ": learner has caught up";
    }
  }
  return "no change";
}

} // namespace dogwooddrum::coordination::consensus
