#include "dogwooddrum/daemon/LifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <atomic>

namespace dogwooddrum::daemon {

namespace {

namespace msm = boost::msm;

struct ReadyEvent
{};
struct TerminateEvent
{};
struct DrainedEvent
{};

/** Records the phase on entry to a state. */
template<Phase kPhase>
struct PhaseState : msm::front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mPhase = kPhase;
  }
};

struct LifeCycleMachine : msm::front::state_machine_def<LifeCycleMachine>
{
  using Starting = PhaseState<Phase::Starting>;
  using Serving = PhaseState<Phase::Serving>;
  using Draining = PhaseState<Phase::Draining>;
  using Stopped = PhaseState<Phase::Stopped>;
  using initial_state = Starting; // NOLINT(readability-identifier-naming)

  template<class From, class Event, class To>
  using Row = msm::front::Row<From, Event, To>;

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector<Row<Starting, ReadyEvent, Serving>,
                         Row<Starting, TerminateEvent, Draining>,
                         Row<Serving, TerminateEvent, Draining>,
                         Row<Draining, DrainedEvent, Stopped>>
  {};

  template<class Machine, class Event>
  void no_transition(const Event&, Machine&, int)
  {
  }

  std::atomic<Phase> mPhase{ Phase::Starting };
};

} // namespace

std::string_view
ToString(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Starting:
      return "starting";
    case Phase::Serving:
      return "serving";
    case Phase::Draining:
      return "draining";
    case Phase::Stopped:
      break;
  }
  return "stopped";
}

struct LifeCycle::Impl
{
  Impl() { mMachine.start(); }
  template<class Event>
  bool Handle(const Event& aEvent)
  {
    return mMachine.process_event(aEvent) == msm::back::HANDLED_TRUE;
  }
  msm::back::state_machine<LifeCycleMachine> mMachine;
};

LifeCycle::LifeCycle()
  : mImpl(std::make_unique<Impl>())
{
}

LifeCycle::~LifeCycle() = default;

bool
LifeCycle::BecomeReady()
{
  return mImpl->Handle(ReadyEvent{});
}

bool
LifeCycle::BeginDrain()
{
  return mImpl->Handle(TerminateEvent{});
}

bool
LifeCycle::Finish()
{
  return mImpl->Handle(DrainedEvent{});
}

Phase
LifeCycle::CurrentPhase() const
{
  return mImpl->mMachine.mPhase;
}

} // namespace dogwooddrum::daemon
