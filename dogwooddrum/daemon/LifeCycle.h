/** \file
 * Defines LifeCycle, the life cycle of a daemon: starting, serving, draining,
 * stopped. The source file holds the transition table as a Boost.MSM state
 * machine.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace dogwooddrum::daemon {

enum class Phase : std::uint8_t
{
  Starting,
  Serving,
  Draining,
  Stopped,
};

/** Returns the lower-case name. Thread safe. */
std::string_view
ToString(Phase aPhase);

/** The state machine of a daemon's phases. Call CurrentPhase from any thread,
 * the other functions from one thread only. */
class LifeCycle
{
public:
  LifeCycle();
  ~LifeCycle();

  /** Changes Starting to Serving. Like the functions below, returns false and
   * changes nothing if the current phase is another. */
  bool BecomeReady();
  /** Changes Starting or Serving to Draining. */
  bool BeginDrain();
  /** Changes Draining to Stopped. */
  bool Finish();
  Phase CurrentPhase() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
