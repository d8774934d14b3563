#include "dogwooddrum/coordination/consensus/Codec.h"

#include "dogwooddrum/protocol/CodecTemplates.h"

DOGWOODDRUM_CODEC(dogwooddrum::coordination::consensus::Message);
DOGWOODDRUM_CODEC(dogwooddrum::coordination::consensus::LogEntry);
DOGWOODDRUM_CODEC(dogwooddrum::coordination::consensus::HardState);
DOGWOODDRUM_CODEC(dogwooddrum::coordination::consensus::Membership);
DOGWOODDRUM_CODEC(dogwooddrum::coordination::consensus::Snapshot);

namespace dogwooddrum::coordination::consensus {

namespace {

base::Failure
MakeMalformedFrame(std::string aMessage)
{
  return { base::Reason::MalformedFrame, std::move(aMessage) };
}

base::Outcome<bool>
CheckEntries(const AppendRequest& aRequest)
{
  std::uint64_t expected = aRequest.mPreviousIndex.Value();
  for (const LogEntry& entry : aRequest.mEntries) {
    ++expected;
    if (entry.mIndex.Value() != expected) {
      return MakeMalformedFrame("log entry has index " +
                                std::to_string(entry.mIndex.Value()) +
                                ", expected " + std::to_string(expected));
    }
    if (entry.mKind > EntryKind::Noop) {
      return MakeMalformedFrame("unknown log entry kind " +
                                std::to_string(static_cast<int>(entry.mKind)));
    }
    if (entry.mKind == EntryKind::Membership) {
      const auto membership = protocol::Decode<Membership>(entry.mPayload);
      if (!membership) {
        return membership.LastFailure();
      }
    }
  }
  return true;
}

} // namespace

base::Outcome<Message>
DecodeMessage(std::string_view aBytes)
{
  auto message = protocol::Decode<Message>(aBytes);
  if (!message) {
    return message;
  }
  if (const auto* append = std::get_if<AppendRequest>(&message->mBody)) {
    const auto checked = CheckEntries(*append);
    if (!checked) {
      return checked.LastFailure();
    }
  }
  return message;
}

} // namespace dogwooddrum::coordination::consensus
