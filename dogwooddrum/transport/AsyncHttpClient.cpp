#include "dogwooddrum/transport/AsyncHttpClient.h"

#include "dogwooddrum/transport/NetworkImpl.h"
#include "dogwooddrum/transport/ResponseReader.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <unordered_map>

namespace dogwooddrum::transport {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** One call. Members are accessed on the strand of the stream only. */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(asio::io_context& aContext,
           HttpCall aCall,
           std::function<void()> aOnSending,
           std::function<void(HttpResult)> aOnDone)
    : mStream(asio::any_io_executor(asio::make_strand(aContext)))
    , mCall(std::move(aCall))
    , mOnSending(std::move(aOnSending))
    , mOnDone(std::move(aOnDone))
    , mReader(mCall.mMaxAnswerBytes)
  {
  }

  void Start()
  {
    asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      self->mStream.expires_after(self->mCall.mConnectTimeout);
      self->mStream.async_connect(
        ToEndpoint(self->mCall.mAddress),
        [self](beast::error_code aError) { self->OnConnect(aError); });
    });
  }

  void Cancel()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      self->mCancelled = true;
      self->mStream.close();
    });
  }

private:
  void OnConnect(beast::error_code aError)
  {
    if (aError || mCancelled) {
      Finish(aError, "connect");
      return;
    }
    beast::error_code ec;
    mStream.socket().set_option(tcp::no_delay(true), ec);
    mRequest.method(http::string_to_verb(mCall.mMethod));
    mRequest.target(mCall.mTarget);
    mRequest.version(11);
    mRequest.set(http::field::host, mCall.mAddress.mHost);
    mRequest.set(http::field::content_type, "application/json");
    mRequest.keep_alive(false);
    mRequest.body() = std::move(mCall.mBody);
    mRequest.prepare_payload();
    if (mOnSending) {
      mOnSending();
    }
    mDispatched = true;
    mStream.expires_after(mCall.mConnectTimeout);
    http::async_write(
      mStream,
      mRequest,
      [self = shared_from_this()](beast::error_code aWriteError, std::size_t) {
        self->OnSent(aWriteError);
      });
  }

  void OnSent(beast::error_code aError)
  {
    if (aError) {
      Finish(aError, "send");
      return;
    }
    if (mCall.mAnswerTimeout.count() > 0) {
      mStream.expires_after(mCall.mAnswerTimeout);
    } else {
      mStream.expires_never();
    }
    ReadMore();
  }

  void ReadMore()
  {
    mStream.async_read_some(
      mReader.Prepare(),
      [self = shared_from_this()](beast::error_code aReadError,
                                  std::size_t aBytes) {
        self->mReader.OnReceived(aReadError, aBytes);
        if (aReadError || self->mReader.IsDone()) {
          self->Finish(aReadError, "answer");
        } else {
          self->ReadMore();
        }
      });
  }

  void Finish(beast::error_code aError, const char* aStep)
  {
    HttpResult result;
    result.mDispatched = mDispatched;
    if (mCancelled) {
      result.mReason = base::Reason::Cancelled;
    } else if (ResponseReader::IsTooLarge(aError)) {
      result.mReason = base::Reason::AnswerTooLarge;
    } else if (aError) {
      result.mReason = base::Reason::TargetUnreachable;
    } else {
      auto message = mReader.Release();
      result.mStatus = message.result_int();
      result.mBody = std::move(message.body());
    }
    if (result.mReason != base::Reason::None) {
      result.mMessage = std::string(aStep) + " " + mCall.mAddress.mHost + ":" +
                        std::to_string(mCall.mAddress.mPort) + ": " +
                        aError.message();
    }
    mStream.close();
    const auto done = std::move(mOnDone);
    mOnDone = nullptr;
    done(std::move(result));
  }

  beast::tcp_stream mStream;
  HttpCall mCall;
  std::function<void()> mOnSending;
  std::function<void(HttpResult)> mOnDone;
  http::request<http::string_body> mRequest;
  ResponseReader mReader;
  bool mDispatched = false;
  bool mCancelled = false;
};

} // namespace

struct AsyncHttpClient::Impl
{
  explicit Impl(Network& aNetwork)
    : mNetwork(aNetwork)
  {
  }
  Network& mNetwork;
  std::mutex mMutex; ///< guards the members below
  std::uint64_t mNextCallId = 1;
  bool mStopped = false;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> mCalls;
};

AsyncHttpClient::AsyncHttpClient(Network& aNetwork)
  : mImpl(std::make_shared<Impl>(aNetwork))
{
}

AsyncHttpClient::~AsyncHttpClient()
{
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> calls;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mStopped = true;
    calls.swap(mImpl->mCalls);
  }
  for (const auto& [id, call] : calls) {
    call->Cancel();
  }
}

std::uint64_t
AsyncHttpClient::Start(const HttpCall& aCall,
                       std::function<void()> aOnSending,
                       std::function<void(HttpResult)> aOnDone)
{
  std::shared_ptr<Exchange> exchange;
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    id = mImpl->mNextCallId++;
    auto done =
      [impl = mImpl, id, aOnDone = std::move(aOnDone)](HttpResult aResult) {
        {
          const std::lock_guard<std::mutex> doneLock(impl->mMutex);
          impl->mCalls.erase(id);
          if (impl->mStopped) {
            return;
          }
        }
        aOnDone(std::move(aResult));
      };
    exchange = std::make_shared<Exchange>(mImpl->mNetwork.Internals().mContext,
                                          aCall,
                                          std::move(aOnSending),
                                          std::move(done));
    mImpl->mCalls.emplace(id, exchange);
  }
  exchange->Start();
  return id;
}

void
AsyncHttpClient::Cancel(std::uint64_t aCall)
{
  std::shared_ptr<Exchange> exchange;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    const auto it = mImpl->mCalls.find(aCall);
    if (it == mImpl->mCalls.end()) {
      return;
    }
    exchange = it->second;
  }
  exchange->Cancel();
}

} // namespace dogwooddrum::transport
