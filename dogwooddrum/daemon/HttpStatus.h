/** \file
 * Maps the reasons of refusals to HTTP statuses.
 */
#pragma once

#include "dogwooddrum/base/Reason.h"

namespace dogwooddrum::daemon {

/** Returns the HTTP status of a refusal for aReason. Thread safe. */
unsigned
HttpStatusOf(base::Reason aReason);

} // namespace dogwooddrum::daemon
