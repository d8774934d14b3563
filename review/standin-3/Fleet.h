/** \file
 * Defines the fleet of a case: the system's own processes on loopback
 * addresses, started as the deploy file says, and the minions beside them.
 */
#pragma once

#include "Minion.h"

#include <sys/types.h>

namespace review {

struct FleetOptions
{
  int mControls = 3;
  int mEntries = 3;
  int mAgents = 11;
  std::int64_t mGuaranteedGpus = 16; ///< of the only tenant
};

/** A route of the configuration; all routes use the same service. */
struct Route
{
  std::string mName;
  std::string mPrefix;
  int mPriority = 0;
  int mMaxAttempts = 4;
};

/** Starts the processes of one small deployment, and ends all of them with its
 * own end. Must be used by one thread, but for Send. */
class Fleet
{
public:
  /** aRoot: the repository; aFolder: where the record is written. */
  Fleet(const FleetOptions& aOptions,
        std::string aRoot,
        const std::string& aFolder);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** Starts all processes and minions, hands in the configuration, and waits
   * until the entries are ready. Returns false if that takes over 30 s. */
  bool Start(const std::vector<Route>& aRoutes);

  /** Hands in a whole configuration until it is acknowledged, or returns false.
   */
  bool Configure(std::uint64_t aVersion, const std::vector<Route>& aRoutes);
  void Signal(const std::string& aName, int aSignal);
  /** Sends a client's request to an entry, and records it and the answer.
   * aEntry counts from 0. Thread safe. */
  Response Send(int aEntry,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = {},
                std::int64_t aTimeoutMs = 3000);
  /** Returns the state that a GET of the job shows, or "" without a 200. */
  std::string StateOf(int aEntry, const std::string& aPath);

  Minion& MinionAt(int aIndex) { return *mMinions.at(aIndex); }
  int CountMinions() const { return static_cast<int>(mMinions.size()); }
  Record& Log() { return mRecord; }

private:
  std::string Ip(const std::string& aRole, int aIndex) const;
  void Spawn(const std::string& aRole, int aIndex);
  std::string Render(const std::string& aRole, int aIndex) const;
  std::uint16_t Port(int aOffset) const;

  const FleetOptions mOptions;
  const std::string mRoot;
  Record mRecord;
  std::string mTemporary;
  int mNet = 0;
  int mBasePort = 0;
  std::map<std::string, pid_t> mProcesses;
  std::vector<std::unique_ptr<Minion>> mMinions;
};

} // namespace review
