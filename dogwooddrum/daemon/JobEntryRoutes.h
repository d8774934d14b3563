/** \file
 * Defines JobEntryRoutes, the HTTP interface for callers and operators of an
 * entry for jobs (design page, section 4.4).
 */
#pragma once

#include "dogwooddrum/coordination/admission/Admission.h"
#include "dogwooddrum/daemon/RequestTable.h"
#include "dogwooddrum/service/Metrics.h"
#include "dogwooddrum/transport/HttpServer.h"

#include <string>

namespace dogwooddrum::daemon {

struct JobEntryRoutesOptions
{
  std::string mOperatorKey; ///< empty: operator requests are refused
  base::Duration mRequestTimeout = base::Milliseconds(30000);
};

/** Handles HTTP requests: admits them, sends them to the control leader and
 * responds. Thread safe. The references passed to the constructor must outlive
 * this object. */
class JobEntryRoutes
{
public:
  JobEntryRoutes(const JobEntryRoutesOptions& aOptions,
                 coordination::admission::Admission& aAdmission,
                 RequestTable& aTable,
                 service::Metrics& aMetrics);

  /** Returns false, without calling aResponder, if no route matches the
   * request's method and path. */
  bool Handle(const transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder);

private:
  struct Call;
  struct RouteRow;
  using CallPtr = std::shared_ptr<Call>;

  static const std::vector<RouteRow>& RouteTable();
  bool IsAuthorized(const Call& aCall) const;
  void Refuse(const CallPtr& aCall, const protocol::Refusal& aRefusal);
  void RefuseWithFailure(const CallPtr& aCall, const base::Failure& aFailure);
  void Respond(const CallPtr& aCall, unsigned aStatus, std::string aJson);
  void Forward(const CallPtr& aCall, protocol::ClientRequestBody aBody);
  void OnReply(const CallPtr& aCall, const protocol::ClientReplyBody& aReply);
  /** Refuses the request and returns none if its path has no valid job id. */
  std::optional<base::JobId> ParseJobId(const CallPtr& aCall);

  void SubmitJob(const CallPtr& aCall);
  void OnSubmitted(const CallPtr& aCall, const protocol::JobView& aView);
  void ListJobs(const CallPtr& aCall);
  void PollJob(const CallPtr& aCall);
  void FetchAnswer(const CallPtr& aCall);
  void RequestAnswerPart(const CallPtr& aCall, base::JobId aJob);
  void OnAnswerPart(const CallPtr& aCall,
                    base::JobId aJob,
                    const protocol::AnswerPart& aPart);
  void CancelJob(const CallPtr& aCall);
  void AcknowledgeAnswer(const CallPtr& aCall);
  void ExplainJob(const CallPtr& aCall);
  void ShowConfiguration(const CallPtr& aCall);
  void ChangeConfiguration(const CallPtr& aCall);
  void DrainWorker(const CallPtr& aCall);
  void ReadmitWorker(const CallPtr& aCall);
  void ChangeMembers(const CallPtr& aCall);
  void ShowStatus(const CallPtr& aCall);

  const JobEntryRoutesOptions mOptions;
  coordination::admission::Admission& mAdmission;
  RequestTable& mTable;
  service::Metrics& mMetrics;
};

} // namespace dogwooddrum::daemon
