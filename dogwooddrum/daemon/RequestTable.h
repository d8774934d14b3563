/** \file
 * Defines RequestTable, the requests of an entry that wait for a reply of the
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
  std::uint32_t mConcurrentRequests = 8000; ///< sent and not answered
  std::uint32_t mQueueBound = 4000;         ///< waiting to be sent
  /** Resends as a share of requests, in percent. Resends that a change of
   * leader makes necessary wait until the budget allows them. */
  std::uint32_t mRetryBudgetPercent = 10;
};

/** How a request is treated while it waits. */
struct RequestTerms
{
  base::Time mDeadline;
  std::int32_t mPriority = 0;
  bool mMayWait = true;
  /** Whether the request may start work, so that a lost reply means that it
   * may have run. */
  bool mStartsWork = false;
};

/**
 * Sends requests to the leader and resends them, under the same id, after a
 * change of leader or the loss of a link. Replies run on network threads.
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
             const RequestTerms& aTerms,
             Reply aReply);
  /** Handles a reply. aRoute is that of the link it arrived on. */
  void OnReply(RouteId aRoute, protocol::ClientReply aReply);
  /** Tells that aRoute is chosen, or was found not to lead if aRoute is 0;
   * nothing more is sent until OnLeaderAnswered. */
  void OnRoute(RouteId aRoute);
  /**
   * Tells that the member behind aRoute has answered as the leader. Until
   * then nothing is sent on a new route, so that a search for the leader does
   * not send every request to every member. Resends what was sent on earlier
   * routes.
   */
  void OnLeaderAnswered(RouteId aRoute);
  /** Ends requests whose deadline has passed, and resends within the budget.
   * Call every 10 to 50 ms. */
  void Tick(base::Time aNow);

  std::size_t InProgress() const;
  std::size_t Queued() const;
  std::uint64_t Resends() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
