#include "dogwooddrum/daemon/EventLoop.h"

#include "dogwooddrum/daemon/Clock.h"

namespace dogwooddrum::daemon {

EventLoop::EventLoop(base::Duration aTickInterval, EventLoopHooks aHooks)
  : mTickInterval(aTickInterval)
  , mHooks(std::move(aHooks))
{
}

EventLoop::~EventLoop()
{
  Stop();
}

void
EventLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
EventLoop::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
  }
  mWake.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
EventLoop::Post(Event aEvent)
{
  bool wasEmpty = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    wasEmpty = mEvents.empty();
    mEvents.push_back(std::move(aEvent));
  }
  if (wasEmpty) {
    mWake.notify_one();
  }
}

void
EventLoop::Run()
{
  std::vector<Event> events;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mMutex);
      const auto untilNextTick =
        std::max(mNextTick - Now(), base::Duration::zero());
      mWake.wait_for(
        lock, untilNextTick, [this] { return !mEvents.empty() || mStopped; });
      if (mStopped && mEvents.empty()) {
        return;
      }
      events.swap(mEvents);
    }
    RunBatch(events);
    events.clear();
  }
}

void
EventLoop::RunBatch(std::vector<Event>& aEvents)
{
  const auto now = Now();
  if (now >= mNextTick) {
    mHooks.mTick(now);
    mNextTick = now + mTickInterval;
  }
  for (auto& event : aEvents) {
    event();
  }
  mHooks.mAfterBatch();
}

} // namespace dogwooddrum::daemon
