/** \file
 * Defines what a platform's adapter translates: calls of callers and
 * operators, and calls between an agent and its target. An adapter holds
 * names and formats only; all decisions are made by its users.
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

/** What a caller wants; the queue's prefix is not known to the adapter. */
enum class CallKind : std::uint8_t
{
  Submit,
  Read, ///< of a workload, or of a queue's count if no id follows the prefix
  Cancel,
  Other, ///< not part of the interface
};

struct CallerCall
{
  CallKind mKind = CallKind::Other;
  std::string mHost;
  std::string mKey; ///< empty: none was sent
  /** How long the caller waits for the answer; none: it did not say. */
  std::optional<base::Duration> mPatience;
};

/** Why an entry answers a call without the leader. */
enum class Refusal : std::uint8_t
{
  UnknownQueue,
  UnknownKey,
  InvalidCall,
  NotReady, ///< nothing was sent to the leader; the call may come again
  TimedOut, ///< the leader may still carry the call out
};

/** Calls of callers at an entry. Implementations are thread safe. */
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
  /** Returns the count of a queue's waiting workloads. */
  virtual transport::ServerResponse RenderCount(
    const protocol::WorkloadReply& aReply) const = 0;
  /** aReturnAfter: when the caller should return, if the refusal is not
   * final. */
  virtual transport::ServerResponse Render(
    Refusal aRefusal,
    base::Duration aReturnAfter) const = 0;
  /** Returns whether the request is the load balancer's probe. */
  virtual bool IsProbe(const transport::ServerRequest& aRequest) const = 0;
};

/** A call of an operator, or the response to a call that is not valid. */
using OperatorCall = std::variant<protocol::ReplaceCatalog,
                                  protocol::ReadCatalog,
                                  transport::ServerResponse>;

/** Calls of operators at a control member. Implementations are thread
 * safe. */
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
  /** Returns a response that leaves open what became of the call. */
  virtual transport::ServerResponse Unavailable() const = 0;
};

/** What a target says of itself at its agent. */
struct Announcement
{
  protocol::TargetFacts mFacts;
  transport::Address mAddress;
  std::uint64_t mSequence = 0; ///< rises within a life
  bool mLeft = false;          ///< its life ends now; only the instance is set
};

/** How a target took an order. */
enum class OrderResult : std::uint8_t
{
  Done,
  StaleToken, ///< it has seen a higher fencing token
  Superseded, ///< a run as high was stopped or ended there
  TooLate,    ///< the start's lease has ended
  Refused,    ///< no room, unhealthy, or an order it does not understand
  OtherLife,  ///< the addressed life is over
  NoAnswer,   ///< it may be carried out, also later
  NotSent,    ///< nothing left this process
};

struct OrderAnswer
{
  OrderResult mResult = OrderResult::NoAnswer;
  std::string mMessage;
};

/** What a target lists of its runs. */
struct Listing
{
  std::int64_t mClockMs = 0; ///< the target's clock
  protocol::TargetLife mLife;
  std::vector<protocol::RunningTask> mRunning;
  std::vector<protocol::EndedTask> mEnded;
};

/** A lease renewal that also reads the target's runs. */
struct HoldCall
{
  protocol::FencingToken mFence;
  std::uint64_t mAcknowledged = 0;
  std::optional<std::int64_t> mLeaseUntilMs; ///< on the target's clock
  base::Duration mWait{};                    ///< for an end
};

/** Calls between an agent and its target. Implementations are thread safe. */
class TargetProtocol
{
public:
  virtual ~TargetProtocol() = default;
  /** Returns what the target says, or why that cannot be read. */
  virtual base::Outcome<Announcement> Decode(
    const transport::ServerRequest& aRequest) const = 0;
  virtual transport::ServerResponse Acknowledge() const = 0;
  virtual transport::ServerResponse Reject(
    const base::Failure& aFailure) const = 0;
  virtual transport::HttpRequest EncodeStart(
    const protocol::StartOrder& aOrder,
    protocol::FencingToken aFence,
    std::int64_t aLeaseUntilMs,
    const protocol::TargetLife& aLife) const = 0;
  virtual transport::HttpRequest EncodeStop(
    const protocol::RunId& aRun,
    protocol::FencingToken aFence,
    const protocol::TargetLife& aLife) const = 0;
  virtual transport::HttpRequest EncodeHold(
    const HoldCall& aCall,
    const protocol::TargetLife& aLife) const = 0;
  virtual OrderAnswer DecodeOrder(
    const transport::HttpOutcome& aOutcome) const = 0;
  virtual base::Outcome<Listing> DecodeHold(
    const transport::HttpOutcome& aOutcome,
    const protocol::TargetLife& aLife) const = 0;
};

/** The adapters of one platform; each may be null. */
struct Adapters
{
  std::unique_ptr<CallerProtocol> mCallers;
  std::unique_ptr<OperatorProtocol> mOperators;
  std::unique_ptr<TargetProtocol> mTargets;
};

} // namespace dogwooddrum::daemon
