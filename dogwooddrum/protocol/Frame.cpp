#include "dogwooddrum/protocol/Frame.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/base/Checksum.h"

#include <cstring>

namespace dogwooddrum::protocol {

namespace {

/** Consumed bytes at the front of the buffer above which it is compacted. */
constexpr std::size_t kCompactionThreshold = 64U << 10;

struct Header
{
  std::uint32_t mLength = 0;
  std::uint16_t mType = 0;
  std::uint16_t mVersion = 0;
  std::uint64_t mChecksum = 0;
};
static_assert(sizeof(Header) == kFrameHeaderBytes);

base::Failure
Malformed(std::string aMessage)
{
  return { base::Reason::MalformedFrame, std::move(aMessage) };
}

std::optional<base::Failure>
CheckHeader(const Header& aHeader)
{
  if (aHeader.mLength > kMaxFrameBytes) {
    return Malformed("frame of " + std::to_string(aHeader.mLength) +
                     " bytes exceeds " + std::to_string(kMaxFrameBytes));
  }
  if (aHeader.mVersion != kWireVersion) {
    return Malformed("wire version " + std::to_string(aHeader.mVersion) +
                     ", expected " + std::to_string(kWireVersion));
  }
  return std::nullopt;
}

} // namespace

std::string
EncodeFrame(MessageType aType, std::string_view aPayload)
{
  DOGWOODDRUM_INVARIANT(aPayload.size() <= kMaxFrameBytes,
                        "frame payload exceeds kMaxFrameBytes");
  Header header;
  header.mLength = static_cast<std::uint32_t>(aPayload.size());
  header.mType = static_cast<std::uint16_t>(aType);
  header.mVersion = kWireVersion;
  header.mChecksum = base::Checksum(aPayload);
  std::string out(kFrameHeaderBytes, '\0');
  std::memcpy(out.data(), &header, kFrameHeaderBytes);
  out.append(aPayload);
  return out;
}

void
FrameReader::Append(std::string_view aBytes)
{
  if (mBegin > kCompactionThreshold) {
    mBuffer.erase(0, mBegin);
    mBegin = 0;
  }
  mBuffer.append(aBytes);
}

base::Outcome<std::optional<Frame>>
FrameReader::Next()
{
  const std::string_view unread = std::string_view(mBuffer).substr(mBegin);
  if (unread.size() < kFrameHeaderBytes) {
    return std::optional<Frame>{};
  }
  Header header;
  std::memcpy(&header, unread.data(), kFrameHeaderBytes);
  if (auto failure = CheckHeader(header)) {
    return *failure;
  }
  if (unread.size() < kFrameHeaderBytes + header.mLength) {
    return std::optional<Frame>{};
  }
  const auto payload = unread.substr(kFrameHeaderBytes, header.mLength);
  if (base::Checksum(payload) != header.mChecksum) {
    return Malformed("frame checksum does not match its payload");
  }
  Frame frame{ static_cast<MessageType>(header.mType), std::string(payload) };
  mBegin += kFrameHeaderBytes + header.mLength;
  return std::optional<Frame>(std::move(frame));
}

} // namespace dogwooddrum::protocol
