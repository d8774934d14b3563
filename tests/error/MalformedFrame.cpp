// Guards against damaged input that is accepted, crashes the reader or makes
// it allocate memory by a size in the input.
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/Frame.h"

#include <gtest/gtest.h>

namespace dogwooddrum::protocol {

TEST(MalformedFrame, DamagedPayloadIsRefused)
{
  std::string bytes = EncodeFrame(MessageType::AnswerAck, "payload");
  bytes.back() ^= 1;
  FrameReader reader;
  reader.Append(bytes);
  const auto next = reader.Next();
  ASSERT_FALSE(next);
  EXPECT_EQ(next.LastFailure().mReason, base::Reason::MalformedFrame);
}

TEST(MalformedFrame, OversizedLengthIsRefusedBeforeThePayloadArrives)
{
  std::string bytes = EncodeFrame(MessageType::AnswerAck, "");
  bytes[3] = '\x7f';
  FrameReader reader;
  reader.Append(bytes);
  EXPECT_FALSE(reader.Next());
}

TEST(MalformedFrame, ContainerLargerThanItsMessageIsRefused)
{
  std::string bytes = Encode(Configuration{});
  bytes.replace(8, 8, 8, '\x7f');
  const auto decoded = Decode<Configuration>(bytes);
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.LastFailure().mReason, base::Reason::MalformedFrame);
}

TEST(MalformedFrame, TrailingBytesAreRefused)
{
  EXPECT_FALSE(Decode<AnswerAck>(Encode(AnswerAck{}) + "x"));
}

} // namespace dogwooddrum::protocol
