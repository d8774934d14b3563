#include "dogwooddrum/coordination/control/Requests.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using base::Reason;
using protocol::MemberRequest;

namespace {

/** Largest number of changes that are pending at a time. */
constexpr std::size_t kMaxPendingChanges = 1000;
constexpr base::Duration kMemberRetryInterval = base::Milliseconds(200);
constexpr base::Duration kMemberRequestTimeout = base::Milliseconds(10000);

const consensus::Member*
FindMember(const consensus::Membership& aMembership, base::MemberId aMember)
{
  const auto it =
    std::find_if(aMembership.mMembers.begin(),
                 aMembership.mMembers.end(),
                 [&](const auto& aEach) { return aEach.mId == aMember; });
  return it == aMembership.mMembers.end() ? nullptr : &*it;
}

/** Returns whether the membership already is as requested. */
bool
IsFulfilled(const consensus::Membership& aMembership,
            const MemberRequest& aRequest)
{
  const consensus::Member* member = FindMember(aMembership, aRequest.mMember);
  switch (aRequest.mKind) {
    case MemberRequest::Kind::AddLearner:
      return member != nullptr;
    case MemberRequest::Kind::Promote:
      return member != nullptr && member->mVoter;
    case MemberRequest::Kind::Remove:
      break;
  }
  return member == nullptr;
}

consensus::Membership
ApplyMemberRequest(const consensus::Membership& aMembership,
                   const MemberRequest& aRequest)
{
  consensus::Membership next = aMembership;
  auto& members = next.mMembers;
  const auto it = std::lower_bound(
    members.begin(),
    members.end(),
    aRequest.mMember,
    [](const auto& aEach, base::MemberId aId) { return aEach.mId < aId; });
  switch (aRequest.mKind) {
    case MemberRequest::Kind::AddLearner:
      members.insert(it, { aRequest.mMember, aRequest.mAddress, false });
      break;
    case MemberRequest::Kind::Promote:
      it->mVoter = true;
      break;
    case MemberRequest::Kind::Remove:
      members.erase(it);
      break;
  }
  return next;
}

/** Returns why the change of membership cannot be made; empty if it can. */
std::string
CheckMemberRequest(const consensus::Membership& aMembership,
                   const MemberRequest& aRequest)
{
  const std::string name = "member " + std::to_string(aRequest.mMember.Value());
  if (aRequest.mMember.Value() == 0) {
    return "member id 0 is not allowed";
  }
  if (aRequest.mKind == MemberRequest::Kind::AddLearner &&
      aRequest.mAddress.empty()) {
    return name + " has no address";
  }
  if (aRequest.mKind == MemberRequest::Kind::Promote &&
      FindMember(aMembership, aRequest.mMember) == nullptr) {
    return name + " does not exist";
  }
  const auto voters =
    std::count_if(aMembership.mMembers.begin(),
                  aMembership.mMembers.end(),
                  [](const auto& aEach) { return aEach.mVoter; });
  const auto* member = FindMember(aMembership, aRequest.mMember);
  if (aRequest.mKind == MemberRequest::Kind::Remove && member != nullptr &&
      member->mVoter && voters == 1) {
    return name + " is the only voter";
  }
  return {};
}

} // namespace

void
OnChangeRequest(CoordinatorCore& aCore,
                const Caller& aCaller,
                const protocol::ChangeRequest& aRequest)
{
  if (aRequest.mChangeId.Value().empty() ||
      aRequest.mChangeId.Value().size() > protocol::kMaxNameBytes) {
    Refuse(aCore,
           aCaller,
           Reason::InvalidRequest,
           "change id \"" + aRequest.mChangeId.Value() +
             "\" is empty or too long");
    return;
  }
  if (const auto* outcome = aCore.mState.FindOutcome(aRequest.mChangeId)) {
    Reply(aCore, aCaller, *outcome);
    return;
  }
  for (PendingChange& change : aCore.mPendingChanges) {
    if (change.mRequest.mChangeId == aRequest.mChangeId) {
      change.mCallers.push_back(aCaller);
      return;
    }
  }
  if (aCore.mPendingChanges.size() >= kMaxPendingChanges) {
    Refuse(aCore,
           aCaller,
           Reason::LoadShed,
           std::to_string(aCore.mPendingChanges.size()) +
             " changes of configuration wait already");
    return;
  }
  aCore.mPendingChanges.push_back({ aRequest, { aCaller } });
  ProposeNextChange(aCore);
}

