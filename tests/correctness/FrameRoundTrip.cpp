// Guards against frames that are changed, merged or lost when a stream
// delivers them in pieces.
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/protocol/Frame.h"

#include <gtest/gtest.h>

namespace dogwooddrum::protocol {

TEST(FrameRoundTrip, ByteWiseDeliveryYieldsEveryFrame)
{
  const std::string stream = EncodeFrame(MessageType::TaskCommand, "first") +
                             EncodeFrame(MessageType::AnswerAck, "");
  FrameReader reader;
  std::vector<Frame> frames;
  for (const char c : stream) {
    reader.Append(std::string_view(&c, 1));
    auto next = reader.Next();
    ASSERT_TRUE(next) << next.LastFailure().mMessage;
    if (next->has_value()) {
      frames.push_back(**next);
    }
  }
  ASSERT_EQ(frames.size(), 2U);
  EXPECT_EQ(frames[0].mType, MessageType::TaskCommand);
  EXPECT_EQ(frames[0].mPayload, "first");
  EXPECT_EQ(frames[1].mPayload, "");
}

TEST(FrameRoundTrip, MessageSurvivesEncoding)
{
  TaskCommand command;
  command.mTaskAction = TaskAction::Stop;
  command.mTerm = base::Term(7);
  command.mKey.mJob = base::JobId(42);
  command.mPayload = std::string(1000, 'x');
  const auto decoded = Decode<TaskCommand>(Encode(command));
  ASSERT_TRUE(decoded) << decoded.LastFailure().mMessage;
  EXPECT_EQ(decoded->mTerm, command.mTerm);
  EXPECT_TRUE(decoded->mKey == command.mKey);
  EXPECT_EQ(decoded->mPayload, command.mPayload);
}

} // namespace dogwooddrum::protocol
