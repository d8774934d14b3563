/** \file
 * Implements the policies that a replay compares.
 */
#include "bench/replay/Policy.h"

#include <map>
#include <tuple>

namespace dogwooddrum::bench {

using coordination::placement::Decision;
using coordination::placement::JobRequest;
using coordination::placement::Placer;
using coordination::placement::PlacerOptions;
using coordination::placement::Start;
using coordination::placement::TaskPlacement;
using coordination::placement::WorkerDescription;
using protocol::Adjacency;

namespace {

class FirstFitPolicy : public Policy
{
public:
  FirstFitPolicy(bool aByPriority,
                 const protocol::Configuration& aConfiguration)
    : mByPriority(aByPriority)
  {
    for (const auto& profile : aConfiguration.mProfiles) {
      mPriorities[profile.mName.Value()] = profile.mPriority;
    }
  }

  void AddOrUpdateWorker(const WorkerDescription& aWorker, base::Time) override
  {
    const auto [it, added] = mWorkers.emplace(aWorker.mWorker, WorkerState{});
    it->second.mDescription = aWorker;
    it->second.mIsUp = true;
  }
  void MarkWorkerDown(const base::WorkerId& aWorker, base::Time) override
  {
    mWorkers[aWorker].mIsUp = false;
  }
  void Submit(const JobRequest& aRequest, base::Time) override
  {
    mRequests[aRequest.mJob] = aRequest;
    mQueue[KeyOf(aRequest)] = aRequest.mJob;
  }
  void Requeue(base::JobId aJob, base::Time) override
  {
    Free(aJob);
    mQueue[KeyOf(mRequests[aJob])] = aJob;
  }
  void Remove(base::JobId aJob, base::Time) override
  {
    Free(aJob);
    mQueue.erase(KeyOf(mRequests[aJob]));
    mRequests.erase(aJob);
  }

  std::vector<Decision> Decide(base::Time) override
  {
    std::vector<Decision> decisions;
    for (auto it = mQueue.begin(); it != mQueue.end();) {
      auto tasks = FirstFit(mRequests[it->second].mShape);
      if (tasks.empty()) {
        if (!mByPriority) {
          return decisions;
        }
        ++it;
        continue;
      }
      for (const auto& task : tasks) {
        mWorkers[task.mWorker].mHeld += task.mAccelerators;
      }
      mHeld[it->second] = tasks;
      decisions.emplace_back(Start{ it->second, std::move(tasks), false });
      it = mQueue.erase(it);
    }
    return decisions;
  }

private:
  struct WorkerState
  {
    WorkerDescription mDescription;
    bool mIsUp = false;
    std::uint32_t mHeld = 0;
  };
  using Key = std::tuple<std::int64_t, base::Time, base::JobId>;

  Key KeyOf(const JobRequest& aRequest)
  {
    const std::int64_t priority =
      mByPriority ? -mPriorities[aRequest.mProfile.Value()] : 0;
    return { priority, aRequest.mSubmitted, aRequest.mJob };
  }

  void Free(base::JobId aJob)
  {
    for (const auto& task : mHeld[aJob]) {
      mWorkers[task.mWorker].mHeld -= task.mAccelerators;
    }
    mHeld.erase(aJob);
  }

  static std::string NodeOf(const WorkerDescription& aWorker, Adjacency aLevel)
  {
    return aLevel == Adjacency::Worker ? aWorker.mWorker.Value()
           : aLevel == Adjacency::Rack ? aWorker.mRack.Value()
           : aLevel == Adjacency::Zone ? aWorker.mZone.Value()
                                       : std::string();
  }

  std::vector<TaskPlacement> FirstFit(const protocol::GangShape& aShape) const
  {
    std::map<std::string, std::vector<TaskPlacement>> nodes;
    for (const auto& [id, worker] : mWorkers) {
      auto& tasks = nodes[NodeOf(worker.mDescription, aShape.mAdjacency)];
      const std::uint32_t total = worker.mDescription.mAccelerators;
      std::uint32_t room =
        worker.mIsUp && total > worker.mHeld ? total - worker.mHeld : 0;
      while (tasks.size() < aShape.mTasks &&
             room >= aShape.mAcceleratorsPerTask) {
        const auto index = static_cast<std::uint32_t>(tasks.size());
        tasks.push_back(
          { base::TaskIndex(index), id, aShape.mAcceleratorsPerTask });
        room -= aShape.mAcceleratorsPerTask;
      }
      if (tasks.size() == aShape.mTasks) {
        return tasks;
      }
    }
    return {};
  }

  bool mByPriority;
  std::map<std::string, std::int32_t> mPriorities;
  std::map<base::WorkerId, WorkerState> mWorkers;
  std::map<base::JobId, JobRequest> mRequests;
  std::map<base::JobId, std::vector<TaskPlacement>> mHeld;
  std::map<Key, base::JobId> mQueue;
};

class PlacerPolicy : public Policy
{
public:
  PlacerPolicy(const PlacerOptions& aOptions,
               const protocol::Configuration& aConfiguration)
    : mPlacer(aOptions)
  {
    mPlacer.SetConfiguration(aConfiguration);
  }
  void AddOrUpdateWorker(const WorkerDescription& aWorker,
                         base::Time aNow) override
  {
    mPlacer.AddOrUpdateWorker(aWorker, aNow);
  }
  void MarkWorkerDown(const base::WorkerId& aWorker, base::Time aNow) override
  {
    mPlacer.MarkWorkerDown(aWorker, aNow);
  }
  void Submit(const JobRequest& aRequest, base::Time aNow) override
  {
    mPlacer.Submit(aRequest, aNow);
  }
  void Requeue(base::JobId aJob, base::Time aNow) override
  {
    mPlacer.Requeue(aJob, aNow);
  }
  void Remove(base::JobId aJob, base::Time aNow) override
  {
    mPlacer.Remove(aJob, aNow);
  }
  void RecordCheckpoint(base::JobId aJob, base::Time aNow) override
  {
    mPlacer.RecordCheckpoint(aJob, aNow);
  }
  std::vector<Decision> Decide(base::Time aNow) override
  {
    return mPlacer.Decide(aNow);
  }
  std::optional<base::Time> NextDecisionTime() const override
  {
    return mPlacer.NextDecisionTime();
  }
  bool IsInsideGuarantee(base::JobId aJob, base::Time aNow) const override
  {
    return mPlacer.Explain(aJob, aNow).mMessage == "runs inside its guarantee";
  }
  bool AreGuaranteesReclaimable() const override
  {
    return static_cast<bool>(mPlacer.CheckReclaimable());
  }

private:
  Placer mPlacer;
};

} // namespace

std::unique_ptr<Policy>
MakeFirstFit(bool aByPriority, const protocol::Configuration& aConfiguration)
{
  return std::make_unique<FirstFitPolicy>(aByPriority, aConfiguration);
}

std::unique_ptr<Policy>
MakePlacer(const PlacerOptions& aOptions,
           const protocol::Configuration& aConfiguration)
{
  return std::make_unique<PlacerPolicy>(aOptions, aConfiguration);
}

} // namespace dogwooddrum::bench
