/** \file
 * Defines SoakProcesses, which runs the daemons of a soak run with settings
 * files as the users' platform writes them.
 */
#pragma once

#include "dogwooddrum/transport/HttpClient.h"
#include "tests/platform/soak/SoakOptions.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace dogwooddrum::tests {

enum class NodeKind
{
  Control,
  Entry,
  Agent,
  Target,
};

/** Returns the present time in ms. */
std::int64_t
SoakNowMs();

/** Runs daemons named control0, entry0, agent0 and so on, each on a loopback
 * address of its own. The destructor kills them by their process ids. The main
 * thread calls the public functions; Call is thread safe. */
class SoakProcesses
{
public:
  static constexpr int kEntries = 2;

  explicit SoakProcesses(const SoakOptions& aOptions);
  ~SoakProcesses();
  SoakProcesses(const SoakProcesses&) = delete;
  SoakProcesses& operator=(const SoakProcesses&) = delete;

  /** Returns the names of all processes that belong to the system. */
  std::vector<std::string> Names() const;
  /** Returns the indices of the control members that belong to the system. */
  std::vector<int> Controls() const;
  /** Adds a control member with an empty disk at an address of its own;
   * returns its index. */
  int AddControl();
  /** Kills a control member for good and removes its disk. */
  void RemoveControl(int aIndex);
  void WipeDisk(int aControl);

  /** Writes the settings of a process and starts it. */
  void Start(const std::string& aName);
  /** Kills a process and waits for its end. */
  void Kill(const std::string& aName);
  /** Sends SIGTERM and waits for the end of a process; kills it after
   * aLimitMs. */
  void Terminate(const std::string& aName, std::int64_t aLimitMs);
  /** Kills all processes, and waits for their ends only then. */
  void KillAll();
  void Signal(const std::string& aName, int aSignal) const;
  bool IsRunning(const std::string& aName) const;
  /** Waits for processes that have exited, and schedules their next start. */
  void ReapExited();
  /** Returns whether the delay after an exit of a process is over. */
  bool MayStart(const std::string& aName) const;
  /** Writes the settings of all processes, without a signal, if the control
   * addresses in effect have changed. */
  void UpdateSettings();
  /** Replaces the control addresses in effect; none: the usual ones. */
  void OverrideSeeds(std::optional<std::vector<int>> aControls)
  {
    mOverride = std::move(aControls);
  }
  /** Later starts are not the first one of the whole system. */
  void EndBootstrap() { mBootstrap = false; }

  transport::HttpOutcome Call(NodeKind aKind,
                              int aIndex,
                              int aOffset,
                              const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody) const;
  static std::string Ip(NodeKind aKind, int aIndex);
  std::uint16_t Port() const { return mPort; }
  const std::string& Folder() const { return mFolder; }
  /** Prints, for each control member, the exit statuses and the last log lines
   * on membership, leaders, storage and the start. */
  void PrintMemberLogs() const;

private:
  /** The members that answered operators at a time. */
  struct Sample
  {
    std::int64_t mTimeMs = 0;
    std::vector<int> mServing;
  };

  std::string AddressOf(NodeKind aKind, int aIndex, int aOffset = 0) const;
  std::vector<int> SeedControls();
  void WriteSettings(const std::string& aName,
                     const std::vector<int>& aSeeds) const;
  void SampleOperators();

  const SoakOptions mOptions;
  const std::uint16_t mPort;
  std::string mFolder;
  bool mBootstrap = true;
  std::mt19937_64 mRandom;
  std::map<std::string, pid_t> mPids;
  std::map<std::string, std::int64_t> mStartAfter;
  std::map<std::string, std::string> mExits; ///< statuses, newest last
  std::optional<std::vector<int>> mOverride;
  std::vector<int> mWrittenSeeds;
  int mControlsAdded = 0;
  mutable std::mutex mMutex; ///< guards the members below
  std::vector<int> mControls;
  std::deque<Sample> mSamples;
  std::atomic<bool> mStopped{ false };
  std::thread mSampleThread;
};

} // namespace dogwooddrum::tests
