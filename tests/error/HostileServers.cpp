// Guards against clients of targets and members that read an answer without
// end: each server here sends until the client closes the connection, and the
// bytes that a client takes stay under a bound.
#include "dogwooddrum/transport/AsyncHttpClient.h"
#include "dogwooddrum/transport/HttpClient.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace dogwooddrum::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kMaxAnswerBytes = 64U << 10;
/** Includes what waits in the buffers of the system. */
constexpr std::uint64_t kMaxSentBytes = 24U << 20;
constexpr std::uint64_t kGiveUpBytes = 64U << 20;
constexpr base::Duration kTimeout = base::Milliseconds(20000);

struct Answer
{
  const char* mName;
  std::string mBegin;
  std::string mPart;
};

void
PrintTo(const Answer& aAnswer, std::ostream* aOut)
{
  *aOut << aAnswer.mName;
}

/** Sends one endless answer. */
class Server
{
public:
  explicit Server(const Answer& aAnswer)
    : mAcceptor(mIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mThread([this, aAnswer] { Serve(aAnswer); })
  {
  }
  ~Server() { mThread.join(); }
  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }
  std::uint64_t SentBytes() { return mSent.get_future().get(); }

private:
  void Serve(const Answer& aAnswer)
  {
    boost::system::error_code ec;
    tcp::socket socket(mIo);
    mAcceptor.accept(socket, ec);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
    asio::write(socket, asio::buffer(aAnswer.mBegin), ec);
    std::string block;
    while (block.size() < (64U << 10)) {
      block += aAnswer.mPart;
    }
    std::uint64_t sent = 0;
    while (!ec && sent < kGiveUpBytes) {
      sent += asio::write(socket, asio::buffer(block), ec);
    }
    mSent.set_value(sent);
  }

  asio::io_context mIo;
  tcp::acceptor mAcceptor;
  std::promise<std::uint64_t> mSent;
  std::thread mThread;
};

const std::string kChunked = "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
const std::string kField = "X-Field: " + std::string(1000, 'x') + "\r\n";

class HostileServers : public testing::TestWithParam<Answer>
{};

TEST_P(HostileServers, BlockingClientStopsReading)
{
  Server server(GetParam());
  {
    HttpClient client({ "127.0.0.1", server.Port(), kMaxAnswerBytes });
    const auto response = client.Call({}, kTimeout);
    EXPECT_FALSE(response);
    EXPECT_TRUE(response.mMayHaveBeenSent);
  }
  EXPECT_LT(server.SentBytes(), kMaxSentBytes);
}

TEST_P(HostileServers, AsynchronousClientStopsReading)
{
  Server server(GetParam());
  Network network(1);
  AsyncHttpClient client(network);
  HttpCall call;
  call.mAddress = { "127.0.0.1", server.Port() };
  call.mMaxAnswerBytes = kMaxAnswerBytes;
  call.mAnswerTimeout = kTimeout;
  std::promise<HttpResult> done;
  client.Start(call, nullptr, [&done](HttpResult aResult) {
    done.set_value(std::move(aResult));
  });
  const auto result = done.get_future().get();
  EXPECT_NE(result.mReason, base::Reason::None);
  EXPECT_TRUE(result.mDispatched);
  EXPECT_LT(server.SentBytes(), kMaxSentBytes);
  network.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HostileServers,
  testing::Values(
    Answer{ "Trailers", kChunked + "0\r\n", kField },
    Answer{ "ChunkExtension", kChunked + "1;a=", std::string(1000, 'x') },
    Answer{ "ExtendedChunks",
            kChunked,
            "1;a=" + std::string(4000, 'x') + "\r\ny\r\n" },
    Answer{ "Body", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x') },
    Answer{ "Chunks", kChunked, "a\r\n0123456789\r\n" },
    Answer{ "Header", "HTTP/1.1 200 OK\r\n", kField }),
  [](const testing::TestParamInfo<Answer>& aInfo) {
    return aInfo.param.mName;
  });

} // namespace

} // namespace dogwooddrum::transport
