/** \file
 * Defines the times and target descriptions that tests of agents and leaders
 * without processes share.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

namespace dogwooddrum::tests {

/** Returns the time aMs ms after the epoch of the steady clock. */
inline base::Time
At(std::int64_t aMs)
{
  return base::Time(base::Milliseconds(aMs));
}

/** Returns the description of a target of the pool "pool". */
inline protocol::TargetInfo
TargetInfoOf(const protocol::TargetIncarnation& aTargetIncarnation,
             const protocol::Resources& aCapacity = {})
{
  protocol::TargetInfo info;
  info.mTargetIncarnation = aTargetIncarnation;
  info.mPool = protocol::PoolName("pool");
  info.mCapacity = aCapacity;
  return info;
}

/** Returns a catalog with one queue, which a default reference names. Its pool
 * has no target. */
inline protocol::Catalog
CatalogWithOneQueue()
{
  protocol::Catalog catalog;
  catalog.mVersion = protocol::CatalogVersion(1);
  catalog.mQueues.emplace_back();
  return catalog;
}

/** Returns the first run of the only task of the workload "a". */
inline protocol::RunId
FirstRunOfA()
{
  return { { protocol::WorkloadId("a"), 0, 0, 0 }, protocol::RunNumber(1) };
}

} // namespace dogwooddrum::tests
