/** \file
 * Defines the codec of consensus messages and durable records.
 * protocol::Encode and protocol::Decode are instantiated for Message,
 * LogEntry, HardState, Membership and Snapshot.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/protocol/Codec.h"

#include <string_view>

namespace dogwooddrum::coordination::consensus {

/**
 * Returns the message in aBytes, or MalformedFrame. Beyond the layout, it
 * checks entry kinds, that entries are contiguous, and that membership
 * entries decode. Thread safe.
 */
base::Outcome<Message>
DecodeMessage(std::string_view aBytes);

} // namespace dogwooddrum::coordination::consensus
