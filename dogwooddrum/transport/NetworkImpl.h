/** \file
 * Defines the Asio state of a Network. Included only by source files of this
 * package.
 */
#pragma once

#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Network.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <thread>
#include <vector>

namespace dogwooddrum::transport {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;

struct Network::Impl
{
  explicit Impl(unsigned aThreads)
    : mContext(static_cast<int>(aThreads))
    , mWork(mContext.get_executor())
  {
  }
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::vector<std::thread> mThreads;
};

/** Returns the endpoint of aAddress. Precondition: aAddress is a result of
 * ParseAddress. */
inline tcp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

/**
 * Opens a listening socket, or returns a failure that names the address. Port
 * 0 selects a free port.
 */
base::Outcome<std::unique_ptr<tcp::acceptor>>
Listen(asio::io_context& aContext, const Address& aAddress);

} // namespace dogwooddrum::transport
