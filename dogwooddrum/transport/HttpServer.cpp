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

/** Longest time for which a refused request is read on. */
constexpr base::Duration kLingerTime = base::Milliseconds(2000);
/** Most bytes of a refused request that are read on. */
constexpr std::uint64_t kMaxLingerBytes = 16ULL << 20;
constexpr std::size_t kDiscardBytes = 16U << 10;

constexpr base::Duration kAcceptPause = base::Milliseconds(50);

int
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/** Leaves malformed escapes as they are. */
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

/** What sessions share. */
struct Shared
{
  HttpServerOptions mOptions;
  ServerHandler mHandler;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::size_t> mInProgress{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::mutex mMutex; ///< guards mSessions
  std::unordered_map<Session*, std::weak_ptr<Session>> mSessions;
};

/** One connection; its members are used on its strand only. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<Shared> aShared)
    : mStream(std::move(aSocket))
    , mShared(std::move(aShared))
  {
  }

  ~Session()
  {
    const std::lock_guard<std::mutex> lock(mShared->mMutex);
    mShared->mSessions.erase(this);
  }

  void Start()
  {
    asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ec;
      self->mStream.socket().set_option(tcp::no_delay(true), ec);
      self->Read();
    });
  }

  /** Closes the connection, or only if no request is in progress. */
  void Close(bool aOnlyIdle)
  {
    asio::post(mStream.get_executor(), [self = shared_from_this(), aOnlyIdle] {
      if (!aOnlyIdle || !self->mBusy) {
        self->mStream.close();
      }
    });
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->header_limit(mShared->mOptions.mMaxHeaderBytes);
    mParser->body_limit(mShared->mOptions.mMaxBodyBytes);
    mStream.expires_after(mShared->mOptions.mIdleTimeout);
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
    mHead = message.method() == http::verb::head;
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
    Begin();
    mShared->mHandler(std::move(request),
                      [self = shared_from_this()](ServerResponse aResponse) {
                        self->Respond(std::move(aResponse));
                      });
  }

  void Begin()
  {
    mBusy = true;
    ++mShared->mInProgress;
    mStream.expires_never();
  }

  void Refuse(unsigned aStatus, const char* aWhy)
  {
    Begin();
    mKeepAlive = false;
    mRefused = true;
    ServerResponse response;
    response.mStatus = aStatus;
    response.mBody =
      std::string(R"({"reason":"invalid_request","ran":"not_run",)") +
      R"("retry":false,"retry_after_ms":0,"message":")" + aWhy + "\"}";
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
    mResponse->keep_alive(mKeepAlive && !mShared->mDraining);
    mResponse->set(http::field::content_type, aResponse.mContentType);
    for (const auto& [name, value] : aResponse.mHeaders) {
      mResponse->set(name, value);
    }
    mResponse->body() = std::move(aResponse.mBody);
    mResponse->prepare_payload();
    if (mHead) {
      mResponse->body().clear();
    }
    mStream.expires_after(mShared->mOptions.mIdleTimeout);
    http::async_write(
      mStream,
      *mResponse,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(beast::error_code aError)
  {
    --mShared->mInProgress;
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

  /** Reads and drops what the caller still sends. Closing with unread bytes
   * resets the connection, and the caller may then lose the refusal. */
  void Linger()
  {
    mStream.async_read_some(asio::buffer(mDiscard),
                            [self = shared_from_this()](
                              beast::error_code aError, std::size_t aBytes) {
                              self->mLingered += aBytes;
                              if (aError || self->mLingered > kMaxLingerBytes) {
                                self->mStream.close();
                                return;
                              }
                              self->Linger();
                            });
  }

  beast::tcp_stream mStream;
  std::shared_ptr<Shared> mShared;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  std::optional<http::response<http::string_body>> mResponse;
  unsigned mVersion = 11;
  bool mKeepAlive = false;
  bool mHead = false;
  bool mBusy = false;
  bool mRefused = false; ///< a part of the request may be unread
  std::vector<char> mDiscard;
  std::uint64_t mLingered = 0;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(Network& aNetwork, std::unique_ptr<tcp::acceptor> aAcceptor)
    : mNetwork(aNetwork)
    , mAcceptor(std::move(aAcceptor))
    , mPort(mAcceptor->local_endpoint().port())
    , mShared(std::make_shared<Shared>())
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
          self->mNetwork.PostAfter(kAcceptPause, [self] { self->Accept(); });
          return;
        }
        self->Add(std::move(aSocket));
        self->Accept();
      });
  }

  void Add(tcp::socket aSocket) const
  {
    auto session = std::make_shared<Session>(std::move(aSocket), mShared);
    bool refused = false;
    {
      const std::lock_guard<std::mutex> lock(mShared->mMutex);
      refused = mShared->mSessions.size() >= mShared->mOptions.mMaxConnections;
      if (!refused) {
        mShared->mSessions.emplace(session.get(), session);
      }
    }
    if (refused) {
      ++mShared->mRefused;
      return;
    }
    session->Start();
  }

  void Close(bool aOnlyIdle)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
      boost::system::error_code ec;
      mAcceptor->close(ec);
    }
    mShared->mDraining = true;
    std::vector<std::shared_ptr<Session>> sessions;
    {
      const std::lock_guard<std::mutex> lock(mShared->mMutex);
      for (const auto& [key, weak] : mShared->mSessions) {
        if (auto session = weak.lock()) {
          sessions.push_back(std::move(session));
        }
      }
    }
    for (const auto& session : sessions) {
      session->Close(aOnlyIdle);
    }
  }

  Network& mNetwork;
  std::unique_ptr<tcp::acceptor> mAcceptor;
  const std::uint16_t mPort;
  std::shared_ptr<Shared> mShared;
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
  impl->mShared->mOptions = aOptions;
  impl->mShared->mHandler = std::move(aHandler);
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
  return mImpl->mShared->mInProgress;
}

std::uint64_t
HttpServer::RefusedConnections() const
{
  return mImpl->mShared->mRefused;
}

std::uint16_t
HttpServer::Port() const
{
  return mImpl->mPort;
}

} // namespace dogwooddrum::transport
