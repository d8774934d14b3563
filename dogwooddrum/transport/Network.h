/** \file
 * Defines Network, which runs the network threads of a process.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <functional>
#include <memory>

namespace dogwooddrum::transport {

/**
 * Runs the links, HTTP servers and timers of a process on its threads. Every
 * object that uses a Network must be stopped before the Network is destroyed;
 * objects that handlers refer to must outlive Stop.
 */
class Network
{
public:
  /** Starts aThreads threads. Precondition: aThreads > 0. */
  explicit Network(unsigned aThreads);
  /** Calls Stop. */
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /** Runs aWork on a network thread. Thread safe. */
  void Post(std::function<void()> aWork);
  /** Runs aWork on a network thread after aDelay. Thread safe. */
  void PostAfter(base::Duration aDelay, std::function<void()> aWork);
  /** Ends the threads; no handler runs afterwards. Must not be called from a
   * handler. */
  void Stop();

  struct Impl;
  /** Returns the Asio state, for source files of this package only. */
  Impl& Internals() { return *mImpl; }

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
