/** \file
 * Defines UrgentDemand and HoldHeadroom: room that is kept free of less urgent
 * work, so that urgent work starts without waiting for others to be stopped.
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
  /** Time over which demand is averaged: several bursts' arrivals, and short
   * enough to follow a burst of some seconds. */
  base::Duration mWindow = std::chrono::seconds(8);
  /** Time that making room takes: a stop (900 ms), its report and the commits
   * around it. Headroom covers what arrives in that time. */
  base::Duration mReaction = base::Milliseconds(1500);
  /** Largest share of the pool that is kept free. */
  double mMostShare = 0.15;
};

/** The room that urgent work of one pool asked for lately. Thread safety:
 * none. */
class UrgentDemand
{
public:
  void Add(const Room& aNeed, base::Time aNow);
  /** Returns the room to keep free, without the options' upper limit. */
  Room Headroom(base::Time aNow, const HeadroomOptions& aOptions);

private:
  std::deque<std::pair<base::Time, Room>> mArrivals;
};

/** Takes aHeadroom, at most the options' share of the pool, out of the free
 * room of aWorkers: whole workers of the emptiest racks first, where gangs
 * fit. Holds nothing while less than half of the pool is in use. */
void
HoldHeadroom(const protocol::PoolName& aPool,
             const Room& aHeadroom,
             std::vector<WorkerView>& aWorkers,
             const HeadroomOptions& aOptions);

} // namespace dogwooddrum::coordination::workloads
