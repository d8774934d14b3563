#include "dogwooddrum/daemon/SessionMessages.h"

namespace dogwooddrum::daemon {

using coordination::control::Outgoing;
using protocol::MessageType;

MessageType
MessageTypeOf(const Outgoing& aMessage)
{
  struct Visitor
  {
    MessageType operator()(const protocol::ClientReply&) const
    {
      return MessageType::ClientReply;
    }
    MessageType operator()(const protocol::FreshnessReply&) const
    {
      return MessageType::FreshnessReply;
    }
    MessageType operator()(const protocol::HeartbeatReply&) const
    {
      return MessageType::HeartbeatReply;
    }
    MessageType operator()(const protocol::TaskCommand&) const
    {
      return MessageType::TaskCommand;
    }
    MessageType operator()(const protocol::AnswerAck&) const
    {
      return MessageType::AnswerAck;
    }
    MessageType operator()(const protocol::NotLeader&) const
    {
      return MessageType::NotLeader;
    }
    MessageType operator()(const protocol::WorkloadReply&) const
    {
      return MessageType::WorkloadReply;
    }
    MessageType operator()(const protocol::WorkerOrders&) const
    {
      return MessageType::WorkerOrders;
    }
  };
  return std::visit(Visitor{}, aMessage.mMessage);
}

} // namespace dogwooddrum::daemon
