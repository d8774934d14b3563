/** \file
 * Defines Fleet, a small deployment of separate processes on loopback
 * addresses, with stand-ins for the platform, the minions, the operator and the
 * clients.
 */
#pragma once

#include "review/fleet/Minion.h"
#include "review/fleet/Proxy.h"

#include <sys/types.h>

namespace review {

/** Exit status of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/** Zones of the deployment; each has a control member and an entry. */
constexpr int kZones = 3;

struct FleetOptions
{
  std::string mFolder; ///< for settings, data and logs
  /** Whether links to control members pass through proxies, so that they can be
   * cut. The members are then named by ids and addresses. */
  bool mHasProxies = false;
  int mAgents = 3;          ///< each with a minion; the zones take turns
  std::uint64_t mCores = 8; ///< of each minion
  std::function<std::int64_t(const std::string& aTask)> mWorkMs;
  std::string mEnd = "done"; ///< how tasks end once they have worked
};

class Fleet
{
public:
  /** Returns whether the links between two processes are cut. */
  using CutRule =
    std::function<bool(const std::string& aOne, const std::string& aOther)>;

  Fleet(FleetOptions aOptions, Record& aRecord);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** Starts all processes, hands in the configuration, and waits until all
   * entries serve it. Returns false if that fails. */
  bool Start(const Json& aConfig);

  /** Hands in a configuration, to one node after the other. Returns the last
   * status. */
  int PutConfig(const Json& aConfig);
  /** Returns the number of the member that answers as the leader, or 0. */
  int FindLeader();
  /** Reads the configuration at a member. */
  HttpAnswer ReadConfig(int aControl);
  /** Makes the call of a client at the entry of a zone. */
  HttpAnswer CallEntry(int aZone,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aBody = {});
  /** Calls the entry of the zone until aWanted accepts the answer or the time
   * has passed. Returns the last answer. */
  HttpAnswer CallUntil(int aZone,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aBody,
                       std::int64_t aForMs,
                       const std::function<bool(int aStatus)>& aWanted);
  /** Cuts links with a reset; an empty rule heals all cuts. */
  void Cut(CutRule aRule);
  void StartProcess(const std::string& aName);
  /** Sets the numbers of the control members that serve, to which operators
   * turn and which the settings of all processes name, at most three. */
  void SetControls(const std::vector<int>& aControls);
  /** Removes all data of a control member. Precondition: it does not run. */
  void WipeDisk(const std::string& aName) const;
  bool IsRunning(const std::string& aName);
  void Signal(const std::string& aName, int aSignal);
  /** Returns the minion of an agent. Precondition: Start. */
  Minion& MinionOf(int aAgent) { return *mMinions.at(aAgent - 1); }

  const Starts& AllStarts() const { return mStarts; }

private:
  std::vector<std::string> AllNames() const;
  Address AddressOf(const std::string& aName, int aPort) const;
  Address LinkAddress(int aZone) const;
  std::string MakeSettings(const std::string& aName) const;
  bool StartMembers();
  void StartMinions();
  bool IsCut(const std::string& aOne, const std::string& aOther) const;

  const FleetOptions mOptions;
  Record& mRecord;
  const std::string mNetwork; ///< the first two parts of all addresses
  const int mPort;
  Starts mStarts;
  mutable std::mutex mMutex; ///< guards mCutRule
  CutRule mCutRule;
  std::vector<int> mControls = { 1, 2, 3 };
  bool mIsFirstStart = true;
  std::map<std::string, pid_t> mPids;
  std::vector<std::unique_ptr<LinkProxy>> mProxies;
  std::vector<std::unique_ptr<Minion>> mMinions;
};

struct Route
{
  std::string mName;
  std::string mPrefix;
  int mPriority = 1;
};

/** Returns a configuration with routes on the host kHost to one service,
 * `works`, and one tenant, whose key is kKey. */
Json
MakeConfig(std::uint64_t aVersion, const std::vector<Route>& aRoutes);

constexpr const char* kHost = "yard.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

/** Returns a job of steps; each step waits for the one before it. aCores: of
 * each task. */
std::string
MakeJob(int aSteps, int aCores, int aTasks = 1);

/** Returns false if the environment says TROUBLE=0. */
bool
HasTrouble();

} // namespace review
