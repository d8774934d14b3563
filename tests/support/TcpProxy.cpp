#include "tests/support/TcpProxy.h"

#include "dogwooddrum/base/Check.h"

#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dogwooddrum::support {

namespace {

sockaddr_in
MakeEndpoint(std::uint16_t aPort, const std::string& aIp)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  const bool parsed = ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) == 1;
  DOGWOODDRUM_INVARIANT(parsed, "the proxy's target has no IP address");
  return address;
}

/** Forwards available bytes; returns false at the end of the connection. */
bool
Forward(int aFrom, int aTo)
{
  std::array<char, 64U << 10> buf{};
  const auto n = ::recv(aFrom, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  for (ssize_t sent = 0; sent < n;) {
    const auto m = ::send(
      aTo, buf.data() + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
    if (m <= 0) {
      return false;
    }
    sent += m;
  }
  return true;
}

} // namespace

TcpProxy::TcpProxy(std::uint16_t aTarget, const std::string& aIp)
  : mTarget(aTarget)
  , mTargetIp(aIp)
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = MakeEndpoint(0, "127.0.0.1");
  socklen_t size = sizeof address;
  const int bound =
    ::bind(mListener, reinterpret_cast<sockaddr*>(&address), size);
  DOGWOODDRUM_INVARIANT(bound == 0 && ::listen(mListener, 64) == 0,
                        "the proxy cannot listen on loopback");
  ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Run(); });
}

TcpProxy::~TcpProxy()
{
  mStopped = true;
  mThread.join();
  ::close(mListener);
  for (const auto& connection : mConnections) {
    ::close(connection.mClient);
    ::close(connection.mServer);
  }
}

void
TcpProxy::Accept()
{
  Connection connection;
  connection.mClient = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
  connection.mServer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  connection.mSilent = mSilenceNew;
  const auto address = MakeEndpoint(mTarget, mTargetIp);
  if (::connect(connection.mServer,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(connection.mClient);
    ::close(connection.mServer);
    return;
  }
  mConnections.push_back(connection);
}

void
TcpProxy::Run()
{
  while (!mStopped) {
    std::vector<pollfd> fds = { { mListener, POLLIN, 0 } };
    const bool holdRequests = mHoldRequests;
    const bool holdAnswers = mHoldAnswers;
    for (const auto& connection : mConnections) {
      // poll ignores negative descriptors.
      fds.push_back(
        { connection.mSilent || holdRequests ? -1 : connection.mClient,
          POLLIN,
          0 });
      fds.push_back(
        { connection.mSilent || holdAnswers ? -1 : connection.mServer,
          POLLIN,
          0 });
    }
    ::poll(fds.data(), fds.size(), 20);
    const bool cut = mCutRequested.exchange(false);
    const bool silence = mSilenceRequested.exchange(false);
    std::vector<Connection> remaining;
    for (std::size_t i = 0; i < mConnections.size(); ++i) {
      auto connection = mConnections[i];
      connection.mSilent = connection.mSilent || silence;
      bool open = !cut;
      if (open && !connection.mSilent) {
        open = (fds[1 + 2 * i].revents == 0 ||
                Forward(connection.mClient, connection.mServer)) &&
               (fds[2 + 2 * i].revents == 0 ||
                Forward(connection.mServer, connection.mClient));
      }
      if (open) {
        remaining.push_back(connection);
      } else {
        ::close(connection.mClient);
        ::close(connection.mServer);
      }
    }
    mConnections.swap(remaining);
    if (fds[0].revents != 0) {
      Accept();
    }
  }
}

} // namespace dogwooddrum::support
