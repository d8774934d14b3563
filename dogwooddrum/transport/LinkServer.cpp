#include "dogwooddrum/transport/LinkServer.h"

#include "dogwooddrum/transport/TcpLink.h"

#include <mutex>
#include <unordered_map>

namespace dogwooddrum::transport {

namespace {

/** Delay after a failed accept, for example for lack of file descriptors. */
constexpr base::Duration kAcceptRetryDelay = base::Milliseconds(50);

} // namespace

struct LinkServer::Impl : std::enable_shared_from_this<LinkServer::Impl>
{
  Impl(Network& aNetwork,
       std::unique_ptr<tcp::acceptor> aAcceptor,
       const LinkOptions& aOptions,
       const LinkEvents& aEvents,
       LinkCounters& aCounters,
       std::size_t aMaxLinks)
    : mNetwork(aNetwork)
    , mAcceptor(std::move(aAcceptor))
    , mOptions(aOptions)
    , mEvents(aEvents)
    , mCounters(aCounters)
    , mMaxLinks(aMaxLinks)
    , mPort(mAcceptor->local_endpoint().port())
  {
  }

  void Accept()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopped) {
      return;
    }
    mAcceptor->async_accept(
      asio::any_io_executor(asio::make_strand(mNetwork.Internals().mContext)),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          self->mNetwork.PostAfter(kAcceptRetryDelay,
                                   [self] { self->Accept(); });
          return;
        }
        self->StartLink(std::move(aSocket));
        self->Accept();
      });
  }

  void StartLink(tcp::socket aSocket)
  {
    boost::system::error_code ec;
    const auto remote = aSocket.remote_endpoint(ec).address().to_string();
    auto link = std::make_shared<TcpLink>(
      std::move(aSocket),
      Side::Accepting,
      mOptions,
      mEvents,
      mCounters,
      [weak = weak_from_this(),
       remote](const LinkPtr& aLink, CloseReason aReason, bool) {
        if (const auto self = weak.lock()) {
          if (aReason == CloseReason::HandshakeFailed &&
              self->mEvents.mRefused) {
            self->mEvents.mRefused(remote);
          }
          const std::lock_guard<std::mutex> lock(self->mMutex);
          self->mLinks.erase(aLink->Id());
        }
      });
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mStopped || mLinks.size() >= mMaxLinks) {
        ++mCounters.mClosed.at(
          static_cast<std::size_t>(CloseReason::TooManyLinks));
        return;
      }
      mLinks.emplace(link->Id(), link);
    }
    link->Start();
  }

  void Stop()
  {
    std::unordered_map<std::uint64_t, LinkPtr> links;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
      boost::system::error_code ec;
      mAcceptor->close(ec);
      links.swap(mLinks);
    }
    for (const auto& [id, link] : links) {
      link->Close(CloseReason::Requested);
    }
  }

  Network& mNetwork;
  std::unique_ptr<tcp::acceptor> mAcceptor;
  const LinkOptions mOptions;
  const LinkEvents mEvents;
  LinkCounters& mCounters;
  const std::size_t mMaxLinks;
  const std::uint16_t mPort;
  std::mutex mMutex; ///< guards the members below and mAcceptor
  std::unordered_map<std::uint64_t, LinkPtr> mLinks;
  bool mStopped = false;
};

base::Outcome<std::unique_ptr<LinkServer>>
LinkServer::Listen(Network& aNetwork,
                   const Address& aAddress,
                   const LinkOptions& aOptions,
                   const LinkEvents& aEvents,
                   LinkCounters& aCounters,
                   std::size_t aMaxLinks)
{
  auto acceptor = transport::Listen(aNetwork.Internals().mContext, aAddress);
  if (!acceptor) {
    return acceptor.LastFailure();
  }
  auto impl = std::make_shared<Impl>(
    aNetwork, std::move(*acceptor), aOptions, aEvents, aCounters, aMaxLinks);
  impl->Accept();
  return std::unique_ptr<LinkServer>(new LinkServer(std::move(impl)));
}

LinkServer::LinkServer(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

LinkServer::~LinkServer()
{
  Stop();
}

void
LinkServer::Stop()
{
  mImpl->Stop();
}

std::uint16_t
LinkServer::Port() const
{
  return mImpl->mPort;
}

} // namespace dogwooddrum::transport
