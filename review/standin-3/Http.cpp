#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t kIdleMs = 60000;
constexpr std::size_t kReadBytes = 16384;

sockaddr_in
MakeAddress(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

bool
WaitFor(int aSocket, short aEvents, std::int64_t aUntilMs)
{
  const auto left = aUntilMs - NowMs();
  pollfd item = { aSocket, aEvents, 0 };
  return left > 0 && poll(&item, 1, static_cast<int>(left)) > 0;
}

bool
SendAll(int aSocket, const std::string& aBytes, std::int64_t aUntilMs)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n = send(aSocket,
                        aBytes.data() + sent,
                        aBytes.size() - sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (errno != EAGAIN || !WaitFor(aSocket, POLLOUT, aUntilMs)) {
      return false;
    }
  }
  return true;
}

/** A message as received: its first line, its fields and its body. */
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/** Reads the fields of aHead, which ends with an empty line. */
Message
ParseHead(const std::string& aHead)
{
  Message message;
  std::size_t begin = aHead.find("\r\n");
  message.mFirstLine = aHead.substr(0, begin);
  while (begin != std::string::npos) {
    begin += 2;
    const auto end = aHead.find("\r\n", begin);
    const auto colon = aHead.find(':', begin);
    if (end == std::string::npos || colon == std::string::npos || colon > end) {
      break;
    }
    std::string name = aHead.substr(begin, colon - begin);
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
    const auto value = aHead.find_first_not_of(' ', colon + 1);
    message.mHeaders[name] = aHead.substr(value, end - value);
    begin = end;
  }
  return message;
}

/** Takes the next message off aBuffer, and reads more as it needs. */
std::optional<Message>
ReadMessage(int aSocket, std::string& aBuffer, std::int64_t aUntilMs)
{
  std::optional<Message> message;
  std::size_t bodyBytes = 0;
  while (true) {
    const auto end = aBuffer.find("\r\n\r\n");
    if (!message && end != std::string::npos) {
      message = ParseHead(aBuffer.substr(0, end + 2));
      aBuffer.erase(0, end + 4);
      const auto it = message->mHeaders.find("content-length");
      bodyBytes = it == message->mHeaders.end()
                    ? 0
                    : std::strtoul(it->second.c_str(), nullptr, 10);
    }
    if (message && aBuffer.size() >= bodyBytes) {
      message->mBody = aBuffer.substr(0, bodyBytes);
      aBuffer.erase(0, bodyBytes);
      return message;
    }
    if (!WaitFor(aSocket, POLLIN, aUntilMs)) {
      return std::nullopt;
    }
    char bytes[kReadBytes];
    const auto n = recv(aSocket, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return std::nullopt;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(n));
  }
}

int
Connect(const std::string& aIp, std::uint16_t aPort, std::int64_t aUntilMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto address = MakeAddress(aIp, aPort);
  int error = 0;
  socklen_t size = sizeof error;
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      (errno != EINPROGRESS || !WaitFor(fd, POLLOUT, aUntilMs) ||
       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
       error != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string
FormatFields(const std::map<std::string, std::string>& aHeaders,
             const std::string& aBody)
{
  std::string text;
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

Response
Call(const std::string& aIp,
     std::uint16_t aPort,
     const Request& aRequest,
     std::int64_t aTimeoutMs)
{
  const auto until = NowMs() + aTimeoutMs;
  Response response;
  const int fd = Connect(aIp, aPort, until);
  if (fd < 0) {
    return response;
  }
  auto headers = aRequest.mHeaders;
  headers.emplace("host", aIp + ":" + std::to_string(aPort));
  std::string buffer;
  if (SendAll(fd,
              aRequest.mMethod + " " + aRequest.mPath + " HTTP/1.1\r\n" +
                FormatFields(headers, aRequest.mBody),
              until)) {
    if (auto message = ReadMessage(fd, buffer, until)) {
      const auto space = message->mFirstLine.find(' ');
      response.mStatus = space == std::string::npos
                           ? 0
                           : std::atoi(message->mFirstLine.c_str() + space);
      response.mBody = std::move(message->mBody);
      response.mHeaders = std::move(message->mHeaders);
    }
  }
  close(fd);
  return response;
}

Server::Server(const std::string& aIp, std::uint16_t aPort, Handler aHandler)
  : mHandler(std::move(aHandler))
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = MakeAddress(aIp, aPort);
  if (bind(mListener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(mListener, SOMAXCONN) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  mAcceptThread = std::thread([this] { Accept(); });
}

Server::~Server()
{
  mStopped = true;
  shutdown(mListener, SHUT_RDWR);
  mAcceptThread.join();
  close(mListener);
  std::list<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int fd : mSockets) {
      shutdown(fd, SHUT_RDWR);
    }
    threads.swap(mThreads);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

void
Server::Accept()
{
  while (!mStopped) {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mMutex);
    if (fd < 0 || mStopped) {
      if (fd >= 0) {
        close(fd);
      }
      return;
    }
    mSockets.push_back(fd);
    mThreads.emplace_back([this, fd] { Serve(fd); });
  }
}

void
Server::Serve(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  while (auto message = ReadMessage(aSocket, buffer, NowMs() + kIdleMs)) {
    Request request;
    const auto& line = message->mFirstLine;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      break;
    }
    request.mMethod = line.substr(0, first);
    request.mPath = line.substr(first + 1, second - first - 1);
    request.mHeaders = std::move(message->mHeaders);
    request.mBody = std::move(message->mBody);
    const Response response = mHandler(request);
    if (mStopped || response.mStatus == 0 ||
        !SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(response.mStatus) + " X\r\n" +
                   FormatFields(response.mHeaders, response.mBody),
                 NowMs() + kIdleMs)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mSockets.remove(aSocket);
  close(aSocket);
}

} // namespace review
