#include "dogwooddrum/coordination/control/Retries.h"

#include "dogwooddrum/coordination/retry/Backoff.h"

#include <algorithm>

namespace dogwooddrum::coordination::control {

using base::Ran;
using base::Reason;
using jobs::LeasePhase;
using protocol::TaskState;

namespace {

constexpr retry::BackoffOptions kBackoff{ base::Milliseconds(100),
                                          base::Milliseconds(30000) };

/** Returns whether the task ran, as far as its final state proves it. */
Ran
RanOf(const LiveTask& aTask)
{
  if (aTask.mPhase == LeasePhase::Finished) {
    return Ran::Ran;
  }
  if (aTask.mPhase != LeasePhase::Fenced) {
    return Ran::MayHaveRun;
  }
  switch (aTask.mFinalReport.mState) {
    case TaskState::Refused:
    case TaskState::Released:
      return Ran::NotRun; // Fenced by the addressed incarnation.
    case TaskState::Failed:
      if (!aTask.mFinalReport.mDispatched) {
        return Ran::NotRun;
      }
      return std::max(base::ReasonInfoOf(aTask.mFinalReport.mReason).mRan,
                      Ran::MayHaveRun);
    default:
      return Ran::MayHaveRun;
  }
}

Ran
RanOf(const LiveAttempt& aAttempt)
{
  if (!aAttempt.mMayRun) {
    return Ran::NotRun; // The gang never passed CommitGang.
  }
  Ran ran = Ran::NotRun;
  for (const LiveTask& task : aAttempt.mTasks) {
    ran = std::max(ran, RanOf(task));
  }
  return ran;
}

/** Returns the first task that caused the end, or null. */
const LiveTask*
FindCause(const LiveAttempt& aAttempt)
{
  const LiveTask* cause = nullptr;
  for (const LiveTask& task : aAttempt.mTasks) {
    if (task.mPhase < LeasePhase::Fenced) {
      continue;
    }
    // Tasks that were only stopped or released have no reason of their own.
    const bool hasOwnReason = task.mPhase == LeasePhase::Expired ||
                              task.mFinalReport.mReason != Reason::None;
    if (hasOwnReason) {
      return &task;
    }
    cause = cause == nullptr ? &task : cause;
  }
  return cause;
}

/** Draws the delay before the attempt after aAttempt, in milliseconds. */
std::uint64_t
DrawBackoffMs(CoordinatorCore& aCore, std::uint32_t aAttempt)
{
  const double uniform =
    std::uniform_real_distribution<double>(0, 1)(aCore.mJitter);
  return static_cast<std::uint64_t>(
    base::ToMilliseconds(retry::BackoffDelay(kBackoff, aAttempt, uniform)));
}

void
RefillRetryTokens(CoordinatorCore& aCore)
{
  const std::chrono::duration<double> elapsed =
    aCore.mNow - aCore.mRetryTokensAt;
  aCore.mRetryTokensAt = aCore.mNow;
  aCore.mRetryTokens =
    std::min(kMaxRetryTokens,
             aCore.mRetryTokens + elapsed.count() * kRetryTokensPerSecond);
}

/** Takes a retry from the overall budget. Returns the delay, in milliseconds,
 * until the budget allows the retry. */
std::uint64_t
TakeRetryToken(CoordinatorCore& aCore)
{
  RefillRetryTokens(aCore);
  aCore.mRetryTokens -= 1;
  return aCore.mRetryTokens >= 0
           ? 0
           : static_cast<std::uint64_t>(-aCore.mRetryTokens /
                                        kRetryTokensPerSecond * 1000);
}

} // namespace

void
CountSubmission(CoordinatorCore& aCore)
{
  aCore.mRetryTokens =
    std::min(kMaxRetryTokens, aCore.mRetryTokens + kRetryShare);
}

void
EndLiveAttempt(CoordinatorCore& aCore, LiveAttempt& aAttempt)
{
  const jobs::JobRecord* job = aCore.mState.Find(aAttempt.mJob);
  aAttempt.mHasPendingProposal = true;
  jobs::EndAttempt end;
  end.mJob = aAttempt.mJob;
  end.mAttempt = aAttempt.mAttempt;
  if (job == nullptr || !job->mAttempt || jobs::HasEnded(job->mPhase)) {
    Propose(aCore, std::move(end)); // The end only frees the accelerators.
    return;
  }
  const LiveTask* cause = FindCause(aAttempt);
  const Reason stopReason = job->mAttempt->mStopReason;
  const bool preempted = stopReason == Reason::Preempted;
  end.mRan = RanOf(aAttempt);
  end.mReason =
    preempted || cause == nullptr || cause->mFinalReport.mReason == Reason::None
      ? stopReason
      : cause->mFinalReport.mReason;
  end.mMessage = cause == nullptr ? "" : cause->mFinalReport.mMessage;
  end.mCheckpointed =
    std::all_of(aAttempt.mTasks.begin(),
                aAttempt.mTasks.end(),
                [](const LiveTask& aEach) { return aEach.mCheckpointed; });
  const protocol::Profile* profile =
    jobs::FindProfile(aCore.mState.Configuration(), job->mSpec.mProfile);
  const std::uint32_t budget = profile == nullptr ? 0 : profile->mRetryBudget;
  const std::uint64_t backoff = DrawBackoffMs(aCore, aAttempt.mAttempt.Value());
  if (end.mReason == Reason::AnswerTooLarge) {
    end.mRequeue = false;
  } else if (end.mRan == Ran::NotRun) {
    // The job did not run, so a retry is safe even if it is not repeatable.
    end.mRequeue = true;
    end.mNotBeforeMs =
      ReplicatedClockMs(aCore, aCore.mNow) + (preempted ? 0 : backoff);
  } else if (!job->mSpec.mRepeatable) {
    end.mRequeue = false;
    end.mMessage += " (job is not repeatable)";
  } else if (preempted) {
    end.mRequeue = true;
  } else if (job->mRetries >= budget) {
    end.mRequeue = false;
    end.mMessage += " (after " + std::to_string(job->mRetries) + " retries, " +
                    std::to_string(budget) + " are allowed; last reason: " +
                    std::string(base::ToString(end.mReason)) + ")";
    end.mReason = Reason::RetryBudgetExhausted;
  } else {
    end.mRequeue = true;
    end.mUsesRetry = true;
    end.mNotBeforeMs = ReplicatedClockMs(aCore, aCore.mNow) +
                       std::max(backoff, TakeRetryToken(aCore));
  }
  if (end.mRequeue) {
    AddNotice(aCore, Notice::Kind::AttemptRetried, end.mReason, end.mMessage);
  }
  Propose(aCore, std::move(end));
}

} // namespace dogwooddrum::coordination::control
