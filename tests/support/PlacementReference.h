/** \file
 * Defines a reference model of placement for differential tests: exhaustive
 * search over a small cluster, independent of the placer's code.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Placer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

using coordination::placement::JobRequest;
using coordination::placement::TaskPlacement;
using coordination::placement::WorkerDescription;

/** A worker as the model records it. */
struct ReferenceWorker
{
  WorkerDescription mDescription;
  bool mUp = true;
  bool mDrained = false;
};

/** A started job as the model records it. */
struct ReferenceJob
{
  JobRequest mRequest;
  std::vector<TaskPlacement> mTasks;
  bool mBorrowed = false;
};

/** Accelerators by worker name. */
using Amounts = std::map<std::string, std::uint32_t>;

/** The reference model. */
class PlacementReference
{
public:
  std::map<std::string, ReferenceWorker> mWorkers;
  std::map<std::uint64_t, ReferenceJob> mHeld;
  protocol::Configuration mConfiguration;

  /** Returns the accelerators of usable workers. */
  Amounts Capacity() const;
  /** Returns the capacity less the accelerators of held jobs. */
  Amounts Free() const;
  /** Returns whether some worker, rack, zone or the region, as the adjacency
   * requires, holds the whole gang. */
  bool Fits(const protocol::GangShape& aShape, const Amounts& aAmounts) const;
  /** Checks that a start places a whole gang, adjacent, on free workers, and
   * that borrowed work can be reclaimed. Returns the violation, or an empty
   * string. */
  std::string CheckStart(const JobRequest& aRequest,
                         const std::vector<TaskPlacement>& aTasks,
                         bool aBorrowed) const;
  /**
   * Returns whether all guaranteed shapes can be formed at the same time by
   * stopping only borrowed work. The shapes must contain the jobs that were
   * started inside guarantees.
   */
  bool CanFormGuarantees() const;
  /** Returns whether all guaranteed shapes of a configuration fit the empty
   * cluster at the same time. */
  bool ShapesFit(const protocol::Configuration& aConfiguration) const;

private:
  std::string DomainOf(const std::string& aWorker,
                       protocol::Adjacency aLevel) const;
};

} // namespace dogwooddrum::tests
