// Guards against consensus messages that decode but hold values that the
// protocol does not allow, and against truncated messages.
#include "dogwooddrum/coordination/consensus/Codec.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::consensus {

namespace {

Message
MakeAppend(EntryKind aKind, std::uint64_t aIndex, std::string aPayload)
{
  AppendRequest request;
  request.mPreviousIndex = base::LogIndex(4);
  request.mEntries.push_back(
    { base::Term(2), base::LogIndex(aIndex), aKind, std::move(aPayload) });
  return { base::MemberId(1), base::MemberId(2), base::Term(2), request };
}

bool
Decodes(const Message& aMessage)
{
  return bool(DecodeMessage(protocol::Encode(aMessage)));
}

} // namespace

TEST(MalformedConsensusMessage, InvalidEntriesAreRejected)
{
  EXPECT_TRUE(Decodes(MakeAppend(EntryKind::Command, 5, "any")));
  EXPECT_FALSE(Decodes(MakeAppend(EntryKind::Command, 6, "gap")));
  EXPECT_FALSE(Decodes(MakeAppend(EntryKind::Membership, 5, "no members")));
  EXPECT_FALSE(Decodes(MakeAppend(static_cast<EntryKind>(9), 5, "")));
}

TEST(MalformedConsensusMessage, TruncatedMessagesAreRejected)
{
  const std::string bytes =
    protocol::Encode(MakeAppend(EntryKind::Command, 5, "payload"));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeMessage(bytes.substr(0, size))) << size;
  }
}

} // namespace dogwooddrum::coordination::consensus
