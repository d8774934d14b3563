/** \file
 * Implements the queue of job classes.
 */
#include "dogwooddrum/coordination/placement/Queue.h"

#include "dogwooddrum/coordination/placement/Allocations.h"
#include "dogwooddrum/coordination/placement/Fairness.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

/** Declared run times may be wrong by this factor in either direction. */
constexpr int kMaxDeclarationError = 10;
/** Jobs of a class that are examined for the earliest reservation time. */
constexpr std::size_t kMaxDueCandidates = 8;

ClassKey
ClassKeyOf(const JobEntry& aJob)
{
  const auto& request = aJob.mRequest;
  return { aJob.mAccount,
           request.mProfile.Value(),
           request.mShape.mTasks,
           request.mShape.mAcceleratorsPerTask,
           request.mShape.mAdjacency,
           request.mRepeatable };
}

ShapeKey
ShapeKeyOf(const protocol::GangShape& aShape)
{
  return { aShape.mTasks, aShape.mAcceleratorsPerTask, aShape.mAdjacency };
}

QueueKey
QueueKeyOf(const JobEntry& aJob, JobHandle aHandle)
{
  const auto& request = aJob.mRequest;
  return { request.mDeadline.value_or(base::Time::max()),
           request.mSubmitted,
           request.mJob,
           aHandle };
}

bool
IsBatch(const JobClass& aClass)
{
  return aClass.mRepeatable && aClass.mRules.mPreemptible &&
         !aClass.mRules.mInteractive;
}

ClassIndex
AllocateClass(State& aState)
{
  if (aState.mFreeClasses.empty()) {
    aState.mClasses.emplace_back();
    return static_cast<ClassIndex>(aState.mClasses.size() - 1);
  }
  const ClassIndex index = aState.mFreeClasses.back();
  aState.mFreeClasses.pop_back();
  return index;
}

ClassIndex
FindOrAddClass(State& aState, const JobEntry& aJob)
{
  const ClassKey key = ClassKeyOf(aJob);
  const auto found = aState.mClassByKey.find(key);
  if (found != aState.mClassByKey.end()) {
    return found->second;
  }
  const ClassIndex index = AllocateClass(aState);
  auto& entry = aState.mClasses[index];
  entry = JobClass{};
  entry.mKey = key;
  entry.mAccount = aJob.mAccount;
  entry.mShape = aJob.mRequest.mShape;
  entry.mRepeatable = aJob.mRequest.mRepeatable;
  entry.mRules = aJob.mRules;
  entry.mLive = true;
  aState.mBatchClassCount += IsBatch(entry) ? 1 : 0;
  aState.mClassByKey[key] = index;
  aState.mClassesByShape[ShapeKeyOf(entry.mShape)].insert(index);
  aState.mAccounts[aJob.mAccount].mClasses.insert(index);
  return index;
}

void
RemoveClass(State& aState, ClassIndex aClass)
{
  auto& entry = aState.mClasses[aClass];
  if (entry.mReservationTimer) {
    aState.mReservationTimers.erase({ *entry.mReservationTimer, aClass });
  }
  aState.mBatchClassCount -= IsBatch(entry) ? 1 : 0;
  const auto shape = aState.mClassesByShape.find(ShapeKeyOf(entry.mShape));
  shape->second.erase(aClass);
  if (shape->second.empty()) {
    aState.mClassesByShape.erase(shape);
  }
  aState.mAccounts[entry.mAccount].mClasses.erase(aClass);
  aState.mClassByKey.erase(entry.mKey);
  aState.mGuaranteeCandidates.erase(aClass);
  aState.mDeferredGuarantees.erase(aClass);
  entry = JobClass{};
  aState.mFreeClasses.push_back(aClass);
}

} // namespace

void
Enqueue(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  job.mPhase = JobPhase::Queued;
  job.mClass = FindOrAddClass(aState, job);
  auto& entry = aState.mClasses[job.mClass];
  const QueueKey key = QueueKeyOf(job, aJob);
  const bool first = entry.mQueue.empty() || key < *entry.mQueue.begin();
  entry.mQueue.insert(key);
  if (entry.mQueue.size() <= kMaxDueCandidates) {
    SetClassTimer(aState, job.mClass);
  }
  if (job.mRequest.mDeadline) {
    aState.mDeadlines.emplace(*job.mRequest.mDeadline, aJob);
  }
  if (first) {
    SetClassTimer(aState, job.mClass);
    aState.mGuaranteeCandidates.insert(job.mClass);
  }
}

