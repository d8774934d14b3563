/** \file
 * Defines the order in which placement tries workers of different speeds.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Placement.h"

#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Returns the speed class of a worker: 0 for the median worker, higher for
 * slower ones. Speeds within a class do not differ clearly. */
int
SpeedClassOf(const WorkerView& aWorker);

/** Speed classes, both included. */
struct SpeedRange
{
  int mFastest = 0;
  int mSlowest = 0;

  bool Contains(const WorkerView& aWorker) const;
};

/** Returns the ranges of workers to try for a gang before all workers are
 * tried, in this order; empty if the workers do not differ. A gang is as slow
 * as its slowest member, while the others wait: one that prefers fast workers
 * tries those first, and then adds slower ones; another one tries workers of
 * like speed first, beginning with the slowest. */
std::vector<SpeedRange>
SpeedRangesFor(const PlacementUnit& aUnit,
               const std::vector<WorkerView>& aWorkers);

/** Returns whether the unit is to be placed on fast workers: it is urgent, or
 * would end after its due time on the slowest worker of its pool. aNowMs: Unix
 * time. */
bool
PrefersFast(const PlacementUnit& aUnit,
            const std::vector<WorkerView>& aWorkers,
            std::int64_t aNowMs);

} // namespace dogwooddrum::coordination::workloads
