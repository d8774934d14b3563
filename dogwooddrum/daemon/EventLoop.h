/** \file
 * Defines EventLoop, the thread that runs the state machines of a role.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dogwooddrum::daemon {

/** Callbacks of an EventLoop besides the posted events. */
struct EventLoopHooks
{
  /** Advances timers. A tick that is due is called before the events of the
   * batch, so that a process that resumes after a suspension handles expired
   * timers first. */
  std::function<void(base::Time)> mTick;
  /** Called after each batch of events or tick, to process the outputs. */
  std::function<void()> mAfterBatch;
};

/**
 * Runs posted events one after another on one thread. Wakes on an event or
 * when a tick is due; all events that are queued by then form one batch.
 */
class EventLoop
{
public:
  using Event = std::function<void()>;

  EventLoop(base::Duration aTickInterval, EventLoopHooks aHooks);
  /** Calls Stop. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start();
  /** Ends the thread after running the events that were posted before. */
  void Stop();
  /** Queues an event. Thread safe. */
  void Post(Event aEvent);

private:
  void Run();
  void RunBatch(std::vector<Event>& aEvents);

  const base::Duration mTickInterval;
  const EventLoopHooks mHooks;
  base::Time mNextTick;
  std::mutex mMutex; ///< guards mEvents and mStopped
  std::condition_variable mWake;
  std::vector<Event> mEvents;
  bool mStopped = false;
  std::thread mThread;
};

} // namespace dogwooddrum::daemon
