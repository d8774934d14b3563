/** \file
 * Defines RequestTable, the requests of an entry that wait for a reply from the
 * control leader.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/daemon/ControlLinks.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace dogwooddrum::daemon {

struct RequestTableOptions
{
  std::uint32_t mConcurrentRequests = 8000; ///< sent and not yet answered
  std::uint32_t mQueueBound = 4000;         ///< waiting to be sent
  /** Resends as a share of requests, in percent. Resends after a change of
   * leader wait until the budget allows them. */
  std::uint32_t mRetryBudgetPercent = 10;
};

/** Attributes of a request that determine how it waits for a reply. */
struct RequestAttributes
{
  base::Time mDeadline;
  std::int32_t mPriority = 0;
  bool mMayWait = true;
  /** Whether the request may start work. If so, the work may have run when the
   * reply is lost. */
  bool mStartsWork = false;
};

/**
 * Sends requests to the leader and resends them, under the same id, after a
 * change of leader or the loss of a link. Reply callbacks run on network
 * threads or on the thread that calls Start or Tick.
 * Thread safe.
 */
class RequestTable
{
public:
  using Reply = std::function<void(protocol::ClientReplyBody)>;

  /** aLinks must outlive this object. */
  RequestTable(ControlLinks& aLinks, const RequestTableOptions& aOptions);
  ~RequestTable();

  /**
   * Sends a request, or queues it. aReply runs once: with the leader's reply,
   * or with a Refusal (QueueFull, LoadShed, NoLeader, DeadlinePassed).
   */
  void Start(protocol::ClientRequestBody aBody,
             const RequestAttributes& aAttributes,
             Reply aReply);
  /** Handles a reply that arrived on the link of aRoute. */
  void OnReply(RouteId aRoute, protocol::ClientReply aReply);
  /** Call when aRoute was chosen, or with 0 when the member of the current
   * route was found not to be the leader. Unless aRoute is already confirmed as
   * the leader's, nothing is sent until OnLeaderAnswered. */
  void OnRoute(RouteId aRoute);
  /**
   * Call when the member of aRoute has answered as the leader. Until then
   * nothing is sent on a new route, so that a search for the leader does not
   * send every request to every member. Resends the requests that were sent on
   * earlier routes, within the budget.
   */
  void OnLeaderAnswered(RouteId aRoute);
  /** Refuses requests whose deadline has passed, and resends within the budget.
   * Call every 10 to 50 ms. */
  void Tick(base::Time aNow);

  std::size_t InProgress() const;
  std::size_t Queued() const;
  std::uint64_t ResendCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
