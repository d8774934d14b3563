/** \file
 * Defines what a decision orders: the starts of the units that it has placed.
 * Internal to this package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/LeaderContext.h"

#include <map>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Proposes the start of the unit's tasks on the workers of aAssignment, which
 * are indices of aViews. Precondition: the unit is waiting. */
void
ProposeStarts(LeaderContext& aLeader,
              const PlacementUnit& aUnit,
              const Assignment& aAssignment,
              const std::vector<WorkerView>& aViews);

/** Records where this decision has placed tasks of each step. Units that were
 * collected before do not contain these placements. Thread safety: none. */
class StepPlacements
{
public:
  void ApplyTo(PlacementUnit& aUnit) const;

  void Record(const PlacementUnit& aUnit,
              const Assignment& aAssignment,
              const std::vector<WorkerView>& aViews);

private:
  using Key = std::pair<const WorkloadStep*, std::uint32_t>;
  static Key KeyOf(const PlacementUnit& aUnit);

  std::map<Key, std::vector<std::pair<std::size_t, base::RackId>>> mPlaced;
};

} // namespace dogwooddrum::coordination::workloads
