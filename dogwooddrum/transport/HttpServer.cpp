#include "dogwooddrum/transport/HttpServer.h"

#include "dogwooddrum/transport/NetworkImpl.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <unordered_map>

namespace dogwooddrum::transport {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** Maximum time for reading the rest of a refused request. */
constexpr base::Duration kLingerTime = base::Milliseconds(2000);
/** Maximum number of bytes read from the rest of a refused request. */
constexpr std::uint64_t kMaxLingerBytes = 16ULL << 20;
constexpr std::size_t kDiscardBytes = 16U << 10;

/** Delay after a failed accept. */
constexpr base::Duration kAcceptRetryDelay = base::Milliseconds(50);

int
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/** Decodes percent escapes and '+'. Malformed escapes stay unchanged. */
std::string
PercentDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() &&
        HexDigit(aText[i + 1]) >= 0 && HexDigit(aText[i + 2]) >= 0) {
      out.push_back(static_cast<char>(HexDigit(aText[i + 1]) * 16 +
                                      HexDigit(aText[i + 2])));
      i += 2;
    } else {
      out.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return out;
}

void
ParseTarget(const std::string& aTarget, ServerRequest& aRequest)
{
  const auto question = aTarget.find('?');
  aRequest.mPath = aTarget.substr(0, question);
  if (question == std::string::npos) {
    return;
  }
  std::size_t begin = question + 1;
  while (begin < aTarget.size()) {
    auto end = aTarget.find('&', begin);
    end = end == std::string::npos ? aTarget.size() : end;
    const auto pair = aTarget.substr(begin, end - begin);
    const auto equals = pair.find('=');
    const auto value =
      equals == std::string::npos ? std::string() : pair.substr(equals + 1);
    aRequest.mQuery[PercentDecode(pair.substr(0, equals))] =
      PercentDecode(value);
    begin = end + 1;
  }
}

class Session;

/** State shared by the sessions of a server. */
struct SharedState
{
  HttpServerOptions mOptions;
  ServerHandler mHandler;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::size_t> mInProgress{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::mutex mMutex; ///< guards mSessions
  std::unordered_map<Session*, std::weak_ptr<Session>> mSessions;
};

/** One connection. Members are accessed on the strand of the stream only. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<SharedState> aShared)
    : mStream(std::move(aSocket))
    , mSharedState(std::move(aShared))
  {
  }

  ~Session()
  {
    const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
    mSharedState->mSessions.erase(this);
  }

  void Start()
  {
    asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ec;
      self->mStream.socket().set_option(tcp::no_delay(true), ec);
      self->Read();
    });
  }

  /** Closes the connection; with aIdleOnly, only if no request is in progress.
   */
  void Close(bool aIdleOnly)
  {
    asio::post(mStream.get_executor(), [self = shared_from_this(), aIdleOnly] {
      if (!aIdleOnly || !self->mBusy) {
        self->mStream.close();
      }
    });
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->header_limit(mSharedState->mOptions.mMaxHeaderBytes);
    mParser->body_limit(mSharedState->mOptions.mMaxBodyBytes);
    mStream.expires_after(mSharedState->mOptions.mIdleTimeout);
    http::async_read(
      mStream,
      mBuffer,
      *mParser,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError == http::error::body_limit) {
      Refuse(413, "body exceeds the limit");
      return;
    }
    if (aError == http::error::header_limit) {
      Refuse(431, "header exceeds the limit");
      return;
    }
    if (aError == http::error::end_of_stream || !mParser->got_some() ||
        aError == beast::error::timeout ||
        aError.category() !=
          http::make_error_code(http::error::bad_method).category()) {
      if (aError) {
        mStream.close();
        return;
      }
    }
    if (aError) {
      Refuse(400, "malformed request");
      return;
    }
    Handle();
  }

