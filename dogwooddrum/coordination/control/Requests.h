/** \file
 * Defines the handling of requests from callers and operators.
 */
#pragma once

#include "dogwooddrum/coordination/control/CoordinatorCore.h"

namespace dogwooddrum::coordination::control {

/** Handles a request on the leader. */
void
OnRequest(CoordinatorCore& aCore,
          const Caller& aCaller,
          const protocol::ClientRequestBody& aBody);

// Queries.cpp: requests that only read.

/** Returns the job's description for a message. */
std::string
DescribeJob(base::JobId aJob);
/** Returns why the replicated state does not allow the submission; the reason
 * is None if it does. */
base::Failure
CheckAllowed(const CoordinatorCore& aCore, const protocol::JobSpec& aSpec);
void
RefuseKeyReused(CoordinatorCore& aCore,
                const Caller& aCaller,
                const base::IdempotencyKey& aKey,
                base::JobId aJob);
/** Refuses a request for an unknown job. The refusal says that the job may have
 * run if it existed and was dropped. */
void
RefuseUnknownJob(CoordinatorCore& aCore,
                 const Caller& aCaller,
                 base::JobId aJob);
/** Answers a request whose read is confirmed. */
void
AnswerQuery(CoordinatorCore& aCore, const DeferredQuery& aQuery);
/** Answers a freshness poll whose read is confirmed. */
void
AnswerPoll(CoordinatorCore& aCore, const DeferredPoll& aQuery);
/** Returns a job's view for callers. aExplain adds why a queued job waits. */
protocol::JobView
ViewOf(CoordinatorCore& aCore, const jobs::JobRecord& aJob, bool aExplain);

// Requests.cpp, continued.

/** Handles the outcome of a submission: accepted, joined or refused. */
void
OnSubmitted(CoordinatorCore& aCore, const jobs::Effect& aEffect);
/** Answers all requests that wait for the job's end or acknowledgement. */
void
AnswerWaiters(CoordinatorCore& aCore, base::JobId aJob);
/** Answers a waiter whose deadline has passed with the job's current view. */
void
ExpireWaiter(CoordinatorCore& aCore, std::uint64_t aWaiter);
void
CloseClientSession(CoordinatorCore& aCore, SessionId aSession);
/** Proposes a bounded number of queued cancellations. */
void
ProposeCancels(CoordinatorCore& aCore);

// Changes.cpp: configuration and membership.

void
OnChangeRequest(CoordinatorCore& aCore,
                const Caller& aCaller,
                const protocol::ChangeRequest& aRequest);
/** Proposes the next change if none is in the log. */
void
ProposeNextChange(CoordinatorCore& aCore);
void
OnChangeDecided(CoordinatorCore& aCore, const base::ChangeId& aChange);
void
OnMemberRequest(CoordinatorCore& aCore,
                const Caller& aCaller,
                const protocol::MemberRequest& aRequest);
/** Answers the membership changes that are committed or have timed out, and
 * proposes the next one. */
void
AdvanceMemberRequests(CoordinatorCore& aCore);

// StatusReports.cpp: JSON for operators.

std::string
StatusJson(CoordinatorCore& aCore);
std::string
ExplainJson(CoordinatorCore& aCore, const jobs::JobRecord& aJob);

} // namespace dogwooddrum::coordination::control
