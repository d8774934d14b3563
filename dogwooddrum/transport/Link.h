/** \file
 * Defines Link, an authenticated TCP connection for frames, with heartbeats, a
 * bounded send queue and counters of close reasons.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Frame.h"
#include "dogwooddrum/transport/Handshake.h"
#include "dogwooddrum/transport/ReconnectBackoff.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dogwooddrum::transport {

/** Reason for which a link ended. */
enum class CloseReason : std::uint8_t
{
  Requested,       ///< this process closed it
  PeerClosed,      ///< the other end closed it
  ConnectFailed,   ///< the connection attempt failed or timed out
  HandshakeFailed, ///< wrong key, wrong message order or timeout
  Malformed,       ///< received an invalid frame
  Silent,          ///< nothing received within LinkOptions::mSilenceTimeout
  QueueFull,       ///< more unsent bytes than LinkOptions::mMaxQueueBytes
  TooManyLinks,    ///< the server's limit of links is reached
  SocketError,
  Count,
};

constexpr std::size_t kCloseReasonCount =
  static_cast<std::size_t>(CloseReason::Count);

/** Returns the snake_case name for metrics. Thread safe. */
std::string_view
ToString(CloseReason aReason);

/** Counters over all links of a process. Thread safe. */
struct LinkCounters
{
  std::array<std::atomic<std::uint64_t>, kCloseReasonCount> mClosed{};
  std::atomic<std::uint64_t> mSentBytes{ 0 };
  std::atomic<std::uint64_t> mReceivedBytes{ 0 };
  std::atomic<std::uint64_t> mOversizedFrames{ 0 };
};

struct LinkOptions
{
  PeerIdentity mSelf;
  std::string mKey;
  base::Duration mHeartbeatInterval = base::Milliseconds(500);
  base::Duration mSilenceTimeout = base::Milliseconds(1500);
  base::Duration mHandshakeTimeout = base::Milliseconds(1000);
  ReconnectOptions mReconnect;
  /** Fits four answers of the maximum size. A peer that keeps reading never has
   * this many unsent bytes. */
  std::size_t mMaxQueueBytes = 32U << 20;
};

class Link;
using LinkPtr = std::shared_ptr<Link>;

/**
 * Callbacks of a link. They run on network threads, one at a time for each
 * link, and must not block.
 */
struct LinkEvents
{
  std::function<void(const LinkPtr&)> mUp; ///< the handshake has succeeded
  std::function<void(const LinkPtr&, protocol::Frame)> mFrame;
  std::function<void(const LinkPtr&, CloseReason)> mClosed; ///< only after mUp
  /** Optional: an accepted connection from the address failed the handshake. */
  std::function<void(const std::string&)> mRefused;
};

/** One authenticated connection. Thread safe. */
class Link
{
public:
  virtual ~Link() = default;
  /**
   * Queues a frame. Returns false if the link is closed or aPayload exceeds
   * the frame limit; a full queue closes the link.
   */
  virtual bool Send(protocol::MessageType aType, std::string_view aPayload) = 0;
  /** Closes the link; LinkEvents::mClosed runs later if mUp ran. */
  virtual void Close(CloseReason aReason) = 0;
  /** Returns the identity of the other end. Valid once mUp was called. */
  virtual const PeerIdentity& Peer() const = 0;
  /** Returns an id that is unique within this process. */
  virtual std::uint64_t Id() const = 0;
};

} // namespace dogwooddrum::transport
