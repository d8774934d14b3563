#include "dogwooddrum/daemon/ControlLinks.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace dogwooddrum::daemon {

namespace {

/** Delay before another member is selected while no leader is known. */
constexpr base::Duration kRedirectDelay = base::Milliseconds(40);
/** Redirects that are followed without a delay. During an election members may
 * name each other, and requests would bounce between them without a pause. */
constexpr unsigned kMaxImmediateRedirects = 2;
/** Links kept at a time. A further member takes the place of one that has left
 * the group. */
constexpr std::size_t kMaxMembers = 16;

/** One control member and the link to it. */
struct ControlMember
{
  transport::Address mAddress;
  std::unique_ptr<transport::LinkClient> mClient;
  bool mUp = false;
  std::uint64_t mMember = 0; ///< member id, from the handshake
};

} // namespace

struct ControlLinks::Impl : std::enable_shared_from_this<ControlLinks::Impl>
{
  Impl(transport::Network& aNetwork,
       const transport::LinkOptions& aOptions,
       ControlLinksEvents aEvents,
       transport::LinkCounters& aCounters)
    : mNetwork(aNetwork)
    , mOptions(aOptions)
    , mEvents(std::move(aEvents))
    , mCounters(aCounters)
  {
  }

  /** Precondition: mMutex is held. */
  void AddMember(const transport::Address& aAddress)
  {
    auto control = std::make_unique<ControlMember>();
    control->mAddress = aAddress;
    const auto index = mControlMembers.size();
    transport::LinkEvents events;
    const auto self = weak_from_this();
    events.mUp = [self, index](const transport::LinkPtr& aLink) {
      if (const auto impl = self.lock()) {
        impl->OnUp(index, aLink->Peer().mId);
      }
    };
    events.mClosed = [self, index](const transport::LinkPtr&,
                                   transport::CloseReason) {
      if (const auto impl = self.lock()) {
        impl->OnClosed(index);
      }
    };
    events.mFrame = [self, index](const transport::LinkPtr&,
                                  protocol::Frame aFrame) {
      if (const auto impl = self.lock()) {
        impl->mEvents.mFrame(impl->RouteOf(index), std::move(aFrame));
      }
    };
    control->mClient = std::make_unique<transport::LinkClient>(
      mNetwork, aAddress, mOptions, events, mCounters);
    mControlMembers.push_back(std::move(control));
  }