void
ProposeNextChange(CoordinatorCore& aCore)
{
  if (aCore.mChangeProposed || aCore.mPendingChanges.empty()) {
    return;
  }
  aCore.mChangeProposed = true;
  const protocol::Configuration& current = aCore.mState.Configuration();
  jobs::ChangeConfiguration command;
  command.mRequest = aCore.mPendingChanges.front().mRequest;
  // Only edits of accounts are checked, because guarantees must fit the
  // capacity; an operator can always drain a faulty worker.
  if (command.mRequest.mBaseVersion == current.mVersion &&
      std::holds_alternative<protocol::ClientAccount>(command.mRequest.mEdit)) {
    if (const auto next = jobs::ApplyEdit(current, command.mRequest.mEdit)) {
      const auto fits = aCore.mPlacer.CheckConfiguration(*next);
      if (!fits) {
        command.mRefusal = fits.LastFailure().mReason;
        command.mMessage = fits.LastFailure().mMessage;
      }
    }
  }
  Propose(aCore, std::move(command));
}

void
OnChangeDecided(CoordinatorCore& aCore, const base::ChangeId& aChange)
{
  const auto* outcome = aCore.mState.FindOutcome(aChange);
  if (outcome == nullptr) {
    return;
  }
  if (outcome->mAccepted) {
    aCore.mPlacer.SetConfiguration(aCore.mState.Configuration());
    aCore.mNeedsPlacement = true;
  }
  AddNotice(aCore,
            outcome->mAccepted ? Notice::Kind::ConfigurationChanged
                               : Notice::Kind::ConfigurationConflict,
            outcome->mReason,
            "change \"" + aChange.Value() + "\", version " +
              std::to_string(outcome->mVersion.Value()));
  if (aCore.mPendingChanges.empty() ||
      aCore.mPendingChanges.front().mRequest.mChangeId != aChange) {
    return;
  }
  for (const Caller& caller : aCore.mPendingChanges.front().mCallers) {
    Reply(aCore, caller, *outcome);
  }
  aCore.mPendingChanges.pop_front();
  aCore.mChangeProposed = false;
  ProposeNextChange(aCore);
}

void
OnMemberRequest(CoordinatorCore& aCore,
                const Caller& aCaller,
                const MemberRequest& aRequest)
{
  const std::string refused = CheckMemberRequest(aCore.mMembership, aRequest);
  if (!refused.empty()) {
    Refuse(aCore, aCaller, Reason::InvalidRequest, refused);
    return;
  }
  aCore.mMemberRequests.push_back(
    { aCaller, aRequest, aCore.mNow + kMemberRequestTimeout });
  AdvanceMemberRequests(aCore);
}

void
AdvanceMemberRequests(CoordinatorCore& aCore)
{
  auto& pending = aCore.mMemberRequests;
  for (auto it = pending.begin(); it != pending.end();) {
    if (IsFulfilled(aCore.mCommittedMembership, it->mRequest)) {
      Reply(aCore, it->mCaller, protocol::Done{});
      it = pending.erase(it);
    } else if (it->mDeadline <= aCore.mNow) {
      // The change may still be committed; a resent request shows whether it
      // was.
      Refuse(aCore,
             it->mCaller,
             Reason::OutcomeUnknown,
             "the change of member " +
               std::to_string(it->mRequest.mMember.Value()) +
               " was not committed in time");
      it = pending.erase(it);
    } else {
      ++it;
    }
  }
  if (pending.empty()) {
    return;
  }
  const MemberRequest& next = pending.front().mRequest;
  if (!IsFulfilled(aCore.mMembership, next) &&
      CheckMemberRequest(aCore.mMembership, next).empty()) {
    aCore.mOutput.mMemberships.push_back(
      ApplyMemberRequest(aCore.mMembership, next));
  }
  Timer timer;
  timer.mKind = Timer::Kind::CheckMemberRequests;
  AddTimer(aCore, aCore.mNow + kMemberRetryInterval, timer);
}

} // namespace dogwooddrum::coordination::control
