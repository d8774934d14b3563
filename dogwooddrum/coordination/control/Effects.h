/** \file
 * Defines the leader's reactions to committed changes and to timers, and the
 * start and end of leadership.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Reacts to one committed change. */
void
OnEffect(CoordinatorCore& aCore, const jobs::Effect& aEffect);
/** Runs the timers that are due at mNow. */
void
RunTimers(CoordinatorCore& aCore);
/** Starts leading: rebuilds the volatile state from the replicated state. */
void
StartLeading(CoordinatorCore& aCore, base::Term aTerm);
/** Stops leading: redirects pending requests, drops the volatile state. */
void
StopLeading(CoordinatorCore& aCore);
/** Redirects the senders of aReads to the leader. */
void
RedirectDeferredReads(CoordinatorCore& aCore,
                      const std::vector<DeferredRead>& aReads);
protocol::NotLeader
MakeRedirect(const CoordinatorCore& aCore);

} // namespace dogwooddrum::coordination::control
