/** \file
 * Defines the order in which job classes are served and the limits on borrowed
 * accelerators.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

#include <tuple>

namespace dogwooddrum::coordination::placement {

/** Sort key of a class; the lowest is served first. */
using ClassOrder =
  std::tuple<int,           // 0: past its reservation age, 1: not yet
             base::Time,    // if past it: since when
             std::int64_t,  // negated priority
             std::uint64_t, // accelerators borrowed by the account
             std::uint32_t, // accelerators of the gang
             base::Time,    // submission
             ClassIndex>;

/** Returns the sort key of a class. Precondition: the class has a job. */
ClassOrder
OrderOf(const State& aState, ClassIndex aClass, base::Time aNow);
/** Returns whether the first job of a class may run on borrowed capacity. */
bool
MayBorrow(const State& aState, ClassIndex aClass);
/** Returns whether headroom in the account's guarantee is kept for jobs like
 * this one: they must run inside it or are interactive. */
bool
IsProtected(const JobEntry& aJob);
/** Adds a protected job to its account's demand, or removes it if aAdd is
 * false, and updates the decayed peak. No effect on other jobs. */
void
UpdateProtectedDemand(State& aState,
                      const JobEntry& aJob,
                      bool aAdd,
                      base::Time aNow);
/**
 * Returns how much of an account's unused guarantee is kept for protected
 * work: the decayed peak of its demand less the current demand.
 */
std::uint64_t
HeadroomOf(const State& aState, AccountIndex aAccount, base::Time aNow);
/** Changes the rules of a job and updates the sums that depend on them. aHeld:
 * the job holds accelerators. */
void
ChangeRules(State& aState,
            JobEntry& aJob,
            const ProfileRules& aRules,
            bool aHeld);

} // namespace dogwooddrum::coordination::placement
