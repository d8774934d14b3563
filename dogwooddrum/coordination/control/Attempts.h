/** \file
 * Defines the life cycle of a live attempt on the leader: gang start, abort,
 * preemption, lease expiry and end.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Creates the leader's record of a replicated attempt. aGrantedAt is the
 * latest time at which its agents' leases may have been granted. */
LiveAttempt&
CreateLiveAttempt(CoordinatorCore& aCore,
                  const jobs::JobRecord& aJob,
                  base::Time aGrantedAt);
/** Handles a report from the agent that the task is assigned to. */
void
OnTaskReport(CoordinatorCore& aCore,
             LiveAttempt& aAttempt,
             std::size_t aTask,
             const protocol::TaskReport& aReport);
/** Marks a task whose lease has ended without a report from its agent. */
void
ExpireTask(CoordinatorCore& aCore, LiveAttempt& aAttempt, std::size_t aTask);
/** Proposes the attempt's next step if the phases of its tasks allow one. */
void
AdvanceAttempt(CoordinatorCore& aCore, LiveAttempt& aAttempt);
/** Proposes to abort and fence the attempt, unless it is stopping or has a
 * proposal that is not applied yet. */
void
ProposeAbort(CoordinatorCore& aCore,
             LiveAttempt& aAttempt,
             base::Reason aReason);
/** Checkpoints and throttles the job now and stops it at aStopBy, or now if its
 * gang has not been committed. */
void
PreemptJob(CoordinatorCore& aCore,
           base::JobId aJob,
           base::Time aStopBy,
           base::Reason aReason);
/** Removes the live attempt after its end is committed. */
void
RemoveLiveAttempt(CoordinatorCore& aCore,
                  base::JobId aJob,
                  base::AttemptId aAttempt);

} // namespace dogwooddrum::coordination::control
