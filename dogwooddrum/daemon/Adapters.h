/** \file
 * Defines the adapters that translate a platform's HTTP formats: the calls of
 * callers and operators, and the calls between an agent and its target. An
 * adapter defines names and formats only; its users make all decisions.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/HttpClient.h"
#include "dogwooddrum/transport/HttpServer.h"

#include <memory>
#include <optional>
#include <string>

namespace dogwooddrum::daemon {

/** Kind of a call, decoded without the path prefix of the queue. */
enum class CallKind : std::uint8_t
{
  Submit,
  Read, ///< of a workload, or of a queue's count if no id follows the prefix
  Cancel,
  Other, ///< not part of the interface
};

/** A decoded call of a caller. */
struct CallerCall
{
  CallKind mKind = CallKind::Other;
  std::string mHost;
  std::string mKey; ///< empty: none was sent
  /** How long the caller waits for the answer; none: not stated. */
  std::optional<base::Duration> mCallerTimeout;
};

/** Why an entry refuses a call without a reply of the leader. */
enum class CallRefusal : std::uint8_t
{
  UnknownQueue,
  UnknownKey,
  InvalidCall,
  NotReady, ///< nothing was sent to the leader; the caller may retry
  TimedOut, ///< the leader may still execute the call
};

/** Decodes the calls of callers at an entry and renders the responses.
 * Implementations are thread safe. */
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;
  virtual CallerCall Decode(const transport::ServerRequest& aRequest) const = 0;
  /** Returns whether aText can be a workload's id. */
  virtual bool IsWorkloadId(const std::string& aText) const = 0;
  virtual base::Outcome<protocol::WorkloadSpec> DecodeWorkload(
    const std::string& aBody) const = 0;
  virtual transport::ServerResponse Render(
    CallKind aKind,
    const protocol::WorkloadReply& aReply) const = 0;
  /** Renders the number of waiting workloads of a queue. */
  virtual transport::ServerResponse RenderCount(
    const protocol::WorkloadReply& aReply) const = 0;
  /** aRetryAfter: when the caller should retry, if the refusal is not
   * final. */
  virtual transport::ServerResponse Render(
    CallRefusal aRefusal,
    base::Duration aRetryAfter) const = 0;
  /** Returns whether the request is the load balancer's probe. */
  virtual bool IsProbe(const transport::ServerRequest& aRequest) const = 0;
};

/** A call of an operator, or the response to a call that is not valid. */
using OperatorCall = std::variant<protocol::ReplaceCatalog,
                                  protocol::ReadCatalog,
                                  protocol::SetZoneEvacuation,
                                  protocol::ListEvacuations,
                                  transport::ServerResponse>;

/** Decodes the calls of operators at a control member and renders the
 * responses. Implementations are thread safe. */
class OperatorProtocol
{
public:
  virtual ~OperatorProtocol() = default;
  virtual OperatorCall Decode(
    const transport::ServerRequest& aRequest) const = 0;
  virtual transport::ServerResponse Render(
    const protocol::WorkloadReply& aReply) const = 0;
  /** Returns a redirect to the same path at aAddress. */
  virtual transport::ServerResponse Redirect(
    const transport::Address& aAddress,
    const transport::ServerRequest& aRequest) const = 0;
  /** Returns a response for a call that may or may not have been executed.
   * aError: for the operator; may be empty. */
  virtual transport::ServerResponse Unavailable(
    const std::string& aError) const = 0;
};

/** The state that a target announces to its agent. */
struct Announcement
{
  protocol::TargetInfo mTargetInfo;
  transport::Address mAddress;
  /** Increases within one incarnation of the target. */
  std::uint64_t mSequence = 0;
  /** Whether the target shuts down; mTargetInfo then holds the instance only.
   */
  bool mHasLeft = false;
};

/** Result of an order to a target. */
enum class OrderResult : std::uint8_t
{
  Done,
  StaleToken,   ///< the target has seen a higher fencing token
  Superseded,   ///< a run with the same or a higher number was stopped or ended
  LeaseExpired, ///< the lease of the start has expired
  Refused,      ///< no capacity, unhealthy, or an order that is not understood
  WrongInstance, ///< the addressed incarnation of the target has ended
  NoAnswer,      ///< the target may execute the order, also later
  NotSent,       ///< nothing was sent by this process
};

struct OrderAnswer
{
  OrderResult mResult = OrderResult::NoAnswer;
  std::string mMessage;
};

/** The runs that a target reports. */
struct RunListing
{
  std::int64_t mClockMs = 0; ///< the target's clock
  protocol::TargetIncarnation mTargetIncarnation;
  std::vector<protocol::RunningTask> mRunning;
  std::vector<protocol::EndedTask> mEnded;
};

/** A call that renews the lease and reads the target's runs. */
struct LeaseRenewal
{
  protocol::FencingToken mFencingToken;
  std::uint64_t mAcknowledged = 0;
  std::optional<std::int64_t> mLeaseUntilMs; ///< on the target's clock
  base::Duration mMaxWait{}; ///< how long the target waits for a run to end
};

/** Encodes and decodes the calls between an agent and its target.
 * Implementations are thread safe. */
class TargetProtocol
{
public:
  virtual ~TargetProtocol() = default;
  /** Returns the target's announcement, or why the request is not valid. */
  virtual base::Outcome<Announcement> Decode(
    const transport::ServerRequest& aRequest) const = 0;
  virtual transport::ServerResponse Acknowledge() const = 0;
  virtual transport::ServerResponse Reject(
    const base::Failure& aFailure) const = 0;
  virtual transport::HttpRequest EncodeStart(
    const protocol::StartOrder& aOrder,
    protocol::FencingToken aFencingToken,
    std::int64_t aLeaseUntilMs,
    const protocol::TargetIncarnation& aTargetIncarnation) const = 0;
  virtual transport::HttpRequest EncodeStop(
    const protocol::RunId& aRun,
    protocol::FencingToken aFencingToken,
    const protocol::TargetIncarnation& aTargetIncarnation) const = 0;
  virtual transport::HttpRequest EncodeLeaseRenewal(
    const LeaseRenewal& aCall,
    const protocol::TargetIncarnation& aTargetIncarnation) const = 0;
  virtual OrderAnswer DecodeOrder(
    const transport::HttpOutcome& aOutcome) const = 0;
  virtual base::Outcome<RunListing> DecodeRunListing(
    const transport::HttpOutcome& aOutcome,
    const protocol::TargetIncarnation& aTargetIncarnation) const = 0;
};

/** The adapters of one platform; each may be null. */
struct Adapters
{
  std::unique_ptr<CallerProtocol> mCallers;
  std::unique_ptr<OperatorProtocol> mOperators;
  std::unique_ptr<TargetProtocol> mTargets;
};

} // namespace dogwooddrum::daemon
