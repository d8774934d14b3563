#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

CoordinatorCore::CoordinatorCore(const CoordinatorOptions& aOptions)
  : mOptions(aOptions)
  , mPlacer(aOptions.mPlacer)
  , mJitter(static_cast<JitterEngine::result_type>(aOptions.mSeed))
{
}

std::uint64_t
ReplicatedClockMs(const CoordinatorCore& aCore, base::Time aNow)
{
  const auto elapsed = base::ToMilliseconds(aNow - aCore.mLeadingSince);
  return aCore.mLeadingSinceClockMs + static_cast<std::uint64_t>(elapsed);
}

base::Time
ToLocalTime(const CoordinatorCore& aCore, std::uint64_t aClockMs)
{
  const auto offset = static_cast<std::int64_t>(aClockMs) -
                      static_cast<std::int64_t>(aCore.mLeadingSinceClockMs);
  return aCore.mLeadingSince + base::Milliseconds(offset);
}

void
AddTimer(CoordinatorCore& aCore, base::Time aWhen, const Timer& aTimer)
{
  aCore.mTimers.emplace(aWhen, aTimer);
}

void
Propose(CoordinatorCore& aCore, jobs::Command aCommand)
{
  aCore.mCommands.push_back(std::move(aCommand));
}

void
Reply(CoordinatorCore& aCore,
      const Caller& aCaller,
      protocol::ClientReplyBody aBody)
{
  protocol::ClientReply reply;
  reply.mId = aCaller.mRequest;
  reply.mTerm = aCore.mTerm;
  reply.mBody = std::move(aBody);
  Send(aCore, aCaller.mSession, std::move(reply));
}

void
Refuse(CoordinatorCore& aCore,
       const Caller& aCaller,
       base::Reason aReason,
       const std::string& aMessage)
{
  const base::ReasonInfo& info = base::ReasonInfoOf(aReason);
  protocol::Refusal refusal;
  refusal.mReason = aReason;
  refusal.mRan = info.mRan;
  refusal.mRetryable = info.mRetryable;
  refusal.mRetryAfterMs = info.mRetryable ? 1000 : 0;
  refusal.mMessage = aMessage;
  Refuse(aCore, aCaller, std::move(refusal));
}

void
Refuse(CoordinatorCore& aCore,
       const Caller& aCaller,
       protocol::Refusal aRefusal)
{
  AddNotice(
    aCore, Notice::Kind::RequestRefused, aRefusal.mReason, aRefusal.mMessage);
  Reply(aCore, aCaller, std::move(aRefusal));
}

void
AddNotice(CoordinatorCore& aCore,
          Notice::Kind aKind,
          base::Reason aReason,
          const std::string& aText)
{
  Notice notice;
  notice.mKind = aKind;
  notice.mReason = aReason;
  notice.mText = aText;
  aCore.mOutput.mNotices.push_back(std::move(notice));
}

LiveAttempt*
FindAttempt(CoordinatorCore& aCore, base::JobId aJob, base::AttemptId aAttempt)
{
  const auto it = aCore.mAttempts.find(aJob);
  return it != aCore.mAttempts.end() && it->second.mAttempt == aAttempt
           ? &it->second
           : nullptr;
}

AgentRecord*
FindAgent(CoordinatorCore& aCore, base::Incarnation aIncarnation)
{
  const auto it = aCore.mAgents.find(aIncarnation);
  return it == aCore.mAgents.end() ? nullptr : &it->second;
}

protocol::TaskKey
TaskKeyOf(const LiveAttempt& aAttempt, std::size_t aTask)
{
  return { aAttempt.mJob,
           aAttempt.mAttempt,
           base::TaskIndex(static_cast<std::uint32_t>(aTask)) };
}

} // namespace dogwooddrum::coordination::control
