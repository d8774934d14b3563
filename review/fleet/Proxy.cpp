#include "review/fleet/Proxy.h"

#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

/** Makes the next close reset the connection. */
void
ResetOnClose(int aSocket)
{
  const linger reset = { 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

/** Forwards what is readable. Returns false at the end of the connection. */
bool
ForwardBytes(int aFrom, int aTo, std::string* aSeen)
{
  std::array<char, 65536> bytes{};
  const auto n = ::recv(aFrom, bytes.data(), bytes.size(), 0);
  if (n <= 0) {
    return n < 0 && errno == EAGAIN;
  }
  const std::string text(bytes.data(), static_cast<std::size_t>(n));
  if (aSeen != nullptr) {
    *aSeen += text;
  }
  return SendAll(aTo, text);
}

} // namespace

LinkProxy::LinkProxy(const Address& aListen,
                     const Address& aTarget,
                     std::vector<std::string> aNames,
                     IsCut aIsCut)
  : mTarget(aTarget)
  , mNames(std::move(aNames))
  , mIsCut(std::move(aIsCut))
  , mServer(aListen, [this](int aClient) { Forward(aClient); })
{
}

void
LinkProxy::Forward(int aClient) const
{
  constexpr std::int64_t kConnectTimeoutMs = 1000;
  constexpr int kPollMs = 5;
  const int target = Connect(mTarget, kConnectTimeoutMs);
  if (target < 0) {
    ResetOnClose(aClient);
    return;
  }
  std::string first; // the opening message names its sender in clear text
  std::string from;
  while (true) {
    std::array<pollfd, 2> entries = { pollfd{ aClient, POLLIN, 0 },
                                      pollfd{ target, POLLIN, 0 } };
    ::poll(entries.data(), entries.size(), kPollMs);
    if (entries[0].revents != 0 &&
        !ForwardBytes(aClient, target, from.empty() ? &first : nullptr)) {
      break;
    }
    if (entries[1].revents != 0 && !ForwardBytes(target, aClient, nullptr)) {
      break;
    }
    for (const auto& name : mNames) {
      if (from.empty() && first.find(name) != std::string::npos) {
        from = name;
      }
    }
    if (!from.empty() && mIsCut(from)) {
      ResetOnClose(aClient);
      ResetOnClose(target);
      break;
    }
  }
  ::close(target);
}

} // namespace review
