/** \file
 * Defines the frame format of messages on a link: payload length u32, type u16,
 * version u16, xxhash64 of the payload, payload; all numbers little-endian.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwooddrum::protocol {

/** Size of a frame's header, in bytes. */
constexpr std::size_t kFrameHeaderBytes = 16;
/** Version of the wire format; frames with another version are refused. */
constexpr std::uint16_t kWireVersion = 1;

struct Frame
{
  MessageType mType = MessageType::LinkHeartbeat;
  std::string mPayload;
};

/**
 * Returns the bytes of a frame.
 * Precondition: aPayload has at most kMaxFrameBytes bytes. Thread safe.
 */
std::string
EncodeFrame(MessageType aType, std::string_view aPayload);

/** Splits a byte stream into frames. Not thread safe. */
class FrameReader
{
public:
  /** Appends received bytes to the buffer. */
  void Append(std::string_view aBytes);

  /**
   * Removes and returns the next complete frame. Returns an empty optional if
   * more bytes are needed, and MalformedFrame for invalid bytes. The reader
   * must not be used after a failure.
   */
  base::Outcome<std::optional<Frame>> Next();

private:
  std::string mBuffer;
  std::size_t mBegin = 0;
};

} // namespace dogwooddrum::protocol
