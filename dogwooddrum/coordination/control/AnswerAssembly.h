/** \file
 * Defines how answers get from agents into the replicated state: chunks may
 * arrive in any order, are committed in parts and then acknowledged.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Adds a chunk to its answer. Ignores a chunk that is malformed or does not
 * match the chunks before it. */
void
OnChunk(CoordinatorCore& aCore,
        SessionId aSession,
        const protocol::AnswerChunk& aChunk);
/** Updates the assembly after a part was committed. Drops it if the answer is
 * complete, or if its checksum did not match, so that assembly starts over. */
void
OnPartStored(CoordinatorCore& aCore, const protocol::TaskKey& aKey);
/** Acknowledges to the task's agent that the answer is durable. */
void
AcknowledgeAnswer(CoordinatorCore& aCore,
                  const protocol::TaskKey& aKey,
                  base::Incarnation aIncarnation);
void
DropAssembly(CoordinatorCore& aCore, const protocol::TaskKey& aKey);

} // namespace dogwooddrum::coordination::control
