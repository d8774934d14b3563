#include "dogwooddrum/transport/LinkClient.h"

#include "dogwooddrum/transport/TcpLink.h"

#include <algorithm>
#include <mutex>
#include <random>

namespace dogwooddrum::transport {

struct LinkClient::Impl : std::enable_shared_from_this<LinkClient::Impl>
{
  Impl(Network& aNetwork,
       const Address& aAddress,
       const LinkOptions& aOptions,
       const LinkEvents& aEvents,
       LinkCounters& aCounters)
    : mNetwork(aNetwork)
    , mOptions(aOptions)
    , mEvents(aEvents)
    , mCounters(aCounters)
    , mAddress(aAddress)
    , mBackoff(BeginBackoff(aOptions.mReconnect, {}))
    , mRandom(std::random_device{}())
  {
  }

  /** One connection attempt, limited by a timer that closes the socket. */
  struct Attempt
  {
    explicit Attempt(asio::io_context& aContext)
      : mStrand(asio::make_strand(aContext))
      , mSocket(asio::any_io_executor(mStrand))
      , mTimer(mStrand)
    {
    }
    Strand mStrand;
    tcp::socket mSocket;
    asio::steady_timer mTimer;
    const std::chrono::steady_clock::time_point mBegin =
      std::chrono::steady_clock::now();
  };

  void Connect()
  {
    Address address;
    base::Duration timeout{};
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mStopped || mBusy) {
        return;
      }
      mBusy = true;
      address = mAddress;
      timeout = mBackoff.mTimeout;
    }
    auto attempt = std::make_shared<Attempt>(mNetwork.Internals().mContext);
    attempt->mTimer.expires_after(timeout);
    attempt->mTimer.async_wait(
      [attempt](const boost::system::error_code& aError) {
        if (!aError) {
          boost::system::error_code ec;
          attempt->mSocket.close(ec);
        }
      });
    attempt->mSocket.async_connect(ToEndpoint(address),
                                   [self = shared_from_this(), attempt](
                                     const boost::system::error_code& aError) {
                                     attempt->mTimer.cancel();
                                     self->OnConnect(*attempt, aError);
                                   });
  }

  void OnConnect(Attempt& aAttempt, const boost::system::error_code& aError)
  {
    if (aError || !aAttempt.mSocket.is_open()) {
      ++mCounters.mClosed.at(
        static_cast<std::size_t>(CloseReason::ConnectFailed));
      OnLinkEnded(false);
      return;
    }
    auto link = std::make_shared<TcpLink>(
      std::move(aAttempt.mSocket),
      Side::Connecting,
      mOptions,
      MakeLinkEvents(),
      mCounters,
      [self = shared_from_this()](const LinkPtr&, CloseReason, bool aWasUp) {
        self->OnLinkEnded(aWasUp);
      });
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mStopped) {
        return;
      }
      mConnectTime = std::chrono::duration_cast<base::Duration>(
        std::chrono::steady_clock::now() - aAttempt.mBegin);
      mLink = link;
    }
    link->Start();
  }

  /** Returns the owner's callbacks, with mUp extended to mark the link as open
   * before the owner's callback runs. */
  LinkEvents MakeLinkEvents()
  {
    LinkEvents events = mEvents;
    events.mUp = [self = shared_from_this()](const LinkPtr& aLink) {
      {
        const std::lock_guard<std::mutex> lock(self->mMutex);
        self->mIsUp = true;
        self->mBackoff =
          BeginBackoff(self->mOptions.mReconnect, self->mConnectTime);
      }
      self->mEvents.mUp(aLink);
    };
    return events;
  }

  void OnLinkEnded(bool aWasUp)
  {
    base::Duration pause{};
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mLink.reset();
      mIsUp = false;
      mBusy = false;
      if (mRedirected || aWasUp) {
        mRedirected = false;
      } else {
        mBackoff = GrowBackoff(mBackoff, mOptions.mReconnect);
      }
      std::uniform_int_distribution<base::Duration::rep> draw(
        0, mBackoff.mDelayBound.count());
      pause = base::Duration(draw(mRandom));
    }
    mNetwork.PostAfter(pause, [self = shared_from_this()] { self->Connect(); });
  }

  LinkPtr OpenLink()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mIsUp ? mLink : nullptr;
  }

  Network& mNetwork;
  const LinkOptions mOptions;
  const LinkEvents mEvents;
  LinkCounters& mCounters;
  mutable std::mutex mMutex; ///< guards the members below
  Address mAddress;
  ReconnectBackoff mBackoff;
  base::Duration mConnectTime{}; ///< of the last connection; 0: none yet
  std::minstd_rand mRandom;
  LinkPtr mLink;
  bool mIsUp = false;
  bool mBusy = false; ///< a connection attempt or link exists
  bool mRedirected = false;
  bool mStopped = false;
};

LinkClient::LinkClient(Network& aNetwork,
                       const Address& aAddress,
                       const LinkOptions& aOptions,
                       const LinkEvents& aEvents,
                       LinkCounters& aCounters)
  : mImpl(
      std::make_shared<Impl>(aNetwork, aAddress, aOptions, aEvents, aCounters))
{
}

LinkClient::~LinkClient()
{
  Stop();
}

void
LinkClient::Start()
{
  mImpl->mNetwork.Post([impl = mImpl] { impl->Connect(); });
}

void
LinkClient::Stop()
{
  LinkPtr link;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mStopped = true;
    link = mImpl->mLink;
  }
  if (link) {
    link->Close(CloseReason::Requested);
  }
}

void
LinkClient::Redirect(const Address& aAddress)
{
  LinkPtr link;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mAddress = aAddress;
    mImpl->mConnectTime = {};
    mImpl->mBackoff =
      BeginBackoff(mImpl->mOptions.mReconnect, mImpl->mConnectTime);
    mImpl->mRedirected = true;
    link = mImpl->mLink;
  }
  if (link) {
    link->Close(CloseReason::Requested);
  }
}

bool
LinkClient::Send(protocol::MessageType aType, std::string_view aPayload)
{
  const auto link = mImpl->OpenLink();
  return link && link->Send(aType, aPayload);
}

bool
LinkClient::IsUp() const
{
  return mImpl->OpenLink() != nullptr;
}

} // namespace dogwooddrum::transport
