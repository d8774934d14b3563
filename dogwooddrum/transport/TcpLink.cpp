#include "dogwooddrum/transport/TcpLink.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace dogwooddrum::transport {

namespace {

/** Maximum number of bytes received from a peer before it is authenticated. */
constexpr std::size_t kMaxHandshakeBytes = 4096;

constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames = {
  "requested", "peer_closed", "connect_failed", "handshake_failed", "malformed",
  "silent",    "queue_full",  "too_many_links", "socket_error"
};

std::uint64_t
NextLinkId()
{
  static std::atomic<std::uint64_t> sNext{ 1 };
  return sNext++;
}

} // namespace

std::string_view
ToString(CloseReason aReason)
{
  return kCloseReasonNames.at(static_cast<std::size_t>(aReason));
}

TcpLink::TcpLink(tcp::socket aSocket,
                 Side aSide,
                 const LinkOptions& aOptions,
                 const LinkEvents& aEvents,
                 LinkCounters& aCounters,
                 EndedHandler aEnded)
  : mId(NextLinkId())
  , mSide(aSide)
  , mOptions(aOptions)
  , mEvents(aEvents)
  , mCounters(aCounters)
  , mOnEnded(std::move(aEnded))
  , mSocket(std::move(aSocket))
  , mSilenceTimer(mSocket.get_executor())
  , mHeartbeatTimer(mSocket.get_executor())
{
  mOwnHello.mIdentity = mOptions.mSelf;
  mOwnHello.mNonce = MakeNonce();
}

void
TcpLink::Start()
{
  asio::dispatch(mSocket.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->mSocket.set_option(tcp::no_delay(true), ec);
    self->mStarted = std::chrono::steady_clock::now();
    self->mLastReceived = self->mStarted;
    if (self->mSide == Side::Connecting) {
      self->QueueFrame(protocol::EncodeFrame(protocol::MessageType::Hello,
                                             EncodeHello(self->mOwnHello)));
    }
    self->ArmSilenceTimer();
    self->Read();
  });
}

bool
TcpLink::Send(protocol::MessageType aType, std::string_view aPayload)
{
  if (aPayload.size() > protocol::kMaxFrameBytes) {
    ++mCounters.mOversizedFrames;
    return false;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mClosed) {
      return false;
    }
  }
  QueueFrame(protocol::EncodeFrame(aType, aPayload));
  return true;
}

void
TcpLink::QueueFrame(const std::string& aFrame)
{
  bool full = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mClosed) {
      return;
    }
    full =
      mQueued.size() + mWritingBytes + aFrame.size() > mOptions.mMaxQueueBytes;
    if (!full) {
      mQueued.append(aFrame);
      if (mWriteScheduled) {
        return;
      }
      mWriteScheduled = true;
    }
  }
  if (full) {
    Close(CloseReason::QueueFull);
    return;
  }
  asio::post(mSocket.get_executor(),
             [self = shared_from_this()] { self->WriteQueued(); });
}

void
TcpLink::WriteQueued()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mWritingBytes = mQueued.size();
    if (mWritingBytes == 0 || mClosed) {
      mWriteScheduled = false;
      return;
    }
    mWriting.clear();
    mWriting.swap(mQueued);
  }
  asio::async_write(
    mSocket,
    asio::buffer(mWriting),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      if (aError) {
        self->End(CloseReason::SocketError);
        return;
      }
      self->mCounters.mSentBytes += aBytes;
      self->WriteQueued();
    });
}

void
TcpLink::Read()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      if (aError) {
        self->End(aError == asio::error::eof ||
                      aError == asio::error::connection_reset
                    ? CloseReason::PeerClosed
                    : CloseReason::SocketError);
        return;
      }
      self->OnRead(aBytes);
    });
}

void
TcpLink::OnRead(std::size_t aBytes)
{
  mLastReceived = std::chrono::steady_clock::now();
  mCounters.mReceivedBytes += aBytes;
  mReader.Append(std::string_view(mReadBuffer.data(), aBytes));
  while (mState != State::Closed) {
    auto next = mReader.Next();
    if (!next) {
      End(CloseReason::Malformed);
      return;
    }
    if (!next->has_value()) {
      break;
    }
    if (!OnFrame(**next)) {
      return;
    }
  }
  if (mState == State::Closed) {
    return;
  }
  if (mState != State::Up) {
    mHandshakeBytes += aBytes;
    if (mHandshakeBytes > kMaxHandshakeBytes) {
      End(CloseReason::HandshakeFailed);
      return;
    }
  }
  Read();
}

