#include "dogwooddrum/transport/HttpServer.h"

#include "dogwooddrum/transport/ConnectionTable.h"
#include "dogwooddrum/transport/NetworkImpl.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <mutex>
#include <optional>
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

/** Most bytes of a read. */
constexpr std::size_t kReadBytes = 16U << 10;
/** An idle connection keeps a buffer of at most this capacity. */
constexpr std::size_t kIdleBufferBytes = 2U << 10;

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
  SharedState(const HttpServerOptions& aOptions, ServerHandler aHandler)
    : mOptions(aOptions)
    , mHandler(std::move(aHandler))
    , mTable(aOptions.mMaxConnections, aOptions.mMaxRequestBytes)
  {
  }

  void Count(HttpRefusal aReason) const
  {
    if (mOptions.mCounters != nullptr) {
      ++mOptions.mCounters->mRefused.at(static_cast<std::size_t>(aReason));
    }
  }
  /** Returns the session, or null if it has ended. Precondition: mMutex is
   * held. */
  std::shared_ptr<Session> Find(std::optional<ConnectionTable::Id> aId) const
  {
    const auto it = aId ? mSessions.find(*aId) : mSessions.end();
    return it == mSessions.end() ? nullptr : it->second.lock();
  }

  const HttpServerOptions mOptions;
  const ServerHandler mHandler;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::size_t> mInProgress{ 0 };
  std::mutex mMutex; ///< guards the members below
  ConnectionTable mTable;
  ConnectionTable::Id mLastId = 0;
  std::unordered_map<ConnectionTable::Id, std::weak_ptr<Session>> mSessions;
};

/** One connection. Members are accessed on the strand of the stream only. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket,
          std::shared_ptr<SharedState> aShared,
          ConnectionTable::Id aId)
    : mStream(std::move(aSocket))
    , mSharedState(std::move(aShared))
    , mId(aId)
    , mBuffer(mSharedState->mOptions.mMaxHeaderBytes + kReadBytes)
  {
  }

  ~Session()
  {
    const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
    mSharedState->mTable.Remove(mId);
    mSharedState->mSessions.erase(mId);
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

  /** Refuses the request that is being read, or closes a connection without
   * one. A request that has become complete is still handled. */
  void Shed(HttpRefusal aReason)
  {
    asio::post(mStream.get_executor(), [self = shared_from_this(), aReason] {
      if (self->mBusy) {
        self->mMustClose = true;
        return;
      }
      self->mSharedState->Count(aReason);
      if (self->mRefused) {
        self->mStream.close();
        return;
      }
      self->mIsShed = true;
      self->mStream.cancel();
    });
  }

