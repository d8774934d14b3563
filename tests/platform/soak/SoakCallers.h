/** \file
 * Defines SoakCallers: the operator and the callers of a soak run, and the
 * checks of what they were told.
 */
#pragma once

#include "tests/platform/soak/FakeTarget.h"
#include "tests/platform/soak/SoakProcesses.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::tests {

/** Submits workloads and configurations and records the answers. Thread safety:
 * none. */
class SoakCallers
{
public:
  SoakCallers(const SoakProcesses& aProcesses,
              std::mt19937_64& aRandom,
              std::size_t aMaxOpen)
    : mProcesses(aProcesses)
    , mRandom(aRandom)
    , mMaxOpen(aMaxOpen)
  {
  }

  /** Sends a configuration with a higher version to each member until one
   * acknowledges it; returns whether one did. */
  bool PutConfiguration();
  /** Submits a workload, or waits for the oldest one if too many are open. */
  void SubmitOne();
  /** Returns whether a member shows the newest acknowledged configuration, or a
   * later one that was sent without an answer. */
  bool CanReadConfiguration() const;
  /** Returns the index of the member that answers operators itself. */
  std::optional<int> FindLeader() const;
  /** Returns whether all accepted workloads have ended. */
  bool AllEnded();
  /** Returns what is wrong, after the wait for the ends of all workloads. */
  std::vector<std::string> FindViolations(SharedRunRecord& aRecord) const;
  int EndedCount() const { return mEndedCount; }
  std::size_t RefusedCount() const { return mRejected.size(); }

private:
  /** Forgets the oldest accepted workload if it has ended or is unknown;
   * returns whether it did. */
  bool CheckOldest();

  const SoakProcesses& mProcesses;
  std::mt19937_64& mRandom;
  const std::size_t mMaxOpen;
  int mVersion = 2;
  /** The newest acknowledged configuration, and all that were sent later. */
  std::vector<std::string> mConfigurations;
  unsigned long long mLastId = 0;
  std::set<std::string> mAccepted;
  std::set<std::string> mRejected;
  std::set<std::string> mLost;
  int mEndedCount = 0;
};

} // namespace dogwooddrum::tests
