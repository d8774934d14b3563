/** \file
 * Defines the message types of frames.
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
  NotLeader = 26, ///< reply of a follower to an agent or a poll
  WorkloadRequest = 14,
  WorkloadReply = 15,
  WorkerReport = 27,
  WorkerOrders = 28,
  Consensus = 30,
  MemberQuery = 31,  ///< base::MemberId: asks whether it is a voter
  MemberAnswer = 32, ///< one byte: 1 if it is a voter
  JoinRequest = 33,  ///< sent by a process to become a member
  JoinReply = 34,    ///< consensus::Membership, for links to its members
  LeaveRequest = 35, ///< sent by a member that is about to end
  LeaveReply = 36,   ///< the leader's answer
};

} // namespace dogwooddrum::protocol
