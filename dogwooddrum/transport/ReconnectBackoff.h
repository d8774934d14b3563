/** \file
 * Defines ReconnectBackoff, the pauses between attempts to open a link and the
 * timeouts of these attempts.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

namespace dogwooddrum::transport {

/** Bounds of the reconnection backoff. */
struct ReconnectOptions
{
  base::Duration mInitialDelay = base::Milliseconds(20);
  base::Duration mMaxDelay = base::Milliseconds(500);
  base::Duration mInitialTimeout = base::Milliseconds(100);
  base::Duration mMaxTimeout = base::Milliseconds(1000);
};

/**
 * State of the backoff since a client was started, redirected, or last had an
 * open link.
 *
 * A host without power leaves an attempt unanswered, and nothing tells the
 * client that it has returned. Attempts therefore begin short and grow with the
 * number of failures: the host is found about as long after its return as it
 * was away, and at most mMaxTimeout and mMaxDelay after it. A path that is
 * slower than mInitialTimeout costs some attempts at first; later ones allow
 * for the time that the last connection took.
 */
struct ReconnectBackoff
{
  base::Duration mDelayBound; ///< the next pause is drawn from zero to this
  base::Duration mTimeout;    ///< of the next attempt
};

/** Returns the state before the first attempt. aConnectTime: how long the last
 * connection to the host took; 0: not known. Thread safe. */
ReconnectBackoff
BeginBackoff(const ReconnectOptions& aOptions, base::Duration aConnectTime);

/** Returns the state after one more attempt has failed: the bound of the pause
 * doubles, and the timeout grows by half. Thread safe. */
ReconnectBackoff
GrowBackoff(const ReconnectBackoff& aBackoff, const ReconnectOptions& aOptions);

} // namespace dogwooddrum::transport
