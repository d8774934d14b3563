/** \file
 * Defines UrgentDemand and ReserveHeadroom, which keep resources free of less
 * urgent work, so that urgent work starts without waiting for preemption.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/workloads/Placement.h"

#include <deque>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::workloads {

struct HeadroomOptions
{
  /** Time over which demand is averaged: long enough to hold the arrivals of
   * several bursts, and short enough to follow a burst of some seconds. */
  base::Duration mWindow = std::chrono::seconds(8);
  /** Time that a preemption takes: a stop (900 ms), its report and the commits
   * before and after. Headroom covers the demand that arrives in that time. */
  base::Duration mReactionTime = base::Milliseconds(1500);
  /** Largest share of the pool's resources that is kept free. */
  double mMaxShare = 0.15;
};

/** Resources that urgent work of one pool has requested within the window.
 * Thread safety: none. */
class UrgentDemand
{
public:
  void Add(const ResourceVector& aNeed, base::Time aNow);
  /** Returns the resources to keep free, without the limit of mMaxShare. */
  ResourceVector Headroom(base::Time aNow, const HeadroomOptions& aOptions);

private:
  std::deque<std::pair<base::Time, ResourceVector>> mArrivals;
};

/** Subtracts aHeadroom, limited to mMaxShare of the pool, from the free
 * resources of aWorkers. Takes whole workers: first those that are held for a
 * waiting unit, which urgent work may use as well, then those of the emptiest
 * racks, since gangs fit there. Reserves nothing while less than half of the
 * pool is in use. */
void
ReserveHeadroom(const protocol::PoolName& aPool,
                const ResourceVector& aHeadroom,
                std::vector<WorkerView>& aWorkers,
                const HeadroomOptions& aOptions);

} // namespace dogwooddrum::coordination::workloads
