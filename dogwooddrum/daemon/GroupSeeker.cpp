#include "dogwooddrum/daemon/GroupSeeker.h"

#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"
#include "dogwooddrum/service/LogEvents.h"

#include <set>

namespace dogwooddrum::daemon {

namespace {

using service::LogEvent;

constexpr base::Duration kJoinInterval = base::Milliseconds(200);

} // namespace

GroupSeeker::GroupSeeker(GroupSeekerOptions aOptions,
                         std::unique_ptr<JoinLinks> aLinks,
                         GroupSeekerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mLinks(std::move(aLinks))
  , mHooks(std::move(aHooks))
{
}

void
GroupSeeker::SetSeeds(std::vector<service::Address> aSeeds)
{
  mOptions.mSeeds = std::move(aSeeds);
}

void
GroupSeeker::Tick(base::Time aNow, ControlCore& aCore)
{
  if (aCore.Status().mLeaderId != 0 || mLeaderLastKnownAt == base::Time{}) {
    mLeaderLastKnownAt = aNow;
  }
  if (!coordination::consensus::ShouldRequestJoin(
        aCore.CurrentMembership(), mOptions.mSelf, aNow - mLeaderLastKnownAt)) {
    mLinks->CloseLinks();
    mSeekingSince = aNow;
    return;
  }
  if (aNow < mNextRequest) {
    return;
  }
  mNextRequest = aNow + kJoinInterval;
  RequestJoin(aCore);
  Log(aNow, aCore);
}

void
GroupSeeker::RequestJoin(const ControlCore& aCore)
{
  std::vector<transport::Address> addresses;
  for (const auto& seed : mOptions.mSeeds) {
    addresses.push_back({ seed.mIp, mOptions.mLinkPort });
  }
  for (const auto& member : aCore.CurrentMembership().mMembers) {
    if (const auto address = transport::ParseAddress(member.mAddress)) {
      addresses.push_back(*address);
    }
  }
  mLinks->RequestJoin(addresses, mHooks.mOnReply);
  mHooks.mSendToLinkedMembers(protocol::Encode(
    protocol::JoinRequest{ mOptions.mSelf, mOptions.mSelfAddress }));
}

void
GroupSeeker::OnJoinReply(const coordination::consensus::Membership& aMembership,
                         ControlCore& aCore)
{
  const auto& members = aMembership.mMembers;
  mAnsweredMembership = aMembership;
  mLinks->AddKnownMembers(aMembership);
  if (!members.empty() && aCore.CurrentMembership().mMembers.empty()) {
    aCore.SetRedirectHint(members[mNextHint++ % members.size()].mAddress);
  }
}

void
GroupSeeker::Stop()
{
  mLinks->Stop();
}

/** Logs whom this process asks to take it into the group. */
void
GroupSeeker::Log(base::Time aNow, const ControlCore& aCore)
{
  if (mSeekingSince == base::Time{}) {
    mSeekingSince = aNow;
  }
  if (aNow - mSeekingSince <= kLogInterval) {
    return; // most processes are taken in sooner
  }
  std::set<std::string> seeds;
  for (const auto& seed : mOptions.mSeeds) {
    seeds.insert(
      service::ToString(service::Address{ seed.mIp, mOptions.mLinkPort }));
  }
  SeekingView view;
  view.mNow = aNow;
  view.mSelf = mOptions.mSelf;
  view.mIsVoter = aCore.IsVoter(mOptions.mSelf);
  view.mLeaderless = aCore.Status().LeaderlessTime(aNow);
  view.mMembership = aCore.CurrentMembership();
  view.mAnsweredMembership = mAnsweredMembership;
  for (const auto& link : mLinks->Status()) {
    view.mLinks.push_back(
      { link.mAddress,
        seeds.count(link.mAddress) > 0 ? "settings" : "members",
        link.mIsOpen,
        link.mAnsweredAt });
  }
  const auto state = FormatSeekingState(view);
  const bool isSpare =
    IsSpare(view, mOptions.mSelfAddress, mOptions.mIntendedVoters);
  if ((!isSpare || state != mLoggedState) && mLogLimit.Take(aNow)) {
    mLoggedState = state;
    service::Log(LogEvent::SeekingGroup, DescribeSeeking(view));
  }
}

} // namespace dogwooddrum::daemon
