// Passes arbitrary bytes, in pieces, to the frame reader and each payload to
// the decoder of its type. The first byte is the size of the pieces. If its
// highest bit is set, the second byte is the type and the rest the payload of
// one valid frame, because random input rarely has a correct checksum.
#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/coordination/consensus/Codec.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/Frame.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace {

using namespace dogwooddrum;
using protocol::MessageType;

/** Decodes aPayload and checks that a decoded value survives encoding. */
template<typename T>
void
TryDecode(std::string_view aPayload)
{
  const auto value = protocol::Decode<T>(aPayload);
  if (!value) {
    return;
  }
  const std::string bytes = protocol::Encode(*value);
  const auto decodedAgain = protocol::Decode<T>(bytes);
  DOGWOODDRUM_INVARIANT(decodedAgain &&
                          protocol::Encode(*decodedAgain) == bytes,
                        "decoded value does not survive encoding");
}

void
DecodePayload(const protocol::Frame& aFrame)
{
  switch (aFrame.mType) {
    case MessageType::ClientRequest:
      return TryDecode<protocol::ClientRequest>(aFrame.mPayload);
    case MessageType::ClientReply:
      return TryDecode<protocol::ClientReply>(aFrame.mPayload);
    case MessageType::FreshnessPoll:
      return TryDecode<protocol::FreshnessPoll>(aFrame.mPayload);
    case MessageType::FreshnessReply:
      return TryDecode<protocol::FreshnessReply>(aFrame.mPayload);
    case MessageType::AgentHeartbeat:
      return TryDecode<protocol::AgentHeartbeat>(aFrame.mPayload);
    case MessageType::HeartbeatReply:
      return TryDecode<protocol::HeartbeatReply>(aFrame.mPayload);
    case MessageType::TaskCommand:
      return TryDecode<protocol::TaskCommand>(aFrame.mPayload);
    case MessageType::TaskReport:
      return TryDecode<protocol::TaskReport>(aFrame.mPayload);
    case MessageType::AnswerChunk:
      return TryDecode<protocol::AnswerChunk>(aFrame.mPayload);
    case MessageType::AnswerAck:
      return TryDecode<protocol::AnswerAck>(aFrame.mPayload);
    case MessageType::NotLeader:
      return TryDecode<protocol::NotLeader>(aFrame.mPayload);
    case MessageType::Consensus:
      return TryDecode<coordination::consensus::Message>(aFrame.mPayload);
    default:
      return;
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize < 2) {
    return 0;
  }
  std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::size_t piece = std::max(1, aData[0] & 0x7f);
  std::string stream;
  if ((aData[0] & 0x80) != 0) {
    stream = protocol::EncodeFrame(static_cast<MessageType>(aData[1]),
                                   bytes.substr(2));
  } else {
    stream = bytes.substr(1);
  }
  protocol::FrameReader reader;
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    reader.Append(std::string_view(stream).substr(at, piece));
    for (;;) {
      const auto next = reader.Next();
      if (!next) {
        return 0; // The link would be closed.
      }
      if (!next->has_value()) {
        break;
      }
      DecodePayload(**next);
    }
  }
  return 0;
}
