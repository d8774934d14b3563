/** \file
 * Defines the frame types of the leader's messages to entries and agents.
 */
#pragma once

#include "dogwooddrum/coordination/control/Coordinator.h"
#include "dogwooddrum/protocol/MessageType.h"

namespace dogwooddrum::daemon {

/** Returns the frame type of a message to a session. Thread safe. */
protocol::MessageType
MessageTypeOf(const coordination::control::Outgoing& aMessage);

} // namespace dogwooddrum::daemon
