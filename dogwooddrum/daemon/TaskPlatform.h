/** \file
 * Defines TaskPlatform, the interface through which an agent runs tasks on its
 * target.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/agent/Agent.h"

#include <cstdint>
#include <functional>
#include <string>

namespace dogwooddrum::daemon {

/** Callbacks of a TaskPlatform. They may run on any thread. */
struct TaskEvents
{
  /** The start may have reached the target. */
  std::function<void(const protocol::TaskKey&)> mStarted;
  std::function<void(const protocol::TaskKey&, std::string aAnswer)> mFinished;
  std::function<void(const protocol::TaskKey&,
                     base::Reason aReason,
                     bool aDispatched,
                     std::string aMessage)>
    mFailed;
  std::function<void(const protocol::TaskKey&)> mCheckpointed;
  std::function<void(const protocol::TaskKey&)> mStopped;
  /** Number of busy accelerators; the measurement may be some seconds old. */
  std::function<void(std::uint32_t)> mUsage;
};

/**
 * Starts and ends tasks. Each Start is followed by exactly one of mFinished,
 * mFailed and mStopped. No call blocks. Thread safe.
 */
class TaskPlatform
{
public:
  virtual ~TaskPlatform() = default;
  /** Starts a task under a lease of duration aLease. The task keeps running
   * until the caller calls Stop; no renewal is sent to the target. */
  virtual void Start(const coordination::agent::StartTask& aTask,
                     base::Duration aLease) = 0;
  virtual void Checkpoint(const coordination::agent::CheckpointTask& aTask) = 0;
  virtual void Throttle(const protocol::TaskKey& aKey) = 0;
  /** Stops a task; mStopped follows unless the task has already ended. */
  virtual void Stop(const protocol::TaskKey& aKey) = 0;
  /** Requests the usage; mUsage follows if the target answers. */
  virtual void RequestUsage() = 0;
};

} // namespace dogwooddrum::daemon
