/** \file
 * Defines WaitQueue, the bounded priority queue of requests that wait to be
 * sent to the control leader. When full, it sheds the lowest priority first.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace dogwooddrum::coordination::admission {

/** A request in the queue. */
struct WaitingRequest
{
  base::RequestId mRequest;
  std::int32_t mPriority = 0;          ///< of its profile; higher first
  bool mMayWait = true;                ///< false: refuse, do not queue
  std::optional<base::Time> mDeadline; ///< refused from this time on
};

/** A request that was refused or removed without being served. */
struct ShedRequest
{
  base::RequestId mRequest;
  base::Reason mReason = base::Reason::LoadShed;
};

/**
 * First in, first out within a priority; higher priorities first.
 * Thread safety: none.
 */
class WaitQueue
{
public:
  /** aLimit: maximum number of waiting requests. */
  explicit WaitQueue(std::size_t aLimit);

  /**
   * Adds a request. Returns the one that is refused, if any: the request
   * itself with QueueFull, or with LoadShed if it may not wait; or a waiting
   * one of lower priority with LoadShed.
   */
  std::optional<ShedRequest> Push(const WaitingRequest& aRequest);
  /** Removes and returns the next request. */
  std::optional<WaitingRequest> Pop();
  /** Removes requests whose deadline has passed. */
  std::vector<ShedRequest> Expire(base::Time aNow);
  /** Removes a request; returns false if it is not in the queue. */
  bool Remove(base::RequestId aRequest);

  std::size_t Size() const { return mSize; }

private:
  void DropEmptyLevel(std::int32_t aPriority);

  const std::size_t mLimit;
  std::size_t mSize = 0;
  std::map<std::int32_t, std::deque<WaitingRequest>> mLevels;
};

} // namespace dogwooddrum::coordination::admission
