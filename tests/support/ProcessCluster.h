/** \file
 * Defines ProcessCluster, which runs daemons and stand-in targets as separate
 * processes on loopback, for process tests and measurements.
 */
#pragma once

#include "dogwooddrum/transport/HttpClient.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dogwooddrum::support {

struct ProcessClusterOptions
{
  int mControls = 3;
  int mEntries = 1;
  int mAgents = 2;
  std::vector<std::string> mTargetArguments;
  /** Returns the address at which agents and entries reach control i, such as
   * a proxy's; empty: the control's own address. */
  std::function<std::string(int, std::uint16_t)> mControlAddress;
  int mDrainDelayMs = 100;
};

/**
 * Runs processes named control-1, entry-1, agent-1, target-1 and so on. The
 * destructor kills all of them by their process ids.
 * Thread safety: none.
 */
class ProcessCluster
{
public:
  explicit ProcessCluster(ProcessClusterOptions aOptions);
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster&) = delete;
  ProcessCluster& operator=(const ProcessCluster&) = delete;

  /** Writes all settings and starts all processes. */
  void StartAll();
  /** Waits until every daemon is ready, and sets up account "yard" with
   * profile "std". Returns false after 30 s. */
  bool WaitReady();
  /** Starts one process with its present settings file. */
  void Start(const std::string& aName);
  /** Sends a signal. */
  void Signal(const std::string& aName, int aSignal) const;
  /** Makes writes beyond aBytes of a file fail; none: lifts the limit. The
   * test must ignore SIGXFSZ before it starts the process. */
  void LimitFileSize(const std::string& aName,
                     std::optional<std::uint64_t> aBytes) const;
  /** Kills and reaps a process. */
  void Kill(const std::string& aName);
  /** Waits for the end of a process; returns its exit status, or -1. */
  int WaitExit(const std::string& aName, std::chrono::milliseconds aLimit);
  /** Rewrites the settings file of a control member, with aId as its member
   * id. */
  void WriteControlSettings(int aMember, std::uint64_t aId);

  /** Calls a daemon or target. */
  transport::HttpOutcome Call(const std::string& aName,
                              const std::string& aMethod,
                              const std::string& aTarget,
                              const std::string& aBody = "",
                              int aTimeoutMs = 10000) const;
  /** Submits a job of account "yard"; aFields is more JSON, such as
   * "\"tasks\":4". */
  transport::HttpOutcome Submit(const std::string& aEntry,
                                const std::string& aKey,
                                int aWaitMs,
                                const std::string& aFields = "",
                                int aTimeoutMs = 20000) const;
  /** Returns the name of the leading control member; empty if none leads. */
  std::string FindLeader() const;
  /** Returns how many times the targets were called to run the job. */
  int CountRuns(const std::string& aJob) const;
  std::uint16_t HttpPort(const std::string& aName) const
  {
    return mPorts.at(aName);
  }
  std::uint16_t LinkPort(int aControl) const { return mLinkPorts.at(aControl); }
  const std::string& Folder() const { return mFolder; }
  /** Returns the log of a process. */
  std::string ReadLog(const std::string& aName) const;

private:
  void WriteDaemonSettings(const std::string& aName,
                           const std::string& aRole,
                           std::uint16_t aLinkPort,
                           const std::string& aSection) const;
  void InitializeMember(int aMember);
  std::string ControlAddresses() const;
  void StartTarget(const std::string& aName);

  const ProcessClusterOptions mOptions;
  std::string mFolder;
  std::map<std::string, std::uint16_t> mPorts;
  std::map<int, std::uint16_t> mLinkPorts;
  std::map<std::string, pid_t> mPids;
};

/** Polls aCondition; returns whether it became true within aLimit. */
bool
Eventually(const std::function<bool()>& aCondition,
           std::chrono::milliseconds aLimit = std::chrono::seconds(30));

/** Returns the value of a text or number field in a flat JSON object. */
std::string
JsonField(const std::string& aJson, const std::string& aName);

/** Returns a loopback port that nothing listens on. */
std::uint16_t
FreePort();

} // namespace dogwooddrum::support