void
Dequeue(State& aState, JobHandle aJob)
{
  auto& job = aState.mJobs[aJob];
  const ClassIndex index = job.mClass;
  job.mClass = kNoIndex;
  if (job.mRequest.mDeadline) {
    aState.mDeadlines.erase({ *job.mRequest.mDeadline, aJob });
  }
  auto& entry = aState.mClasses[index];
  const auto it = entry.mQueue.find(QueueKeyOf(job, aJob));
  const bool first = it == entry.mQueue.begin();
  entry.mQueue.erase(it);
  if (entry.mQueue.empty()) {
    RemoveClass(aState, index);
  } else {
    SetClassTimer(aState, index);
    if (first) {
      aState.mGuaranteeCandidates.insert(index);
    }
  }
}

JobHandle
FirstJobOf(const State& aState, ClassIndex aClass)
{
  return aState.mClasses[aClass].mQueue.begin()->mHandle;
}

base::Time
ReservationTimeOf(const State& aState, const JobEntry& aJob)
{
  base::Time at = aJob.mQueuedSince + aJob.mRules.mReservationAge;
  if (aJob.mRequest.mDeadline) {
    const base::Time deadline = *aJob.mRequest.mDeadline;
    const base::Duration window = deadline - aJob.mRequest.mSubmitted;
    const base::Duration longest =
      aJob.mRequest.mDeclaredRun * kMaxDeclarationError +
      aState.mOptions.mPreemptionGrace * 2;
    // Half of the time between submission and deadline is kept for the run if
    // its length is not declared.
    at = std::min(at, deadline - std::max(window / 2, longest));
  }
  return std::max(at, aJob.mQueuedSince);
}

JobHandle
FindDueJob(const State& aState, ClassIndex aClass)
{
  JobHandle due = kNoIndex;
  std::size_t examined = 0;
  for (const auto& key : aState.mClasses[aClass].mQueue) {
    if (due == kNoIndex ||
        ReservationTimeOf(aState, aState.mJobs[key.mHandle]) <
          ReservationTimeOf(aState, aState.mJobs[due])) {
      due = key.mHandle;
    }
    if (++examined >= kMaxDueCandidates) {
      break;
    }
  }
  return due;
}

void
SetClassTimer(State& aState, ClassIndex aClass)
{
  auto& entry = aState.mClasses[aClass];
  if (entry.mReservationTimer) {
    aState.mReservationTimers.erase({ *entry.mReservationTimer, aClass });
    entry.mReservationTimer.reset();
  }
  if (entry.mQueue.empty()) {
    return;
  }
  const auto& due = aState.mJobs[FindDueJob(aState, aClass)];
  entry.mReservationTimer =
    std::max(ReservationTimeOf(aState, due), entry.mReserveRetryAt);
  aState.mReservationTimers.emplace(*entry.mReservationTimer, aClass);
}

void
RefreshRules(State& aState)
{
  for (auto& job : aState.mJobs) {
    if (!job.mLive) {
      continue;
    }
    const bool counted =
      job.mPhase == JobPhase::Held || job.mPhase == JobPhase::Stopping;
    const ProfileRules rules = RulesOf(aState, job.mRequest.mProfile);
    ChangeRules(aState, job, rules, counted);
  }
  for (ClassIndex index = 0; index < aState.mClasses.size(); ++index) {
    auto& entry = aState.mClasses[index];
    if (entry.mLive) {
      aState.mBatchClassCount -= IsBatch(entry) ? 1 : 0;
      entry.mRules = aState.mJobs[FirstJobOf(aState, index)].mRules;
      aState.mBatchClassCount += IsBatch(entry) ? 1 : 0;
      SetClassTimer(aState, index);
      aState.mGuaranteeCandidates.insert(index);
    }
  }
}

} // namespace dogwooddrum::coordination::placement
