/** \file
 * Defines SeededGroup, which runs control members and entries whose settings
 * name seeds as separate processes on loopback.
 */
#pragma once

#include "tests/support/ProcessCluster.h"

#include <chrono>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dogwooddrum::support {

/** Time after a restart or a loss in which the group must serve again. */
constexpr std::chrono::seconds kRecoveryLimit(12);

/** Control members and entries on loopback addresses of their own, whose
 * settings name seeds. Kills its processes at the end. The last character of a
 * name is a digit that tells it from the others of its role.
 * Thread safety: none. */
class SeededGroup
{
public:
  using Seeds = std::vector<std::string>;

  SeededGroup();
  ~SeededGroup();
  SeededGroup(const SeededGroup&) = delete;
  SeededGroup& operator=(const SeededGroup&) = delete;

  /** Starts the members of a new group, with the first three as seeds, and
   * waits until all are ready. Returns whether they are in time. */
  bool Found(const Seeds& aNames, int aToleratedLosses);
  void WriteControl(const std::string& aName,
                    const Seeds& aSeeds,
                    bool aBootstrap,
                    int aToleratedLosses);
  void WriteEntry(const std::string& aName, const Seeds& aSeeds);
  /** Writes the settings of an entry for jobs, which has no frontend. */
  void WriteJobEntry(const std::string& aName, const Seeds& aSeeds);
  /** Starts one process with its present settings file. */
  void Start(const std::string& aName);
  void Kill(const std::string& aName);
  /** Sends SIGTERM and waits for the end of the process. Returns how long that
   * took; a process that has not ended after the limit is killed. */
  std::chrono::milliseconds Terminate(const std::string& aName,
                                      std::chrono::milliseconds aLimit);
  void WipeDisk(const std::string& aName) const;
  /** Makes all writes of the process fail, as on a full disk. */
  void FillDisk(const std::string& aName) const;
  bool IsReady(const std::string& aName) const;
  /** Returns whether all processes are ready within the recovery limit. */
  bool AreAllReady() const;
  /** Returns the name of the leading member; empty if none leads. */
  std::string FindLeader() const;
  bool PutConfiguration(const std::string& aName, int aVersion = 3) const;
  /** Returns the version of the configuration that a member reads; 0: none. */
  int ReadConfiguration(const std::string& aName) const;
  /** Returns the lines of a process's log that hold aText. */
  std::vector<std::string> LogLines(const std::string& aName,
                                    const std::string& aText) const;

private:
  static std::string Ip(const std::string& aName);
  std::string Join(const Seeds& aNames) const;
  void WriteSettings(const std::string& aName,
                     const std::string& aRole,
                     const std::string& aSection) const;
  transport::HttpOutcome Call(const std::string& aName,
                              int aPortOffset,
                              const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody) const;

  std::string mFolder;
  const int mPort;
  std::map<std::string, pid_t> mPids;
};

} // namespace dogwooddrum::support
