/** \file
 * Defines Decision, which places the waiting units once. Internal to this
 * package.
 */
#pragma once

#include "dogwooddrum/coordination/workloads/Levels.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"
#include "dogwooddrum/coordination/workloads/Starts.h"

#include <set>
#include <vector>

namespace dogwooddrum::coordination::workloads {

/** Places the waiting units once. Urgent and long-running units come first, in
 * order. The others are divided into levels, see Levels, and the first waiting
 * unit of a level below its share has workers held for it. Thread safety: none.
 */
class Decision
{
public:
  /** aLeader must outlive this. */
  explicit Decision(LeaderContext& aLeader);
  /** Places what fits. To be called once. */
  void Run();

private:
  std::vector<PlacementUnit>::iterator PlacePrivileged();
  void HoldForIsolation(const PlacementUnit& aUnit);
  bool TryPlace(PlacementUnit& aUnit);
  void CountHeadroomInShares();
  void PlaceReservedUnits();
  bool ReserveFor(const QueueLevel& aLevel, PlacementUnit& aUnit);
  void PlaceNextUnit(LevelUnits& aLevel);
  void OnUnplaced(const PlacementUnit& aUnit);
  void RecordHeadWait(const PlacementUnit& aUnit);

  LeaderContext& mLeader;
  const Guarantees mGuarantees;
  std::vector<WorkerView> mViews;
  std::vector<PlacementUnit> mUnits;
  Levels mLevels;
  std::vector<ResourceVector> mHeadroom; ///< taken from each view
  StepPlacements mPlaced;
  std::set<QueueLevel> mUnplaced; ///< levels with a unit without room
};

} // namespace dogwooddrum::coordination::workloads
