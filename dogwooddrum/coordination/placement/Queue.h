/** \file
 * Defines the queue. Jobs with the same requirements form a class: a failed
 * attempt for one job rules out its whole class, and no class blocks another.
 */
#pragma once

#include "dogwooddrum/coordination/placement/State.h"

namespace dogwooddrum::coordination::placement {

/** Queues a job. Precondition: the job holds no accelerators or claim. */
void
Enqueue(State& aState, JobHandle aJob);
/** Removes a job from the queue. */
void
Dequeue(State& aState, JobHandle aJob);
/** Returns the first job of a class. Precondition: the class has a job. */
JobHandle
FirstJobOf(const State& aState, ClassIndex aClass);
/** Returns the job of a class with the earliest reservation time. This need not
 * be the first job: a stopped job keeps its place in the queue, but its
 * reservation age starts again. Examines only the first kMaxDueCandidates jobs;
 * returns kNoIndex if the class has none. */
JobHandle
FindDueJob(const State& aState, ClassIndex aClass);
/** Returns when a job may preempt borrowed work. */
base::Time
ReservationTimeOf(const State& aState, const JobEntry& aJob);
/** Sets the reservation timer of a class to the time of its next due job. */
void
SetClassTimer(State& aState, ClassIndex aClass);
/** Applies changed profiles to all jobs and classes. */
void
RefreshRules(State& aState);

} // namespace dogwooddrum::coordination::placement
