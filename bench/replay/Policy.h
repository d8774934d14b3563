/** \file
 * Defines the policies that a replay compares: two first-fit baselines and the
 * placer.
 */
#pragma once

#include "dogwooddrum/coordination/placement/Placer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwooddrum::bench {

/** Interface of a placement policy; the functions mean what they mean in
 * Placer. */
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void AddOrUpdateWorker(
    const coordination::placement::WorkerDescription& aWorker,
    base::Time aNow) = 0;
  virtual void MarkWorkerDown(const base::WorkerId& aWorker,
                              base::Time aNow) = 0;
  virtual void Submit(const coordination::placement::JobRequest& aRequest,
                      base::Time aNow) = 0;
  virtual void Requeue(base::JobId aJob, base::Time aNow) = 0;
  virtual void Remove(base::JobId aJob, base::Time aNow) = 0;
  virtual void RecordCheckpoint(base::JobId /*aJob*/, base::Time /*aNow*/) {}
  virtual std::vector<coordination::placement::Decision> Decide(
    base::Time aNow) = 0;
  virtual std::optional<base::Time> NextDecisionTime() const
  {
    return std::nullopt;
  }
  /** Returns whether a held job now runs inside its account's guarantee. */
  virtual bool IsInsideGuarantee(base::JobId /*aJob*/,
                                 base::Time /*aNow*/) const
  {
    return false;
  }
  /** Returns whether all guarantees can now be formed. */
  virtual bool AreGuaranteesReclaimable() const { return true; }
};

/** Creates a first-fit policy in order of submission, in which a job that does
 * not fit blocks all later jobs. With aByPriority, jobs of higher priority go
 * first and a job that does not fit blocks no other. */
std::unique_ptr<Policy>
MakeFirstFit(bool aByPriority, const protocol::Configuration& aConfiguration);
/** Creates a policy that calls a Placer with the given options. */
std::unique_ptr<Policy>
MakePlacer(const coordination::placement::PlacerOptions& aOptions,
           const protocol::Configuration& aConfiguration);

} // namespace dogwooddrum::bench
