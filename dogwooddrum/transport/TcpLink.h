/** \file
 * Defines TcpLink, which implements Link with Asio. Included only by source
 * files of this package.
 */
#pragma once

#include "dogwooddrum/transport/Link.h"
#include "dogwooddrum/transport/NetworkImpl.h"

#include <mutex>

namespace dogwooddrum::transport {

class TcpLink
  : public Link
  , public std::enable_shared_from_this<TcpLink>
{
public:
  /** Called once when the link has ended, also if the handshake failed. */
  using EndedHandler =
    std::function<void(const LinkPtr&, CloseReason, bool aWasUp)>;

  TcpLink(tcp::socket aSocket,
          Side aSide,
          const LinkOptions& aOptions,
          const LinkEvents& aEvents,
          LinkCounters& aCounters,
          EndedHandler aEnded);

  /** Starts the handshake. */
  void Start();

  bool Send(protocol::MessageType aType, std::string_view aPayload) override;
  void Close(CloseReason aReason) override;
  const PeerIdentity& Peer() const override { return mPeer; }
  std::uint64_t Id() const override { return mId; }

private:
  enum class State : std::uint8_t
  {
    ExpectHello,
    ExpectProof,
    Up,
    Closed,
  };

  void QueueFrame(const std::string& aFrame);
  void WriteQueued();
  void Read();
  void OnRead(std::size_t aBytes);
  bool OnFrame(protocol::Frame& aFrame);
  bool OnHello(const std::string& aPayload);
  bool OnProof(const std::string& aPayload);
  const Hello& ConnectingHello() const;
  const Hello& AcceptingHello() const;
  void SendProof();
  void EnterUpState();
  std::chrono::steady_clock::time_point ReceiveDeadline() const;
  void ArmSilenceTimer();
  void SendHeartbeats();
  void End(CloseReason aReason);

  const std::uint64_t mId;
  const Side mSide;
  const LinkOptions mOptions;
  const LinkEvents mEvents;
  LinkCounters& mCounters;
  EndedHandler mOnEnded;
  tcp::socket mSocket; ///< on a strand
  asio::steady_timer mSilenceTimer;
  asio::steady_timer mHeartbeatTimer;
  State mState = State::ExpectHello;
  Hello mOwnHello;
  Hello mPeerHello;
  PeerIdentity mPeer;
  protocol::FrameReader mReader;
  std::array<char, 64U << 10> mReadBuffer{};
  std::size_t mHandshakeBytes = 0;
  std::chrono::steady_clock::time_point mStarted;
  std::chrono::steady_clock::time_point mLastReceived;

  std::mutex mMutex; ///< guards the members below
  std::string mQueued;
  std::size_t mWritingBytes = 0;
  bool mWriteScheduled = false;
  bool mClosed = false;
  std::string mWriting; ///< owned by the write in progress
};

} // namespace dogwooddrum::transport
