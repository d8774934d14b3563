/** \file
 * Defines the swap of a voter for a learner, a joint change of two members:
 * while it lasts, decisions need a majority of the voters before it and one of
 * the voters after it. Two changes of one member each would pass through a
 * group with one voter more or less, which bears a loss less. No side effects.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <set>

namespace dogwooddrum::coordination::consensus {

/** Returns the member with the given id, or null. Thread safe. */
const Member*
FindMember(const Membership& aMembership, base::MemberId aMember);

/** Returns the member with the given role in a swap, or null. Thread safe. */
const Member*
FindSwapRole(const Membership& aMembership, SwapRole aRole);

/** Returns whether a swap has begun and not ended. Thread safe. */
bool
IsSwapping(const Membership& aMembership);

/** Returns aMembership with the begin of a swap; unchanged if aLeaving is no
 * voter, aEntering no learner, or another swap has begun. Thread safe. */
Membership
BeginSwap(const Membership& aMembership,
          base::MemberId aLeaving,
          base::MemberId aEntering);

/** Returns aMembership after its swap: without the member that leaves. Thread
 * safe. */
Membership
FinishSwap(const Membership& aMembership);

/** Returns aMembership as before its swap. Thread safe. */
Membership
RevertSwap(const Membership& aMembership);

/** Returns whether both list the same members. Thread safe. */
bool
IsSameMembership(const Membership& aLeft, const Membership& aRight);

/** Returns whether aMembers has a majority of the voters, and during a swap one
 * of those before and one of those after it. Thread safe. */
bool
HasMajority(const Membership& aMembership,
            const std::set<base::MemberId>& aMembers);

/** Returns the ids of the voters before a swap (aExcluded: Entering) or after
 * it (aExcluded: Leaving). Thread safe. */
std::vector<base::MemberId>
VotersWithout(const Membership& aMembership, SwapRole aExcluded);

} // namespace dogwooddrum::coordination::consensus
