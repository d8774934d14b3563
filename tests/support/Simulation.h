/** \file
 * Defines Simulation, virtual time with an event queue, and Network, which
 * delays, reorders, drops and duplicates messages at random by seed.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace dogwooddrum::support {

/** Discrete-event simulation with a seeded random generator. */
class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  base::Time Now() const { return mNow; }
  std::mt19937_64& Random() { return mRandom; }
  /** Returns a random duration from aMin to aMax. */
  base::Duration RandomBetween(base::Duration aMin, base::Duration aMax);
  /** Returns true with a probability of aPercent percent. */
  bool Chance(std::uint32_t aPercent) { return mRandom() % 100 < aPercent; }
  void At(base::Time aTime, std::function<void()> aAction);
  void After(base::Duration aDelay, std::function<void()> aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }
  void RunUntil(base::Time aEnd);

private:
  std::mt19937_64 mRandom;
  base::Time mNow;
  std::multimap<base::Time, std::function<void()>> mQueue;
};

/** Network between named processes. */
class Network
{
public:
  explicit Network(Simulation& aSimulation)
    : mSimulation(aSimulation)
  {
  }

  /** Schedules aDeliver after a random delay; a message may be lost or
   * delivered twice. */
  void Send(const std::string& aFrom,
            const std::string& aTo,
            const std::function<void()>& aDeliver);
  /** Drops messages in one direction; "*" stands for all processes. */
  void Cut(const std::string& aFrom, const std::string& aTo)
  {
    mCuts.emplace(aFrom, aTo);
  }
  /** Ends all cuts. */
  void Heal() { mCuts.clear(); }

  std::uint32_t mLossPercent = 0;
  std::uint32_t mDuplicatePercent = 0;
  base::Duration mDelayMin{ 300 };
  base::Duration mDelayMax{ 900 };

private:
  bool IsCut(const std::string& aFrom, const std::string& aTo) const;

  Simulation& mSimulation;
  std::set<std::pair<std::string, std::string>> mCuts;
};

} // namespace dogwooddrum::support
