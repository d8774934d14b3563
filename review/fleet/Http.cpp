#include "review/fleet/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  ::inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  return address;
}

/** Waits for an event on the socket. Returns false after aDeadlineMs. */
bool
WaitFor(int aSocket, short aEvents, std::int64_t aDeadlineMs)
{
  const auto left = std::max<std::int64_t>(aDeadlineMs - NowMs(), 0);
  pollfd entry = { aSocket, aEvents, 0 };
  return ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

/** Reads the headers of a message from its head. */
HttpMessage
ParseHead(const std::string& aHead)
{
  HttpMessage message;
  std::size_t begin = 0;
  while (begin < aHead.size()) {
    const auto end = std::min(aHead.find("\r\n", begin), aHead.size());
    const std::string line = aHead.substr(begin, end - begin);
    begin = end + 2;
    const auto colon = line.find(':');
    if (message.mStartLine.empty()) {
      message.mStartLine = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
        return static_cast<char>(
          std::tolower(static_cast<unsigned char>(aChar)));
      });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders[name] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  return message;
}

} // namespace

std::string
ToString(const Address& aAddress)
{
  return aAddress.mIp + ":" + std::to_string(aAddress.mPort);
}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

int
Connect(const Address& aAddress, std::int64_t aTimeoutMs)
{
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto address = ToSocketAddress(aAddress);
  int error = 0;
  if (::connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    error = errno;
    if (error == EINPROGRESS && WaitFor(fd, POLLOUT, NowMs() + aTimeoutMs)) {
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int
Listen(const Address& aAddress)
{
  constexpr int kBacklog = 64;
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = ToSocketAddress(aAddress);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      ::listen(fd, kBacklog) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  constexpr std::int64_t kSendTimeoutMs = 5000;
  const auto deadline = NowMs() + kSendTimeoutMs;
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (errno != EAGAIN || !WaitFor(aSocket, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

std::optional<HttpMessage>
ReadMessage(int aSocket, std::string& aBuffer, std::int64_t aDeadlineMs)
{
  while (true) {
    const auto head = aBuffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      auto message = ParseHead(aBuffer.substr(0, head));
      const auto length = static_cast<std::size_t>(
        std::atoll(message.mHeaders["content-length"].c_str()));
      const std::size_t begin = head + 4;
      if (aBuffer.size() >= begin + length) {
        message.mBody = aBuffer.substr(begin, length);
        aBuffer.erase(0, begin + length);
        return message;
      }
    }
    if (!WaitFor(aSocket, POLLIN, aDeadlineMs)) {
      return std::nullopt;
    }
    std::array<char, 16384> bytes{};
    const auto n = ::recv(aSocket, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      return std::nullopt;
    }
    aBuffer.append(bytes.data(), static_cast<std::size_t>(n));
  }
}

HttpAnswer
Call(const Address& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     std::int64_t aTimeoutMs)
{
  HttpAnswer answer;
  const auto deadline = NowMs() + aTimeoutMs;
  const int fd = Connect(aAddress, aTimeoutMs);
  if (fd < 0) {
    return answer;
  }
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  if (aHeaders.count("Host") == 0) {
    text += "Host: " + ToString(aAddress) + "\r\n";
  }
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::string buffer;
  if (SendAll(fd, text)) {
    if (const auto message = ReadMessage(fd, buffer, deadline)) {
      const auto space = message->mStartLine.find(' ');
      answer.mStatus = std::atoi(message->mStartLine.c_str() + space);
      answer.mBody = message->mBody;
    }
  }
  ::close(fd);
  return answer;
}

SocketServer::SocketServer(const Address& aAddress, Handler aHandler)
  : mHandler(std::move(aHandler))
  , mListener(Listen(aAddress))
{
  if (mListener >= 0) {
    mAcceptThread = std::thread([this] { Run(); });
  }
}

SocketServer::~SocketServer()
{
  mStopped = true;
  if (mAcceptThread.joinable()) {
    mAcceptThread.join();
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int fd : mSockets) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
}

void
SocketServer::Run()
{
  constexpr std::int64_t kPollMs = 20;
  while (!mStopped) {
    if (!WaitFor(mListener, POLLIN, NowMs() + kPollMs)) {
      continue;
    }
    const int fd =
      ::accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.insert(fd);
    mThreads.emplace_back([this, fd] {
      mHandler(fd);
      const std::lock_guard<std::mutex> closeLock(mMutex);
      mSockets.erase(fd);
      ::close(fd);
    });
  }
  ::close(mListener);
}

} // namespace review
