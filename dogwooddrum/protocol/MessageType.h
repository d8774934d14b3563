/** \file
 * Defines the type field of frames.
 */
#pragma once

#include <cstdint>

namespace dogwooddrum::protocol {

/** Type field of a frame. Values are part of the wire format. */
enum class MessageType : std::uint16_t
{
  Hello = 1, ///< link handshake, see transport
  Proof = 2, ///< link handshake, see transport
  LinkHeartbeat = 3,
  ClientRequest = 10,
  ClientReply = 11,
  FreshnessPoll = 12,
  FreshnessReply = 13,
  AgentHeartbeat = 20,
  HeartbeatReply = 21,
  TaskCommand = 22,
  TaskReport = 23,
  AnswerChunk = 24,
  AnswerAck = 25,
  NotLeader = 26, ///< reply to an agent or a poll that reached a follower
  WorkloadRequest = 14,
  WorkloadReply = 15,
  WorkerReport = 27,
  WorkerOrders = 28,
  Consensus = 30,
  MemberQuery = 31,  ///< base::MemberId: is it a voter of your group?
  MemberAnswer = 32, ///< one byte: 1 if it is
  JoinRequest = 33,  ///< a process asks to become a member
  JoinReply = 34,    ///< consensus::Membership, to open links to its members
};

} // namespace dogwooddrum::protocol
