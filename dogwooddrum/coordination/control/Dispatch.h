/** \file
 * Defines dispatch, which carries out the placer's decisions and resends
 * commands to agents until they answer.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Runs the placer if its input changed or its next decision is due, and
 * carries out its decisions. */
void
RunPlacement(CoordinatorCore& aCore);
/** Queues the job at the placer, now or when its backoff ends. aKnownToPlacer:
 * the placer knows the job from an earlier attempt. */
void
QueueJob(CoordinatorCore& aCore,
         const jobs::JobRecord& aJob,
         bool aKnownToPlacer);
/** Describes a job to the placer. */
placement::JobRequest
MakePlacementRequest(const CoordinatorCore& aCore,
                     base::JobId aJob,
                     const protocol::JobSpec& aSpec,
                     base::Time aSubmitted);
/** Sends the commands that the attempt's agents have not answered, and sets a
 * timer to resend them. */
void
SendCommands(CoordinatorCore& aCore, LiveAttempt& aAttempt);
/** Fills in the command's term, incarnation and version and sends it. */
void
SendCommand(CoordinatorCore& aCore,
            AgentRecord& aAgent,
            protocol::TaskCommand aCommand);

} // namespace dogwooddrum::coordination::control
