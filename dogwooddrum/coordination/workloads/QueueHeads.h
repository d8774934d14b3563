/** \file
 * Defines QueueHeads, which records how long the first waiting unit of each
 * queue level has waited, and what it lacked meanwhile. Internal to this
 * package.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Placement.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::workloads {

struct WorkloadEvent;

/** The queues of one pool with the same priority. Their units are placed in the
 * order of their due times. */
struct QueueLevel
{
  protocol::PoolName mPool;
  std::uint32_t mPriority = 0;
};

bool
operator<(const QueueLevel& aLeft, const QueueLevel& aRight);

/** What the first waiting unit of a level lacks. */
enum class HeadWaitCause : std::uint8_t
{
  Resources,     ///< the eligible workers have too little free in total
  Fragmentation, ///< enough in total, but not on enough workers
  Locality,      ///< it fits, but not on a preferred rack
  Headroom,      ///< it fits, but only into what is kept for urgent work
  // Number of causes; must stay last.
  Count,
};

/** Returns the lower-case name for logs and metrics. Thread safe. */
const char*
ToString(HeadWaitCause aCause);

/** Returns what aUnit lacks. aHeadroom: the resources that were taken from each
 * of aWorkers to keep them for urgent work; empty if none were. Precondition:
 * the unit was not placed on aWorkers. */
HeadWaitCause
FindHeadWaitCause(const PlacementUnit& aUnit,
                  const std::vector<WorkerView>& aWorkers,
                  const std::vector<ResourceVector>& aHeadroom);

/** Waits of the first units of all levels. Thread safety: none. */
class QueueHeads
{
public:
  /** Begins a decision; Finish ends it. */
  void Begin(base::Time aNow);
  /** Returns whether the level's first waiting unit was recorded since Begin.
   */
  bool HasHead(const QueueLevel& aLevel) const;
  /** Records the first unit of its level that was not placed. aStartDueIn: time
   * until its latest start that meets its objective. Returns the event to log
   * when that time has passed and the unit has been first for a second, once
   * for each unit. */
  std::optional<WorkloadEvent> OnHeadWaits(const PlacementUnit& aUnit,
                                           HeadWaitCause aCause,
                                           base::Duration aStartDueIn);
  /** Returns the events of units that are no longer first and have waited for
   * at least a second. */
  std::vector<WorkloadEvent> Finish();

private:
  struct Head
  {
    TaskId mTask;
    base::Time mSince;
    base::Time mSeenAt; ///< by the newest decision that recorded it
    HeadWaitCause mCause = HeadWaitCause::Resources;
    std::array<base::Duration, static_cast<std::size_t>(HeadWaitCause::Count)>
      mWaits{};
    bool mIsReportedOverdue = false;
  };

  static WorkloadEvent MakeEvent(const QueueLevel& aLevel, const Head& aHead);
  void AddElapsed(Head& aHead) const;

  base::Time mNow;
  std::set<QueueLevel> mRecorded; ///< since Begin
  std::map<QueueLevel, Head> mHeads;
  std::vector<std::pair<QueueLevel, Head>> mReplaced; ///< since Begin
};

} // namespace dogwooddrum::coordination::workloads
