#include "dogwooddrum/transport/NetworkImpl.h"

#include <boost/asio/post.hpp>

namespace dogwooddrum::transport {

Network::Network(unsigned aThreads)
  : mImpl(std::make_unique<Impl>(aThreads))
{
  for (unsigned i = 0; i < aThreads; ++i) {
    mImpl->mThreads.emplace_back(
      [impl = mImpl.get()] { impl->mContext.run(); });
  }
}

Network::~Network()
{
  Stop();
}

void
Network::Post(std::function<void()> aWork)
{
  asio::post(mImpl->mContext, std::move(aWork));
}

void
Network::PostAfter(base::Duration aDelay, std::function<void()> aWork)
{
  auto timer = std::make_shared<asio::steady_timer>(mImpl->mContext, aDelay);
  timer->async_wait(
    [timer, work = std::move(aWork)](const boost::system::error_code& aError) {
      if (!aError) {
        work();
      }
    });
}

void
Network::Stop()
{
  mImpl->mContext.stop();
  for (auto& thread : mImpl->mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  mImpl->mThreads.clear();
}

base::Outcome<std::unique_ptr<tcp::acceptor>>
Listen(asio::io_context& aContext, const Address& aAddress)
{
  const auto endpoint = ToEndpoint(aAddress);
  auto acceptor = std::make_unique<tcp::acceptor>(aContext);
  boost::system::error_code ec;
  acceptor->open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor->bind(endpoint, ec);
  }
  if (!ec) {
    acceptor->listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return base::Failure{ base::Reason::LinkClosed,
                          "listen on " + aAddress.mHost + ":" +
                            std::to_string(aAddress.mPort) + ": " +
                            ec.message() };
  }
  return acceptor;
}

} // namespace dogwooddrum::transport
