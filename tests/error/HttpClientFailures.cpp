// Guards against a client that reports a request as not sent although the
// server may have received it, that waits past its deadline, or that reads a
// response without a size limit.
#include "dogwooddrum/transport/HttpClient.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace dogwooddrum::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Accepts connections one after the other and hands them to aServe. */
class Server
{
public:
  explicit Server(std::function<void(tcp::socket&)> aServe)
    : mAcceptor(mIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mThread([this, serve = std::move(aServe)] {
      for (;;) {
        boost::system::error_code ec;
        tcp::socket socket(mIo);
        mAcceptor.accept(socket, ec);
        if (ec || mStop) {
          return;
        }
        serve(socket);
      }
    })
  {
  }
  ~Server()
  {
    mStop = true;
    boost::system::error_code ec;
    tcp::socket wake(mIo);
    wake.connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
  }
  HttpClient Client(std::uint64_t aMaxBytes = kDefaultResponseBytes) const
  {
    return HttpClient(
      { "127.0.0.1", mAcceptor.local_endpoint().port(), aMaxBytes });
  }

private:
  asio::io_context mIo;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

/** Reads one request without a body. Returns false at end of file. */
bool
ReadRequest(tcp::socket& aSocket)
{
  std::string in;
  boost::system::error_code ec;
  asio::read_until(aSocket, asio::dynamic_buffer(in), "\r\n\r\n", ec);
  return !ec;
}

void
Send(tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code ec;
  asio::write(aSocket, asio::buffer(aText), ec);
}

const HttpRequest kGet;
constexpr base::Duration kTimeout = base::Milliseconds(2000);

} // namespace

TEST(HttpClientFailures, ConnectionIsKeptAndReplacedAfterAClose)
{
  std::atomic<int> connections{ 0 };
  const Server server([&](tcp::socket& aSocket) {
    ++connections;
    for (int i = 0; i < 2 && ReadRequest(aSocket); ++i) {
      Send(aSocket, "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  HttpClient client = server.Client();
  for (int i = 0; i < 4; ++i) {
    const auto response = client.Call(kGet, kTimeout);
    ASSERT_TRUE(response) << response.LastFailure().mMessage;
    EXPECT_EQ(response->mBody, "ok");
    EXPECT_EQ(response->mHeaders.at("x-a"), "b");
    // The server's close after the second response must arrive first.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  EXPECT_EQ(connections, 2);
}

TEST(HttpClientFailures, RefusedConnectionSentNothing)
{
  asio::io_context io;
  tcp::acceptor closed(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto port = closed.local_endpoint().port();
  closed.close();
  HttpClient client({ "127.0.0.1", port });
  const auto response = client.Call(kGet, kTimeout);
  ASSERT_FALSE(response);
  EXPECT_FALSE(response.mMayHaveBeenSent);
  EXPECT_EQ(response.LastFailure().mReason, base::Reason::TargetUnreachable);
}

TEST(HttpClientFailures, CloseAfterTheRequestMayHaveRun)
{
  const Server server([](tcp::socket& aSocket) { ReadRequest(aSocket); });
  HttpClient client = server.Client();
  const auto response = client.Call(kGet, kTimeout);
  ASSERT_FALSE(response);
  EXPECT_TRUE(response.mMayHaveBeenSent);
  EXPECT_EQ(response.LastFailure().mReason, base::Reason::LinkClosed);
}

TEST(HttpClientFailures, TruncatedResponseIsNotAResponse)
{
  const Server server([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    Send(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  });
  HttpClient client = server.Client();
  const auto response = client.Call(kGet, kTimeout);
  ASSERT_FALSE(response);
  EXPECT_EQ(response.LastFailure().mReason, base::Reason::LinkClosed);
}

TEST(HttpClientFailures, SilentServerEndsAtTheDeadline)
{
  const Server server([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    ReadRequest(aSocket); // Returns when the client closes.
  });
  HttpClient client = server.Client();
  const auto start = std::chrono::steady_clock::now();
  const auto response = client.Call(kGet, base::Milliseconds(200));
  const auto took = std::chrono::steady_clock::now() - start;
  ASSERT_FALSE(response);
  EXPECT_TRUE(response.mMayHaveBeenSent);
  EXPECT_EQ(response.LastFailure().mReason, base::Reason::LinkSilent);
  EXPECT_GE(took, std::chrono::milliseconds(200));
  EXPECT_LT(took, std::chrono::milliseconds(1500));
}

TEST(HttpClientFailures, LargeAndMalformedResponsesAreRefused)
{
  const Server large([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    Send(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
    ReadRequest(aSocket);
  });
  HttpClient bounded = large.Client(1000);
  EXPECT_EQ(bounded.Call(kGet, kTimeout).LastFailure().mReason,
            base::Reason::AnswerTooLarge);
  const Server other([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    Send(aSocket, "SSH-2.0-x\r\n\r\n");
  });
  HttpClient client = other.Client();
  EXPECT_EQ(client.Call(kGet, kTimeout).LastFailure().mReason,
            base::Reason::MalformedFrame);
}

TEST(HttpClientFailures, AbortEndsACallFromAnotherThread)
{
  const Server server([](tcp::socket& aSocket) {
    ReadRequest(aSocket);
    ReadRequest(aSocket);
  });
  HttpClient client = server.Client();
  std::thread aborter([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.Abort();
  });
  const auto response = client.Call(kGet, base::Milliseconds(60000));
  aborter.join();
  ASSERT_FALSE(response);
  EXPECT_EQ(response.LastFailure().mReason, base::Reason::Cancelled);
  EXPECT_FALSE(client.Call(kGet, kTimeout));
}

} // namespace dogwooddrum::transport
