#include "dogwooddrum/daemon/ControlLinks.h"

#include <mutex>

namespace dogwooddrum::daemon {

namespace {

/** Pause before another member is asked while no leader is known. */
constexpr base::Duration kRotatePause = base::Milliseconds(40);
/** Redirects that are followed at once; members that name each other during
 * an election would otherwise be asked without a pause. */
constexpr unsigned kFastRedirects = 2;
/** Most members that are learned from redirects and settings. */
constexpr std::size_t kMaxMembers = 16;

/** One control member and the link to it. */
struct Control
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
  void Add(const transport::Address& aAddress)
  {
    auto control = std::make_unique<Control>();
    control->mAddress = aAddress;
    const auto index = mControls.size();
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
    mControls.push_back(std::move(control));
  }

  Route RouteOf(std::size_t aIndex) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return aIndex == mChosen ? mRoute : 0;
  }

  void OnUp(std::size_t aIndex, std::uint64_t aMember)
  {
    Route route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mControls[aIndex]->mUp = true;
      mControls[aIndex]->mMember = aMember;
      if (mRoute != 0) {
        return;
      }
      route = Choose(aIndex);
    }
    mEvents.mRoute(route);
  }

  void OnClosed(std::size_t aIndex)
  {
    Route route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mControls[aIndex]->mUp = false;
      if (aIndex != mChosen || mRoute == 0) {
        return;
      }
      mRoute = 0;
      route = ChooseNext();
    }
    if (route != 0) {
      mEvents.mRoute(route);
    }
  }

  /** Precondition: mMutex is held and the member's link is up. */
  Route Choose(std::size_t aIndex)
  {
    mChosen = aIndex;
    mRoute = ++mLastRoute;
    return mRoute;
  }

  /** Precondition: mMutex is held. Returns 0 if no link is up. */
  Route ChooseNext()
  {
    for (std::size_t i = 1; i <= mControls.size(); ++i) {
      const auto index = (mChosen + i) % mControls.size();
      if (mControls[index]->mUp) {
        return Choose(index);
      }
    }
    return 0;
  }

  /** Returns the index of the named leader, adding it if it is new.
   * Precondition: mMutex is held. */
  std::optional<std::size_t> Find(const protocol::NotLeader& aReply)
  {
    for (std::size_t i = 0; i < mControls.size(); ++i) {
      if (aReply.mLeader.Value() != 0 &&
          mControls[i]->mMember == aReply.mLeader.Value()) {
        return i;
      }
    }
    const auto address = transport::ParseAddress(aReply.mLeaderAddress);
    if (!address) {
      return std::nullopt;
    }
    return Learn(*address);
  }

  /** Returns the index of a known address; adds an unknown one.
   * Precondition: mMutex is held. */
  std::optional<std::size_t> Learn(const transport::Address& aAddress)
  {
    for (std::size_t i = 0; i < mControls.size(); ++i) {
      if (mControls[i]->mAddress.mHost == aAddress.mHost &&
          mControls[i]->mAddress.mPort == aAddress.mPort) {
        return i;
      }
    }
    if (mControls.size() < kMaxMembers && !mStopped) {
      Add(aAddress);
      mControls.back()->mClient->Start();
    }
    return std::nullopt;
  }

  void OnNotLeader(Route aRoute, const protocol::NotLeader& aReply)
  {
    Route route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (aRoute != mRoute || aRoute == 0 || mRotating == aRoute) {
        return;
      }
      ++mRedirects;
      const auto leader = Find(aReply);
      if (leader && *leader != mChosen && mControls[*leader]->mUp &&
          mRedirects <= kFastRedirects) {
        route = Choose(*leader);
      } else {
        mRotating = aRoute;
        mHint = leader;
      }
    }
    if (route != 0) {
      mEvents.mRoute(route);
      return;
    }
    mNetwork.PostAfter(kRotatePause, [self = shared_from_this(), aRoute] {
      self->Rotate(aRoute);
    });
  }

  void Rotate(Route aRoute)
  {
    Route route = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mRoute != aRoute) {
        return;
      }
      const bool useHint = mHint && mControls[*mHint]->mUp;
      route = useHint ? Choose(*mHint) : ChooseNext();
      mHint.reset();
    }
    if (route != 0) {
      mEvents.mRoute(route);
    }
  }

  transport::Network& mNetwork;
  const transport::LinkOptions mOptions;
  const ControlLinksEvents mEvents;
  transport::LinkCounters& mCounters;
  mutable std::mutex mMutex; ///< guards the members below
  std::vector<std::unique_ptr<Control>> mControls;
  std::size_t mChosen = 0;
  Route mRoute = 0;
  Route mLastRoute = 0;
  Route mRotating = 0; ///< route for which a rotation is scheduled
  std::optional<std::size_t> mHint;
  unsigned mRedirects = 0; ///< since a member last answered as the leader
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
    mImpl->Add(address);
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
  for (const auto& control : mImpl->mControls) {
    control->mClient->Start();
  }
}

void
ControlLinks::Stop()
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  mImpl->mStopped = true;
  for (const auto& control : mImpl->mControls) {
    control->mClient->Stop();
  }
}

Route
ControlLinks::Send(protocol::MessageType aType, std::string_view aPayload)
{
  transport::LinkClient* client = nullptr;
  Route route = 0;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    if (mImpl->mRoute == 0) {
      return 0;
    }
    // Clients are never removed, so the pointer stays valid.
    client = mImpl->mControls[mImpl->mChosen]->mClient.get();
    route = mImpl->mRoute;
  }
  return client->Send(aType, aPayload) ? route : 0;
}

Route
ControlLinks::Current() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  return mImpl->mRoute;
}

void
ControlLinks::OnNotLeader(Route aRoute, const protocol::NotLeader& aReply)
{
  mImpl->OnNotLeader(aRoute, aReply);
}

void
ControlLinks::Learn(const std::vector<std::string>& aAddresses)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  for (const auto& text : aAddresses) {
    const auto address = transport::ParseAddress(text);
    if (address) {
      mImpl->Learn(*address);
    }
  }
}

void
ControlLinks::OnLeader(Route aRoute)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  if (aRoute == mImpl->mRoute) {
    mImpl->mRedirects = 0;
  }
}

} // namespace dogwooddrum::daemon
