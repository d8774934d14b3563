/** \file
 * Defines the registry of agents: heartbeats and their replies, lease expiry,
 * and which workers the placer may use.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Records a heartbeat and queues its reply for the next confirmed read. */
void
OnHeartbeat(CoordinatorCore& aCore,
            SessionId aSession,
            const protocol::AgentHeartbeat& aHeartbeat);
/** Replies to a heartbeat whose read is confirmed, which renews leases. */
void
ReplyToHeartbeat(CoordinatorCore& aCore, const DeferredHeartbeat& aQuery);
/** Passes a report, sent alone or in a heartbeat, to the task's attempt. Makes
 * the agent stop or forget a task without a live attempt. */
void
RouteTaskReport(CoordinatorCore& aCore,
                AgentRecord& aAgent,
                const protocol::TaskReport& aReport);
/** Withdraws the worker of a silent agent, and expires the agent's tasks once
 * their leases have ended. */
void
CheckAgent(CoordinatorCore& aCore, base::Incarnation aIncarnation);
/** Returns the agent of an assignment, which is added if it is not known; its
 * leases then count from aGrantedAt. */
AgentRecord&
FindOrAddAgent(CoordinatorCore& aCore,
               const jobs::Assignment& aAssignment,
               base::Time aGrantedAt);
/** Records the run time of a task. A worker whose target is much slower than
 * others is withdrawn from placement for a while. */
void
RecordRunTime(CoordinatorCore& aCore,
              const jobs::Assignment& aAssignment,
              const base::ProfileId& aProfile,
              base::Duration aRun);
/** Sends the configuration to the agent unless the newest one was sent. Call
 * before sending a command. */
void
SendMissingConfiguration(CoordinatorCore& aCore, AgentRecord& aAgent);
void
CloseAgentSession(CoordinatorCore& aCore, SessionId aSession);

} // namespace dogwooddrum::coordination::control
