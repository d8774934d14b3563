/** \file
 * Implements the reference model of placement.
 */
#include "tests/support/PlacementReference.h"

#include <algorithm>
#include <functional>
#include <set>

namespace dogwooddrum::tests {

using protocol::Adjacency;

namespace {

/** A guaranteed block with the domain that the search binds it to. */
struct TrialCell
{
  std::string mAccount;
  std::uint32_t mSize = 0;
  Adjacency mLevel = Adjacency::Worker;
  std::set<std::string> mWorkers; ///< of the domain
};

/** Accelerators held inside guarantees, by account and worker. */
using CoveredAmounts =
  std::map<std::pair<std::string, std::string>, std::uint32_t>;

/** Maximum flow over named nodes. Augments by one unit at a time along paths
 * found by depth-first search. */
class MaxFlow
{
public:
  void AddEdge(const std::string& aFrom,
               const std::string& aTo,
               std::int64_t aCapacity)
  {
    mResidual[aFrom][aTo] += aCapacity;
    mResidual[aTo][aFrom] += 0;
  }

  std::uint32_t PushAllUnits()
  {
    std::uint32_t units = 0;
    std::set<std::string> visited;
    while (PushUnit("source", visited)) {
      ++units;
      visited.clear();
    }
    return units;
  }

private:
  bool PushUnit(const std::string& aNode, std::set<std::string>& aVisited)
  {
    if (aNode == "sink") {
      return true;
    }
    aVisited.insert(aNode);
    for (auto& [next, residual] : mResidual[aNode]) {
      if (residual > 0 && aVisited.count(next) == 0 &&
          PushUnit(next, aVisited)) {
        --mResidual[aNode][next];
        ++mResidual[next][aNode];
        return true;
      }
    }
    return false;
  }

