#include "dogwooddrum/protocol/CodecTemplates.h"
#include "dogwooddrum/protocol/Messages.h"

DOGWOODDRUM_CODEC(dogwooddrum::protocol::JobSpec);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::Configuration);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::ClientRequest);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::ClientReply);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::FreshnessPoll);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::FreshnessReply);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::AgentHeartbeat);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::HeartbeatReply);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::TaskCommand);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::TaskReport);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::AnswerChunk);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::AnswerAck);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::NotLeader);
DOGWOODDRUM_CODEC(dogwooddrum::base::MemberId);
