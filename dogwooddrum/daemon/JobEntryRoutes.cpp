#include "dogwooddrum/daemon/JobEntryRoutes.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/HttpStatus.h"
#include "dogwooddrum/daemon/JobEntryJson.h"
#include "dogwooddrum/transport/Handshake.h"

#include <algorithm>
#include <charconv>

namespace dogwooddrum::daemon {

namespace {

/** Longest wait of one long poll, in ms. */
constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr std::uint32_t kMaxListLimit = 1000;

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string>
SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::size_t begin = 1;
  while (begin <= aPath.size()) {
    auto end = aPath.find('/', begin);
    end = end == std::string::npos ? aPath.size() : end;
    parts.push_back(aPath.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

bool
HasEnded(const protocol::JobView& aView)
{
  return aView.mState == protocol::JobState::Finished ||
         aView.mState == protocol::JobState::Failed ||
         aView.mState == protocol::JobState::Cancelled;
}

protocol::Refusal
ToRefusal(const base::Failure& aFailure, base::Duration aRetryAfter = {})
{
  protocol::Refusal refusal;
  refusal.mReason = aFailure.mReason;
  refusal.mRan = base::ReasonInfoOf(aFailure.mReason).mRan;
  refusal.mRetryable = base::ReasonInfoOf(aFailure.mReason).mRetryable;
  refusal.mRetryAfterMs =
    static_cast<std::uint64_t>(base::ToMilliseconds(aRetryAfter));
  refusal.mMessage = aFailure.mMessage;
  return refusal;
}

} // namespace

/** One HTTP request in progress. */
struct JobEntryRoutes::Call
{
  transport::ServerRequest mRequest;
  transport::ServerResponder mResponder;
  std::vector<std::string> mArguments; ///< path segments that matched "*"
  base::Time mBegin;
  std::uint64_t mWaitMs = 0;
  std::optional<coordination::admission::Ticket> mTicket;
  protocol::JobView mSubmittedJob; ///< set when accepted; the id is then not 0
  std::string mAnswer;             ///< the parts received so far
};

struct JobEntryRoutes::RouteRow
{
  const char* mMethod;
  std::vector<std::string> mSegments; ///< "*" matches any segment
  bool mOperatorOnly;
  void (JobEntryRoutes::*mHandler)(const CallPtr&);
};

const std::vector<JobEntryRoutes::RouteRow>&
JobEntryRoutes::RouteTable()
{
  using Self = JobEntryRoutes;
  static const std::vector<RouteRow> rows = {
    { "POST", { "v1", "jobs" }, false, &Self::SubmitJob },
    { "GET", { "v1", "jobs" }, false, &Self::ListJobs },
    { "GET", { "v1", "jobs", "*" }, false, &Self::PollJob },
    { "DELETE", { "v1", "jobs", "*" }, false, &Self::CancelJob },
    { "GET", { "v1", "jobs", "*", "answer" }, false, &Self::FetchAnswer },
    { "POST",
      { "v1", "jobs", "*", "acknowledge" },
      false,
      &Self::AcknowledgeAnswer },
    { "GET", { "v1", "jobs", "*", "explain" }, true, &Self::ExplainJob },
    { "GET", { "v1", "configuration" }, true, &Self::ShowConfiguration },
    { "POST", { "v1", "configuration" }, true, &Self::ChangeConfiguration },
    { "POST", { "v1", "workers", "*", "drain" }, true, &Self::DrainWorker },
    { "POST", { "v1", "workers", "*", "readmit" }, true, &Self::ReadmitWorker },
    { "POST", { "v1", "members" }, true, &Self::ChangeMembers },
    { "GET", { "v1", "status" }, true, &Self::ShowStatus },
  };
  return rows;
}

JobEntryRoutes::JobEntryRoutes(const JobEntryRoutesOptions& aOptions,
                               coordination::admission::Admission& aAdmission,
                               RequestTable& aTable,
                               service::Metrics& aMetrics)
  : mOptions(aOptions)
  , mAdmission(aAdmission)
  , mTable(aTable)
  , mMetrics(aMetrics)
{
}

bool
JobEntryRoutes::Handle(const transport::ServerRequest& aRequest,
                       const transport::ServerResponder& aResponder)
{
  const auto parts = SplitPath(aRequest.mPath);
  for (const auto& row : RouteTable()) {
    if (row.mMethod != aRequest.mMethod ||
        row.mSegments.size() != parts.size()) {
      continue;
    }
    auto call = std::make_shared<Call>();
    bool matches = true;
    for (std::size_t i = 0; i < parts.size() && matches; ++i) {
      if (row.mSegments[i] == "*") {
        call->mArguments.push_back(parts[i]);
      } else {
        matches = row.mSegments[i] == parts[i];
      }
    }
    if (!matches) {
      continue;
    }
    mMetrics.Add(service::Counter::RequestsReceived);
    call->mRequest = aRequest;
    call->mResponder = aResponder;
    call->mBegin = Now();
    const auto wait = aRequest.mQuery.find("wait_ms");
    if (wait != aRequest.mQuery.end()) {
      const auto value = ParseNumber(wait->second);
      if (!value) {
        RefuseWithFailure(
          call,
          { base::Reason::InvalidRequest,
            "wait_ms must be a natural number, is \"" + wait->second + "\"" });
        return true;
      }
      call->mWaitMs = std::min(*value, kMaxWaitMs);
    }
    if (row.mOperatorOnly && !IsAuthorized(*call)) {
      RefuseWithFailure(
        call,
        { base::Reason::Unauthorized, "this request needs the operator key" });
      return true;
    }
    (this->*row.mHandler)(call);
    // A call may wait for minutes; its body was decoded.
    call->mRequest.mBody = {};
    call->mRequest.mHeldBytes.reset();
    return true;
  }
  return false;
}

bool
JobEntryRoutes::IsAuthorized(const Call& aCall) const
{
  return !mOptions.mOperatorKey.empty() &&
         transport::EqualInConstantTime(aCall.mRequest.mAuthorization,
                                        "Bearer " + mOptions.mOperatorKey);
}

void
JobEntryRoutes::Respond(const CallPtr& aCall,
                        unsigned aStatus,
                        std::string aJson)
{
  transport::ServerResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aJson);
  aCall->mTicket.reset();
  aCall->mResponder(std::move(response));
}

void
JobEntryRoutes::Refuse(const CallPtr& aCall, const protocol::Refusal& aRefusal)
{
  mMetrics.CountRefusal(aRefusal.mReason);
  Respond(aCall, HttpStatusOf(aRefusal.mReason), ToJson(aRefusal));
}

void
JobEntryRoutes::RefuseWithFailure(const CallPtr& aCall,
                                  const base::Failure& aFailure)
{
  Refuse(aCall, ToRefusal(aFailure));
}

void
JobEntryRoutes::Forward(const CallPtr& aCall, protocol::ClientRequestBody aBody)
{
  RequestAttributes attributes;
  attributes.mStartsWork =
    std::holds_alternative<protocol::SubmitRequest>(aBody);
  attributes.mDeadline =
    Now() + mOptions.mRequestTimeout +
    base::Milliseconds(static_cast<std::int64_t>(aCall->mWaitMs));
  if (aCall->mTicket) {
    attributes.mPriority = aCall->mTicket->Profile().mPriority;
    attributes.mMayWait = aCall->mTicket->Profile().mMayWait;
  }
  mTable.Start(std::move(aBody),
               attributes,
               [this, aCall](const protocol::ClientReplyBody& aReply) {
                 OnReply(aCall, aReply);
               });
}

void
JobEntryRoutes::OnReply(const CallPtr& aCall,
                        const protocol::ClientReplyBody& aReply)
{
  if (const auto* refusal = std::get_if<protocol::Refusal>(&aReply)) {
    if (aCall->mSubmittedJob.mJob.Value() != 0) {
      // The job was accepted; only waiting for the job to end has failed.
      Respond(aCall, 202, ToJson(aCall->mSubmittedJob));
      return;
    }
    Refuse(aCall, *refusal);
  } else if (const auto* view = std::get_if<protocol::JobView>(&aReply)) {
    if (aCall->mRequest.mMethod == "POST" && aCall->mArguments.empty()) {
      OnSubmitted(aCall, *view);
    } else {
      Respond(aCall, 200, ToJson(*view));
    }
  } else if (const auto* list = std::get_if<protocol::JobList>(&aReply)) {
    Respond(aCall, 200, ToJson(*list));
  } else if (const auto* outcome =
               std::get_if<protocol::ChangeOutcome>(&aReply)) {
    Respond(aCall,
            outcome->mAccepted ? 200 : HttpStatusOf(outcome->mReason),
            ToJson(*outcome));
  } else if (const auto* configuration =
               std::get_if<protocol::Configuration>(&aReply)) {
    Respond(aCall, 200, ToJson(*configuration));
  } else if (const auto* report = std::get_if<protocol::Report>(&aReply)) {
    Respond(aCall, 200, report->mJson);
  } else {
    Respond(aCall, 200, "{}");
  }
}

std::optional<base::JobId>
JobEntryRoutes::ParseJobId(const CallPtr& aCall)
{
  const auto job = ParseNumber(aCall->mArguments.at(0));
  if (!job) {
    RefuseWithFailure(
      aCall,
      { base::Reason::UnknownJob,
        "job \"" + aCall->mArguments.at(0) + "\" is not a number" });
    return std::nullopt;
  }
  return base::JobId(*job);
}

void
JobEntryRoutes::SubmitJob(const CallPtr& aCall)
{
  auto spec = ParseJobSpec(aCall->mRequest.mBody);
  if (!spec) {
    RefuseWithFailure(aCall, spec.LastFailure());
    return;
  }
  auto admitted = mAdmission.Admit(*spec, aCall->mBegin);
  if (!admitted.mTicket) {
    Refuse(
      aCall,
      ToRefusal(admitted.mRefused.mFailure, admitted.mRefused.mRetryAfter));
    return;
  }
  aCall->mTicket = std::move(admitted.mTicket);
  Forward(aCall, protocol::SubmitRequest{ std::move(*spec) });
}

void
JobEntryRoutes::OnSubmitted(const CallPtr& aCall,
                            const protocol::JobView& aView)
{
  if (aCall->mSubmittedJob.mJob.Value() == 0) {
    mMetrics.Add(service::Counter::RequestsAccepted);
  }
  aCall->mSubmittedJob = aView;
  const auto waitedMs = base::ToMilliseconds(Now() - aCall->mBegin);
  const auto remainingMs = static_cast<std::int64_t>(aCall->mWaitMs) - waitedMs;
  if (HasEnded(aView) || remainingMs <= 0) {
    mMetrics.Observe(service::Distribution::RequestTime,
                     aView.mProfile,
                     Now() - aCall->mBegin);
    Respond(aCall, HasEnded(aView) ? 200 : 202, ToJson(aView));
    return;
  }
  Forward(aCall,
          protocol::PollRequest{ aView.mJob,
                                 static_cast<std::uint64_t>(remainingMs) });
}

void
JobEntryRoutes::ListJobs(const CallPtr& aCall)
{
  const auto& query = aCall->mRequest.mQuery;
  protocol::ListRequest request;
  const auto account = query.find("account");
  if (account != query.end()) {
    request.mAccount = base::AccountId(account->second);
  }
  const auto number = [&query](const char* aName, std::uint64_t aDefault) {
    const auto it = query.find(aName);
    return it == query.end() ? aDefault
                             : ParseNumber(it->second).value_or(aDefault);
  };
  request.mAfter = base::JobId(number("after", 0));
  request.mLimit = static_cast<std::uint32_t>(
    std::min<std::uint64_t>(number("limit", request.mLimit), kMaxListLimit));
  Forward(aCall, request);
}

void
JobEntryRoutes::PollJob(const CallPtr& aCall)
{
  if (const auto job = ParseJobId(aCall)) {
    Forward(aCall, protocol::PollRequest{ *job, aCall->mWaitMs });
  }
}

void
JobEntryRoutes::FetchAnswer(const CallPtr& aCall)
{
  if (const auto job = ParseJobId(aCall)) {
    RequestAnswerPart(aCall, *job);
  }
}

void
JobEntryRoutes::RequestAnswerPart(const CallPtr& aCall, base::JobId aJob)
{
  RequestAttributes attributes;
  attributes.mDeadline = aCall->mBegin + mOptions.mRequestTimeout;
  mTable.Start(protocol::AnswerRequest{ aJob, aCall->mAnswer.size() },
               attributes,
               [this, aCall, aJob](const protocol::ClientReplyBody& aReply) {
                 const auto* part = std::get_if<protocol::AnswerPart>(&aReply);
                 if (part == nullptr) {
                   OnReply(aCall, aReply);
                 } else {
                   OnAnswerPart(aCall, aJob, *part);
                 }
               });
}

void
JobEntryRoutes::OnAnswerPart(const CallPtr& aCall,
                             base::JobId aJob,
                             const protocol::AnswerPart& aPart)
{
  auto& answer = aCall->mAnswer;
  const bool isNextPart =
    aPart.mOffset == answer.size() &&
    answer.size() + aPart.mBytes.size() <= aPart.mTotalBytes;
  answer.append(aPart.mBytes);
  if (isNextPart && answer.size() < aPart.mTotalBytes &&
      !aPart.mBytes.empty()) {
    RequestAnswerPart(aCall, aJob);
    return;
  }
  if (!isNextPart || answer.size() != aPart.mTotalBytes ||
      base::Checksum(answer) != aPart.mChecksum) {
    protocol::Refusal refusal;
    refusal.mReason = base::Reason::LinkClosed;
    refusal.mRan = base::Ran::Ran;
    refusal.mRetryable = true;
    refusal.mMessage = "the answer arrived incomplete; ask again";
    Refuse(aCall, refusal);
    return;
  }
  transport::ServerResponse response;
  response.mContentType = "application/octet-stream";
  response.mHeaders.emplace_back("X-Dogwooddrum-Checksum",
                                 ChecksumText(aPart.mChecksum));
  response.mBody = std::move(answer);
  aCall->mResponder(std::move(response));
}

void
JobEntryRoutes::CancelJob(const CallPtr& aCall)
{
  if (const auto job = ParseJobId(aCall)) {
    Forward(aCall, protocol::CancelRequest{ *job });
  }
}

void
JobEntryRoutes::AcknowledgeAnswer(const CallPtr& aCall)
{
  if (const auto job = ParseJobId(aCall)) {
    Forward(aCall, protocol::AcknowledgeRequest{ *job });
  }
}

void
JobEntryRoutes::ExplainJob(const CallPtr& aCall)
{
  if (const auto job = ParseJobId(aCall)) {
    Forward(aCall, protocol::ExplainRequest{ *job });
  }
}

void
JobEntryRoutes::ShowConfiguration(const CallPtr& aCall)
{
  Forward(aCall, protocol::ShowConfigurationRequest{});
}

void
JobEntryRoutes::ChangeConfiguration(const CallPtr& aCall)
{
  auto change = ParseChangeRequest(aCall->mRequest.mBody);
  if (!change) {
    RefuseWithFailure(aCall, change.LastFailure());
    return;
  }
  Forward(aCall, std::move(*change));
}

void
JobEntryRoutes::DrainWorker(const CallPtr& aCall)
{
  auto change =
    ParseDrainRequest(aCall->mRequest.mBody, aCall->mArguments.at(0), true);
  if (!change) {
    RefuseWithFailure(aCall, change.LastFailure());
    return;
  }
  Forward(aCall, std::move(*change));
}

void
JobEntryRoutes::ReadmitWorker(const CallPtr& aCall)
{
  auto change =
    ParseDrainRequest(aCall->mRequest.mBody, aCall->mArguments.at(0), false);
  if (!change) {
    RefuseWithFailure(aCall, change.LastFailure());
    return;
  }
  Forward(aCall, std::move(*change));
}

void
JobEntryRoutes::ChangeMembers(const CallPtr& aCall)
{
  auto request = ParseMemberRequest(aCall->mRequest.mBody);
  if (!request) {
    RefuseWithFailure(aCall, request.LastFailure());
    return;
  }
  Forward(aCall, std::move(*request));
}

void
JobEntryRoutes::ShowStatus(const CallPtr& aCall)
{
  Forward(aCall, protocol::StatusRequest{});
}

} // namespace dogwooddrum::daemon
