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
Loopback(std::uint16_t aPort, const std::string& aIp)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  const bool parsed = ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) == 1;
  DOGWOODDRUM_INVARIANT(parsed, "the proxy's target has no IP address");
  return address;
}

/** Forwards what is there; returns false at the end of the connection. */
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
  auto address = Loopback(0, "127.0.0.1");
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
  for (const auto& pair : mPairs) {
    ::close(pair.mClient);
    ::close(pair.mServer);
  }
}

void
TcpProxy::Accept()
{
  Pair pair;
  pair.mClient = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
  pair.mServer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  pair.mSilent = mSilenceNew;
  const auto address = Loopback(mTarget, mTargetIp);
  if (::connect(pair.mServer,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(pair.mClient);
    ::close(pair.mServer);
    return;
  }
  mPairs.push_back(pair);
}

void
TcpProxy::Run()
{
  while (!mStopped) {
    std::vector<pollfd> fds = { { mListener, POLLIN, 0 } };
    const bool holdRequests = mHoldRequests;
    const bool holdAnswers = mHoldAnswers;
    for (const auto& pair : mPairs) {
      // poll ignores negative descriptors.
      fds.push_back(
        { pair.mSilent || holdRequests ? -1 : pair.mClient, POLLIN, 0 });
      fds.push_back(
        { pair.mSilent || holdAnswers ? -1 : pair.mServer, POLLIN, 0 });
    }
    ::poll(fds.data(), fds.size(), 20);
    const bool cut = mCut.exchange(false);
    const bool silence = mSilence.exchange(false);
    std::vector<Pair> left;
    for (std::size_t i = 0; i < mPairs.size(); ++i) {
      auto pair = mPairs[i];
      pair.mSilent = pair.mSilent || silence;
      bool open = !cut;
      if (open && !pair.mSilent) {
        open =
          (fds[1 + 2 * i].revents == 0 ||
           Forward(pair.mClient, pair.mServer)) &&
          (fds[2 + 2 * i].revents == 0 || Forward(pair.mServer, pair.mClient));
      }
      if (open) {
        left.push_back(pair);
      } else {
        ::close(pair.mClient);
        ::close(pair.mServer);
      }
    }
    mPairs.swap(left);
    if (fds[0].revents != 0) {
      Accept();
    }
  }
}

} // namespace dogwooddrum::support