private:
  using Clock = std::chrono::steady_clock;

  void Read()
  {
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(mSharedState->mOptions.mMaxHeaderBytes);
    mParser->body_limit(mSharedState->mOptions.mMaxBodyBytes);
    mParsedBytes = 0;
    mIsHeaderChecked = false;
    mIsIdle = true;
    if (mBuffer.size() == 0 && mBuffer.capacity() > kIdleBufferBytes) {
      mBuffer.shrink_to_fit();
    }
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      mSharedState->mTable.BeginReading(mId);
    }
    Parse();
  }

  void ReadMore()
  {
    const auto space =
      std::min(kReadBytes, mBuffer.max_size() - mBuffer.size());
    if (space == 0) {
      Refuse(431, HttpRefusal::HeaderTooLarge, "header exceeds the limit");
      return;
    }
    if (mIsIdle) {
      mStream.expires_after(mSharedState->mOptions.mIdleTimeout);
    } else {
      mStream.expires_at(mFirstByteAt +
                         (mParser->is_header_done()
                            ? mSharedState->mOptions.mRequestTimeout
                            : mSharedState->mOptions.mHeaderTimeout));
    }
    mStream.async_read_some(
      mBuffer.prepare(mIsIdle ? std::min(space, kIdleBufferBytes) : space),
      [self = shared_from_this()](beast::error_code aError,
                                  std::size_t aBytes) {
        self->OnReceived(aError, aBytes);
      });
  }

  void OnReceived(beast::error_code aError, std::size_t aBytes)
  {
    mBuffer.commit(aBytes);
    if (!aError) {
      Parse();
      return;
    }
    const bool timedOut = aError == beast::error::timeout;
    if (mIsShed && !mIsIdle && aError == asio::error::operation_aborted) {
      RefuseShed();
    } else if (aError == asio::error::eof && !mIsIdle) {
      Refuse(400, HttpRefusal::Malformed, "malformed request");
    } else {
      if (timedOut && !mIsIdle) {
        mSharedState->Count(HttpRefusal::TimedOut);
      }
      mStream.close();
    }
  }

  /** Parses the received bytes and reads more if the request needs them. */
  void Parse()
  {
    if (mIsIdle && mBuffer.size() > 0) {
      mIsIdle = false;
      mFirstByteAt = Clock::now();
    }
    beast::error_code ec;
    while (!ec && mBuffer.size() > 0 && !mParser->is_done()) {
      const auto parsed = mParser->put(mBuffer.data(), ec);
      mBuffer.consume(parsed);
      mParsedBytes += parsed;
    }
    if (ec && ec != http::error::need_more) {
      OnMalformed(ec);
    } else if (!IsWithinLimits()) {
      return;
    } else if (mParser->is_done()) {
      Handle();
    } else if (mIsShed) {
      RefuseShed();
    } else {
      CountBytes();
      ReadMore();
    }
  }

  void OnMalformed(beast::error_code aError)
  {
    if (aError == http::error::body_limit) {
      Refuse(413, HttpRefusal::BodyTooLarge, "body exceeds the limit");
    } else if (aError == http::error::header_limit) {
      Refuse(431, HttpRefusal::HeaderTooLarge, "header exceeds the limit");
    } else {
      Refuse(400, HttpRefusal::Malformed, "malformed request");
    }
  }

  /** Refuses a request with too many fields, trailers or bytes around its body.
   * Returns false if it did. */
  bool IsWithinLimits()
  {
    if (!mParser->is_header_done()) {
      return true;
    }
    const auto& options = mSharedState->mOptions;
    const auto& message = mParser->get();
    if (!mIsHeaderChecked || mParser->is_done()) {
      mIsHeaderChecked = true;
      const auto fields = std::distance(message.begin(), message.end());
      if (static_cast<std::uint64_t>(fields) > options.mMaxFields) {
        Refuse(431, HttpRefusal::HeaderTooLarge, "too many fields");
        return false;
      }
      const auto target = message.target();
      if (std::count(target.begin(), target.end(), '&') >
          static_cast<std::ptrdiff_t>(options.mMaxFields)) {
        Refuse(400, HttpRefusal::HeaderTooLarge, "too many parameters");
        return false;
      }
    }
    const std::uint64_t bodyBytes = message.body().size();
    // The header and the trailers each have the limit of a header.
    if (mParsedBytes - bodyBytes >
        MaxFramingBytes(2ULL * options.mMaxHeaderBytes, bodyBytes)) {
      Refuse(400, HttpRefusal::FramingTooLarge, "chunk framing too large");
      return false;
    }
    return true;
  }

  /** Returns the bytes that the request holds in memory, about. */
  std::size_t RequestBytes() const
  {
    const auto body =
      mParser->is_header_done() ? mParser->get().body().size() : 0;
    return static_cast<std::size_t>(std::min<std::uint64_t>(
             mParsedBytes - body, mSharedState->mOptions.mMaxHeaderBytes)) +
           body;
  }

  void CountBytes()
  {
    std::shared_ptr<Session> shed;
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      shed = mSharedState->Find(mSharedState->mTable.SetBytes(
        mId, RequestBytes() + mBuffer.capacity()));
    }
    if (shed) {
      shed->Shed(HttpRefusal::MemoryShed);
    }
  }

  /** Moves the bytes of the request from the connection to the request. */
  std::shared_ptr<void> HoldBytes()
  {
    const auto bytes = RequestBytes();
    const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
    mSharedState->mTable.SetBytes(mId, 0);
    mSharedState->mTable.Hold(bytes);
    return { nullptr, [shared = mSharedState, bytes](void*) {
              const std::lock_guard<std::mutex> releaseLock(shared->mMutex);
              shared->mTable.Release(bytes);
            } };
  }

  void Handle()
  {
    mIsShed = false;
    ServerRequest request;
    request.mHeldBytes = HoldBytes();
    auto message = mParser->release();
    mKeepAlive = message.keep_alive();
    mVersion = message.version();
    mIsHeadRequest = message.method() == http::verb::head;
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
    mParser.reset();
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
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      mSharedState->mTable.BeginHandling(mId);
    }
    mStream.expires_never();
  }

  void Refuse(unsigned aStatus, HttpRefusal aReason, const char* aMessage)
  {
    mSharedState->Count(aReason);
    Refuse(
      aStatus, R"("invalid_request","ran":"not_run","retry":false)", aMessage);
  }

  void RefuseShed()
  {
    Refuse(503,
           R"("load_shed","ran":"not_run","retry":true)",
           "too many requests at once");
  }

  void Refuse(unsigned aStatus, const char* aFields, const char* aMessage)
  {
    BeginRequest();
    mKeepAlive = false;
    mRefused = true;
    mParser.reset();
    mBuffer.clear();
    mBuffer.shrink_to_fit();
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      mSharedState->mTable.SetBytes(mId, 0);
    }
    ServerResponse response;
    response.mStatus = aStatus;
    response.mBody = std::string(R"({"reason":)") + aFields +
                     R"(,"retry_after_ms":0,"message":")" + aMessage + "\"}";
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
    if (mMustClose) {
      mStream.close();
      return;
    }
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
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      mSharedState->mTable.BeginReading(mId); // may be shed
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
  const ConnectionTable::Id mId;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  std::optional<http::response<http::string_body>> mResponse;
  unsigned mVersion = 11;
  bool mKeepAlive = false;
  bool mIsHeadRequest = false;
  std::uint64_t mParsedBytes = 0; ///< of the present request
  Clock::time_point mFirstByteAt;
  bool mIsIdle = true; ///< no byte of a request was received
  bool mIsHeaderChecked = false;
  bool mIsShed = false;
  bool mMustClose = false; ///< shed after its request was complete
  bool mBusy = false;
  bool mRefused = false; ///< part of the request may be unread
  std::vector<char> mDiscard;
  std::uint64_t mLingerBytes = 0;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(Network& aNetwork,
       std::unique_ptr<tcp::acceptor> aAcceptor,
       std::shared_ptr<SharedState> aShared)
    : mNetwork(aNetwork)
    , mAcceptor(std::move(aAcceptor))
    , mPort(mAcceptor->local_endpoint().port())
    , mSharedState(std::move(aShared))
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
          if (aError == asio::error::no_descriptors) {
            self->ShedLongestWaiting();
          }
          self->mNetwork.PostAfter(kAcceptRetryDelay,
                                   [self] { self->Accept(); });
          return;
        }
        self->StartSession(std::move(aSocket));
        self->Accept();
      });
  }

  /** Makes descriptors free for new callers. */
  void ShedLongestWaiting() const
  {
    std::vector<std::shared_ptr<Session>> sessions;
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      for (const auto id : mSharedState->mTable.ShedLongestWaiting()) {
        sessions.push_back(mSharedState->Find(id));
      }
    }
    for (const auto& session : sessions) {
      if (session) {
        session->Shed(HttpRefusal::ConnectionShed);
      }
    }
  }

  void StartSession(tcp::socket aSocket) const
  {
    std::shared_ptr<Session> session;
    std::shared_ptr<Session> shed;
    {
      const std::lock_guard<std::mutex> lock(mSharedState->mMutex);
      const auto id = ++mSharedState->mLastId;
      const auto admitted = mSharedState->mTable.Add(id);
      shed = mSharedState->Find(admitted.mShed);
      if (admitted.mIsAdmitted) {
        session =
          std::make_shared<Session>(std::move(aSocket), mSharedState, id);
        mSharedState->mSessions.emplace(id, session);
      }
    }
    if (shed) {
      shed->Shed(HttpRefusal::ConnectionShed);
    }
    if (!session) {
      mSharedState->Count(HttpRefusal::TooManyConnections);
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
  auto impl = std::make_shared<Impl>(
    aNetwork,
    std::move(*acceptor),
    std::make_shared<SharedState>(aOptions, std::move(aHandler)));
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

std::uint16_t
HttpServer::Port() const
{
  return mImpl->mPort;
}

} // namespace dogwooddrum::transport