  std::map<std::string, std::map<std::string, std::int64_t>> mResidual;
};

/** Returns whether the cells contain what jobs hold inside guarantees and the
 * rest of the cells fits the remaining capacity, by two rounds of maximum
 * flow. */
bool
CellsFit(const std::vector<TrialCell>& aCells,
         const CoveredAmounts& aCovered,
         const Amounts& aCapacity)
{
  MaxFlow flow;
  Amounts openCapacity = aCapacity;
  std::uint32_t covered = 0;
  std::uint32_t total = 0;
  for (std::size_t c = 0; c < aCells.size(); ++c) {
    const std::string cell = "cell " + std::to_string(c);
    flow.AddEdge("source", cell, aCells[c].mSize);
    total += aCells[c].mSize;
    for (const auto& worker : aCells[c].mWorkers) {
      flow.AddEdge(cell, aCells[c].mAccount + " on " + worker, 1000);
    }
  }
  for (const auto& [key, amount] : aCovered) {
    if (openCapacity[key.second] < amount) {
      return false;
    }
    openCapacity[key.second] -= amount;
    covered += amount;
    flow.AddEdge(key.first + " on " + key.second, "sink", amount);
  }
  if (flow.PushAllUnits() != covered) {
    return false;
  }
  for (const auto& cell : aCells) {
    for (const auto& worker : cell.mWorkers) {
      flow.AddEdge(cell.mAccount + " on " + worker, "worker " + worker, 1000);
    }
  }
  for (const auto& [worker, amount] : openCapacity) {
    flow.AddEdge("worker " + worker, "sink", amount);
  }
  return covered + flow.PushAllUnits() == total;
}

std::vector<TrialCell>
CellsOf(const protocol::Configuration& aConfiguration)
{
  std::vector<TrialCell> cells;
  for (const auto& account : aConfiguration.mAccounts) {
    for (const auto& shape : account.mGuarantees) {
      for (std::uint32_t k = 0; k < shape.mCount; ++k) {
        cells.push_back(
          { account.mName.Value(), shape.mAccelerators, shape.mLevel, {} });
      }
    }
  }
  return cells;
}

} // namespace

std::string
PlacementReference::DomainOf(const std::string& aWorker, Adjacency aLevel) const
{
  const auto& description = mWorkers.at(aWorker).mDescription;
  switch (aLevel) {
    case Adjacency::Worker:
      return aWorker;
    case Adjacency::Rack:
      return description.mRack.Value();
    case Adjacency::Zone:
      return description.mZone.Value();
    case Adjacency::None:
      break;
  }
  return {};
}

Amounts
PlacementReference::Capacity() const
{
  Amounts amounts;
  for (const auto& [name, worker] : mWorkers) {
    const bool usable = worker.mUp && !worker.mDrained;
    amounts[name] = usable ? worker.mDescription.mAccelerators : 0;
  }
  return amounts;
}

Amounts
PlacementReference::Free() const
{
  Amounts amounts = Capacity();
  for (const auto& [id, job] : mHeld) {
    for (const auto& task : job.mTasks) {
      auto& amount = amounts[task.mWorker.Value()];
      amount -= std::min(amount, task.mAccelerators);
    }
  }
  return amounts;
}

bool
PlacementReference::Fits(const protocol::GangShape& aShape,
                         const Amounts& aAmounts) const
{
  std::map<std::string, std::uint32_t> slots;
  for (const auto& [name, amount] : aAmounts) {
    slots[DomainOf(name, aShape.mAdjacency)] +=
      amount / aShape.mAcceleratorsPerTask;
  }
  return std::any_of(slots.begin(), slots.end(), [&](const auto& aEach) {
    return aEach.second >= aShape.mTasks;
  });
}

std::string
PlacementReference::CheckStart(const JobRequest& aRequest,
                               const std::vector<TaskPlacement>& aTasks,
                               bool aBorrowed) const
{
  const auto& shape = aRequest.mShape;
  if (aTasks.size() != shape.mTasks) {
    return "only part of the gang started";
  }
  Amounts free = Free();
  std::set<std::string> domains;
  std::set<std::uint32_t> indexes;
  for (const auto& task : aTasks) {
    const std::string worker = task.mWorker.Value();
    if (mWorkers.count(worker) == 0 || free[worker] < task.mAccelerators) {
      return "worker " + worker + " has too few free accelerators";
    }
    if (task.mAccelerators != shape.mAcceleratorsPerTask) {
      return "task has the wrong number of accelerators";
    }
    free[worker] -= task.mAccelerators;
    domains.insert(DomainOf(worker, shape.mAdjacency));
    indexes.insert(task.mTask.Value());
  }
  if (domains.size() > 1) {
    return "gang is not adjacent";
  }
  if (indexes.size() != shape.mTasks || *indexes.rbegin() + 1 != shape.mTasks) {
    return "task indexes are wrong";
  }
  const auto& profiles = mConfiguration.mProfiles;
  const auto profile =
    std::find_if(profiles.begin(), profiles.end(), [&](const auto& aEach) {
      return aEach.mName == aRequest.mProfile;
    });
  const bool preemptible = profile == profiles.end() || profile->mPreemptible;
  if (aBorrowed && (!aRequest.mRepeatable || !preemptible)) {
    return "work that cannot be reclaimed was started on borrowed capacity";
  }
  return {};
}

bool
PlacementReference::CanFormGuarantees() const
{
  CoveredAmounts covered;
  for (const auto& [id, job] : mHeld) {
    for (const auto& task : job.mTasks) {
      if (!job.mBorrowed) {
        covered[{ job.mRequest.mAccount.Value(), task.mWorker.Value() }] +=
          task.mAccelerators;
      }
    }
  }
  std::vector<TrialCell> cells = CellsOf(mConfiguration);
  const Amounts capacity = Capacity();
  std::function<bool(std::size_t)> bindFrom = [&](std::size_t aNext) {
    if (aNext == cells.size()) {
      return CellsFit(cells, covered, capacity);
    }
    std::map<std::string, std::set<std::string>> domains;
    for (const auto& [name, amount] : capacity) {
      domains[DomainOf(name, cells[aNext].mLevel)].insert(name);
    }
    for (const auto& [domain, workers] : domains) {
      cells[aNext].mWorkers = workers;
      if (bindFrom(aNext + 1)) {
        return true;
      }
    }
    return false;
  };
  return bindFrom(0);
}

bool
PlacementReference::ShapesFit(
  const protocol::Configuration& aConfiguration) const
{
  PlacementReference empty = *this;
  empty.mHeld.clear();
  empty.mConfiguration = aConfiguration;
  for (auto& [name, worker] : empty.mWorkers) {
    worker.mDrained =
      std::find(aConfiguration.mDrained.begin(),
                aConfiguration.mDrained.end(),
                worker.mDescription.mWorker) != aConfiguration.mDrained.end();
  }
  return empty.CanFormGuarantees();
}

} // namespace dogwooddrum::tests
