/** \file
 * Defines the options of a soak run and reads them from the command line.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace dogwooddrum::tests {

/** What the settings of a process name as control addresses at its start. */
enum class SeedList
{
  Initial,  ///< the first three members
  Operator, ///< the members that served operators 3 s ago, at most three
};

/** What the first start after a loss of all power finds as control addresses.
 * Processes that exit are started again with SeedList::Operator. */
enum class RestartList
{
  Usual, ///< as before the loss of power
  Empty, ///< none
  Wiped, ///< only members whose disks are lost
  Stale, ///< the first three members of the group, replaced or not
};

/** How control members are replaced before the final fault. */
enum class Replacement
{
  None,
  Plain,   ///< one member is lost; its successor starts then
  Leader,  ///< as Plain, and the member is the leader
  Planned, ///< the successor starts 5 s before the member leaves
  Twice,   ///< two plain replacements, 6 s apart
};

struct SoakOptions
{
  std::uint64_t mSeed = 1;
  std::int64_t mSeconds = 10;
  int mControls = 3; ///< 3 or 5
  int mAgents = 4;
  SeedList mSeeds = SeedList::Initial;
  /** Whether random faults include the loss of all power and replacements of
   * control members. */
  bool mPowerFaults = false;
  /** Whether random faults of processes and links are injected. */
  bool mRandomFaults = true;
  /** Whether the run ends with the loss of all power right after a
   * configuration is acknowledged. */
  bool mFinalPowerLoss = false;
  int mWiped = 0;               ///< disks lost in the final fault
  bool mRestartTargets = false; ///< in the final fault
  std::int64_t mDownMs = 2000;  ///< time without power in the final fault
  std::int64_t mSpreadMs = 300; ///< in which all processes start then
  RestartList mRestartList = RestartList::Usual;
  Replacement mReplacement = Replacement::None;
  std::int64_t mSettleMs = 6000; ///< from the last replacement to the fault
};

/** Reads SEED SECONDS [name=value...]. Prints the usage and returns an empty
 * optional if an argument is not valid. */
std::optional<SoakOptions>
ReadSoakOptions(int aCount, char** aArguments);

} // namespace dogwooddrum::tests
