#include "dogwooddrum/transport/HttpClient.h"

#include "dogwooddrum/transport/ResponseReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <optional>

namespace dogwooddrum::transport {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

std::string
ToLower(std::string_view aText)
{
  std::string out(aText);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return out;
}

} // namespace

struct HttpClient::Impl
{
  explicit Impl(const HttpClientOptions& aOptions)
    : mOptions(aOptions)
    , mStream(mIo)
  {
  }

  /** Returns whether the open connection can take another request. */
  bool IsConnectionReusable()
  {
    if (!mStream.socket().is_open()) {
      return false;
    }
    // An idle connection must not be readable: received bytes would belong to
    // no request, and end of file means that the server closed the connection.
    char byte = 0;
    error_code ec;
    mStream.socket().non_blocking(true, ec);
    mStream.socket().receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
  }

  void Close()
  {
    error_code ec;
    mStream.socket().close(ec);
  }

  /** Runs the started operation to its end, bounded by the stream's expiry. */
  void RunToCompletion()
  {
    mIo.restart();
    mIo.run();
  }

  HttpOutcome Fail(base::Reason aReason,
                   const error_code& aEc,
                   std::string_view aWhat)
  {
    Close();
    const base::Reason reason = mAborted ? base::Reason::Cancelled : aReason;
    HttpOutcome outcome(
      base::Failure{ reason,
                     mOptions.mIp + ":" + std::to_string(mOptions.mPort) +
                       ": " + std::string(aWhat) + ": " + aEc.message() });
    outcome.mMayHaveBeenSent = mMayHaveBeenSent;
    outcome.mRefused = aEc == asio::error::connection_refused;
    return outcome;
  }

  std::optional<HttpOutcome> Connect()
  {
    Close();
    error_code ec;
    const auto ip = asio::ip::make_address(mOptions.mIp, ec);
    if (ec) {
      return Fail(base::Reason::InvalidRequest, ec, "address");
    }
    mStream.async_connect(asio::ip::tcp::endpoint(ip, mOptions.mPort),
                          [&](const error_code& aEc) { ec = aEc; });
    RunToCompletion();
    if (ec) {
      return Fail(ec == beast::error::timeout ? base::Reason::StartTimeout
                                              : base::Reason::TargetUnreachable,
                  ec,
                  "connect");
    }
    mStream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    return std::nullopt;
  }

  base::Reason ReasonForError(const error_code& aEc) const
  {
    if (aEc == beast::error::timeout) {
      return base::Reason::LinkSilent;
    }
    if (ResponseReader::IsTooLarge(aEc)) {
      return base::Reason::AnswerTooLarge;
    }
    // A truncated response counts as LinkClosed, not as MalformedFrame.
    const bool ended =
      aEc == http::error::partial_message || aEc == http::error::end_of_stream;
    if (!ended &&
        aEc.category() ==
          http::make_error_code(http::error::bad_version).category()) {
      return base::Reason::MalformedFrame;
    }
    return base::Reason::LinkClosed;
  }

  HttpOutcome SendAndReceive(http::request<http::string_body>& aRequest)
  {
    error_code ec;
    mMayHaveBeenSent = true;
    http::async_write(
      mStream, aRequest, [&](const error_code& aEc, std::size_t) { ec = aEc; });
    RunToCompletion();
    // A server may refuse a large request and close the connection before it
    // has read the whole request; its response can still be read.
    const error_code sent = ec;
    if (sent && sent != asio::error::broken_pipe &&
        sent != asio::error::connection_reset) {
      return Fail(ReasonForError(sent), sent, "send");
    }
    ResponseReader reader(mOptions.mMaxResponseBytes);
    ec = {};
    while (!ec && !reader.IsDone()) {
      mStream.async_read_some(reader.Prepare(),
                              [&](error_code aEc, std::size_t aBytes) {
                                reader.OnReceived(aEc, aBytes);
                                ec = aEc;
                              });
      RunToCompletion();
    }
    if (ec) {
      return sent ? Fail(ReasonForError(sent), sent, "send")
                  : Fail(ReasonForError(ec), ec, "receive");
    }
    auto message = reader.Release();
    if (sent || reader.HasExcess() || !message.keep_alive()) {
      Close();
    }
    HttpResponse response;
    response.mStatus = message.result_int();
    response.mBody = std::move(message.body());
    for (const auto& field : message) {
      response.mHeaders[ToLower(std::string(field.name_string()))] =
        std::string(field.value());
    }
    return { std::move(response) };
  }

  const HttpClientOptions mOptions;
  asio::io_context mIo{ 1 };
  beast::tcp_stream mStream;
  std::atomic<bool> mAborted{ false };
  bool mMayHaveBeenSent = false;
};

HttpClient::HttpClient(const HttpClientOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}
HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient&
HttpClient::operator=(HttpClient&&) noexcept = default;

HttpOutcome
HttpClient::Call(const HttpRequest& aRequest, base::Duration aTimeout)
{
  Impl& impl = *mImpl;
  impl.mMayHaveBeenSent = false;
  const auto verb = http::string_to_verb(aRequest.mMethod);
  if (verb == http::verb::unknown || impl.mAborted) {
    return impl.Fail(base::Reason::InvalidRequest,
                     error_code(asio::error::invalid_argument),
                     "method " + aRequest.mMethod);
  }
  http::request<http::string_body> request{ verb, aRequest.mTarget, 11 };
  request.set(http::field::host,
              impl.mOptions.mIp + ":" + std::to_string(impl.mOptions.mPort));
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.set(name, value);
  }
  if (!aRequest.mBody.empty() &&
      request.find(http::field::content_type) == request.end()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = aRequest.mBody;
  request.prepare_payload();

  impl.mStream.expires_after(aTimeout);
  if (!impl.IsConnectionReusable()) {
    if (auto failure = impl.Connect()) {
      return *failure;
    }
  }
  return impl.SendAndReceive(request);
}

void
HttpClient::Abort()
{
  mImpl->mAborted = true;
  // The handler runs on the thread of Call: immediately if a call is in
  // progress, otherwise at the start of the next operation.
  asio::post(mImpl->mIo, [impl = mImpl.get()] { impl->Close(); });
}

} // namespace dogwooddrum::transport
