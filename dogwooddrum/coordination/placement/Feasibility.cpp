/** \file
 * Implements the check for jobs that can never run.
 */
#include "dogwooddrum/coordination/placement/Feasibility.h"

#include "dogwooddrum/coordination/placement/Allocations.h"

#include <algorithm>

namespace dogwooddrum::coordination::placement {

namespace {

/** Returns the shape with as many tasks as fit on the known workers, with no
 * more accelerators per task than the largest worker has. */
protocol::GangShape
LargestFittingShape(State& aState, protocol::GangShape aShape)
{
  aShape.mAcceleratorsPerTask =
    std::min(aShape.mAcceleratorsPerTask, aState.mKnown.Largest());
  std::uint32_t fitting = 0; // binary search for the largest number
  std::uint32_t tooMany = std::min(aShape.mTasks, protocol::kMaxGangTasks) + 1;
  while (fitting + 1 < tooMany) {
    aShape.mTasks = (fitting + tooMany) / 2;
    (Fits(aState.mKnown, aShape) ? fitting : tooMany) = aShape.mTasks;
  }
  aShape.mTasks = fitting;
  return aShape;
}

Reject
MakeReject(const JobEntry& aJob,
           const protocol::GangShape& aLargest,
           const std::string& aWhy)
{
  Reject reject;
  reject.mJob = aJob.mRequest.mJob;
  reject.mLargest = aLargest;
  reject.mMessage = "shape " + ShapeText(aJob.mRequest.mShape) + " " + aWhy +
                    "; the largest that could run is " + ShapeText(aLargest);
  return reject;
}

} // namespace

std::optional<Reject>
CheckCanRun(State& aState, const JobEntry& aJob)
{
  const auto& shape = aJob.mRequest.mShape;
  const std::uint64_t total =
    std::uint64_t{ shape.mTasks } * shape.mAcceleratorsPerTask;
  if (total == 0 || shape.mTasks > protocol::kMaxGangTasks) {
    return MakeReject(aJob,
                      { 1, 1, shape.mAdjacency },
                      "must have 1 to " +
                        std::to_string(protocol::kMaxGangTasks) +
                        " tasks of at least 1 accelerator");
  }
  const std::uint64_t cluster = aState.mKnown.Sum();
  if (cluster > 0 && (total > cluster || !Fits(aState.mKnown, shape))) {
    return MakeReject(aJob,
                      LargestFittingShape(aState, shape),
                      "exceeds what the known workers hold");
  }
  const std::uint64_t guarantee = aState.mCells.mAccounts[aJob.mAccount].mSize;
  if (RequiresGuarantee(aJob) && total > guarantee) {
    protocol::GangShape largest = shape;
    largest.mTasks = static_cast<std::uint32_t>(
      guarantee / std::max(shape.mAcceleratorsPerTask, 1U));
    return MakeReject(aJob,
                      largest,
                      "must run inside the guarantee of account " +
                        aJob.mRequest.mAccount.Value() + ", which has " +
                        std::to_string(guarantee) + " accelerators");
  }
  return std::nullopt;
}

} // namespace dogwooddrum::coordination::placement
