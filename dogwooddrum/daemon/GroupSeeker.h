/** \file
 * Defines GroupSeeker, which asks the members of a group to take in a control
 * process that has no place in it.
 */
#pragma once

#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/daemon/ElectionLog.h"
#include "dogwooddrum/daemon/JoinLinks.h"
#include "dogwooddrum/daemon/LogLimit.h"
#include "dogwooddrum/service/Settings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dogwooddrum::daemon {

/** What a GroupSeeker knows about its process. */
struct GroupSeekerOptions
{
  base::MemberId mSelf;
  std::string mSelfAddress; ///< of its control link
  std::uint16_t mLinkPort;  ///< of all members
  std::size_t mIntendedVoters;
  std::vector<service::Address> mSeeds;
};

/** Callbacks to the host. */
struct GroupSeekerHooks
{
  /** Sends an encoded JoinRequest to members that have opened links here: they
   * may do so although none of their addresses is known. Called by Tick. */
  std::function<void(const std::string&)> mSendToLinkedMembers;
  /** Called on network threads with the membership from a member's reply; pass
   * it to OnJoinReply on the decision thread. */
  JoinLinks::OnMembership mOnReply;
};

/** Thread safety: none; the decision thread owns the object. */
class GroupSeeker
{
public:
  GroupSeeker(GroupSeekerOptions aOptions,
              std::unique_ptr<JoinLinks> aLinks,
              GroupSeekerHooks aHooks);

  void SetSeeds(std::vector<service::Address> aSeeds);
  /** Sends join requests that are due while this process has no place in the
   * group, or has known no leader for a while. */
  void Tick(base::Time aNow, ControlCore& aCore);
  /** Uses the membership that a member has named. Other processes that wait to
   * join name none. */
  void OnJoinReply(const coordination::consensus::Membership& aMembership,
                   ControlCore& aCore);
  /** Closes the links for good. */
  void Stop();

private:
  void RequestJoin(const ControlCore& aCore);
  void Log(base::Time aNow, const ControlCore& aCore);

  GroupSeekerOptions mOptions;
  const std::unique_ptr<JoinLinks> mLinks;
  const GroupSeekerHooks mHooks;
  base::Time mNextRequest{};
  base::Time mLeaderLastKnownAt{};
  base::Time mSeekingSince{};
  std::size_t mNextHint = 0; ///< index of the next member to redirect to
  /** From the newest reply to a join request. */
  coordination::consensus::Membership mAnsweredMembership;
  std::string mLoggedState;
  LogLimit mLogLimit;
};

} // namespace dogwooddrum::daemon