bool
TcpLink::OnFrame(protocol::Frame& aFrame)
{
  switch (mState) {
    case State::ExpectHello:
      if (aFrame.mType == protocol::MessageType::Hello &&
          OnHello(aFrame.mPayload)) {
        return true;
      }
      break;
    case State::ExpectProof:
      if (aFrame.mType == protocol::MessageType::Proof &&
          OnProof(aFrame.mPayload)) {
        return true;
      }
      break;
    case State::Up:
      if (aFrame.mType == protocol::MessageType::Hello ||
          aFrame.mType == protocol::MessageType::Proof) {
        End(CloseReason::Malformed);
        return false;
      }
      if (aFrame.mType != protocol::MessageType::LinkHeartbeat) {
        mEvents.mFrame(shared_from_this(), std::move(aFrame));
      }
      return true;
    case State::Closed:
      return false;
  }
  End(CloseReason::HandshakeFailed);
  return false;
}

bool
TcpLink::OnHello(const std::string& aPayload)
{
  auto hello = DecodeHello(aPayload);
  if (!hello) {
    return false;
  }
  mPeerHello = *hello;
  mState = State::ExpectProof;
  if (mSide == Side::Accepting) {
    QueueFrame(protocol::EncodeFrame(protocol::MessageType::Hello,
                                     EncodeHello(mOwnHello)));
  } else {
    SendProof();
  }
  return true;
}

bool
TcpLink::OnProof(const std::string& aPayload)
{
  const Side peerSide =
    mSide == Side::Connecting ? Side::Accepting : Side::Connecting;
  const auto expected =
    MakeProof(mOptions.mKey, peerSide, ConnectingHello(), AcceptingHello());
  if (!EqualInConstantTime(expected, aPayload)) {
    return false;
  }
  if (mSide == Side::Accepting) {
    SendProof();
  }
  EnterUpState();
  return true;
}

const Hello&
TcpLink::ConnectingHello() const
{
  return mSide == Side::Connecting ? mOwnHello : mPeerHello;
}

const Hello&
TcpLink::AcceptingHello() const
{
  return mSide == Side::Accepting ? mOwnHello : mPeerHello;
}

void
TcpLink::SendProof()
{
  QueueFrame(protocol::EncodeFrame(
    protocol::MessageType::Proof,
    MakeProof(mOptions.mKey, mSide, ConnectingHello(), AcceptingHello())));
}

void
TcpLink::EnterUpState()
{
  mPeer = mPeerHello.mIdentity;
  mState = State::Up;
  SendHeartbeats();
  mEvents.mUp(shared_from_this());
}

std::chrono::steady_clock::time_point
TcpLink::ReceiveDeadline() const
{
  return mState == State::Up ? mLastReceived + mOptions.mSilenceTimeout
                             : mStarted + mOptions.mHandshakeTimeout;
}

void
TcpLink::ArmSilenceTimer()
{
  mSilenceTimer.expires_at(ReceiveDeadline());
  mSilenceTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (aError || self->mState == State::Closed) {
        return;
      }
      if (self->ReceiveDeadline() > std::chrono::steady_clock::now()) {
        self->ArmSilenceTimer();
        return;
      }
      self->End(self->mState == State::Up ? CloseReason::Silent
                                          : CloseReason::HandshakeFailed);
    });
}

void
TcpLink::SendHeartbeats()
{
  QueueFrame(protocol::EncodeFrame(protocol::MessageType::LinkHeartbeat, ""));
  mHeartbeatTimer.expires_after(mOptions.mHeartbeatInterval);
  mHeartbeatTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->mState == State::Up) {
        self->SendHeartbeats();
      }
    });
}

void
TcpLink::Close(CloseReason aReason)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClosed = true;
  }
  asio::post(mSocket.get_executor(),
             [self = shared_from_this(), aReason] { self->End(aReason); });
}

void
TcpLink::End(CloseReason aReason)
{
  if (mState == State::Closed) {
    return;
  }
  const bool wasUp = mState == State::Up;
  mState = State::Closed;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClosed = true;
    mQueued.clear();
  }
  ++mCounters.mClosed.at(static_cast<std::size_t>(aReason));
  boost::system::error_code ec;
  mSocket.shutdown(tcp::socket::shutdown_both, ec);
  mSocket.close(ec);
  mSilenceTimer.cancel();
  mHeartbeatTimer.cancel();
  const auto self = shared_from_this();
  if (wasUp) {
    mEvents.mClosed(self, aReason);
  }
  if (mOnEnded) {
    mOnEnded(self, aReason, wasUp);
  }
}

} // namespace dogwooddrum::transport
