/** \file
 * Defines Topology: workers, racks and availability zones by dense index,
 * with the amounts held on each worker.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Placer.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace dogwooddrum::coordination::placement {

using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using AccountIndex = std::uint32_t;
using ClassIndex = std::uint32_t;
using JobHandle = std::uint32_t;
using ClaimHandle = std::uint32_t;
using CellIndex = std::uint32_t;

constexpr std::uint32_t kNoIndex = UINT32_MAX;

/** A worker in the topology, and the accelerators that are held, claimed or
 * earmarked on it. */
struct WorkerNode
{
  WorkerDescription mDescription;
  RackIndex mRack = kNoIndex;
  ZoneIndex mZone = kNoIndex;
  bool mKnown = false; ///< false: the slot is unused
  bool mUp = false;
  bool mDrained = false;
  bool mQuarantined = false;
  base::Time mDownSince;
  std::uint32_t mHeld = 0;      ///< by running and stopping jobs
  std::uint32_t mCovered = 0;   ///< inside guarantee cells, held or claimed
  std::uint32_t mPinned = 0;    ///< held outside cells and not reclaimable
  std::uint32_t mEarmarked = 0; ///< free, but reserved by claims
  std::vector<JobHandle> mJobs; ///< one entry for each held task
  std::vector<ClaimHandle> mClaims;
};

struct RackNode
{
  base::RackId mId;
  std::vector<WorkerIndex> mWorkers; ///< ascending
};

struct ZoneNode
{
  base::ZoneId mId;
};

/** All known workers, racks and zones. Slots of removed workers are reused. */
struct Topology
{
  std::vector<WorkerNode> mWorkers;
  std::vector<RackNode> mRacks;
  std::vector<ZoneNode> mZones;
  std::unordered_map<std::string, WorkerIndex> mWorkerByName;
  std::unordered_map<std::string, RackIndex> mRackByName;
  std::unordered_map<std::string, ZoneIndex> mZoneByName;
  std::vector<WorkerIndex> mUnusedSlots;
};

/** Returns the index of a worker, or kNoIndex. */
WorkerIndex
FindWorker(const Topology& aTopology, const base::WorkerId& aWorker);
/** Adds a worker, links it to its rack and zone and returns its index. */
WorkerIndex
AddWorker(Topology& aTopology, const WorkerDescription& aWorker);
/** Moves a known worker to the rack and zone of its new description. */
void
RelinkWorker(Topology& aTopology,
             WorkerIndex aWorker,
             const WorkerDescription& aDescription);
/** Unlinks a worker from its rack and frees its slot. */
void
RemoveWorker(Topology& aTopology, WorkerIndex aWorker);
/** Returns all accelerators of a worker; 0 if it is down, drained or in
 * quarantine. */
std::uint32_t
UsableTotal(const WorkerNode& aWorker);

} // namespace dogwooddrum::coordination::placement