  RouteId RouteOf(std::size_t aIndex) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return aIndex == mCurrentIndex ? mCurrentRoute : 0;
  }

  void OnUp(std::size_t aIndex, std::uint64_t aMember)
  {
    RouteId route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mControlMembers[aIndex]->mUp = true;
      mControlMembers[aIndex]->mMember = aMember;
      if (mCurrentRoute != 0) {
        return;
      }
      route = SelectMember(aIndex);
    }
    mEvents.mRouteChanged(route);
  }

  void OnClosed(std::size_t aIndex)
  {
    RouteId route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mControlMembers[aIndex]->mUp = false;
      if (aIndex != mCurrentIndex || mCurrentRoute == 0) {
        return;
      }
      mCurrentRoute = 0;
      route = SelectNextMember();
    }
    if (route != 0) {
      mEvents.mRouteChanged(route);
    }
  }

  /** Precondition: mMutex is held and the member's link is open. */
  RouteId SelectMember(std::size_t aIndex)
  {
    mCurrentIndex = aIndex;
    mCurrentRoute = ++mLastRoute;
    return mCurrentRoute;
  }

  /** Selects the next member with an open link. Returns 0 if no link is open.
   * Precondition: mMutex is held. */
  RouteId SelectNextMember()
  {
    for (std::size_t i = 1; i <= mControlMembers.size(); ++i) {
      const auto index = (mCurrentIndex + i) % mControlMembers.size();
      if (mControlMembers[index]->mUp) {
        return SelectMember(index);
      }
    }
    return 0;
  }

  /** Returns the index of the leader that aReply names. Adds a leader that is
   * not known, and returns none. Precondition: mMutex is held. */
  std::optional<std::size_t> FindLeader(const protocol::NotLeader& aReply)
  {
    for (std::size_t i = 0; i < mControlMembers.size(); ++i) {
      if (aReply.mLeader.Value() != 0 &&
          mControlMembers[i]->mMember == aReply.mLeader.Value()) {
        return i;
      }
    }
    const auto address = transport::ParseAddress(aReply.mLeaderAddress);
    if (!address) {
      return std::nullopt;
    }
    return FindOrAdd(*address);
  }

  /** Returns the index of a known address. Adds an unknown one, and returns
   * none. Precondition: mMutex is held. */
  std::optional<std::size_t> FindOrAdd(const transport::Address& aAddress)
  {
    for (std::size_t i = 0; i < mControlMembers.size(); ++i) {
      if (mControlMembers[i]->mAddress.mHost == aAddress.mHost &&
          mControlMembers[i]->mAddress.mPort == aAddress.mPort) {
        return i;
      }
    }
    if (mStopped) {
      return std::nullopt;
    }
    if (mControlMembers.size() < kMaxMembers) {
      AddMember(aAddress);
      mControlMembers.back()->mClient->Start();
    } else {
      ReplaceMember(aAddress);
    }
    return std::nullopt;
  }

  /** Uses the link to a member that is down and not in the newest list of the
   * group for aAddress. Does nothing if there is none. Precondition: mMutex is
   * held. */
  void ReplaceMember(const transport::Address& aAddress)
  {
    const auto it =
      std::find_if(mControlMembers.begin(),
                   mControlMembers.end(),
                   [this](const std::unique_ptr<ControlMember>& aMember) {
                     const auto& address = aMember->mAddress;
                     return !aMember->mUp &&
                            mGroup.count(address.mHost + ":" +
                                         std::to_string(address.mPort)) == 0;
                   });
    if (it != mControlMembers.end()) {
      (*it)->mAddress = aAddress;
      (*it)->mMember = 0;
      (*it)->mClient->Redirect(aAddress);
    }
  }

  /** Opens links to members whose addresses are new. Precondition: mMutex is
   * held. */
  void AddMembers(const std::vector<std::string>& aAddresses)
  {
    for (const auto& text : aAddresses) {
      const auto address = transport::ParseAddress(text);
      if (address) {
        FindOrAdd(*address);
      }
    }
  }

  void OnNotLeader(RouteId aRoute, const protocol::NotLeader& aReply)
  {
    RouteId route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (aRoute != mCurrentRoute || aRoute == 0 ||
          mRedirectedRoute == aRoute) {
        return;
      }
      ++mRedirectCount;
      const auto leader = FindLeader(aReply);
      if (leader && *leader != mCurrentIndex && mControlMembers[*leader]->mUp &&
          mRedirectCount <= kMaxImmediateRedirects) {
        route = SelectMember(*leader);
      } else {
        mRedirectedRoute = aRoute;
        mLeaderHint = leader;
      }
    }
    if (route != 0) {
      mEvents.mRouteChanged(route);
      return;
    }
    mNetwork.PostAfter(kRedirectDelay, [self = shared_from_this(), aRoute] {
      self->SelectAfterRedirect(aRoute);
    });
  }

  void SelectAfterRedirect(RouteId aRoute)
  {
    RouteId route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mCurrentRoute != aRoute) {
        return;
      }
      const bool useHint = mLeaderHint && mControlMembers[*mLeaderHint]->mUp;
      route = useHint ? SelectMember(*mLeaderHint) : SelectNextMember();
      mLeaderHint.reset();
    }
    if (route != 0) {
      mEvents.mRouteChanged(route);
    }
  }

  transport::Network& mNetwork;
  const transport::LinkOptions mOptions;
  const ControlLinksEvents mEvents;
  transport::LinkCounters& mCounters;
  mutable std::mutex mMutex; ///< guards the members below
  std::vector<std::unique_ptr<ControlMember>> mControlMembers;
  std::size_t mCurrentIndex = 0;
  RouteId mCurrentRoute = 0;
  RouteId mLastRoute = 0;
  /** Route for which a delayed selection is scheduled. */
  RouteId mRedirectedRoute = 0;
  std::optional<std::size_t> mLeaderHint;
  unsigned mRedirectCount = 0;  ///< since a member last answered as the leader
  std::set<std::string> mGroup; ///< newest list of the group's addresses
  bool mStopped = false;
};

ControlLinks::ControlLinks(transport::Network& aNetwork,
                           const std::vector<transport::Address>& aControls,
                           const transport::LinkOptions& aOptions,
                           ControlLinksEvents aEvents,
                           transport::LinkCounters& aCounters)
  : mImpl(
      std::make_shared<Impl>(aNetwork, aOptions, std::move(aEvents), aCounters))
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  for (const auto& address : aControls) {
    mImpl->AddMember(address);
  }
}

ControlLinks::~ControlLinks()
{
  Stop();
}

void
ControlLinks::Start()
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  for (const auto& control : mImpl->mControlMembers) {
    control->mClient->Start();
  }
}

void
ControlLinks::Stop()
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  mImpl->mStopped = true;
  for (const auto& control : mImpl->mControlMembers) {
    control->mClient->Stop();
  }
}

RouteId
ControlLinks::Send(protocol::MessageType aType, std::string_view aPayload)
{
  transport::LinkClient* client = nullptr;
  RouteId route = 0;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    if (mImpl->mCurrentRoute == 0) {
      return 0;
    }
    // Clients are never removed, so the pointer stays valid.
    client = mImpl->mControlMembers[mImpl->mCurrentIndex]->mClient.get();
    route = mImpl->mCurrentRoute;
  }
  return client->Send(aType, aPayload) ? route : 0;
}

RouteId
ControlLinks::CurrentRoute() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mCurrentRoute;
}

void
ControlLinks::OnNotLeader(RouteId aRoute, const protocol::NotLeader& aReply)
{
  mImpl->OnNotLeader(aRoute, aReply);
}

void
ControlLinks::AddMembers(const std::vector<std::string>& aAddresses)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  mImpl->AddMembers(aAddresses);
}

void
ControlLinks::SetGroup(const std::vector<std::string>& aAddresses)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  if (!aAddresses.empty()) {
    mImpl->mGroup = { aAddresses.begin(), aAddresses.end() };
    mImpl->AddMembers(aAddresses);
  }
}

void
ControlLinks::OnLeaderAnswered(RouteId aRoute)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  if (aRoute == mImpl->mCurrentRoute) {
    mImpl->mRedirectCount = 0;
  }
}

} // namespace dogwooddrum::daemon