  void Handle()
  {
    auto message = mParser->release();
    mKeepAlive = message.keep_alive();
    mVersion = message.version();
    mIsHeadRequest = message.method() == http::verb::head;
    ServerRequest request;
    request.mMethod = std::string(message.method_string());
    ParseTarget(std::string(message.target()), request);
    request.mAuthorization = std::string(message[http::field::authorization]);
    for (const auto& field : message) {
      std::string name(field.name_string());
      std::transform(
        name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
          return static_cast<char>(std::tolower(aChar));
        });
      request.mHeaders[name] = std::string(field.value());
    }
    request.mBody = std::move(message.body());
    BeginRequest();
    mSharedState->mHandler(
      std::move(request),
      [self = shared_from_this()](ServerResponse aResponse) {
        self->Respond(std::move(aResponse));
      });
  }

  void BeginRequest()
  {
    mBusy = true;
    ++mSharedState->mInProgress;
    mStream.expires_never();
  }

  void Refuse(unsigned aStatus, const char* aReason)
  {
    BeginRequest();
    mKeepAlive = false;
    mRefused = true;
    ServerResponse response;
    response.mStatus = aStatus;
    response.mBody =
      std::string(R"({"reason":"invalid_request","ran":"not_run",)") +
      R"("retry":false,"retry_after_ms":0,"message":")" + aReason + "\"}";
    Write(std::move(response));
  }

  void Respond(ServerResponse aResponse)
  {
    asio::dispatch(
      mStream.get_executor(),
      [self = shared_from_this(), response = std::move(aResponse)]() mutable {
        self->Write(std::move(response));
      });
  }

  void Write(ServerResponse aResponse)
  {
    mResponse.emplace(static_cast<http::status>(aResponse.mStatus), mVersion);
    mResponse->keep_alive(mKeepAlive && !mSharedState->mDraining);
    mResponse->set(http::field::content_type, aResponse.mContentType);
    for (const auto& [name, value] : aResponse.mHeaders) {
      mResponse->set(name, value);
    }
    mResponse->body() = std::move(aResponse.mBody);
    mResponse->prepare_payload();
    if (mIsHeadRequest) {
      mResponse->body().clear();
    }
    mStream.expires_after(mSharedState->mOptions.mIdleTimeout);
    http::async_write(
      mStream,
      *mResponse,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(beast::error_code aError)
  {
    --mSharedState->mInProgress;
    mBusy = false;
    if (!aError && mResponse->keep_alive()) {
      Read();
      return;
    }
    beast::error_code ec;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ec);
    if (aError || !mRefused) {
      mStream.close();
      return;
    }
    mStream.expires_after(kLingerTime);
    mDiscard.resize(kDiscardBytes);
    Linger();
  }

  /** Reads and discards the rest of the request. Closing with unread bytes
   * resets the connection, and the client may then lose the response. */
  void Linger()
  {
    mStream.async_read_some(
      asio::buffer(mDiscard),
      [self = shared_from_this()](beast::error_code aError,
                                  std::size_t aBytes) {
        self->mLingerBytes += aBytes;
        if (aError || self->mLingerBytes > kMaxLingerBytes) {
          self->mStream.close();
          return;
        }
        self->Linger();
      });
  }

  beast::tcp_stream mStream;
  std::shared_ptr<SharedState> mSharedState;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  std::optional<http::response<http::string_body>> mResponse;
  unsigned mVersion = 11;
  bool mKeepAlive = false;
  bool mIsHeadRequest = false;
  bool mBusy = false;
  bool mRefused = false; ///< part of the request may be unread
  std::vector<char> mDiscard;
  std::uint64_t mLingerBytes = 0;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(Network& aNetwork, std::unique_ptr<tcp::acceptor> aAcceptor)
    : mNetwork(aNetwork)
    , mAcceptor(std::move(aAcceptor))
    , mPort(mAcceptor->local_endpoint().port())
    , mSharedState(std::make_shared<SharedState>())
  {
  }

  void Accept()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopped) {
      return;
    }
    mAcceptor->async_accept(
      asio::any_io_executor(asio::make_strand(mNetwork.Internals().mContext)),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          self->mNetwork.PostAfter(kAcceptRetryDelay,
                                   [self] { self->Accept(); });
          return;
        }
        self->StartSession(std::move(aSocket));
        self->Accept();
      });
  }

  void StartSession(tcp::socket aSocket) const
  {
    auto session = std::make_shared<Session>(std::move(aSocket), mSharedState);
    bool refused = false;
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      refused = mSharedState->mSessions.size() >=
                mSharedState->mOptions.mMaxConnections;
      if (!refused) {
        mSharedState->mSessions.emplace(session.get(), session);
      }
    }
    if (refused) {
      ++mSharedState->mRefused;
      return;
    }
    session->Start();
  }

  void Close(bool aIdleOnly)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
      boost::system::error_code ec;
      mAcceptor->close(ec);
    }
    mSharedState->mDraining = true;
    std::vector<std::shared_ptr<Session>> sessions;
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      for (const auto& [key, weakSession] : mSharedState->mSessions) {
        if (auto session = weakSession.lock()) {
          sessions.push_back(std::move(session));
        }
      }
    }
    for (const auto& session : sessions) {
      session->Close(aIdleOnly);
    }
  }

  Network& mNetwork;
  std::unique_ptr<tcp::acceptor> mAcceptor;
  const std::uint16_t mPort;
  std::shared_ptr<SharedState> mSharedState;
  std::mutex mMutex; ///< guards mAcceptor and mStopped
  bool mStopped = false;
};

base::Outcome<std::unique_ptr<HttpServer>>
HttpServer::Listen(Network& aNetwork,
                   const Address& aAddress,
                   const HttpServerOptions& aOptions,
                   ServerHandler aHandler)
{
  auto acceptor = transport::Listen(aNetwork.Internals().mContext, aAddress);
  if (!acceptor) {
    return acceptor.LastFailure();
  }
  auto impl = std::make_shared<Impl>(aNetwork, std::move(*acceptor));
  impl->mSharedState->mOptions = aOptions;
  impl->mSharedState->mHandler = std::move(aHandler);
  impl->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpServer::~HttpServer()
{
  mImpl->Close(false);
}

void
HttpServer::Drain()
{
  mImpl->Close(true);
}

std::size_t
HttpServer::RequestsInProgress() const
{
  return mImpl->mSharedState->mInProgress;
}

std::uint64_t
HttpServer::RefusedConnections() const
{
  return mImpl->mSharedState->mRefused;
}

std::uint16_t
HttpServer::Port() const
{
  return mImpl->mPort;
}

} // namespace dogwooddrum::transport
