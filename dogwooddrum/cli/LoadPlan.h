/** \file
 * Defines the plan of a load run: the requests and their arrival times.
 * Deterministic: equal options and seeds give equal plans.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/base/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dogwooddrum::cli {

/** A class of requests in the mix. */
struct LoadClass
{
  double mWeight = 1;
  std::string mAccount;
  std::string mProfile;
  std::uint64_t mTasks = 1;
  std::uint64_t mAccelerators = 1;
  std::string mAdjacency = "none";
  bool mRepeatable = true;
  std::uint64_t mRunMs = 0; ///< run time at the stand-in target
  /** Size to which the payload is padded, and so the size of each task's
   * answer; 0: no padding. */
  std::uint64_t mPayloadBytes = 0;
};

/**
 * Parses "account=yard,profile=batch,weight=3,tasks=2,...". Fails with
 * InvalidRequest and a message that lists the known names if a part is invalid.
 */
base::Outcome<LoadClass>
ParseLoadClass(const std::string& aText);

/** Arrival process of the requests. */
enum class Arrivals : std::uint8_t
{
  Closed,  ///< each thread sends a request after its last ended
  Poisson, ///< exponential gaps, independent of the responses
};

struct LoadPlanOptions
{
  std::vector<LoadClass> mMix; ///< at least one
  Arrivals mArrivals = Arrivals::Closed;
  double mRate = 100; ///< requests per second, for Poisson
  std::uint64_t mCount = 1000;
  std::uint64_t mSeed = 1;
};

/** One request of the plan. */
struct LoadRequest
{
  std::uint64_t mNumber = 0;
  std::size_t mClassIndex = 0;   ///< index into the mix
  base::Duration mArrivalTime{}; ///< relative to the start; 0 for Closed
  std::uint64_t mNonce = 0;      ///< makes the payload unique
};

/** Generates the requests of a plan in order. Not thread safe. */
class LoadPlan
{
public:
  explicit LoadPlan(const LoadPlanOptions& aOptions);
  /** Returns the next request, or nullopt after the last. */
  std::optional<LoadRequest> NextRequest();

private:
  LoadPlanOptions mOptions;
  std::mt19937_64 mRandom;
  std::discrete_distribution<std::size_t> mClassDistribution;
  std::uint64_t mNextNumber = 0;
  double mArrivalSeconds = 0;
};

} // namespace dogwooddrum::cli
